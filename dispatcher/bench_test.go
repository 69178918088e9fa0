package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/lister"
)

// BenchmarkDecision acquires and releases a slot, for different numbers of replicas
// of the model.
func BenchmarkDecision(b *testing.B) {
	for _, replicas := range []int{2, 20, 75} {
		b.Run(fmt.Sprintf("copies=%d", replicas), func(b *testing.B) {
			core := dispatcher.New(dispatcher.WithSeed(1))
			var all []dispatcher.Engine
			for i := range replicas {
				all = append(all, dispatcher.Engine{
					Instance: lister.Instance{Name: fmt.Sprint(i), State: lister.StateLive},
					Report: driver.Report{
						MaxBatch: 16,
						Loaded:   []driver.LoadedWeights{{Weights: chat, State: driver.StateReady}},
					},
					At: time.Now(),
				})
			}
			core.UpdateEngines(all)
			work := dispatcher.Work{
				Weights: chat, Client: "x", Class: "urgent", MaxWait: time.Second,
				Prefixes: driver.Prefixes("chat", string(make([]byte, 2000))), Prompt: 2000,
			}
			b.ReportAllocs()
			for b.Loop() {
				work.Deadline = time.Now().Add(time.Second)
				grant, err := core.Acquire(context.Background(), work)
				if err != nil {
					b.Fatal(err)
				}
				core.Release(grant, dispatcher.Result{FirstToken: time.Millisecond, Total: time.Second, Load: &driver.Load{Running: 1}})
			}
		})
	}
}

// BenchmarkEngines applies a round of reports, as each instance does every second,
// for different numbers of engines, each with three models and their adapters.
func BenchmarkEngines(b *testing.B) {
	for _, count := range []int{10, 20, 100, 383} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			core := dispatcher.New(dispatcher.WithSeed(1))
			all := make([]dispatcher.Engine, count)
			for i := range all {
				all[i] = dispatcher.Engine{
					Instance: lister.Instance{Name: fmt.Sprint(i), State: lister.StateLive},
					Report:   driver.Report{MaxBatch: 16},
				}
				for k := range 10 {
					w := driver.Weights{Model: fmt.Sprintf("model-%d", (i+k%3)%240)}
					if k >= 3 {
						w.Adapter = fmt.Sprintf("adapter-%d", k)
					}
					all[i].Report.Loaded = append(all[i].Report.Loaded, driver.LoadedWeights{Weights: w, State: driver.StateReady})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				for i := range all {
					all[i].At = now
				}
				core.UpdateEngines(all)
			}
		})
	}
}
