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
	// softTimeoutTargets times the route's LatencyTarget is the soft timeout of
	// an answer, for streams until the first event and at least minSoftFirst.
	softTimeoutTargets = 2
	minSoftFirst       = 1200 * time.Millisecond
	// softTimeoutGaps times the route's MaxEventGap is the soft timeout between
	// events, at least minSoftGap.
	softTimeoutGaps = 3
	minSoftGap      = 900 * time.Millisecond
	// serverSilenceShare is the share of the soft timeout for which the server
	// must have been silent on all connections before it is given up.
	serverSilenceShare = 0.7
	// hardTimeoutShare is the share of clientStreamTimeout after which a server
	// is given up even if it answers other requests.
	hardTimeoutShare = 0.7
	// minClientTimeout, clientTimeoutTargets times the route's LatencyTarget or
	// clientTimeoutGaps times its MaxEventGap, whichever is longest, is how long
	// a stream may be silent before clients close it.
	minClientTimeout, clientTimeoutTargets, clientTimeoutGaps = 2 * time.Second, 4, 8
	// recheckInterval is the time until the next check of a silent server that
	// could not be given up.
	recheckInterval = 200 * time.Millisecond
)

// watchdog cancels an attempt at a silent server once another server is
// reserved. Without another one the answer is awaited until the deadline:
// silence alone ends no attempt.
type watchdog struct {
	exchange   *exchange
	assignment *balancer.Assignment
	cancel     context.CancelFunc

	mu           sync.Mutex
	lastReceived time.Time
	gotEvent     bool
	stopped      bool
	timer        clockwork.Timer
}

// startWatchdog returns a watchdog for an attempt. It never fires if the request
// may not be sent to another server.
func (x *exchange) startWatchdog(assignment *balancer.Assignment, cancel context.CancelFunc) *watchdog {
	w := &watchdog{exchange: x, assignment: assignment, cancel: cancel, lastReceived: x.clock.Now()}
	if !x.route.Repeatable() || x.sends+1 >= x.route.Attempts {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = x.clock.AfterFunc(w.softTimeout(), w.check)
	return w
}

// received records that bytes of the answer arrived, and whether they completed
// an event.
func (w *watchdog) received(event bool) {
	w.mu.Lock()
	w.lastReceived = w.exchange.clock.Now()
	w.gotEvent = w.gotEvent || event
	w.mu.Unlock()
	w.assignment.RecordBytes()
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// softTimeout returns how long the answer may be silent before a server that is
// silent on all connections is given up.
func (w *watchdog) softTimeout() time.Duration {
	r := w.exchange.route
	switch {
	case r.Kind != matcher.Streaming:
		return softTimeoutTargets * r.LatencyTarget
	case w.gotEvent:
		return max(softTimeoutGaps*r.MaxEventGap, minSoftGap)
	default:
		return max(softTimeoutTargets*r.LatencyTarget, minSoftFirst)
	}
}

// hardTimeout returns how long the answer may be silent before the server is
// given up even if it answers other requests.
func (w *watchdog) hardTimeout() time.Duration {
	r := w.exchange.route
	if r.Kind != matcher.Streaming {
		return 2 * softTimeoutTargets * r.LatencyTarget
	}
	return time.Duration(hardTimeoutShare * float64(clientStreamTimeout(r)))
}

// clientStreamTimeout returns how long clients wait for the next event of a
// stream.
func clientStreamTimeout(r *matcher.Route) time.Duration {
	return max(minClientTimeout, clientTimeoutTargets*r.LatencyTarget, clientTimeoutGaps*r.MaxEventGap)
}

// check cancels the attempt if its server is to be given up and another one can
// be reserved; otherwise it sets the timer for the next check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	silent := w.exchange.clock.Since(w.lastReceived)
	soft := w.softTimeout()
	if silent < soft {
		w.timer.Reset(soft - silent)
		return
	}
	serverSilent := w.assignment.IdleTime()
	if (serverSilent < time.Duration(serverSilenceShare*float64(soft)) && silent < w.hardTimeout()) || !w.exchange.reserveOther(w.assignment) {
		w.timer.Reset(recheckInterval)
		return
	}
	w.exchange.log.Info("relay: server is silent", zap.String("server", w.assignment.ID),
		zap.Duration("request_silent", silent), zap.Duration("server_silent", serverSilent), zap.Duration("all_silent", w.exchange.fleet.IdleTime()))
	w.stopped = true
	w.cancel()
}

// reserveOther takes another server and a retry from the budget. It
// reports false, and takes neither, if either is unavailable.
func (x *exchange) reserveOther(assignment *balancer.Assignment) bool {
	q := x.query
	q.NeedsReservation = false
	q.Exclude = append(append([]string(nil), q.Exclude...), assignment.ID)
	next, status := x.fleet.Take(x.service, q)
	if status != balancer.Found {
		return false
	}
	if !x.allowRetry(x.service) {
		next.Cancel()
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reservedAssignment = next
	return true
}

// takeReserved returns and clears the reserved assignment, nil if there is none.
func (x *exchange) takeReserved() *balancer.Assignment {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := x.reservedAssignment
	x.reservedAssignment = nil
	return next
}
