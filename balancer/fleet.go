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
	changed chan struct{}
	missed  chan struct{}
}

// NewFleet returns a fleet without servers.
func NewFleet(zone string, seed uint64, clock clockwork.Clock) *Fleet {
	return &Fleet{
		zone: zone, seed: seed, clock: clock, begun: clock.Now(),
		cores: map[string]*Core{}, pools: map[string]*connector.Pool{},
		arrived: map[wantKey]int{}, waiting: map[wantKey]int{},
		changed: make(chan struct{}), missed: make(chan struct{}, 1),
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
	f.wake()
}

func (f *Fleet) core(service string) *Core {
	c, ok := f.cores[service]
	if !ok {
		c = NewCore(f.zone, f.seed^Hash(service))
		f.cores[service] = c
	}
	return c
}

func (f *Fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
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
	f.wake()
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
	c.Sent(id, q)
	return &Lease{Server: s, Pool: f.pools[s.Life+s.Address], fleet: f, service: service, request: q, sent: now, heard: c.servers[id].heard}, Found
}

// Await is Take that waits until a server holds the model or the context ends.
func (f *Fleet) Await(ctx context.Context, service string, q Request) (*Lease, Status) {
	key := wantKey{service, q.Key()}
	f.mu.Lock()
	f.waiting[key]++
	f.mu.Unlock()
	select {
	case f.missed <- struct{}{}:
	default:
	}
	defer func() {
		f.mu.Lock()
		if f.waiting[key]--; f.waiting[key] <= 0 {
			delete(f.waiting, key)
		}
		f.mu.Unlock()
	}()
	for {
		f.mu.Lock()
		l, status := f.take(service, q)
		changed := f.changed
		f.mu.Unlock()
		if status == Found {
			return l, status
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, status
		}
	}
}

// First notes the first event of the answer.
func (l *Lease) First() {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok && !l.first {
		l.first = true
		c.First(l.ID, l.request, f.clock.Since(l.sent))
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
	}
}

// Done notes the end of the request at the server.
func (l *Lease) Done(failed bool) {
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.cores[l.service]; ok {
		now := f.clock.Now()
		c.Done(now, l.ID, l.request, l.first, failed, now.Sub(l.sent))
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
	all := map[string]Flight{}
	for _, c := range f.cores {
		maps.Copy(all, c.Flights())
	}
	return all
}

// Others takes over what the other instances have in flight.
func (f *Fleet) Others(flights map[string]Flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, c := range f.cores {
		c.Others(now, flights)
	}
}
