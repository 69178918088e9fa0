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

// Want is the demand for a model or adapter since it was last told.
type Want struct {
	Service string `msgpack:"s"`
	Key     string `msgpack:"k"`
	// Arrived counts requests, Waiting those that wait for a holder now.
	Arrived int `msgpack:"a"`
	Waiting int `msgpack:"w"`
}

type wantKey struct{ service, key string }

// Fleet is the servers of all services as this instance knows them. It is safe
// for concurrent use.
type Fleet struct {
	zone  string
	seed  uint64
	clock clockwork.Clock
	begun time.Time
	Dials connector.Dials

	mu      sync.Mutex
	cores   map[string]*Core
	pools   map[string]*connector.Pool
	arrived map[wantKey]int
	waiting map[wantKey]int
	lines   map[string]*Line
	missed  chan struct{}
}

// NewFleet returns a fleet without servers.
func NewFleet(zone string, seed uint64, clock clockwork.Clock) *Fleet {
	return &Fleet{
		zone: zone, seed: seed, clock: clock, begun: clock.Now(),
		cores: map[string]*Core{}, pools: map[string]*connector.Pool{},
		arrived: map[wantKey]int{}, waiting: map[wantKey]int{},
		lines: map[string]*Line{}, missed: make(chan struct{}, 1),
	}
}

// Missed receives after a request found no holder of its model.
func (f *Fleet) Missed() <-chan struct{} { return f.missed }

// Update takes the view of the registry over.
func (f *Fleet) Update(list []registrar.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	services := map[string][]registrar.Server{}
	pools := make(map[string]*connector.Pool, len(list))
	for _, s := range list {
		services[s.Service] = append(services[s.Service], s)
		key := s.Life + s.Address
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
	f.wakeAll()
}

func (f *Fleet) core(service string) *Core {
	c, ok := f.cores[service]
	if !ok {
		c = NewCore(f.zone, f.seed^Hash(service))
		f.cores[service] = c
	}
	return c
}

// Ordered takes over what orders changed.
func (f *Fleet) Ordered(list []Overlay) {
	if len(list) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.Ordered(now, list)
	}
	f.wakeAll()
}

// Arrived counts a request for a model.
func (f *Fleet) Arrived(service string, q Request) {
	if q.Model == "" {
		return
	}
	f.mu.Lock()
	f.arrived[wantKey{service, q.Key()}]++
	f.mu.Unlock()
}

// Lease is a server that takes a request. Done must be called once.
type Lease struct {
	registrar.Server
	Pool    *connector.Pool
	fleet   *Fleet
	service string
	request Request
	first   bool
	sent    time.Time
	heard   *atomic.Int64
	// Basis is what the choice was made from.
	Basis Basis
}

// Basis is what a choice was made from, for the log.
type Basis struct {
	// Holders is how many servers hold the model, Flight what was known to be
	// in flight at the one chosen, Age how old the other instances' part of it
	// was, Seen how old the server's registration.
	Holders   int
	Flight    Flight
	Age, Seen time.Duration
}

// Take chooses a server, and counts the request there.
func (f *Fleet) Take(service string, q Request) (*Lease, Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.take(service, q)
}

func (f *Fleet) take(service string, q Request) (*Lease, Status) {
	c, ok := f.cores[service]
	if !ok {
		return nil, Empty
	}
	now := f.clock.Now()
	id, status := c.Choose(now, q)
	if status != Found {
		return nil, status
	}
	s, _ := c.Server(id)
	basis := c.Basis(now, id, q)
	c.Sent(now, id, q)
	return &Lease{
		Server: s, Pool: f.pools[s.Life+s.Address], fleet: f, service: service, request: q,
		sent: now, heard: c.servers[id].heard, Basis: basis,
	}, Found
}

// Await is Take that waits for a server to come free, or to load the model. It
// refuses at once if the wait is predicted to be too long.
func (f *Fleet) Await(ctx context.Context, service string, q Request) (*Lease, Status) {
	l, w, status := f.join(service, q)
	if w == nil {
		return l, status
	}
	if status != Full {
		select {
		case f.missed <- struct{}{}:
		default:
		}
	}
	wait := f.clock.NewTimer(max(q.Leave.Sub(f.clock.Now()), 0))
	defer wait.Stop()
	select {
	case l := <-w.granted:
		return l, Found
	case <-wait.Chan():
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.line(service).Remove(w) {
		if w.starved {
			f.unwait(service, q)
		}
		return nil, status
	}
	return <-w.granted, Found
}

// join takes a server, or puts the request into the line if it is worth it.
func (f *Fleet) join(service string, q Request) (*Lease, *Waiter, Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	line := f.line(service)
	l, status := f.take(service, q)
	switch status {
	case Found:
		line.Granted(now, q.Key())
		return l, nil, Found
	case Full:
		if line.Predict(now, q) > q.Wait {
			return nil, nil, Full
		}
	case Absent:
	case Spent:
		// The last holder may have failed; a load elsewhere takes a second.
		if q.Model == "" {
			return nil, nil, status
		}
	default:
		return nil, nil, status
	}
	w := &Waiter{Request: q, granted: make(chan *Lease, 1), starved: status != Full}
	line.Add(w)
	if status != Full {
		f.waiting[wantKey{service, q.Key()}]++
	}
	return nil, w, status
}

// unwait takes a request off the count of those that wait for a model.
func (f *Fleet) unwait(service string, q Request) {
	key := wantKey{service, q.Key()}
	if f.waiting[key] > 1 {
		f.waiting[key]--
		return
	}
	delete(f.waiting, key)
}

func (f *Fleet) line(service string) *Line {
	l, ok := f.lines[service]
	if !ok {
		l = NewLine()
		f.lines[service] = l
	}
	return l
}

// wake offers servers to the requests that wait.
func (f *Fleet) wake(service string) {
	f.line(service).Serve(f.clock.Now(), func(w *Waiter) bool {
		l, status := f.take(service, w.Request)
		if status != Found {
			return false
		}
		if w.starved {
			f.unwait(service, w.Request)
		}
		w.granted <- l
		return true
	})
}

// later wakes the line after a pause.
func (f *Fleet) later(service string, pause time.Duration) {
	f.clock.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.wake(service)
	})
}

