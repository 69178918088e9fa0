package serviceplanner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/serviceplanner"
)

var _ = Describe("Plan by what is gained and lost", func() {
	idle := func(models int, since time.Duration) map[string]time.Duration {
		m := map[string]time.Duration{}
		for i := range models {
			m[fmt.Sprintf("m%d", i)] = since
		}
		return m
	}

	// The load: 4 requests a second for one model with one replica, 8 others without a request for
	// 20 s on all the other places. Guards against one replica of a model in demand beside last
	// replicas of models that nobody requests, which come back from host memory in 1.2 s.
	It("unloads a last replica whose weights are kept before one that comes from the store", func() {
		b := server("b", "m3", "m4", "m5")
		b.Warm["m4"] = true
		state := serviceplanner.State{
			Engine:  engine(9, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1", "m2"), b, server("c", "m6", "m7", "m8")},
			Demand:  map[string]float64{"m0": 4}, Unrequested: idle(9, 20*time.Second), ColdLoads: 5,
		}
		state.Unrequested["m0"] = 0
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Model", "m4"), HaveField("Next.Model", "m0"))))
		state.Unrequested = idle(9, 2*time.Second)
		Expect(serviceplanner.Plan(state)).To(BeEmpty(), "not for a model that was requested a moment ago")
	})

	// The load: 9 and 60 requests a second for models with one replica, ten clients that wait for
	// one without. Guards against waits for a load while replicas of others are added.
	It("loads first what clients wait for, then several replicas where the gap is large", func() {
		state := serviceplanner.State{
			Engine:  engine(4, 0),
			Servers: []serviceplanner.Server{server("a", "m0"), server("b", "m1"), server("c"), server("d"), server("e")},
			Demand:  map[string]float64{"m0": 60, "m1": 9}, Waiting: map[string]int{"m2": 10}, ColdLoads: 1,
		}
		Expect(serviceplanner.Plan(state)).To(ConsistOf(HaveField("Model", "m2")))
		state.ColdLoads = 4
		Expect(serviceplanner.Plan(state)).To(ConsistOf(HaveField("Model", "m2"), HaveField("Model", "m0"), HaveField("Model", "m0"), HaveField("Model", "m0")))
	})

	// Guards against replicas of no other model where the one in most demand can get none.
	It("adds replicas of the next model if the one in most demand has no room", func() {
		state := serviceplanner.State{
			Engine:  engine(2, 0),
			Servers: []serviceplanner.Server{server("a", "m0", "m1"), server("b")},
			Demand:  map[string]float64{"m0": 5, "m1": 4}, ColdLoads: 1,
		}
		large := state.Engine.Models["m0"]
		large.SizeMB = 300
		state.Engine.Models["m0"] = large
		Expect(serviceplanner.Plan(state)).To(ConsistOf(And(HaveField("Server", "b"), HaveField("Model", "m1"))))
	})
})

var _ = Describe("Forecast", func() {
	// The load: a demand that grows by 4 requests a second in each second has the rates 24 and 13
	// when it is at 30. Guards against replicas that are ordered only once requests are refused.
	DescribeTable("is ahead of a demand that grows, and no more than the rates otherwise",
		func(fast, slow, low, high float64) {
			Expect(serviceplanner.Forecast(fast, slow)).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		},
		Entry("growing", 24.0, 13.0, 28.0, 32.0),
		Entry("steady", 20.0, 18.0, 20.0, 20.0),
		Entry("falling", 4.0, 12.0, 12.0, 12.0),
		Entry("one request", 0.7, 0.2, 0.7, 0.7),
		Entry("none", 0.0, 0.0, 0.0, 0.0),
		Entry("a step", 30.0, 2.0, 40.0, 45.0),
	)
})
