// Package serviceplanner plans which models and adapters each server of a
// service has loaded. It does no I/O and reads no clock.
//
// As far as there is room, every model and every adapter is kept loaded on at
// least one server, so that a request rarely waits for a load and is still served while no
// orders can be sent. The remaining room goes to the models with the most demand
// per replica. A replica is replaced only by one in clearly more demand, so that
// the move pays off.
package serviceplanner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"primrosehook/balancer"
	"primrosehook/matcher"
)

const (
	// unloadCost and coldLoadCost are how much load on a server, in requests a
	// second, an unload that makes room and a load from the weight store count
	// as: each takes a second or two longer.
	unloadCost   = 4.0
	coldLoadCost = 2.0
	// demandPerWaiting is the demand, in requests a second, that one waiting
	// request counts as.
	demandPerWaiting = 2.0
)

// Op is the operation of an order.
type Op int

// The operations of orders.
const (
	Load Op = iota
	Unload
)

// String returns the operation as it is logged.
func (o Op) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Server is a server as it is now, with the order under way.
type Server struct {
	ID    string
	Zone  string
	Build string
	// Leaving servers take no orders and do not count as replicas.
	Leaving bool
	// Busy servers take no orders at present. Late is set if that is so since orders to a former
	// process of the server may still be executed, Failed if an order failed a moment ago.
	Busy, Late, Failed bool
	// Loaded maps each model that the server is known to have loaded to its
	// loaded adapters.
	Loaded map[string][]string
	// Pending is the order under way, nil for none.
	Pending *Order
	// Unsettled are the unloads that were given up and may still be executed.
	Unsettled []Order
	// Warm are the models whose weights the server need not fetch from the
	// weight store.
	Warm map[string]bool
}

// State is the input of a plan.
type State struct {
	Engine  *matcher.Engine
	Servers []Server
	// Demand is in requests a second and Waiting the number of requests that
	// wait for a replica, both by the key of the model or adapter needed.
	Demand  map[string]float64
	Waiting map[string]int
	// WaitingBuilds is the number of requests that wait for a replica at one build: they
	// continue streams that it began.
	WaitingBuilds map[BuildKey]int
	// Unrequested is how long nobody has requested a model, as far as that is known. A model
	// that it does not have keeps its last replica.
	Unrequested map[string]time.Duration
	// HoldingTime is how long a request holds a slot of a server, zero if that is not known.
	HoldingTime time.Duration
	// ColdLoads is how many loads from the weight store may start now.
	ColdLoads int
}

// Order is an order to a server.
type Order struct {
	Server  string
	Op      Op
	Model   string
	Adapter string
	// Cold loads fetch the weights from the weight store.
	Cold bool
	// Requested is set for the unload of a model or adapter in demand: requests for it may be on
	// their way to the server.
	Requested bool
	// Next is the load that an unload makes room for. It follows on the same
	// server, so that no other server makes room for it as well.
	Next *Order
	// Reason is a short reason for the log.
	Reason string
}

// Apply changes loaded models and adapters as the order does. It does not apply
// the order that follows. An order for an adapter changes nothing unless its model
// is loaded.
func (o Order) Apply(loaded map[string][]string) {
	adapters, ok := loaded[o.Model]
	switch {
	case o.Op == Load && o.Adapter == "":
		loaded[o.Model] = nil
	case o.Adapter == "":
		delete(loaded, o.Model)
	case !ok:
	case o.Op == Load:
		if !slices.Contains(adapters, o.Adapter) {
			loaded[o.Model] = append(slices.Clone(adapters), o.Adapter)
		}
	default:
		loaded[o.Model] = slices.DeleteFunc(slices.Clone(adapters), func(a string) bool { return a == o.Adapter })
	}
}

// Fits reports whether a server with the given models loaded has room for what
// the order loads.
func Fits(e *matcher.Engine, loaded map[string][]string, o Order) bool {
	if o.Op != Load {
		return true
	}
	spec := e.Models[o.Model]
	if o.Adapter == "" {
		_, ok := loaded[o.Model]
		return ok || usedMemory(e, loaded)+spec.SizeMB <= e.MemoryMB
	}
	slots := e.AdapterSlots
	for _, adapters := range loaded {
		slots -= len(adapters)
	}
	return slices.Contains(loaded[o.Model], o.Adapter) || slots > 0 && usedMemory(e, loaded)+spec.AdapterSizeMB <= e.MemoryMB
}

