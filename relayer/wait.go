package relayer

import (
	"time"

	"primrosehook/balancer"
)

const (
	// maxAdmissions is how often a request asks to be admitted to a brittle server, as long as
	// the pauses between are no longer than maxAdmissionWait, before it goes elsewhere.
	maxAdmissions    = 4
	maxAdmissionWait = 20 * time.Millisecond
)

// takeServer chooses a server. The request waits while all servers are busy or
// none has its model loaded, as long as an answer in time is still possible. Once
// the request's context has ended no server is chosen.
func (x *exchange) takeServer() (*balancer.Assignment, balancer.Status) {
	x.delays = nil
	for {
		began := x.clock.Now()
		assignment, status := x.fleet.Await(x.context, x.waits.Done(), x.service, x.query)
		x.recordDelay(waitServer, began)
		if assignment == nil {
			return nil, status
		}
		if assignment.Late() {
			x.meter.Add(MetricAdmittedLate, 1)
		}
		sendable := x.waitForSlot(assignment) && x.withinRateLimit(assignment) && x.admitted(assignment)
		switch {
		case sendable && x.context.Err() != nil:
			assignment.Cancel()
			x.pass.End(false)
			return nil, balancer.Ended
		case sendable:
			return assignment, status
		}
	}
}

// withinRateLimit reports whether the request may be sent now, by the rate limit that the
// server names and by its refusals. If not, the assignment is cancelled.
func (x *exchange) withinRateLimit(assignment *balancer.Assignment) bool {
	// The server may have refused another request while this one waited for its slot.
	if wait := assignment.RestTime(); wait > 0 {
		assignment.RateLimit(wait)
		return false
	}
	defer x.recordDelay(waitRate, x.clock.Now())
	wait, ok := x.throttle.Acquire(x.context, assignment.Incarnation)
	switch {
	case ok:
	case x.context.Err() != nil:
		assignment.Cancel()
	default:
		x.meter.Add(MetricRateLimited, 1)
		assignment.RateLimit(wait)
	}
	return ok
}

// admitted reports whether the request may be sent to its server, if that is brittle. If it is
// not, the assignment is cancelled.
func (x *exchange) admitted(assignment *balancer.Assignment) bool {
	defer x.recordDelay(waitAdmission, x.clock.Now())
	pause := maxAdmissionWait
	for range maxAdmissions {
		pass, wait, ok := x.sparer.Admit(x.context, x.service, assignment.Incarnation)
		if ok {
			x.pass = pass
			return true
		}
		if wait > maxAdmissionWait {
			pause = wait
			break
		}
		if !x.sleep(wait) {
			break
		}
	}
	if x.context.Err() != nil {
		assignment.Cancel()
		return false
	}
	x.meter.Add(MetricSpared, 1)
	assignment.RateLimit(pause)
	return false
}

// waitForSlot reserves a slot in the server's schedule for the prompt and waits
// for it. It reports false if there is no slot soon enough, and postpones the
// assignment, or if the request's context has ended, and cancels it.
func (x *exchange) waitForSlot(assignment *balancer.Assignment) bool {
	if !x.query.NeedsReservation {
		x.recordHeld(assignment, 0, false)
		return true
	}
	defer x.recordDelay(waitSlot, x.clock.Now())
	reservation, err := x.pacer.Reserve(x.context, assignment.Incarnation, x.query.PrefillTokens(), x.route.MaxEventGap, assignment.EngineLoad())
	switch {
	case x.context.Err() != nil:
		x.pacer.Release(assignment.Incarnation, reservation)
		assignment.Cancel()
		return false
	case err != nil:
		// Without a reply the request is sent at once: the server was chosen by
		// the in-flight counts known on this instance.
		assignment.ClearReservation()
		x.recordHeld(assignment, 0, false)
		return true
	case !reservation.Reserved:
		assignment.Postpone(reservation.Wait)
		return false
	}
	held, known := reservation.Held()
	x.recordHeld(assignment, held, known)
	assignment.RecordReservation(reservation.Wait)
	if reservation.Wait > 0 && !x.sleep(reservation.Wait) {
		x.pacer.Release(assignment.Incarnation, reservation)
		assignment.Cancel()
		return false
	}
	return true
}

// sleep waits for a time. It reports false if the request's context has ended by then.
func (x *exchange) sleep(d time.Duration) bool {
	select {
	case <-x.clock.After(d):
	case <-x.context.Done():
	}
	return x.context.Err() == nil
}
