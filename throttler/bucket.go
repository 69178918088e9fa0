package throttler

import "time"

// burst is how far requests may run ahead of their rate.
const burst = 250 * time.Millisecond

// Bucket lets requests through at a rate, which is above zero. It is not safe for concurrent use.
type Bucket struct {
	// next is when the next request is due, interval the time between two.
	next     time.Time
	interval time.Duration
}

// NewBucket returns a bucket that is empty: the first request is let through after
// the time between two, less the burst.
func NewBucket(now time.Time, perSecond float64) *Bucket {
	interval := intervalOf(perSecond)
	return &Bucket{next: now.Add(interval), interval: interval}
}

func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// Take lets a request through, or returns the time until the next one.
func (b *Bucket) Take(now time.Time, perSecond float64) (wait time.Duration, ok bool) {
	if interval := intervalOf(perSecond); interval != b.interval {
		// The last request was let through one interval before next.
		b.next = b.next.Add(interval - b.interval)
		b.interval = interval
	}
	if wait := b.next.Sub(now) - burst; wait > 0 {
		return wait, false
	}
	if b.next.Before(now) {
		b.next = now
	}
	b.next = b.next.Add(b.interval)
	return 0, true
}

// Idle reports whether the bucket is as good as a new one.
func (b *Bucket) Idle(now time.Time) bool { return now.Sub(b.next) > time.Minute }
