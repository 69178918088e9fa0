package serviceplanner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"primrosehook/serviceplanner"
)

// BenchmarkPlan plans for a pool of 140 servers with 120 models, 30 of which have
// 40 adapters each. Demand differs from what is loaded, as after a shift.
func BenchmarkPlan(b *testing.B) {
	e := engine(120, 0)
	for i := range 30 {
		m := e.Models[fmt.Sprintf("m%d", i)]
		m.Adapters = 40
		e.Models[m.Name] = m
	}
	random := rand.New(rand.NewPCG(1, 1))
	state := serviceplanner.State{Engine: e, Demand: map[string]float64{}, Waiting: map[string]int{}, ColdLoads: 5}
	for i := range 140 {
		s := server(fmt.Sprintf("s%03d", i), fmt.Sprintf("m%d", i%120), fmt.Sprintf("m%d", random.IntN(120)), fmt.Sprintf("m%d", random.IntN(20)))
		for m := range s.Loaded {
			for a := range 2 {
				if e.Models[m].Adapters > 0 {
					s.Loaded[m] = append(s.Loaded[m], fmt.Sprintf("a%d", 1+(i+a*7)%40))
				}
			}
			s.Warm[m] = true
		}
		state.Servers = append(state.Servers, s)
	}
	for i := range 120 {
		state.Demand[fmt.Sprintf("m%d", i)] = 300 / float64(1+i)
		if i < 30 {
			for a := range 20 {
				state.Demand[fmt.Sprintf("m%d/a%d", i, a+1)] = 1
			}
		}
	}
	b.ResetTimer()
	for range b.N {
		serviceplanner.Plan(state)
	}
}
