package relayer

import (
	"slices"
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
	// is given up even if it answers other requests, or no server is heard.
	hardTimeoutShare = 0.7
	// minClientTimeout, clientTimeoutTargets times the route's LatencyTarget or
	// clientTimeoutGaps times its MaxEventGap, whichever is longest, is how long
	// a stream may be silent before clients close it.
	minClientTimeout, clientTimeoutTargets, clientTimeoutGaps = 2 * time.Second, 4, 8
	// recheckInterval is the time until the next check of a silent server that
	// could not be given up.
	recheckInterval = 200 * time.Millisecond
)

// watchdog sends the request to another server when the server of an attempt is
// silent. The silent server keeps the request until the other one has accepted
// it: silence alone ends no attempt, and neither does a refusal by the other
// server.
type watchdog struct {
	exchange *exchange
	attempt  *attempt
	// attemptsLeft is how many more servers the request may be sent to, excluded
	// are those that it is not sent to.
	attemptsLeft int
	excluded     []string

	mu           sync.Mutex
	lastReceived time.Time
	lastEvent    string
	gotEvent     bool
	// build is the build that the stream goes on at, empty for any.
	build   string
	stopped bool
	timer   clockwork.Timer
	// failover is the attempt at another server while it is in progress, and
	// after its server has accepted the request. failoverDone is closed when it
	// is no longer in progress.
	failover     *attempt
	failoverDone chan struct{}
	// replaced is set when the failover's server has accepted the request. What
	// the silent server sends from then on is dropped.
	replaced bool
	// rejected are the failovers whose server did not accept the request, or that
	// were abandoned.
	rejected []*attempt
}

// startWatchdog returns a watchdog for an attempt. It never fires if the request
// may not be sent to another server.
func (x *exchange) startWatchdog(t *attempt) *watchdog {
	w := &watchdog{
		exchange: x, attempt: t, lastReceived: x.clock.Now(), lastEvent: x.meta.LastEvent, build: x.build,
		attemptsLeft: x.route.Attempts - x.sends - 1, excluded: append(slices.Clone(x.query.Exclude), t.assignment.ID),
	}
	if !x.route.Repeatable() || w.attemptsLeft <= 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = x.clock.AfterFunc(w.softTimeout(), w.check)
	return w
}

// received records that bytes of the answer arrived, and whether they completed
// an event, whose ID is lastEvent. It reports false if the bytes must be dropped,
// since another server has accepted the request.
func (w *watchdog) received(event bool, lastEvent string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt.assignment.RecordBytes()
	if w.replaced {
		return false
	}
	w.lastReceived = w.exchange.clock.Now()
	if event {
		w.gotEvent, w.lastEvent, w.build = true, lastEvent, w.attempt.assignment.Build
		w.abandonFailover()
	}
	return true
}

// isReplaced reports whether another server has accepted the request.
func (w *watchdog) isReplaced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replaced
}

// settle ends the watch after the attempt has failed. It waits for a failover in
// progress and adds the rejected ones to the exchange.
func (w *watchdog) settle() {
	w.end()
	for _, t := range w.rejected {
		w.exchange.merge(t)
		w.exchange.attempts = append(w.exchange.attempts, t.record)
		w.exchange.query.Exclude = append(w.exchange.query.Exclude, t.assignment.ID)
	}
	w.rejected = nil
	if w.failover != nil {
		// Its server has accepted the request.
		w.exchange.mayHaveRun = true
	}
}

// keep ends the watch since the answer of the attempt begins to reach the client. It reports false
// if another server has accepted the request.
func (w *watchdog) keep() bool {
	w.mu.Lock()
	if w.replaced {
		w.mu.Unlock()
		return false
	}
	// No failover may begin from here on: its server would take the place of the attempt's.
	w.stopped = true
	w.abandonFailover()
	w.mu.Unlock()
	w.settle()
	return true
}

// abandon ends the watch of a request that is given up, with its failover.
func (w *watchdog) abandon() {
	w.mu.Lock()
	w.abandonFailover()
	w.mu.Unlock()
	w.settle()
}

// successor returns the attempt whose server has accepted the request, nil if
// there is none. The watch must be settled.
func (w *watchdog) successor() *attempt {
	next := w.failover
	w.failover = nil
	return next
}

// abandonFailover cancels the failover, whose events the client gets from the
// attempt's own server. w.mu must be held.
func (w *watchdog) abandonFailover() {
	if w.failover != nil {
		w.failover.abandoned = true
		w.failover.cancel()
	}
}

