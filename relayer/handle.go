package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/tracer"
)

const (
	// startRetry tells clients when to come back while there is no
	// configuration: one reading of it.
	startRetry = 500 * time.Millisecond
	// busyRetry is when a server has usually come free, in the mean.
	busyRetry = 300 * time.Millisecond
	// answerMargin is left of the client's time to deliver a refusal.
	answerMargin = 30 * time.Millisecond
	// suspectRetry is when a quarantined request may be sent again at least.
	suspectRetry = 2 * time.Second
	// waitShare of the time after which clients leave a silent stream is spent
	// on waiting for a server at most.
	waitShare = 0.8
	// aimShare of the objective may be spent on waiting for a busy server; the
	// rest is for reading the prompt. A request may always wait for waitLeast.
	aimShare  = 0.7
	waitLeast = 100 * time.Millisecond
	// defaultLimit bounds requests whose client and route name no time.
	defaultLimit = 30 * time.Second
)

// ServeHTTP answers one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.meter.Add(MetricArrived, 1)
	table := r.table.Load()
	if table == nil {
		r.refuse(w, startRetry, "no_configuration")
		return
	}
	meta, ok := r.codec.Request(q.Header)
	log := r.log.With(zap.String("request", meta.ID))
	if !ok {
		log.Info("relay: request without id", zap.Int("status", http.StatusBadRequest))
		fail(w, http.StatusBadRequest)
		return
	}
	route, ok := table.Match(q.Host, q.URL.Path)
	if !ok {
		r.meter.Add(MetricUnmatched, 1)
		log.Info("relay: no route", zap.String("host", q.Host), zap.String("path", q.URL.Path), zap.Int64("config", table.Version))
		fail(w, http.StatusNotFound)
		return
	}
	select {
	case r.bodies <- struct{}{}:
		defer func() { <-r.bodies }()
	default:
		log.Info("relay: too many requests in flight", zap.Int("limit", cap(r.bodies)))
		r.refuse(w, busyRetry, "too_many")
		return
	}
	x := &exchange{
		Relayer: r, writer: w, request: q, meta: meta, route: route,
		started: r.clock.Now(), log: log, version: table.Version,
	}
	if !x.read(table.Limits) {
		return
	}
	x.prepare()
	x.run()
}

