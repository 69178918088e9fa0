package relayer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/quarantiner"
	"primrosehook/reserver"
	"primrosehook/tracer"
)

const (
	// noTableRetryAfter is the Retry-After while there is no configuration: about
	// the time of one read of the configuration.
	noTableRetryAfter = 500 * time.Millisecond
	// busyRetryAfter is the minimum Retry-After when no server is available:
	// the mean time until a server becomes free.
	busyRetryAfter = 300 * time.Millisecond
	// drainingRetryAfter is the Retry-After of an instance that stops: other instances serve
	// the request at once.
	drainingRetryAfter = 50 * time.Millisecond
	// maxDiscardedBody is how much of the body of a request that is refused unread is
	// discarded, in bytes.
	maxDiscardedBody = 256 << 10
	// refusalMargin is the part of the client's time limit that is reserved for
	// delivering a refusal.
	refusalMargin = 30 * time.Millisecond
	// minQuarantineRetryAfter is the minimum Retry-After of a quarantined
	// request.
	minQuarantineRetryAfter = 2 * time.Second
	// streamWaitShare is the largest share of clientStreamTimeout that a
	// streaming request may wait for a server.
	streamWaitShare = 0.8
	// targetWaitShare is the share of the latency objective for which a request can
	// wait for a busy server and be on time; the rest is left for prefill. Waits of up
	// to minWait count as on time. Package admitter decides on longer ones.
	targetWaitShare = 0.7
	minWait         = 100 * time.Millisecond
	// maxUnreachable is how many servers, beyond the route's attempts, a request
	// is offered to if some take no connection.
	maxUnreachable = 2
	// maxSuspectCrashes is how many servers may have crashed under a request that is
	// still repeated at another one after it may have run.
	maxSuspectCrashes = 2
	// defaultTimeout applies when the client sends no time limit; the route's
	// timeout may shorten it.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP handles one request of a client.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.meter.Add(MetricArrived, 1)
	if r.draining.Load() {
		// The connection is closed after the answer; with unread bytes it would be reset, and
		// the client might lose the answer.
		_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, maxDiscardedBody))
		r.refuse(w, drainingRetryAfter, "draining")
		return
	}
	table := r.table.Load()
	if table == nil {
		r.refuse(w, noTableRetryAfter, "no_configuration")
		return
	}
	meta, ok := r.codec.Request(q.Header)
	log := r.log.With(zap.String("request", meta.ID))
	if !ok {
		log.Info("relay: request without id", zap.Int("status", http.StatusBadRequest))
		writeStatus(w, http.StatusBadRequest)
		return
	}
	route, ok := table.Match(q.Host, q.URL.Path)
	if !ok {
		r.meter.Add(MetricUnmatched, 1)
		log.Info("relay: no route", zap.String("host", q.Host), zap.String("path", q.URL.Path), zap.Int64("config", table.Version))
		writeStatus(w, http.StatusNotFound)
		return
	}
	account, ok := r.authenticate(table, route, meta)
	if !ok {
		r.meter.Add(MetricUnauthorized, 1)
		log.Info("relay: key is missing or unknown", zap.Bool("missing", meta.Key == ""), zap.String("route", route.Name), zap.Int64("config", table.Version))
		writeStatus(w, http.StatusUnauthorized)
		return
	}
	x := &exchange{
		Relayer: r, writer: w, request: q, meta: meta, route: route,
		account: account, hasAccounts: table.HasAccounts(), priority: priorityOf(account, route),
		started: r.clock.Now(), log: log, tableVersion: table.Version, startEvent: meta.LastEvent,
	}
	// The place among the requests in flight is free by then.
	defer x.discardRest()
	if !x.takeCredit(q.Context()) {
		return
	}
	defer x.settleCredit()
	select {
	case r.inFlight <- struct{}{}:
		defer func() { <-r.inFlight }()
	default:
		// A request whose body makes no progress makes room for later ones.
		r.memory.EndStalled(reserver.Body)
		if n, ok := r.crowded.Sample(r.clock); ok {
			log.Info("relay: too many requests in flight", zap.Int("limit", cap(r.inFlight)), zap.Int("refused_since_last_line", n))
		}
		if q.ContentLength < 0 || q.ContentLength > serverDiscards {
			x.closeUnread()
		}
		r.refuse(w, busyRetryAfter, "too_many")
		return
	}
	if x.startEvent != "" {
		r.meter.Add(MetricTakenUp, 1)
	}
	// Releases what is held even if the handler is aborted.
	defer func() { x.held.Release() }()
	if !x.readBody(table.Limits) {
		return
	}
	x.prepare()
	if !x.restrictToOrigin(q.Context()) {
		if x.clientGone() {
			x.giveUp("client left before its stream was found")
			return
		}
		r.refuse(w, busyRetryAfter, "unknown_build")
		return
	}
	x.run()
}

