package orderchecker_test

import (
	"fmt"
	"testing"
	"time"

	"primrosehook/driver"
	"primrosehook/orderchecker"
)

const (
	ticksPerSecond = int(time.Second / tick)
	warmupTicks    = 30 * 10
)

// newFaultFree returns a simulation with the settings that serve uses, without
// faults and without plans, after a warm-up.
func newFaultFree(seed uint64) *simulation {
	w := newSimulation(seed, mutation{})
	w.settings = orderchecker.DefaultSettings()
	w.faultFree = true
	w.planInterval = 0
	w.startInstances()
	for range warmupTicks {
		w.advance()
	}
	return w
}

// BenchmarkAppends reports the appends per second of one pool, by the interval
// between plans. All entries that an instance submits at once share an append.
func BenchmarkAppends(b *testing.B) {
	for _, every := range []int{0, 100, 30, 10} {
		b.Run(fmt.Sprintf("plan-every-%d-ticks", every), func(b *testing.B) {
			appends, orders, seconds := 0, 0, 0
			for i := range b.N {
				w := newFaultFree(uint64(i + 1))
				w.planInterval = every
				start, done := w.appends, w.ordersDone
				for range 60 * ticksPerSecond {
					w.advance()
				}
				appends += w.appends - start
				orders += w.ordersDone - done
				seconds += 60
			}
			b.ReportMetric(float64(appends)/float64(seconds), "appends/s")
			b.ReportMetric(float64(orders)/float64(seconds), "orders/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTakeover reports the cost of a takeover when the lease holder dies
// with one order of 45 MB confirmed and not sent: the seconds without a valid
// lease holder, and the memory times seconds reserved until the order is closed.
func BenchmarkTakeover(b *testing.B) {
	for _, kind := range []string{"refuses-old-numbers", "ignores-numbers"} {
		b.Run(kind, func(b *testing.B) {
			reservedMB, withoutHolder := 0.0, 0.0
			for i := range b.N {
				w := newFaultFree(uint64(i + 1))
				engine := w.engines[0]
				if kind == "ignores-numbers" {
					engine = w.engines[1]
				}
				w.crashWithOpenOrder(engine.name)
				reserved, without := w.advanceUntilClosed(engine.name)
				reservedMB += reserved
				withoutHolder += without
			}
			b.ReportMetric(reservedMB/float64(b.N), "MB·s/takeover")
			b.ReportMetric(withoutHolder/float64(b.N), "s-without-holder")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// crashWithOpenOrder makes the lease holder submit the intent of an order and crash
// before it sends the order.
func (w *simulation) crashWithOpenOrder(engine string) {
	for _, p := range w.procs {
		if !p.controller.Valid(p.clock()) {
			continue
		}
		i := orderchecker.Intent{Engine: engine}
		i.Order.Op, i.Order.Model, i.Order.MemoryMB = "load", "m5", 45
		a, reason := p.controller.Propose(p.clock(), p.machine, i)
		if reason != "" {
			panic(reason)
		}
		p.submit([]orderchecker.Append{a})
		p.crash()
		return
	}
}

// advanceUntilClosed advances until no order of an engine counts and there is a valid
// lease holder. It returns the reserved memory in MB times seconds, and the seconds
// without a valid lease holder.
func (w *simulation) advanceUntilClosed(engine string) (reserved, without float64) {
	for range 120 * ticksPerSecond {
		w.advance()
		valid := false
		for _, p := range w.procs {
			valid = valid || p.controller.Valid(p.clock())
		}
		if !valid {
			without += tick.Seconds()
		}
		account := w.procs[0].machine.Engine(engine)
		open := account.Open()
		for _, t := range open {
			reserved += float64(t.Order.MemoryMB) * tick.Seconds()
		}
		if valid && len(open) == 0 {
			return reserved, without
		}
	}
	panic("the order was not closed")
}

// BenchmarkStep reports the time of one step of a lease holder, which takes five
// steps a second, by the number of engines with ten loaded models each.
func BenchmarkStep(b *testing.B) {
	for _, count := range []int{20, 100, 400} {
		b.Run(fmt.Sprintf("engines-%d", count), func(b *testing.B) {
			w := newFaultFree(1)
			var p *proc
			for _, q := range w.procs {
				if q.controller.Valid(q.clock()) {
					p = q
				}
			}
			for i := range count {
				name := fmt.Sprintf("engine-%d", i)
				r := driver.Report{Engine: name, Incarnation: "1", TotalMB: 80_000, ReserveMB: 16_000}
				for k := range 10 {
					r.Loaded = append(r.Loaded, driver.LoadedWeights{
						Weights: driver.Weights{Model: fmt.Sprintf("model-%d", k)}, State: driver.StateReady, MemoryMB: 1000,
					})
				}
				w.listed[name] = true
				p.controller.Reported(p.clock().Add(time.Second), name, true, r)
			}
			for range 50 {
				w.advance()
			}
			now := p.clock()
			for i := range count {
				name := fmt.Sprintf("engine-%d", i)
				r := driver.Report{Engine: name, Incarnation: "1", TotalMB: 80_000, ReserveMB: 16_000}
				r.Loaded = p.machine.Engine(name).Residents
				p.controller.Reported(now, name, true, r)
			}
			for b.Loop() {
				p.controller.Step(now, p.machine, p.rank)
			}
		})
	}
}
