package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/judge"
	"primrosehook/quarantiner"
	"primrosehook/tracer"
)

// errClientGone ends a generation whose client has disconnected.
var errClientGone = errors.New("caller has gone away")

// sink receives an answer token by token.
type sink interface {
	// setOrigin names the engine and its generation. It is called before the
	// first token and after each change of engine.
	setOrigin(engine, generation string)
	// writeToken adds the next token. It fails with errClientGone if the client
	// has disconnected.
	writeToken(t driver.Token) error
	// flush sends the tokens added so far to the client.
	flush() error
}

// generation is the execution of one request, over one or more engines.
type generation struct {
	server  *Server
	request *generationRequest
	sink    sink
	work    dispatcher.Work
	grant   dispatcher.Grant
	// sent is how many tokens the client has, and the offset of the next one.
	sent         int
	start        time.Time
	firstToken   time.Duration
	worstVerdict judge.Verdict
	explanation  explainer.Decision
	// crashes counts the engines that were lost while they ran the request.
	// pauseNext is set after such a loss until the pause before the next
	// attempt. freeRetryUsed is set when the retry outside the budget has been
	// used.
	crashes   int
	pauseNext bool
	// granted is set if the newest attempt got a slot on an engine.
	granted       bool
	freeRetryUsed bool
	// stalled is the attempt to go on with unless another engine accepts the rest,
	// nil if there is none.
	stalled *stalledAttempt
}

// stalledAttempt is an attempt whose engine is silent and may still be at work,
// with its slot and the error that it ended with for now.
type stalledAttempt struct {
	*attempt
	grant dispatcher.Grant
	err   error
}

// generate applies the rules and writes the answer to the sink. A failed
// attempt is continued on another engine while the retry budget allows: a
// generation has no effect but its answer, and with the same seed every engine
// gives the same answer, so the next engine continues at the token where the
// last one stopped.
func (s *Server) generate(ctx context.Context, q *generationRequest, out sink) error {
	g, err := s.decide(q, out)
	if err != nil {
		return err
	}
	err = g.run(ctx)
	if errors.Is(err, errClientGone) && isGivenUp(ctx) {
		err = g.finalRefusal(stopRefusal(g.stopVerdict()))
	}
	g.finish(err)
	return err
}

// decide applies the rule list to a request and prepares its generation.
func (s *Server) decide(q *generationRequest, out sink) (*generation, error) {
	version, list, err := s.ruleList()
	if err != nil {
		return nil, err
	}
	if s.dispatcher == nil || s.engines == nil {
		return nil, judge.Unavailable("engines", "instance serves no engines", time.Second)
	}
	q.rulesVersion, q.decision = version, list.Decide(list.WithTime(s.clock.Now(), s.situation(q)))
	g := &generation{server: s, request: q, sink: out, sent: q.firstOffset, start: s.clock.Now()}
	g.fill()
	return g, nil
}

// fill sets the work for the dispatcher and the decision for operators.
func (g *generation) fill() {
	q, then := g.request, g.request.decision.Then
	g.work = dispatcher.Work{
		ID: q.id, Weights: q.weights, Client: q.client,
		Class: then.Class, Priority: then.Priority, MaxWait: then.Queue, Deferred: q.deferred,
		Prefixes: driver.Prefixes(q.weights.Model, q.prompt),
		Prompt:   len(q.prompt), Tokens: q.maxTokens, Digest: q.digest,
	}
	switch {
	case q.deferred && q.timeLimit > 0:
		g.work.Deadline = q.created.Add(q.timeLimit)
	case !q.deferred && then.Deadline > 0:
		g.work.Deadline = q.created.Add(then.Deadline)
	}
	if q.deferred {
		g.work.Created = q.created
		g.work.MaxWait = max(then.Queue, minDeferredMaxWait)
	}
	g.explanation = explainer.Decision{
		ID: q.id, At: q.created, Kind: "generation", Model: q.model, Client: q.client,
		RulesVersion: q.rulesVersion, Rule: q.decision.Name, Class: then.Class,
		Priority: then.Priority, Deadline: then.Deadline, MaxWait: then.Queue,
	}
}