func (f *Fleet) wakeAll() {
	for service := range f.lines {
		f.wake(service)
	}
}

// Absent notes that the server does not hold what it was said to.
func (l *Lease) Absent() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Absent(f.clock.Now(), l.ID, l.request.Key())
	}
}

// Unreachable notes that the server takes no connection.
func (l *Lease) Unreachable() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Unreachable(f.clock.Now(), l.ID)
	}
}

// Down returns the lives of the servers that take no connection.
func (f *Fleet) Down() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	now := f.clock.Now()
	for _, c := range f.cores {
		list = append(list, c.Down(now)...)
	}
	return list
}

// Backlog predicts when a request that was refused now could go: the wait of
// the line that it would have joined, or the time of a load.
func (f *Fleet) Backlog(service string, q Request, status Status) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == Absent || status == Spent {
		return loadTime
	}
	return max(f.line(service).Predict(f.clock.Now(), q)-q.Wait, 0)
}

// Standing is what a refusal is made from, for the log.
type Standing struct {
	// Holders is how many servers hold the model, InFlight and Reading what
	// they are known to have, Age how old the other instances' part of it is.
	Holders, InFlight, Reading int
	Age                        time.Duration
	// Waiting is how many requests of the service wait here, Predicted how long
	// one more would.
	Waiting   int
	Predicted time.Duration
}

// Standing returns what a request would meet now.
func (f *Fleet) Standing(service string, q Request) Standing {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	line := f.line(service)
	s := Standing{Waiting: line.Len(), Predicted: line.Predict(now, q)}
	if c, ok := f.cores[service]; ok {
		s.Holders, s.InFlight, s.Reading, s.Age = c.standing(now, q.Key())
	}
	return s
}

// loadTime is an order, a load from the weight store and its news.
const loadTime = 1500 * time.Millisecond

// Resize tells how many tokens the cache of each server of a service takes.
func (f *Fleet) Resize(service string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core(service).Resize(tokens)
}

// First notes the first event of the answer.
func (l *Lease) First() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok && !l.first {
		l.first = true
		c.First(l.ID, l.request, f.clock.Since(l.sent))
		f.wake(l.service)
	}
}

// Heard notes that bytes came from the server.
func (l *Lease) Heard() { l.heard.Store(int64(l.fleet.clock.Since(l.fleet.begun))) }

// Silence is how long nothing has come from the server, since the request was
// sent at most.
func (l *Lease) Silence() time.Duration {
	f := l.fleet
	return min(f.clock.Since(f.begun)-time.Duration(l.heard.Load()), f.clock.Since(l.sent))
}

// Cancel gives the server back without a request having been sent.
func (l *Lease) Cancel() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Cancel(l.ID, l.request)
		f.wake(l.service)
	}
}

// Pace returns what the pace of prompts at the server depends on.
func (l *Lease) Pace() Pace {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.cores[l.service]
	if !ok {
		return Pace{EventTokens: assumedTokens}
	}
	return c.Pace(f.clock.Now(), l.ID)
}

// Whole notes that the answer came to its end after some events.
func (l *Lease) Whole(events int) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Whole(l.request.Most, events)
	}
}

// Paced notes that the request has a place at the server, after a wait.
func (l *Lease) Paced(wait time.Duration) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Paced(f.clock.Now(), l.ID, wait, 0)
	}
	f.wake(l.service)
}

// Unpaced notes that nobody said when the server may get the request.
func (l *Lease) Unpaced() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		c.Unpaced(l.ID)
	}
	f.wake(l.service)
}

// Postpone gives the server back: it has no place for the request so soon, and
// is not asked for one before a pause.
func (l *Lease) Postpone(pause time.Duration) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.line(l.service).Revoked(now, l.request.Key())
	if c, ok := f.cores[l.service]; ok {
		c.Cancel(l.ID, l.request)
		c.Paced(now, l.ID, pause, pause)
	}
	f.later(l.service, pause)
}

// Done notes the end of the request at the server.
func (l *Lease) Done(failed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		now := f.clock.Now()
		c.Done(now, l.ID, l.request, l.first, failed, now.Sub(l.sent))
		f.wake(l.service)
	}
}

// Wants returns the demand since the last call.
func (f *Fleet) Wants() []Want {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.arrived)
	clear(f.arrived)
	for k := range f.waiting {
		all[k] += 0
	}
	list := make([]Want, 0, len(all))
	for k, n := range all {
		list = append(list, Want{Service: k.service, Key: k.key, Arrived: n, Waiting: f.waiting[k]})
	}
	return list
}

// Flights returns what this instance has in flight.
func (f *Fleet) Flights() map[string]Flight {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	all := map[string]Flight{}
	for _, c := range f.cores {
		maps.Copy(all, c.Flights(now))
	}
	return all
}

// Waiting returns how many requests wait for a server.
func (f *Fleet) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, l := range f.lines {
		n += l.Len()
	}
	return n
}

// Others takes over what the other instances have in flight.
func (f *Fleet) Others(flights map[string]Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.Others(now, flights)
	}
	f.wakeAll()
}
