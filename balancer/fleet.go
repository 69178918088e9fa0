package balancer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/admitter"
	"primrosehook/connector"
	"primrosehook/matcher"
	"primrosehook/registrar"
)

// Fleet holds the servers of all services as this instance knows them, and the
// requests that wait for one. It is safe for concurrent use.
type Fleet struct {
	zone    string
	seed    uint64
	clock   clockwork.Clock
	started time.Time
	// lastByte is when any server last sent a byte, receivingSince when the first
	// byte after a pause of maxReceivePause arrived, both in nanoseconds since
	// started.
	lastByte, receivingSince atomic.Int64
	Dials                    connector.DialCounter
	dialer                   connector.Dialer

	mu sync.Mutex
	// registryRead is when the registry was last read, zero if that is not recorded.
	// registryWasRead is closed and replaced when it is read.
	registryRead    time.Time
	registryWasRead chan struct{}
	cores           map[string]*Core
	pools           map[string]*connector.Pool
	arrived         map[demandKey]int
	awaitingReplica map[demandKey]int
	// finished are the requests that servers have finished since the last report.
	finished map[demandKey]finishedRequests
	// refused are the requests that got no server since the last report.
	refused map[demandKey]refusedRequests
	// missed counts the requests that were refused since no replica is there in time, since the
	// last report. absentSince is when one of a model or adapter was first missing.
	missed      map[demandKey]int
	absentSince map[demandKey]time.Time
	// models are the models of each service.
	models    map[string]map[string]matcher.Model
	queues    map[string]*WaitQueue
	noReplica chan struct{}
}

// FleetOption sets an option of a Fleet.
type FleetOption func(*Fleet)

// WithDialer sets how connections to servers are opened; the default is
// connector.DirectDialer.
func WithDialer(d connector.Dialer) FleetOption { return func(f *Fleet) { f.dialer = d } }

// NewFleet returns a fleet without servers.
func NewFleet(zone string, seed uint64, clock clockwork.Clock, options ...FleetOption) *Fleet {
	f := &Fleet{
		zone: zone, seed: seed, clock: clock, started: clock.Now(),
		cores: map[string]*Core{}, pools: map[string]*connector.Pool{},
		arrived: map[demandKey]int{}, finished: map[demandKey]finishedRequests{}, refused: map[demandKey]refusedRequests{}, awaitingReplica: map[demandKey]int{}, missed: map[demandKey]int{}, absentSince: map[demandKey]time.Time{}, models: map[string]map[string]matcher.Model{},
		queues: map[string]*WaitQueue{}, registryWasRead: make(chan struct{}), noReplica: make(chan struct{}, 1),
		dialer: connector.DirectDialer{},
	}
	for _, o := range options {
		o(f)
	}
	return f
}

// NoReplica returns a channel that gets a value when a request has found no
// replica of its model.
func (f *Fleet) NoReplica() <-chan struct{} { return f.noReplica }

// Update replaces the servers of all services by those in the registry.
func (f *Fleet) Update(list []registrar.Server) {
	// Connections are closed without the lock: one that leads through a peer takes locks of its
	// own to be closed.
	for _, p := range f.update(list) {
		p.Close()
	}
}

// update replaces the servers, and returns the pools of those that are gone.
func (f *Fleet) update(list []registrar.Server) (gone []*connector.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	services := map[string][]registrar.Server{}
	pools := make(map[string]*connector.Pool, len(list))
	for _, s := range list {
		services[s.Service] = append(services[s.Service], s)
		key := s.Incarnation + s.Address
		p, ok := f.pools[key]
		if !ok {
			p = connector.NewPool(s.Address, f.clock, &f.Dials, connector.WithDialer(f.dialer))
		}
		pools[key] = p
	}
	for key, p := range f.pools {
		if pools[key] == nil {
			gone = append(gone, p)
		}
	}
	f.pools = pools
	for name := range services {
		f.core(name)
	}
	for name, c := range f.cores {
		c.Update(now, services[name])
	}
	f.dispatchAll()
	return gone
}

// HasServer reports whether a server is registered at an address.
func (f *Fleet) HasServer(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.cores {
		for _, s := range c.sorted {
			if s.Address == address {
				return true
			}
		}
	}
	return false
}

func (f *Fleet) core(service string) *Core {
	c, ok := f.cores[service]
	if !ok {
		c = NewCore(f.zone, f.seed^Hash(service))
		f.cores[service] = c
	}
	return c
}

// ApplyOverlays applies the changes that orders made.
func (f *Fleet) ApplyOverlays(list []Overlay) {
	if len(list) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.ApplyOverlays(now, list)
	}
	f.dispatchAll()
}