// stop ends the watch and drops a failover.
func (w *watchdog) stop() {
	w.mu.Lock()
	w.abandonFailover()
	w.mu.Unlock()
	w.end()
	if next := w.successor(); next != nil {
		next.recordFailure()
		next.end()
	}
}

// end prevents further failovers and waits for the one in progress.
func (w *watchdog) end() {
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	done := w.failoverDone
	w.mu.Unlock()
	if done != nil {
		<-done
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

// check sends the request to another server if the attempt's server is silent
// and another one has capacity; otherwise it sets the timer for the next check.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.failover != nil {
		return
	}
	// While the client does not read, nothing is read from the server either.
	heard := w.lastReceived
	if held := w.exchange.outbox.Load().heldUntil(); held.After(heard) {
		heard = held
	}
	// Nor while the answer waits for memory.
	if w.attempt.awaitsMemory.Load() {
		w.timer.Reset(recheckInterval)
		return
	}
	if came := w.attempt.memoryCame.Load(); came != nil && came.After(heard) {
		heard = *came
	}
	silent := w.exchange.clock.Since(heard)
	soft := w.softTimeout()
	if silent < soft {
		w.timer.Reset(soft - silent)
		return
	}
	serverSilent, receiving := w.attempt.assignment.IdleTime(), w.exchange.fleet.ReceivingTime()
	limit := time.Duration(serverSilenceShare * float64(soft))
	// While no server is heard, the instance may be the one that receives nothing:
	// its link is full or its process does not run.
	if min(serverSilent, receiving) < limit && silent < w.hardTimeout() {
		w.timer.Reset(recheckInterval)
		return
	}
	if w.gotEvent && !w.attempt.isConfirmed() {
		w.timer.Reset(recheckInterval)
		return
	}
	next := w.exchange.reserveOther(w.excluded, w.build)
	if next == nil {
		w.timer.Reset(recheckInterval)
		return
	}
	w.exchange.log.Info("relay: server is silent", zap.String("server", w.attempt.assignment.ID), zap.String("other", next.ID),
		zap.Duration("request_silent", silent), zap.Duration("server_silent", serverSilent), zap.Duration("receiving", receiving))
	w.failover, w.failoverDone = w.exchange.newAttempt(next, w.lastEvent), make(chan struct{})
	go w.runFailover(w.failover, w.failoverDone)
}

// runFailover sends the request to another server, and cancels the attempt at the
// silent one if that server accepts it.
func (w *watchdog) runFailover(t *attempt, done chan<- struct{}) {
	defer close(done)
	if t.takeCredit() {
		t.send()
	}
	if t.err == nil && !t.isStream() {
		t.readBody()
	}
	w.mu.Lock()
	if t.accepted() && !t.abandoned {
		w.replaced = true
		w.mu.Unlock()
		w.attempt.cancel()
		return
	}
	w.failover = nil
	w.mu.Unlock()
	t.recordFailure()
	t.settleCredit()
	t.end()
	w.exchange.log.Info("relay: request stays at the silent server", zap.String("server", w.attempt.assignment.ID), zap.String("other", t.assignment.ID),
		zap.String("outcome", t.record.outcome))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejected = append(w.rejected, t)
	w.excluded = append(w.excluded, t.assignment.ID)
	if t.reached {
		w.attemptsLeft--
	}
	if !w.stopped && w.attemptsLeft > 0 && len(w.excluded) <= w.exchange.route.Attempts+maxUnreachable {
		w.timer.Reset(recheckInterval)
	}
}

// reserveOther takes a server of a build that is not excluded, and a retry from the budget.
// It returns nil, and takes neither, if either is unavailable, the client has left, the request
// is quarantined, marked by a crash or needs a turn, the server names a rate limit or is brittle.
// A request that needs a turn is at one server at a time: it may be what ended those lost of late.
func (x *exchange) reserveOther(excluded []string, build string) *balancer.Assignment {
	if !x.lookForClient() || x.trial || x.isQuarantined() || x.isMarked() || x.mayCrash() {
		return nil
	}
	q := x.query
	q.NeedsReservation = false
	q.Exclude, q.Build = excluded, build
	next, status := x.fleet.Take(x.service, q)
	if status != balancer.Found {
		return nil
	}
	if x.throttle.Limited(next.Incarnation) || x.sparer.Brittle(x.service) || !x.allowRetry(x.service) {
		next.Cancel()
		return nil
	}
	x.meter.Add(MetricRetried, 1)
	return next
}
