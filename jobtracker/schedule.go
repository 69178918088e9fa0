package jobtracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosehook/judge"
)

// Bounds of the backoff between two attempts of a job.
const (
	firstBackoff = time.Second
	maxBackoff   = time.Minute
)

// Attempts is an instance's record of its own attempts of a job.
type Attempts struct {
	Running bool
	// Failed is the number of failed attempts.
	Failed int
	// After is when the next attempt may start.
	After time.Time
	// Reason is the reason of the last failure.
	Reason string
}

// Next returns up to limit jobs to start now, without those that run or back off:
// first by deadline, with jobs without a deadline last, then by priority, the
// highest first, and by the time of acceptance.
func Next(open []Job, attempts map[string]Attempts, now time.Time, limit int) []Job {
	var ready []Job
	for _, j := range open {
		t := attempts[j.ID]
		if !t.Running && !now.Before(t.After) {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b Job) int {
		return cmp.Or(
			cmp.Compare(sortDeadline(a), sortDeadline(b)),
			cmp.Compare(b.Priority, a.Priority),
			cmp.Compare(a.Time, b.Time),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ready[:max(0, min(limit, len(ready)))]
}

// sortDeadline returns the deadline as a sort key, with none last.
func sortDeadline(j Job) int64 {
	if j.Deadline == 0 {
		return math.MaxInt64
	}
	return j.Deadline
}

// Fail returns the record after another failed attempt, with the backoff until
// the next.
func (t Attempts) Fail(id string, err error, now time.Time) Attempts {
	backoff := min(maxBackoff, firstBackoff<<min(t.Failed, 10))
	// The jitter depends on the ID, so that many jobs that failed together are
	// not retried at the same time.
	jitter := time.Duration(xxhash.Sum64String(id) % uint64(backoff/2))
	return Attempts{Failed: t.Failed + 1, After: now.Add(backoff/2 + jitter), Reason: judge.As(err).Reason}
}

// DoneEntry returns the done entry of a job after an attempt, or false if the job
// is retried. A refusal that a retry can't change ends the job at once. Otherwise
// it is retried until the grace time after its deadline, if it has one, since a
// late result is worth more than none.
func DoneEntry(j Job, result []byte, err error, now time.Time, grace time.Duration) (Done, bool) {
	d := Done{ID: j.ID, Time: now.UnixMilli()}
	if err == nil {
		d.Result = result
		return d, true
	}
	r := judge.As(err)
	d.Failed = true
	d.Reason = r.Reason
	if r.Verdict == judge.NotRun && r.RetryAfter == 0 {
		return d, true
	}
	if j.Deadline != 0 && now.After(time.UnixMilli(j.Deadline).Add(grace)) {
		d.Reason = "not done within its bound: " + r.Reason
		return d, true
	}
	return d, false
}