// Assignment is a server that was chosen for a request, which counts as in flight
// there. Either Done, Cancel or Postpone must be called once.
type Assignment struct {
	registrar.Server
	Pool           *connector.Pool
	fleet          *Fleet
	service        string
	request        Request
	firstEventSeen bool
	// answered is set once the server has answered with its load, and has not refused the request.
	answered bool
	// noneWaited is set if the server had no queue when it answered.
	noneWaited   bool
	firstEventAt time.Time
	sent         time.Time
	lastByte     *atomic.Int64
	openedBefore time.Time
	// Inputs is what the choice was based on.
	Inputs ChoiceInputs
}

// ChoiceInputs is what a choice was based on, for the log.
type ChoiceInputs struct {
	// Replicas is the number of replicas of the model. InFlight is the known
	// in-flight work at the chosen server, PeersAge the age of the peers' part of
	// it. RegistrationAge is the age of the server's registration.
	Replicas                  int
	InFlight                  InFlight
	PeersAge, RegistrationAge time.Duration
	// Speed is how fast the server is compared with the usual one, Slowdown how much longer work
	// takes at this moment by its own figure, and Excess how many requests it reported beyond
	// InFlight.
	Speed, Slowdown float64
	Excess          int
	// BelievedTokens is how many tokens of the prompt the server was expected to hold, HeldTokens how
	// many it holds according to the owner of its schedule, if HeldKnown is set.
	BelievedTokens, HeldTokens int
	HeldKnown                  bool
}

// Take chooses a server and counts the request as in flight there.
func (f *Fleet) Take(service string, q Request) (*Assignment, Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.take(service, q)
}

func (f *Fleet) take(service string, q Request) (*Assignment, Status) {
	c, ok := f.cores[service]
	if !ok {
		return nil, NoServers
	}
	now := f.clock.Now()
	q = c.rankReplicas(f.excludeUnproven(c, q))
	q.reserved = f.reservedSlots(now, c, service, q)
	q = f.withPlainChoice(now, service, q)
	id, status := c.Choose(now, q)
	if status != Found {
		return nil, status
	}
	if q.plain != nil {
		q.plain.credit.Use()
	}
	s, _ := c.Server(id)
	inputs := c.ChoiceInputs(now, id, q)
	c.RecordSent(now, id, q)
	return &Assignment{
		Server: s, Pool: f.pools[s.Incarnation+s.Address], fleet: f, service: service, request: q,
		sent: now, lastByte: c.servers[id].lastByte, Inputs: inputs,
	}, Found
}

// Await is like Take, but waits until a server has capacity or has loaded the
// model, unless stop is closed. It returns at once if package admitter refuses the
// request. Once the context has ended it returns no server.
func (f *Fleet) Await(ctx context.Context, stop <-chan struct{}, service string, q Request) (*Assignment, Status) {
	if ctx.Err() != nil {
		return nil, Ended
	}
	a, w, status := f.takeOrEnqueue(service, q)
	if w == nil {
		return a, status
	}
	if status != Full {
		select {
		case f.noReplica <- struct{}{}:
		default:
		}
	}
	a = f.await(ctx, stop, w)
	if ctx.Err() != nil {
		if a != nil {
			a.Cancel()
		}
		return nil, Ended
	}
	if a == nil {
		return nil, status
	}
	return a, Found
}

// await waits until a request is granted a server. It returns nil if that did not happen by
// the request's deadline, or before the context ended or stop was closed.
func (f *Fleet) await(ctx context.Context, stop <-chan struct{}, w *Waiter) *Assignment {
	timer := f.clock.NewTimer(max(w.Deadline.Sub(f.clock.Now()), 0))
	defer timer.Stop()
	select {
	case a := <-w.granted:
		return a
	case <-timer.Chan():
	case <-stop:
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.queue(w.service).Remove(w) {
		return <-w.granted
	}
	if w.awaitsReplica {
		f.stopAwaiting(w.service, w.Request)
	}
	return nil
}

// takeOrEnqueue takes a server if one is free. Otherwise it adds the request to
// the queue if the wait is worthwhile, and returns the waiter.
func (f *Fleet) takeOrEnqueue(service string, q Request) (*Assignment, *Waiter, Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	q.patient = q.competes() && q.isPatient(now)
	queue := f.queue(service)
	a, status := f.takeUnlessHeld(now, service, q)
	switch status {
	case Found:
		queue.RecordGrant(now, q)
		delete(f.absentSince, demandKey{service, q.Key(), ""})
		return a, nil, Found
	case Full:
		d, _ := f.decide(now, service, q)
		if !d.Verdict.Waits() {
			return nil, nil, Full
		}
		q.late = d.Verdict == admitter.Late
	case NotLoaded:
		if wait := f.loadWait(now, service, q); wait > q.Deadline.Sub(now) {
			f.missed[demandKey{service, q.Key(), q.Build}]++
			return nil, nil, status
		}
	case AllExcluded:
		// The last replica may have failed; loading the model on another server
		// takes about a second.
		if q.Model == "" {
			return nil, nil, status
		}
	default:
		return nil, nil, status
	}
	w := &Waiter{Request: q, service: service, granted: make(chan *Assignment, 1), awaitsReplica: status != Full, since: now}
	queue.Add(w)
	f.offerAgain(service)
	if status != Full {
		f.awaitingReplica[demandKey{service, q.Key(), q.Build}]++
	}
	return nil, w, status
}

// stopAwaiting removes a request from the count of those that wait for a replica.
func (f *Fleet) stopAwaiting(service string, q Request) {
	key := demandKey{service, q.Key(), q.Build}
	if f.awaitingReplica[key] > 1 {
		f.awaitingReplica[key]--
		return
	}
	delete(f.awaitingReplica, key)
}

func (f *Fleet) queue(service string) *WaitQueue {
	wq, ok := f.queues[service]
	if !ok {
		wq = NewWaitQueue()
		f.queues[service] = wq
	}
	return wq
}

// MarkNotLoaded records that the server does not have the model loaded,
// contrary to its registration.
func (a *Assignment) MarkNotLoaded() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.MarkNotLoaded(f.clock.Now(), a.ID, a.request.Key())
	}
}

