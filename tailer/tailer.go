// Package tailer follows a keyed stream of records: it takes the newest record
// of each key, and then each new record as it comes.
package tailer

import (
	"context"
	"errors"
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
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Tailer follows one stream.
type Tailer struct {
	name   string
	source Source
	sink   Sink
	clock  clockwork.Clock
	log    *zap.Logger
	wait   time.Duration
	pace   func() time.Duration
	wake   chan struct{}
	ready  chan struct{}
}

// Option sets one option of a Tailer.
type Option func(*Tailer)

// WithWait sets how long a read waits for a record.
func WithWait(d time.Duration) Option { return func(t *Tailer) { t.wait = d } }

// WithPace sets the pause between two reads, asked for before each.
func WithPace(pace func() time.Duration) Option { return func(t *Tailer) { t.pace = pace } }

// New returns a tailer.
func New(name string, source Source, sink Sink, clock clockwork.Clock, log *zap.Logger, set ...Option) *Tailer {
	t := &Tailer{
		name: name, source: source, sink: sink, clock: clock, log: log,
		pace: func() time.Duration { return 0 },
		wake: make(chan struct{}, 1), ready: make(chan struct{}),
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

// Ready is closed once the stream was read the first time.
func (t *Tailer) Ready() <-chan struct{} { return t.ready }

// Run follows the stream until the context ends.
func (t *Tailer) Run(ctx context.Context) { t.run(ctx) }

func (t *Tailer) run(ctx context.Context) {
	next, away := int64(-1), false
	pause := retryLeast
	for ctx.Err() == nil {
		got, err := t.step(ctx, next)
		switch {
		case err == nil:
			if away {
				t.log.Info(t.name + ": store is back")
			}
			next, away, pause = got, false, retryLeast
			t.rest(ctx, t.pace())
		case errors.Is(err, ErrTrimmed):
			t.log.Info(t.name+": history is gone, reading the newest records", zap.Int64("offset", next))
			next = -1
		case ctx.Err() != nil:
		default:
			if !away {
				t.log.Info(t.name+": store can't be read", zap.Error(err))
			}
			away = true
			t.rest(ctx, pause)
			pause = min(2*pause, retryMost)
		}
	}
}

// step reads once and returns where to read on.
func (t *Tailer) step(ctx context.Context, next int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, t.wait+callTimeout)
	defer cancel()
	if next >= 0 {
		list, end, err := t.source.Read(ctx, next, t.wait)
		if err != nil {
			return next, err
		}
		t.sink.Apply(list)
		return end, nil
	}
	list, end, err := t.source.Newest(ctx)
	if err != nil {
		return next, err
	}
	t.sink.Full(list, end)
	select {
	case <-t.ready:
	default:
		close(t.ready)
	}
	return end, nil
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
