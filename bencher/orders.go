package bencher

import (
	"cmp"
	"slices"
	"time"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/poolplanner"
)

// store simulates the weight store: up to slots transfers run at full speed, and
// more than that share the speed of all slots.
type store struct {
	world *world
	slots int
	speed float64
	// share is the fraction of the speed that is available.
	share float64
	loads []*transfer
	last  time.Duration
	round int
}

// transfer is a load in progress; left is in MB.
type transfer struct {
	left float64
	done func()
}

// add starts a transfer of an amount in MB; done is called at its end.
func (s *store) add(amount float64, done func()) {
	s.advance()
	s.loads = append(s.loads, &transfer{left: amount, done: done})
	s.arm()
}

// rate returns the speed of each transfer in MB/s.
func (s *store) rate() float64 {
	return s.speed * s.share * min(1, float64(s.slots)/float64(max(len(s.loads), 1)))
}

// advance subtracts what was transferred since the last call.
func (s *store) advance() {
	moved := s.rate() * (s.world.now - s.last).Seconds()
	for _, t := range s.loads {
		t.left -= moved
	}
	s.last = s.world.now
}

// arm schedules the end of the transfer that ends first, and cancels the previous
// schedule by raising round.
func (s *store) arm() {
	s.round++
	if len(s.loads) == 0 {
		return
	}
	round := s.round
	next := slices.MinFunc(s.loads, func(a, b *transfer) int { return cmp.Compare(a.left, b.left) })
	wait := time.Duration(max(next.left, 0)/s.rate()*float64(time.Second)) + time.Microsecond
	s.world.after(wait, func() {
		if s.round != round {
			return
		}
		s.advance()
		s.loads = slices.DeleteFunc(s.loads, func(t *transfer) bool { return t == next })
		s.arm()
		next.done()
	})
}

// plan runs one planning round of the pool's lease holder.
func (w *world) plan() {
	f := w.Shape.Fault
	if f.Log && w.now >= f.From && w.now < f.Until {
		// The intent of an order cannot be appended, so no order is sent.
		return
	}
	for _, m := range w.planner.Plan(w.time(), w.state()) {
		w.score.move(m)
		w.engine(m.Engine).busy = true
		w.after(orderDelay, func() { w.executeOrder(m) })
	}
}

// state returns the lease holder's view: the demand of all instances, and the
// engines including the effects of its own orders.
func (w *world) state() poolplanner.State {
	d := w.Deployment
	s := poolplanner.State{
		Attainment: d.Attainment, Moves: d.Moves,
		Store: poolplanner.WeightStore{Rate: d.Rate, Slots: d.Slots, Loading: len(w.store.loads)},
	}
	reports := map[string]driver.Report{}
	for _, e := range w.visibleSnapshot().engines {
		reports[e.Name] = e.Report
	}
	for _, e := range w.pool() {
		r, ok := reports[e.Name]
		if !ok {
			continue
		}
		x := poolplanner.Engine{
			Name: e.Name, Zone: e.Zone, Free: e.total - e.used(), Busy: e.busy || !e.up,
			Running: r.Running, Waiting: r.Waiting, Batch: e.batch,
		}
		for _, o := range e.order {
			x.Loaded = append(x.Loaded, *e.residents[o])
		}
		s.Engines = append(s.Engines, x)
	}
	if w.demand == nil || w.now >= w.demandAt+digestInterval {
		w.demand, w.demandAt = w.models(), w.now
	}
	s.Models = w.demand
	return s
}

// models returns all models and adapters with the demand of all live instances. The
// demand for an adapter also counts for its model.
func (w *world) models() []poolplanner.Model {
	all := map[driver.Weights]*poolplanner.Model{}
	service := map[driver.Weights]float64{}
	for _, e := range w.entries {
		if !e.up {
			continue
		}
		for _, d := range e.core.Demand(w.time()) {
			count(all, service, d.Weights, d)
			if d.Adapter != "" {
				count(all, service, driver.Weights{Model: d.Model}, d)
			}
		}
	}
	var models []poolplanner.Model
	add := func(x driver.Weights) {
		m := poolplanner.Model{Weights: x, Memory: w.catalogue.memory[x]}
		if known, ok := all[x]; ok {
			m.Demand, m.Urgent = known.Demand, known.Urgent
			if m.Demand > 0 {
				m.ServiceTime = time.Duration(service[x] / m.Demand * float64(time.Second))
			}
		}
		models = append(models, m)
	}
	for i, m := range w.catalogue.models {
		add(m)
		for _, a := range w.catalogue.adapters[i] {
			add(a)
		}
	}
	return models
}

// count adds an instance's demand to some weights. service sums the service time in
// seconds weighted by rate.
func count(all map[driver.Weights]*poolplanner.Model, service map[driver.Weights]float64, w driver.Weights, d dispatcher.Demand) {
	m, ok := all[w]
	if !ok {
		m = &poolplanner.Model{}
		all[w] = m
	}
	m.Demand += d.Rate
	if !d.Deferred {
		m.Urgent += d.Rate
	}
	service[w] += d.Rate * d.Service.Seconds()
}

// executeOrder executes an order at its engine.
func (w *world) executeOrder(m poolplanner.Move) {
	e := w.engine(m.Engine)
	boot := e.boot
	if !e.up {
		return
	}
	if m.Op == driver.OpUnload {
		w.unload(e, m.Weights, boot)
		return
	}
	e.place(m.Weights, m.Memory, driver.StateLoading)
	w.store.add(float64(m.Memory), func() {
		if e.boot == boot && e.up {
			e.place(m.Weights, m.Memory, driver.StateReady)
			e.busy = false
		}
	})
}

// unload stops new requests for the weights, and drops the weights once no running
// or queued request uses them.
func (w *world) unload(e *engine, weights driver.Weights, boot int) {
	if e.boot != boot || !e.up {
		return
	}
	if r, ok := e.residents[weights]; ok {
		r.State = driver.StateUnloading
	}
	uses := func(j *job) bool {
		return j.Model == weights.Model && (weights.Adapter == "" || j.Adapter == weights.Adapter)
	}
	if slices.ContainsFunc(e.running, uses) || slices.ContainsFunc(e.waiting, uses) {
		w.after(unloadTime, func() { w.unload(e, weights, boot) })
		return
	}
	e.drop(weights)
	e.busy = false
}
