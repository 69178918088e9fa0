package dispatcher_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/dispatcher"
	"primrosehook/judge"
	"primrosehook/lister"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

var _ = Describe("Core", func() {
	It("keeps its invariants under random requests, reports, failures and crashes", func() {
		rapid.Check(GinkgoT(), checkCore)
	})

	It("grants due deferred work the slots reserved for urgent work", func() {
		core := dispatcher.NewCore(dispatcher.WithSeed(1))
		busy := func(now time.Time) []*dispatcher.Ticket {
			return core.UpdateEngines(now, []dispatcher.Engine{engine("one", now, 1)})
		}
		busy(start)
		t := core.Offer(start, dispatcher.Work{
			Weights: chat, Deferred: true, Deadline: start.Add(time.Hour), MaxWait: time.Hour,
		})
		Expect(busy(start.Add(20 * time.Minute))).To(BeEmpty())
		Expect(busy(start.Add(40 * time.Minute))).To(ConsistOf(t))
		Expect(t.Grant).NotTo(BeNil())
	})

	It("computes the due time of deferred work from its creation when it is offered again", func() {
		core := dispatcher.NewCore(dispatcher.WithSeed(1))
		later := start.Add(40 * time.Minute)
		core.UpdateEngines(later, []dispatcher.Engine{engine("one", later, 1)})
		t := core.Offer(later, dispatcher.Work{
			Weights: chat, Deferred: true, Created: start, Deadline: start.Add(time.Hour), MaxWait: time.Minute,
		})
		Expect(core.UpdateEngines(later, []dispatcher.Engine{engine("one", later, 1)})).To(ConsistOf(t))
		Expect(t.Grant).NotTo(BeNil())
	})

	It("randomizes the retry intervals", func() {
		core := dispatcher.NewCore(dispatcher.WithSeed(1))
		seen := map[time.Duration]bool{}
		for range 100 {
			seen[core.Offer(start, dispatcher.Work{Weights: chat}).Refusal.RetryAfter] = true
		}
		Expect(len(seen)).To(BeNumerically(">", 90))
	})

	It("spreads the choices of instances with the same stale report", func() {
		counts := map[string]int{}
		for seed := range 60 {
			core := dispatcher.NewCore(dispatcher.WithSeed(uint64(seed)))
			var all []dispatcher.Engine
			for i := range 12 {
				all = append(all, engine(fmt.Sprint(i), start, 0))
			}
			core.UpdateEngines(start, all)
			counts[core.Offer(start, dispatcher.Work{Weights: chat}).Grant.Engine.Name]++
		}
		for name, count := range counts {
			Expect(count).To(BeNumerically("<=", 15), name)
		}
	})
})

// coreModel applies random events to a core and checks its invariants.
type coreModel struct {
	t        *rapid.T
	core     *dispatcher.Core
	now      time.Time
	engines  map[string]string
	waiting  map[*dispatcher.Ticket]bool
	inFlight []dispatcher.Grant
}

func checkCore(t *rapid.T) {
	m := &coreModel{
		t: t, now: start, engines: map[string]string{}, waiting: map[*dispatcher.Ticket]bool{},
		core: dispatcher.NewCore(dispatcher.WithSeed(rapid.Uint64().Draw(t, "seed"))),
	}
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		m.checkSettled(m.core.Expire(m.now))
		switch rapid.IntRange(0, 4).Draw(t, "event") {
		case 0:
			m.report()
		case 1:
			m.release()
		default:
			m.offer()
		}
	}
	// Without engines, all waiting requests must be refused when they expire.
	m.engines = map[string]string{}
	m.checkSettled(m.core.UpdateEngines(m.now, nil))
	m.checkSettled(m.core.Expire(m.now.Add(time.Hour)))
	if len(m.waiting) > 0 {
		t.Fatalf("%d requests were neither granted nor refused", len(m.waiting))
	}
}

func (m *coreModel) report() {
	m.engines = map[string]string{}
	var all []dispatcher.Engine
	for i := range rapid.IntRange(0, 3).Draw(m.t, "engines") {
		lag := time.Duration(rapid.IntRange(0, 5000).Draw(m.t, "lag")) * time.Millisecond
		e := engine(fmt.Sprint(i), m.now.Add(-lag), rapid.IntRange(0, 4).Draw(m.t, "running"))
		e.State = rapid.SampledFrom([]string{lister.StateLive, lister.StateLive, lister.StateLeaving}).Draw(m.t, "state")
		m.engines[e.Name] = e.State
		all = append(all, e)
	}
	m.checkSettled(m.core.UpdateEngines(m.now, all))
}

func (m *coreModel) release() {
	if len(m.inFlight) == 0 {
		return
	}
	g := m.inFlight[0]
	m.inFlight = m.inFlight[1:]
	m.checkSettled(m.core.Release(m.now, g, dispatcher.Result{
		Failed:     rapid.Bool().Draw(m.t, "failed"),
		Crashed:    rapid.IntRange(0, 5).Draw(m.t, "crashed") == 0,
		FirstToken: time.Millisecond, Total: time.Second,
	}))
}

func (m *coreModel) offer() {
	w := dispatcher.Work{
		Weights: chat, Client: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "caller"),
		MaxWait:  time.Duration(rapid.IntRange(0, 3000).Draw(m.t, "queue")) * time.Millisecond,
		Deferred: rapid.Bool().Draw(m.t, "deferred"),
	}
	if rapid.Bool().Draw(m.t, "hasDeadline") {
		w.Deadline = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "deadline")) * time.Millisecond)
	}
	if rapid.Bool().Draw(m.t, "excludes") {
		w.Exclude = []string{"0"}
	}
	t := m.core.Offer(m.now, w)
	m.waiting[t] = true
	if t.Settled() {
		m.checkSettled([]*dispatcher.Ticket{t})
	}
}

func (m *coreModel) checkSettled(all []*dispatcher.Ticket) {
	for _, t := range all {
		if !m.waiting[t] {
			m.t.Fatalf("a request was settled twice")
		}
		delete(m.waiting, t)
		if t.Refusal != nil {
			if t.Refusal.Verdict != judge.NotRun || t.Refusal.RetryAfter < time.Second {
				m.t.Fatalf("refusal with another verdict than NotRun or a retry interval below 1 s: %v", t.Refusal)
			}
			continue
		}
		name := t.Grant.Engine.Name
		if m.engines[name] != lister.StateLive {
			m.t.Fatalf("slot on engine %s, whose state is %q", name, m.engines[name])
		}
		if len(t.Work.Exclude) > 0 && name == t.Work.Exclude[0] {
			m.t.Fatalf("slot on engine %s, which is excluded", name)
		}
		m.inFlight = append(m.inFlight, *t.Grant)
	}
}
