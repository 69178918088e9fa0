package poolplanner_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func host(name string, free int64, models ...string) poolplanner.Engine {
	e := poolplanner.Engine{Name: name, Zone: name, Free: free, Batch: 4}
	for _, m := range models {
		e.Loaded = append(e.Loaded, driver.LoadedWeights{
			Weights: driver.Weights{Model: m}, State: driver.StateReady, MemoryMB: 10,
		})
	}
	return e
}

func model(name string, demand float64) poolplanner.Model {
	return poolplanner.Model{Weights: driver.Weights{Model: name}, Memory: 10, Demand: demand, Urgent: demand, ServiceTime: time.Second}
}

func state(engines []poolplanner.Engine, models ...poolplanner.Model) poolplanner.State {
	return poolplanner.State{
		Engines: engines, Models: models, Attainment: 0.5, Moves: 0.5,
		Store: poolplanner.WeightStore{Rate: 10, Slots: 3},
	}
}

// adapter returns the adapter x of a model. withAdapter adds it to an engine.
func adapter(name string) poolplanner.Model {
	return poolplanner.Model{Weights: driver.Weights{Model: name, Adapter: "x"}, Memory: 1}
}

func withAdapter(e poolplanner.Engine, name, adapter string) poolplanner.Engine {
	w := driver.Weights{Model: name, Adapter: adapter}
	e.Loaded = append(e.Loaded, driver.LoadedWeights{Weights: w, State: driver.StateReady, MemoryMB: 1})
	return e
}

// moves computes one plan and formats each move as "load a on one".
func moves(s poolplanner.State) []string { return names(poolplanner.New().Plan(start, s)) }

func names(moves []poolplanner.Move) []string {
	var all []string
	for _, m := range moves {
		name := m.Model
		if m.Adapter != "" {
			name += "/" + m.Adapter
		}
		all = append(all, fmt.Sprintf("%s %s on %s", m.Op, name, m.Engine))
	}
	return all
}

