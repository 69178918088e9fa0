package coordinator

import (
	"slices"
	"time"

	"primrosehook/registrar"
	"primrosehook/serviceplanner"
)

// serverState is what is known of a server.
type serverState struct {
	registration registrar.Server
	// heartbeatReadAt is when the registration's heartbeat was first read.
	heartbeatReadAt time.Time
	// loaded maps each model that the server is taken to have loaded to its adapters. It is what
	// the server had loaded after it had accepted orderCount orders; that is negative if loaded may
	// be wrong, and no order is sent then.
	loaded     map[string][]string
	orderCount int64
	// cached are the models whose weights the server has copies of, if cachedKnown is set, loadedAt
	// is when the last load of a model was completed.
	cached      []string
	cachedKnown bool
	loadedAt    time.Time
	// changedAt is when an order or the server's reports last changed loaded. Registrations that
	// may be older are passed over.
	changedAt time.Time
	// pending is the order under way, nil for none. No order is sent before
	// busyUntil.
	pending   *serviceplanner.Order
	busyUntil time.Time
	// lateUntil is until when an order to a former process of the server may be executed,
	// formerUntil the same for those of earlier lease holders that no entry of the lease names.
	lateUntil, formerUntil time.Time
	// unsettled are the unloads that were given up and may still be executed.
	unsettled []unsettledUnload
	// unsettledLoads are the loads from the weight store that were given up and may still begin.
	unsettledLoads []unsettledLoad
}

// unsettledLoad is a load that may begin as long as the server has not accepted more than expected
// orders.
type unsettledLoad struct {
	load     *ColdLoad
	expected int64
}

// settleLoads settles the loads that a server with a number of accepted orders has begun or
// never will.
func (s *serverState) settleLoads(now time.Time, orders int64) {
	s.unsettledLoads = slices.DeleteFunc(s.unsettledLoads, func(l unsettledLoad) bool {
		if orders > l.expected {
			l.load.BeginsBy(now)
		}
		return orders > l.expected
	})
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

func (s *serverState) confirmed() bool { return s.orderCount >= 0 }

// confirm records the state that a server's reports have shown.
func (s *serverState) confirm(now time.Time, r ServerReport) {
	s.settle(r)
	s.settleLoads(now, r.Orders)
	s.orderCount, s.changedAt = r.Orders, now
	s.cached, s.cachedKnown = r.Cached, true
	s.setLoaded(r.Loaded)
}

// invalidate makes the next order wait for the server's reports.
func (s *serverState) invalidate() { s.orderCount, s.cachedKnown = -1, false }

// updateRegistration applies a registration. One that was written after the last change and shows
// something else loaded means that an unknown order was executed, so the reports are asked.
func (s *serverState) updateRegistration(r registrar.Server) {
	if s.heartbeatReadAt.IsZero() || r.Heartbeat != s.registration.Heartbeat {
		s.heartbeatReadAt = r.ReadAt
	}
	s.registration = r
	if s.pending != nil || s.heartbeatReadAt.Sub(s.changedAt) <= maxRegistryLag || s.confirmed() && sameLoaded(s.loaded, loadedModels(r.Loaded)) {
		return
	}
	s.invalidate()
	s.setLoaded(r.Loaded)
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
		Loaded: s.loaded, Pending: s.pending, Warm: map[string]bool{},
	}
	in.Late = s.pending == nil && now.Before(s.lateUntil)
	in.Failed = s.pending == nil && !in.Late && now.Before(s.busyUntil)
	in.Busy = s.pending != nil || in.Late || in.Failed
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