// MarkUnreachable records that the server refused a connection.
func (a *Assignment) MarkUnreachable() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.MarkUnreachable(f.clock.Now(), a.ID)
	}
}

// Unavailable returns the incarnations of the servers that refuse connections or have
// said that they leave.
func (f *Fleet) Unavailable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	now := f.clock.Now()
	for _, c := range f.cores {
		list = append(list, c.Unavailable(now)...)
	}
	return list
}

// coldLoadTime is the time for an order, a cold load and the report of it.
const coldLoadTime = 1500 * time.Millisecond

// SetCacheTokens sets the capacity in tokens of the cache of each server of a
// service; 0 means unknown.
func (f *Fleet) SetCacheTokens(service string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core(service).SetCacheTokens(tokens)
}

// RecordFirstEvent records the arrival of the first event of the answer.
func (a *Assignment) RecordFirstEvent() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok && !a.firstEventSeen {
		a.firstEventSeen, a.firstEventAt = true, f.clock.Now()
		c.RecordFirstEvent(a.ID, a.request, f.clock.Since(a.sent))
		f.dispatch(a.service)
	}
}

// RecordBytes records that the server sent bytes.
func (a *Assignment) RecordBytes() {
	now := int64(a.fleet.clock.Since(a.fleet.started))
	a.lastByte.Store(now)
	if now-a.fleet.lastByte.Swap(now) >= int64(maxReceivePause) {
		a.fleet.receivingSince.Store(now)
	}
}

// IdleTime returns the time since the server last sent bytes, at most the time
// since the request was sent.
func (a *Assignment) IdleTime() time.Duration {
	f := a.fleet
	return min(f.clock.Since(f.started)-time.Duration(a.lastByte.Load()), f.clock.Since(a.sent))
}

// maxReceivePause is the longest pause between bytes from any server after which
// this instance still counts as receiving.
const maxReceivePause = 500 * time.Millisecond

// ReceivingTime returns for how long bytes from servers have arrived without a
// pause of maxReceivePause, zero during such a pause.
func (f *Fleet) ReceivingTime() time.Duration {
	now := f.clock.Since(f.started)
	if now-time.Duration(f.lastByte.Load()) >= maxReceivePause {
		return 0
	}
	return now - time.Duration(f.receivingSince.Load())
}

// Cancel takes the request, which was not sent, off the server's in-flight counts.
func (a *Assignment) Cancel() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.Cancel(a.ID, a.request)
		f.dispatch(a.service)
	}
}

// EngineLoad returns what limits the rate at which the server can take prompts.
func (a *Assignment) EngineLoad() EngineLoad {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := a.core()
	if !ok {
		return EngineLoad{EventTokens: defaultEventTokens}
	}
	load := c.EngineLoad(f.clock.Now(), a.ID)
	if a.request.hasPrefix() {
		load.Prompt = a.request.Prompt
	}
	return load
}

// RecordStreamEnd records that the answer was complete after a number of events.
func (a *Assignment) RecordStreamEnd(events int) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.RecordStreamEnd(a.request.MaxOutputTokens, events)
	}
}

// Done records the outcome of the request at the server.
func (a *Assignment) Done(failed bool) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		now := f.clock.Now()
		c.RecordDone(now, a.ID, a.request, a.firstEventSeen, failed, now.Sub(a.sent))
		f.recordFinished(a, now.Sub(a.sent), failed)
		f.recordPlainHolding(a, now.Sub(a.sent))
		f.dispatch(a.service)
	}
}

// QueueLen returns how many requests are queued for a server.
func (f *Fleet) QueueLen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, wq := range f.queues {
		n += wq.Len()
	}
	return n
}
