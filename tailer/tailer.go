// Package tailer follows a keyed stream of records: it reads the newest record
// of each key, and then each new record as it is appended.
package tailer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// ErrTrimmed is returned by a Source whose records from the requested offset were
// deleted. The stream is then read again from the newest record of each key.
var ErrTrimmed = errors.New("records were deleted")

// Record is one record of a stream. A nil value removes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Source reads a stream.
type Source interface {
	// Newest returns the newest record of each key, and where to read on. It limits the time of
	// each of its calls.
	Newest(ctx context.Context) ([]Record, int64, error)
	// Read returns the records from an offset on, and where to read on. If
	// there are none it waits for one, for at most the time given.
	Read(ctx context.Context, from int64, wait time.Duration) ([]Record, int64, error)
}

// Sink receives the records. Its methods are called one at a time.
type Sink interface {
	// Full receives the newest record of each key; all other keys are removed.
	Full(list []Record, next int64)
	// Apply receives new records in order.
	Apply(list []Record)
}

const (
	// callTimeout is the timeout of a call in addition to the time that it
	// waits for records: a slow store replies in some 250 ms, and a silent
	// connection never does.
	callTimeout = 1200 * time.Millisecond
	// newestTimeout is the timeout of a read of the newest records, which may take many calls.
	newestTimeout = 20 * time.Second
	// minRetryInterval and maxRetryInterval bound the pause after a failed
	// call, unless WithMaxRetryInterval sets another upper bound.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
)

// offsetUnread is the next offset of a stream that has not been read yet.
const offsetUnread = -1

// ageUnread is the age of a stream that has not been read yet.
const ageUnread = time.Hour

// readMargin is how much later than usual a read may be that still counts as on time,
// minFreshAge the least age up to which one does.
const (
	readMargin  = 300 * time.Millisecond
	minFreshAge = 900 * time.Millisecond
)

// feedCheckInterval is the pause between checks whether a peer still feeds the
// stream.
const feedCheckInterval = 100 * time.Millisecond

// Tailer follows one stream.
type Tailer struct {
	name     string
	source   Source
	sink     Sink
	clock    clockwork.Clock
	log      *zap.Logger
	wait     time.Duration
	feedTTL  func() time.Duration
	interval func() time.Duration
	maxRetry func() time.Duration
	onRead   func(asOf time.Time)
	complete func() bool
	readNow  chan struct{}
	// startDelay is how long the first read waits for a feed.
	startDelay time.Duration

	mu     sync.Mutex
	next   int64
	readAt time.Time
	// fedAt is when a peer that reads the store at its usual pace last fed the
	// stream.
	fedAt time.Time
	// begun is set once the stream has a position.
	begun bool
	// readAtOnce is set if the next read does not wait for a record.
	readAtOnce bool
	// asOf is when the newest read began whose records this instance has, its own or a
	// peer's.
	asOf time.Time
}

// Option sets an option of a Tailer.
type Option func(*Tailer)

// WithWait sets how long a read waits for a record.
func WithWait(d time.Duration) Option { return func(t *Tailer) { t.wait = d } }

// WithInterval sets the function that returns the pause after each read.
func WithInterval(interval func() time.Duration) Option {
	return func(t *Tailer) { t.interval = interval }
}

// WithMaxRetryInterval sets the function that returns the longest pause after a
// failed call.
func WithMaxRetryInterval(longest func() time.Duration) Option {
	return func(t *Tailer) { t.maxRetry = longest }
}

// WithFeedTTL sets the function that returns how long a feed from a peer replaces reads of
// the store.
func WithFeedTTL(ttl func() time.Duration) Option { return func(t *Tailer) { t.feedTTL = ttl } }

// WithStartDelay sets how long the first read waits for a feed from a peer.
func WithStartDelay(d time.Duration) Option { return func(t *Tailer) { t.startDelay = d } }

// WithOnRead sets a function that is called after each read, this instance's own or one that
// a peer passes on, with the time at which it began.
func WithOnRead(f func(asOf time.Time)) Option { return func(t *Tailer) { t.onRead = f } }