// run passes the answer to the sink. A stalled attempt goes on until another
// engine has accepted the rest, since other engines may refuse it.
func (g *generation) run(ctx context.Context) error {
	defer g.dropStalled(ctx)
	s := g.server
	if err := s.checkAllowed(g.request); err != nil {
		return err
	}
	if g.request.resumeToken != nil {
		if err := g.resume(ctx); err == nil || errors.Is(err, errClientGone) || g.request.prompt == "" {
			return err
		}
	}
	attempts, counted := 1, 0
	err := g.runAttempt(ctx, 0)
	for resumed := false; err != nil; {
		if errors.Is(err, errClientGone) || ctx.Err() != nil {
			return errClientGone
		}
		r := judge.As(err)
		g.worstVerdict = max(g.worstVerdict, r.Verdict)
		if r.Verdict != judge.NotRun && !resumed {
			counted++
		}
		if g.pauseNext && !g.pauseAfterCrash(ctx) {
			return errClientGone
		}
		// The attempt may have been the second crash, which puts the request in
		// quarantine.
		if refused := s.checkAllowed(g.request); refused != nil {
			return g.finalRefusal(judge.As(refused))
		}
		last := counted >= s.limits.MaxAttempts || attempts >= s.limits.MaxAttempts*offersPerAttempt
		switch {
		case !last && g.mayRetry(r):
			s.counters.retries.Add(1)
			err, resumed = g.runAttempt(ctx, attempts), false
			attempts++
		case g.stalled != nil:
			err, resumed = g.resumeStalled(ctx), true
		default:
			return g.finalRefusal(r)
		}
	}
	return nil
}

// stopVerdict returns whether a generation that was given up may have run.
func (g *generation) stopVerdict() judge.Verdict {
	if g.granted || g.request.resumeToken != nil {
		g.worstVerdict = max(g.worstVerdict, judge.MayHaveRun)
	}
	return g.worstVerdict
}

// minDeferredMaxWait is the smallest limit on the queueing time of deferred
// work. Rules limit its completion time and seldom its queueing time.
const minDeferredMaxWait = 30 * time.Second

// offersPerAttempt times Limits.MaxAttempts is how many engines a request may be
// offered to, counting those that rejected it without running it.
const offersPerAttempt = 4

// Bounds of the random pause after an engine crash.
const (
	minCrashPause = 50 * time.Millisecond
	maxCrashPause = 250 * time.Millisecond
)

const (
	// crashSettleTime is how long after a crash its reports from peers may take to arrive:
	// until then another request may turn out to explain it. settleInterval is the pause
	// between checks for that.
	crashSettleTime = 500 * time.Millisecond
	settleInterval  = 50 * time.Millisecond
)

// pauseAfterCrash waits for a random time before the retry. Requests that were
// lost together are then not sent together again, and reports of the crash from
// peers have had time to arrive. A request that is in quarantine after that waits
// until all of them must have. It reports whether the client is still connected.
func (g *generation) pauseAfterCrash(ctx context.Context) bool {
	g.pauseNext = false
	begin := g.server.clock.Now()
	spread := uint64(maxCrashPause - minCrashPause)
	wait := minCrashPause + time.Duration((g.request.digest^uint64(g.start.UnixNano()))%spread)
	for g.sleep(ctx, wait) {
		if !g.quarantined() || g.server.clock.Since(begin) >= crashSettleTime {
			return true
		}
		wait = settleInterval
	}
	return false
}

// quarantined reports whether the request is in quarantine.
func (g *generation) quarantined() bool {
	q := g.server.quarantine
	return q != nil && q.Remaining(quarantiner.Identity{Digest: g.request.digest}) > 0
}

