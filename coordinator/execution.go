package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

// overlayTransit is how long an overlay takes to an instance once that has reported.
const overlayTransit = 50 * time.Millisecond

// execution executes one order, and the orders that follow it on the server.
type execution struct {
	*reconciler
	state *serverState
	order serviceplanner.Order
	// coldLoad counts the execution's load from the weight store, nil if it has
	// none.
	coldLoad *ColdLoad
	// backoff is how long the server is sent no order after a failure.
	backoff time.Duration
	// unsettled is set while the current order may be executed: its reply was lost,
	// or it was accepted. expected is the order count that it was last sent with.
	unsettled bool
	expected  int64
	// cached are the models that the server can load without the weight store,
	// according to its last report while it was idle.
	cached []string
	engine *matcher.Engine
	server registrar.Server
	// basis names where the order count and the loaded models come from, for the log.
	basis string
	// acceptedAt is when the server last accepted an order.
	acceptedAt time.Time
}

func (x *execution) run(ctx context.Context) {
	done := x.execute(ctx)
	for done && x.order.Next != nil {
		x.order = *x.order.Next
		done = x.execute(ctx)
	}
	x.mu.Lock()
	now := x.Clock.Now()
	if x.coldLoad != nil {
		x.coldLoad.Finish()
	}
	if !done {
		x.state.busyUntil = now.Add(x.backoff)
		x.state.orderCount = -1
	}
	x.state.pending = nil
	x.mu.Unlock()
	if !done {
		x.Meter.Add(MetricOrdersFailed, 1)
		x.Log.Info("orders: not carried out", zap.String("server", x.server.ID), zap.Stringer("op", x.order.Op),
			zap.String("key", balancer.Key(x.order.Model, x.order.Adapter)))
	}
	x.cluster.triggerPlan()
}

// execute sends the current order, waits until it is completed, and reports
// whether it was. Overlays mark what an unload names as unloaded before the order
// is sent, and as loaded again if the order fails. They mark what a load names as
// loaded once the order is completed.
func (x *execution) execute(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	order := x.order
	x.mu.Lock()
	x.state.pending = &order
	x.mu.Unlock()
	if x.order.Op == serviceplanner.Unload {
		x.publishOverlays(false)
	}
	x.unsettled = false
	done := x.awaitOverlays(ctx) && x.send(ctx)
	if done {
		done = x.awaitCompletion(ctx)
	}
	if done {
		x.mu.Lock()
		x.order.Apply(x.state.loaded)
		x.state.changedAt = x.Clock.Now()
		x.mu.Unlock()
	}
	if !done && x.unsettled && x.order.Op == serviceplanner.Unload {
		x.mu.Lock()
		x.state.addUnsettled(x.Clock.Now(), order, x.expected)
		x.mu.Unlock()
	}
	if done == (x.order.Op == serviceplanner.Load) {
		x.publishOverlays(true)
	}
	return done
}

// awaitOverlays waits, before the unload of what is in demand, until the instances send no more
// requests for it: the server refuses those that it has not begun.
func (x *execution) awaitOverlays(ctx context.Context) bool {
	return !x.order.Requested || x.sleep(ctx, x.usualPause()+overlayTransit)
}

// publishOverlays reports to the instances whether the order's model or adapter is
// loaded on the server. For the unload of a model it includes the model's adapters.
func (x *execution) publishOverlays(loaded bool) {
	x.mu.Lock()
	o := balancer.Overlay{Server: x.server.ID, Incarnation: x.server.Incarnation, Key: balancer.Key(x.order.Model, x.order.Adapter), Loaded: loaded}
	list := []balancer.Overlay{o}
	if x.order.Op == serviceplanner.Unload && x.order.Adapter == "" {
		for _, a := range x.state.loaded[x.order.Model] {
			o.Key = balancer.Key(x.order.Model, a)
			list = append(list, o)
		}
	}
	x.mu.Unlock()
	x.cluster.addOverlays(list)
}

