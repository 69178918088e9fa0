package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/stocker"
)

const (
	// orderTimeout bounds an order's call: an order is answered at once, or
	// its answer is lost.
	orderTimeout = 250 * time.Millisecond
	// orderPause is the pause before an order is sent again.
	orderPause = 80 * time.Millisecond
	// orderTries bounds how often an order is sent, unsentTries how often it
	// is tried while the server takes no connection.
	orderTries  = 12
	unsentTries = 3
	// lateTime is how long after it was sent an order without an answer may be
	// carried out.
	lateTime = 12 * time.Second
	// adapterTime is how long an adapter's load takes, and a margin.
	adapterTime = 12 * time.Millisecond
	// unloadTime is when an unload that waits for no run is first checked.
	unloadTime = 40 * time.Millisecond
	// checkPause is the pause between checks whether a load or an unload is
	// done, and checkLimit when it is given up.
	checkPause = 100 * time.Millisecond
	checkLimit = 15 * time.Second
	// reportLag is how old a report may be.
	reportLag = 200 * time.Millisecond
	// planPause is the pause between plans.
	planPause = 100 * time.Millisecond
	// planRest times the time of a plan is the least pause after it, so that
	// plans take a fifth of the processor at most, however many servers there
	// are.
	planRest = 4
	// ceilingSlack is what the weight store takes beyond its rate in a window:
	// three, less one that may be under way.
	ceilingSlack = 2
	// registryLag is how long the registry may take to show what an order has
	// changed: a heartbeat, and readings.
	registryLag = 3 * time.Second
	// shun is how long a server that takes no order is given no further one,
	// replan how long one that was not as believed.
	shun   = 2 * time.Second
	replan = 200 * time.Millisecond
)

// foreman gives the orders that plans ask for.
type foreman struct {
	*Coordinator
	work sync.WaitGroup

	mu      sync.Mutex
	beliefs map[string]*belief
	colds   map[string]*Ceiling
	// unanswered is when an order to a server, by its ID, was last left
	// without an answer.
	unanswered map[string]time.Time
}

func newForeman(c *Coordinator) *foreman {
	return &foreman{Coordinator: c, beliefs: map[string]*belief{}, colds: map[string]*Ceiling{}, unanswered: map[string]time.Time{}}
}

// assume counts the loads that a former holder may have started, and forgets
// what an own former term believed.
func (f *foreman) assume(former bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.colds)
	clear(f.beliefs)
	table := f.Table()
	if table == nil || !former {
		return
	}
	now := f.Clock.Now()
	for name, s := range table.Services {
		if s.Engine == nil {
			continue
		}
		c := f.loads(name)
		for range ceiling(s.Engine, f.Window, f.Overage) {
			c.Plan().Begin(now)
		}
	}
}

// loads returns the count of a service's loads from the weight store.
func (f *foreman) loads(service string) *Ceiling {
	c, ok := f.colds[service]
	if !ok {
		c = NewCeiling(f.Window)
		f.colds[service] = c
	}
	return c
}

func (f *foreman) run(ctx context.Context) {
	defer f.work.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.hub.kick:
		case <-f.Clock.After(planPause):
		}
		table := f.Table()
		if table == nil || !f.lease.MayOrder() {
			continue
		}
		begun := f.Clock.Now()
		f.plan(ctx, table)
		f.rest(ctx, planRest*f.Clock.Since(begun))
	}
}

// rest leaves the processor to requests and reports after a long plan.
func (f *foreman) rest(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(pause):
	}
}

func (f *foreman) plan(ctx context.Context, table *matcher.Table) {
	down := f.hub.down()
	servers := f.hub.registered()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.refresh(servers)
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		demand, waiting := f.hub.asked(name)
		state := stocker.State{Engine: service.Engine, Demand: demand, Waiting: waiting, Loads: ceiling(service.Engine, f.Window, f.Overage) - f.loads(name).Count(now)}
		for _, b := range f.beliefs {
			if b.server.Service == name {
				state.Servers = append(state.Servers, b.planned(now, down[b.server.Life]))
			}
		}
		for _, o := range stocker.Plan(state) {
			f.give(ctx, name, service.Engine, o)
		}
	}
}

// refresh takes over what the registry says, unless an order has changed a
// server so lately that its registration may not show it.
func (f *foreman) refresh(servers []registrar.Server) {
	seen := map[string]bool{}
	for _, s := range servers {
		seen[s.ID] = true
		b, ok := f.beliefs[s.ID]
		if !ok || b.server.Life != s.Life {
			b = &belief{orders: -1}
			if ok {
				// An order to the former life may come late, and find the count
				// of orders that it expects: there is no telling what fits.
				b.until = f.unanswered[s.ID].Add(lateTime)
			}
			f.beliefs[s.ID] = b
		}
		b.server = s
		if b.pending == nil && s.Seen.Sub(b.changed) > registryLag {
			b.adopt(s.Holdings)
		}
	}
	maps.DeleteFunc(f.beliefs, func(id string, b *belief) bool { return !seen[id] && b.pending == nil })
}

// ceiling is how many loads from the weight store may begin in a window.
func ceiling(e *matcher.Engine, window time.Duration, overage float64) int {
	return int(e.Loads*window.Seconds()*overage) + ceilingSlack
}

// give starts an order.
func (f *foreman) give(ctx context.Context, service string, e *matcher.Engine, o stocker.Order) {
	b := f.beliefs[o.Server]
	b.pending = &o
	f.Meter.Add(MetricOrders, 1)
	f.Log.Info("orders: give", zap.String("server", o.Server), zap.Stringer("op", o.Op),
		zap.String("key", balancer.Key(o.Model, o.Adapter)), zap.Int64("expected", b.orders), zap.Bool("cold", o.Cold), zap.String("why", o.Why))
	j := &job{foreman: f, belief: b, order: o, engine: e, server: b.server, pause: replan}
	if o.Cold || o.Next != nil && o.Next.Cold {
		f.Meter.Add(MetricColds, 1)
		j.cold = f.loads(service).Plan()
	}
	f.work.Go(func() { j.run(ctx) })
}
