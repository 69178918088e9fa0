package coordinator

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

const (
	// orderTimeout is the timeout of one attempt to send an order: a server
	// replies at once, or its reply is lost.
	orderTimeout = 250 * time.Millisecond
	// orderRetryInterval is the pause before an order is sent again.
	orderRetryInterval = 80 * time.Millisecond
	// maxOrderAttempts bounds the attempts to send an order, maxUnsentAttempts
	// those on which the server accepts no connection.
	maxOrderAttempts  = 12
	maxUnsentAttempts = 3
	// lateOrderWindow is how long after it was sent an order without a reply
	// may still be executed.
	lateOrderWindow = 12 * time.Second
	// adapterLoadTime is how long it takes to load an adapter, and a margin.
	adapterLoadTime = 12 * time.Millisecond
	// firstUnloadCheck is the time after which an unload is first checked,
	// enough for one that waits for no running request.
	firstUnloadCheck = 40 * time.Millisecond
	// checkInterval is the pause between checks whether a load or an unload is
	// completed, checkTimeout the time after which an order is given up.
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 15 * time.Second
	// answerCheckInterval is the pause between checks whether another load may be ordered.
	answerCheckInterval = 10 * time.Millisecond
	// maxReportAge is how old a server's report may be.
	maxReportAge = 200 * time.Millisecond
	// reportSettleTime is how long after a change the loaded models of a report show it for
	// certain.
	reportSettleTime = 2 * maxReportAge
	// planInterval is the pause between plans.
	planInterval = 100 * time.Millisecond
	// planRestFactor times the duration of a plan is the least pause after it,
	// so that planning takes at most a fifth of a processor, however many
	// servers there are.
	planRestFactor = 4
	// coldLoadSlack is how many loads the weight store accepts in a window
	// beyond its rate: three, less one that may be under way.
	coldLoadSlack = 2
	// unansweredLoadShare is the share, and minUnansweredLoads the least number, of the loads from
	// the weight store in a window whose orders may be unanswered. Two: one server that does not
	// answer must not keep all others from loading.
	unansweredLoadShare = 8
	minUnansweredLoads  = 2
	// maxRegistryLag is how long the registry may take to show what an order
	// has changed: a heartbeat, and reads of the registry.
	maxRegistryLag = 3 * time.Second
	// serverBackoff is how long a server that refuses orders or accepts no
	// connection is sent no further order. replanDelay is the same for other
	// failures, such as a server whose state was not as assumed.
	serverBackoff = 2 * time.Second
	replanDelay   = 200 * time.Millisecond
)

// reconciler plans orders from the cluster state and executes them.
type reconciler struct {
	*Coordinator
	executions sync.WaitGroup

	mu        sync.Mutex
	servers   map[string]*serverState
	coldLoads map[string]*ColdLoadCounter
	// term counts the terms of this instance, running are the executions and what ends them.
	term        int
	running     map[*execution]context.CancelFunc
	predictions predictions
	// unanswered is the last order to a server, by its ID, that has got no reply.
	unanswered map[string]unansweredOrder
	// formerLoadsAt is when an earlier holder last may have sent an order, zero if there was none.
	// formerCounted has the services whose loads by earlier holders are counted in this term.
	formerLoadsAt time.Time
	formerCounted map[string]bool
	// former are the orders of earlier holders. planned is set once this term has planned.
	former  formerOrders
	planned bool
}

func newReconciler(c *Coordinator) *reconciler {
	return &reconciler{Coordinator: c, servers: map[string]*serverState{}, coldLoads: map[string]*ColdLoadCounter{}, unanswered: map[string]unansweredOrder{}, running: map[*execution]context.CancelFunc{}}
}

// startTerm ends the executions of an earlier term of this instance, drops the state that they
// assumed. Loads of this instance go on to count.
func (r *reconciler) startTerm(h Handover) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.term++
	for _, end := range r.running {
		end()
	}
	clear(r.servers)
	r.adoptLateOrders(h)
	r.formerLoadsAt, r.formerCounted = time.Time{}, map[string]bool{}
	if h.HadHolder {
		r.formerLoadsAt = r.Clock.Now().Add(-h.Elapsed)
	}
}

// countFormerLoads counts the loads of a service that earlier lease holders may have started, the
// last of them when they last may have sent an order. That is done at the first plan of the service
// in each term, since the configuration may arrive after the lease was taken. r.mu must be held.
func (r *reconciler) countFormerLoads(name string, e *matcher.Engine) {
	if r.formerLoadsAt.IsZero() || r.formerCounted[name] {
		return
	}
	r.formerCounted[name] = true
	c := r.coldLoadCounter(name)
	limit := coldLoadLimit(e, r.ColdLoadWindow, r.ColdLoadOverage)
	late := unansweredLoadLimit(limit)
	for range late {
		c.Add(r.formerLoadsAt.Add(lateOrderWindow))
	}
	for range limit - late {
		c.Add(r.formerLoadsAt)
	}
}

// mayOrder reports whether an order of a term may be sent now.
func (r *reconciler) mayOrder(term int) bool {
	// The lease comes first: a new term starts before it allows orders again.
	if !r.lease.MayOrder() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term == term
}

