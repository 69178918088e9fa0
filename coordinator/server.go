package coordinator

import (
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

// plannerInput returns the server as the planner gets it. An unreachable server
// counts as leaving.
func (s *serverState) plannerInput(now time.Time, unreachable bool) serviceplanner.Server {
	in := serviceplanner.Server{
		ID: s.registration.ID, Zone: s.registration.Zone, Leaving: s.registration.Draining || unreachable,
		Busy: s.pending != nil || now.Before(s.busyUntil), Loaded: s.loaded, Pending: s.pending, Warm: map[string]bool{},
	}
	for _, m := range slices.Concat(s.registration.InMemory, s.registration.OnDisk) {
		in.Warm[m] = true
	}
	return in
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
