// Package reporter chooses the instance that this one reports to: the lease holder, or while it does
// not reply one of its deputies. Usage caps, budgets and counts of requests are kept by those that
// receive reports, so each change of the receiver costs callers.
package reporter

import (
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// backoff is how long no report is sent to an instance that has not replied, or does not hold the
	// lease.
	backoff = time.Second
	// staleBackoff is how long a deputy that does not read the store is passed over for others.
	staleBackoff = 5 * time.Second
)

// Receivers are the instances that may receive reports. It is not safe for concurrent use.
type Receivers struct {
	clock clockwork.Clock
	// holder is the lease holder by the last reply that named one, follows what the lease's log
	// named then.
	holder, follows string
	// until is until when an instance gets no reports.
	until map[string]time.Time
	// stale is until when a deputy is passed over for others, starting the one that did not read
	// the store at its last reply, which may only just have become a deputy.
	stale    map[string]time.Time
	starting string
}

// New returns receivers of which nothing is known.
func New(clock clockwork.Clock) *Receivers {
	return &Receivers{clock: clock, until: map[string]time.Time{}, stale: map[string]time.Time{}}
}

// Next returns the receiver of the next report, empty if there is none. logged is the lease holder by the
// lease's log as far as this instance has read it, deputies are those to ask in their order.
func (r *Receivers) Next(logged string, deputies []string) (address string, deputy bool) {
	holder := logged
	if r.holder != "" && r.follows == logged {
		holder = r.holder
	}
	if holder != "" && !r.backsOff(holder) {
		return holder, false
	}
	address = r.nextDeputy(deputies)
	return address, address != ""
}

// nextDeputy returns the first deputy that may read the store, or the first one if none does.
func (r *Receivers) nextDeputy(deputies []string) string {
	now, first := r.clock.Now(), ""
	for _, d := range deputies {
		if r.backsOff(d) {
			continue
		}
		if !now.Before(r.stale[d]) {
			return d
		}
		if first == "" {
			first = d
		}
	}
	return first
}

func (r *Receivers) backsOff(address string) bool { return r.clock.Now().Before(r.until[address]) }

// BackOff records that an instance did not reply, or that its reply does not count.
func (r *Receivers) BackOff(address string) {
	if address == r.holder {
		r.holder = ""
	}
	r.until[address] = r.clock.Now().Add(backoff)
}

// SetHolder records the lease holder, empty for none, that a reply has named while the lease's log named
// another one.
func (r *Receivers) SetHolder(address, logged string) { r.holder, r.follows = address, logged }

// DeputyReplied records the reply of a deputy. fresh is set if it reads the store at its usual pace. It
// returns whether this instance stays with it, and whether it may begin to read the store soon.
func (r *Receivers) DeputyReplied(deputy string, fresh bool, deputies []string) (serves, starts bool) {
	if fresh {
		r.starting = ""
		delete(r.stale, deputy)
		return true, false
	}
	now := r.clock.Now()
	if until, known := r.stale[deputy]; r.starting != deputy && (!known || now.Sub(until) > staleBackoff) {
		r.starting = deputy
		return true, true
	}
	r.starting = ""
	r.stale[deputy] = now.Add(staleBackoff)
	return r.nextDeputy(deputies) == deputy, false
}
