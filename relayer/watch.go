package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
)

const (
	// softFirst times the objective is how long an answer is awaited, and at
	// least softLeast, before a server of which nothing is heard is given up.
	softFirst = 2
	softLeast = 1200 * time.Millisecond
	// softGap times the longest pause on time is the same between events, and
	// at least gapLeast.
	softGap  = 3
	gapLeast = 900 * time.Millisecond
	// heardShare of the patience is how long the server must have been silent
	// on all connections.
	heardShare = 0.7
	// hardShare of the time after which clients leave a silent stream is when
	// a server is given up although it answers others.
	hardShare = 0.7
	// Clients leave a stream that is silent for two seconds, four objectives
	// or eight pauses, whichever is longest.
	leaveLeast, leaveTargets, leaveGaps = 2 * time.Second, 4, 8
	// watchPause is the pause before a server that could not be given up is
	// looked at again.
	watchPause = 200 * time.Millisecond
)

// watch gives a silent server up once another one is reserved. Without another
// one the answer is awaited to the end: silence alone ends nothing.
type watch struct {
	exchange *exchange
	lease    *balancer.Lease
	cancel   context.CancelFunc

	mu    sync.Mutex
	last  time.Time
	first bool
	done  bool
	timer clockwork.Timer
}

// watch begins to watch an attempt.
func (x *exchange) watch(l *balancer.Lease, cancel context.CancelFunc) *watch {
	w := &watch{exchange: x, lease: l, cancel: cancel, last: x.clock.Now()}
	if !x.route.Repeatable() || x.sends+1 >= x.route.Attempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = x.clock.AfterFunc(w.soft(), w.check)
	return w
}

// heard notes bytes of the answer.
func (w *watch) heard(event bool) {
	w.mu.Lock()
	w.last = w.exchange.clock.Now()
	w.first = w.first || event
	w.mu.Unlock()
	w.lease.Heard()
}

// stop ends the watch.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watch) soft() time.Duration {
	r := w.exchange.route
	switch {
	case r.Kind != matcher.Streaming:
		return softFirst * r.Target
	case w.first:
		return max(softGap*r.Gap, gapLeast)
	default:
		return max(softFirst*r.Target, softLeast)
	}
}

func (w *watch) hard() time.Duration {
	r := w.exchange.route
	if r.Kind != matcher.Streaming {
		return 2 * softFirst * r.Target
	}
	return time.Duration(hardShare * float64(clientPatience(r)))
}

// clientPatience is how long clients wait for the next event of a stream.
func clientPatience(r *matcher.Route) time.Duration {
	return max(leaveLeast, leaveTargets*r.Target, leaveGaps*r.Gap)
}

func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	silent := w.exchange.clock.Since(w.last)
	soft := w.soft()
	if silent < soft {
		w.timer.Reset(soft - silent)
		return
	}
	server := w.lease.Silence()
	if (server < time.Duration(heardShare*float64(soft)) && silent < w.hard()) || !w.exchange.reserve(w.lease) {
		w.timer.Reset(watchPause)
		return
	}
	w.exchange.log.Info("relay: server is silent", zap.String("server", w.lease.ID),
		zap.Duration("request_silent", silent), zap.Duration("server_silent", server))
	w.done = true
	w.cancel()
}

// reserve takes another server and a retry for the request, if there are both.
func (x *exchange) reserve(l *balancer.Lease) bool {
	q := x.query
	q.Paced = false
	q.Exclude = append(append([]string(nil), q.Exclude...), l.ID)
	next, status := x.fleet.Take(x.service, q)
	if status != balancer.Found {
		return false
	}
	if !x.retry(x.service) {
		next.Cancel()
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.next = next
	return true
}

// reserved hands the reserved server out, nil if there is none.
func (x *exchange) reserved() *balancer.Lease {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := x.next
	x.next = nil
	return next
}
