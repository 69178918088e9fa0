package follower

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Defaults of the options.
const (
	defaultGroupInterval = 20 * time.Millisecond
	// defaultAppendTimeout is short, since appends are sequential and one
	// that hangs delays the next. A timeout loses nothing: whether the append
	// took effect is in any case determined by reading.
	defaultAppendTimeout = time.Second
	// defaultReadWait and readTimeoutMargin bound how long a read can hang on
	// a connection that was lost without being closed.
	defaultReadWait        = 5 * time.Second
	readTimeoutMargin      = 2 * time.Second
	defaultRetryInterval   = 200 * time.Millisecond
	defaultSnapshotRecords = 20_000
	// maxReadRecords bounds the records of a read. The log's client reads fewer
	// if they are too large together.
	maxReadRecords = 32
	// snapshotChecksPerInterval is how often per snapshot interval the age of
	// the newest snapshot is checked.
	snapshotChecksPerInterval = 8
	// snapshotRetryInterval is how long an appended snapshot may take to be
	// read back before it is written again.
	snapshotRetryInterval = 10 * time.Second
	snapshotPartBytes     = 512 << 10
	// incompleteReadWait is how long a read waits for records while the state
	// is incomplete, so that a quiet stream does not delay a reset.
	incompleteReadWait = time.Second
	maxGroupBytes      = 512 << 10
	maxEntryBytes      = 768 << 10
	maxQueuedEntries   = 16 << 10
)

type options struct {
	clock            clockwork.Clock
	log              *zap.Logger
	groupInterval    time.Duration
	appendTimeout    time.Duration
	readWait         time.Duration
	retryInterval    time.Duration
	snapshotRecords  int64
	snapshotInterval time.Duration
	writesSnapshots  func() bool
	resetDelay       time.Duration
	rate             rate.Limit
	burst            int
}

// Option sets one option of a Follower.
type Option func(*options)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger; the default logs nothing.
func WithLogger(log *zap.Logger) Option { return func(o *options) { o.log = log } }

// WithGroupInterval sets how long submissions are collected for one append.
func WithGroupInterval(interval time.Duration) Option {
	return func(o *options) { o.groupInterval = interval }
}

// WithSnapshotRecords sets the number of records after which a snapshot is due, and
// which instance writes it: writes is called for each decision and should
// return true on one instance of a fleet.
func WithSnapshotRecords(records int64, writes func() bool) Option {
	return func(o *options) {
		o.snapshotRecords = records
		o.writesSnapshots = writes
	}
}

// WithSnapshotInterval makes a snapshot also due once the newest is older than
// interval, so that retention by age does not remove the last snapshot of a
// quiet stream. Ages are computed from wall clocks: a quarter of the
// retention time leaves room for clock differences.
func WithSnapshotInterval(interval time.Duration, writes func() bool) Option {
	return func(o *options) {
		o.snapshotInterval = interval
		o.writesSnapshots = writes
	}
}

// WithResetDelay resets the state of the stream if it has been incomplete for
// longer than delay although the log can be read to its end. That happens if
// every instance was stopped for longer than the retention time. See
// replayer.Reset for the safeguards.
func WithResetDelay(delay time.Duration) Option { return func(o *options) { o.resetDelay = delay } }

// WithRate limits the appends per second to this stream, and sets the burst
// that is allowed after a quiet period. Without this option there is no
// limit.
func WithRate(appends float64, burst int) Option {
	return func(o *options) {
		o.rate = rate.Limit(appends)
		o.burst = burst
	}
}
