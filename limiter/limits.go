package limiter

import (
	"math"
	"time"
)

// GradientLimit is an adaptive concurrency limit. It scales the limit by the ratio of
// the long-term to the recent time to first token, and adds the square root of
// the limit as headroom to grow. It follows "Building an In-Memory Circuit
// Breaker for Webhook Ingress" and is only benchmarked: docs/POLICY.md has the
// results.
type GradientLimit struct {
	limit     float64
	longMean  float64
	shortMean float64
}

// Bounds of the adaptive limits, and the weights of a new sample in GradientLimit's
// moving averages.
const (
	minLimit     = 2
	maxLimit     = 256
	initialLimit = 16
	longWeight   = 0.01
	shortWeight  = 0.2
	smoothing    = 0.2
	minGradient  = 0.5
)

// NewGradientLimit returns a limit without samples.
func NewGradientLimit() *GradientLimit { return &GradientLimit{limit: initialLimit} }

// Allow reports whether another request may be sent.
func (g *GradientLimit) Allow(inFlight int) bool { return inFlight < int(g.limit) }

// Observe records the time to first token of a completed request.
func (g *GradientLimit) Observe(_ time.Time, firstToken time.Duration, _ int) {
	s := firstToken.Seconds()
	if s <= 0 {
		return
	}
	if g.longMean == 0 {
		g.longMean, g.shortMean = s, s
	}
	g.longMean += longWeight * (s - g.longMean)
	g.shortMean += shortWeight * (s - g.shortMean)
	gradient := min(max(g.longMean/g.shortMean, minGradient), 1)
	next := gradient*g.limit + math.Sqrt(g.limit)
	g.limit = min(max(g.limit*(1-smoothing)+next*smoothing, minLimit), maxLimit)
}

// DelayLimit is an adaptive concurrency limit based on queueing delay, in the manner
// of CoDel: an interval whose minimum delay exceeds the target indicates a
// standing queue and lowers the limit; any other interval raises it. Like
// GradientLimit it is only benchmarked.
type DelayLimit struct {
	limit       float64
	minDelay    time.Duration
	intervalEnd time.Time
}

// Parameters of DelayLimit. CoDel's usual target of a few milliseconds would always be
// exceeded, since a prefill alone takes longer.
const (
	delayTarget   = 400 * time.Millisecond
	delayInterval = time.Second
	delayDecrease = 0.8
	delayIncrease = 2
)

// NewDelayLimit returns a limit without samples.
func NewDelayLimit() *DelayLimit { return &DelayLimit{limit: initialLimit} }

// Allow reports whether another request may be sent.
func (d *DelayLimit) Allow(inFlight int) bool { return inFlight < int(d.limit) }

// Observe records the time to first token of a completed request.
func (d *DelayLimit) Observe(now time.Time, firstToken time.Duration, _ int) {
	if now.Before(d.intervalEnd) {
		d.minDelay = min(d.minDelay, firstToken)
		return
	}
	if !d.intervalEnd.IsZero() {
		if d.minDelay > delayTarget {
			d.limit = max(d.limit*delayDecrease, minLimit)
		} else {
			d.limit = min(d.limit+delayIncrease, maxLimit)
		}
	}
	d.minDelay = firstToken
	d.intervalEnd = now.Add(delayInterval)
}