// coldLoadCounter returns the counter of a service's loads from the weight store.
func (r *reconciler) coldLoadCounter(service string) *ColdLoadCounter {
	c, ok := r.coldLoads[service]
	if !ok {
		c = NewColdLoadCounter(r.ColdLoadWindow)
		r.coldLoads[service] = c
	}
	return c
}

func (r *reconciler) run(ctx context.Context) {
	defer r.executions.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.cluster.planNow:
		case <-r.Clock.After(planInterval):
		}
		table := r.Table()
		if table == nil || !r.lease.MayOrder() {
			continue
		}
		start := r.Clock.Now()
		r.plan(ctx, table)
		r.pauseAfterPlan(ctx, planRestFactor*r.Clock.Since(start))
	}
}

// pauseAfterPlan leaves the processor to requests and reports after a long plan.
func (r *reconciler) pauseAfterPlan(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(pause):
	}
}

func (r *reconciler) plan(ctx context.Context, table *matcher.Table) {
	unavailable := r.cluster.unavailable()
	servers := r.cluster.registeredServers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.updateServers(servers)
	r.planned = true
	for name, service := range table.Services {
		if service.Engine == nil {
			continue
		}
		r.countFormerLoads(name, service.Engine)
		demand, waiting, builds := r.cluster.serviceDemand(name)
		if table.HasAccounts() {
			growth := r.cluster.growingDemand(name, service.Engine)
			for m, g := range growth {
				demand[m] += g
			}
			r.predictions.report(now, r.Log, name, growth, demand)
		}
		state := serviceplanner.State{Engine: service.Engine, Demand: demand, Waiting: waiting, WaitingBuilds: builds, Unrequested: r.cluster.unrequested(name, service.Engine.Models), HoldingTime: r.cluster.holdingTime(name), ColdLoads: coldLoadLimit(service.Engine, r.ColdLoadWindow, r.ColdLoadOverage) - r.coldLoadCounter(name).Count(now)}
		for _, known := range r.servers {
			if known.registration.Service == name {
				state.Servers = append(state.Servers, known.plannerInput(now, unavailable[known.registration.Incarnation]))
			}
		}
		absent := map[string]string{}
		for _, o := range serviceplanner.Plan(state, serviceplanner.WithAbsent(func(key, reason string) { absent[key] = reason })) {
			r.startOrder(ctx, name, service.Engine, o)
		}
		r.cluster.setAbsent(name, absent)
	}
}

// updateServers applies the registrations.
func (r *reconciler) updateServers(servers []registrar.Server) {
	now := r.Clock.Now()
	seen := map[string]bool{}
	for _, s := range servers {
		seen[s.ID] = true
		state, ok := r.servers[s.ID]
		if !ok || state.registration.Incarnation != s.Incarnation {
			if ok {
				state.settleLoads(now, math.MaxInt64)
				r.endExecution(state)
			}
			state = &serverState{orderCount: -1, formerUntil: r.formerUntil(now, s)}
			r.servers[s.ID] = state
		}
		state.updateRegistration(s)
		// An order to a former incarnation may arrive late and match the new one's order count. Until
		// that can no longer happen, it is unknown how much memory is left on the server.
		state.lateUntil = r.lateUntil(state)
	}
	maps.DeleteFunc(r.unanswered, func(_ string, u unansweredOrder) bool { return now.After(u.until) })
	maps.DeleteFunc(r.servers, func(id string, known *serverState) bool {
		gone := !seen[id] && known.pending == nil
		if gone {
			known.settleLoads(now, math.MaxInt64)
		}
		return gone
	})
}

// unansweredLoadLimit returns how many loads from the weight store may be unanswered, if so many
// may start in a window. A successor of the lease holder does not know which they are, and counts
// as many until they can no longer begin.
func unansweredLoadLimit(coldLoads int) int {
	return max(coldLoads/unansweredLoadShare, minUnansweredLoads)
}

// coldLoadLimit returns how many loads from the weight store may start in a window.
func coldLoadLimit(e *matcher.Engine, window time.Duration, overage float64) int {
	return int(e.ColdLoadsPerSecond*window.Seconds()*overage) + coldLoadSlack
}

// startOrder starts the execution of an order.
func (r *reconciler) startOrder(ctx context.Context, service string, e *matcher.Engine, o serviceplanner.Order) {
	state := r.servers[o.Server]
	state.pending = &o
	r.Meter.Add(MetricOrders, 1)
	r.Log.Info("orders: give", zap.String("server", o.Server), zap.Stringer("op", o.Op),
		zap.String("key", balancer.Key(o.Model, o.Adapter)), zap.Int64("expected", state.orderCount), zap.Bool("cold", o.Cold), zap.String("why", o.Reason))
	x := &execution{reconciler: r, term: r.term, state: state, order: o, engine: e, server: state.registration, backoff: replanDelay, basis: "earlier order"}
	if !state.confirmed() {
		x.assumed = maps.Clone(state.loaded)
	}
	if o.Cold || o.Next != nil && o.Next.Cold {
		r.Meter.Add(MetricColdLoads, 1)
		x.coldLoad = r.coldLoadCounter(service).Plan()
	}
	ctx, r.running[x] = context.WithCancel(ctx)
	r.executions.Go(func() { x.run(ctx) })
}
