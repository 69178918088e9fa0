package balancer

import "time"

// RecordReservation records that the request has a reservation at the server,
// which starts after a wait.
func (a *Assignment) RecordReservation(wait time.Duration) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.RecordReservation(f.clock.Now(), a.ID, wait, 0)
	}
	f.dispatch(a.service)
}

// ClearReservation records that the owner of the server's schedule did not
// reply.
func (a *Assignment) ClearReservation() {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := a.core(); ok {
		c.ClearReservation(a.ID)
	}
	f.dispatch(a.service)
}

// Postpone is Cancel for a server whose schedule has no slot soon enough. No
// reservation is requested there before the pause is over.
func (a *Assignment) Postpone(pause time.Duration) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.queue(a.service).RevokeGrant(now, a.request)
	if c, ok := a.core(); ok {
		c.Cancel(a.ID, a.request)
		c.RecordReservation(now, a.ID, pause, pause)
	}
	f.dispatchAfter(a.service, pause)
}

// RateLimit is Cancel for a server that may get the next request only after a
// pause, according to the rate limit that it names.
func (a *Assignment) RateLimit(pause time.Duration) {
	f := a.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.queue(a.service).RevokeGrant(now, a.request)
	if c, ok := a.core(); ok {
		c.Cancel(a.ID, a.request)
		c.SetRateLimited(a.ID, now.Add(pause))
	}
	f.dispatchAfter(a.service, pause)
}

// dispatch assigns servers to the waiting requests of a service.
func (f *Fleet) dispatch(service string) {
	f.refuseHopelessPlain(f.clock.Now(), service)
	f.refuseHopeless(f.clock.Now(), service)
	f.queue(service).Serve(f.clock.Now(), func(w *Waiter) bool {
		a, status := f.take(service, w.Request)
		if status != Found {
			return false
		}
		if w.awaitsReplica {
			f.stopAwaiting(service, w.Request)
		}
		w.granted <- a
		return true
	})
}

// dispatchAfter dispatches the waiting requests of a service after a delay.
func (f *Fleet) dispatchAfter(service string, pause time.Duration) {
	f.clock.AfterFunc(pause, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dispatch(service)
	})
}

func (f *Fleet) dispatchAll() {
	for service := range f.queues {
		f.dispatch(service)
	}
}
