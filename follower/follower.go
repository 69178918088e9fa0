// Package follower applies a log stream to a replayer.Machine and appends to
// the stream.
//
// One goroutine reads, another appends. Entries submitted within the group
// interval share one append, since the log accepts only several hundred
// appends a second in total. The outcome of a submission is determined by
// reading the entry back, not by the reply to the append: that reply may be
// lost after the append took effect, and only the position in the log decides
// which entry came first.
//
// Example: two instances claim the same write key at the same time, and both
// appends return an offset. Both instances read both records and both
// machines accept only the first, so exactly one Submit returns "accepted".
package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"primrosehook/judge"
	"primrosehook/recorder"
	"primrosehook/replayer"
)

// Outcome is the result of applying a submitted entry.
type Outcome[R any] struct {
	Position replayer.Position
	Result   R
}

// pendingEntry is a submitted entry that has not been read back yet.
type pendingEntry[R any] struct {
	entry replayer.Entry
	// sent is set once an append that contains the entry has been started.
	sent bool
	done chan Outcome[R]
	fail chan error
}

// Follower follows one stream.
type Follower[R any] struct {
	log      recorder.Log
	stream   string
	instance string
	options  options
	limiter  *rate.Limiter

	mu      sync.Mutex
	replica *replayer.Replica[R]
	seq     uint64
	pending map[replayer.Origin]*pendingEntry[R]
	queue   []*pendingEntry[R]
	// caughtUp is closed once a read has reached the end of the stream with
	// complete state.
	caughtUp chan struct{}
	current  bool
	// atEnd is set if the latest read reached the end of the stream. Unlike
	// current it is also set while the state is incomplete because of
	// retention: such a follower also waits for new records instead of
	// polling in a loop.
	atEnd bool
	// startSkipped is set while the start of the stream has been skipped.
	startSkipped bool
	// snapshotAttemptedAt is when this follower last tried to write a
	// snapshot, whatever the outcome. It is zero once a newer snapshot has
	// been read.
	snapshotAttemptedAt time.Time
	// incompleteSince is since when the end of the stream has been reached
	// with incomplete state. It is zero if the state is complete, and is
	// cleared when a reset is attempted.
	incompleteSince time.Time
	readAt          time.Time
	// reachable is set while the latest read succeeded. unreachable is closed
	// when a read fails, and replaced when one succeeds.
	reachable       bool
	unreachable     chan struct{}
	changed         chan struct{}
	appendRequested chan struct{}
	appends         int64
}

// New returns a follower of a stream. The instance name must be unique to
// this process: a restart on the same address needs another one.
func New[R any](log recorder.Log, stream, instance string, machine replayer.Machine[R], opts ...Option) *Follower[R] {
	o := options{
		clock:           clockwork.NewRealClock(),
		log:             zap.NewNop(),
		groupInterval:   defaultGroupInterval,
		appendTimeout:   defaultAppendTimeout,
		readWait:        defaultReadWait,
		retryInterval:   defaultRetryInterval,
		snapshotRecords: defaultSnapshotRecords,
		rate:            rate.Inf,
		writesSnapshots: func() bool { return false },
	}
	for _, f := range opts {
		f(&o)
	}
	return &Follower[R]{
		log:             log,
		stream:          stream,
		instance:        instance,
		options:         o,
		limiter:         rate.NewLimiter(o.rate, o.burst),
		replica:         replayer.NewReplica(machine),
		pending:         map[replayer.Origin]*pendingEntry[R]{},
		caughtUp:        make(chan struct{}),
		unreachable:     make(chan struct{}),
		changed:         make(chan struct{}),
		appendRequested: make(chan struct{}, 1),
	}
}

// Start begins reading and appending, until the context ends.
func (f *Follower[R]) Start(ctx context.Context) {
	go f.runRead(ctx)
	go f.runAppend(ctx)
}

// View calls a function while no entry is applied to the machine. The
// function must not block, nor retain what it reads.
func (f *Follower[R]) View(inspect func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inspect()
}