var _ = Describe("Cost", func() {
	DescribeTable("plans",
		func(s poolplanner.State, expected ...string) { Expect(moves(s)).To(ConsistOf(expected)) },
		Entry("none if the demand is met", state([]poolplanner.Engine{host("one", 0, "a")}, model("a", 1))),
		Entry("load of a model without a replica",
			state([]poolplanner.Engine{host("one", 10, "a")}, model("a", 1), model("b", 0)), "load b on one"),
		Entry("none on a busy or leaving engine",
			state([]poolplanner.Engine{{Name: "one", Free: 50, Busy: true}, {Name: "two", Free: 50, Leaving: true}}, model("a", 1))),
		Entry("no more loads than the store has slots",
			poolplanner.State{
				Engines: []poolplanner.Engine{host("one", 50), host("two", 50)},
				Models:  []poolplanner.Model{model("a", 1), model("b", 2)},
				Store:   poolplanner.WeightStore{Rate: 1, Slots: 2, Loading: 1},
			}, "load b on one"),
		Entry("second replica of a model with excess demand",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 10)}, model("a", 8)), "load a on two"),
		Entry("no second replica that saves too few requests",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 10)}, model("a", 2))),
		Entry("unload of a spare replica for a model that has none",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 0, "a")}, model("a", 0.1), model("b", 1)), "unload a on one"),
		Entry("no unload of a last replica while the models fit",
			state([]poolplanner.Engine{host("one", 0, "a"), {Name: "two", Free: 20, Busy: true}}, model("a", 0), model("b", 1))),
		Entry("load of an adapter on an engine with its model",
			state([]poolplanner.Engine{host("one", 20), host("two", 20, "a")}, model("a", 0),
				poolplanner.Model{Weights: driver.Weights{Model: "a", Adapter: "x"}, Memory: 1}), "load a/x on two", "load a on one"),
		Entry("second replica in another zone for a model with one",
			state([]poolplanner.Engine{host("one", 20, "a"), host("two", 20)}, model("a", 0.1)), "load a on two"),
		Entry("second replica of an adapter on the engine with its model's second replica",
			state([]poolplanner.Engine{withAdapter(host("one", 0, "a"), "a", "x"), host("two", 5, "a")}, model("a", 0), adapter("a")), "load a/x on two"),
		Entry("no second replica in the last memory that fits the largest model",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 10)}, model("a", 0.1))),
		Entry("no second replica while a model has none",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 30), {Name: "three", Free: 50, Busy: true}},
				model("a", 0.1), poolplanner.Model{Weights: driver.Weights{Model: "b"}, Memory: 40})),
		Entry("second replica although another model fits on no engine",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 30), host("three", 200)}, model("a", 0.1), poolplanner.Model{Weights: driver.Weights{Model: "b"}, Memory: 400}),
			"load a on two"),
		Entry("unload of an idle model's second replica for a busy model",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 0, "b"), host("three", 0, "b")}, model("a", 12), model("b", 0.1)), "unload b on three"),
		Entry("no unload of a busy model's replica for another busy model",
			state([]poolplanner.Engine{host("one", 0, "a"), host("two", 0, "b"), host("three", 0, "b")}, model("a", 12), model("b", 2))),
	)

	It("frees memory while the store has no free slot", func() {
		s := state([]poolplanner.Engine{host("one", 0, "a"), host("two", 0, "a")}, model("a", 0.1), model("b", 1))
		s.Store.Loading = s.Store.Slots
		Expect(moves(s)).To(ConsistOf("unload a on one"))
	})

	It("stops an eviction when an empty engine has joined", func() {
		s := state([]poolplanner.Engine{withAdapter(host("one", 0, "a"), "a", "x"), withAdapter(host("two", 0, "a"), "a", "x")}, model("a", 0.1), adapter("a"), model("b", 1))
		p := poolplanner.New()
		Expect(names(p.Plan(start, s))).To(ConsistOf("unload a/x on one"))
		s.Engines[0] = host("one", 1, "a")
		s.Engines = append(s.Engines, host("three", 50))
		Expect(names(p.Plan(start.Add(time.Second), s))).To(ContainElement("load b on three"))
		Expect(names(p.Plan(start.Add(2*time.Second), s))).NotTo(ContainElement(HavePrefix("unload")))
	})

	It("loads every model with demand within a few plans after the loss of a zone", func() {
		rapid.Check(GinkgoT(), checkZoneLoss)
	})

	It("loads a model on an engine where its adapters fit too", func() {
		s := state([]poolplanner.Engine{host("one", 10), host("two", 40)}, model("a", 0), adapter("a"))
		Expect(moves(s)).To(ConsistOf("load a on two"))
	})

	It("loads another replica of the model for an adapter that fits nowhere", func() {
		s := state([]poolplanner.Engine{host("one", 0, "a"), host("two", 40)}, model("a", 0), adapter("a"))
		Expect(moves(s)).To(ConsistOf("load a on two"))
	})

	It("loads an adapter elsewhere before it evicts the model under it", func() {
		one := host("one", 0, "a")
		x := driver.LoadedWeights{Weights: driver.Weights{Model: "a", Adapter: "x"}, State: driver.StateReady, MemoryMB: 1}
		one.Loaded = append(one.Loaded, x)
		s := state([]poolplanner.Engine{one, host("two", 5, "a")}, model("a", 0), adapter("a"), model("b", 1))
		Expect(moves(s)).To(ConsistOf("load a/x on two"))
	})

	// Guards against the loss of an adapter's only two replicas in one plan, each
	// because of the other: both are unloaded with replicas of their model.
	It("does not count the adapters of a replica that it evicts", func() {
		s := state([]poolplanner.Engine{withAdapter(host("one", 0, "a"), "a", "x"), withAdapter(host("two", 0, "a"), "a", "x"), host("zthree", 1, "a")},
			model("a", 0.1), adapter("a"), model("b", 1), model("c", 1))
		Expect(moves(s)).To(ConsistOf("unload a/x on one", "load a/x on zthree"))
	})

	// Guards against the loss of an adapter whose other replica is lost between the
	// start of an eviction and its own unload.
	It("keeps an adapter of an evicted replica once it is ready nowhere else", func() {
		one := withAdapter(withAdapter(host("one", 0, "a"), "a", "x"), "a", "y")
		two := withAdapter(withAdapter(host("two", 0, "a"), "a", "x"), "a", "y")
		y := adapter("a")
		y.Adapter = "y"
		s := state([]poolplanner.Engine{one, two, host("zthree", 2, "a")}, model("a", 0.1), adapter("a"), y, model("b", 1))
		p := poolplanner.New()
		Expect(names(p.Plan(start, s))).To(ContainElement("unload a/x on one"))
		s.Engines = []poolplanner.Engine{withAdapter(host("one", 1, "a"), "a", "y"), withAdapter(host("zthree", 1, "a"), "a", "x")}
		Expect(names(p.Plan(start.Add(time.Second), s))).To(ConsistOf("load a/y on zthree"))
		s.Engines[1] = withAdapter(s.Engines[1], "a", "y")
		Expect(names(p.Plan(start.Add(2*time.Second), s))).To(ContainElement("unload a/y on one"))
	})

	// Guards against unloading both replicas of a model, when the first unload is no
	// longer needed but already under way.
	It("counts a replica as evicted while its unload may be under way", func() {
		s := state([]poolplanner.Engine{host("one", 0, "a"), host("two", 0, "a")}, model("a", 0.1), model("b", 1))
		p := poolplanner.New()
		Expect(names(p.Plan(start, s))).To(ConsistOf("unload a on one"))
		s.Engines[0].Busy = true
		s.Engines = append(s.Engines, host("three", 10))
		s.Models = append(s.Models, model("c", 1))
		Expect(names(p.Plan(start.Add(time.Second), s))).To(ConsistOf(HavePrefix("load")))
	})

	It("unloads the last replica of an idle model if the models exceed the memory", func() {
		s := state([]poolplanner.Engine{host("one", 0, "a")}, model("a", 0), model("b", 1))
		p := poolplanner.New()
		Expect(p.Plan(start, s)).To(BeEmpty())
		Expect(p.Plan(start.Add(2*time.Minute), s)).To(HaveLen(1))
	})

	It("keeps the last replica of an idle model while the models fit, however long it is idle", func() {
		busy := host("two", 20)
		busy.Busy = true
		s := state([]poolplanner.Engine{host("one", 0, "a"), busy}, model("a", 0), model("b", 1))
		p := poolplanner.New()
		Expect(p.Plan(start, s)).To(BeEmpty())
		Expect(p.Plan(start.Add(time.Hour), s)).To(BeEmpty())
	})

	It("never exceeds free memory, unloads a required last replica or uses a busy or leaving engine", func() {
		rapid.Check(GinkgoT(), checkPlans)
	})
})

