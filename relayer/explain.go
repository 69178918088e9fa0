package relayer

import (
	"math"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/balancer"
	"primrosehook/connector"
	"primrosehook/matcher"
)

// sampleEvery is how many normal requests there are for each one that is logged.
const sampleEvery = 32

// attemptRecord describes one attempt in the log.
type attemptRecord struct {
	server string
	// build is the server's build, after the last event that the client had when the
	// request was sent, empty for none.
	build   string
	after   string
	at      time.Duration
	outcome string
	inputs  balancer.ChoiceInputs
	// framing is how the end of the answer's body is marked, empty without an answer.
	framing string
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a *attemptRecord) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", a.server)
	e.AddString("build", a.build)
	if a.after != "" {
		e.AddString("after", a.after)
	}
	e.AddInt64("at_ms", a.at.Milliseconds())
	e.AddString("outcome", a.outcome)
	if a.framing != "" {
		e.AddString("framing", a.framing)
	}
	e.AddInt("holders", a.inputs.Replicas)
	e.AddInt("in_flight", a.inputs.InFlight.Requests)
	e.AddInt("reading_tokens", a.inputs.InFlight.PrefillTokens)
	e.AddInt64("others_age_ms", a.inputs.PeersAge.Milliseconds())
	e.AddInt64("registration_age_ms", a.inputs.RegistrationAge.Milliseconds())
	e.AddInt("speed_percent", int(math.Round(100*a.inputs.Speed)))
	e.AddInt("slowdown_percent", int(math.Round(100*a.inputs.Slowdown)))
	e.AddInt("excess", a.inputs.Excess)
	if a.inputs.BelievedTokens > 0 || a.inputs.HeldKnown {
		e.AddInt("believed_tokens", a.inputs.BelievedTokens)
	}
	if a.inputs.HeldKnown {
		e.AddInt("held_tokens", a.inputs.HeldTokens)
	}
	return nil
}

// newRecord returns the log record of an attempt that begins now.
func (x *exchange) newRecord(assignment *balancer.Assignment, lastEvent string) *attemptRecord {
	at := x.clock.Since(x.started)
	x.meter.Observe(MetricWait+x.route.Kind.String(), at)
	return &attemptRecord{server: assignment.ID, build: assignment.Build, after: lastEvent, at: at, inputs: assignment.Inputs, outcome: "under way"}
}

// finishAnswered measures an answered request and logs it if it was late, took
// more than one attempt, took a stream up again or has an error status. The others are sampled by the
// hash of the request ID.
func (x *exchange) finishAnswered(status int) {
	x.meter.Add(MetricAnswered, 1)
	total := x.clock.Since(x.started)
	x.meter.Observe(MetricTotal+x.route.Kind.String(), total)
	if x.route.Kind == matcher.Streaming {
		x.meter.Observe(MetricPause, x.longestPause)
	}
	first := total
	if !x.firstByte.IsZero() {
		first = x.firstByte.Sub(x.started)
	}
	late := x.route.LatencyTarget > 0 && first > x.route.LatencyTarget || x.route.MaxEventGap > 0 && x.longestPause > x.route.MaxEventGap
	if !late && len(x.attempts) == 1 && x.startEvent == "" && status < 400 && balancer.Hash(x.meta.ID)%sampleEvery != 0 {
		return
	}
	fields := append(x.decisionFields(), zap.Int("status", status), zap.Bool("late", late),
		zap.Duration("first", first), zap.Duration("whole", total))
	if x.route.Kind == matcher.Streaming {
		fields = append(fields, zap.Duration("pause", x.longestPause), zap.Duration("paused_at", x.longestPauseAt))
	}
	x.log.Info("relay: answered", fields...)
}

// refusalFields returns log fields with the state that a refusal was based on.
func (x *exchange) refusalFields() []zap.Field {
	s := x.fleet.Congestion(x.service, x.query)
	return []zap.Field{
		zap.Int("holders", s.Replicas), zap.Int("in_flight", s.InFlight), zap.Int("reading_tokens", s.PrefillTokens),
		zap.Int64("others_age_ms", s.PeersAge.Milliseconds()), zap.Int("waiting_here", s.Queued),
		zap.Duration("predicted_wait", s.PredictedWait), zap.Duration("longest_wait", x.query.MaxWait),
		zap.Stringer("verdict", s.Decision.Verdict), zap.Float64("late_ahead", s.Load.LateAhead), zap.Float64("capacity", s.Load.Capacity),
		zap.Float64("on_time_rate", s.Load.OnTimeRate), zap.Int("refused_while_waiting", s.Reviewed),
	}
}

// digestText returns a digest as it appears in the log and in the status for
// operators.
func digestText(digest uint64) string { return strconv.FormatUint(digest, 16) }

// framingText returns how the end of an answer's body is marked.
func framingText(a *connector.Answer) string {
	switch {
	case a.EndsWithConnection():
		return "close"
	case a.ContentLength >= 0:
		return "length"
	}
	return "chunked"
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partsText returns the IDs of the parts of a prompt, the first maxLoggedParts of them.
func partsText(parts []Part) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// decisionFields returns log fields with the inputs of the decisions on a
// request, and its attempts.
func (x *exchange) decisionFields() []zap.Field {
	return []zap.Field{
		zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()), zap.Int64("config", x.tableVersion),
		zap.String("client", clientAddress(x.request)), zap.String("method", x.request.Method), zap.String("target", x.request.RequestURI), zap.Int("bytes", len(x.body)),
		zap.String("digest", digestText(x.identity.Digest)), zap.Int("crashes", x.suspects.Crashes(x.identity)),
		zap.String("service", x.service), zap.String("key", x.query.Key()), zap.String("parts", partsText(x.meta.Parts)), zap.Int("prompt", x.query.PromptTokens),
		zap.Duration("limit", x.deadline.Sub(x.started)), zap.Objects("tries", x.attempts),
		zap.String("resumes", x.meta.Resumes), zap.String("start_event", x.startEvent),
	}
}
