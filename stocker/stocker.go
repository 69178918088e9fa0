// Package stocker decides which server of a service holds which models and
// adapters. It does no I/O and reads no clock.
//
// Every model and every adapter is kept on at least one server as far as there
// is room, so that a request rarely waits for a load and goes on being served
// while nobody may give orders. Room beyond that goes to the models with the
// most demand for each copy. A move must pay: the copy that makes way must be
// in clearly less demand than the one that comes.
package stocker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"primrosehook/balancer"
	"primrosehook/matcher"
)

const (
	// copyDemand is the demand for one copy, in requests a second, from which
	// on a further copy shortens the wait for a first token noticeably: some
	// 70 ms of prefill each, at a fifth of an engine's time.
	copyDemand = 2.5
	// advantage is how many times as much demand a copy must get as the one
	// that makes way.
	advantage = 1.5
	// unloadCost and coldCost are what a load that needs room, or the weight
	// store, counts as against a server's load, in requests a second: it takes
	// a second or two longer.
	unloadCost = 4.0
	coldCost   = 2.0
	// waitingDemand is how many requests a second one waiting request counts.
	waitingDemand = 2.0
)

// Op is what an order does.
type Op int

// The operations of orders.
const (
	Load Op = iota
	Unload
)

// String returns the operation for logs.
func (o Op) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Server is one server as it will be once what is under way is done.
type Server struct {
	ID   string
	Zone string
	// Leaving servers take no orders and do not count as holders.
	Leaving bool
	// Busy servers take no orders now.
	Busy bool
	// Held are the models with their adapters.
	Held map[string][]string
	// Warm are models whose weights the server need not fetch from the store.
	Warm map[string]bool
}

// State is what a plan is made from.
type State struct {
	Engine  *matcher.Engine
	Servers []Server
	// Demand is in requests a second, by what a server must hold, and Waiting
	// the requests that wait for a holder.
	Demand  map[string]float64
	Waiting map[string]int
	// Loads is how many loads from the weight store may start now.
	Loads int
}

// Order is one order to a server.
type Order struct {
	Server  string
	Op      Op
	Model   string
	Adapter string
	// Cold loads fetch the weights from the store.
	Cold bool
	// Next is the load that an unload makes room for. It follows on the same
	// server, so that no second server makes room for it.
	Next *Order
	// Why is one short sentence for the log.
	Why string
}

// Fits reports whether a server that holds some models has room for what an
// order loads.
func Fits(e *matcher.Engine, held map[string][]string, o Order) bool {
	if o.Op != Load {
		return true
	}
	spec := e.Models[o.Model]
	if o.Adapter == "" {
		_, ok := held[o.Model]
		return ok || used(e, held)+spec.Size <= e.Memory
	}
	slots := e.AdapterSlots
	for _, adapters := range held {
		slots -= len(adapters)
	}
	return slices.Contains(held[o.Model], o.Adapter) || slots > 0 && used(e, held)+spec.AdapterSize <= e.Memory
}

// used is the memory that models and adapters take, in MB.
func used(e *matcher.Engine, held map[string][]string) float64 {
	total := 0.0
	for m, adapters := range held {
		spec := e.Models[m]
		total += spec.Size + float64(len(adapters))*spec.AdapterSize
	}
	return total
}

type planner struct {
	State
	servers []*Server
	// model is the demand for a model and its adapters, copies its holders.
	model   map[string]float64
	waiting map[string]int
	copies  map[string]int
	names   []string
	orders  []Order
}

