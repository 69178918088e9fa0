package coordinator_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primrosehook/coordinator"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

// The world of a weight store, servers and machines, in the time of a synctest bubble.
const (
	worldAdapters     = 3
	worldAdapterSlots = 2
	worldLoadRate     = 2.0
	worldWindow       = 5 * time.Second
	worldOverage      = 1.1
	worldFor          = 50 * time.Second
	// worldReportLag is how old each value of a report may be.
	worldReportLag = 200 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// serverSnapshot is what a server reports of one moment.
type serverSnapshot struct {
	at     time.Time
	orders int64
	busy   bool
	loaded []registrar.LoadedModel
	cached []string
}

// worldServer is a server as it is.
type worldServer struct {
	id     string
	orders int64
	busy   bool
	loaded map[string][]string
	// arriving is the model that is being loaded, empty for none.
	arriving string
	// inMemory and onDisk are the copies of weights, the least recently used first.
	inMemory, onDisk []string
	copies           int
	// history are the snapshots after each change, beats the registrations.
	history []serverSnapshot
	beats   []registrar.Server
}

// worldSize is how many servers and models a world has. The copies that a server keeps on its
// disk are of so many models, what is in demand moves on every shift, and an order takes up to
// transit to its server.
type worldSize struct {
	serverCount, models, copies int
	// resident is how many models a server has loaded at the start, three if it is zero.
	resident       int
	shift, transit time.Duration
}

// world is what the instances share. It records the broken rules.
type world struct {
	worldSize
	mu     sync.Mutex
	random *rand.Rand
	engine *matcher.Engine
	// holdsFirst makes servers answer that an order holds already before they compare its
	// expected count of orders.
	holdsFirst bool
	servers    map[string]*worldServer
	// begun are when loads from the weight store began, broken the rules that were broken, orders
	// is how many orders were accepted.
	begun  []time.Time
	broken []string
	orders int
	log    *worldLog
	// lateShare is the share of orders that get no answer and are carried out later, after lateBy
	// or, if that is zero, at random.
	lateShare float64
	lateBy    time.Duration
	// lateAt is when the first of them was sent.
	lateAt time.Time
	// unloadTime is how long an unload takes at least.
	unloadTime time.Duration
	// registryLag is how far the registry lags behind the servers.
	registryLag time.Duration
	// firstOrders are when each term's first order was accepted, since the kill before.
	killedAt    time.Time
	firstOrders []time.Duration
	// logger gets the lines of instances that start, unless it is nil.
	logger *zap.Logger
	// configDelay is how long after its start an instance gets its configuration.
	configDelay time.Duration
}

func newWorld(size worldSize, seed uint64) *world {
	e := &matcher.Engine{MemoryMB: 230, AdapterSlots: worldAdapterSlots, ColdLoadsPerSecond: worldLoadRate, Models: map[string]matcher.Model{}}
	for i := range size.models {
		m := matcher.Model{Name: fmt.Sprint("m", i), SizeMB: 72, AdapterSizeMB: 0.5, ColdLoadTime: 1200 * time.Millisecond, DiskLoadTime: 820 * time.Millisecond, HostLoadTime: 630 * time.Millisecond}
		if i%2 == 0 {
			m.Adapters = worldAdapters
		}
		e.Models[m.Name] = m
	}
	w := &world{worldSize: size, random: rand.New(rand.NewPCG(seed, 38)), engine: e, servers: map[string]*worldServer{}, log: &worldLog{lostUntil: map[string]time.Time{}}, registryLag: 300 * time.Millisecond}
	w.holdsFirst = w.random.IntN(2) == 0
	for i := range size.serverCount {
		s := &worldServer{id: fmt.Sprint("s", i), loaded: map[string][]string{}, copies: size.copies}
		for j := range cmp.Or(size.resident, 3) {
			m := fmt.Sprint("m", (3*i+j)%size.models)
			s.loaded[m] = nil
			s.cache(m)
		}
		w.add(s)
	}
	return w
}

// restart replaces all servers by new ones, which have nothing loaded and the copies on their disks.
func (w *world) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, old := range w.servers {
		delete(w.servers, id)
		w.add(&worldServer{id: id + "+", loaded: map[string][]string{}, copies: old.copies, onDisk: old.onDisk})
	}
}

// add adds a server that has started now.
func (w *world) add(s *worldServer) {
	w.servers[s.id] = s
	w.record(s)
	w.beat(s)
}

