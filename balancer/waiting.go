package balancer

import (
	"cmp"
	"slices"
	"time"

	"primrosehook/decayer"
)

const (
	// grantHalf is the half-life of the count of grants, from which the wait
	// of a further request is predicted.
	grantHalf = time.Second
	// leastRate is the grants a second that are assumed at least, so that the
	// first requests to wait are not refused for want of a history.
	leastRate = 4.0
)

// Waiter is a request that waits for a server.
type Waiter struct {
	Request
	granted chan *Lease
	// starved is set if no server held the model when the request came.
	starved bool
}

// Line holds the requests of one service that wait for a server, in the order
// in which they go: by rank, then those that can still meet their objective
// before those that can't, then by objective. Serving late requests first
// would make the next ones late as well. Requests whose wait is predicted to
// make them late are refused before they join. It is not safe for concurrent
// use.
type Line struct {
	waiters []*Waiter
	grants  map[string]*decayer.Counter
}

// NewLine returns an empty line.
func NewLine() *Line { return &Line{grants: map[string]*decayer.Counter{}} }

// Len returns how many requests wait.
func (l *Line) Len() int { return len(l.waiters) }

// Predict returns how long a request would wait, from how many would go before
// it and how fast such requests have gone lately.
func (l *Line) Predict(now time.Time, q Request) time.Duration {
	ahead := 0
	key := q.Key()
	for _, w := range l.waiters {
		if w.Key() == key && before(now, w.Request, q) <= 0 {
			ahead++
		}
	}
	rate := leastRate
	if g, ok := l.grants[key]; ok {
		rate = max(rate, g.Rate(now, grantHalf))
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// Add puts a request into the line.
func (l *Line) Add(w *Waiter) { l.waiters = append(l.waiters, w) }

// Remove takes a request out of the line. It reports whether it was there.
func (l *Line) Remove(w *Waiter) bool {
	i := slices.Index(l.waiters, w)
	if i < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, i, i+1)
	return true
}

// Serve offers the waiting requests in order, until none can go. Offer reports
// whether a request went; requests for what one could not go for are not
// offered.
func (l *Line) Serve(now time.Time, offer func(w *Waiter) bool) {
	if len(l.waiters) == 0 {
		return
	}
	slices.SortStableFunc(l.waiters, func(a, b *Waiter) int { return before(now, a.Request, b.Request) })
	blocked := map[string]bool{}
	l.waiters = slices.DeleteFunc(l.waiters, func(w *Waiter) bool {
		key := w.Key()
		if blocked[key] {
			return false
		}
		if !offer(w) {
			blocked[key] = true
			return false
		}
		l.Granted(now, key)
		return true
	})
}

// Granted counts a request that went to a server.
func (l *Line) Granted(now time.Time, key string) {
	g, ok := l.grants[key]
	if !ok {
		g = &decayer.Counter{}
		l.grants[key] = g
	}
	g.Add(now, grantHalf, 1)
}

// Revoked takes Granted back for a request that was not sent after all.
func (l *Line) Revoked(now time.Time, key string) {
	if g, ok := l.grants[key]; ok {
		g.Add(now, grantHalf, -min(1, g.Value(now, grantHalf)))
	}
}

// before orders two requests.
func before(now time.Time, a, b Request) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(late(now, a), late(now, b)), a.Aim.Compare(b.Aim))
}

func late(now time.Time, q Request) int {
	if now.After(q.Aim) {
		return 1
	}
	return 0
}
