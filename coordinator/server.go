package coordinator

import (
	"maps"
	"slices"
	"time"

	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

// serverState is the last known state of a server.
type serverState struct {
	registration registrar.Server
	loaded       map[string][]string
	// orderCount is how many orders the server has accepted, negative if
	// unknown.
	orderCount int64
	// changedAt is when an order last changed what the server has loaded. The
	// server's registrations are ignored until the registry has caught up.
	changedAt time.Time
	// pending is the order under way, nil for none. No order is sent before
	// busyUntil.
	pending   *serviceplanner.Order
	busyUntil time.Time
}

func (s *serverState) setLoaded(list []registrar.LoadedModel) {
	s.loaded = make(map[string][]string, len(list))
	for _, m := range list {
		s.loaded[m.Model] = m.Adapters
	}
}

// planned returns the server as it will be once the orders under way are
// completed. An unreachable server counts as leaving.
func (s *serverState) planned(now time.Time, unreachable bool) serviceplanner.Server {
	out := serviceplanner.Server{
		ID: s.registration.ID, Zone: s.registration.Zone, Leaving: s.registration.Draining || unreachable,
		Busy: s.pending != nil || now.Before(s.busyUntil), Loaded: maps.Clone(s.loaded), Warm: map[string]bool{},
	}
	if out.Loaded == nil {
		out.Loaded = map[string][]string{}
	}
	for _, m := range slices.Concat(s.registration.InMemory, s.registration.OnDisk) {
		out.Warm[m] = true
	}
	for o := s.pending; o != nil; o = o.Next {
		s.applyOrder(out.Loaded, *o)
	}
	return out
}

// applyOrder changes the loaded models and adapters as an order does.
func (*serverState) applyOrder(loaded map[string][]string, o serviceplanner.Order) {
	switch {
	case o.Op == serviceplanner.Load && o.Adapter == "":
		loaded[o.Model] = nil
	case o.Op == serviceplanner.Load:
		if !slices.Contains(loaded[o.Model], o.Adapter) {
			loaded[o.Model] = append(slices.Clone(loaded[o.Model]), o.Adapter)
		}
	case o.Adapter == "":
		delete(loaded, o.Model)
	default:
		loaded[o.Model] = slices.DeleteFunc(slices.Clone(loaded[o.Model]), func(a string) bool { return a == o.Adapter })
	}
}

// satisfied reports whether the loaded models and adapters are already as the
// order makes them.
func satisfied(loaded map[string][]string, o serviceplanner.Order) bool {
	adapters, ok := loaded[o.Model]
	if o.Adapter != "" {
		ok = slices.Contains(adapters, o.Adapter)
	}
	return ok == (o.Op == serviceplanner.Load)
}
