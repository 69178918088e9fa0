package dispatcher

import (
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/limiter"
	"primrosehook/router"
)

type options struct {
	clock       clockwork.Clock
	seed        uint64
	zone        string
	refuseEarly bool
	loadTime    time.Duration
	minRetry    time.Duration
	maxRetry    time.Duration
	retryShare  float64
	retryBurst  int
	urgentShare float64
	halfLife    time.Duration
	router      []router.Option
	queue       []limiter.Option
}

func newOptions(opts []Option) options {
	o := options{
		clock:       clockwork.NewRealClock(),
		refuseEarly: true,
		loadTime:    10 * time.Second,
		minRetry:    time.Second,
		maxRetry:    time.Minute,
		retryShare:  0.1,
		retryBurst:  10,
		urgentShare: 0.5,
		halfLife:    8 * time.Second,
	}
	for _, option := range opts {
		option(&o)
	}
	return o
}

// Option configures a dispatcher.
type Option func(*options)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithSeed seeds the random number generators. Instances need different seeds.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithZone sets the availability zone of this instance.
func WithZone(zone string) Option { return func(o *options) { o.zone = zone } }

// WithRefusal sets whether work that is estimated to miss its deadline is refused
// early instead of queued. It is on by default.
func WithRefusal(on bool) Option { return func(o *options) { o.refuseEarly = on } }

// WithLoadTime sets the assumed load time of a model, for early refusals and their
// retry interval.
func WithLoadTime(d time.Duration) Option { return func(o *options) { o.loadTime = d } }

// WithRetryAfter sets the bounds of the retry interval in refusals.
func WithRetryAfter(least, most time.Duration) Option {
	return func(o *options) { o.minRetry, o.maxRetry = least, most }
}

// WithRetries sets the retry budget: a ratio of fresh requests, and a burst.
func WithRetries(share float64, burst int) Option {
	return func(o *options) { o.retryShare, o.retryBurst = share, burst }
}

// WithUrgentShare sets the last share of the time until its deadline in which
// deferred work counts as urgent.
func WithUrgentShare(share float64) Option { return func(o *options) { o.urgentShare = share } }

// WithHalfLife sets the half-life of measured demand.
func WithHalfLife(d time.Duration) Option { return func(o *options) { o.halfLife = d } }

// WithRouter passes options to the router.
func WithRouter(opts ...router.Option) Option {
	return func(o *options) { o.router = append(o.router, opts...) }
}

// WithQueue passes options to the queue.
func WithQueue(opts ...limiter.Option) Option {
	return func(o *options) { o.queue = append(o.queue, opts...) }
}
