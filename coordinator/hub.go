package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/balancer"
	"primrosehook/decayer"
	"primrosehook/registrar"
	"primrosehook/tailer"
)

// Half-lives of the demand: the fast one rises with a shift, the slow one keeps
// what is asked for now and then. The larger rate counts.
const (
	fastHalf = time.Second
	slowHalf = 3 * time.Second
)

// demandFaded is the rate below which demand is forgotten, in requests a
// second.
const demandFaded = 0.002

type member struct {
	address string
	link    float64
	at      time.Time
	flights map[string]balancer.Flight
	waiting map[demandKey]int
	down    []string
}

type demandKey struct{ service, key string }

type rates struct{ fast, slow decayer.Counter }

// hub is the view of the whole that the coordinator has. Every instance keeps
// the part that comes from the store, so that it can become the coordinator.
type hub struct {
	clock clockwork.Clock

	mu      sync.Mutex
	members map[string]*member
	// sums is what all members have in flight, kept as they report: to add it up
	// for each reply would cost instances times servers. names and digest are
	// the members' addresses, made anew when they change.
	sums     map[string]balancer.Flight
	names    []string
	digest   uint64
	demand   map[demandKey]*rates
	overlays []balancer.Overlay
	// dropped is how many overlays were told and forgotten.
	dropped int
	latest  map[string]tailer.Record
	servers []registrar.Server
	config  tailer.Record
	version int64
	changed chan struct{}
	kick    chan struct{}
}

func newHub(clock clockwork.Clock) *hub {
	return &hub{
		clock: clock, members: map[string]*member{}, sums: map[string]balancer.Flight{}, demand: map[demandKey]*rates{},
		latest: map[string]tailer.Record{}, changed: make(chan struct{}), kick: make(chan struct{}, 1),
	}
}

// reset forgets what a former term left behind.
func (h *hub) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.members)
	clear(h.sums)
	h.rename()
	h.overlays, h.dropped = nil, 0
}

// take notes a report.
func (h *hub) take(r Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	m := &member{address: r.Address, link: r.Link, at: now, flights: r.Flights, waiting: map[demandKey]int{}, down: r.Down}
	old, ok := h.members[r.Instance]
	if ok {
		h.subtract(old)
	}
	h.members[r.Instance] = m
	for id, f := range m.flights {
		h.sums[id] = h.sums[id].Add(f)
	}
	if !ok || old.address != m.address || old.link != m.link {
		h.rename()
	}
	starved := false
	for _, w := range r.Wants {
		k := demandKey{w.Service, w.Key}
		d, ok := h.demand[k]
		if !ok {
			d = &rates{}
			h.demand[k] = d
		}
		d.fast.Add(now, fastHalf, float64(w.Arrived))
		d.slow.Add(now, slowHalf, float64(w.Arrived))
		if w.Waiting > 0 {
			m.waiting[k] = w.Waiting
			starved = true
		}
	}
	if starved {
		h.wake()
	}
}

// subtract takes a member's part out of the sums.
func (h *hub) subtract(m *member) {
	for id, f := range m.flights {
		if left := h.sums[id].Sub(f); left != (balancer.Flight{}) {
			h.sums[id] = left
		} else {
			delete(h.sums, id)
		}
	}
}

// expire drops the members that have not reported for a time.
func (h *hub) expire(now time.Time) {
	before := len(h.members)
	for name, m := range h.members {
		if now.Sub(m.at) > memberAge {
			h.subtract(m)
			delete(h.members, name)
		}
	}
	if len(h.members) < before {
		h.rename()
	}
}

// rename makes the list of addresses anew.
func (h *hub) rename() {
	h.names = rank(h.members)
	h.digest = digest(h.names)
}

// wake makes the next plan begin at once.
func (h *hub) wake() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// reply returns what an instance has not been told yet.
func (h *hub) reply(r Report) (Reply, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.expire(now)
	out := Reply{Holds: true, Instances: len(h.members), Flights: maps.Clone(h.sums)}
	if m, ok := h.members[r.Instance]; ok {
		for id, f := range m.flights {
			if left := out.Flights[id].Sub(f); left != (balancer.Flight{}) {
				out.Flights[id] = left
			} else {
				delete(out.Flights, id)
			}
		}
	}
	if h.digest != r.Members {
		out.Members = h.names
	}
	for _, x := range h.latest {
		if x.Offset >= r.Registry {
			out.Registry = append(out.Registry, x)
		}
	}
	slices.SortFunc(out.Registry, func(a, b tailer.Record) int { return int(a.Offset - b.Offset) })
	if r.Config < h.version {
		out.Config = []tailer.Record{h.config}
		out.ConfigNext = h.config.Offset + 1
	}
	from := max(r.Overlay-h.dropped, 0)
	if from < len(h.overlays) {
		out.Overlays = slices.Clone(h.overlays[from:])
	}
	out.Overlay = h.dropped + len(h.overlays)
	return out, h.changed
}

// digest tells lists of members apart.
func digest(members []string) uint64 { return balancer.Hash(strings.Join(members, " ")) }

// tell passes on what an order changed.
func (h *hub) tell(list []balancer.Overlay) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.overlays = append(h.overlays, list...)
	if n := len(h.overlays) - overlaysKept; n > 0 {
		h.overlays = slices.Clone(h.overlays[n:])
		h.dropped += n
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

// await waits for something new to tell.
func (h *hub) await(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-ctx.Done():
	case <-h.clock.After(attend):
	}
}

// record takes over what is new in the registry.
func (h *hub) record(list []tailer.Record, servers []registrar.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range list {
		if old, ok := h.latest[x.Key]; !ok || x.Offset > old.Offset {
			h.latest[x.Key] = x
		}
	}
	if len(h.latest) > goneKept+len(servers) {
		maps.DeleteFunc(h.latest, func(_ string, x tailer.Record) bool { return x.Value == nil })
	}
	h.servers = servers
	if len(list) > 0 {
		h.wake()
	}
}

func (h *hub) publish(x tailer.Record, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.version {
		h.config, h.version = x, version
	}
}

// asked returns the demand of a service and what waits for a holder.
func (h *hub) asked(service string) (map[string]float64, map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	demand, waiting := map[string]float64{}, map[string]int{}
	for k, d := range h.demand {
		rate := max(d.fast.Rate(now, fastHalf), d.slow.Rate(now, slowHalf))
		if rate < demandFaded {
			delete(h.demand, k)
			continue
		}
		if k.service == service {
			demand[k.key] = rate
		}
	}
	for _, m := range h.members {
		if now.Sub(m.at) > memberAge {
			continue
		}
		for k, n := range m.waiting {
			if k.service == service {
				waiting[k.key] += n
			}
		}
	}
	return demand, waiting
}

// down returns the lives of servers that some instance finds no connection to.
func (h *hub) down() map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	all := map[string]bool{}
	for _, m := range h.members {
		if now.Sub(m.at) > downAge {
			continue
		}
		for _, life := range m.down {
			all[life] = true
		}
	}
	return all
}

func (h *hub) registered() []registrar.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers
}
