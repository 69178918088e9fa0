package coordinator

import (
	"maps"
	"slices"
	"time"

	"primrosehook/registrar"
	"primrosehook/stocker"
)

// belief is what the coordinator takes a server to hold.
type belief struct {
	server registrar.Server
	held   map[string][]string
	// orders is the server's count of orders, negative if it is not known.
	orders int64
	// changed is when an order last changed what the server holds. Until the
	// registry has caught up, it is not heard.
	changed time.Time
	pending *stocker.Order
	until   time.Time
}

func (b *belief) adopt(list []registrar.Holding) {
	b.held = make(map[string][]string, len(list))
	for _, h := range list {
		b.held[h.Model] = h.Adapters
	}
}

// planned returns a server as it will be once what is under way is done.
func (b *belief) planned(now time.Time, down bool) stocker.Server {
	s := stocker.Server{
		ID: b.server.ID, Zone: b.server.Zone, Leaving: b.server.Draining || down,
		Busy: b.pending != nil || now.Before(b.until), Held: maps.Clone(b.held), Warm: map[string]bool{},
	}
	if s.Held == nil {
		s.Held = map[string][]string{}
	}
	for _, m := range slices.Concat(b.server.InMemory, b.server.OnDisk) {
		s.Warm[m] = true
	}
	for o := b.pending; o != nil; o = o.Next {
		b.apply(s.Held, *o)
	}
	return s
}

// apply changes holdings as an order does.
func (*belief) apply(held map[string][]string, o stocker.Order) {
	switch {
	case o.Op == stocker.Load && o.Adapter == "":
		held[o.Model] = nil
	case o.Op == stocker.Load:
		if !slices.Contains(held[o.Model], o.Adapter) {
			held[o.Model] = append(slices.Clone(held[o.Model]), o.Adapter)
		}
	case o.Adapter == "":
		delete(held, o.Model)
	default:
		held[o.Model] = slices.DeleteFunc(slices.Clone(held[o.Model]), func(a string) bool { return a == o.Adapter })
	}
}

// carried reports whether what a server holds is as the order wants it.
func carried(held map[string][]string, o stocker.Order) bool {
	adapters, ok := held[o.Model]
	if o.Adapter != "" {
		ok = slices.Contains(adapters, o.Adapter)
	}
	return ok == (o.Op == stocker.Load)
}