// usedMemory returns the memory that models and adapters use, in MB. A model that the engine does
// not name is of unknown size and counts as all of it.
func usedMemory(e *matcher.Engine, loaded map[string][]string) float64 {
	total := 0.0
	for m, adapters := range loaded {
		spec, ok := e.Models[m]
		if !ok {
			spec.SizeMB = e.MemoryMB
		}
		total += spec.SizeMB + float64(len(adapters))*spec.AdapterSizeMB
	}
	return total
}

// server is a server during a plan.
type server struct {
	Server
	// planned is what the server will have loaded once the orders under way and
	// those of this plan are completed.
	planned map[string][]string
	// kept is the part of Loaded that no order unloads, whichever of the orders
	// are executed.
	kept map[string][]string
}

func newServer(known Server) *server {
	s := &server{Server: known, planned: map[string][]string{}, kept: map[string][]string{}}
	maps.Copy(s.planned, known.Loaded)
	maps.Copy(s.kept, known.Loaded)
	for o := known.Pending; o != nil; o = o.Next {
		s.apply(*o)
	}
	for _, o := range known.Unsettled {
		o.Apply(s.kept)
	}
	return s
}

// apply changes what the server will have loaded as the order does. What an order
// loads is not kept, since the load takes time and may fail.
func (s *server) apply(o Order) {
	o.Apply(s.planned)
	if o.Op == Unload {
		o.Apply(s.kept)
	}
}

func (s *server) keeps(m string) bool {
	_, ok := s.kept[m]
	return ok
}

type planner struct {
	State
	servers []*server
	// modelDemand is the demand for a model including its adapters, replicas
	// the number of its planned replicas, kept that of the servers that keep it
	// loaded. A load under way counts against adding a replica, but no replica is
	// unloaded because of it.
	modelDemand map[string]float64
	waiting     map[string]int
	replicas    map[string]int
	kept        map[string]int
	models      []string
	orders      []Order
	// capacity is the demand per replica, in requests a second, above which requests are
	// refused, and comfort that above which another replica noticeably shortens waits.
	capacity, comfort float64
	// reportAbsent is called with what is in demand and not loaded, nil if that is not needed.
	reportAbsent func(key, reason string)
}

// Plan returns orders that may all be sent at once, at most one per server.
func Plan(state State, options ...Option) []Order {
	p := &planner{State: state, modelDemand: map[string]float64{}, waiting: map[string]int{}, replicas: map[string]int{}, kept: map[string]int{}}
	for _, option := range options {
		option(p)
	}
	p.capacity = capacityOf(state)
	p.comfort = p.capacity * replicaDemand / replicaCapacity
	for _, known := range state.Servers {
		if known.Leaving {
			continue
		}
		s := newServer(known)
		p.servers = append(p.servers, s)
		for m := range s.planned {
			p.replicas[m]++
		}
		for m := range s.kept {
			p.kept[m]++
		}
	}
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for key, d := range state.Demand {
		m := modelOf(key)
		p.modelDemand[m] += d
	}
	for key, n := range state.Waiting {
		m := modelOf(key)
		p.waiting[m] += n
		p.modelDemand[m] += demandPerWaiting * float64(n)
	}
	p.models = slices.Sorted(maps.Keys(state.Engine.Models))
	slices.SortStableFunc(p.models, func(a, b string) int { return cmp.Compare(p.modelDemand[b], p.modelDemand[a]) })
	p.unloadUnnamed()
	p.loadMissingAdapters(inDemand)
	p.loadMissingAtBuilds()
	p.addUnserved()
	p.loadMissingAdapters(inDemandReplacing)
	p.addReplicas()
	p.addAdapterReplicas()
	p.loadIdle()
	p.loadMissingAdapters(withoutDemand)
	p.explainAbsent()
	return p.orders
}

// modelOf returns the model of a key.
func modelOf(key string) string {
	model, _, _ := strings.Cut(key, "/")
	return model
}

