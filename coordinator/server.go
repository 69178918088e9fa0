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
	// unsettled are the unloads that were given up and may still be executed.
	unsettled []unsettledUnload
}

// unsettledUnload is an unload that may be executed until a time, as long as the
// server has not accepted more than expected orders.
type unsettledUnload struct {
	order    serviceplanner.Order
	expected int64
	until    time.Time
}

// addUnsettled adds an unload that was given up now.
func (s *serverState) addUnsettled(now time.Time, o serviceplanner.Order, expected int64) {
	s.unsettled = slices.DeleteFunc(s.unsettled, func(u unsettledUnload) bool { return !now.Before(u.until) })
	s.unsettled = append(s.unsettled, unsettledUnload{order: o, expected: expected, until: now.Add(lateOrderWindow)})
}

// settle drops the unloads that a report shows to be executed or refused. A server
// may still be executing one while it is busy, and one of an adapter also when it
// is not.
func (s *serverState) settle(r ServerReport) {
	if r.Busy {
		return
	}
	loaded := loadedModels(r.Loaded)
	s.unsettled = slices.DeleteFunc(s.unsettled, func(u unsettledUnload) bool {
		return r.Orders > u.expected && (u.order.Adapter == "" || satisfied(loaded, u.order))
	})
}

func (s *serverState) setLoaded(list []registrar.LoadedModel) { s.loaded = loadedModels(list) }

// loadedModels maps each model to its adapters.
func loadedModels(list []registrar.LoadedModel) map[string][]string {
	loaded := make(map[string][]string, len(list))
	for _, m := range list {
		loaded[m.Model] = m.Adapters
	}
	return loaded
}

// plannerInput returns the server as the planner gets it. An unavailable server
// counts as leaving.
func (s *serverState) plannerInput(now time.Time, unavailable bool) serviceplanner.Server {
	in := serviceplanner.Server{
		ID: s.registration.ID, Zone: s.registration.Zone, Build: s.registration.Build, Leaving: s.registration.Draining || unavailable,
		Busy: s.pending != nil || now.Before(s.busyUntil), Loaded: s.loaded, Pending: s.pending, Warm: map[string]bool{},
	}
	for _, u := range s.unsettled {
		if now.Before(u.until) {
			in.Unsettled = append(in.Unsettled, u.order)
		}
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
