package poolplanner_test

import (
	"fmt"
	"testing"
	"time"

	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// BenchmarkPlan computes a plan for different numbers of engines, with two models
// per engine, up to 240 models, and two adapters per model.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{10, 20, 100, 383} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			s := fleet(count)
			p := poolplanner.New()
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				p.Plan(now, s)
			}
		})
	}
}

// fleet returns a state in which the engines have a load of about 60%.
func fleet(count int) poolplanner.State {
	s := poolplanner.State{Attainment: 0.8, Moves: 0.2, Store: poolplanner.WeightStore{Rate: 3, Slots: 3}}
	models := min(2*count, 240)
	for i := range count {
		e := poolplanner.Engine{Name: fmt.Sprintf("engine-%03d", i), Zone: fmt.Sprint(i % 3), Free: 20_000, Batch: 16}
		for k := range 2 {
			name := fmt.Sprintf("model-%03d", (2*i+k)%models)
			e.Loaded = append(e.Loaded, driver.LoadedWeights{Weights: driver.Weights{Model: name}, State: driver.StateReady, MemoryMB: 18_000})
			for a := range 2 {
				w := driver.Weights{Model: name, Adapter: fmt.Sprint(a)}
				e.Loaded = append(e.Loaded, driver.LoadedWeights{Weights: w, State: driver.StateReady, MemoryMB: 200})
			}
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range models {
		name := fmt.Sprintf("model-%03d", i)
		rate := float64(count) * 16 * 0.6 / float64(models) / 3
		s.Models = append(s.Models, poolplanner.Model{Weights: driver.Weights{Model: name}, Memory: 18_000, Demand: rate, Urgent: rate, ServiceTime: 3 * time.Second})
		for a := range 2 {
			s.Models = append(s.Models, poolplanner.Model{Weights: driver.Weights{Model: name, Adapter: fmt.Sprint(a)}, Memory: 200, Demand: rate / 5, Urgent: rate / 5, ServiceTime: 3 * time.Second})
		}
	}
	return s
}
