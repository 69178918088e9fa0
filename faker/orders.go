package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"primrosehook/driver"
	"primrosehook/judge"
)

// drainTick is how often an unload looks whether its requests have ended.
const drainTick = 10 * time.Millisecond

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o driver.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "order is malformed")
		return
	}
	if e.take(func(f *EngineFaults) *int { return &f.LoseOrders }) {
		panic(http.ErrAbortHandler)
	}
	late := e.Faults().Late
	if e.take(func(f *EngineFaults) *int { return &f.LateOrders }) {
		go e.runLate(o, late)
		panic(http.ErrAbortHandler)
	}
	if e.take(func(f *EngineFaults) *int { return &f.DoubleOrders }) {
		go e.runLate(o, late)
	}
	err := e.Order(o)
	if e.take(func(f *EngineFaults) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// runLate gives an order that was under way for some time.
func (e *Engine) runLate(o driver.Order, by time.Duration) {
	_ = sleep(context.Background(), e.clock, by)
	_ = e.Order(o)
}

// Order takes an order, which then runs on its own.
func (e *Engine) Order(o driver.Order) error {
	if o.Op == driver.OpLoad && o.MemoryMB <= 0 {
		return judge.Invalid("order", "load has no memory")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.changed()
	if e.settings.Fences {
		if o.Fence < e.fence {
			e.refuseOrder(o.ID)
			return &judge.Refusal{
				Verdict: judge.NotRun, Status: http.StatusConflict,
				Code: "fence", Reason: "fencing number is old",
			}
		}
		e.fence = o.Fence
	}
	if e.settings.Remembers && e.seen[o.ID] {
		return nil
	}
	e.seen[o.ID] = true
	switch o.Op {
	case driver.OpLoad:
		e.beginLoad(o)
	case driver.OpUnload:
		e.beginUnload(o)
	case driver.OpRole:
		e.beginRole(o)
	case driver.OpFence:
		e.settle(o.ID, driver.OutcomeDone)
	default:
		return judge.Invalid("order", "operation is unknown")
	}
	return nil
}

// settle notes the outcome of an order.
func (e *Engine) settle(id, outcome string) {
	for i := range e.orders {
		if e.orders[i].ID == id {
			e.orders[i].Outcome = outcome
			return
		}
	}
	e.orders = append(e.orders, driver.OrderOutcome{ID: id, Outcome: outcome})
	if len(e.orders) > maxOrders {
		e.orders = append([]driver.OrderOutcome(nil), e.orders[1:]...)
	}
}

// refuseOrder notes a refusal, but not over the outcome of an earlier copy
// that was taken.
func (e *Engine) refuseOrder(id string) {
	if !e.seen[id] {
		e.settle(id, driver.OutcomeRefused)
	}
}

func (e *Engine) beginLoad(o driver.Order) {
	if r, ok := e.memory.residents[o.Weights]; ok {
		switch {
		case r.State == driver.StateReady:
			e.settle(o.ID, driver.OutcomeDone)
		case !e.pending(o.ID):
			e.settle(o.ID, driver.OutcomeFailed)
		}
		return
	}
	if o.Adapter != "" && !e.ready(driver.Weights{Model: o.Model, Version: o.Version}) {
		e.settle(o.ID, driver.OutcomeFailed)
		return
	}
	e.memory.residents[o.Weights] = driver.LoadedWeights{Weights: o.Weights, State: driver.StateLoading, MemoryMB: o.MemoryMB}
	e.settle(o.ID, driver.OutcomeRunning)
	e.check("load " + o.Model)
	go e.runLoad(e.life, o)
}

// pending reports whether an earlier copy of an order still runs.
func (e *Engine) pending(id string) bool {
	for _, s := range e.orders {
		if s.ID == id {
			return s.Outcome == driver.OutcomeRunning
		}
	}
	return false
}

func (e *Engine) runLoad(life context.Context, o driver.Order) {
	err := error(nil)
	if e.source != nil {
		err = e.source.Fetch(life, Fetch{Weights: o.Weights, Memory: o.MemoryMB})
	}
	e.thaw(life)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	defer e.changed()
	if err != nil {
		delete(e.memory.residents, o.Weights)
		e.settle(o.ID, driver.OutcomeFailed)
		return
	}
	r := e.memory.residents[o.Weights]
	r.State = driver.StateReady
	e.memory.residents[o.Weights] = r
	e.settle(o.ID, driver.OutcomeDone)
}

// beginUnload starts an unload. A model takes its adapters along. Requests
// that were accepted still end; new ones are refused.
func (e *Engine) beginUnload(o driver.Order) {
	r, ok := e.memory.residents[o.Weights]
	if !ok {
		e.settle(o.ID, driver.OutcomeDone)
		return
	}
	if r.State != driver.StateReady {
		if !e.pending(o.ID) {
			e.settle(o.ID, driver.OutcomeFailed)
		}
		return
	}
	leaving := []driver.Weights{}
	for w, r := range e.memory.residents {
		if w == o.Weights || (o.Adapter == "" && w.Model == o.Model && w.Version == o.Version) {
			r.State = driver.StateUnloading
			e.memory.residents[w] = r
			leaving = append(leaving, w)
		}
	}
	e.settle(o.ID, driver.OutcomeRunning)
	go e.runUnload(e.life, o.ID, leaving)
}

func (e *Engine) runUnload(life context.Context, id string, leaving []driver.Weights) {
	for e.inUse(leaving) {
		if sleep(life, e.clock, drainTick) != nil {
			return
		}
	}
	if sleep(life, e.clock, e.settings.Unload) != nil {
		return
	}
	e.thaw(life)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	for _, w := range leaving {
		delete(e.memory.residents, w)
		if w.Adapter == "" {
			e.forget(w.Model)
		}
	}
	e.settle(id, driver.OutcomeDone)
	e.changed()
}

func (e *Engine) inUse(leaving []driver.Weights) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, all := range [][]*generation{e.running, e.waiting} {
		for _, g := range all {
			for _, w := range leaving {
				if matches(g.request.Weights, w) || matches(base(g.request.Weights), w) {
					return true
				}
			}
		}
	}
	return false
}

// beginRole changes the role. The order's memory is the reserve that the new
// role needs; zero leaves it as it is.
func (e *Engine) beginRole(o driver.Order) {
	if e.memory.target > 0 {
		if !e.pending(o.ID) {
			e.settle(o.ID, driver.OutcomeFailed)
		}
		return
	}
	e.memory.target = e.memory.reserve
	if o.MemoryMB > 0 {
		e.memory.target = o.MemoryMB
	}
	e.settle(o.ID, driver.OutcomeRunning)
	e.check("role " + o.Role)
	go e.runRole(e.life, o)
}

func (e *Engine) runRole(life context.Context, o driver.Order) {
	if sleep(life, e.clock, e.settings.Role) != nil {
		return
	}
	e.thaw(life)
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return
	}
	e.memory.reserve = e.memory.target
	e.memory.target = 0
	e.role = o.Role
	e.makeRoom(0)
	e.settle(o.ID, driver.OutcomeDone)
	e.check("role " + o.Role)
	e.changed()
}

// thaw waits while the engine is frozen.
func (e *Engine) thaw(life context.Context) {
	_ = e.await(life, func(f EngineFaults) bool { return f.Outage == OutageHang })
}

// base returns the model of an adapter.
func base(w driver.Weights) driver.Weights {
	return driver.Weights{Model: w.Model, Version: w.Version}
}

// matches reports whether resident weights are the wanted ones. A request
// without a version takes any.
func matches(want, have driver.Weights) bool {
	same := want.Model == have.Model && want.Adapter == have.Adapter
	return same && (want.Version == "" || want.Version == have.Version)
}

// ready reports whether weights can serve new requests.
func (e *Engine) ready(want driver.Weights) bool {
	for w, r := range e.memory.residents {
		if r.State == driver.StateReady && matches(want, w) {
			return true
		}
	}
	return false
}