// Plan returns orders that may all be given at once, at most one a server.
func Plan(state State) []Order {
	p := &planner{State: state, model: map[string]float64{}, waiting: map[string]int{}, copies: map[string]int{}}
	for i := range state.Servers {
		s := state.Servers[i]
		if s.Leaving {
			continue
		}
		s.Held = maps.Clone(s.Held)
		p.servers = append(p.servers, &s)
		for m := range s.Held {
			p.copies[m]++
		}
	}
	slices.SortFunc(p.servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	for key, d := range state.Demand {
		m := base(key)
		p.model[m] += d
	}
	for key, n := range state.Waiting {
		m := base(key)
		p.waiting[m] += n
		p.model[m] += waitingDemand * float64(n)
	}
	p.names = slices.Sorted(maps.Keys(state.Engine.Models))
	slices.SortStableFunc(p.names, func(a, b string) int { return cmp.Compare(p.model[b], p.model[a]) })
	p.missing(true)
	p.adapters(true)
	p.further()
	p.missing(false)
	p.adapters(false)
	return p.orders
}

// base returns the model of a key.
func base(key string) string {
	model, _, _ := strings.Cut(key, "/")
	return model
}

// missing loads models that no server holds. Those that nobody asks for take
// no copy's place that somebody does.
func (p *planner) missing(demanded bool) {
	for _, m := range p.names {
		if p.copies[m] == 0 && demanded == (p.model[m] > 0) {
			p.place(m, "no server holds the model", demanded)
		}
	}
}

// further loads more copies of the models in most demand.
func (p *planner) further() {
	for range len(p.servers) {
		best, most := "", copyDemand
		for _, m := range p.names {
			if n := p.copies[m]; n > 0 && n < len(p.servers) {
				if d := p.model[m] / float64(n); d > most {
					best, most = m, d
				}
			}
		}
		if best == "" || !p.place(best, fmt.Sprintf("%.1f requests/s for each copy", most), false) {
			return
		}
	}
}

// place orders what is next on the way to one more copy of a model: the load,
// or the unload that makes room for it. It reports whether it did.
func (p *planner) place(m, why string, missing bool) bool {
	spec := p.Engine.Models[m]
	var best *Server
	var victim string
	bestCost := 0.0
	for _, s := range p.servers {
		if _, ok := s.Held[m]; ok || s.Busy {
			continue
		}
		v, ok := "", true
		if p.used(s)+spec.Size > p.Engine.Memory {
			v, ok = p.victim(s, m, missing)
		}
		if !ok || !s.Warm[m] && p.Loads <= 0 {
			continue
		}
		cost := p.load(s)
		if v != "" {
			cost += unloadCost
		}
		if !s.Warm[m] {
			cost += coldCost
		}
		if best == nil || cost < bestCost {
			best, victim, bestCost = s, v, cost
		}
	}
	if best == nil {
		return false
	}
	best.Busy = true
	cold := !best.Warm[m]
	if cold {
		// Also for a load that follows an unload: room alone helps nobody.
		p.Loads--
	}
	order := Order{Server: best.ID, Op: Load, Model: m, Cold: cold, Why: why}
	if victim != "" {
		next := order
		order = Order{Server: best.ID, Op: Unload, Model: victim, Next: &next, Why: "room for " + m + ": " + why}
		p.copies[victim]--
		delete(best.Held, victim)
	}
	p.orders = append(p.orders, order)
	p.copies[m]++
	best.Held[m] = nil
	return true
}

// load is a server's share of the demand for what it holds, in requests a
// second.
func (p *planner) load(s *Server) float64 {
	total := 0.0
	for m := range s.Held {
		total += p.model[m] / float64(max(p.copies[m], 1))
	}
	return total
}

// victim returns the model that makes way for m at a server. The last copy of
// a model never does, and one whose copies left would be in more demand than m
// does only if m is missing.
func (p *planner) victim(s *Server, m string, missing bool) (string, bool) {
	spec := p.Engine.Models[m]
	best, least := "", 0.0
	for v := range s.Held {
		n := p.copies[v]
		if n < 2 || p.used(s)-p.Engine.Models[v].Size+spec.Size > p.Engine.Memory {
			continue
		}
		after := p.model[v]/float64(n-1) + p.orphaned(s, v)
		if !missing && after*advantage > p.model[m]/float64(p.copies[m]+1) {
			continue
		}
		if best == "" || after < least || after == least && v < best {
			best, least = v, after
		}
	}
	return best, best != ""
}

// orphaned is the demand for adapters that unloading a model would take along,
// and that no other server holds. They come back within milliseconds on another
// copy.
func (p *planner) orphaned(s *Server, m string) float64 {
	total := 0.0
	for _, a := range s.Held[m] {
		if p.holders(m, a) < 2 {
			total += p.Demand[balancer.Key(m, a)]
		}
	}
	return total
}

func (p *planner) holders(m, a string) int {
	n := 0
	for _, s := range p.servers {
		if slices.Contains(s.Held[m], a) {
			n++
		}
	}
	return n
}

func (p *planner) used(s *Server) float64 { return used(p.Engine, s.Held) }

func (p *planner) slots(s *Server) int {
	n := 0
	for _, adapters := range s.Held {
		n += len(adapters)
	}
	return p.Engine.AdapterSlots - n
}

// adapters loads the adapters that no server holds: those in demand, which may
// take an idle one's place, or all others.
func (p *planner) adapters(demanded bool) {
	for _, m := range p.names {
		if p.copies[m] == 0 {
			continue
		}
		held := map[string]bool{}
		for _, s := range p.servers {
			for _, a := range s.Held[m] {
				held[a] = true
			}
		}
		for i := range p.Engine.Models[m].Adapters {
			a := fmt.Sprintf("a%d", i+1)
			key := balancer.Key(m, a)
			wanted := p.Demand[key] > 0 || p.Waiting[key] > 0
			if held[a] || wanted != demanded {
				continue
			}
			p.adapter(m, a, demanded)
		}
	}
}

// adapter orders the load of an adapter, or the unload that makes room.
func (p *planner) adapter(m, a string, evict bool) {
	spec := p.Engine.Models[m]
	var best *Server
	room := 0
	for _, s := range p.servers {
		if _, ok := s.Held[m]; !ok || s.Busy || p.used(s)+spec.AdapterSize > p.Engine.Memory {
			continue
		}
		if n := p.slots(s); n > room {
			best, room = s, n
		}
	}
	if best != nil {
		p.orders = append(p.orders, Order{Server: best.ID, Op: Load, Model: m, Adapter: a, Why: "no server holds the adapter"})
		best.Held[m] = append(slices.Clone(best.Held[m]), a)
		best.Busy = true
		return
	}
	if evict {
		p.evict(m, a)
	}
}

// evict unloads the adapter in least demand at a server that holds m.
func (p *planner) evict(m, a string) {
	var best *Server
	var model, adapter string
	least := p.Demand[balancer.Key(m, a)] + float64(p.Waiting[balancer.Key(m, a)])*waitingDemand
	for _, s := range p.servers {
		if _, ok := s.Held[m]; !ok || s.Busy {
			continue
		}
		for _, vm := range slices.Sorted(maps.Keys(s.Held)) {
			for _, va := range s.Held[vm] {
				d := p.Demand[balancer.Key(vm, va)] / float64(p.holders(vm, va))
				if d*advantage < least {
					best, model, adapter, least = s, vm, va, d
				}
			}
		}
	}
	if best == nil {
		return
	}
	next := Order{Server: best.ID, Op: Load, Model: m, Adapter: a, Why: "no server holds the adapter"}
	p.orders = append(p.orders, Order{Server: best.ID, Op: Unload, Model: model, Adapter: adapter, Next: &next, Why: "room for " + m + "/" + a})
	best.Busy = true
}