// sleep waits for a time, and reports whether the client is still connected.
func (g *generation) sleep(ctx context.Context, d time.Duration) bool {
	timer := g.server.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// checkAllowed refuses requests that a rule refuses and requests in quarantine.
func (s *Server) checkAllowed(q *generationRequest) error {
	if q.decision.Then.Refuse {
		return &judge.Refusal{
			Status: http.StatusTooManyRequests, Code: "refused-by-rule", RetryAfter: ruleRefusalRetry,
			Reason: fmt.Sprintf("rule %q refuses this request", q.decision.Name),
		}
	}
	if s.quarantine == nil {
		return nil
	}
	remaining := s.quarantine.Remaining(quarantiner.Identity{Digest: q.digest})
	if remaining <= 0 {
		return nil
	}
	s.counters.quarantined.Add(1)
	return &judge.Refusal{
		Status: http.StatusUnprocessableEntity, Code: "quarantined", RetryAfter: remaining,
		Reason: "this request was present when engines crashed and is held back for a time",
	}
}

// ruleRefusalRetry is the Retry-After of a request that a rule refuses: rules
// depend on the hour and the demand, which change slowly.
const ruleRefusalRetry = time.Minute

// mayRetry reports whether another engine may be tried after a failure.
// Refusals of the dispatcher are final: it has considered all engines.
func (g *generation) mayRetry(r *judge.Refusal) bool {
	if !g.granted || r.Verdict == judge.Ran {
		return false
	}
	if r.Status >= 400 && r.Status < 500 && !isTransient(r.Status) {
		return false
	}
	if r.Verdict == judge.NotRun {
		// Nothing was run, so a retry adds no load.
		return true
	}
	if g.crashes == 1 && !g.freeRetryUsed {
		// The engine was lost with its work, and the retry replaces that work.
		// A request adds load only from its second crash on.
		g.freeRetryUsed = true
		return true
	}
	return g.server.dispatcher.Retry()
}

// isTransient reports whether a status of an engine depends on its current
// state, so that another engine may accept the request. A model that was just
// unloaded gives 404, a full queue 429.
func isTransient(status int) bool {
	return status == http.StatusNotFound || status == http.StatusConflict ||
		status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// finalRefusal returns the refusal for the client after the last failure. It
// states how many tokens were delivered, and its verdict is the least safe one
// of all attempts. The status and Retry-After of the engine are passed on,
// since the engine knows best when it has capacity. But a status about that
// engine alone, such as 404 for a model that it has just unloaded, becomes 503:
// it would tell the client that the request is wrong.
func (g *generation) finalRefusal(r *judge.Refusal) *judge.Refusal {
	refusal := *r
	refusal.Verdict = g.worstVerdict
	if refusal.Status < 400 || isTransient(refusal.Status) && refusal.Status != http.StatusTooManyRequests {
		refusal.Status = http.StatusServiceUnavailable
	}
	if refusal.RetryAfter == 0 && refusal.Status >= 500 {
		refusal.RetryAfter = time.Second
	}
	if g.sent > 0 {
		refusal.Reason = fmt.Sprintf("%s; %d tokens were delivered", refusal.Reason, g.sent)
	}
	return &refusal
}

// runAttempt runs the rest of the generation on one engine.
//
// The stack frames between this function and the stream of the engine stay in
// use while the stream is open, so they are kept small: the grant is stored in
// the generation, and the steps before and after the stream are functions of
// their own.
func (g *generation) runAttempt(ctx context.Context, number int) error {
	ctx, span := g.server.tracer.Start(ctx, "generate", trace.WithSpanKind(trace.SpanKindClient))
	from := g.sent
	err := g.acquire(ctx, span)
	if err == nil {
		a := g.newAttempt(number)
		err = a.run(ctx)
		g.endAttempt(a, err)
	}
	tracer.EndSpan(span, err)
	g.recordAttempt(from, err)
	return err
}

// acquire gets a slot on an engine from the dispatcher.
func (g *generation) acquire(ctx context.Context, span trace.Span) error {
	g.grant = dispatcher.Grant{}
	work := g.work
	if g.sent > 0 {
		// The first token was sent, so the deadline for it no longer applies.
		work.Deadline = time.Time{}
	}
	grant, err := g.server.dispatcher.Acquire(ctx, work)
	g.granted = err == nil
	if err != nil {
		return err
	}
	g.grant = grant
	if span.IsRecording() {
		span.SetAttributes(attribute.String("engine", grant.Engine.Name), attribute.Int("from", g.sent))
	}
	return nil
}

// newAttempt returns an attempt on the granted engine and counts it as in
// flight.
func (g *generation) newAttempt(number int) *attempt {
	s, engine := g.server, g.grant.Engine
	s.inFlight.add(engine.Name, 1)
	return &attempt{
		generation: g, engine: s.engines(engine.Addr), engineName: engine.Name,
		generationID: fmt.Sprintf("%s.%d", g.request.id, number), start: s.clock.Now(),
	}
}

// endAttempt releases the slot of an attempt, or keeps it if the attempt is
// stalled.
func (g *generation) endAttempt(a *attempt, err error) {
	if !a.stalled {
		g.release(a, g.grant, err)
		return
	}
	g.exclude(a.engineName)
	g.stalled = &stalledAttempt{attempt: a, grant: g.grant, err: err}
}

// resumeStalled goes on with the stalled attempt.
func (g *generation) resumeStalled(ctx context.Context) error {
	a, from := g.stalled, g.sent
	g.stalled, g.grant, g.granted = nil, a.grant, true
	err := a.resumeAfter(ctx, a.err)
	g.endAttempt(a.attempt, err)
	if g.stalled == nil || g.sent > from {
		g.recordAttempt(from, err)
	}
	return err
}

// dropStalled cancels and releases the stalled attempt if there is one.
func (g *generation) dropStalled(ctx context.Context) {
	a := g.stalled
	if a == nil {
		return
	}
	g.stalled = nil
	a.cancel(ctx)
	g.release(a.attempt, a.grant, a.err)
}

// exclude keeps the dispatcher from granting an engine again.
func (g *generation) exclude(engine string) {
	if !slices.Contains(g.work.Exclude, engine) {
		g.work.Exclude = append(g.work.Exclude, engine)
	}
}

// overdue reports whether the deadline has passed without a first token. Deferred
// work has none for its first token.
func (g *generation) overdue() bool {
	d := g.work.Deadline
	return g.sent == 0 && !g.work.Deferred && !d.IsZero() && g.server.clock.Now().After(d)
}

// release returns the slot and reports the outcome to the dispatcher and, after
// a crash, to the quarantine.
func (g *generation) release(a *attempt, grant dispatcher.Grant, err error) {
	if grant.Engine.Name == "" {
		// The attempt resumed the generation of an earlier request.
		return
	}
	s := g.server
	s.inFlight.add(a.engineName, -1)
	result := dispatcher.Result{
		Failed: err != nil, FirstToken: a.firstToken, Total: s.clock.Since(a.start), Tokens: a.tokens,
		Load: a.load, Verdict: judge.Ran,
	}
	if err != nil && !errors.Is(err, errClientGone) {
		result.Verdict = judge.Of(err)
		result.Crashed = a.crashed
		g.exclude(a.engineName)
	}
	s.dispatcher.Release(grant, result)
	if !a.crashed {
		return
	}
	g.crashes++
	g.work.Crashes = g.crashes
	g.pauseNext = true
	s.counters.crashes.Add(1)
	s.log.Warn("server: engine was lost while it ran a request",
		zap.String("engine", a.engineName), zap.String("request", g.request.id), zap.Int("beside", a.concurrent))
	if s.quarantine != nil {
		s.quarantine.EngineCrashed(g.request.digest, a.engineName, a.concurrent)
	}
}

// recordAttempt adds an attempt to the decision that operators see.
func (g *generation) recordAttempt(from int, err error) {
	record := explainer.Attempt{Offset: from, Target: g.grant.Engine.Name, Candidates: g.grant.Candidates}
	if err != nil {
		r := judge.As(err)
		record.Code, record.Verdict, record.Reason = r.Code, r.Verdict.String(), r.Error()
	}
	g.explanation.Attempts = append(g.explanation.Attempts, record)
}

// finish counts the outcome and stores the decision.
func (g *generation) finish(err error) {
	s, q := g.server, g.request
	total := s.clock.Since(g.start)
	s.counters.classes.Add(q.decision.Then.Class, 1)
	switch {
	case err == nil:
		if !q.deferred {
			s.counters.answered.Add(1)
		}
		g.countOnTime()
		if s.quarantine != nil {
			s.quarantine.RequestCompleted(quarantiner.Identity{Digest: q.digest})
		}
	case errors.Is(err, errClientGone):
		s.counters.cancelled.Add(1)
		g.explanation.Code, g.explanation.Reason = "gone", errClientGone.Error()
	default:
		r := judge.As(err)
		g.explanation.Code, g.explanation.Verdict, g.explanation.Reason = r.Code, r.Verdict.String(), r.Reason
	}
	s.counters.tokens.Add(int64(g.sent - q.firstOffset))
	g.explanation.FirstToken, g.explanation.Total, g.explanation.Tokens = g.firstToken, total, g.sent
	s.decisions.Put(g.explanation)
}

// countOnTime counts whether the first token met its deadline.
func (g *generation) countOnTime() {
	d := g.work.Deadline
	if !d.IsZero() && g.start.Add(g.firstToken).After(d) {
		g.server.counters.late.Add(1)
		return
	}
	g.server.counters.onTime.Add(g.work.Class, 1)
}