// WithComplete sets a function that reports whether the sink has what the stream must at least
// contain. Until it has, the newest records are read again after each read that finds none, no
// position is taken from a peer, and a peer's feed does not replace reads of the store for longer
// than the longest pause after a failed call.
func WithComplete(f func() bool) Option { return func(t *Tailer) { t.complete = f } }

// New returns a tailer that has read nothing yet.
func New(name string, source Source, sink Sink, clock clockwork.Clock, log *zap.Logger, options ...Option) *Tailer {
	t := &Tailer{
		name: name, source: source, sink: sink, clock: clock, log: log,
		interval: func() time.Duration { return 0 },
		maxRetry: func() time.Duration { return maxRetryInterval },
		onRead:   func(time.Time) {},
		complete: func() bool { return true },
		feedTTL:  func() time.Duration { return 0 },
		readNow:  make(chan struct{}, 1), next: offsetUnread,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// ReadNow makes this instance read the store at once, also while a peer feeds the
// stream.
func (t *Tailer) ReadNow() {
	t.mu.Lock()
	t.fedAt = time.Time{}
	t.mu.Unlock()
	select {
	case t.readNow <- struct{}{}:
	default:
	}
}

// Run follows the stream until the context ends.
func (t *Tailer) Run(ctx context.Context) { t.run(ctx) }

func (t *Tailer) run(ctx context.Context) {
	unavailable := false
	pause := minRetryInterval
	// deletions counts the reads since the last good one that found their records deleted.
	deletions := 0
	t.awaitFeed(ctx)
	for ctx.Err() == nil {
		if t.fedRecently() {
			t.sleep(ctx, feedCheckInterval)
			continue
		}
		newest := t.Next() == offsetUnread
		err := t.readOnce(ctx)
		switch {
		case err == nil:
			if unavailable {
				t.log.Info(t.name + ": store is available again")
			}
			unavailable, pause = false, minRetryInterval
			if !newest {
				deletions = 0
			}
			t.sleep(ctx, max(t.interval(), t.deletionPause(deletions)))
		case errors.Is(err, ErrTrimmed):
			t.log.Info(t.name + ": records were deleted; reading the newest record of each key")
			deletions++
			t.mu.Lock()
			t.next = offsetUnread
			t.mu.Unlock()
		case ctx.Err() != nil:
		default:
			if !unavailable {
				t.log.Info(t.name+": store can't be read", zap.Error(err))
			}
			unavailable = true
			t.sleep(ctx, pause)
			pause = min(2*pause, t.maxRetry())
		}
	}
}

// deletionPause returns the pause after a read of the newest records. There is none the first
// time, so that a store that comes back from an older copy is followed at once; if records are
// deleted before each read, calls are no more frequent than to an unavailable store.
func (t *Tailer) deletionPause(deletions int) time.Duration {
	const maxDoublings = 10
	if deletions < 2 {
		return 0
	}
	return min(minRetryInterval<<min(deletions-2, maxDoublings), t.maxRetry())
}

// awaitFeed waits up to startDelay for a feed, or until ReadNow.
func (t *Tailer) awaitFeed(ctx context.Context) {
	until := t.clock.Now().Add(t.startDelay)
	for ctx.Err() == nil && !t.fedRecently() && t.clock.Now().Before(until) {
		select {
		case <-ctx.Done():
		case <-t.readNow:
			return
		case <-t.clock.After(min(feedCheckInterval, t.startDelay)):
		}
	}
}

// EndFeed makes this instance read the store from now on, until a peer feeds the stream again.
// It has no effect while none does. The first read does not wait for a record, so that this
// instance can soon feed others.
func (t *Tailer) EndFeed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.fedAt.IsZero() {
		t.fedAt, t.readAtOnce = time.Time{}, true
	}
}

// readWait returns how long the next read waits for a record.
func (t *Tailer) readWait() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAtOnce {
		t.readAtOnce = false
		return 0
	}
	return t.wait
}

