package poolmanager

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/driver"
	"primrosehook/follower"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/orderchecker"
	"primrosehook/poolplanner"
)

// reasonLog is the result of an entry that the log did not accept.
const reasonLog orderchecker.Reason = "the log took no entry"

// pool is one pool that this instance follows.
type pool struct {
	manager   *Manager
	name      string
	clock     clockwork.Clock
	log       *zap.Logger
	machine   *orderchecker.Machine
	follower  *follower.Follower[orderchecker.Result]
	planner   poolplanner.Planner
	cancel    context.CancelFunc
	pollSlots chan struct{}
	// ownedAt is when this instance was last an owner of the pool. It is guarded
	// by the manager's lock.
	ownedAt time.Time

	// mu is acquired before the follower's lock.
	mu         sync.Mutex
	controller *orderchecker.Controller
	table      *engineTable
	demand     demands
	moves      moveHistory
	orders     orderHistory
	loadLimit  tokenBucket
	polling    map[string]bool
	// otherFirstSince is since when another owner has ranked first while this
	// instance has the lease; zero if none has.
	otherFirstSince time.Time
	handoverDelay   time.Duration
	wasHolder       bool
	polledAt        time.Time
	plannedAt       time.Time
	// orderedAt is when an order was last proposed.
	orderedAt time.Time
	listedAt  time.Time
}

func newPool(m *Manager, name string, now time.Time) *pool {
	self := m.deps.View.Self().Name
	p := &pool{
		manager: m, name: name, clock: m.options.clock, log: m.options.log,
		machine: orderchecker.NewMachine(), planner: m.deps.Planner(),
		pollSlots: make(chan struct{}, maxConcurrentPolls), ownedAt: now,
		controller: orderchecker.NewController(self, m.options.settings),
		table:      newEngineTable(fmt.Sprintf("%s/%x", self, now.UnixMicro())),
		demand:     demands{},
		polling:    map[string]bool{}, handoverDelay: minHandoverDelay,
	}
	p.follower = follower.New(m.deps.Log, streamOf(m.deps.View, name), self, p.machine,
		follower.WithClock(p.clock), follower.WithLogger(p.log), follower.WithGroupInterval(m.options.group),
		follower.WithSnapshotRecords(snapshotRecords, p.ranksFirst),
		follower.WithSnapshotInterval(snapshotInterval, p.ranksFirst),
		follower.WithResetDelay(resetAfter))
	return p
}

// ranksFirst reports whether this instance is the first owner, which writes the
// snapshots.
func (p *pool) ranksFirst() bool { return rankOf(p.manager.deps.View, p.name) == 0 }

func (p *pool) start(ctx context.Context) {
	ctx, p.cancel = context.WithCancel(ctx)
	p.follower.Start(ctx)
	go p.run(ctx)
}

// withMachine calls f while neither the controller nor the machine can change.
func (p *pool) withMachine(f func(m *orderchecker.Machine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follower.View(func() { f(p.machine) })
}

// isHolder reports whether the log names this instance as the lease holder, even if
// the lease has expired.
func (p *pool) isHolder() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.IsHolder()
}

// idle reports whether no order of this instance is between its intent and the
// return of its send.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.Idle()
}

// used reports whether this process has appended to the pool's stream.
func (p *pool) used() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.controller.HasAppended()
}

