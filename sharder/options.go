package sharder

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Defaults of the options.
const (
	defaultCount = 8
	defaultGroup = 20 * time.Millisecond
	// defaultOverlap is how long an owner may take before the next one is called
	// as well; defaultOwnerTimeout is the timeout of a call. A write with a limit
	// of 3 s must succeed despite a frozen owner; an owner that waits for a
	// hanging log refuses after 2 s.
	defaultOverlap      = time.Second
	defaultOwnerTimeout = 4 * time.Second
	defaultSnapshot     = 10 * time.Minute
)

// Options are the settings of a Set.
type Options struct {
	Clock  clockwork.Clock
	Logger *zap.Logger
	// Count is the number of shards.
	Count int
	// Group is how long entries are batched for one append.
	Group time.Duration
	// Snapshot is the interval between the snapshots of a shard.
	Snapshot time.Duration
	// Overlap is how long an owner may take before the next one is called as
	// well; OwnerTimeout is the timeout of a call.
	Overlap      time.Duration
	OwnerTimeout time.Duration
}

// Option sets one option of a Set.
type Option func(*Options)

// NewOptions returns the default options, changed by set.
func NewOptions(set ...Option) Options {
	o := Options{
		Clock:        clockwork.NewRealClock(),
		Logger:       zap.NewNop(),
		Count:        defaultCount,
		Group:        defaultGroup,
		Snapshot:     defaultSnapshot,
		Overlap:      defaultOverlap,
		OwnerTimeout: defaultOwnerTimeout,
	}
	for _, f := range set {
		f(&o)
	}
	return o
}

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(o *Options) { o.Logger = log } }

// WithCount sets the number of shards. It must be the same on all instances; the
// state of shards beyond the count is lost.
func WithCount(count int) Option { return func(o *Options) { o.Count = count } }

// WithGroupInterval sets how long entries are batched for one append.
func WithGroupInterval(interval time.Duration) Option { return func(o *Options) { o.Group = interval } }

// WithSnapshotInterval sets the interval between the snapshots of a shard.
func WithSnapshotInterval(interval time.Duration) Option {
	return func(o *Options) { o.Snapshot = interval }
}

// WithOverlap sets how long an owner may take before the next one is called as
// well.
func WithOverlap(overlap time.Duration) Option { return func(o *Options) { o.Overlap = overlap } }

// WithOwnerTimeout sets the timeout of a call to an owner.
func WithOwnerTimeout(timeout time.Duration) Option {
	return func(o *Options) { o.OwnerTimeout = timeout }
}
