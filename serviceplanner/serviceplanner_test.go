package serviceplanner_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/matcher"
	"primrosehook/serviceplanner"
)

func engine(models, adapters int) *matcher.Engine {
	e := &matcher.Engine{MemoryMB: 230, AdapterSlots: 8, Models: map[string]matcher.Model{}}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = matcher.Model{Name: name, SizeMB: 72, AdapterSizeMB: 0.1, Adapters: adapters}
	}
	return e
}

func server(id string, models ...string) serviceplanner.Server {
	s := serviceplanner.Server{ID: id, Loaded: map[string][]string{}, Warm: map[string]bool{}}
	for _, m := range models {
		s.Loaded[m] = nil
	}
	return s
}

var _ = Describe("Plan", func() {
	It("loads a model that no server has loaded, even without demand", func() {
		orders := serviceplanner.Plan(serviceplanner.State{Engine: engine(2, 0), Servers: []serviceplanner.Server{server("a", "m0")}, ColdLoads: 5})
		Expect(orders).To(HaveLen(1))
		Expect(orders[0]).To(And(HaveField("Server", "a"), HaveField("Op", serviceplanner.Load), HaveField("Model", "m1"), HaveField("Cold", true)))
	})

	It("prefers a server that need not fetch the weights, which does not count toward the limit on cold loads", func() {
		warm := server("b", "m0")
		warm.Warm["m1"] = true
		state := serviceplanner.State{Engine: engine(2, 0), Servers: []serviceplanner.Server{server("a", "m0"), warm}, ColdLoads: 0}
		orders := serviceplanner.Plan(state)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0]).To(And(HaveField("Server", "b"), HaveField("Cold", false)))
	})

	It("loads nothing from the weight store beyond the limit on cold loads", func() {
		Expect(serviceplanner.Plan(serviceplanner.State{Engine: engine(2, 0), Servers: []serviceplanner.Server{server("a", "m0")}, ColdLoads: 0})).To(BeEmpty())
	})

	// Guards against loads beside a model whose size is unknown.
	It("has no room beside a model that the configuration does not name, and unloads it", func() {
		full := server("a", "m0", "m1", "gone")
		state := serviceplanner.State{Engine: engine(3, 1), Servers: []serviceplanner.Server{full}, Demand: map[string]float64{"m2": 50, "m0/a1": 50}, ColdLoads: 5}
		Expect(serviceplanner.Fits(state.Engine, full.Loaded, serviceplanner.Order{Op: serviceplanner.Load, Model: "m2"})).To(BeFalse())
		Expect(serviceplanner.Fits(state.Engine, full.Loaded, serviceplanner.Order{Op: serviceplanner.Load, Model: "m0", Adapter: "a1"})).To(BeFalse())
		orders := serviceplanner.Plan(state)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0]).To(And(HaveField("Op", serviceplanner.Unload), HaveField("Model", "gone"), HaveField("Next", BeNil())))
	})

	It("never unloads the last replica of a model", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m3": 50}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
	})

	// Guards against requests that a server refuses since its model is just being unloaded.
	It("says which unloads are of models that requests may be on their way for", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m1": 9, "m2": 9}, Waiting: map[string]int{"m3": 1}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Model", "m0"), HaveField("Requested", false))))
		state.Demand["m0"] = 1
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Model", "m0"), HaveField("Requested", true))))
	})

	// Guards against one replica of a hot model for a whole day, while nearly all memory holds
	// the last replicas of models that nobody requests.
	It("unloads the last replica of an idle model for one in demand", func() {
		state := serviceplanner.State{
			Engine:  engine(7, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m3", "m4", "m5")},
			Demand:  map[string]float64{"m3": 20, "m4": 1}, Unrequested: map[string]time.Duration{"m1": 8 * time.Second, "m3": 0, "m4": 0}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "a"), HaveField("Op", serviceplanner.Unload), HaveField("Model", "m1"), HaveField("Next.Model", "m3"))))
		state.Demand, state.Waiting = nil, map[string]int{"m6": 1}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Model", "m1"), HaveField("Next.Model", "m6"))), "for one that requests wait for")
		state.Waiting = nil
		Expect(serviceplanner.Plan(state)).To(BeEmpty(), "not for one without demand")
	})

	It("loads an adapter in demand at a second server that has its model loaded and less to do", func() {
		busy := server("a", "m0")
		busy.Loaded["m0"] = []string{"a1", "a2"}
		state := serviceplanner.State{
			Engine: engine(1, 2), Servers: []serviceplanner.Server{busy, server("b", "m0")},
			Demand: map[string]float64{"m0": 2, "m0/a1": 9, "m0/a2": 3},
		}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "b"), HaveField("Op", serviceplanner.Load), HaveField("Adapter", "a1"))))
		state.Demand = map[string]float64{"m0": 2, "m0/a1": 1}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
	})

	It("adds replicas of the model in most demand, with one order per server", func() {
		state := serviceplanner.State{
			Engine: engine(3, 0),
			Servers: []serviceplanner.Server{
				server("a", "m0", "m1", "m2"), server("b", "m1", "m2"), server("c", "m1", "m2"), server("d", "m1", "m2"),
			},
			Demand: map[string]float64{"m0": 40}, ColdLoads: 5,
		}
		orders := serviceplanner.Plan(state)
		Expect(orders).To(HaveLen(3))
		for _, o := range orders {
			Expect(o).To(And(HaveField("Op", serviceplanner.Load), HaveField("Model", "m0")))
		}
	})

	It("replaces a replica whose adapters are loaded nowhere else once demand has shifted away from them", func() {
		old := server("a", "m0", "m1", "m2")
		old.Loaded["m0"] = []string{"a1"}
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{old, server("b", "m0", "m1", "m3"), server("c", "m0", "m2", "m1")},
			Demand:  map[string]float64{"m3": 30, "m0/a1": 1, "m0": 1, "m1": 4, "m2": 4}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Op", serviceplanner.Unload), HaveField("Model", "m0"))))
	})

	// Guards against a second server making room for a model in demand that has
	// lost its only replica, while the first server is still making room.
	It("makes room for a load on no second server while one is making room", func() {
		loading := server("a", "m0", "m1", "m3")
		loading.Busy = true
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{loading, server("b", "m0", "m1", "m2"), server("c", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m3": 1, "m0": 1, "m1": 1, "m2": 1}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		delete(loading.Loaded, "m3")
		loading.Busy = false
		loading.Loaded["m2"] = nil
		orders := serviceplanner.Plan(state)
		Expect(orders).To(HaveLen(1))
		Expect(orders[0]).To(And(HaveField("Op", serviceplanner.Unload), HaveField("Next", HaveField("Model", "m3"))))
	})

	It("replaces no replica in demand by a model without demand", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m0": 9, "m1": 9, "m2": 9}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		state.Waiting = map[string]int{"m3": 1}
		Expect(serviceplanner.Plan(state)).To(ContainElement(HaveField("Next", HaveField("Model", "m3"))))
	})

	// Guards against refusing streams of a build whose servers do not have their model
	// loaded, while those of another build do.
	It("loads what requests wait for at one build there", func() {
		other := server("b", "m0", "m1", "m2")
		other.Build = "v2"
		state := serviceplanner.State{
			Engine: engine(4, 2), Servers: []serviceplanner.Server{server("a", "m0", "m3"), server("c", "m0", "m1", "m2"), other},
			WaitingBuilds: map[serviceplanner.BuildKey]int{{Key: "m3", Build: "v2"}: 1}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "b"), HaveField("Next", HaveField("Model", "m3")))))
		second := server("d", "m1")
		second.Build = "v2"
		state.Servers, state.WaitingBuilds = append(state.Servers, second), map[serviceplanner.BuildKey]int{{Key: "m0", Build: "v2"}: 1}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "d"), HaveField("Model", "m0"))), "the only replica may be the one that broke the stream")
		state.Servers = state.Servers[:3]
		state.WaitingBuilds = map[serviceplanner.BuildKey]int{{Key: "m0/a1", Build: "v2"}: 1}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "b"), HaveField("Model", "m0"), HaveField("Adapter", "a1"))))
	})

	It("makes no room for a load beyond the limit on cold loads", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m3": 9}, ColdLoads: 0,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
	})

	It("moves no replicas between models in similar demand", func() {
		state := serviceplanner.State{
			Engine:  engine(3, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2"), server("c", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m0": 30, "m1": 28, "m2": 33}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
	})

	It("loads every adapter on some server, those in demand first, within the adapter slots", func() {
		full := server("a", "m0")
		full.Loaded["m0"] = []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}
		state := serviceplanner.State{Engine: engine(1, 10), Servers: []serviceplanner.Server{full}, Demand: map[string]float64{"m0/a9": 2, "m0/a1": 3}}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Op", serviceplanner.Unload), HaveField("Adapter", Not(Equal("a1"))))))
		state.Servers = append(state.Servers, server("b", "m0"))
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "b"), HaveField("Op", serviceplanner.Load), HaveField("Adapter", "a9"))))
	})

	It("sends no orders to leaving or busy servers, and loads a leaving server's last replica elsewhere", func() {
		leaving := server("a", "m0")
		leaving.Leaving = true
		busy := server("b")
		busy.Busy = true
		state := serviceplanner.State{Engine: engine(1, 0), Servers: []serviceplanner.Server{leaving, busy, server("c")}, ColdLoads: 5}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "c"), HaveField("Model", "m0"))))
	})
})