// send sends the order until the server has replied to it, and reports whether it
// was accepted or has already taken effect. An order whose reply was lost is sent
// again with the same expected order count: the server accepts the one that
// arrives first and refuses the other.
func (x *execution) send(ctx context.Context) bool {
	// The registry may be out of date, and weights that do not fit crash the
	// server. Its state is therefore requested from the server itself, once no
	// order is under way there: what that order loads shows only afterwards.
	if x.order.Op == serviceplanner.Load && x.order.Adapter == "" && (!x.syncIdleState(ctx) || !x.withinColdLoads()) {
		return false
	}
	unsent := 0
	for range maxOrderAttempts {
		x.mu.Lock()
		expected := x.state.orderCount
		fits := serviceplanner.Fits(x.engine, x.state.loaded, x.order)
		x.mu.Unlock()
		if expected < 0 {
			if !x.syncState(ctx) {
				return false
			}
			continue
		}
		if !fits {
			x.Log.Info("orders: server holds other models than the registry says", zap.String("server", x.server.ID))
			return false
		}
		if !x.lease.MayOrder() {
			return false
		}
		if x.order.Cold {
			x.mu.Lock()
			x.coldLoad.Sent(x.Clock.Now())
			x.mu.Unlock()
		}
		x.logSend(expected)
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out, err := x.OrderSender.Send(call, x.server, Order{
			Order: x.order, ExpectedOrders: expected, Holder: x.lease.self.Machine, Fence: x.lease.Fence(),
		}, x.lease.MayOrder)
		cancel()
		switch out {
		case Accepted:
			x.unsettled, x.expected, x.acceptedAt, x.basis = true, expected, x.Clock.Now(), "own order"
			x.mu.Lock()
			x.state.orderCount = expected + 1
			x.mu.Unlock()
			return true
		case AlreadyApplied:
			return x.sleep(ctx, maxReportAge) && x.syncState(ctx)
		case Conflict:
			if !x.syncIdleState(ctx) {
				return false
			}
			x.mu.Lock()
			changed := x.state.orderCount != expected
			done := changed && satisfied(x.state.loaded, x.order)
			x.mu.Unlock()
			if done {
				// An earlier attempt was executed, and its reply lost.
				return true
			}
			if changed {
				x.unsettled = false
				return false
			}
		case Rejected:
			x.backoff = serverBackoff
			x.Log.Info("orders: rejected", zap.String("server", x.server.ID), zap.Error(err))
			return false
		case NotSent:
			if unsent++; unsent >= maxUnsentAttempts {
				x.backoff = serverBackoff
				x.Log.Info("orders: server takes no connection", zap.String("server", x.server.ID), zap.Error(err))
				return false
			}
		case Unknown:
			x.unsettled, x.expected = true, expected
			x.mu.Lock()
			x.unanswered[x.server.ID] = x.Clock.Now()
			x.mu.Unlock()
			x.Log.Info("orders: no answer", zap.String("server", x.server.ID), zap.Int64("expected", expected), zap.Error(err))
		}
		if !x.sleep(ctx, orderRetryInterval) {
			return false
		}
	}
	return false
}

// logSend logs what an order that is sent now is based on.
func (x *execution) logSend(expected int64) {
	x.mu.Lock()
	loaded := slices.Sorted(maps.Keys(x.state.loaded))
	loads := x.coldLoadCounter(x.server.Service).Count(x.Clock.Now())
	x.mu.Unlock()
	x.Log.Info("orders: sent", zap.String("server", x.server.ID), zap.Stringer("op", x.order.Op), zap.String("key", balancer.Key(x.order.Model, x.order.Adapter)),
		zap.Int64("expected", expected), zap.Strings("loaded", loaded), zap.String("basis", x.basis), zap.Bool("cold", x.order.Cold), zap.Strings("cached", x.cached), zap.Int("cold_loads", loads))
}

// logLoadTime logs how long the load of a model took: one that did not count as cold but
// took as long as a cold one was counted wrongly.
func (x *execution) logLoadTime() {
	if x.order.Op != serviceplanner.Load || x.order.Adapter != "" {
		return
	}
	x.Log.Info("orders: loaded", zap.String("server", x.server.ID), zap.String("model", x.order.Model), zap.Bool("cold", x.order.Cold),
		zap.Duration("took", x.Clock.Since(x.acceptedAt)), zap.Duration("cold_time", x.engine.Models[x.order.Model].ColdLoadTime))
}