// prepare derives the deadline, the service, the query for a server and the
// quarantine digest from the request.
func (x *exchange) prepare() {
	timeout := defaultTimeout
	if x.meta.HasTimeout {
		timeout = x.meta.Timeout
	}
	if x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	x.deadline = x.started.Add(timeout)
	x.service = x.route.Service(balancer.Hash(x.meta.ID))
	x.query = balancer.Request{
		Model: x.meta.Model, Adapter: x.meta.Adapter, PromptTokens: x.meta.PromptTokens, OutputTokens: x.expectedOutput(), MaxOutputTokens: x.meta.MaxOutputTokens,
		Account: accountName(x.account), Priority: x.priority, TargetTime: x.started.Add(x.route.LatencyTarget), Deadline: x.waitDeadline(),
		MaxWait:          max(time.Duration(targetWaitShare*float64(x.route.LatencyTarget)), minWait),
		MaxEventGap:      x.route.MaxEventGap,
		Objective:        x.route.LatencyTarget,
		NeedsReservation: x.pacer != nil && x.meta.Model != "" && x.route.MaxEventGap > 0,
	}
	if n := len(x.meta.Parts); n > 1 {
		session := x.query.Key()
		x.query.Prompt = promptOf(x.meta)
		for _, p := range x.meta.Parts[:n-1] {
			session += "," + p.ID
			x.query.SharedTokens += p.Tokens
			x.prefix = append(x.prefix, balancer.Hash(x.service+" "+p.ID))
		}
		x.query.SessionHash = balancer.Hash(session)
	}
	x.identity = quarantiner.Identity{Digest: requestDigest(x.request, x.body), Resource: x.resource()}
}

// expectedOutput returns how many tokens the answer is expected to have: the
// client's estimate up to its maximum, or the maximum without an estimate.
func (x *exchange) expectedOutput() int {
	if x.meta.ExpectedOutputTokens > 0 {
		return min(x.meta.ExpectedOutputTokens, max(x.meta.MaxOutputTokens, 1))
	}
	return x.meta.MaxOutputTokens
}

// waitDeadline returns until when the request may wait for a server. Time must
// be left for the first event to reach the client before it gives up.
func (x *exchange) waitDeadline() time.Time {
	wait := x.deadline.Sub(x.started) - refusalMargin
	if x.route.Kind == matcher.Streaming {
		wait = min(wait, time.Duration(streamWaitShare*float64(clientStreamTimeout(x.route))))
	}
	return x.started.Add(wait)
}

// requestDigest returns the digest by which a request is recognized when it comes
// again. It covers neither the query, which clients may change when they retry, nor
// the client's address: the same request may come through another gateway. A request
// that is wrongly taken for a suspect is cleared by its next completion.
func requestDigest(r *http.Request, body []byte) uint64 {
	// The body is hashed in place: a copy would take as much memory once more.
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.EscapedPath() + " ") // never fails
	_, _ = d.Write(body)                                             // never fails
	return d.Sum64()
}

// resource returns a hash of what the request asks of its service, whichever route, method
// and body it comes with: what follows the route's prefix. It is zero if nothing does.
func (x *exchange) resource() uint64 {
	rest, ok := strings.CutPrefix(x.request.URL.Path, x.route.Prefix)
	if !ok || rest == "" {
		return 0
	}
	return balancer.Hash(x.service + " " + rest)
}