// Status describes how far a follower has read.
type Status struct {
	Next     int64
	Complete bool
	Current  bool
	ReadAt   time.Time
	// Reachable is set while the latest read succeeded.
	Reachable bool
	// Durable is set if the state can be restored from the log: the log can be
	// read and the newest snapshot is not overdue. It is also set while there
	// is no complete state to keep, and if snapshots are not taken by age.
	Durable   bool
	Appends   int64
	Malformed int
}

// Status returns how far the follower has read. Current is set if a read has
// reached the end of the stream with complete state, and the state is still
// complete. ReadAt is when a read last succeeded.
func (f *Follower[R]) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		Next:      f.replica.NextOffset(),
		Complete:  f.replica.Complete(),
		Current:   f.current && f.replica.Complete(),
		ReadAt:    f.readAt,
		Reachable: f.reachable,
		Durable:   f.isDurable(),
		Appends:   f.appends,
		Malformed: f.replica.Malformed(),
	}
}

// Changed returns a channel that is closed when records are next read.
// Entries, a snapshot or a reset may then have changed the state.
func (f *Follower[R]) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// AwaitCurrent waits until the state has reached the stream's end for the
// first time. It returns an error at once while the log cannot be read.
func (f *Follower[R]) AwaitCurrent(ctx context.Context) error {
	f.mu.Lock()
	unreachable := f.unreachable
	if f.current {
		unreachable = nil
	}
	f.mu.Unlock()
	select {
	case <-f.caughtUp:
		return nil
	case <-unreachable:
	case <-ctx.Done():
	}
	return judge.Unavailable("log", "log stream has not been read to its end", time.Second)
}

// Submit appends an entry and waits until it has been read back. The verdict
// of the error is NotRun if the entry is not in the log and never will be,
// and MayHaveRun if it may still appear there.
func (f *Follower[R]) Submit(ctx context.Context, kind string, body any) (Outcome[R], error) {
	var zero Outcome[R]
	data, err := msgpack.Marshal(body)
	if err != nil {
		return zero, judge.Invalid("encode", "entry cannot be encoded")
	}
	if len(data) > maxEntryBytes {
		return zero, judge.Invalid("size", "entry is over the log's record limit")
	}
	p, err := f.enqueue(kind, data)
	if err != nil {
		return zero, err
	}
	select {
	case outcome := <-p.done:
		return outcome, nil
	case err := <-p.fail:
		return zero, err
	case <-ctx.Done():
		return f.abandon(p)
	}
}

func (f *Follower[R]) enqueue(kind string, data []byte) (*pendingEntry[R], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) >= maxQueuedEntries {
		return nil, judge.Unavailable("log", "too many entries wait for the log", time.Second)
	}
	f.seq++
	origin := replayer.Origin{Instance: f.instance, Seq: f.seq}
	p := &pendingEntry[R]{
		entry: replayer.Entry{Kind: kind, Origin: origin, Body: data},
		done:  make(chan Outcome[R], 1),
		fail:  make(chan error, 1),
	}
	f.pending[origin] = p
	f.queue = append(f.queue, p)
	f.requestAppend()
	return p, nil
}

func (f *Follower[R]) requestAppend() {
	select {
	case f.appendRequested <- struct{}{}:
	default:
	}
}

// abandon stops waiting for an entry whose context has ended. An entry that
// no append contains yet is removed from the queue, so it is certain not to
// run.
func (f *Follower[R]) abandon(p *pendingEntry[R]) (Outcome[R], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, p.entry.Origin)
	select {
	case outcome := <-p.done:
		return outcome, nil
	case err := <-p.fail:
		return Outcome[R]{}, err
	default:
	}
	if p.sent {
		return Outcome[R]{}, judge.Unknown("log", "log has not confirmed the entry", nil)
	}
	f.queue = slices.DeleteFunc(f.queue, func(q *pendingEntry[R]) bool { return q == p })
	return Outcome[R]{}, judge.Unavailable("log", "log service is not reachable", time.Second)
}

func (f *Follower[R]) sleep(ctx context.Context, d time.Duration) {
	t := f.options.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}
