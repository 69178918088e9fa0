package follower

import (
	"context"
	"time"

	"primrosehook/judge"
	"primrosehook/replayer"
)

func (f *Follower[R]) runAppend(ctx context.Context) {
	var checks <-chan time.Time
	if f.options.snapshotInterval > 0 {
		t := f.options.clock.NewTicker(f.options.snapshotInterval / snapshotChecksPerInterval)
		defer t.Stop()
		checks = t.Chan()
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.appendRequested:
		case <-checks:
		}
		f.sleep(ctx, f.options.groupInterval)
		f.appendSnapshot(ctx)
		f.appendReset(ctx)
		for f.appendGroup(ctx) {
			f.awaitRate(ctx)
		}
	}
}

// awaitRate waits until the rate limit allows one more append to the stream.
// While it waits, a busy stream gathers larger groups, since all streams
// share the append capacity of the log. A stream that was quiet has burst
// left and does not wait.
func (f *Follower[R]) awaitRate(ctx context.Context) {
	now := f.options.clock.Now()
	if delay := f.limiter.ReserveN(now, 1).DelayFrom(now); delay > 0 {
		f.sleep(ctx, delay)
	}
}

// appendGroup appends one group of queued entries. It reports false if the
// queue was empty.
func (f *Follower[R]) appendGroup(ctx context.Context) bool {
	group, entries := f.takeGroup()
	if len(group) == 0 {
		return false
	}
	data, err := replayer.Encode(entries)
	if err != nil {
		f.failGroup(group, judge.Invalid("encode", "group cannot be encoded"))
		return true
	}
	appendCtx, cancel := context.WithTimeout(ctx, f.options.appendTimeout)
	_, err = f.log.Append(appendCtx, f.stream, data)
	cancel()
	if err != nil && judge.Of(err) == judge.NotRun {
		f.failGroup(group, err)
	}
	// After any other error the entries stay pending: they may be in the log,
	// which only reading it can show. A retry could append them twice.
	return true
}

func (f *Follower[R]) takeGroup() ([]*pendingEntry[R], []replayer.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []replayer.Entry
	size := 0
	for _, p := range f.queue {
		size += len(p.entry.Body)
		if len(entries) == replayer.MaxGroup || (len(entries) > 0 && size > maxGroupBytes) {
			break
		}
		p.sent = true
		entries = append(entries, p.entry)
	}
	group := f.queue[:len(entries):len(entries)]
	f.queue = f.queue[len(entries):]
	if len(entries) > 0 {
		f.appends++
	}
	return group, entries
}

func (f *Follower[R]) failGroup(group []*pendingEntry[R], err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range group {
		delete(f.pending, p.entry.Origin)
		p.fail <- err
	}
}
