// Package admitter decides for a request that meets busy servers whether it waits or is refused,
// and when a refused one should come back. It does no I/O and reads no clock.
package admitter

import "time"

const (
	// holdShare is the share of the time that a client bears for which a request that will be
	// late is predicted to wait at most. The rest covers errors of the prediction: a request that
	// is held in vain costs its client more than one that is refused at once.
	holdShare = 0.7
	// minSurplusShare is the least share of the servers' capacity that must be left by requests
	// on time for late ones to wait for it. Less is within the error of the rates.
	minSurplusShare = 0.05
	// returnShare is the share of an instance's part of the capacity that refused requests which
	// come back are given. New requests need the rest.
	returnShare = 0.5
	// maxReturn bounds the time after which a refused request comes back.
	maxReturn = 20 * time.Second
)

// Request is a request that no server has room for now.
type Request struct {
	// OnTimeWait is the longest wait with which its answer is on time, LongestWait the longest
	// that its client bears.
	OnTimeWait, LongestWait time.Duration
}

// Load is what a request meets, over all instances as far as that is known.
type Load struct {
	// Ahead is the number of requests that go before it if it can be on time, LateAhead that of
	// those that go before it if it can't.
	Ahead, LateAhead float64
	// Rate is the rate per second at which requests lately got a server, Capacity that at which
	// they would if all slots of the servers were in use, zero if it is not known: then nothing
	// says that there is capacity to spare. OnTimeRate is
	// the rate at which requests that could be on time got one, over a longer time.
	Rate, Capacity, OnTimeRate float64
}

// Verdict says what happens to a request.
type Verdict int

// The verdicts.
const (
	// OnTime means that the request waits and can be on time.
	OnTime Verdict = iota
	// Late means that the request waits behind those that can be on time.
	Late
	// NoCapacity means that it is refused, since requests on time need all capacity.
	NoCapacity
	// TooLong means that it is refused, since its client would leave before its turn.
	TooLong
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"on time", "late", "no capacity", "too long"}[v]
}

// Waits reports whether the request waits for a server.
func (v Verdict) Waits() bool { return v == OnTime || v == Late }

// Decision is the decision on a request.
type Decision struct {
	Verdict Verdict
	// Wait is how long it is predicted to wait, as one that can be on time unless the verdict is
	// Late or TooLong.
	Wait time.Duration
	// RetryAfter is after how long a refused one would be admitted if no other one came back
	// before it.
	RetryAfter time.Duration
}

// Decide decides on a request.
func Decide(q Request, l Load) Decision {
	wait := seconds(l.Ahead, l.Rate)
	if wait <= q.OnTimeWait {
		return Decision{Verdict: OnTime, Wait: wait}
	}
	refused := Decision{Verdict: NoCapacity, Wait: wait, RetryAfter: wait - q.OnTimeWait}
	late, ok := LateWait(l)
	if !ok {
		return refused
	}
	hold := time.Duration(holdShare * float64(q.LongestWait))
	if late <= hold {
		return Decision{Verdict: Late, Wait: late}
	}
	return Decision{Verdict: TooLong, Wait: late, RetryAfter: min(refused.RetryAfter, late-max(hold, 0))}
}

// LateWait predicts how long a request that can't be on time waits for what requests on time leave
// of the capacity. It reports false if they leave none.
func LateWait(l Load) (time.Duration, bool) {
	surplus := l.Capacity - l.OnTimeRate
	if surplus <= 0 || surplus < minSurplusShare*l.Capacity {
		return 0, false
	}
	return seconds(l.LateAhead, surplus), true
}

func seconds(count, rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(count / rate * float64(time.Second))
}
