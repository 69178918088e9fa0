package serviceplanner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/emulator"
	"primrosehook/serviceplanner"
)

var _ = Describe("A fleet that loses a third of its servers four times, and the lease holder twice", func() {
	// Guards against adapters that are never loaded since loads of models keep all servers of their model
	// busy.
	DescribeTable("serves nearly all models and adapters that are requested through the day",
		func(seed uint64) {
			r := emulator.LargeFleet(seed).Play(emulator.CrashesBesideLostHolders())
			Expect(len(r.Never)).To(BeNumerically("<=", 1+r.Requested/10), "of %d, served %.3f in all, not loaded: %v", r.Requested, r.Served, r.Absent)
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 6", uint64(6)),
	)
})

var _ = Describe("Plan", func() {
	// Guards against refusing streams of a build whose only server that has their model gets a further
	// replica of another model, plan after plan.
	It("loads an adapter that requests wait for at one build before further replicas", func() {
		old := server("a", "m0")
		old.Build, old.Warm["m1"] = "v1", true
		state := serviceplanner.State{
			Engine: engine(2, 2), Servers: []serviceplanner.Server{old, server("b", "m0", "m1")}, Demand: map[string]float64{"m1": 90},
			WaitingBuilds: map[serviceplanner.BuildKey]int{{Key: "m0/a1", Build: "v1"}: 1},
		}
		Expect(serviceplanner.Plan(state)).To(ContainElement(And(HaveField("Server", "a"), HaveField("Adapter", "a1"))))
	})
})