// checkPlans applies the planner's moves to random states and checks each.
func checkPlans(t *rapid.T) {
	const total = 40
	p := poolplanner.New()
	names := []string{"a", "b", "c", "d", "e"}
	var engines []poolplanner.Engine
	for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
		engines = append(engines, host(fmt.Sprint(i), total))
	}
	now := start
	lastDemand := map[string]time.Time{}
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		s := state(engines)
		for _, name := range names {
			m := model(name, rapid.SampledFrom([]float64{0, 0.5, 3, 12}).Draw(t, "demand"))
			s.Models = append(s.Models, m)
			if m.Demand > 0 || lastDemand[name].IsZero() {
				lastDemand[name] = now
			}
		}
		for i := range engines {
			engines[i].Busy = rapid.Bool().Draw(t, "busy")
			engines[i].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		}
		// A last replica may be unloaded only if the models exceed the memory and
		// the model has had no demand for a minute.
		live := 0
		for _, e := range engines {
			if !e.Leaving {
				live++
			}
		}
		mayUnloadLast := map[string]bool{}
		for _, name := range names {
			mayUnloadLast[name] = live*total < 10*len(names) && now.Sub(lastDemand[name]) >= time.Minute
		}
		before := ready(engines)
		for _, m := range p.Plan(now, s) {
			apply(t, engines, before, mayUnloadLast, m)
		}
		completeOrders(engines)
	}
}

