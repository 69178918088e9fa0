// Package pacer limits the rate of prompts that all instances together send to
// one server.
//
// An engine prefills prompts in chunks between the decoding steps of running
// streams. While it prefills without a break, every step takes some ten times as
// long, and all its streams pause. Exchanged in-flight counts arrive too late to
// prevent that: when a server has capacity again, all instances see it at once
// and send. So one instance owns the schedule of each server, and the others
// reserve a slot there before they send. A lost schedule only means that prompts
// are not limited for a moment.
package pacer

import (
	"slices"
	"time"
)

// Limits bounds the prompts that are sent to a server.
type Limits struct {
	// Window is the time over which prompts are summed, Tokens what may be sent
	// in any span of that length. A longer prompt is sent alone.
	Window time.Duration
	Tokens int
	// MaxWait is how far ahead a slot may be reserved.
	MaxWait time.Duration
}

type reservation struct {
	at     time.Time
	tokens int
	// id is what the reservation is released by, zero for none.
	id uint64
}

// Schedule holds the prompts that were sent to one server lately or have a
// reservation. It is not safe for concurrent use.
type Schedule struct {
	reservations []reservation
}

// Reserve reserves the earliest slot for a prompt that the limits allow, and
// returns the time until then. If that is longer than MaxWait it reserves
// nothing, and returns false and the time after which to ask again.
func (s *Schedule) Reserve(now time.Time, id uint64, tokens int, limits Limits) (time.Duration, bool) {
	limits.Tokens = max(limits.Tokens, 1)
	s.reservations = slices.DeleteFunc(s.reservations, func(r reservation) bool { return now.Sub(r.at) >= limits.Window })
	sum := 0
	for _, r := range s.reservations {
		sum += r.tokens
	}
	at := now
	for _, r := range s.reservations {
		if sum+tokens <= limits.Tokens {
			break
		}
		at = r.at.Add(limits.Window)
		sum -= r.tokens
	}
	wait := at.Sub(now)
	if wait > limits.MaxWait {
		return wait - limits.MaxWait, false
	}
	s.add(at, id, tokens, limits)
	return wait, true
}

// add adds a reservation, for a prompt of more than limits.Tokens one in each of
// several successive windows.
func (s *Schedule) add(at time.Time, id uint64, tokens int, limits Limits) {
	for ; tokens > 0; tokens -= limits.Tokens {
		s.reservations = append(s.reservations, reservation{at, min(tokens, limits.Tokens), id})
		at = at.Add(limits.Window)
	}
	slices.SortStableFunc(s.reservations, func(x, y reservation) int { return x.at.Compare(y.at) })
}

// Release gives back a reservation as far as its time is still to come.
func (s *Schedule) Release(now time.Time, id uint64) {
	s.reservations = slices.DeleteFunc(s.reservations, func(r reservation) bool { return id != 0 && r.id == id && r.at.After(now) })
}

// Idle reports whether no reservation counts any more.
func (s *Schedule) Idle(now time.Time, window time.Duration) bool {
	return !slices.ContainsFunc(s.reservations, func(r reservation) bool { return now.Sub(r.at) < window })
}