func (p *pool) run(ctx context.Context) {
	ticker := p.clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		p.step(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

// step performs the actions that are due. It does nothing while the follower's
// state is incomplete or out of date, since a decision on it could be wrong.
func (p *pool) step(ctx context.Context) {
	status := p.follower.Status()
	if !status.Complete || !status.Current {
		return
	}
	now := p.clock.Now()
	rank := rankOf(p.manager.deps.View, p.name)
	leaving := p.manager.isLeaving()
	var appends []orderchecker.Append
	var isHolder, valid, needsList bool
	var busy []lister.Instance
	p.withMachine(func(m *orderchecker.Machine) {
		busy = p.busy(m)
		p.orders.resolveClosed(now, m)
		p.handOver(now, rank, leaving)
		appends = p.controller.Step(now, m, rank)
		isHolder, valid = p.controller.IsHolder(), p.controller.Valid(now)
		needsList = p.needsList(m)
	})
	fast := now.Sub(p.orderedAt) < fastPeriod
	p.logLeaseChange(isHolder)
	p.submit(ctx, appends)
	switch {
	case isHolder && due(now, &p.polledAt, pollInterval):
		p.poll(ctx, p.engines())
	case isHolder && fast && len(busy) > 0:
		p.poll(ctx, busy)
	}
	if isHolder && needsList && due(now, &p.listedAt, listInterval) {
		go p.runList(ctx)
	}
	every := planInterval
	if fast {
		every = stepInterval
	}
	if valid && !leaving && due(now, &p.plannedAt, every) {
		p.plan(ctx, now)
	}
}

// busy returns the engines that cannot be given an order now. For fastPeriod after
// an order was proposed they are polled, and plans are made, at every step: a
// report shows an order's outcome, and the next order waits for that. With one
// report and one plan a second, the store's slots were idle most of the time while
// many small loads were due. The period is limited, so that an order that stays
// open, as in an outage of the log, does not cause fast polling.
func (p *pool) busy(m *orderchecker.Machine) []lister.Instance {
	var all []lister.Instance
	for _, e := range p.engines() {
		if p.controller.Busy(m, e.Name) {
			all = append(all, e)
		}
	}
	return all
}

// due reports whether an interval has passed since last, and if so sets last to
// now.
func due(now time.Time, last *time.Time, every time.Duration) bool {
	if now.Sub(*last) < every {
		return false
	}
	*last = now
	return true
}

// handOver releases the lease once another owner has ranked first for
// handoverDelay, or at once if this instance is leaving. The delay doubles after
// each attempt that the other owner did not use, so that the lease does not move
// back and forth between the two.
func (p *pool) handOver(now time.Time, rank int, leaving bool) {
	switch {
	case leaving:
		p.controller.SetYielding(true)
	case rank == 0:
		p.otherFirstSince = time.Time{}
		p.handoverDelay = minHandoverDelay
		p.controller.SetYielding(false)
	case !p.controller.IsHolder():
		p.otherFirstSince = time.Time{}
		p.controller.SetYielding(false)
	case p.otherFirstSince.IsZero():
		p.otherFirstSince = now
	case now.Sub(p.otherFirstSince) > p.handoverDelay:
		p.otherFirstSince = now
		p.handoverDelay = min(2*p.handoverDelay, maxHandoverDelay)
		p.controller.SetYielding(true)
	}
}

func (p *pool) logLeaseChange(isHolder bool) {
	if isHolder == p.wasHolder {
		return
	}
	p.wasHolder = isHolder
	if isHolder {
		p.log.Info("holder: lease claimed", zap.String("pool", p.name))
		return
	}
	p.log.Info("holder: lease lost or released", zap.String("pool", p.name))
}

// needsList reports whether the platform's list is needed: an order of another
// instance still counts, or an engine may be gone.
func (p *pool) needsList(m *orderchecker.Machine) bool {
	self := p.manager.deps.View.Self().Name
	known := map[string]bool{}
	for _, e := range enginesOf(p.manager.deps.View) {
		known[e.Name] = true
	}
	for _, e := range m.Engines() {
		if !known[e.Name] {
			return true
		}
		for _, t := range e.Tracked {
			if t.Holder != self && t.State != orderchecker.StateSettled {
				return true
			}
		}
	}
	return false
}

func (p *pool) runList(ctx context.Context) {
	asked := p.clock.Now()
	limit, cancel := clockwork.WithTimeout(ctx, p.clock, listTimeout)
	defer cancel()
	all, err := p.manager.deps.List.Instances(limit)
	if err != nil {
		return
	}
	p.withMachine(func(m *orderchecker.Machine) { p.controller.Listed(asked, m, orderchecker.InstanceNames(all)) })
}

// submit starts a submission for each entry.
func (p *pool) submit(ctx context.Context, all []orderchecker.Append) {
	for _, a := range all {
		s := &submission{pool: p, entry: a}
		go s.run(ctx)
	}
}

// submission is one entry that is being appended to the log.
type submission struct {
	pool  *pool
	entry orderchecker.Append
}

// run submits the entry, passes its outcome to the controller and, if the entry was
// an accepted intent, sends the order.
func (s *submission) run(ctx context.Context) {
	p := s.pool
	limit, cancel := clockwork.WithTimeout(ctx, p.clock, s.timeout())
	outcome, err := p.follower.Submit(limit, s.entry.Kind, s.entry.Body)
	cancel()
	result := outcome.Result
	known := err == nil
	if err != nil && judge.Of(err) == judge.NotRun {
		result, known = orderchecker.Result{Reason: reasonLog}, true
	}
	if known && !result.Accepted() {
		p.log.Debug("holder: entry was rejected", zap.String("pool", p.name),
			zap.String("kind", s.entry.Kind), zap.String("reason", string(result.Reason)))
	}
	var send orderchecker.Send
	var ready bool
	p.withMachine(func(m *orderchecker.Machine) {
		send, ready = p.controller.Submitted(p.clock.Now(), m, s.entry.Ticket, result, known)
		if intent, ok := s.entry.Body.(orderchecker.Intent); ok && known && !result.Accepted() {
			p.orders.resolve(p.clock.Now(), intent.Order.ID, string(result.Reason))
		}
	})
	if ready {
		p.send(ctx, send)
	}
}

// timeout returns how long to wait for the outcome of an entry. After a renewal
// whose append was lost there must be time for another one within the term.
func (s *submission) timeout() time.Duration {
	term := s.pool.manager.options.settings.Lease.Term
	if s.entry.Kind == orderchecker.KindClaim {
		return term / 3
	}
	return term
}

// send sends an order to its engine once. The order's outcome is taken from the
// engine's report and not from the reply.
func (p *pool) send(ctx context.Context, s orderchecker.Send) {
	engine, ok := p.findEngine(s.Engine)
	p.mu.Lock()
	allowed := p.controller.MaySend(p.clock.Now(), s.Order.ID)
	if !allowed {
		p.orders.resolve(p.clock.Now(), s.Order.ID, outcomeLeaseExpired)
	}
	p.mu.Unlock()
	if !allowed {
		p.log.Warn("holder: order withdrawn, the lease has lapsed", zap.String("pool", p.name), zap.String("order", s.Order.ID))
		return
	}
	err := error(errEngineGone)
	if ok {
		limit, cancel := clockwork.WithTimeout(ctx, p.clock, sendTimeout)
		err = p.manager.deps.Engines(engine.Addr).Order(limit, s.Order)
		cancel()
	}
	p.mu.Lock()
	p.controller.Sent(p.clock.Now(), s.Order, !unsent(err))
	if unsent(err) {
		p.orders.resolve(p.clock.Now(), s.Order.ID, outcomeNotReached)
	}
	p.mu.Unlock()
	p.log.Info("holder: order sent", zap.String("pool", p.name), zap.String("engine", s.Engine),
		zap.String("op", s.Order.Op), zap.String("model", s.Order.Model), zap.String("adapter", s.Order.Adapter),
		zap.String("order", s.Order.ID), zap.Error(err))
}

// errEngineGone is the error of an order to an engine that is no longer listed.
var errEngineGone = &judge.Refusal{
	Verdict: judge.NotRun, Code: "engine", Reason: "engine is gone", Cause: errors.New("no address"),
}

// unsent reports whether no byte of a request was written. A refusal by the engine
// has the verdict NotRun too, but no cause: a duplicate may still be in transit.
func unsent(err error) bool {
	var r *judge.Refusal
	return errors.As(err, &r) && r.Verdict == judge.NotRun && r.Cause != nil
}

func (p *pool) findEngine(name string) (lister.Instance, bool) {
	for _, e := range p.engines() {
		if e.Name == name {
			return e, true
		}
	}
	return lister.Instance{}, false
}

// engines returns the engines of the pool.
func (p *pool) engines() []lister.Instance {
	var all []lister.Instance
	for _, e := range enginesOf(p.manager.deps.View) {
		if e.Pool == p.name {
			all = append(all, e)
		}
	}
	return all
}

// poll requests the engines' reports, up to maxConcurrentPolls at once. An engine
// with an outstanding request is not polled again.
func (p *pool) poll(ctx context.Context, engines []lister.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.retain(p.engines())
	for _, e := range engines {
		if !p.polling[e.Name] {
			p.polling[e.Name] = true
			one := &enginePoll{pool: p, engine: e}
			go one.run(ctx)
		}
	}
}

// enginePoll is one request for an engine's report.
type enginePoll struct {
	pool   *pool
	engine lister.Instance
}

func (q *enginePoll) run(ctx context.Context) {
	p := q.pool
	select {
	case p.pollSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	asked := p.clock.Now()
	limit, cancel := clockwork.WithTimeout(ctx, p.clock, pollTimeout)
	report, err := q.fetchReport(limit)
	cancel()
	<-p.pollSlots
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, q.engine.Name)
	if err != nil {
		p.table.markStale(q.engine)
		return
	}
	p.controller.Reported(asked, q.engine.Name, q.engine.SupportsFencing, report)
	p.orders.applyReport(p.clock.Now(), report)
	p.table.update(asked.Add(-report.Age), q.engine, report)
}

func (q *enginePoll) fetchReport(ctx context.Context) (driver.Report, error) {
	return q.pool.manager.deps.Engines(q.engine.Addr).Report(ctx)
}
