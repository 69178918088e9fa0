package coordinator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/stocker"
)

// job carries one order out.
type job struct {
	*foreman
	belief *belief
	order  stocker.Order
	// cold is the load from the weight store that the job makes, nil for none.
	cold *Cold
	// pause is how long the server takes no order after a failure.
	pause  time.Duration
	engine *matcher.Engine
	server registrar.Server
}

func (j *job) run(ctx context.Context) {
	done := j.carry(ctx)
	for done && j.order.Next != nil {
		j.order = *j.order.Next
		done = j.carry(ctx)
	}
	j.mu.Lock()
	now := j.Clock.Now()
	if j.cold != nil {
		j.cold.End()
	}
	if !done {
		j.belief.until = now.Add(j.pause)
		j.belief.orders = -1
	}
	j.belief.pending = nil
	j.mu.Unlock()
	if !done {
		j.Meter.Add(MetricUndone, 1)
		j.Log.Info("orders: not carried out", zap.String("server", j.server.ID), zap.Stringer("op", j.order.Op),
			zap.String("key", balancer.Key(j.order.Model, j.order.Adapter)))
	}
	j.hub.wake()
}

// carry carries one order out.
func (j *job) carry(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	order := j.order
	j.mu.Lock()
	j.belief.pending = &order
	j.mu.Unlock()
	if j.order.Op == stocker.Unload {
		j.tell(false)
	}
	done := j.send(ctx)
	if done {
		done = j.finish(ctx)
	}
	if done {
		j.mu.Lock()
		j.belief.apply(j.belief.held, j.order)
		j.belief.changed = j.Clock.Now()
		j.mu.Unlock()
	}
	if done == (j.order.Op == stocker.Load) {
		j.tell(true)
	}
	return done
}

// tell passes on that the server holds, or does not hold, what the order is
// about.
func (j *job) tell(held bool) {
	j.mu.Lock()
	o := balancer.Overlay{Server: j.server.ID, Life: j.server.Life, Key: balancer.Key(j.order.Model, j.order.Adapter), Held: held}
	list := []balancer.Overlay{o}
	if j.order.Op == stocker.Unload && j.order.Adapter == "" {
		for _, a := range j.belief.held[j.order.Model] {
			o.Key = balancer.Key(j.order.Model, a)
			list = append(list, o)
		}
	}
	j.mu.Unlock()
	j.hub.tell(list)
}

// send sends the order until the server has answered it. An order whose answer
// was lost is sent again with the same expected count: whichever comes first is
// carried out, the other is refused.
func (j *job) send(ctx context.Context) bool {
	// The registry may be old, and weights that do not fit crash the server:
	// what it holds is asked of the server itself, and what an order under way
	// brings shows only once that is done.
	if j.order.Op == stocker.Load && j.order.Adapter == "" && !j.settle(ctx) {
		return false
	}
	unsent := 0
	for range orderTries {
		j.mu.Lock()
		expected := j.belief.orders
		fits := stocker.Fits(j.engine, j.belief.held, j.order)
		j.mu.Unlock()
		if expected < 0 {
			if !j.learn(ctx) {
				return false
			}
			continue
		}
		if !fits {
			j.Log.Info("orders: server holds other models than the registry says", zap.String("server", j.server.ID))
			return false
		}
		if !j.lease.MayOrder() {
			return false
		}
		if j.order.Cold {
			j.mu.Lock()
			j.cold.Begin(j.Clock.Now())
			j.mu.Unlock()
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out, err := j.Engines.Send(call, j.server, Order{
			Order: j.order, Expected: expected, Holder: j.lease.self.Machine, Fence: j.lease.Fence(),
		}, j.lease.MayOrder)
		cancel()
		switch out {
		case Accepted:
			j.mu.Lock()
			j.belief.orders = expected + 1
			j.mu.Unlock()
			return true
		case Holds:
			return j.sleep(ctx, reportLag) && j.learn(ctx)
		case Conflict:
			if !j.settle(ctx) {
				return false
			}
			j.mu.Lock()
			changed := j.belief.orders != expected
			done := changed && carried(j.belief.held, j.order)
			j.mu.Unlock()
			if done {
				// An earlier try was carried out, and its answer lost.
				return true
			}
			if changed {
				return false
			}
		case Rejected:
			j.pause = shun
			j.Log.Info("orders: rejected", zap.String("server", j.server.ID), zap.Error(err))
			return false
		case Unsent:
			if unsent++; unsent >= unsentTries {
				j.pause = shun
				j.Log.Info("orders: server takes no connection", zap.String("server", j.server.ID), zap.Error(err))
				return false
			}
		case Unknown:
			j.mu.Lock()
			j.unanswered[j.server.ID] = j.Clock.Now()
			j.mu.Unlock()
			j.Log.Info("orders: no answer", zap.String("server", j.server.ID), zap.Int64("expected", expected), zap.Error(err))
		}
		if !j.sleep(ctx, orderPause) {
			return false
		}
	}
	return false
}

// learn takes over what the server itself says.
func (j *job) learn(ctx context.Context) bool {
	s, ok := j.report(ctx)
	if ok {
		j.take(s)
	}
	return ok
}

// settle is learn that waits until no order is under way at the server. Both
// what it holds and how many orders it has accepted are then of one moment.
func (j *job) settle(ctx context.Context) bool {
	for {
		s, ok := j.report(ctx)
		if !ok {
			return false
		}
		if !s.Busy {
			j.take(s)
			return true
		}
		if !j.sleep(ctx, checkPause) {
			return false
		}
	}
}

func (j *job) take(s Stock) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Orders >= j.belief.orders {
		j.belief.orders = s.Orders
		j.belief.adopt(s.Holdings)
		j.belief.changed = j.Clock.Now()
	}
}

func (j *job) report(ctx context.Context) (Stock, bool) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s, err := j.Engines.Report(call, j.server)
	if err != nil {
		j.Log.Info("orders: no report", zap.String("server", j.server.ID), zap.Error(err))
	}
	return s, err == nil
}

// finish waits until an accepted order has been carried out.
func (j *job) finish(ctx context.Context) bool {
	if j.order.Adapter != "" {
		return j.sleep(ctx, adapterTime)
	}
	expected := unloadTime
	if j.order.Op == stocker.Load {
		expected = j.engine.Models[j.order.Model].Warm
		if j.order.Cold {
			expected = j.engine.Models[j.order.Model].Cold
		}
	}
	for j.sleep(ctx, expected) {
		expected = checkPause
		s, ok := j.report(ctx)
		j.mu.Lock()
		current := ok && !s.Busy && s.Orders >= j.belief.orders
		j.mu.Unlock()
		if !current {
			continue
		}
		held := slices.ContainsFunc(s.Holdings, func(h registrar.Holding) bool { return h.Model == j.order.Model })
		if held == (j.order.Op == stocker.Load) {
			return true
		}
	}
	return false
}

func (j *job) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-j.Clock.After(d):
		return true
	}
}
