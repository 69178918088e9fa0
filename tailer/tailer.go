// Package tailer follows a keyed stream of records: it takes the newest record
// of each key, and then each new record as it comes.
package tailer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// ErrTrimmed is what a Source returns when the records asked for were deleted.
// The stream is then read anew.
var ErrTrimmed = errors.New("records were deleted")

// Record is one record. A nil value removes the key.
type Record struct {
	Offset int64
	Key    string
	Value  []byte
}

// Source is where the records are.
type Source interface {
	// Newest returns the newest record of each key, and where to read on.
	Newest(ctx context.Context) ([]Record, int64, error)
	// Read returns the records from an offset on, and where to read on. It
	// waits for one as long as given.
	Read(ctx context.Context, from int64, wait time.Duration) ([]Record, int64, error)
}

// Sink takes the records. Its methods are called by one goroutine.
type Sink interface {
	// Full takes the newest record of each key; all other keys are gone.
	Full(list []Record, next int64)
	// Apply takes new records in order.
	Apply(list []Record)
}

const (
	// callTimeout bounds a call beyond the time that it was asked to wait: a
	// slow store answers in some 250 ms, a silent connection never.
	callTimeout = 1200 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call, unless
	// WithRetry sets another upper bound.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// unread is the offset of a stream that was never read.
const unread = -1

// never is the age of what was never read.
const never = time.Hour

// relievedCheck is how often it is checked whether a peer still feeds.
const relievedCheck = 100 * time.Millisecond

// Tailer follows one stream.
type Tailer struct {
	name   string
	source Source
	sink   Sink
	clock  clockwork.Clock
	log    *zap.Logger
	wait   time.Duration
	relief time.Duration
	pace   func() time.Duration
	retry  func() time.Duration
	wake   chan struct{}

	mu   sync.Mutex
	next int64
	read time.Time
	// fed is when a peer last gave records that were fresh.
	fed time.Time
}

// Option sets one option of a Tailer.
type Option func(*Tailer)

// WithWait sets how long a read waits for a record.
func WithWait(d time.Duration) Option { return func(t *Tailer) { t.wait = d } }

// WithPace sets the pause between two reads, asked for before each.
func WithPace(pace func() time.Duration) Option { return func(t *Tailer) { t.pace = pace } }

// WithRetry sets the longest pause after a failed call, asked for each time.
func WithRetry(most func() time.Duration) Option { return func(t *Tailer) { t.retry = most } }

// WithRelief sets for how long records fed by a peer stand for an own reading.
func WithRelief(d time.Duration) Option { return func(t *Tailer) { t.relief = d } }

// New returns a tailer.
func New(name string, source Source, sink Sink, clock clockwork.Clock, log *zap.Logger, set ...Option) *Tailer {
	t := &Tailer{
		name: name, source: source, sink: sink, clock: clock, log: log,
		pace:  func() time.Duration { return 0 },
		retry: func() time.Duration { return retryMost },
		wake:  make(chan struct{}, 1), next: unread,
	}
	for _, o := range set {
		o(t)
	}
	return t
}

// Wake makes the next read begin at once.
func (t *Tailer) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run follows the stream until the context ends.
func (t *Tailer) Run(ctx context.Context) { t.run(ctx) }

func (t *Tailer) run(ctx context.Context) {
	away := false
	pause := retryLeast
	for ctx.Err() == nil {
		if t.relieved() {
			t.rest(ctx, relievedCheck)
			continue
		}
		err := t.step(ctx)
		switch {
		case err == nil:
			if away {
				t.log.Info(t.name + ": store is back")
			}
			away, pause = false, retryLeast
			t.rest(ctx, t.pace())
		case errors.Is(err, ErrTrimmed):
			t.log.Info(t.name + ": history is gone, reading the newest records")
			t.mu.Lock()
			t.next = unread
			t.mu.Unlock()
		case ctx.Err() != nil:
		default:
			if !away {
				t.log.Info(t.name+": store can't be read", zap.Error(err))
			}
			away = true
			t.rest(ctx, pause)
			pause = min(2*pause, t.retry())
		}
	}
}

// step reads once.
func (t *Tailer) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.wait+callTimeout)
	defer cancel()
	from := t.Next()
	if from != unread {
		list, end, err := t.source.Read(ctx, from, t.wait)
		if err != nil {
			return err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sink.Apply(list)
		t.next = max(t.next, end)
		t.read = t.clock.Now()
		return nil
	}
	list, end, err := t.source.Newest(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sink.Full(list, end)
	t.next = end
	t.read = t.clock.Now()
	return nil
}

// Next returns the offset at which reading goes on, negative if the stream was
// never read.
func (t *Tailer) Next() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.next
}

// Age returns how long ago the store was last read here.
func (t *Tailer) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.read.IsZero() {
		return never
	}
	return t.clock.Since(t.read)
}

// Feed takes records that a peer read, up to an offset. Fresh says whether the
// peer reads the store at its usual pace; if so this instance need not.
func (t *Tailer) Feed(list []Record, next int64, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The sink is told of a fresh reading that found nothing, too: it must
	// not take a quiet time for one without the store.
	if next > t.next || fresh && next == t.next {
		t.sink.Apply(list)
		t.next = next
	}
	if fresh {
		t.fed = t.clock.Now()
	}
}

func (t *Tailer) relieved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.fed.IsZero() && t.clock.Since(t.fed) < t.relief
}

func (t *Tailer) rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-t.wake:
	case <-t.clock.After(d):
	}
}
