package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primrosehook/recorder"
	"primrosehook/replayer"
)

func (f *Follower[R]) runRead(ctx context.Context) {
	f.startNearEnd(ctx)
	for ctx.Err() == nil {
		f.mu.Lock()
		from := f.replica.NextOffset()
		wait := f.options.readWait
		switch {
		case !f.atEnd:
			wait = 0
		case !f.incompleteSince.IsZero():
			wait = min(wait, incompleteReadWait)
		}
		f.mu.Unlock()
		readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
		batch, err := f.log.Read(readCtx, f.stream, from, maxReadRecords, wait)
		cancel()
		if err != nil {
			f.options.log.Debug("follower: log read failed", zap.String("stream", f.stream), zap.Error(err))
			f.mu.Lock()
			f.markUnreachable()
			f.mu.Unlock()
			f.sleep(ctx, f.options.retryInterval)
			continue
		}
		f.applyBatch(batch)
	}
}

// markUnreachable records that a read failed. It is called with the lock
// held.
func (f *Follower[R]) markUnreachable() {
	f.reachable = false
	select {
	case <-f.unreachable:
	default:
		close(f.unreachable)
	}
}

// markReachable records that a read succeeded. It is called with the lock
// held.
func (f *Follower[R]) markReachable() {
	f.reachable = true
	select {
	case <-f.unreachable:
		f.unreachable = make(chan struct{})
	default:
	}
}

// startNearEnd skips the start of a long stream. The newest snapshot is
// normally at most one snapshot interval and its own parts before the end; it
// starts two intervals before the end to leave a margin.
func (f *Follower[R]) startNearEnd(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeoutMargin)
	defer cancel()
	batch, err := f.log.Read(readCtx, f.stream, 0, 1, 0)
	if err != nil {
		return
	}
	start := batch.Next - 2*f.options.snapshotRecords - replayer.MaxParts
	if start <= batch.First {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.StartAt(start)
	f.startSkipped = true
}

// recoverState is called at the end of the stream while the state is
// incomplete, with the lock held. If the start of the stream was skipped and
// no snapshot was found near the end, it reads again from the start of the
// log. Otherwise only a reset can help, which it requests once that is due.
func (f *Follower[R]) recoverState() {
	if f.startSkipped {
		f.startSkipped = false
		f.replica.StartAt(f.replica.FirstOffset())
		f.atEnd = false
		return
	}
	now := f.options.clock.Now()
	if f.incompleteSince.IsZero() {
		f.incompleteSince = now
	}
	if f.options.resetDelay > 0 && now.Sub(f.incompleteSince) > f.options.resetDelay {
		f.requestAppend()
	}
}

// applyBatch applies the records of a read, resolves the submissions among
// them, and requests a snapshot or a reset if one is due.
func (f *Follower[R]) applyBatch(batch recorder.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	snapshotBefore := f.replica.SnapshotAt()
	applied := f.replica.ApplyBatch(batch)
	if f.replica.SnapshotAt() > snapshotBefore {
		f.snapshotAttemptedAt = time.Time{}
	}
	f.readAt = f.options.clock.Now()
	f.markReachable()
	for _, a := range applied {
		p, ok := f.pending[a.Origin]
		if !ok {
			continue
		}
		delete(f.pending, a.Origin)
		p.done <- Outcome[R]{Position: a.Position, Result: a.Result}
	}
	if len(batch.Records) > 0 {
		// Signal even if no entry was applied: a snapshot or a reset also changes
		// the state.
		close(f.changed)
		f.changed = make(chan struct{})
	}
	f.atEnd = f.replica.NextOffset() >= batch.Next
	switch {
	case f.atEnd && !f.replica.Complete():
		f.recoverState()
	case f.atEnd && !f.current:
		f.current = true
		close(f.caughtUp)
	}
	if f.replica.Complete() {
		f.incompleteSince = time.Time{}
	}
	if f.snapshotDue() {
		f.requestAppend()
	}
}
