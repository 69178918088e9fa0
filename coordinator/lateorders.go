package coordinator

import (
	"slices"
	"time"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

const (
	// newServerHeartbeats is up to which heartbeat a server counts as new: it may have started
	// within lateOrderWindow and a term. Servers write less than four a second.
	newServerHeartbeats = 64
	// knownHeartbeats is up to which heartbeat the entries of the lease name a server. It is larger,
	// since a successor may read an older registration.
	knownHeartbeats = newServerHeartbeats + 32
	// maxKnown and maxLateOrders bound an entry of the lease to some 40 KB.
	maxKnown      = 4096
	maxLateOrders = 512
)

// LateOrders is what a successor of the lease holder has to know of orders that may still be
// executed: one to a former process of a server may match the order count of the next one.
type LateOrders struct {
	// Known are the servers that have started of late and that the holder knew, as hashes of their
	// incarnations. Orders that it sent later were to these, or to servers that are not new.
	Known []uint32 `msgpack:"k"`
	// Orders are the orders without an answer.
	Orders []LateOrder `msgpack:"o"`
	// Open is for how long servers that are new and not Known may be concerned by orders of earlier
	// holders.
	Open time.Duration `msgpack:"p"`
	// Exact is set if the holder has sent no order since.
	Exact bool `msgpack:"x"`
}

// LateOrder is an order that may be executed for some time by a server that was another
// incarnation when it was sent.
type LateOrder struct {
	Server      string        `msgpack:"s"`
	Incarnation uint32        `msgpack:"h"`
	Left        time.Duration `msgpack:"l"`
}

// unansweredOrder may still be executed by a server that was another incarnation when it was sent.
type unansweredOrder struct {
	// incarnation is the hash of the incarnation, zero if the orders are of several ones.
	incarnation uint32
	until       time.Time
}

// formerOrders are the orders of earlier holders that no entry of the lease names.
type formerOrders struct {
	// until is when the last of them can no longer be executed.
	until time.Time
	// known are the new servers that none of them concerns.
	known []uint32
}

// concern reports whether one of the orders may be to a former process of a server.
func (f *formerOrders) concern(now time.Time, s registrar.Server) bool {
	return now.Before(f.until) && s.Heartbeat <= newServerHeartbeats && !slices.Contains(f.known, shortHash(s.Incarnation))
}

// formerUntil returns until when one of the orders of earlier holders may be executed by a server
// that was another incarnation when it was sent. r.mu must be held.
func (r *reconciler) formerUntil(now time.Time, s registrar.Server) time.Time {
	if !r.former.concern(now, s) {
		return time.Time{}
	}
	until := r.cluster.formerProcessUntil(now, s)
	if r.former.until.Before(until) {
		return r.former.until
	}
	return until
}

func shortHash(incarnation string) uint32 { return uint32(balancer.Hash(incarnation)) }

// adoptLateOrders takes over the orders of earlier holders that may still be executed. r.mu must be
// held.
func (r *reconciler) adoptLateOrders(h Handover) {
	r.planned = false
	if !h.HadHolder {
		return
	}
	if h.Late == nil {
		// As builds before formats 4 follow each other: a wait would cost callers in each upgrade.
		return
	}
	now := r.Clock.Now()
	last := now.Add(orderTimeout + lateOrderWindow - h.Elapsed)
	r.former = formerOrders{until: last, known: h.Late.Known}
	if h.Late.Exact && h.Released {
		r.former.until = now.Add(h.Late.Open)
	}
	for _, o := range h.Late.Orders {
		until := now.Add(o.Left)
		if last.Before(until) {
			until = last
		}
		if now.Before(until) {
			r.addUnanswered(o.Server, unansweredOrder{o.Incarnation, until})
		}
	}
}

// addUnanswered adds an order that may be executed until a time. r.mu must be held.
func (r *reconciler) addUnanswered(server string, u unansweredOrder) {
	if old, ok := r.unanswered[server]; ok && r.Clock.Now().Before(old.until) {
		if old.incarnation != u.incarnation {
			u.incarnation = 0
		}
		u.until = latest(u.until, old.until)
	}
	r.unanswered[server] = u
}

// lateUntil returns until when an order to a former process of a server may be executed. r.mu must
// be held.
func (r *reconciler) lateUntil(s *serverState) time.Time {
	until := s.formerUntil
	if u, ok := r.unanswered[s.registration.ID]; ok && u.incarnation != shortHash(s.registration.Incarnation) {
		until = latest(until, u.until)
	}
	return until
}

// lateOrders returns what a successor has to know if this instance sends no orders but to the
// servers that it knows now. It reports false if this term has planned none yet.
func (r *reconciler) lateOrders() (*LateOrders, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.planned {
		return nil, false
	}
	now := r.Clock.Now()
	out := &LateOrders{Open: max(r.former.until.Sub(now), 0)}
	for id, u := range r.unanswered {
		if now.Before(u.until) {
			out.Orders = append(out.Orders, LateOrder{id, u.incarnation, u.until.Sub(now)})
		}
	}
	if len(out.Orders) > maxLateOrders {
		// The successor then takes all new servers to be concerned.
		return &LateOrders{Open: orderTimeout + lateOrderWindow}, true
	}
	for _, s := range r.servers {
		// One that waits for orders of earlier holders has to wait under the successor, too.
		waits := now.Before(s.formerUntil)
		if s.registration.Heartbeat <= knownHeartbeats && !waits && len(out.Known) < maxKnown {
			out.Known = append(out.Known, shortHash(s.registration.Incarnation))
		}
	}
	return out, true
}

// lateOrders returns what the entry says of late orders, nil if it is of a build before formats 4. An
// entry that is not known says that no server is known.
func (e Entry) lateOrders() *LateOrders {
	if e.Late == nil && e.Instance == "unknown" {
		return &LateOrders{}
	}
	return e.Late
}

// updateLate sets the orders that may still be executed, and reports false if those of earlier
// holders are the last ones.
func (e *Entry) updateLate(lateOrders func() (*LateOrders, bool)) bool {
	if lateOrders == nil {
		return false
	}
	late, ok := lateOrders()
	if ok {
		e.Late = late
	}
	return ok
}

// expectAnswer records, before an order is sent, that it may get no answer. The function that it
// returns records that it has got one.
func (x *execution) expectAnswer() (answered func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	id := x.server.ID
	before, had := x.unanswered[id]
	x.addUnanswered(id, unansweredOrder{shortHash(x.server.Incarnation), x.Clock.Now().Add(orderTimeout + lateOrderWindow)})
	expected := x.unanswered[id]
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		switch {
		case x.unanswered[id] != expected:
		case had:
			x.unanswered[id] = before
		default:
			delete(x.unanswered, id)
		}
	}
}

// endExecution ends the execution of an order to a server that has started again. r.mu must be held.
func (r *reconciler) endExecution(s *serverState) {
	for x, end := range r.running {
		if x.state == s {
			end()
		}
	}
}