// clientAddress returns the IP address that a request came from.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// run makes attempts until the request is answered or has to be given up.
func (x *exchange) run() {
	if remaining := x.admit(); remaining > 0 {
		x.refuse(x.writer, max(remaining, minQuarantineRetryAfter), "quarantined")
		return
	}
	ctx, cancel := x.startExpiry()
	defer cancel()
	x.cancel = cancel
	x.departure.presentAt = x.started
	defer context.AfterFunc(x.request.Context(), x.recordDeparture)()
	defer context.AfterFunc(x.requests, x.endUnanswered)()
	defer x.endOutbox()
	ctx, span := x.tracer.Start(tracer.Extract(ctx, x.request.Header), "relay")
	defer span.End()
	x.context = ctx
	defer x.watchKey()()
	x.countRequest(x.service)
	x.fleet.RecordArrival(x.service, x.query)
	var next *attempt
	for {
		t := next
		if t == nil {
			assignment, status := x.takeServer()
			if x.clientGone() {
				if assignment != nil {
					assignment.Cancel()
					x.pass.End(false)
				}
				x.giveUp("client left before the request was sent", zap.Object("waited_for", x.delays))
				return
			}
			if assignment == nil {
				x.backlog = x.fleet.RetryDelay(x.service, x.query, status)
				x.awaitsTurn = status == balancer.NotLoaded || status == balancer.Full && x.account != nil
				x.fleet.RecordRefusal(x.service, x.query, status)
				x.giveUp("no server", append(x.refusalFields(), zap.Stringer("status", status), zap.Duration("backlog", x.backlog))...)
				return
			}
			if x.isQuarantined() {
				assignment.Cancel()
				x.pass.End(false)
				x.backlog = max(x.suspects.Remaining(x.identity), minQuarantineRetryAfter)
				x.giveUp("quarantined meanwhile", zap.String("digest", digestText(x.identity.Digest)))
				return
			}
			if !x.takeTurn() {
				assignment.Cancel()
				x.pass.End(false)
				if x.clientGone() {
					x.giveUp("client left while others like it were in progress", zap.Object("waited_for", x.delays))
					return
				}
				x.meter.Add(MetricTurnTaken, 1)
				x.giveUp("another request like it is in progress", zap.String("digest", digestText(x.identity.Digest)))
				return
			}
			if denial, ok := x.creditToSend(); !ok {
				assignment.Cancel()
				x.pass.End(false)
				x.turn.End(false)
				x.refuseToSend(denial)
				return
			}
			t = x.newAttempt(assignment, x.meta.LastEvent)
		}
		x.attempts = append(x.attempts, t.record)
		var retryable bool
		if next, retryable = t.perform(); !retryable {
			return
		}
		x.cutOff = x.cutOff || t.broken
		if x.clientGone() {
			x.giveUp("client left between attempts")
			return
		}
		if !x.hasKnownOrigin() {
			x.giveUp("build that began the stream is not known")
			return
		}
		x.query.Exclude, x.query.Build = append(x.query.Exclude, t.assignment.ID), x.build
		if next != nil {
			continue
		}
		if x.sends >= x.route.Attempts || len(x.query.Exclude) > x.route.Attempts+maxUnreachable {
			x.giveUp("attempts are used up", zap.Int("sends", x.sends))
			return
		}
		if x.mayHaveRun && x.isSuspected(t) {
			x.giveUp("suspected of crashes", zap.String("digest", digestText(x.identity.Digest)))
			return
		}
		if x.sends > 0 && !x.allowRetry(x.service) {
			x.meter.Add(MetricBudgetExhausted, 1)
			x.giveUp("retry budget is used up")
			return
		}
		x.meter.Add(MetricRetried, 1)
	}
}

// endUnanswered ends all that is done for the request unless its answer has begun.
func (x *exchange) endUnanswered() {
	if !x.streaming.Load() {
		x.cancel()
	}
}

// admit returns for how long the request is refused since it, or a part of its prompt,
// crashes servers; zero if it is not.
func (x *exchange) admit() time.Duration {
	if remaining := x.suspects.Remaining(x.identity); remaining > 0 {
		x.log.Info("relay: request is quarantined", zap.Duration("for", remaining), zap.String("digest", digestText(x.identity.Digest)))
		return remaining
	}
	remaining, trial := x.parts.Admit(x.prefix)
	x.trial = trial
	if remaining > 0 || trial {
		x.log.Info("relay: a part of the prompt is quarantined", zap.Duration("for", remaining), zap.Bool("trial", trial), zap.String("parts", partsText(x.meta.Parts)))
	}
	return remaining
}

// isQuarantined reports whether the request, or a part of its prompt, has been
// quarantined since it was admitted.
func (x *exchange) isQuarantined() bool {
	return x.suspects.Remaining(x.identity) > 0 || !x.trial && x.parts.Quarantined(x.prefix)
}

