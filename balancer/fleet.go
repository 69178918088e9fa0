package balancer

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/connector"
	"primrosehook/registrar"
)

// Demand is the demand for a model or adapter since the last report.
type Demand struct {
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	// Arrived counts the requests that arrived, Waiting those that wait for a
	// replica now.
	Arrived int `msgpack:"a"`
	Waiting int `msgpack:"w"`
}

type demandKey struct{ service, key string }

// Fleet holds the servers of all services as this instance knows them, and the
// requests that wait for one. It is safe for concurrent use.
type Fleet struct {
	zone    string
	seed    uint64
	clock   clockwork.Clock
	started time.Time
	Dials   connector.DialCounter

	mu              sync.Mutex
	cores           map[string]*Core
	pools           map[string]*connector.Pool
	arrived         map[demandKey]int
	awaitingReplica map[demandKey]int
	queues          map[string]*WaitQueue
	noReplica       chan struct{}
}

// NewFleet returns a fleet without servers.
func NewFleet(zone string, seed uint64, clock clockwork.Clock) *Fleet {
	return &Fleet{
		zone: zone, seed: seed, clock: clock, started: clock.Now(),
		cores: map[string]*Core{}, pools: map[string]*connector.Pool{},
		arrived: map[demandKey]int{}, awaitingReplica: map[demandKey]int{},
		queues: map[string]*WaitQueue{}, noReplica: make(chan struct{}, 1),
	}
}

// NoReplica returns a channel that receives after a request found no replica of
// its model.
func (f *Fleet) NoReplica() <-chan struct{} { return f.noReplica }

// Update replaces the servers of all services by those in the registry.
func (f *Fleet) Update(list []registrar.Server) {
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
			p = connector.NewPool(s.Address, f.clock, &f.Dials)
		}
		pools[key] = p
	}
	for key, p := range f.pools {
		if pools[key] == nil {
			p.Close()
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

// RecordArrival counts a request for a model as demand.
func (f *Fleet) RecordArrival(service string, q Request) {
	if q.Model == "" {
		return
	}
	f.mu.Lock()
	f.arrived[demandKey{service, q.Key()}]++
	f.mu.Unlock()
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
	sent           time.Time
	lastByte       *atomic.Int64
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
	id, status := c.Choose(now, q)
	if status != Found {
		return nil, status
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
// model. It returns at once if the predicted wait is longer than the request's
// MaxWait.
func (f *Fleet) Await(ctx context.Context, service string, q Request) (*Assignment, Status) {
	l, w, status := f.takeOrEnqueue(service, q)
	if w == nil {
		return l, status
	}
	if status != Full {
		select {
		case f.noReplica <- struct{}{}:
		default:
		}
	}
	timer := f.clock.NewTimer(max(q.Deadline.Sub(f.clock.Now()), 0))
	defer timer.Stop()
	select {
	case l := <-w.granted:
		return l, Found
	case <-timer.Chan():
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queue(service).Remove(w) {
		if w.awaitsReplica {
			f.stopAwaiting(service, q)
		}
		return nil, status
	}
	return <-w.granted, Found
}

// takeOrEnqueue takes a server if one is free. Otherwise it adds the request to
// the queue if the wait is worthwhile, and returns the waiter.
func (f *Fleet) takeOrEnqueue(service string, q Request) (*Assignment, *Waiter, Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	queue := f.queue(service)
	l, status := f.take(service, q)
	switch status {
	case Found:
		queue.RecordGrant(now, q.Key())
		return l, nil, Found
	case Full:
		if queue.Predict(now, q) > q.MaxWait {
			return nil, nil, Full
		}
	case NotLoaded:
	case AllExcluded:
		// The last replica may have failed; loading the model on another server
		// takes about a second.
		if q.Model == "" {
			return nil, nil, status
		}
	default:
		return nil, nil, status
	}
	w := &Waiter{Request: q, granted: make(chan *Assignment, 1), awaitsReplica: status != Full}
	queue.Add(w)
	if status != Full {
		f.awaitingReplica[demandKey{service, q.Key()}]++
	}
	return nil, w, status
}

// stopAwaiting removes a request from the count of those that wait for a replica.
func (f *Fleet) stopAwaiting(service string, q Request) {
	key := demandKey{service, q.Key()}
	if f.awaitingReplica[key] > 1 {
		f.awaitingReplica[key]--
		return
	}
	delete(f.awaitingReplica, key)
}

func (f *Fleet) queue(service string) *WaitQueue {
	l, ok := f.queues[service]
	if !ok {
		l = NewWaitQueue()
		f.queues[service] = l
	}
	return l
}

// dispatch assigns servers to the waiting requests of a service.
func (f *Fleet) dispatch(service string) {
	f.queue(service).Serve(f.clock.Now(), func(w *Waiter) bool {
		l, status := f.take(service, w.Request)
		if status != Found {
			return false
		}
		if w.awaitsReplica {
			f.stopAwaiting(service, w.Request)
		}
		w.granted <- l
		return true
	})
}

// dispatchAfter dispatches the waiting requests of a service after a delay.
func (f *Fleet) dispatchAfter(service string, pause time.Duration) {
	f.clock.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dispatch(service)
	})
}

func (f *Fleet) dispatchAll() {
	for service := range f.queues {
		f.dispatch(service)
	}
}

// MarkNotLoaded records that the server does not have the model loaded,
// contrary to its registration.
func (l *Assignment) MarkNotLoaded() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.MarkNotLoaded(f.clock.Now(), l.ID, l.request.Key())
	}
}

// MarkUnreachable records that the server refused a connection.
func (l *Assignment) MarkUnreachable() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.MarkUnreachable(f.clock.Now(), l.ID)
	}
}