// withinColdLoads reports whether the load may be sent. The weights that the
// registry named may be gone: the load then counts as one from the weight store, if
// that accepts another one.
func (x *execution) withinColdLoads() bool {
	if x.order.Cold || slices.Contains(x.cached, x.order.Model) {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	counter := x.coldLoadCounter(x.server.Service)
	if counter.Count(x.Clock.Now()) >= coldLoadLimit(x.engine, x.ColdLoadWindow, x.ColdLoadOverage) {
		x.Log.Info("orders: server no longer has the weights at hand", zap.String("server", x.server.ID), zap.String("model", x.order.Model))
		return false
	}
	x.order.Cold = true
	if x.coldLoad == nil {
		x.coldLoad = counter.Plan()
	}
	return true
}

// syncState updates the last known state from the server's own report.
func (x *execution) syncState(ctx context.Context) bool {
	s, ok := x.fetchReport(ctx)
	if ok {
		x.basis = "report"
		x.updateState(s)
	}
	return ok
}

// syncIdleState is syncState once no order is under way at the server, so that its
// loaded models and its order count belong to the same moment. The loaded models of a report
// may be older than its order count: an order of another holder that has just been completed
// does not show in them yet.
func (x *execution) syncIdleState(ctx context.Context) bool {
	idleOrders, idleSince := int64(-1), time.Time{}
	for {
		s, ok := x.fetchReport(ctx)
		if !ok {
			return false
		}
		now := x.Clock.Now()
		switch {
		case s.Busy:
			idleOrders = -1
		case x.knowsOrders(s.Orders) || s.Orders == idleOrders && now.Sub(idleSince) >= reportSettleTime:
			x.basis = "report while idle"
			x.updateState(s)
			x.cached = s.Cached
			return true
		case s.Orders != idleOrders:
			idleOrders, idleSince = s.Orders, now
		}
		if !x.sleep(ctx, checkInterval) {
			return false
		}
	}
}

// knowsOrders reports whether this holder has sent the last of so many orders that a server has
// accepted, and knows what that has changed.
func (x *execution) knowsOrders(orders int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return orders == x.state.orderCount
}

func (x *execution) updateState(r ServerReport) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.settle(r)
	if r.Orders == x.state.orderCount && x.Clock.Since(x.state.changedAt) < reportSettleTime {
		// The report may be from before the last order was completed.
		return
	}
	if r.Orders >= x.state.orderCount {
		x.state.orderCount = r.Orders
		x.state.setLoaded(r.Loaded)
		x.state.changedAt = x.Clock.Now()
	}
}

func (x *execution) fetchReport(ctx context.Context) (ServerReport, bool) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := x.OrderSender.Report(call, x.server)
	if err != nil {
		x.Log.Info("orders: no report", zap.String("server", x.server.ID), zap.Error(err))
	}
	return r, err == nil
}

// awaitCompletion waits until the accepted order is completed. An unload waits for
// the requests that use what it names.
func (x *execution) awaitCompletion(ctx context.Context) bool {
	if x.order.Adapter != "" && (x.order.Op == serviceplanner.Load || x.isSatisfied()) {
		return x.sleep(ctx, adapterLoadTime)
	}
	expected := firstUnloadCheck
	if x.order.Op == serviceplanner.Load {
		expected = x.engine.Models[x.order.Model].HostLoadTime
		if x.order.Cold {
			expected = x.engine.Models[x.order.Model].ColdLoadTime
		}
	}
	for x.sleep(ctx, expected) {
		expected = checkInterval
		s, ok := x.fetchReport(ctx)
		x.mu.Lock()
		current := ok && !s.Busy && s.Orders >= x.state.orderCount
		if ok {
			x.state.settle(s)
		}
		x.mu.Unlock()
		if !current {
			continue
		}
		if satisfied(loadedModels(s.Loaded), x.order) {
			x.logLoadTime()
			return true
		}
	}
	return false
}

// isSatisfied reports whether the last known state is already as the order makes it.
func (x *execution) isSatisfied() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return satisfied(x.state.loaded, x.order)
}

func (x *execution) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-x.Clock.After(d):
		return true
	}
}
