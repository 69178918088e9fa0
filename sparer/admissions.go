package sparer

import (
	"maps"
	"time"
)

// Admissions is a Gate that knows its requests by their IDs, so that only the end of a request
// that was let through frees its place. An instance whose call is not answered in time reports
// the end although the request may not have been let through. It does no I/O and is not safe
// for concurrent use.
type Admissions struct {
	Gate
	// admitted is when each request in flight was let through, ended when the end of a request
	// was reported that was not let through until then.
	admitted, ended map[uint64]time.Time
	sweptAt         time.Time
}

// Admit is Take for the request with an ID, zero if it has none. A request whose end is known is
// not let through.
func (a *Admissions) Admit(now time.Time, id uint64, bears int) (wait time.Duration, ok bool) {
	a.sweep(now)
	if _, ended := a.ended[id]; ended {
		return settleTime, false
	}
	wait, ok = a.Take(now, bears)
	if ok && id != 0 {
		if a.admitted == nil {
			a.admitted = map[uint64]time.Time{}
		}
		a.admitted[id] = now
	}
	return wait, ok
}

// Record records the end of the request with an ID, or that the server refused it. It reports
// false if the request was not let through. The end of a request without an ID, of an earlier
// build, counts as that of one that was.
func (a *Admissions) Record(now time.Time, id uint64, bears int, refused bool) bool {
	a.sweep(now)
	if id != 0 {
		at, ok := a.admitted[id]
		delete(a.admitted, id)
		if !ok {
			if a.ended == nil {
				a.ended = map[uint64]time.Time{}
			}
			a.ended[id] = now
		}
		if !ok || now.Sub(at) > holdTTL {
			return false
		}
	}
	if refused {
		a.Refuse(now, bears)
	} else {
		a.Release(now)
	}
	return true
}

// sweep forgets requests after holdTTL, as the gate does.
func (a *Admissions) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < holdTTL {
		return
	}
	a.sweptAt = now
	expired := func(_ uint64, at time.Time) bool { return now.Sub(at) > holdTTL }
	maps.DeleteFunc(a.admitted, expired)
	maps.DeleteFunc(a.ended, expired)
}
