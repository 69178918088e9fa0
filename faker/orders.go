package faker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"primrosehook/driver"
	"primrosehook/judge"
)

// drainPollInterval is how often an unload checks whether the requests that use
// its weights have ended.
const drainPollInterval = 10 * time.Millisecond

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o driver.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeNotRun(w, http.StatusBadRequest, "order is malformed")
		return
	}
	if e.consume(func(f *EngineFaults) *int { return &f.LoseOrders }) {
		panic(http.ErrAbortHandler)
	}
	late := e.Faults().OrderDelay
	if e.consume(func(f *EngineFaults) *int { return &f.DelayOrders }) {
		go e.runLate(o, late)
		panic(http.ErrAbortHandler)
	}
	if e.consume(func(f *EngineFaults) *int { return &f.DuplicateOrders }) {
		go e.runLate(o, late)
	}
	err := e.Order(o)
	if e.consume(func(f *EngineFaults) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// runLate executes an order after a delay.
func (e *Engine) runLate(o driver.Order, by time.Duration) {
	_ = sleep(context.Background(), e.clock, by)
	_ = e.Order(o)
}

// Order accepts or refuses an order. An accepted order runs in the background.
func (e *Engine) Order(o driver.Order) error {
	if o.Op == driver.OpLoad && o.MemoryMB <= 0 {
		return judge.Invalid("order", "load has no memory")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.recordReport()
	if e.settings.ChecksFence {
		if o.Fence < e.fence {
			e.refuseOrder(o.ID)
			return &judge.Refusal{
				Verdict: judge.NotRun, Status: http.StatusConflict,
				Code: "fence", Reason: "fencing number is old",
			}
		}
		e.fence = o.Fence
	}
	if e.settings.DeduplicatesOrders && e.seenOrders[o.ID] {
		return nil
	}
	e.seenOrders[o.ID] = true
	switch o.Op {
	case driver.OpLoad:
		e.beginLoad(o)
	case driver.OpUnload:
		e.beginUnload(o)
	case driver.OpRole:
		e.beginRole(o)
	case driver.OpFence:
		e.setOutcome(o.ID, driver.OutcomeDone)
	default:
		return judge.Invalid("order", "operation is unknown")
	}
	return nil
}

// setOutcome records the outcome of an order.
func (e *Engine) setOutcome(id, outcome string) {
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

// refuseOrder records a refusal, unless an earlier copy of the order was
// accepted.
func (e *Engine) refuseOrder(id string) {
	if !e.seenOrders[id] {
		e.setOutcome(id, driver.OutcomeRefused)
	}
}

func (e *Engine) beginLoad(o driver.Order) {
	if r, ok := e.memory.residents[o.Weights]; ok {
		switch {
		case r.State == driver.StateReady:
			e.setOutcome(o.ID, driver.OutcomeDone)
		case !e.pending(o.ID):
			e.setOutcome(o.ID, driver.OutcomeFailed)
		}
		return
	}
	if o.Adapter != "" && !e.isReady(driver.Weights{Model: o.Model, Version: o.Version}) {
		e.setOutcome(o.ID, driver.OutcomeFailed)
		return
	}
	e.memory.residents[o.Weights] = driver.LoadedWeights{Weights: o.Weights, State: driver.StateLoading, MemoryMB: o.MemoryMB}
	e.setOutcome(o.ID, driver.OutcomeRunning)
	e.checkMemory("load " + o.Model)
	go e.runLoad(e.bootCtx, o)
}

// pending reports whether an earlier copy of an order is still running.
func (e *Engine) pending(id string) bool {
	for _, s := range e.orders {
		if s.ID == id {
			return s.Outcome == driver.OutcomeRunning
		}
	}
	return false
}

func (e *Engine) runLoad(bootCtx context.Context, o driver.Order) {
	err := error(nil)
	if e.source != nil {
		err = e.source.Load(bootCtx, LoadRequest{Weights: o.Weights, Memory: o.MemoryMB})
	}
	e.waitWhileFrozen(bootCtx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if bootCtx.Err() != nil {
		return
	}
	defer e.recordReport()
	if err != nil {
		delete(e.memory.residents, o.Weights)
		e.setOutcome(o.ID, driver.OutcomeFailed)
		return
	}
	r := e.memory.residents[o.Weights]
	r.State = driver.StateReady
	e.memory.residents[o.Weights] = r
	e.setOutcome(o.ID, driver.OutcomeDone)
}

// beginUnload starts an unload. Unloading a model also unloads its adapters.
// Accepted requests are completed; new ones are refused.
func (e *Engine) beginUnload(o driver.Order) {
	r, ok := e.memory.residents[o.Weights]
	if !ok {
		e.setOutcome(o.ID, driver.OutcomeDone)
		return
	}
	if r.State != driver.StateReady {
		if !e.pending(o.ID) {
			e.setOutcome(o.ID, driver.OutcomeFailed)
		}
		return
	}
	unloading := []driver.Weights{}
	for w, r := range e.memory.residents {
		if w == o.Weights || (o.Adapter == "" && w.Model == o.Model && w.Version == o.Version) {
			r.State = driver.StateUnloading
			e.memory.residents[w] = r
			unloading = append(unloading, w)
		}
	}
	e.setOutcome(o.ID, driver.OutcomeRunning)
	go e.runUnload(e.bootCtx, o.ID, unloading)
}

func (e *Engine) runUnload(bootCtx context.Context, id string, unloading []driver.Weights) {
	for e.inUse(unloading) {
		if sleep(bootCtx, e.clock, drainPollInterval) != nil {
			return
		}
	}
	if sleep(bootCtx, e.clock, e.settings.UnloadTime) != nil {
		return
	}
	e.waitWhileFrozen(bootCtx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if bootCtx.Err() != nil {
		return
	}
	for _, w := range unloading {
		delete(e.memory.residents, w)
		if w.Adapter == "" {
			e.evictModel(w.Model)
		}
	}
	e.setOutcome(id, driver.OutcomeDone)
	e.recordReport()
}

func (e *Engine) inUse(unloading []driver.Weights) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, all := range [][]*generation{e.running, e.waiting} {
		for _, g := range all {
			for _, w := range unloading {
				if matches(g.request.Weights, w) || matches(baseModel(g.request.Weights), w) {
					return true
				}
			}
		}
	}
	return false
}

// beginRole starts a role change. The order's memory is the reserve of the new
// role in MB; zero leaves the reserve unchanged.
func (e *Engine) beginRole(o driver.Order) {
	if e.memory.nextReserve > 0 {
		if !e.pending(o.ID) {
			e.setOutcome(o.ID, driver.OutcomeFailed)
		}
		return
	}
	e.memory.nextReserve = e.memory.reserve
	if o.MemoryMB > 0 {
		e.memory.nextReserve = o.MemoryMB
	}
	e.setOutcome(o.ID, driver.OutcomeRunning)
	e.checkMemory("role " + o.Role)
	go e.runRole(e.bootCtx, o)
}

func (e *Engine) runRole(bootCtx context.Context, o driver.Order) {
	if sleep(bootCtx, e.clock, e.settings.RoleTime) != nil {
		return
	}
	e.waitWhileFrozen(bootCtx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if bootCtx.Err() != nil {
		return
	}
	e.memory.reserve = e.memory.nextReserve
	e.memory.nextReserve = 0
	e.role = o.Role
	e.makeRoom(0)
	e.setOutcome(o.ID, driver.OutcomeDone)
	e.checkMemory("role " + o.Role)
	e.recordReport()
}

// waitWhileFrozen blocks while the engine has the outage hang or until its boot
// ends.
func (e *Engine) waitWhileFrozen(bootCtx context.Context) {
	_ = e.waitWhile(bootCtx, func(f EngineFaults) bool { return f.Outage == OutageHang })
}

// baseModel returns the weights of the model that an adapter belongs to.
func baseModel(w driver.Weights) driver.Weights {
	return driver.Weights{Model: w.Model, Version: w.Version}
}

// matches reports whether loaded weights are the requested ones. A request
// without a version accepts any.
func matches(want, have driver.Weights) bool {
	same := want.Model == have.Model && want.Adapter == have.Adapter
	return same && (want.Version == "" || want.Version == have.Version)
}

// isReady reports whether weights are loaded and can serve new requests.
func (e *Engine) isReady(want driver.Weights) bool {
	for w, r := range e.memory.residents {
		if r.State == driver.StateReady && matches(want, w) {
			return true
		}
	}
	return false
}
