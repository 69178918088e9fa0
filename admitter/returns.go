package admitter

import (
	"slices"
	"time"
)

// maxReturns bounds the refused requests that are remembered until they come back.
const maxReturns = 1024

// Returns has the times at which refused requests come back. The zero value has none. It is not safe
// for concurrent use.
type Returns struct {
	// due is in order of time.
	due []time.Time
}

// Reserve returns after how long a refused request should come back that would be admitted after a
// time if no other one came back. Each second so many others are served, at this instance, as the
// rate says; refused requests are given a part of that.
func (r *Returns) Reserve(now time.Time, admissible time.Duration, rate float64) time.Duration {
	r.due = slices.DeleteFunc(r.due, func(t time.Time) bool { return t.Before(now) })
	limit := now.Add(maxReturn)
	at := now.Add(admissible)
	interval := maxReturn
	if rate > 0 {
		interval = min(time.Duration(float64(time.Second)/(returnShare*rate)), maxReturn)
	}
	i := 0
	for ; i < len(r.due); i++ {
		if r.due[i].Sub(at) >= interval {
			break
		}
		if next := r.due[i].Add(interval); next.After(at) {
			at = next
		}
	}
	if at.After(limit) && admissible < maxReturn {
		return maxReturn
	}
	if len(r.due) < maxReturns {
		r.due = slices.Insert(r.due, i, at)
	}
	return at.Sub(now)
}
