package router_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/driver"
	"primrosehook/lister"
	"primrosehook/router"
)

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	chat  = driver.Weights{Model: "chat"}
)

// engine returns a live engine that has the chat model loaded.
func engine(name string, running int) router.Engine {
	return router.Engine{
		Instance: lister.Instance{Name: name, Zone: "a", State: lister.StateLive},
		Report: driver.Report{
			MaxBatch: 4,
			Load:     driver.Load{Running: running},
			Loaded:   []driver.LoadedWeights{{Weights: chat, State: driver.StateReady}},
		},
		At: start,
	}
}

func request() *router.Request { return &router.Request{Weights: chat, Prompt: 400} }

var _ = Describe("Router", func() {
	var r *router.Router

	BeforeEach(func() { r = router.New(router.WithSeed(1), router.WithZone("a"), router.WithSampleSize(0)) })

	It("sends the retries of requests that were lost with the same engine to different engines", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 2), engine("three", 3)})
		seen := map[string]bool{}
		for range 3 {
			q := request()
			q.Crashes = 1
			choice := r.Choose(start, q)
			Expect(choice.Status).To(Equal(router.Found))
			seen[choice.Engine.Name] = true
			r.Sent(start, choice.Engine.Name, q)
		}
		Expect(seen).To(HaveLen(3), "a suspect was sent beside another one because the engine had less load")
	})

	It("sends a suspect to an engine again once the other suspect there has completed", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 2)})
		q := request()
		q.Crashes = 1
		r.Sent(start, "one", q)
		Expect(r.Choose(start, q).Engine.Name).To(Equal("two"))
		r.Done(start, "one", q, router.Outcome{})
		Expect(r.Choose(start, q).Engine.Name).To(Equal("one"))
	})

	DescribeTable("skips ineligible engines",
		func(change func(e *router.Engine, q *router.Request), status router.Status) {
			e, q := engine("one", 0), request()
			change(&e, q)
			r.Update([]router.Engine{e})
			Expect(r.Choose(start, q).Status).To(Equal(status))
		},
		Entry("live engine", func(*router.Engine, *router.Request) {}, router.Found),
		Entry("leaving engine", func(e *router.Engine, _ *router.Request) { e.State = lister.StateLeaving }, router.Full),
		Entry("excluded engine", func(_ *router.Engine, q *router.Request) { q.Exclude = []string{"one"} }, router.Full),
		Entry("full engine", func(e *router.Engine, _ *router.Request) { e.Report.Waiting = 6 }, router.Full),
		Entry("busy engine for deferred work", func(e *router.Engine, q *router.Request) {
			e.Report.Running, q.Deferred = 3, true
		}, router.Full),
		Entry("engine that is still loading the model", func(e *router.Engine, _ *router.Request) {
			e.Report.Loaded[0].State = driver.StateLoading
		}, router.Loading),
		Entry("engine without the adapter", func(_ *router.Engine, q *router.Request) { q.Adapter = "x" }, router.Absent),
		Entry("engine with another version", func(e *router.Engine, q *router.Request) {
			e.Report.Loaded[0].Version, q.Version = "1", "2"
		}, router.Absent),
	)

	It("spreads requests over all engines while peers send nearly all the load", func() {
		one, two := engine("one", 40), engine("two", 48)
		one.Report.MaxBatch, two.Report.MaxBatch = 64, 64
		r.Update([]router.Engine{one, two})
		chosen := map[string]int{}
		for range 100 {
			chosen[r.Choose(start, request()).Engine.Name]++
		}
		Expect(chosen).To(HaveLen(2))
		Expect(chosen["one"]).To(BeNumerically(">", chosen["two"]))
		for range 3 {
			r.Sent(start.Add(time.Millisecond), "two", request())
		}
		r.Update([]router.Engine{one, two})
		for range 100 {
			Expect(r.Choose(start, request()).Engine.Name).To(Equal("one"))
		}
	})

	It("adds its own requests to a stale report", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 2)})
		for range 3 {
			r.Sent(start.Add(time.Millisecond), "one", request())
		}
		Expect(r.Choose(start, request()).Engine.Name).To(Equal("two"))
	})

	It("drops its own requests once a newer report includes them", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 2)})
		r.Sent(start.Add(time.Millisecond), "one", request())
		r.Done(start.Add(2*time.Millisecond), "one", request(), router.Outcome{Load: &driver.Load{Running: 4}})
		Expect(r.Choose(start, request()).Engine.Name).To(Equal("two"))
	})

	It("keeps a newer load when an older report arrives late", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 2)})
		r.Done(start.Add(time.Second), "one", request(), router.Outcome{Load: &driver.Load{Running: 4}})
		r.Update([]router.Engine{engine("one", 0), engine("two", 2)})
		Expect(r.Choose(start, request()).Engine.Name).To(Equal("two"))
	})

	It("prefers the engine that has cached the prompt's prefix, until it is evicted", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 0)})
		q := request()
		q.Prompt, q.Prefixes = 64000, []uint64{7, 8}
		r.ApplyCacheEvent("two", driver.CacheEvent{Prefix: 8})
		Expect(r.Choose(start, q).Engine.Name).To(Equal("two"))
		r.ApplyCacheEvent("two", driver.CacheEvent{Prefix: 8, Evicted: true})
		r.ApplyCacheEvent("one", driver.CacheEvent{Prefix: 8})
		Expect(r.Choose(start, q).Engine.Name).To(Equal("one"))
	})

	It("ejects a lost engine, probes it with one request and readmits it", func() {
		r.Update([]router.Engine{engine("one", 0), engine("two", 3)})
		r.Sent(start, "one", request())
		r.Done(start, "one", request(), router.Outcome{Crashed: true})
		Expect(r.Choose(start.Add(time.Second), request()).Engine.Name).To(Equal("two"))
		later := start.Add(3 * time.Second)
		Expect(r.Choose(later, request()).Engine.Name).To(Equal("one"))
		r.Sent(later, "one", request())
		Expect(r.Choose(later, request()).Engine.Name).To(Equal("two"))
		r.Done(later, "one", request(), router.Outcome{FirstToken: time.Millisecond})
		Expect(r.Choose(later, request()).Engine.Name).To(Equal("one"))
	})

	It("probes the engines when all are ejected", func() {
		r.Update([]router.Engine{engine("one", 0)})
		r.Done(start, "one", request(), router.Outcome{Crashed: true})
		Expect(r.Choose(start, request()).Status).To(Equal(router.Found))
	})

	It("reports the reason for each candidate", func() {
		leaving := engine("three", 0)
		leaving.State = lister.StateLeaving
		r.Update([]router.Engine{engine("one", 0), engine("two", 3), leaving})
		why := map[string]string{}
		for _, c := range r.Choose(start, request()).Candidates {
			why[c.Engine] = c.Why
		}
		Expect(why).To(Equal(map[string]string{"one": "chosen", "two": "a later first token", "three": "leaving"}))
	})

	It("never chooses a leaving or excluded engine after random reports and outcomes", func() {
		rapid.Check(GinkgoT(), checkChoices)
	})
})

