package faker_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/sender"
)

// smallEngine returns the settings of an engine with 1000 MB whose steps take a
// millisecond.
func smallEngine() faker.EngineSettings {
	s := faker.DefaultEngine()
	s.TotalMB = 1000
	s.ReserveMB = 200
	s.StepTime = time.Millisecond
	s.StepTimePerRequest = 0
	s.PrefillTimePerToken = time.Microsecond
	s.UnloadTime = 5 * time.Millisecond
	s.RoleTime = 5 * time.Millisecond
	return s
}

type testEngine struct {
	fake   *faker.Engine
	url    string
	client *driver.Client
}

func startEngine(settings faker.EngineSettings, set ...faker.Option) testEngine {
	fake := faker.NewEngine("e", settings, set...)
	s := httptest.NewServer(fake.Handler())
	DeferCleanup(s.Close)
	DeferCleanup(fake.Crash)
	DeferCleanup(func() { fake.SetFaults(faker.EngineFaults{}) })
	addr := strings.TrimPrefix(s.URL, "http://")
	return testEngine{fake: fake, url: s.URL, client: driver.NewClient(addr, sender.NewClient())}
}

var tiny = driver.Weights{Model: "tiny"}

func loadOrder(id string, fence int64, model string, memory int64) driver.Order {
	return driver.Order{ID: id, Fence: fence, Op: driver.OpLoad, Weights: driver.Weights{Model: model}, MemoryMB: memory}
}

// outcome returns a function that returns the reported outcome of an order.
func (b testEngine) outcome(id string) func() string {
	return func() string {
		r, err := b.client.Report(context.Background())
		if err != nil {
			return err.Error()
		}
		for _, s := range r.Orders {
			if s.ID == id {
				return s.Outcome
			}
		}
		return ""
	}
}

// read returns all tokens up to the end of the stream or the first error.
func read(s driver.Stream) ([]driver.Token, error) {
	var all []driver.Token
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, t)
	}
}