var _ = Describe("Plan while orders are under way", func() {
	loadOf := func(model, adapter string) *serviceplanner.Order {
		return &serviceplanner.Order{Op: serviceplanner.Load, Model: model, Adapter: adapter}
	}
	pending := func(s serviceplanner.Server, o *serviceplanner.Order) serviceplanner.Server {
		s.Busy, s.Pending = true, o
		return s
	}

	// Guards against unloading the only replica that serves a model because a load
	// elsewhere, which takes a second or fails, already counts.
	DescribeTable("keeps the only loaded replica of a model while another one is",
		func(other serviceplanner.Server) {
			state := serviceplanner.State{
				Engine:  engine(5, 0),
				Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), other, server("c", "m1", "m2")},
				Demand:  map[string]float64{"m1": 9, "m2": 9}, Waiting: map[string]int{"m3": 1}, ColdLoads: 5,
			}
			state.Servers[2].Busy = true
			Expect(serviceplanner.Plan(state)).NotTo(ContainElement(And(HaveField("Op", serviceplanner.Unload), HaveField("Model", "m0"))))
			other.Loaded["m0"], other.Pending = nil, nil
			state.Servers[1] = other
			Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Op", serviceplanner.Unload), HaveField("Model", "m0"), HaveField("Next.Model", "m3"))),
				"once the other one is loaded")
		},
		Entry("being loaded", pending(server("b", "m1"), loadOf("m0", ""))),
		Entry("to be loaded once an unload has made room", pending(server("b", "m1", "m2", "m4"),
			&serviceplanner.Order{Op: serviceplanner.Unload, Model: "m4", Next: loadOf("m0", "")})),
	)

	It("keeps the only loaded replica of a model while another one is being unloaded, or is on a leaving server", func() {
		unloading := pending(server("b", "m0", "m1", "m2"), &serviceplanner.Order{Op: serviceplanner.Unload, Model: "m0"})
		leaving := server("c", "m0")
		leaving.Leaving = true
		state := serviceplanner.State{
			Engine: engine(4, 0), Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), unloading, leaving},
			Waiting: map[string]int{"m3": 1}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).NotTo(ContainElement(And(HaveField("Op", serviceplanner.Unload), HaveField("Model", "m0"))))
	})

	It("keeps the only replica of a model whose other one may still be unloaded by an order that was given up", func() {
		state := serviceplanner.State{
			Engine: engine(4, 0), Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2")},
			Waiting: map[string]int{"m3": 1}, ColdLoads: 5,
		}
		state.Servers[0].Busy = true
		state.Servers[0].Unsettled = []serviceplanner.Order{{Op: serviceplanner.Unload, Model: "m0"}}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "b"), HaveField("Model", "m1"))))
		state.Servers[0].Busy, state.Servers[1].Busy = false, true
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "a"), HaveField("Model", "m0"))), "the same unload again")
	})

	// Guards against a replica that is counted but not there, after an order for an
	// adapter whose model the server has lost.
	DescribeTable("does not count a model as loaded because of an order for its adapter",
		func(op serviceplanner.Op) {
			lost := pending(server("a", "m1"), &serviceplanner.Order{Op: op, Model: "m0", Adapter: "a1"})
			state := serviceplanner.State{Engine: engine(2, 0), Servers: []serviceplanner.Server{lost, server("b")}, ColdLoads: 5}
			Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "b"), HaveField("Op", serviceplanner.Load), HaveField("Model", "m0"))))
		},
		Entry("a load", serviceplanner.Load),
		Entry("an unload", serviceplanner.Unload),
	)

	It("keeps a replica of each model, whichever orders are executed", func() {
		rapid.Check(GinkgoT(), checkKept)
	})

	// Guards against loads of the same model on one server after the other, because
	// the load under way does not count.
	It("adds no replica that a load under way already adds", func() {
		state := serviceplanner.State{
			Engine:  engine(2, 0),
			Servers: []serviceplanner.Server{server("a", "m0"), pending(server("b"), loadOf("m0", "")), server("c", "m1")},
			Demand:  map[string]float64{"m0": 5}, ColdLoads: 5,
		}
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		state.Servers[1] = pending(server("b"), loadOf("m1", ""))
		state.Servers[2] = server("c")
		Expect(serviceplanner.Plan(state)).NotTo(ContainElement(HaveField("Model", "m1")))
	})

	It("leaves a loaded replica of each model when several replicas are replaced in one plan", func() {
		state := serviceplanner.State{
			Engine: engine(6, 0),
			Servers: []serviceplanner.Server{
				server("a", "m0", "m1", "m2"), server("b", "m0", "m1", "m2"), server("c", "m0", "m1", "m2"),
			},
			Waiting: map[string]int{"m3": 1, "m4": 1, "m5": 1}, ColdLoads: 5,
		}
		unloads := map[string]int{}
		for _, o := range serviceplanner.Plan(state) {
			if o.Op == serviceplanner.Unload {
				unloads[o.Model]++
			}
		}
		Expect(unloads).NotTo(BeEmpty())
		Expect(unloads).To(HaveEach(BeNumerically("<", 3)))
	})

	// Guards against unloading the only replica with an adapter in demand, because
	// the load of the adapter elsewhere, which may fail, already counts.
	It("does not count an adapter that is being loaded elsewhere as kept", func() {
		old := server("a", "m0", "m1", "m2")
		old.Loaded["m0"] = []string{"a1"}
		loading := pending(server("b", "m0", "m1", "m3"), loadOf("m0", "a1"))
		state := serviceplanner.State{
			Engine: engine(4, 0), Servers: []serviceplanner.Server{old, loading, server("c", "m1", "m2")},
			Demand: map[string]float64{"m3": 90, "m0/a1": 20, "m1": 90, "m2": 90}, ColdLoads: 5,
		}
		adapted := state.Engine.Models["m0"]
		adapted.Adapters = 1
		state.Engine.Models["m0"] = adapted
		state.Servers[2].Busy = true
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		loading.Busy, loading.Pending, loading.Loaded["m0"] = false, nil, []string{"a1"}
		state.Servers[1] = loading
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "a"), HaveField("Op", serviceplanner.Unload), HaveField("Model", "m0"))),
			"once the adapter is loaded there")
	})
})