// isSuspected reports whether the request is not repeated after an attempt that failed,
// since it may have crashed the server.
func (x *exchange) isSuspected(t *attempt) bool {
	return x.trial || x.suspects.Crashes(x.identity) >= maxSuspectCrashes || t.justBegun() && x.parts.Suspected(x.prefix)
}

// takeTurn takes the turn of the request if it may crash its server. It reports false if
// another request like it has it.
func (x *exchange) takeTurn() bool {
	if !x.mayCrash() {
		return true
	}
	defer x.recordDelay(waitTurn, x.clock.Now())
	turn, wait, ok := x.sequence.Acquire(x.context, x.suspects.Key(x.identity))
	x.turn, x.backlog = turn, wait
	return ok
}

// mayCrash reports whether the request may be what has crashed a server: it was cut off, it
// is suspected, or many servers of its service were lost of late, and none like it has
// completed since.
func (x *exchange) mayCrash() bool {
	return (x.cutOff || x.isMarked() || x.fleet.Unsettled(x.service)) && !x.suspects.Completed(x.identity)
}

// isMarked reports whether a server has crashed under the request.
func (x *exchange) isMarked() bool { return x.suspects.Crashes(x.identity) > 0 }

// merge adds a failed attempt to the state of the request.
func (x *exchange) merge(t *attempt) {
	if t.reached {
		x.sends++
	}
	x.mayHaveRun = x.mayHaveRun || t.ran
	x.creditUsed = x.creditUsed || t.ran && t.ownCredit == nil
}

// giveUp ends a request that gets no answer from a server, and logs why. If the
// client has left or the answer has begun it aborts the connection; otherwise it
// answers 504 or 502 if the request may have run, and refuses it if not.
func (x *exchange) giveUp(why string, fields ...zap.Field) {
	fields = append(fields, zap.String("why", why), zap.Bool("may_have_run", x.mayHaveRun), zap.Duration("after", x.clock.Since(x.started)))
	x.log.Info("relay: gave up", append(fields, x.decisionFields()...)...)
	switch {
	case x.revoked.Load():
		x.endForKey()
	case x.slowClient:
		panic(http.ErrAbortHandler)
	case x.clientGone():
		x.meter.Add(MetricClientLeft, 1)
		panic(http.ErrAbortHandler)
	case x.headerSent:
		// The answer has begun; aborting it shows the client that it is incomplete.
		x.meter.Add(MetricFailed, 1)
		panic(http.ErrAbortHandler)
	case x.mayHaveRun && x.clock.Now().After(x.deadline):
		x.meter.Add(MetricFailed, 1)
		writeStatus(x.writer, http.StatusGatewayTimeout)
	case x.mayHaveRun:
		x.meter.Add(MetricFailed, 1)
		writeStatus(x.writer, http.StatusBadGateway)
	default:
		earliest := earliestRetry
		if x.awaitsTurn {
			// Before the model is loaded, or it is its turn, it would be refused again.
			earliest = 1
		}
		x.refuseFrom(x.writer, max(x.backlog, busyRetryAfter), earliest, "no_server")
	}
}

// refuse answers 503: the request did not run and may be sent again after the
// time in Retry-After. The time is jittered, so that clients that were refused
// together do not retry together.
func (r *Relayer) refuse(w http.ResponseWriter, retryAfter time.Duration, why string) {
	r.refuseFrom(w, retryAfter, earliestRetry, why)
}

// earliestRetry and latestRetry times the time until a request could be served is when clients
// come back.
const earliestRetry, latestRetry = 0.7, 1.3

// refuseFrom is refuse for clients that come back from earliest times retryAfter on.
func (r *Relayer) refuseFrom(w http.ResponseWriter, retryAfter time.Duration, earliest float64, why string) {
	r.meter.Add(MetricRefused+why, 1)
	setRetryAfter(w, retryAfter, earliest)
	writeStatus(w, http.StatusServiceUnavailable)
}

// setRetryAfter sets the time after which clients come back, from earliest times retryAfter on.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration, earliest float64) {
	jittered := retryAfter.Seconds() * (earliest + (latestRetry-earliest)*rand.Float64())
	w.Header().Set("Retry-After", strconv.FormatFloat(jittered, 'f', 3, 64))
}

// writeStatus sends an answer without a body.
func writeStatus(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
