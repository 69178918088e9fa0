package coordinator

import (
	"context"
	"maps"
	"slices"
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

// Outcome is what a server says to an order.
type Outcome int

// The outcomes of an order.
const (
	// Unknown orders may be carried out, now or later.
	Unknown Outcome = iota
	// Accepted orders are being carried out.
	Accepted
	// Holds means that what was ordered is so already.
	Holds
	// Conflict means that another order is under way or that the server has
	// accepted other orders than expected.
	Conflict
	// Rejected orders can't be carried out there.
	Rejected
	// Unsent orders never reached the server.
	Unsent
)

// Order is what is sent to a server.
type Order struct {
	stocker.Order
	// Expected is the server's count of orders before this one.
	Expected int64
	Holder   string
	Fence    int64
}

// Engines sends orders to servers.
type Engines interface {
	// Send sends an order once. Guard is asked right before it is written;
	// if it says no, nothing is written and the outcome is Rejected.
	Send(ctx context.Context, s registrar.Server, o Order, guard func() bool) (Outcome, error)
	// Report asks a server what it holds.
	Report(ctx context.Context, s registrar.Server) (Stock, error)
}

// Stock is what a server says of itself, as of some hundred milliseconds ago.
type Stock struct {
	// Orders counts the orders that it has accepted; Busy is set while one is
	// under way.
	Orders   int64
	Busy     bool
	Holdings []registrar.Holding
}

// belief is what the coordinator takes a server to hold.
type belief struct {
	server registrar.Server
	held   map[string][]string
	// orders is the server's count of orders, negative if it is not known.
	orders int64
	// changed is when an order last changed what the server holds. Until the
	// registry has caught up, it is not heard.
	changed time.Time
	pending *stocker.Order
	until   time.Time
}

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
	table := f.table()
	if table == nil || !former {
		return
	}
	now := f.clock.Now()
	for name, s := range table.Services {
		if s.Engine == nil {
			continue
		}
		c := f.loads(name)
		for range ceiling(s.Engine, f.Ceiling, f.Overage) {
			c.Plan().Begin(now)
		}
	}
}

// loads returns the count of a service's loads from the weight store.
func (f *foreman) loads(service string) *Ceiling {
	c, ok := f.colds[service]
	if !ok {
		c = NewCeiling(f.Ceiling)
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
		case <-f.clock.After(planPause):
		}
		if table := f.table(); table != nil && f.lease.MayOrder() {
			f.plan(ctx, table)
		}
	}
}

func (f *foreman) plan(ctx context.Context, table *matcher.Table) {
	down := f.hub.down()
	servers := f.hub.registered()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.refresh(servers)
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		demand, waiting := f.hub.asked(name)
		state := stocker.State{Engine: service.Engine, Demand: demand, Waiting: waiting, Loads: ceiling(service.Engine, f.Ceiling, f.Overage) - f.loads(name).Count(now)}
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

// refresh takes over what the registry says. It is older than what orders have
// changed until its count of orders has caught up.
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

func (b *belief) adopt(list []registrar.Holding) {
	b.held = make(map[string][]string, len(list))
	for _, h := range list {
		b.held[h.Model] = h.Adapters
	}
}

// planned returns a server as it will be once what is under way is done.
func (b *belief) planned(now time.Time, down bool) stocker.Server {
	s := stocker.Server{
		ID: b.server.ID, Zone: b.server.Zone, Leaving: b.server.Draining || down,
		Busy: b.pending != nil || now.Before(b.until), Held: maps.Clone(b.held), Warm: map[string]bool{},
	}
	if s.Held == nil {
		s.Held = map[string][]string{}
	}
	for _, m := range slices.Concat(b.server.InMemory, b.server.OnDisk) {
		s.Warm[m] = true
	}
	for o := b.pending; o != nil; o = o.Next {
		b.apply(s.Held, *o)
	}
	return s
}

// apply changes holdings as an order does.
func (*belief) apply(held map[string][]string, o stocker.Order) {
	switch {
	case o.Op == stocker.Load && o.Adapter == "":
		held[o.Model] = nil
	case o.Op == stocker.Load:
		if !slices.Contains(held[o.Model], o.Adapter) {
			held[o.Model] = append(slices.Clone(held[o.Model]), o.Adapter)
		}
	case o.Adapter == "":
		delete(held, o.Model)
	default:
		held[o.Model] = slices.DeleteFunc(slices.Clone(held[o.Model]), func(a string) bool { return a == o.Adapter })
	}
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
	f.log.Info("orders: give", zap.String("server", o.Server), zap.Stringer("op", o.Op),
		zap.String("key", balancer.Key(o.Model, o.Adapter)), zap.Int64("expected", b.orders), zap.Bool("cold", o.Cold), zap.String("why", o.Why))
	j := &job{foreman: f, belief: b, order: o, engine: e, server: b.server, pause: replan}
	if o.Cold || o.Next != nil && o.Next.Cold {
		f.Meter.Add(MetricColds, 1)
		j.cold = f.loads(service).Plan()
	}
	f.work.Go(func() { j.run(ctx) })
}

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
	now := j.clock.Now()
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
		j.log.Info("orders: not carried out", zap.String("server", j.server.ID), zap.Stringer("op", j.order.Op),
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
		j.belief.changed = j.clock.Now()
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
			j.log.Info("orders: server holds other models than the registry says", zap.String("server", j.server.ID))
			return false
		}
		if !j.lease.MayOrder() {
			return false
		}
		if j.order.Cold {
			j.mu.Lock()
			j.cold.Begin(j.clock.Now())
			j.mu.Unlock()
		}
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		out, err := j.engines.Send(call, j.server, Order{
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
			j.log.Info("orders: rejected", zap.String("server", j.server.ID), zap.Error(err))
			return false
		case Unsent:
			if unsent++; unsent >= unsentTries {
				j.pause = shun
				j.log.Info("orders: server takes no connection", zap.String("server", j.server.ID), zap.Error(err))
				return false
			}
		case Unknown:
			j.mu.Lock()
			j.unanswered[j.server.ID] = j.clock.Now()
			j.mu.Unlock()
			j.log.Info("orders: no answer", zap.String("server", j.server.ID), zap.Int64("expected", expected), zap.Error(err))
		}
		if !j.sleep(ctx, orderPause) {
			return false
		}
	}
	return false
}

// carried reports whether what a server holds is as the order wants it.
func carried(held map[string][]string, o stocker.Order) bool {
	adapters, ok := held[o.Model]
	if o.Adapter != "" {
		ok = slices.Contains(adapters, o.Adapter)
	}
	return ok == (o.Op == stocker.Load)
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
		j.belief.changed = j.clock.Now()
	}
}

func (j *job) report(ctx context.Context) (Stock, bool) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s, err := j.engines.Report(call, j.server)
	if err != nil {
		j.log.Info("orders: no report", zap.String("server", j.server.ID), zap.Error(err))
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
	case <-j.clock.After(d):
		return true
	}
}
