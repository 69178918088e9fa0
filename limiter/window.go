package limiter

import "time"

// windowParts is how many parts a window is counted in.
const windowParts = 10

// Window bounds retries within a sliding time: in any window at most a share of
// the fresh requests of that window, and a slack. Unlike a Budget it lets a
// burst use what the whole window has earned. It is not safe for concurrent use.
type Window struct {
	share, slack float64
	part         time.Duration
	// base is when the window was first used. Parts are counted from it, by
	// the steady part of the time, since the time of day may jump.
	base time.Time
	// fresh and retries count by part; current is the part of the newest.
	fresh, retries [windowParts + 1]int
	current        int64
}

// NewWindow returns a window without requests.
func NewWindow(length time.Duration, share, slack float64) *Window {
	return &Window{share: share, slack: slack, part: length / windowParts}
}

// Resize changes the share and the slack.
func (w *Window) Resize(share, slack float64) { w.share, w.slack = share, slack }

// Fresh counts a request that is not a retry.
func (w *Window) Fresh(now time.Time) {
	w.advance(now)
	w.fresh[w.current%int64(len(w.fresh))]++
}

// Retry reports whether one more retry is allowed, and counts it.
func (w *Window) Retry(now time.Time) bool {
	w.advance(now)
	fresh, retries := 0, 0
	for i := range w.fresh {
		retries += w.retries[i]
		// The oldest part lies in the window only in part: its retries count,
		// its requests do not.
		if int64(i) != (w.current+1)%int64(len(w.fresh)) {
			fresh += w.fresh[i]
		}
	}
	if float64(retries+1) > w.share*float64(fresh)+w.slack {
		return false
	}
	w.retries[w.current%int64(len(w.fresh))]++
	return true
}

// advance forgets the parts that have left the window.
func (w *Window) advance(now time.Time) {
	if w.base.IsZero() {
		w.base = now
	}
	at := int64(now.Sub(w.base) / w.part)
	for n := 0; w.current < at && n <= windowParts; n++ {
		w.current++
		i := w.current % int64(len(w.fresh))
		w.fresh[i], w.retries[i] = 0, 0
	}
	w.current = max(w.current, at)
}
