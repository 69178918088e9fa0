package serviceplanner_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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

	It("never unloads the last replica of a model", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2")},
			Demand:  map[string]float64{"m3": 50}, ColdLoads: 5,
		}
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
