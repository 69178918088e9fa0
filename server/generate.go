package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/judge"
	"primrosehook/tracer"
)

// errGone ends a generation whose caller has gone away.
var errGone = errors.New("caller has gone away")

// sink takes an answer as it comes.
type sink interface {
	// placed tells where the answer comes from, before its first token and
	// again after every change of engine.
	placed(engine, generation string)
	// token takes the next token. It fails with errGone when the caller is
	// gone.
	token(t driver.Token) error
	// flush sends the tokens taken so far on to the caller.
	flush() error
}

// generation is one question on its way through engines.
type generation struct {
	server *Server
	q      *question
	out    sink
	work   dispatcher.Work
	grant  dispatcher.Grant
	// sent is how many tokens the caller has; the next has this offset.
	sent    int
	start   time.Time
	first   time.Duration
	worst   judge.Verdict
	explain explainer.Decision
	// crashes counts the engines lost under the request; accused is set from
	// such a loss until its pause; replaced once its free retry is taken.
	crashes int
	accused bool
	// granted is set if the newest try had a place on an engine.
	granted  bool
	replaced bool
}

// generate decides by the rules and brings the answer to the sink. A failed
// try goes on elsewhere while the retry budget allows: a generation has no
// effect but its answer, and its seed makes the answer the same on every
// engine, so that the next engine continues at the token where the last broke
// off.
func (s *Server) generate(ctx context.Context, q *question, out sink) error {
	g, err := s.decide(q, out)
	if err != nil {
		return err
	}
	err = g.run(ctx)
	g.finish(err)
	return err
}

// decide asks the rules and prepares the generation.
func (s *Server) decide(q *question, out sink) (*generation, error) {
	version, list, err := s.list()
	if err != nil {
		return nil, err
	}
	if s.dispatcher == nil || s.engines == nil {
		return nil, judge.Unavailable("engines", "instance serves no engines", time.Second)
	}
	q.version, q.decision = version, list.Decide(list.At(s.clock.Now(), s.situation(q)))
	g := &generation{server: s, q: q, out: out, sent: q.from, start: s.clock.Now()}
	g.describe()
	return g, nil
}

// describe fills in what the dispatcher and the operators are told.
func (g *generation) describe() {
	q, then := g.q, g.q.decision.Then
	g.work = dispatcher.Work{
		ID: q.id, Weights: q.weights, Caller: q.caller,
		Class: then.Class, Priority: then.Priority, Queue: then.Queue, Deferred: q.deferred,
		Prefixes: driver.Prefixes(q.weights.Model, q.prompt),
		Prompt:   len(q.prompt), Tokens: q.tokens, Digest: q.digest,
	}
	switch {
	case q.deferred && q.within > 0:
		g.work.Deadline = q.created.Add(q.within)
	case !q.deferred && then.Deadline > 0:
		g.work.Deadline = q.created.Add(then.Deadline)
	}
	if q.deferred {
		g.work.Created = q.created
		g.work.Queue = max(then.Queue, deferredQueue)
	}
	g.explain = explainer.Decision{
		ID: q.id, At: q.created, Kind: "generation", Model: q.model, Caller: q.caller,
		Version: q.version, Rule: q.decision.Name, Class: then.Class,
		Priority: then.Priority, Deadline: then.Deadline, Queue: then.Queue,
	}
}

func (g *generation) run(ctx context.Context) error {
	s := g.server
	if err := s.bar(g.q); err != nil {
		return err
	}
	if g.q.ticket != nil {
		if err := g.rejoin(ctx); err == nil || errors.Is(err, errGone) || g.q.prompt == "" {
			return err
		}
	}
	for try, spent := 0, 0; ; try++ {
		err := g.try(ctx, try)
		if err == nil {
			return nil
		}
		if errors.Is(err, errGone) || ctx.Err() != nil {
			return errGone
		}
		r := judge.As(err)
		g.worst = max(g.worst, r.Verdict)
		if r.Verdict != judge.NotRun {
			spent++
		}
		if g.accused && !g.pause(ctx) {
			return errGone
		}
		// The request may have just crashed its second engine.
		if held := s.bar(g.q); held != nil {
			return g.refusal(judge.As(held))
		}
		last := spent >= s.limits.Tries || try+1 >= s.limits.Tries*freeTries
		if last || !g.again(r) {
			return g.refusal(r)
		}
		s.counts.retries.Add(1)
	}
}

