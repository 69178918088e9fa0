package relayer

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/balancer"
	"primrosehook/matcher"
)

// sampleEvery is how many requests that went well have one line in the log.
const sampleEvery = 32

// try is one attempt as the log shows it.
type try struct {
	server  string
	at      time.Duration
	outcome string
	basis   balancer.Basis
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (t try) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("server", t.server)
	e.AddInt64("at_ms", t.at.Milliseconds())
	e.AddString("outcome", t.outcome)
	e.AddInt("holders", t.basis.Holders)
	e.AddInt("in_flight", t.basis.Flight.Started)
	e.AddInt("reading_tokens", t.basis.Flight.Reading)
	e.AddInt64("others_age_ms", t.basis.Age.Milliseconds())
	e.AddInt64("registration_age_ms", t.basis.Seen.Milliseconds())
	return nil
}

// tried notes an attempt; its outcome is set by became.
func (x *exchange) tried(l *balancer.Lease) {
	at := x.clock.Since(x.started)
	x.meter.Observe(MetricWait+x.route.Kind.String(), at)
	x.tries = append(x.tries, try{server: l.ID, at: at, basis: l.Basis, outcome: "under way"})
}

func (x *exchange) became(outcome string) { x.tries[len(x.tries)-1].outcome = outcome }

// answered logs a request that got its answer: all that were late or took more
// than one attempt, and a sample of the others.
func (x *exchange) answered(status int) {
	x.meter.Add(MetricAnswered, 1)
	taken := x.clock.Since(x.started)
	x.meter.Observe(MetricWhole+x.route.Kind.String(), taken)
	if x.route.Kind == matcher.Streaming {
		x.meter.Observe(MetricPause, x.pause)
	}
	first := taken
	if !x.first.IsZero() {
		first = x.first.Sub(x.started)
	}
	late := x.route.Target > 0 && first > x.route.Target || x.route.Gap > 0 && x.pause > x.route.Gap
	if !late && len(x.tries) == 1 && status < 400 && balancer.Hash(x.meta.ID)%sampleEvery != 0 {
		return
	}
	fields := append(x.facts(), zap.Int("status", status), zap.Bool("late", late),
		zap.Duration("first", first), zap.Duration("whole", taken))
	if x.route.Kind == matcher.Streaming {
		fields = append(fields, zap.Duration("pause", x.pause), zap.Duration("paused_at", x.pausedAt))
	}
	x.log.Info("relay: answered", fields...)
}

// standing are the inputs of a refusal.
func (x *exchange) standing() []zap.Field {
	s := x.fleet.Standing(x.service, x.query)
	return []zap.Field{
		zap.Int("holders", s.Holders), zap.Int("in_flight", s.InFlight), zap.Int("reading_tokens", s.Reading),
		zap.Int64("others_age_ms", s.Age.Milliseconds()), zap.Int("waiting_here", s.Waiting),
		zap.Duration("predicted_wait", s.Predicted), zap.Duration("longest_wait", x.query.Wait),
	}
}

// facts are the inputs of all decisions on a request.
func (x *exchange) facts() []zap.Field {
	return []zap.Field{
		zap.String("route", x.route.Name), zap.String("kind", x.route.Kind.String()), zap.Int64("config", x.version),
		zap.String("service", x.service), zap.String("key", x.query.Key()), zap.Int("prompt", x.query.Prompt),
		zap.Duration("limit", x.until.Sub(x.started)), zap.Objects("tries", x.tries),
	}
}