// read takes the whole body in, so that it can be sent more than once.
func (x *exchange) read(limits matcher.Limits) bool {
	body := x.request.Body
	if limits.Body > 0 {
		body = http.MaxBytesReader(x.writer, body, limits.Body)
	}
	raw, err := io.ReadAll(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.log.Info("relay: body too large", zap.Int64("limit", limits.Body))
		fail(x.writer, http.StatusRequestEntityTooLarge)
		return false
	case err != nil:
		x.log.Info("relay: client left while sending", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	x.body = raw
	return true
}

func (x *exchange) prepare() {
	limit := defaultLimit
	if x.meta.HasLimit {
		limit = x.meta.Limit
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	x.until = x.started.Add(limit)
	x.service = x.route.Service(balancer.Hash(x.meta.ID))
	x.query = balancer.Request{
		Model: x.meta.Model, Adapter: x.meta.Adapter, Prompt: x.meta.TokensIn, Output: x.output(), Most: x.meta.TokensOut,
		Priority: x.route.Priority, Aim: x.started.Add(x.route.Target), Leave: x.leave(),
		Wait:  max(time.Duration(aimShare*float64(x.route.Target)), waitLeast),
		Paced: x.pacer != nil && x.meta.Model != "" && x.route.Gap > 0,
	}
	if n := len(x.meta.Parts); n > 1 {
		session := x.query.Key()
		for _, p := range x.meta.Parts[:n-1] {
			session += "," + p.ID
			x.query.Shared += p.Tokens
		}
		x.query.Session = balancer.Hash(session)
	}
	x.digest = balancer.Hash(x.request.Method + " " + caller(x.request) + " " + x.request.RequestURI + " " + string(x.body))
}

// output is how many tokens the answer is expected to have.
func (x *exchange) output() int {
	if x.meta.Expected > 0 {
		return min(x.meta.Expected, max(x.meta.TokensOut, 1))
	}
	return x.meta.TokensOut
}

// leave is until when the request may wait for a server: time must be left for
// the first event to reach the client before it goes.
func (x *exchange) leave() time.Time {
	wait := x.until.Sub(x.started) - answerMargin
	if x.route.Kind == matcher.Streaming {
		wait = min(wait, time.Duration(waitShare*float64(clientPatience(x.route))))
	}
	return x.started.Add(wait)
}

// caller returns the address that a request came from, without its port.
func caller(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// run sends the request until it has an answer, or none can come in time.
func (x *exchange) run() {
	if held := x.suspects.Held(x.digest); held > 0 {
		x.log.Info("relay: request is quarantined", zap.Duration("for", held))
		x.refuse(x.writer, max(held, suspectRetry), "quarantined")
		return
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.until.Add(late))
	defer cancel()
	ctx, span := x.tracer.Start(tracer.Extract(ctx, x.request.Header), "relay")
	defer span.End()
	x.context = ctx
	x.fresh(x.service)
	x.fleet.Arrived(x.service, x.query)
	var reserved *balancer.Lease
	for {
		lease, status := reserved, balancer.Found
		if lease == nil {
			lease, status = x.take()
		}
		reserved = nil
		if lease == nil {
			x.backlog = x.fleet.Backlog(x.service, x.query, status)
			x.giveUp("no server", append(x.standing(), zap.Stringer("status", status), zap.Duration("backlog", x.backlog))...)
			return
		}
		again := x.attempt(lease)
		if next := x.reserved(); next != nil {
			if again {
				x.query.Exclude = append(x.query.Exclude, lease.ID)
				reserved = next
				continue
			}
			next.Cancel()
		}
		if !again {
			return
		}
		x.query.Exclude = append(x.query.Exclude, lease.ID)
		if x.sends >= x.route.Attempts || len(x.query.Exclude) > x.route.Attempts+2 {
			x.giveUp("attempts are used up", zap.Int("sends", x.sends))
			return
		}
		if x.sends > 0 && !x.retry(x.service) {
			x.meter.Add(MetricSpent, 1)
			x.giveUp("retry budget is used up")
			return
		}
		x.meter.Add(MetricRetried, 1)
	}
}

// take chooses a server. The request waits while all are busy or none holds its
// model, as long as the client can still get something for it.
func (x *exchange) take() (*balancer.Lease, balancer.Status) {
	if x.context.Err() != nil {
		return nil, balancer.Spent
	}
	for {
		l, status := x.fleet.Await(x.context, x.service, x.query)
		if l == nil || x.paced(l) {
			return l, status
		}
	}
}

// paced waits until the server may get the prompt. It reports false if that is
// too long; the server is given back then.
func (x *exchange) paced(l *balancer.Lease) bool {
	if !x.query.Paced {
		return true
	}
	a, err := x.pacer.Reserve(x.context, l.Life, x.query.Fresh(), x.route.Gap, l.Pace())
	if err != nil {
		// The choice was made from the counts that are known here.
		l.Unpaced()
		return true
	}
	if !a.Booked {
		l.Postpone(a.Wait)
		return false
	}
	l.Paced(a.Wait)
	if a.Wait > 0 {
		select {
		case <-x.clock.After(a.Wait):
		case <-x.context.Done():
		}
	}
	return true
}

// giveUp answers a request for which no server is left to try.
func (x *exchange) giveUp(why string, fields ...zap.Field) {
	fields = append(fields, zap.String("why", why), zap.Bool("may_have_run", x.mayRun), zap.Duration("after", x.clock.Since(x.started)))
	x.log.Info("relay: gave up", append(fields, x.facts()...)...)
	switch {
	case x.request.Context().Err() != nil:
		x.meter.Add(MetricLeft, 1)
		panic(http.ErrAbortHandler)
	case x.headed:
		// The answer has begun; cutting it tells the client that it is not whole.
		x.meter.Add(MetricFailed, 1)
		panic(http.ErrAbortHandler)
	case x.mayRun && x.clock.Now().After(x.until):
		x.meter.Add(MetricFailed, 1)
		fail(x.writer, http.StatusGatewayTimeout)
	case x.mayRun:
		x.meter.Add(MetricFailed, 1)
		fail(x.writer, http.StatusBadGateway)
	default:
		x.refuse(x.writer, max(x.backlog, busyRetry), "no_server")
	}
}

// refuse answers that the request did not run and when to send it again. The
// time is spread, so that clients that were refused together do not come back
// together.
func (r *Relayer) refuse(w http.ResponseWriter, after time.Duration, why string) {
	r.meter.Add(MetricRefused+why, 1)
	spread := after.Seconds() * (0.7 + 0.6*rand.Float64())
	w.Header().Set("Retry-After", strconv.FormatFloat(spread, 'f', 3, 64))
	fail(w, http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