// removeAdapters leaves the models without adapters.
func (w *world) removeAdapters() {
	for name, m := range w.engine.Models {
		m.Adapters = 0
		w.engine.Models[name] = m
	}
}

// cache moves a model's copies to the end of those that are evicted.
func (s *worldServer) cache(m string) {
	keep := func(list []string, most int) []string {
		list = append(slices.DeleteFunc(slices.Clone(list), func(x string) bool { return x == m }), m)
		return list[max(len(list)-most, 0):]
	}
	s.inMemory, s.onDisk = keep(s.inMemory, 2), keep(s.onDisk, s.copies)
}

func (s *worldServer) models() []registrar.LoadedModel {
	var all []registrar.LoadedModel
	for _, m := range slices.Sorted(maps.Keys(s.loaded)) {
		if m != s.arriving {
			all = append(all, registrar.LoadedModel{Model: m, Adapters: slices.Clone(s.loaded[m])})
		}
	}
	return all
}

// record adds a snapshot after a change. w.mu must be held, as for all that follow.
func (w *world) record(s *worldServer) {
	s.history = append(s.history, serverSnapshot{at: time.Now(), orders: s.orders, busy: s.busy, loaded: s.models(), cached: slices.Concat(s.inMemory, s.onDisk)})
}

// beat writes the server's registration.
func (w *world) beat(s *worldServer) {
	s.beats = append(s.beats, registrar.Server{
		ID: s.id, Incarnation: fmt.Sprint(s.id, "@", s.history[0].at.UnixNano()), Service: "llm", Heartbeat: int64(len(s.beats) + 1), Loaded: s.models(),
		InMemory: slices.Clone(s.inMemory), OnDisk: slices.Clone(s.onDisk), StartedAt: time.Now(),
	})
}

// past returns the snapshot of a moment up to worldReportLag ago.
func (w *world) past(s *worldServer) serverSnapshot {
	at := time.Now().Add(-time.Duration(w.random.Int64N(int64(worldReportLag) + 1)))
	i := len(s.history) - 1
	for i > 0 && s.history[i].at.After(at) {
		i--
	}
	return s.history[i]
}

func (w *world) used(s *worldServer) (mb float64, slots int) {
	for m, adapters := range s.loaded {
		mb += w.engine.Models[m].SizeMB + float64(len(adapters))*w.engine.Models[m].AdapterSizeMB
		slots += len(adapters)
	}
	return mb, slots
}

// accept carries out an order as a server does.
func (w *world) accept(s *worldServer, o coordinator.Order) coordinator.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	adapters, ok := s.loaded[o.Model]
	ok = ok && o.Model != s.arriving
	holds := ok
	if o.Adapter != "" {
		holds = slices.Contains(adapters, o.Adapter)
	}
	holds = holds == (o.Op == serviceplanner.Load)
	if holds && w.holdsFirst {
		return coordinator.AlreadyApplied
	}
	if s.busy || o.ExpectedOrders != s.orders {
		return coordinator.Conflict
	}
	switch {
	case holds:
		return coordinator.AlreadyApplied
	case o.Adapter != "" && !ok:
		return coordinator.Rejected
	}
	s.orders++
	w.orders++
	if !w.killedAt.IsZero() {
		w.firstOrders = append(w.firstOrders, time.Since(w.killedAt))
		w.killedAt = time.Time{}
	}
	defer w.record(s)
	switch {
	case o.Adapter != "" && o.Op == serviceplanner.Load:
		s.loaded[o.Model] = append(slices.Clone(adapters), o.Adapter)
	case o.Adapter != "":
		drop := func() {
			s.loaded[o.Model] = slices.DeleteFunc(slices.Clone(s.loaded[o.Model]), func(a string) bool { return a == o.Adapter })
		}
		if w.random.IntN(4) > 0 {
			drop()
			return coordinator.AlreadyApplied
		}
		w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() {
			if _, ok := s.loaded[o.Model]; ok {
				drop()
			}
			w.record(s)
		})
	case o.Op == serviceplanner.Unload:
		s.busy = true
		w.after(w.unloadTime+time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() {
			delete(s.loaded, o.Model)
			s.busy = false
			w.record(s)
			w.beat(s)
		})
	default:
		w.load(s, o.Model)
	}
	w.check(s)
	return coordinator.Accepted
}

