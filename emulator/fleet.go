// Package emulator plays a fleet of model servers in virtual time: requests arrive, servers hold models
// and adapters in limited memory, and package serviceplanner plans what they load. It shows over a day
// what a plan of a moment can't: which models and adapters are never served.
//
// Servers take one order at a time. What the network, the store and the lease holder add is left out:
// orders arrive at once, and what servers have loaded is known.
//
// Example:
//
//	r := emulator.LargeFleet(1).Play(emulator.CrashesBesideLostHolders())
//	fmt.Println(len(r.Never), "of", r.Requested, "never served")
package emulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/serviceplanner"
)

const (
	// step is the resolution of the simulation, planInterval the pause between plans.
	step         = 50 * time.Millisecond
	planInterval = 2 * step
	// orderTime is how long a short order takes, unloadTime an unload of what is in use at least.
	orderTime  = 30 * time.Millisecond
	unloadTime = 100 * time.Millisecond
	// coldLoadWindow is the window in which loads from the weight store are counted, coldLoadSlack how
	// many may begin in it beyond the rate.
	coldLoadWindow = 5 * time.Second
	coldLoadSlack  = 2
	// holdingTime is how long a request holds a slot, as the planner is given it.
	holdingTime = 1700 * time.Millisecond
	// minDemand is the demand in requests a second below which a key is dropped.
	minDemand = 0.002
)

// Fleet is a fleet of servers that carry out planned orders, with requests for their models and
// adapters. A server takes no order while it loads or unloads a model.
type Fleet struct {
	engine  *matcher.Engine
	random  *rand.Rand
	now     time.Duration
	servers []*server
	traffic []Kind
	// ordered is set while orders are given.
	ordered bool
	// rates are the decaying rates of requests by key, requested is when a model was last requested.
	rates     map[string]float64
	requested map[string]time.Duration
	waiting   []request
	outcomes  map[string]*outcome
	// absent counts the plans in which an adapter or model in demand was not loaded, by reason.
	absent map[string]int
	// loads are when loads from the weight store began, moves counts loads and unloads of models.
	loads []time.Duration
	moves int
}

type server struct {
	serviceplanner.Server
	// up is when the server is back after a crash.
	up time.Duration
	// ends are when the running requests end, by key.
	ends map[string][]time.Duration
	// doneAt is when the order under way is completed.
	doneAt time.Duration
	order  *serviceplanner.Order
}

// New returns a fleet of servers for an engine, on which each model is loaded once and the rest of the
// memory has the models of the first kind of request by weight. A fleet is a function of its seed.
func New(seed uint64, e *matcher.Engine, servers int, traffic ...Kind) *Fleet {
	f := &Fleet{
		engine: e, random: rand.New(rand.NewPCG(seed, 1)), traffic: traffic, ordered: true,
		rates: map[string]float64{}, requested: map[string]time.Duration{}, outcomes: map[string]*outcome{}, absent: map[string]int{},
	}
	for i := range servers {
		known := serviceplanner.Server{ID: fmt.Sprintf("s%03d", i), Loaded: map[string][]string{}, Warm: map[string]bool{}}
		f.servers = append(f.servers, &server{Server: known, ends: map[string][]time.Duration{}})
	}
	f.place(traffic[0].Models, traffic[0].Weights)
	return f
}

// run plays the time until a moment.
func (f *Fleet) run(until time.Duration) {
	for ; f.now < until; f.now += step {
		f.completeOrders()
		f.arrive()
		f.serve()
		if f.ordered && f.now%planInterval == 0 {
			f.plan()
		}
	}
}

// place loads each model once, and fills the servers with models by weight.
func (f *Fleet) place(models []string, weights []float64) {
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

// Crash restarts a share of the servers, which are away for a time and then have only the copies of
// weights on their disks.
func (f *Fleet) Crash(share float64, away time.Duration) {
	for _, i := range f.random.Perm(len(f.servers))[:int(share*float64(len(f.servers)))] {
		s := f.servers[i]
		s.up, s.order, s.Pending, s.Busy = f.now+away, nil, nil, false
		s.Loaded, s.ends = map[string][]string{}, map[string][]time.Duration{}
	}
}

// SetOrdered sets whether orders are given. Those under way are completed in any case.
func (f *Fleet) SetOrdered(ordered bool) { f.ordered = ordered }

// completeOrders completes the orders and requests that end now.
func (f *Fleet) completeOrders() {
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
			f.outcomes[key].served += len(ends) - len(s.ends[key])
		}
	}
}

// begin begins the order of a server. An unload waits for the requests that use what it names.
func (f *Fleet) begin(s *server) {
	if s.order == nil {
		return
	}
	o := *s.order
	spec := f.engine.Models[o.Model]
	s.doneAt = f.now + orderTime
	switch {
	case o.Op == serviceplanner.Unload:
		for key, ends := range s.ends {
			model, _, _ := strings.Cut(key, "/")
			if o.Adapter == "" && model == o.Model || key == balancer.Key(o.Model, o.Adapter) {
				s.doneAt = max(s.doneAt, f.now+unloadTime, slices.Max(append(ends, 0)))
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

func (f *Fleet) plan() {
	f.loads = slices.DeleteFunc(f.loads, func(t time.Duration) bool { return f.now-t > coldLoadWindow })
	state := serviceplanner.State{
		Engine: f.engine, Demand: map[string]float64{}, Waiting: map[string]int{}, Unrequested: map[string]time.Duration{}, HoldingTime: holdingTime,
		ColdLoads: int(f.engine.ColdLoadsPerSecond*coldLoadWindow.Seconds()) + coldLoadSlack - len(f.loads),
	}
	for k, r := range f.rates {
		if r > minDemand {
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
	for _, o := range serviceplanner.Plan(state, serviceplanner.WithAbsent(func(_, reason string) { f.absent[reason]++ })) {
		i := slices.IndexFunc(f.servers, func(s *server) bool { return s.ID == o.Server })
		s := f.servers[i]
		s.order, s.Pending, s.Busy = &o, &o, true
		f.begin(s)
	}
}

func (f *Fleet) present(key string) bool {
	model, adapter, _ := strings.Cut(key, "/")
	return slices.ContainsFunc(f.servers, func(s *server) bool {
		adapters, ok := s.Loaded[model]
		return ok && s.up <= f.now && (adapter == "" || slices.Contains(adapters, adapter))
	})
}
