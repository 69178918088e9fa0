package follower

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/replayer"
)

// overdueHalfIntervals is the age of the newest snapshot, in half snapshot
// intervals, at which any follower with complete state writes one. The
// instance that is responsible for it may have just started and need a
// snapshot itself.
const overdueHalfIntervals = 3

// appendReset appends an entry that resets the state, if that is due.
func (f *Follower[R]) appendReset(ctx context.Context) {
	f.mu.Lock()
	due := f.options.resetDelay > 0 && f.atEnd && !f.replica.Complete() && !f.incompleteSince.IsZero() &&
		f.options.clock.Since(f.incompleteSince) > f.options.resetDelay
	body := replayer.Reset{Read: f.replica.NextOffset(), From: f.replica.FirstOffset()}
	if due {
		f.incompleteSince = time.Time{}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	f.options.log.Warn("follower: no snapshot is left; state starts anew", zap.String("stream", f.stream))
	if err := f.appendInternal(ctx, replayer.KindReset, body); err != nil {
		f.options.log.Warn("follower: reset was not appended", zap.String("stream", f.stream), zap.Error(err))
	}
}

// snapshotDue reports whether this follower should write a snapshot, since
// the newest one is too old by number of records or by age. It is called with
// the lock held.
func (f *Follower[R]) snapshotDue() bool {
	if !f.replica.Complete() || !f.atEnd || f.replica.NextOffset() == 0 {
		return false
	}
	now := f.options.clock.Now()
	if !f.snapshotAttemptedAt.IsZero() && now.Sub(f.snapshotAttemptedAt) < snapshotRetryInterval {
		return false
	}
	if f.replica.NextOffset()-f.replica.SnapshotAt() > f.options.snapshotRecords {
		return f.options.writesSnapshots()
	}
	age := f.snapshotAge()
	return f.options.snapshotInterval > 0 && (age > f.options.snapshotInterval && f.options.writesSnapshots() || age > overdueHalfIntervals*f.options.snapshotInterval/2)
}

// snapshotAge returns the age of the newest snapshot. It is called with the
// lock held.
func (f *Follower[R]) snapshotAge() time.Duration {
	return f.options.clock.Since(time.Unix(f.replica.SnapshotTime(), 0))
}

// isDurable reports whether the state can be restored from the log: the log
// can be read and the newest snapshot is not overdue. It is also true if
// there is no complete state to keep, or if snapshots are not taken by age.
// It is called with the lock held.
func (f *Follower[R]) isDurable() bool {
	if !f.replica.Complete() || f.replica.NextOffset() == 0 || f.options.snapshotInterval == 0 {
		return true
	}
	return f.reachable && f.snapshotAge() <= overdueHalfIntervals*f.options.snapshotInterval/2
}

// appendSnapshot writes a snapshot, if one is due, before retention drops the
// records from which the state was built.
func (f *Follower[R]) appendSnapshot(ctx context.Context) {
	f.mu.Lock()
	due := f.snapshotDue()
	var snapshot replayer.Snapshot
	err := error(nil)
	if due {
		snapshot, err = f.replica.Snapshot()
		f.snapshotAttemptedAt = f.options.clock.Now()
	}
	f.mu.Unlock()
	if !due {
		return
	}
	if err == nil {
		snapshot.Writer = f.instance
		snapshot.Time = f.options.clock.Now().Unix()
		err = f.appendParts(ctx, snapshot.Split(snapshotPartBytes))
	}
	if err != nil {
		f.options.log.Warn("follower: snapshot was not appended", zap.String("stream", f.stream), zap.Error(err))
	}
}

func (f *Follower[R]) appendParts(ctx context.Context, parts []replayer.Snapshot) error {
	if len(parts) > replayer.MaxParts {
		return judge.Invalid("size", "snapshot has too many parts")
	}
	for _, part := range parts {
		if err := f.appendInternal(ctx, replayer.KindSnapshot, part); err != nil {
			return err
		}
	}
	return nil
}

// appendInternal appends an entry that is handled by the replica and not by
// the machine.
func (f *Follower[R]) appendInternal(ctx context.Context, kind string, body any) error {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return err
	}
	record, err := replayer.Encode([]replayer.Entry{{Kind: kind, Body: data}})
	if err != nil {
		return err
	}
	appendCtx, cancel := context.WithTimeout(ctx, f.options.appendTimeout)
	defer cancel()
	if _, err := f.log.Append(appendCtx, f.stream, record); err != nil {
		return err
	}
	f.mu.Lock()
	f.appends++
	f.mu.Unlock()
	return nil
}
