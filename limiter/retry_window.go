package limiter

import "time"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 10

// RetryWindow limits retries over a sliding window: within any window, retries are at
// most share * fresh requests + slack. Unlike RetryBudget, it lets a burst of retries
// use the whole allowance of the window. It is not safe for concurrent use.
type RetryWindow struct {
	share, slack float64
	bucketLength time.Duration
	// origin is the time of first use. Buckets are numbered from it by the
	// monotonic clock, since the wall clock may jump.
	origin time.Time
	// fresh and retries hold a count per bucket, as ring buffers; currentBucket
	// is the number of the newest bucket.
	fresh, retries [windowBuckets + 1]int
	currentBucket  int64
}

// NewRetryWindow returns an empty window.
func NewRetryWindow(length time.Duration, share, slack float64) *RetryWindow {
	return &RetryWindow{share: share, slack: slack, bucketLength: length / windowBuckets}
}

// Resize changes the share and the slack.
func (w *RetryWindow) Resize(share, slack float64) { w.share, w.slack = share, slack }

// Fresh records a request that is not a retry.
func (w *RetryWindow) Fresh(now time.Time) {
	w.advance(now)
	w.fresh[w.currentBucket%int64(len(w.fresh))]++
}

// Retry reports whether another retry is allowed, and counts it if so.
func (w *RetryWindow) Retry(now time.Time) bool {
	w.advance(now)
	fresh, retries := 0, 0
	for i := range w.fresh {
		retries += w.retries[i]
		// The oldest bucket is only partly inside the window. To stay on the
		// safe side, its retries count and its fresh requests do not.
		if int64(i) != (w.currentBucket+1)%int64(len(w.fresh)) {
			fresh += w.fresh[i]
		}
	}
	if float64(retries+1) > w.share*float64(fresh)+w.slack {
		return false
	}
	w.retries[w.currentBucket%int64(len(w.fresh))]++
	return true
}

// advance clears the buckets that have left the window.
func (w *RetryWindow) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	bucket := int64(now.Sub(w.origin) / w.bucketLength)
	for n := 0; w.currentBucket < bucket && n <= windowBuckets; n++ {
		w.currentBucket++
		i := w.currentBucket % int64(len(w.fresh))
		w.fresh[i], w.retries[i] = 0, 0
	}
	w.currentBucket = max(w.currentBucket, bucket)
}