// load begins the load of a model.
func (w *world) load(s *worldServer, m string) {
	took := w.engine.Models[m].ColdLoadTime
	switch {
	case slices.Contains(s.inMemory, m):
		took = w.engine.Models[m].HostLoadTime
	case slices.Contains(s.onDisk, m):
		took = w.engine.Models[m].DiskLoadTime
	default:
		now := time.Now()
		w.begun = append(w.begun, now)
		n := len(slices.DeleteFunc(slices.Clone(w.begun), func(at time.Time) bool { return now.Sub(at) > worldWindow }))
		if most := int(w.engine.ColdLoadsPerSecond*worldWindow.Seconds()*worldOverage) + 3; n > most {
			w.broken = append(w.broken, fmt.Sprintf("CEILING: %d loads of %d", n, most))
		}
	}
	s.loaded[m], s.busy, s.arriving = nil, true, m
	w.after(took, func() {
		s.busy, s.arriving = false, ""
		s.cache(m)
		w.record(s)
		w.beat(s)
	})
}

func (w *world) check(s *worldServer) {
	if mb, slots := w.used(s); mb > w.engine.MemoryMB || slots > w.engine.AdapterSlots {
		w.broken = append(w.broken, fmt.Sprintf("LIMIT: %s after %d orders: %.0f MB, %d adapters", s.id, s.orders, mb, slots))
	}
}

// after runs a function at a later time with w.mu held.
func (w *world) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	})
}

// unloading reports whether a server is unloading a model.
func (w *world) unloading() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.busy && s.arriving == "" {
			return true
		}
	}
	return false
}

// server returns the process that a server's ID names now, nil if there is none.
func (w *world) server(id string) *worldServer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[id]
}

// answerAll ends late orders.
func (w *world) answerAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = 0
}

// loads returns how many loads from the weight store have begun.
func (w *world) loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.begun)
}

func (w *world) delay(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.random.Int64N(int64(most)))
}

// Send implements coordinator.OrderSender.
func (w *world) Send(ctx context.Context, s registrar.Server, o coordinator.Order, guard func() bool) (coordinator.Outcome, error) {
	if !guard() || ctx.Err() != nil {
		return coordinator.Rejected, errUnavailable
	}
	time.Sleep(w.delay(max(w.transit, 20*time.Millisecond)))
	server := w.server(s.ID)
	w.mu.Lock()
	late := w.random.Float64() < w.lateShare
	lateBy := 2*time.Second + time.Duration(w.random.Int64N(int64(9*time.Second)))
	if w.lateBy > 0 {
		lateBy = w.lateBy
	}
	w.mu.Unlock()
	if server == nil {
		return coordinator.NotSent, errNoAnswer
	}
	if late {
		w.mu.Lock()
		if w.lateAt.IsZero() {
			w.lateAt = time.Now()
		}
		w.mu.Unlock()
		time.AfterFunc(lateBy, func() {
			if server := w.server(s.ID); server != nil {
				w.accept(server, o)
			}
		})
		<-ctx.Done()
		return coordinator.Unknown, errNoAnswer
	}
	out := w.accept(server, o)
	time.Sleep(w.delay(20 * time.Millisecond))
	if ctx.Err() != nil {
		return coordinator.Unknown, ctx.Err()
	}
	return out, nil
}

// Report implements coordinator.OrderSender. Each value is of another moment.
func (w *world) Report(ctx context.Context, s registrar.Server) (coordinator.ServerReport, error) {
	time.Sleep(w.delay(5 * time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	server, ok := w.servers[s.ID]
	if !ok {
		return coordinator.ServerReport{}, errNoAnswer
	}
	return coordinator.ServerReport{Orders: w.past(server).orders, Busy: w.past(server).busy, Loaded: w.past(server).loaded, Cached: w.past(server).cached}, ctx.Err()
}

// registry returns the registrations as they are read now.
func (w *world) registry() []registrar.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	var list []registrar.Server
	for _, id := range slices.Sorted(maps.Keys(w.servers)) {
		beats := w.servers[id].beats
		i := len(beats) - 1
		for i > 0 && now.Sub(beats[i].StartedAt) < w.registryLag {
			i--
		}
		s := beats[i]
		s.StartedAt, s.ReadAt = time.Time{}, now
		list = append(list, s)
	}
	return list
}