// checkZoneLoss removes a zone from a fleet in a steady state. All models fit on
// the remaining engines, so each must have a ready replica after as many plans
// as the store needs rounds of loads, plus one to free memory first.
func checkZoneLoss(t *rapid.T) {
	p := poolplanner.New()
	s := state(nil)
	s.Store.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
	for i := range 6 {
		s.Engines = append(s.Engines, host(fmt.Sprint(i), 30))
		s.Engines[i].Zone = fmt.Sprint(i % 3)
	}
	for i := range rapid.IntRange(4, 8).Draw(t, "models") {
		s.Models = append(s.Models, model(fmt.Sprint("m", i), rapid.Float64Range(0.1, 0.5).Draw(t, "demand")))
	}
	rounds := (len(s.Models) + s.Store.Slots - 1) / s.Store.Slots
	now := start
	plan := func(count int) {
		for range count {
			now = now.Add(time.Second)
			for _, m := range p.Plan(now, s) {
				apply(t, s.Engines, ready(s.Engines), nil, m)
			}
			completeOrders(s.Engines)
		}
	}
	plan(4 * rounds)
	s.Engines = slices.DeleteFunc(s.Engines, func(e poolplanner.Engine) bool { return e.Zone == "0" })
	plan(rounds + 1)
	for _, m := range s.Models {
		if ready(s.Engines)[m.Model] == 0 {
			t.Fatalf("%s has no ready replica", m.Model)
		}
	}
}

func ready(engines []poolplanner.Engine) map[string]int {
	count := map[string]int{}
	for _, e := range engines {
		for _, r := range e.Loaded {
			if !e.Leaving && r.State == driver.StateReady {
				count[r.Model]++
			}
		}
	}
	return count
}

func apply(t *rapid.T, engines []poolplanner.Engine, readyCounts map[string]int, mayUnloadLast map[string]bool, m poolplanner.Move) {
	for i := range engines {
		e := &engines[i]
		if e.Name != m.Engine {
			continue
		}
		if e.Busy || e.Leaving {
			t.Fatalf("%v on an engine that is busy or leaving", m)
		}
		e.Busy = true
		if m.Op == driver.OpUnload {
			if readyCounts[m.Model]--; readyCounts[m.Model] < 1 && !mayUnloadLast[m.Model] {
				t.Fatalf("%v unloads the last replica", m)
			}
			for j := range e.Loaded {
				if e.Loaded[j].Weights == m.Weights {
					e.Loaded[j].State = driver.StateUnloading
				}
			}
			return
		}
		if e.Free -= m.Memory; e.Free < 0 {
			t.Fatalf("%v exceeds the free memory", m)
		}
		e.Loaded = append(e.Loaded, driver.LoadedWeights{Weights: m.Weights, State: driver.StateLoading, MemoryMB: m.Memory})
	}
}

// completeOrders completes all orders.
func completeOrders(engines []poolplanner.Engine) {
	for i := range engines {
		e := &engines[i]
		var kept []driver.LoadedWeights
		for _, r := range e.Loaded {
			if r.State == driver.StateUnloading {
				e.Free += r.MemoryMB
				continue
			}
			r.State = driver.StateReady
			kept = append(kept, r)
		}
		e.Loaded, e.Busy = kept, false
	}
}