var _ = Describe("Engine answers", func() {
	request := func(id string) driver.Request {
		return driver.Request{ID: id, Weights: tiny, Prompt: "which room is free tonight", Seed: 7}
	}

	It("generates a text that is a pure function of the request", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		s, err := b.client.Generate(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		got, err := read(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(faker.Text(got)).To(Equal(faker.Text(faker.Answer(request("other")))))
		Expect(got[len(got)-1].Finish).To(Equal("stop"))
		Expect(got[len(got)-1].Load).NotTo(BeNil())
		Expect(b.fake.Ran()).To(Equal(map[string]int{"a": 1}))

		adapted := request("b")
		adapted.Adapter = "branch"
		Expect(faker.Text(faker.Answer(adapted))).NotTo(Equal(faker.Text(got)))
		other := request("b")
		other.Seed = 8
		Expect(faker.Text(faker.Answer(other))).NotTo(Equal(faker.Text(got)))
	})

	It("stops at the token limit and starts at the requested offset", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		q := request("a")
		q.MaxTokens = 9
		q.SkipTokens = 4
		s, err := b.client.Generate(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		got, err := read(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(HaveLen(5))
		Expect(got[0].Offset).To(Equal(4))
		Expect(got[4].Finish).To(Equal("length"))
	})

	It("resumes an interrupted stream without gaps or repeats", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		s, err := b.client.Generate(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		var got []driver.Token
		for range 5 {
			t, err := s.Next()
			Expect(err).NotTo(HaveOccurred())
			got = append(got, t)
		}
		again, err := b.client.Resume(ctx, "a", 5)
		Expect(err).NotTo(HaveOccurred())
		rest, err := read(again)
		Expect(err).NotTo(HaveOccurred())
		Expect(faker.Text(append(got, rest...))).To(Equal(faker.Text(faker.Answer(request("a")))))
		Expect(b.fake.Ran()["a"]).To(Equal(1))
	})

	It("drops a stream that has had no reader for longer than Keep", func(ctx context.Context) {
		settings := smallEngine()
		settings.ResumeTimeout = 10 * time.Millisecond
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		s, err := b.client.Generate(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = read(s)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(20 * time.Millisecond)
		s, err = b.client.Generate(ctx, request("b"))
		Expect(err).NotTo(HaveOccurred())
		_, err = read(s)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.client.Resume(ctx, "a", 0)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})

	It("cancels a request whose stream is closed early", func(ctx context.Context) {
		settings := smallEngine()
		settings.StepTime = 20 * time.Millisecond
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		s, err := b.client.Generate(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		Eventually(func() int { return b.fake.Report().Running }, "10s").Should(Equal(0))
	})

	It("runs requests by priority and never runs a refused one", func(ctx context.Context) {
		settings := smallEngine()
		settings.MaxRunning = 1
		settings.MaxQueued = 2
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		b.fake.SetFaults(faker.EngineFaults{SlowdownFactor: 20})
		first, err := b.client.Generate(ctx, request("first"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return b.fake.Report().Running }, "10s").Should(Equal(1))
		low, err := b.client.Generate(ctx, request("low"))
		Expect(err).NotTo(HaveOccurred())
		q := request("high")
		q.Priority = 5
		high, err := b.client.Generate(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.client.Generate(ctx, request("over"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(first.Close()).To(Succeed())
		Eventually(b.fake.Ran, "10s").Should(HaveKey("high"))
		Expect(b.fake.Ran()).NotTo(HaveKey("low"))
		Expect(b.fake.Ran()).NotTo(HaveKey("over"))
		Expect(low.Close()).To(Succeed())
		Expect(high.Close()).To(Succeed())
	})

	DescribeTable("refuses with the verdict not-run", func(ctx context.Context, change func(*driver.Request), faults faker.EngineFaults) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		b.fake.SetFaults(faults)
		q := request("a")
		change(&q)
		_, err := b.client.Generate(ctx, q)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(b.fake.Ran()).To(BeEmpty())
		Expect(b.fake.Refused().Count == 1).To(Equal(faults.Leaving))
	},
		Entry("an unknown model", func(q *driver.Request) { q.Model = "none" }, faker.EngineFaults{}),
		Entry("an unknown adapter", func(q *driver.Request) { q.Adapter = "none" }, faker.EngineFaults{}),
		Entry("another version", func(q *driver.Request) { q.Version = "2" }, faker.EngineFaults{}),
		Entry("a request without an ID", func(q *driver.Request) { q.ID = "" }, faker.EngineFaults{}),
		Entry("a request larger than the reserve", func(q *driver.Request) { q.Prompt = strings.Repeat("x", 1<<20) }, faker.EngineFaults{}),
		Entry("a new request while leaving", func(*driver.Request) {}, faker.EngineFaults{Leaving: true}),
		Entry("every request in an outage", func(*driver.Request) {}, faker.EngineFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}}),
	)

	It("crashes on a poisoned prompt, which ends concurrent requests too", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		b.fake.SetFaults(faker.EngineFaults{Poison: "poison", SlowdownFactor: 20})
		boot := b.fake.Report().Incarnation
		bystander, err := b.client.Generate(ctx, request("bystander"))
		Expect(err).NotTo(HaveOccurred())
		q := request("poisoned")
		q.Prompt = "some poison here"
		poisoned, err := b.client.Generate(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		for _, s := range []driver.Stream{bystander, poisoned} {
			_, err := read(s)
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
			Expect(err).To(HaveOccurred())
		}
		r := b.fake.Report()
		Expect(r.Incarnation).NotTo(Equal(boot))
		Expect(r.Loaded).To(BeEmpty())
	})

	It("makes no progress while frozen and continues afterwards", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		s, err := b.client.Generate(ctx, request("a"))
		Expect(err).NotTo(HaveOccurred())
		b.fake.SetFaults(faker.EngineFaults{Faults: faker.Faults{Outage: faker.OutageHang}})
		limit, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = b.client.Report(limit)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		b.fake.SetFaults(faker.EngineFaults{})
		got, err := read(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(faker.Text(got)).To(Equal(faker.Text(faker.Answer(request("a")))))
	})
})

var _ = Describe("Engine cache", func() {
	long := strings.Repeat("the gear list of room four ", 20)

	It("caches prefixes, exports them to another engine and delays its events", func(ctx context.Context) {
		one := startEngine(smallEngine())
		one.fake.Preload(tiny, 100)
		s, err := one.client.Generate(ctx, driver.Request{ID: "a", Weights: tiny, Prompt: long, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		_, err = read(s)
		Expect(err).NotTo(HaveOccurred())
		prefixes := driver.Prefixes("tiny", long)
		events, err := one.client.Events(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(len(prefixes)))
		last := prefixes[len(prefixes)-1]
		data, err := one.client.Export(ctx, "tiny", last)
		Expect(err).NotTo(HaveOccurred())

		two := startEngine(smallEngine())
		Expect(judge.Of(two.client.Import(ctx, "tiny", last, data))).To(Equal(judge.NotRun), "the model is not loaded")
		two.fake.Preload(tiny, 100)
		Expect(two.client.Import(ctx, "tiny", last, data)).To(Succeed())
		two.fake.SetFaults(faker.EngineFaults{EventLag: time.Hour})
		events, err = two.client.Events(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(BeEmpty())
		two.fake.SetFaults(faker.EngineFaults{})
		events, err = two.client.Events(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(events).To(HaveLen(1))
		Expect(two.fake.Violations()).To(BeEmpty())
	})

	It("evicts the least recently used prefixes and drops events", func(ctx context.Context) {
		settings := smallEngine()
		settings.ReserveMB = 24
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		b.fake.SetFaults(faker.EngineFaults{DropEveryNthEvent: 3})
		for n := range 6 {
			q := driver.Request{ID: fmt.Sprint(n), Weights: tiny, Prompt: fmt.Sprint(n, long), MaxTokens: 4, Seed: 1}
			s, err := b.client.Generate(ctx, q)
			Expect(err).NotTo(HaveOccurred())
			_, err = read(s)
			Expect(err).NotTo(HaveOccurred())
		}
		events, err := b.client.Events(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		gone := 0
		for _, e := range events {
			Expect(e.Seq%3).NotTo(BeZero(), "every third event is lost")
			if e.Evicted {
				gone++
			}
		}
		Expect(gone).To(BeNumerically(">", 0))
		Expect(b.fake.Report().UsedMB).To(BeNumerically("<=", 100+24))
		Expect(b.fake.Violations()).To(BeEmpty())
	})

	It("refuses an import larger than the reserve", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		err := b.client.Import(ctx, "tiny", 1, make([]byte, 201<<10))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})
})

var _ = Describe("Engine orders", func() {
	residents := func(b testEngine) func() []string {
		return func() []string {
			names := []string{}
			for _, r := range b.fake.Report().Loaded {
				names = append(names, r.Model+r.Adapter+":"+r.State)
			}
			return names
		}
	}

	It("loads through the weight store and unloads", func(ctx context.Context) {
		store := faker.NewStore(faker.StoreSettings{Speed: 1000})
		b := startEngine(smallEngine(), faker.WithSource(store))
		Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 100))).To(Succeed())
		Expect(residents(b)()).To(ConsistOf("m:loading"))
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
		Expect(b.outcome("1")()).To(Equal(driver.OutcomeDone))
		o := loadOrder("2", 1, "m", 10)
		o.Adapter = "a"
		Expect(b.client.Order(ctx, o)).To(Succeed())
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready", "ma:ready"))
		Expect(b.client.Order(ctx, driver.Order{ID: "3", Fence: 1, Op: driver.OpUnload, Weights: driver.Weights{Model: "m"}})).To(Succeed())
		Eventually(residents(b), "10s").Should(BeEmpty())
		Expect(b.outcome("3")()).To(Equal(driver.OutcomeDone))
		Expect(b.fake.Violations()).To(BeEmpty())
	})

	It("fails a load while the store is unavailable, and an adapter without its model", func(ctx context.Context) {
		store := faker.NewStore(faker.StoreSettings{})
		store.SetFaults(faker.StoreFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}})
		b := startEngine(smallEngine(), faker.WithSource(store))
		Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 100))).To(Succeed())
		Eventually(b.outcome("1"), "10s").Should(Equal(driver.OutcomeFailed))
		o := loadOrder("2", 1, "m", 10)
		o.Adapter = "a"
		Expect(b.client.Order(ctx, o)).To(Succeed())
		Expect(b.outcome("2")()).To(Equal(driver.OutcomeFailed))
		Expect(residents(b)()).To(BeEmpty())
	})

	It("unloads weights only after the requests that use them have ended", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		b.fake.SetFaults(faker.EngineFaults{SlowdownFactor: 5})
		q := driver.Request{ID: "a", Weights: tiny, Prompt: "x", Seed: 1}
		s, err := b.client.Generate(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.client.Order(ctx, driver.Order{ID: "1", Op: driver.OpUnload, Weights: tiny})).To(Succeed())
		Expect(residents(b)()).To(ConsistOf("tiny:unloading"))
		q.ID = "b"
		_, err = b.client.Generate(ctx, q)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		got, err := read(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(faker.Text(got)).To(Equal(faker.Text(faker.Answer(q))))
		Eventually(residents(b), "10s").Should(BeEmpty())
	})

	DescribeTable("records every overcommitment of memory", func(ctx context.Context, orders ...driver.Order) {
		// The first order is still running when the second arrives.
		settings := smallEngine()
		settings.UnloadTime = time.Hour
		settings.RoleTime = time.Hour
		b := startEngine(settings)
		b.fake.Preload(tiny, 500)
		for _, o := range orders {
			Expect(b.client.Order(ctx, o)).To(Succeed())
		}
		var seen []faker.Violation
		p, err := http.Get(b.url + "/violations")
		Expect(err).NotTo(HaveOccurred())
		defer p.Body.Close()
		Expect(json.NewDecoder(p.Body).Decode(&seen)).To(Succeed())
		Expect(seen).NotTo(BeEmpty())
	},
		Entry("by a load", loadOrder("1", 1, "m", 301)),
		Entry("by two loads", loadOrder("1", 1, "m", 200), loadOrder("2", 1, "n", 200)),
		Entry("by a load during an unload",
			driver.Order{ID: "1", Op: driver.OpUnload, Weights: tiny}, loadOrder("2", 1, "m", 400)),
		Entry("by a role change", driver.Order{ID: "1", Op: driver.OpRole, Role: driver.RolePrefill, MemoryMB: 501}),
		Entry("by a load during a role change",
			driver.Order{ID: "1", Op: driver.OpRole, Role: driver.RoleDecode, MemoryMB: 100}, loadOrder("2", 1, "m", 400)),
	)

	It("reports no violation when the memory is exactly full", func(ctx context.Context) {
		b := startEngine(smallEngine())
		Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 800))).To(Succeed())
		Eventually(b.outcome("1"), "10s").Should(Equal(driver.OutcomeDone))
		Expect(b.fake.Violations()).To(BeEmpty())
	})

	It("changes its role", func(ctx context.Context) {
		b := startEngine(smallEngine())
		Expect(b.client.Order(ctx, driver.Order{ID: "1", Op: driver.OpRole, Role: driver.RoleDecode, MemoryMB: 300})).To(Succeed())
		Eventually(b.outcome("1"), "10s").Should(Equal(driver.OutcomeDone))
		Expect(b.fake.Report().Role).To(Equal(driver.RoleDecode))
		Expect(b.fake.Report().ReserveMB).To(BeEquivalentTo(300))
	})

	It("refuses old fencing tokens only if configured to", func(ctx context.Context) {
		b := startEngine(smallEngine())
		Expect(b.client.Order(ctx, driver.Order{ID: "1", Fence: 9, Op: driver.OpFence})).To(Succeed())
		Expect(judge.Of(b.client.Order(ctx, loadOrder("2", 8, "m", 10)))).To(Equal(judge.NotRun))
		Expect(b.outcome("2")()).To(Equal(driver.OutcomeRefused))
		Expect(residents(b)()).To(BeEmpty())

		withoutFencing := smallEngine()
		withoutFencing.ChecksFence = false
		b = startEngine(withoutFencing)
		Expect(b.client.Order(ctx, driver.Order{ID: "1", Fence: 9, Op: driver.OpFence})).To(Succeed())
		Expect(b.client.Order(ctx, loadOrder("2", 8, "m", 10))).To(Succeed())
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
	})

	It("runs an order ID only once if configured to", func(ctx context.Context) {
		for _, remembers := range []bool{true, false} {
			settings := smallEngine()
			settings.DeduplicatesOrders = remembers
			b := startEngine(settings)
			Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 10))).To(Succeed())
			Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
			Expect(b.client.Order(ctx, driver.Order{ID: "2", Fence: 1, Op: driver.OpUnload, Weights: driver.Weights{Model: "m"}})).To(Succeed())
			Eventually(residents(b), "10s").Should(BeEmpty())
			Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 10))).To(Succeed())
			if remembers {
				Consistently(residents(b), "50ms").Should(BeEmpty())
			} else {
				Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
			}
		}
	})

	It("loses and delays orders, and loses replies after the effect", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.SetFaults(faker.EngineFaults{LoseOrders: 1})
		Expect(judge.Of(b.client.Order(ctx, loadOrder("1", 1, "a", 10)))).To(Equal(judge.MayHaveRun))
		Expect(residents(b)()).To(BeEmpty())

		b.fake.SetFaults(faker.EngineFaults{DelayOrders: 1, OrderDelay: 20 * time.Millisecond})
		Expect(judge.Of(b.client.Order(ctx, loadOrder("2", 1, "b", 10)))).To(Equal(judge.MayHaveRun))
		Eventually(residents(b), "10s").Should(ConsistOf("b:ready"))

		b.fake.SetFaults(faker.EngineFaults{Faults: faker.Faults{LoseReplies: 1}})
		Expect(judge.Of(b.client.Order(ctx, loadOrder("3", 1, "c", 10)))).To(Equal(judge.MayHaveRun))
		Eventually(residents(b), "10s").Should(ConsistOf("b:ready", "c:ready"))
	})

	It("executes the copy of a duplicated order after a later order", func(ctx context.Context) {
		settings := smallEngine()
		settings.DeduplicatesOrders = false
		b := startEngine(settings)
		b.fake.SetFaults(faker.EngineFaults{DuplicateOrders: 1, OrderDelay: 100 * time.Millisecond})
		Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 10))).To(Succeed())
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
		Expect(b.client.Order(ctx, driver.Order{ID: "2", Fence: 1, Op: driver.OpUnload, Weights: driver.Weights{Model: "m"}})).To(Succeed())
		Eventually(b.outcome("2"), "10s").Should(Equal(driver.OutcomeDone))
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
	})

	It("delays its reports", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.SetFaults(faker.EngineFaults{ReportLag: time.Hour})
		Expect(b.client.Order(ctx, loadOrder("1", 1, "m", 10))).To(Succeed())
		Expect(residents(b)()).To(BeEmpty())
		b.fake.SetFaults(faker.EngineFaults{})
		Eventually(residents(b), "10s").Should(ConsistOf("m:ready"))
	})
})

var _ = Describe("Engine request IDs", func() {
	It("refuses an ID in use, without the verdict not-run", func(ctx context.Context) {
		b := startEngine(smallEngine())
		b.fake.Preload(tiny, 100)
		q := driver.Request{ID: "a", Weights: tiny, Prompt: "x", Seed: 1}
		s, err := b.client.Generate(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.client.Generate(ctx, q)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		_, err = read(s)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.fake.Ran()["a"]).To(Equal(1))
	})
})