// checkKept plans for random states. Whichever orders are executed, each model that
// a server is sure to keep before the plan must have such a server after it, but for one that
// was not requested lately while another one's demand is not served by far; the
// servers must have the memory for the plan, and get at most one order each.
func checkKept(t *rapid.T) {
	e := engine(6, 0)
	names := slices.Sorted(maps.Keys(e.Models))
	state := serviceplanner.State{Engine: e, Demand: map[string]float64{}, Waiting: map[string]int{}, ColdLoads: rapid.IntRange(0, 4).Draw(t, "cold loads")}
	for _, m := range names {
		state.Demand[m] = rapid.SampledFrom([]float64{0, 1, 5, 40}).Draw(t, "demand")
		state.Waiting[m] = rapid.IntRange(0, 2).Draw(t, "waiting")
	}
	order := func(op serviceplanner.Op) serviceplanner.Order {
		return serviceplanner.Order{Op: op, Model: rapid.SampledFrom(names).Draw(t, "model")}
	}
	state.Unrequested = map[string]time.Duration{names[0]: 8 * time.Second}
	for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
		s := server(fmt.Sprint(i), rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 3, rapid.ID[string]).Draw(t, "loaded")...)
		s.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
		if rapid.IntRange(0, 3).Draw(t, "unsettled") == 0 {
			s.Unsettled = append(s.Unsettled, order(serviceplanner.Unload))
		}
		switch next := order(serviceplanner.Load); rapid.IntRange(0, 4).Draw(t, "pending") {
		case 0:
			s.Busy, s.Pending = true, &next
		case 1:
			first := order(serviceplanner.Unload)
			first.Next = &next
			s.Busy, s.Pending = true, &first
		}
		state.Servers = append(state.Servers, s)
	}
	orders := serviceplanner.Plan(state)
	before, after := kept(state.Servers, nil), kept(state.Servers, orders)
	for m := range before {
		most := 0.0
		for _, other := range names {
			most = max(most, state.Demand[other]+2*float64(state.Waiting[other]))
		}
		idle := state.Unrequested[m] > 0 && 8*state.Demand[m] < most && state.Waiting[m] == 0
		if after[m] == 0 && !idle {
			t.Fatalf("%s may have no replica left after %v", m, orders)
		}
	}
	byServer := map[string]bool{}
	for _, o := range orders {
		if byServer[o.Server] {
			t.Fatalf("two orders to %s", o.Server)
		}
		byServer[o.Server] = true
		i := slices.IndexFunc(state.Servers, func(s serviceplanner.Server) bool { return s.ID == o.Server })
		loaded := maps.Clone(state.Servers[i].Loaded)
		for step := &o; step != nil; step = step.Next {
			if !serviceplanner.Fits(e, loaded, *step) {
				t.Fatalf("%v does not fit", *step)
			}
			step.Apply(loaded)
		}
	}
}

