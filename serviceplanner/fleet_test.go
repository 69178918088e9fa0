package serviceplanner_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/serviceplanner"
)

// fleetStep is the resolution of the simulation, and the pause between plans.
const fleetStep = 50 * time.Millisecond

// fleet simulates servers that carry out planned orders, and requests for their models and
// adapters. A server takes one order at a time, and none while it loads or unloads a model.
type fleet struct {
	engine  *matcher.Engine
	random  *rand.Rand
	now     time.Duration
	servers []*fleetServer
	kinds   []fleetKind
	// rates are the decaying rates of arrivals by key, unrequested when a model was last requested.
	rates     map[string]float64
	requested map[string]time.Duration
	waiting   []fleetRequest
	seen      map[string]*fleetKey
	// loads are when loads from the weight store began, moves counts loads and unloads of models.
	loads []time.Duration
	moves int
}

// fleetKind is a kind of request. It is for a model by weight, and of some for one of its adapters; it
// holds a slot for a time, and waits no longer than another one for a server.
type fleetKind struct {
	perSecond    float64
	models       []string
	weights      []float64
	adapterShare float64
	holds, wait  time.Duration
}

type fleetRequest struct {
	key          string
	holds, until time.Duration
}

// fleetKey is what became of the requests for a model or adapter.
type fleetKey struct {
	asked, served int
	first, last   time.Duration
}

type fleetServer struct {
	serviceplanner.Server
	up time.Duration
	// ends are when the running requests end, by key.
	ends map[string][]time.Duration
	// doneAt is when the order under way is completed.
	doneAt time.Duration
	order  *serviceplanner.Order
}

func newFleet(seed uint64, e *matcher.Engine, servers int) *fleet {
	f := &fleet{engine: e, random: rand.New(rand.NewPCG(seed, 1)), rates: map[string]float64{}, requested: map[string]time.Duration{}, seen: map[string]*fleetKey{}}
	for i := range servers {
		f.servers = append(f.servers, &fleetServer{Server: server(fmt.Sprintf("s%03d", i)), ends: map[string][]time.Duration{}})
	}
	return f
}

// run plays the time until a moment. Orders are given if ordered is set.
func (f *fleet) run(until time.Duration, ordered bool) {
	for ; f.now < until; f.now += fleetStep {
		f.completeOrders()
		f.arrive()
		f.serve()
		if ordered && f.now%(2*fleetStep) == 0 {
			f.plan()
		}
	}
}

// place loads each model once, and fills the servers with models by weight.
func (f *fleet) place(models []string, weights []float64) {
	load := func(m string) bool {
		for _, i := range f.random.Perm(len(f.servers)) {
			s := f.servers[i]
			if _, ok := s.Loaded[m]; !ok && serviceplanner.Fits(f.engine, s.Loaded, serviceplanner.Order{Op: serviceplanner.Load, Model: m}) {
				s.Loaded[m], s.Warm[m] = nil, true
				return true
			}
		}
		return false
	}
	for _, m := range slices.Sorted(maps.Keys(f.engine.Models)) {
		load(m)
	}
	replicas := make([]float64, len(models))
	for {
		best := 0
		for i, w := range weights {
			if w/(replicas[i]+1) > weights[best]/(replicas[best]+1) {
				best = i
			}
		}
		if !load(models[best]) {
			return
		}
		replicas[best]++
	}
}

// reset forgets what became of the requests so far.
func (f *fleet) reset() {
	for _, k := range f.seen {
		*k = fleetKey{first: f.now}
	}
	f.moves = 0
}

// crash restarts a share of the servers, which are away for a time and have their disks' copies only.
func (f *fleet) crash(share float64, away time.Duration) {
	for _, i := range f.random.Perm(len(f.servers))[:int(share*float64(len(f.servers)))] {
		s := f.servers[i]
		s.up, s.order, s.Pending, s.Busy = f.now+away, nil, nil, false
		s.Loaded, s.ends = map[string][]string{}, map[string][]time.Duration{}
	}
}

func (f *fleet) completeOrders() {
	for _, s := range f.servers {
		for s.order != nil && f.now >= s.doneAt {
			s.order.Apply(s.Loaded)
			if s.order.Op == serviceplanner.Load && s.order.Adapter == "" {
				s.Warm[s.order.Model] = true
			}
			s.order = s.order.Next
			s.Pending, s.Busy = s.order, s.order != nil
			f.begin(s)
		}
		for key, ends := range s.ends {
			s.ends[key] = slices.DeleteFunc(ends, func(t time.Duration) bool { return t <= f.now })
			f.seen[key].served += len(ends) - len(s.ends[key])
		}
	}
}

// begin begins the order of a server. An unload waits for the requests that use what it names.
func (f *fleet) begin(s *fleetServer) {
	if s.order == nil {
		return
	}
	o := *s.order
	spec := f.engine.Models[o.Model]
	s.doneAt = f.now + 30*time.Millisecond
	switch {
	case o.Op == serviceplanner.Unload:
		for key, ends := range s.ends {
			model, _, _ := strings.Cut(key, "/")
			if o.Adapter == "" && model == o.Model || key == balancer.Key(o.Model, o.Adapter) {
				s.doneAt = max(s.doneAt, f.now+100*time.Millisecond, slices.Max(append(ends, 0)))
			}
		}
	case o.Adapter != "":
	case s.Warm[o.Model]:
		s.doneAt = f.now + spec.DiskLoadTime
	default:
		s.doneAt = f.now + spec.ColdLoadTime
		f.loads = append(f.loads, f.now)
	}
	if o.Adapter == "" {
		f.moves++
	}
}

