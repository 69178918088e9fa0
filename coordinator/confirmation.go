package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// An order is sent only if it is known what the server has loaded after a known number of
// accepted orders, and names that number. A server that has accepted any other order since
// refuses it, so nothing else can have changed what is loaded.
//
// That is known from reports, or from there on by the orders of this holder. Registrations say
// what to plan with; they may contradict what is known, but never add to it.

// confirmState learns from the server's reports what it has loaded, unless that is known. It
// reports false if the server can't be asked, or has not loaded what the plan assumed.
func (x *execution) confirmState(ctx context.Context) bool {
	x.mu.Lock()
	confirmed := x.state.confirmed()
	x.mu.Unlock()
	if confirmed {
		return true
	}
	if !x.readState(ctx, func(ServerReport) bool { return false }) {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.assumed != nil && !sameLoaded(x.assumed, x.state.loaded) {
		x.backoff = 0
		x.Log.Info("orders: server has loaded something else than was planned with", zap.String("server", x.server.ID))
		return false
	}
	return true
}

// readState reads reports until one is accepted, or until they show what the server has loaded
// after how many orders. The values of a report may be of different moments: its loaded models may
// lack the load that its order count includes. They belong together once the server has been idle
// and the count the same for longer than reports lag. readState reports false if the server can't
// be asked.
func (x *execution) readState(ctx context.Context, accepts func(ServerReport) bool) bool {
	idleOrders, idleSince := int64(-1), time.Time{}
	for {
		r, ok := x.fetchReport(ctx)
		if !ok {
			return false
		}
		now := x.Clock.Now()
		switch {
		case r.Busy:
			idleOrders = -1
		case accepts(r):
			return true
		case r.Orders != idleOrders:
			idleOrders, idleSince = r.Orders, now
		case now.Sub(idleSince) >= reportSettleTime:
			x.mu.Lock()
			x.state.confirm(now, r)
			x.basis = "reports"
			x.mu.Unlock()
			return true
		}
		if !x.sleep(ctx, checkInterval) {
			return false
		}
	}
}

// updateCached learns from a report which weights the server has copies of, unless that is known:
// each load may have evicted some.
func (x *execution) updateCached(ctx context.Context) bool {
	x.mu.Lock()
	known := x.state.cachedKnown
	wait := reportSettleTime - x.Clock.Since(x.state.loadedAt)
	x.mu.Unlock()
	if known {
		return true
	}
	if wait > 0 && !x.sleep(ctx, wait) {
		return false
	}
	r, ok := x.fetchReport(ctx)
	if ok {
		x.mu.Lock()
		x.state.cached, x.state.cachedKnown = r.Cached, true
		x.mu.Unlock()
	}
	return ok
}

// resolveConflict learns why the server has refused an order with an expected order count. done
// is set if the order was executed, or need not be. Otherwise ok is set if it may be sent again.
func (x *execution) resolveConflict(ctx context.Context, expected int64) (done, ok bool) {
	x.mu.Lock()
	before := maps.Clone(x.state.loaded)
	x.mu.Unlock()
	executed := false
	if !x.readState(ctx, func(r ServerReport) bool {
		// One order was accepted beyond the expected count, and did what this one does.
		executed = x.unsettled && r.Orders == expected+1 && satisfied(loadedModels(r.Loaded), x.order)
		return executed
	}) {
		return false, false
	}
	if executed {
		x.countOrder(expected)
		return true, true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.orderCount != expected {
		// An earlier attempt was executed or never will be.
		if x.unsettled {
			x.loadBeginsBy(x.Clock.Now())
		}
		x.unsettled = false
	}
	return satisfied(x.state.loaded, x.order), sameLoaded(before, x.state.loaded)
}

// sameLoaded reports whether two servers have loaded the same models and adapters.
func sameLoaded(a, b map[string][]string) bool {
	return maps.EqualFunc(a, b, func(x, y []string) bool {
		return slices.Equal(slices.Sorted(slices.Values(x)), slices.Sorted(slices.Values(y)))
	})
}
