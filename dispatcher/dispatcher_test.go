package dispatcher_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/lister"
)

var chat = driver.Weights{Model: "chat"}

// engine returns a live engine that has the chat model loaded.
func engine(name string, at time.Time, running int) dispatcher.Engine {
	return dispatcher.Engine{
		Instance: lister.Instance{Name: name, State: lister.StateLive},
		Report: driver.Report{
			MaxBatch: 2,
			Load:     driver.Load{Running: running},
			Loaded:   []driver.LoadedWeights{{Weights: chat, State: driver.StateReady}},
		},
		At: at,
	}
}

type answer struct {
	Grant dispatcher.Grant
	Err   error
}

type client struct {
	core    *dispatcher.LockedCore
	answers chan answer
}

func (c *client) runAcquire(ctx context.Context, work dispatcher.Work) {
	grant, err := c.core.Acquire(ctx, work)
	c.answers <- answer{grant, err}
}

var _ = Describe("LockedCore", func() {
	var (
		clock *clockwork.FakeClock
		core  *dispatcher.LockedCore
		c     *client
	)

	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		core = dispatcher.New(dispatcher.WithClock(clock), dispatcher.WithSeed(1))
		c = &client{core: core, answers: make(chan answer, 100)}
	})

	work := func(deadline, maxWait time.Duration) dispatcher.Work {
		w := dispatcher.Work{Weights: chat, Client: "x", Class: "urgent", Priority: 1, MaxWait: maxWait}
		if deadline > 0 {
			w.Deadline = clock.Now().Add(deadline)
		}
		return w
	}
	refusal := func(err error) *judge.Refusal {
		r := judge.As(err)
		Expect(r.Verdict).To(Equal(judge.NotRun))
		Expect(r.RetryAfter).To(BeNumerically(">=", time.Second))
		return r
	}
	// fill acquires all slots: a batch of 2 and one that queues inside the engine.
	fill := func() []dispatcher.Grant {
		var all []dispatcher.Grant
		for range 3 {
			g, err := core.Acquire(context.Background(), work(0, 0))
			Expect(err).NotTo(HaveOccurred())
			all = append(all, g)
		}
		return all
	}

	It("grants a free slot at once and lists the candidates", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		g, err := core.Acquire(context.Background(), work(time.Second, time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(g.Engine.Name).To(Equal("one"))
		Expect(g.Candidates).To(HaveLen(1))
	})

	It("refuses work immediately if it may not queue", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		fill()
		_, err := core.Acquire(context.Background(), work(time.Second, 0))
		Expect(refusal(err).Code).To(Equal("overloaded"))
	})

	It("refuses work immediately if its model cannot be loaded in time", func() {
		_, err := core.Acquire(context.Background(), work(time.Second, time.Second))
		Expect(refusal(err).Code).To(Equal("loading"))
		Expect(core.Demand()[0].Missed).To(BeNumerically(">", 0))
	})

	It("grants a released slot to waiting work", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		all := fill()
		go c.runAcquire(context.Background(), work(time.Minute, time.Minute))
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		core.Release(all[0], dispatcher.Result{})
		Eventually(c.answers, "5s").Should(Receive(HaveField("Err", BeNil())))
	})

	It("grants waiting work a slot on a new engine while the others are leaving", func() {
		gone := engine("one", clock.Now(), 0)
		core.UpdateEngines([]dispatcher.Engine{gone})
		fill()
		go c.runAcquire(context.Background(), work(time.Minute, time.Minute))
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		gone.State = lister.StateLeaving
		core.UpdateEngines([]dispatcher.Engine{gone})
		Consistently(c.answers, "50ms").ShouldNot(Receive())
		core.UpdateEngines([]dispatcher.Engine{gone, engine("two", clock.Now(), 0)})
		Eventually(c.answers, "5s").Should(Receive(HaveField("Grant.Engine.Name", "two")))
	})

	It("refuses waiting work at its deadline", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		fill()
		go c.runAcquire(context.Background(), work(2*time.Second, time.Minute))
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		clock.Advance(2 * time.Second)
		var a answer
		Eventually(c.answers, "5s").Should(Receive(&a))
		Expect(refusal(a.Err).Code).To(Equal("queue-timeout"))
	})

	It("removes waiting work whose client has disconnected", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		fill()
		ctx, cancel := context.WithCancel(context.Background())
		go c.runAcquire(ctx, work(time.Minute, time.Minute))
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		cancel()
		Eventually(c.answers, "5s").Should(Receive(HaveField("Err", HaveOccurred())))
		Expect(core.State().Waiting).To(BeZero())
	})

	It("ejects an engine that fails, but not one whose clients disconnect", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0), engine("two", clock.Now(), 2)})
		run := func(result dispatcher.Result) string {
			g, err := core.Acquire(context.Background(), work(0, 0))
			Expect(err).NotTo(HaveOccurred())
			core.Release(g, result)
			return g.Engine.Name
		}
		for range 10 {
			Expect(run(dispatcher.Result{Failed: true, Verdict: judge.Ran})).To(Equal("one"))
		}
		for range 3 {
			Expect(run(dispatcher.Result{Failed: true, Verdict: judge.MayHaveRun})).To(Equal("one"))
		}
		Expect(run(dispatcher.Result{})).To(Equal("two"))
	})

	It("reports the demand for a model and its replicas", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		for range 300 {
			clock.Advance(100 * time.Millisecond)
			_, _ = core.Acquire(context.Background(), work(0, 0))
		}
		rate, replicas := core.Rate("chat")
		Expect(rate).To(BeNumerically("~", 10, 1))
		Expect(replicas).To(Equal(1))
		Expect(core.Demand()[0].Rate).To(BeNumerically("~", rate, 1e-6))
	})

	It("does not let work that excludes an engine block other work", func() {
		core.UpdateEngines([]dispatcher.Engine{engine("one", clock.Now(), 0)})
		all := fill()
		w := work(0, time.Minute)
		w.Exclude, w.Priority = []string{"one"}, 9
		go c.runAcquire(context.Background(), w)
		go c.runAcquire(context.Background(), work(0, time.Minute))
		Expect(clock.BlockUntilContext(context.Background(), 2)).To(Succeed())
		core.Release(all[0], dispatcher.Result{})
		Eventually(c.answers, "5s").Should(Receive(HaveField("Grant.Engine.Name", "one")))
	})
})