// readOnce reads the newest records if the stream has not been read yet, and new
// records otherwise.
func (t *Tailer) readOnce(ctx context.Context) error {
	from, began := t.Next(), t.clock.Now()
	timeout := newestTimeout
	if from != offsetUnread {
		timeout = t.wait + callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if from != offsetUnread {
		list, end, err := t.source.Read(ctx, from, t.readWait())
		if err != nil {
			return err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sink.Apply(list)
		t.next = max(t.next, end)
		if !t.complete() {
			t.next = offsetUnread
		}
		t.readAt = t.clock.Now()
		t.recordRead(began)
		return nil
	}
	list, end, err := t.source.Newest(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logBegin("store", len(list), end)
	t.sink.Full(list, end)
	t.next = max(t.next, end) // a peer may have fed newer records in the meantime
	t.readAt = t.clock.Now()
	t.recordRead(began)
	return nil
}

// logBegin logs where the first position in the stream comes from. t.mu must be held.
func (t *Tailer) logBegin(source string, records int, next int64) {
	if !t.begun {
		t.begun = true
		t.log.Info(t.name+": first position", zap.String("source", source), zap.Int("records", records), zap.Int64("next", next))
	}
}

// recordRead records when the newest read began. t.mu must be held.
func (t *Tailer) recordRead(began time.Time) {
	if began.After(t.asOf) {
		t.asOf = began
		t.onRead(began)
	}
}

// RecordPeerRead records when the read began whose records a peer has passed on.
func (t *Tailer) RecordPeerRead(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRead(began)
}

// KnownAge returns the time since the newest read began whose records this instance has.
func (t *Tailer) KnownAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asOf.IsZero() {
		return ageUnread
	}
	return t.clock.Since(t.asOf)
}

// Next returns the offset at which reading continues, negative if the stream has
// not been read yet.
func (t *Tailer) Next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Age returns the time since this instance last read the store.
func (t *Tailer) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.IsZero() {
		return ageUnread
	}
	return t.clock.Since(t.readAt)
}

// Fresh reports whether this instance reads the store at its usual pace, so that it may feed
// others. A read on time is no older than the pause after it and the wait for a record.
func (t *Tailer) Fresh() bool { return t.Age() < max(t.wait+t.interval()+readMargin, minFreshAge) }

// Feed applies records that a peer has read, up to the offset next. fresh is set
// if the peer reads the store at its usual pace; this instance then need not.
func (t *Tailer) Feed(list []Record, next int64, fresh bool) { t.feed(list, next, fresh, false) }

// FeedWhole is Feed with the newest record of each key, where Feed has those from this instance's
// position on.
func (t *Tailer) FeedWhole(list []Record, next int64, fresh bool) { t.feed(list, next, fresh, true) }

func (t *Tailer) feed(list []Record, next int64, fresh, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.begun {
		// An instance without a position is sent all records.
		whole = true
	}
	whole = whole && next > t.next && (t.complete() || len(list) > 0)
	oldEra, _ := SplitPosition(t.next)
	era, _ := SplitPosition(next)
	// In a new era the peer passes on all records, since their positions are
	// higher than all of the era before.
	if whole || t.next != offsetUnread && era > oldEra {
		t.logBegin("peer", len(list), next)
		t.sink.Full(list, next)
		t.next, list = next, nil
	}
	// The sink is also called for a fresh feed without records, so that it does
	// not mistake a quiet stream for an unavailable store.
	if next > t.next || fresh && next == t.next {
		t.sink.Apply(list)
		if t.complete() {
			t.logBegin("peer", len(list), next)
			t.next = next
		}
	}
	if fresh {
		t.fedAt = t.clock.Now()
	}
}

// Offer applies a record that a peer has, without a change to where reading
// continues: the record may be of an era that has ended.
func (t *Tailer) Offer(x Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink.Apply([]Record{x})
}

func (t *Tailer) fedRecently() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fedAt.IsZero() || t.clock.Since(t.fedAt) >= t.feedTTL() {
		return false
	}
	return t.complete() || !t.readAt.IsZero() && t.clock.Since(t.readAt) < t.maxRetry()
}

func (t *Tailer) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-t.readNow:
	case <-t.clock.After(d):
	}
}