func (f *fleet) arrive() {
	decay := math.Exp2(-fleetStep.Seconds() / 2)
	for k := range f.rates {
		f.rates[k] *= decay
	}
	for _, kind := range f.kinds {
		total := 0.0
		for _, w := range kind.weights {
			total += w
		}
		for range f.poisson(kind.perSecond * fleetStep.Seconds()) {
			at, i := f.random.Float64()*total, 0
			for ; i < len(kind.weights)-1 && at >= kind.weights[i]; i++ {
				at -= kind.weights[i]
			}
			m := kind.models[i]
			key := m
			if n := f.engine.Models[m].Adapters; n > 0 && f.random.Float64() < kind.adapterShare {
				key = balancer.Key(m, fmt.Sprintf("a%d", f.random.IntN(n)+1))
			}
			f.rates[key] += math.Ln2 / 2
			f.requested[m] = f.now
			f.waiting = append(f.waiting, fleetRequest{key, kind.holds, f.now + kind.wait})
			k := f.seen[key]
			if k == nil {
				k = &fleetKey{first: f.now}
				f.seen[key] = k
			}
			if k.asked == 0 {
				k.first = f.now
			}
			k.asked, k.last = k.asked+1, f.now
		}
	}
}

// poisson draws from a Poisson distribution.
func (f *fleet) poisson(mean float64) int {
	n, p, limit := 0, f.random.Float64(), math.Exp(-mean)
	for p > limit {
		n, p = n+1, p*f.random.Float64()
	}
	return n
}

// serve sends the waiting requests to the servers with most room that have what they need.
func (f *fleet) serve() {
	left := f.waiting[:0]
	for _, q := range f.waiting {
		model, adapter, _ := strings.Cut(q.key, "/")
		var best *fleetServer
		room := 0
		for _, s := range f.servers {
			adapters, ok := s.Loaded[model]
			if !ok || s.up > f.now || adapter != "" && !slices.Contains(adapters, adapter) || f.unloads(s, model, adapter) {
				continue
			}
			running := 0
			for _, ends := range s.ends {
				running += len(ends)
			}
			if n := f.engine.Slots - running; n > room {
				best, room = s, n
			}
		}
		switch {
		case best != nil:
			best.ends[q.key] = append(best.ends[q.key], f.now+q.holds)
		case f.now < q.until:
			left = append(left, q)
		}
	}
	f.waiting = left
}

func (f *fleet) unloads(s *fleetServer, model, adapter string) bool {
	o := s.order
	return o != nil && o.Op == serviceplanner.Unload && o.Model == model && (o.Adapter == "" || o.Adapter == adapter)
}

func (f *fleet) plan() {
	f.loads = slices.DeleteFunc(f.loads, func(t time.Duration) bool { return f.now-t > 5*time.Second })
	state := serviceplanner.State{
		Engine: f.engine, Demand: map[string]float64{}, Waiting: map[string]int{}, Unrequested: map[string]time.Duration{}, HoldingTime: 1700 * time.Millisecond,
		ColdLoads: int(f.engine.ColdLoadsPerSecond*5) + 2 - len(f.loads),
	}
	for k, r := range f.rates {
		if r > 0.002 {
			state.Demand[k] = r
		}
	}
	for _, q := range f.waiting {
		if !f.present(q.key) {
			state.Waiting[q.key]++
		}
	}
	for m := range f.engine.Models {
		state.Unrequested[m] = f.now - f.requested[m]
	}
	for _, s := range f.servers {
		if s.up <= f.now {
			state.Servers = append(state.Servers, s.Server)
		}
	}
	for _, o := range serviceplanner.Plan(state) {
		i := slices.IndexFunc(f.servers, func(s *fleetServer) bool { return s.ID == o.Server })
		s := f.servers[i]
		s.order, s.Pending, s.Busy = &o, &o, true
		f.begin(s)
	}
}

func (f *fleet) present(key string) bool {
	model, adapter, _ := strings.Cut(key, "/")
	return slices.ContainsFunc(f.servers, func(s *fleetServer) bool {
		adapters, ok := s.Loaded[model]
		return ok && s.up <= f.now && (adapter == "" || slices.Contains(adapters, adapter))
	})
}

// never returns how many models and adapters were requested four times or more over 8 s, and those
// of them that were never served.
func (f *fleet) never() (requested int, never []string) {
	for key, k := range f.seen {
		if k.asked < 4 || k.last-k.first < 8*time.Second {
			continue
		}
		requested++
		if k.served == 0 {
			never = append(never, key)
		}
	}
	return requested, never
}

// served returns the share of the requests that were served.
func (f *fleet) served() float64 {
	asked, served := 0, 0
	for _, k := range f.seen {
		asked, served = asked+k.asked, served+k.served
	}
	return float64(served) / float64(asked)
}