// checkChoices applies random reports and outcomes to a router and checks each
// choice.
func checkChoices(t *rapid.T) {
	names := []string{"one", "two", "three", "four"}
	r := router.New(router.WithSeed(rapid.Uint64().Draw(t, "seed")), router.WithSampleSize(2))
	now := start
	states := map[string]string{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		var all []router.Engine
		for _, name := range names {
			e := engine(name, rapid.IntRange(0, 8).Draw(t, "running"))
			e.State = rapid.SampledFrom([]string{lister.StateLive, lister.StateLeaving}).Draw(t, "state")
			e.At = now
			states[name] = e.State
			all = append(all, e)
		}
		r.Update(all)
		q := request()
		q.Deferred = rapid.Bool().Draw(t, "deferred")
		q.Exclude = []string{rapid.SampledFrom(names).Draw(t, "exclude")}
		c := r.Choose(now, q)
		if c.Status != router.Found {
			continue
		}
		if c.Engine.Name == q.Exclude[0] || states[c.Engine.Name] == lister.StateLeaving {
			t.Fatalf("chose %s, which is excluded or leaving", c.Engine.Name)
		}
		r.Sent(now, c.Engine.Name, q)
		r.Done(now, c.Engine.Name, q, router.Outcome{
			Failed:     rapid.Bool().Draw(t, "failed"),
			Crashed:    rapid.Bool().Draw(t, "crashed"),
			FirstToken: time.Millisecond,
		})
	}
}