// deferredQueue is how long deferred work waits for a place at least. Rules give
// it a bound for its completion and seldom a queue.
const deferredQueue = 30 * time.Second

// freeTries times the tries is how many engines a request may be offered to,
// counting those that took nothing of it.
const freeTries = 4

// Bounds of the pause after a crash.
const (
	minCrashPause = 50 * time.Millisecond
	maxCrashPause = 250 * time.Millisecond
)

// pause puts a retry after a crash off for a random time. Requests that were
// lost together are thereby not lost together again, and what other instances
// know of the crash has arrived. It reports whether the caller is still there.
func (g *generation) pause(ctx context.Context) bool {
	g.accused = false
	spread := uint64(maxCrashPause - minCrashPause)
	wait := minCrashPause + time.Duration((g.q.digest^uint64(g.start.UnixNano()))%spread)
	timer := g.server.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// bar refuses what the rules refuse and what has crashed engines before.
func (s *Server) bar(q *question) error {
	if q.decision.Then.Refuse {
		return &judge.Refusal{
			Status: http.StatusTooManyRequests, Code: "refused-by-rule", Retry: refusedRetry,
			Reason: fmt.Sprintf("rule %q refuses this request", q.decision.Name),
		}
	}
	if s.quarantine == nil {
		return nil
	}
	held := s.quarantine.Remaining(q.digest)
	if held <= 0 {
		return nil
	}
	s.counts.quarantined.Add(1)
	return &judge.Refusal{
		Status: http.StatusUnprocessableEntity, Code: "quarantined", Retry: held,
		Reason: "this request was present when engines crashed and is held back for a time",
	}
}

// refusedRetry is when a request that a rule refuses may ask again: rules
// depend on the hour and the demand, which change slowly.
const refusedRetry = time.Minute

// again reports whether a failure may be tried elsewhere. The dispatcher's own
// refusals are final: it has weighed all engines.
func (g *generation) again(r *judge.Refusal) bool {
	if !g.granted || r.Verdict == judge.Ran {
		return false
	}
	if r.Status >= 400 && r.Status < 500 && !passing(r.Status) {
		return false
	}
	if r.Verdict == judge.NotRun {
		// Nothing was run, so there is no load that a retry would add to.
		return true
	}
	if g.crashes == 1 && !g.replaced {
		// The engine has gone with its work, and the retry takes its place.
		// Only from the second crash on does a request add load.
		g.replaced = true
		return true
	}
	return g.server.dispatcher.Retry()
}

// passing reports whether an engine's refusal depends on the moment or on the
// engine. A model that was just unloaded gives 404, a full queue 429.
func passing(status int) bool {
	return status == http.StatusNotFound || status == http.StatusConflict ||
		status == http.StatusRequestTimeout || status == http.StatusTooManyRequests
}

// refusal is the caller's answer to the last failure. It says what was
// delivered, and its verdict is the least safe one of all tries. What an engine
// said stands, with its time to come back: it knows best when it has room. But
// a status that speaks of that engine, such as 404 for a model that it has just
// unloaded, would tell the caller that the request is wrong.
func (g *generation) refusal(r *judge.Refusal) *judge.Refusal {
	out := *r
	out.Verdict = g.worst
	if out.Status < 400 || passing(out.Status) && out.Status != http.StatusTooManyRequests {
		out.Status = http.StatusServiceUnavailable
	}
	if out.Retry == 0 && out.Status >= 500 {
		out.Retry = time.Second
	}
	if g.sent > 0 {
		out.Reason = fmt.Sprintf("%s; %d tokens were delivered", out.Reason, g.sent)
	}
	return &out
}

// try runs the rest of the question on one engine.
//
// The frames between here and the engine's stream stay on the stack for as
// long as the stream is open, so they are kept small: the grant lives in the
// generation, and what comes before and after the stream in functions of its
// own.
func (g *generation) try(ctx context.Context, number int) error {
	ctx, span := g.server.spans.Start(ctx, "generate", trace.WithSpanKind(trace.SpanKindClient))
	from := g.sent
	err := g.acquire(ctx, span)
	if err == nil {
		t := g.trial(number)
		err = t.run(ctx)
		g.release(t, err)
	}
	tracer.End(span, err)
	g.note(from, err)
	return err
}

// acquire asks the dispatcher for a place.
func (g *generation) acquire(ctx context.Context, span trace.Span) error {
	g.grant = dispatcher.Grant{}
	work := g.work
	if g.sent > g.q.from {
		// The first token is out: what is left has no deadline to miss.
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

// trial prepares the granted engine.
func (g *generation) trial(number int) *trial {
	s, engine := g.server, g.grant.Engine
	s.inflight.add(engine.Name, 1)
	return &trial{
		g: g, engine: s.engines(engine.Addr), name: engine.Name,
		id: fmt.Sprintf("%s.%d", g.q.id, number), at: s.clock.Now(),
	}
}

// release gives the place back and tells who has to know how it ended.
func (g *generation) release(t *trial, err error) {
	s := g.server
	s.inflight.add(t.name, -1)
	result := dispatcher.Result{
		Failed: err != nil, First: t.first, Total: s.clock.Since(t.at), Tokens: t.tokens,
		Load: t.load, Verdict: judge.Ran,
	}
	if err != nil && !errors.Is(err, errGone) {
		result.Verdict = judge.Of(err)
		result.Crashed = t.crashed
		g.work.Exclude = append(g.work.Exclude, t.name)
	}
	s.dispatcher.Release(g.grant, result)
	if !t.crashed {
		return
	}
	g.crashes++
	g.work.Losses = g.crashes
	g.accused = true
	s.counts.crashes.Add(1)
	s.log.Warn("server: engine was lost while it ran a request",
		zap.String("engine", t.name), zap.String("request", g.q.id), zap.Int("beside", t.beside))
	if s.quarantine != nil {
		s.quarantine.EngineCrashed(g.q.digest, t.name, t.beside)
	}
}

// note remembers a try for the operators.
func (g *generation) note(from int, err error) {
	note := explainer.Try{From: from, Target: g.grant.Engine.Name, Candidates: g.grant.Why}
	if err != nil {
		r := judge.As(err)
		note.Code, note.Verdict, note.Reason = r.Code, r.Verdict.String(), r.Error()
	}
	g.explain.Tries = append(g.explain.Tries, note)
}

// finish counts the outcome and remembers the decision.
func (g *generation) finish(err error) {
	s, q := g.server, g.q
	total := s.clock.Since(g.start)
	s.counts.classes.Add(q.decision.Then.Class, 1)
	switch {
	case err == nil:
		if !q.deferred {
			s.counts.answered.Add(1)
		}
		g.met()
		if s.quarantine != nil {
			s.quarantine.RequestCompleted(q.digest)
		}
	case errors.Is(err, errGone):
		s.counts.cancelled.Add(1)
		g.explain.Code, g.explain.Reason = "gone", errGone.Error()
	default:
		r := judge.As(err)
		g.explain.Code, g.explain.Verdict, g.explain.Reason = r.Code, r.Verdict.String(), r.Reason
	}
	s.counts.tokens.Add(int64(g.sent - q.from))
	g.explain.First, g.explain.Total, g.explain.Tokens = g.first, total, g.sent
	s.ring.Put(g.explain)
}

// met counts whether the first token came in time.
func (g *generation) met() {
	d := g.work.Deadline
	if !d.IsZero() && g.start.Add(g.first).After(d) {
		g.server.counts.late.Add(1)
		return
	}
	g.server.counts.met.Add(g.work.Class, 1)
}
