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
	term  int
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
	engine    *matcher.Engine
	server    registrar.Server
	// assumed is what the plan took the server to have loaded, nil if that was confirmed.
	assumed map[string][]string
	// basis names where the order count and the loaded models come from, for the log.
	basis string
	// acceptedAt is when the server last accepted an order.
	acceptedAt time.Time
}

func (x *execution) run(ctx context.Context) {
	done := x.prepare(ctx) && x.execute(ctx)
	for done && x.order.Next != nil {
		x.order, x.assumed = *x.order.Next, nil
		done = x.execute(ctx)
	}
	x.mu.Lock()
	now := x.Clock.Now()
	x.running[x]()
	delete(x.running, x)
	if x.coldLoad != nil {
		x.finishLoad()
	}
	if !done {
		x.state.busyUntil = now.Add(x.backoff)
	}
	if !done && x.unsettled {
		x.state.invalidate()
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

// finishLoad records that the load from the weight store is not ordered any more. x.mu must be
// held.
func (x *execution) finishLoad() {
	x.coldLoad.Finish()
	switch {
	case !x.coldLoad.unanswered:
	case x.unsettled:
		x.state.unsettledLoads = append(x.state.unsettledLoads, unsettledLoad{x.coldLoad, x.expected})
	default:
		x.coldLoad.Refuse()
	}
}

// prepare learns what the orders are based on, before the first of them is sent: without the load
// that follows it, an unload gains nothing.
func (x *execution) prepare(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if !x.confirmState(ctx) {
		return false
	}
	load := &x.order
	if x.order.Next != nil {
		load = x.order.Next
	}
	return !loadsModel(*load) || x.updateCached(ctx) && x.withinColdLoads(load)
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
	x.unsettled = false
	if x.order.Op == serviceplanner.Unload {
		x.publishOverlays(false)
	}
	done := x.isSatisfied()
	if !done {
		done = x.awaitOverlays(ctx) && x.send(ctx)
	}
	if done {
		x.mu.Lock()
		x.order.Apply(x.state.loaded)
		x.state.changedAt = x.Clock.Now()
		if loadsModel(x.order) {
			x.state.loadedAt = x.state.changedAt
		}
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

// send sends the order until the server has replied to it, waits until it is completed, and
// reports whether it was. An order whose reply was lost is sent again with the same expected
// order count: the server accepts the one that arrives first and refuses the other.
func (x *execution) send(ctx context.Context) bool {
	unsent := 0
	for range maxOrderAttempts {
		x.mu.Lock()
		expected := x.state.orderCount
		fits := serviceplanner.Fits(x.engine, x.state.loaded, x.order)
		x.mu.Unlock()
		if !fits {
			x.Log.Info("orders: server has no room", zap.String("server", x.server.ID))
			return false
		}
		if x.order.Cold && !x.awaitAnswers(ctx) || !x.mayOrder(x.term) {
			return false
		}
		x.logSend(expected)
		answered := x.expectAnswer()
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out, err := x.OrderSender.Send(call, x.server, Order{
			Order: x.order, ExpectedOrders: expected, Holder: x.lease.self.Machine, Fence: x.lease.Fence(),
		}, func() bool { return x.mayOrder(x.term) && ctx.Err() == nil })
		cancel()
		if out != Unknown {
			answered()
		}
		switch out {
		case Accepted:
			x.unsettled, x.expected, x.acceptedAt = true, expected, x.Clock.Now()
			x.countOrder(expected)
			return x.awaitCompletion(ctx)
		case AlreadyApplied:
			// It did not hold after the expected orders, so it is the one that followed them.
			x.countOrder(expected)
			return true
		case Conflict:
			done, ok := x.resolveConflict(ctx, expected)
			if done || !ok {
				return done
			}
		case Rejected:
			x.refuseLoad()
			x.backoff = serverBackoff
			x.Log.Info("orders: rejected", zap.String("server", x.server.ID), zap.Error(err))
			return false
		case NotSent:
			x.refuseLoad()
			if unsent++; unsent >= maxUnsentAttempts {
				x.backoff = serverBackoff
				x.Log.Info("orders: server takes no connection", zap.String("server", x.server.ID), zap.Error(err))
				return false
			}
		case Unknown:
			x.unsettled, x.expected = true, expected
			x.Log.Info("orders: no answer", zap.String("server", x.server.ID), zap.Int64("expected", expected), zap.Error(err))
		}
		if !x.sleep(ctx, orderRetryInterval) {
			return false
		}
	}
	return false
}

func loadsModel(o serviceplanner.Order) bool {
	return o.Op == serviceplanner.Load && o.Adapter == ""
}

// countOrder records that the server has accepted one order more than expected.
func (x *execution) countOrder(expected int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.orderCount, x.basis = expected+1, "own order"
	if loadsModel(x.order) {
		x.state.cachedKnown = false
	}
	x.loadBeginsBy(x.Clock.Now())
}

// awaitAnswers waits until few enough loads from the weight store are unanswered for the current
// order, which it adds unless an earlier attempt has.
func (x *execution) awaitAnswers(ctx context.Context) bool {
	limit := unansweredLoadLimit(coldLoadLimit(x.engine, x.ColdLoadWindow, x.ColdLoadOverage))
	for {
		x.mu.Lock()
		now := x.Clock.Now()
		free := x.coldLoad.unanswered || x.coldLoadCounter(x.server.Service).Unanswered(now) < limit
		if free {
			x.coldLoad.Order(now.Add(orderTimeout + lateOrderWindow))
		}
		x.mu.Unlock()
		if free || !x.sleep(ctx, answerCheckInterval) {
			return free
		}
	}
}

// refuseLoad records that the last attempt began no load, and an earlier one neither.
func (x *execution) refuseLoad() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.order.Cold && !x.unsettled {
		x.coldLoad.Refuse()
	}
}

// loadBeginsBy records when the current order begins a load from the weight store at the latest,
// if it does. x.mu must be held.
func (x *execution) loadBeginsBy(t time.Time) {
	if x.order.Cold {
		x.coldLoad.BeginsBy(t)
	}
}

// logSend logs what an order that is sent now is based on.
func (x *execution) logSend(expected int64) {
	x.mu.Lock()
	loaded := slices.Sorted(maps.Keys(x.state.loaded))
	cached := x.state.cached
	loads := x.coldLoadCounter(x.server.Service).Count(x.Clock.Now())
	x.mu.Unlock()
	x.Log.Info("orders: sent", zap.String("server", x.server.ID), zap.Stringer("op", x.order.Op), zap.String("key", balancer.Key(x.order.Model, x.order.Adapter)),
		zap.Int64("expected", expected), zap.Strings("loaded", loaded), zap.String("basis", x.basis), zap.Bool("cold", x.order.Cold), zap.Strings("cached", cached), zap.Int("cold_loads", loads))
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

// withinColdLoads reports whether a load may be ordered. It counts as one from the weight store
// unless the server has a copy of the weights; the registration may be wrong about that.
func (x *execution) withinColdLoads(load *serviceplanner.Order) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	cold := !slices.Contains(x.state.cached, load.Model)
	switch {
	case cold == load.Cold:
	case cold:
		counter := x.coldLoadCounter(x.server.Service)
		if counter.Count(x.Clock.Now()) >= coldLoadLimit(x.engine, x.ColdLoadWindow, x.ColdLoadOverage) {
			x.Log.Info("orders: server no longer has the weights at hand", zap.String("server", x.server.ID), zap.String("model", load.Model))
			return false
		}
		x.coldLoad = counter.Plan()
	default:
		x.coldLoad.Finish()
		x.coldLoad = nil
	}
	load.Cold = cold
	return true
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
	if x.order.Adapter != "" {
		// The server is not busy meanwhile, and an older report may lack the adapter since it had
		// not been loaded yet.
		expected = maxReportAge
	}
	if loadsModel(x.order) {
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