// unloadUnnamed unloads the models that the engine does not name: nobody can request them, and
// it is unknown how much room they leave.
func (p *planner) unloadUnnamed() {
	for _, s := range p.servers {
		for _, m := range slices.Sorted(maps.Keys(s.planned)) {
			if _, ok := p.Engine.Models[m]; ok || s.Busy {
				continue
			}
			order := Order{Server: s.ID, Op: Unload, Model: m, Reason: "the configuration does not name the model"}
			p.orders = append(p.orders, order)
			s.apply(order)
			s.Busy = true
		}
	}
}

// loadIdle loads models without demand that no server has loaded, where room is free.
func (p *planner) loadIdle() {
	for _, m := range p.models {
		if p.replicas[m] == 0 && p.modelDemand[m] == 0 {
			p.addReplica(m, "", "no server has the model loaded", noVictim)
		}
	}
}

// addReplica orders one more replica of a model at a server of a build: the load, or the
// unload that makes room with the load to follow. choose returns the model that makes room on
// a server. addReplica reports whether it found a server.
func (p *planner) addReplica(m, build, reason string, choose func(p *planner, s *server, m string) (string, bool)) bool {
	spec := p.Engine.Models[m]
	var best *server
	var victim string
	bestCost := 0.0
	for _, s := range p.servers {
		if _, ok := s.planned[m]; ok || s.Busy || !s.runs(build) || !s.Warm[m] && p.ColdLoads <= 0 {
			continue
		}
		v, ok := "", true
		if p.usedMemory(s)+spec.SizeMB > p.Engine.MemoryMB {
			v, ok = choose(p, s, m)
		}
		if !ok {
			continue
		}
		cost := p.demandShare(s)
		if p.modelDemand[v] > 0 {
			// Requests in progress delay the unload.
			cost += unloadCost
		}
		if !s.Warm[m] {
			cost += coldLoadCost
		}
		if best == nil || cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	if best == nil {
		return false
	}
	p.orderReplica(best, m, victim, reason)
	return true
}

// orderReplica orders a load, or the unload of a victim that makes room for it with the load to
// follow.
func (p *planner) orderReplica(s *server, m, victim, reason string) {
	s.Busy = true
	cold := !s.Warm[m]
	if cold {
		// This includes a load that follows an unload: without it, the unload
		// gains nothing.
		p.ColdLoads--
	}
	order := Order{Server: s.ID, Op: Load, Model: m, Cold: cold, Reason: reason}
	if victim != "" {
		next := order
		order = Order{Server: s.ID, Op: Unload, Model: victim, Requested: p.modelDemand[victim] > 0, Next: &next, Reason: "room for " + m + ": " + reason}
		p.replicas[victim]--
		if s.keeps(victim) {
			p.kept[victim]--
		}
		s.apply(order)
	}
	p.orders = append(p.orders, order)
	p.replicas[m]++
	s.planned[m] = nil
}

// demandShare returns a server's share of the demand for the models that it has
// loaded, in requests a second.
func (p *planner) demandShare(s *server) float64 {
	total := 0.0
	for m := range s.planned {
		total += p.modelDemand[m] / float64(max(p.replicas[m], 1))
	}
	return total
}

// lostAdapterDemand returns the demand for the adapters that are unloaded along
// with a model and that no other server has loaded. They are loaded again within
// milliseconds on another replica.
func (p *planner) lostAdapterDemand(s *server, m string) float64 {
	total := 0.0
	for _, a := range s.planned[m] {
		if p.adapterReplicasExcept(s, m, a) == 0 {
			total += p.Demand[balancer.Key(m, a)]
		}
	}
	return total
}

// adapterReplicasExcept returns the number of servers other than one that keep an
// adapter loaded.
func (p *planner) adapterReplicasExcept(except *server, m, a string) int {
	n := 0
	for _, s := range p.servers {
		if s != except && slices.Contains(s.kept[m], a) {
			n++
		}
	}
	return n
}

func (p *planner) usedMemory(s *server) float64 { return usedMemory(p.Engine, s.planned) }

func (p *planner) freeSlots(s *server) int {
	n := 0
	for _, adapters := range s.planned {
		n += len(adapters)
	}
	return p.Engine.AdapterSlots - n
}