// Unreachable returns the incarnations of the servers that refuse connections.
func (f *Fleet) Unreachable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	now := f.clock.Now()
	for _, c := range f.cores {
		list = append(list, c.Unreachable(now)...)
	}
	return list
}

// RetryDelay predicts how soon a request that was just refused could be served:
// the excess of the predicted wait in the queue over the request's MaxWait, or
// the time of a cold load.
func (f *Fleet) RetryDelay(service string, q Request, status Status) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == NotLoaded || status == AllExcluded {
		return coldLoadTime
	}
	return max(f.queue(service).Predict(f.clock.Now(), q)-q.MaxWait, 0)
}

// Congestion is what a refusal is based on, for the log.
type Congestion struct {
	// Replicas is the number of replicas of the model. InFlight is the known
	// number of requests in flight there, PrefillTokens the known number of
	// prompt tokens that await prefill, PeersAge the age of the peers' part of
	// both.
	Replicas, InFlight, PrefillTokens int
	PeersAge                          time.Duration
	// Queued is how many requests of the service wait on this instance,
	// PredictedWait how long one more would wait.
	Queued        int
	PredictedWait time.Duration
}

// Congestion returns the load that a request would meet now.
func (f *Fleet) Congestion(service string, q Request) Congestion {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	queue := f.queue(service)
	s := Congestion{Queued: queue.Len(), PredictedWait: queue.Predict(now, q)}
	if c, ok := f.cores[service]; ok {
		s.Replicas, s.InFlight, s.PrefillTokens, s.PeersAge = c.sumReplicas(now, q.Key())
	}
	return s
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
func (l *Assignment) RecordFirstEvent() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok && !l.firstEventSeen {
		l.firstEventSeen = true
		c.RecordFirstEvent(l.ID, l.request, f.clock.Since(l.sent))
		f.dispatch(l.service)
	}
}

// RecordBytes records that the server sent bytes.
func (l *Assignment) RecordBytes() { l.lastByte.Store(int64(l.fleet.clock.Since(l.fleet.started))) }

// IdleTime returns the time since the server last sent bytes, at most the time
// since the request was sent.
func (l *Assignment) IdleTime() time.Duration {
	f := l.fleet
	return min(f.clock.Since(f.started)-time.Duration(l.lastByte.Load()), f.clock.Since(l.sent))
}

// Cancel gives the server back; no request was sent to it.
func (l *Assignment) Cancel() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Cancel(l.ID, l.request)
		f.dispatch(l.service)
	}
}

// EngineLoad returns what limits the rate at which the server can take prompts.
func (l *Assignment) EngineLoad() EngineLoad {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.cores[l.service]
	if !ok {
		return EngineLoad{EventTokens: defaultEventTokens}
	}
	return c.EngineLoad(f.clock.Now(), l.ID)
}

// RecordStreamEnd records that the answer was complete after a number of events.
func (l *Assignment) RecordStreamEnd(events int) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.RecordStreamEnd(l.request.MaxOutputTokens, events)
	}
}

// RecordReservation records that the request has a reservation at the server,
// which starts after a wait.
func (l *Assignment) RecordReservation(wait time.Duration) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.RecordReservation(f.clock.Now(), l.ID, wait, 0)
	}
	f.dispatch(l.service)
}

// ClearReservation records that the owner of the server's schedule did not
// answer.
func (l *Assignment) ClearReservation() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.ClearReservation(l.ID)
	}
	f.dispatch(l.service)
}

// Postpone gives the server back: it has no slot soon enough, and no reservation
// is requested before the pause is over.
func (l *Assignment) Postpone(pause time.Duration) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.queue(l.service).RevokeGrant(now, l.request.Key())
	if c, ok := f.cores[l.service]; ok {
		c.Cancel(l.ID, l.request)
		c.RecordReservation(now, l.ID, pause, pause)
	}
	f.dispatchAfter(l.service, pause)
}

// Done records the outcome of the request at the server.
func (l *Assignment) Done(failed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		now := f.clock.Now()
		c.RecordDone(now, l.ID, l.request, l.firstEventSeen, failed, now.Sub(l.sent))
		f.dispatch(l.service)
	}
}

// TakeDemand returns the demand since the last call, and resets the counts of
// arrivals.
func (f *Fleet) TakeDemand() []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.arrived)
	clear(f.arrived)
	for k := range f.awaitingReplica {
		all[k] += 0
	}
	list := make([]Demand, 0, len(all))
	for k, n := range all {
		list = append(list, Demand{Service: k.service, Key: k.key, Arrived: n, Waiting: f.awaitingReplica[k]})
	}
	return list
}

// OwnInFlight returns this instance's in-flight work by server ID.
func (f *Fleet) OwnInFlight() map[string]InFlight {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	all := map[string]InFlight{}
	for _, c := range f.cores {
		maps.Copy(all, c.OwnInFlight(now))
	}
	return all
}

// QueueLen returns how many requests are queued for a server.
func (f *Fleet) QueueLen() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.queues {
		n += l.Len()
	}
	return n
}

// UpdatePeers replaces the in-flight counts of the peers, by server ID.
func (f *Fleet) UpdatePeers(inFlight map[string]InFlight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.UpdatePeers(now, inFlight)
	}
	f.dispatchAll()
}