// kept returns on how many servers each model stays loaded if all unloads are
// executed and no load is.
func kept(servers []serviceplanner.Server, planned []serviceplanner.Order) map[string]int {
	count := map[string]int{}
	for _, s := range servers {
		if s.Leaving {
			continue
		}
		loaded := maps.Clone(s.Loaded)
		all := slices.Clone(s.Unsettled)
		if s.Pending != nil {
			all = append(all, *s.Pending)
		}
		for _, o := range planned {
			if o.Server == s.ID {
				all = append(all, o)
			}
		}
		for _, o := range all {
			if o.Op == serviceplanner.Unload {
				o.Apply(loaded)
			}
		}
		for m := range loaded {
			count[m]++
		}
	}
	return count
}

var _ = Describe("Plan for full adapter slots", func() {
	full := func(id string, adapters ...string) serviceplanner.Server {
		s := server(id, "m0")
		s.Loaded["m0"] = adapters
		return s
	}

	// Guards against evicting the only loaded copy of an adapter in demand, because
	// the load of the adapter elsewhere, which may fail, halves the demand for it.
	It("does not count an adapter that is being loaded elsewhere", func() {
		loading := full("b")
		loading.Busy, loading.Pending = true, &serviceplanner.Order{Op: serviceplanner.Load, Model: "m0", Adapter: "a1"}
		state := serviceplanner.State{
			Engine: engine(1, 2), Servers: []serviceplanner.Server{full("a", "a1"), loading},
			Demand: map[string]float64{"m0/a1": 4, "m0/a2": 4},
		}
		state.Engine.AdapterSlots = 1
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		state.Servers[1] = full("b", "a1")
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Op", serviceplanner.Unload), HaveField("Adapter", "a1"), HaveField("Next.Adapter", "a2"))),
			"once it is loaded there")
	})

	// Guards against evicting an adapter for one that then does not fit.
	It("evicts no adapter where the other one lacks the memory", func() {
		s := server("a", "m0", "m1", "m2")
		s.Loaded["m0"] = []string{"a1"}
		state := serviceplanner.State{Engine: engine(3, 0), Servers: []serviceplanner.Server{s}, Demand: map[string]float64{"m1/a1": 9}}
		state.Engine.AdapterSlots = 1
		large := state.Engine.Models["m1"]
		large.Adapters, large.AdapterSizeMB = 1, 20
		state.Engine.Models["m1"] = large
		Expect(serviceplanner.Plan(state)).To(BeEmpty())
		large.AdapterSizeMB = 10
		state.Engine.Models["m1"] = large
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Op", serviceplanner.Unload), HaveField("Next.Model", "m1"))))
	})

	// Guards against evicting all copies of an adapter in demand in one plan, each
	// because of the other.
	It("counts an adapter that it evicts as no longer loaded", func() {
		state := serviceplanner.State{
			Engine: engine(1, 3), Servers: []serviceplanner.Server{full("a", "a1"), full("b", "a1")},
			Demand: map[string]float64{"m0/a1": 4, "m0/a2": 4, "m0/a3": 4},
		}
		state.Engine.AdapterSlots = 1
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Op", serviceplanner.Unload), HaveField("Adapter", "a1"))))
	})
})

var _ = Describe("Fits", func() {
	e := engine(4, 9)
	loaded := map[string][]string{"m0": {"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"}, "m1": nil, "m2": nil}
	DescribeTable("counts weights and adapter slots",
		func(o serviceplanner.Order, want bool) { Expect(serviceplanner.Fits(e, loaded, o)).To(Equal(want)) },
		Entry("a fourth model", serviceplanner.Order{Op: serviceplanner.Load, Model: "m3"}, false),
		Entry("a loaded model", serviceplanner.Order{Op: serviceplanner.Load, Model: "m1"}, true),
		Entry("a ninth adapter", serviceplanner.Order{Op: serviceplanner.Load, Model: "m0", Adapter: "a9"}, false),
		Entry("an unload", serviceplanner.Order{Op: serviceplanner.Unload, Model: "m0"}, true),
	)
})
