package writer

import (
	"context"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primrosehook/claimer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/sharder"
)

type shard = sharder.Shard[claimer.Result, *claimer.Machine]

// inflightWrite is this instance's handling of the request for one key.
type inflightWrite struct {
	writer       *Writer
	request      Request
	shard        int
	digest       claimer.Digest
	attempt      *claimer.Attempt
	triedServers []string
	// handedOver is set if another process sent the write, see handover.
	handedOver bool
	// ownsClaim is set once the claim is won or its outcome handed over, so
	// that the outcome will be known here. It is guarded by Writer.mu.
	ownsClaim bool

	// done is closed by once, after response or err is set.
	once     sync.Once
	done     chan struct{}
	response Response
	err      error
}

// run takes the attempt to its end. It continues after the reply until the
// outcome is in the log.
func (k *inflightWrite) run(ctx context.Context) {
	s, done := k.writer.shards.Use(k.shard)
	defer done()
	// A write that was sent stays registered until the log has its outcome:
	// withdrawOrphans treats the claim of an unregistered write as never sent.
	if k.runSteps(ctx, s) {
		k.writer.finish(k)
	}
}

// runSteps executes the steps of the attempt. It reports whether nothing is
// left that only this process knows.
func (k *inflightWrite) runSteps(ctx context.Context, s *shard) bool {
	step, err := k.start(ctx, s)
	if err != nil {
		k.reply(claimer.Step{Refusal: judge.As(err)})
		return true
	}
	for {
		switch step.Act {
		case claimer.ActClaim:
			step = k.claim(ctx, s)
		case claimer.ActSend:
			step = k.send(ctx)
		case claimer.ActRecord:
			return k.record(ctx, s, step.Outcome)
		case claimer.ActWithdraw:
			step = k.withdraw(ctx, s)
		case claimer.ActWait:
			step = k.wait(ctx, s, step.WaitFor)
		case claimer.ActReply:
			k.reply(step)
			return true
		}
	}
}

// start looks the key up after the shard has been read to its end.
func (k *inflightWrite) start(ctx context.Context, s *shard) (claimer.Step, error) {
	claimCtx, cancel := context.WithTimeout(ctx, k.writer.options.claimTimeout)
	defer cancel()
	if err := s.Follower.AwaitCurrent(claimCtx); err != nil {
		k.writer.shards.Pause(k.shard, sharder.LogUnavailable())
		return claimer.Step{}, err
	}
	keyState, known := lookUp(s, k.attempt.Claim().Key)
	return k.attempt.Start(keyState, known), nil
}

func lookUp(s *shard, key string) (keyState claimer.KeyState, known bool) {
	s.Follower.View(func() { keyState, known = s.Machine.Lookup(key) })
	return keyState, known
}

func (k *inflightWrite) claim(ctx context.Context, s *shard) claimer.Step {
	claimCtx, cancel := context.WithTimeout(ctx, k.writer.options.claimTimeout)
	defer cancel()
	outcome, err := s.Follower.Submit(claimCtx, claimer.KindClaim, k.attempt.Claim())
	if err != nil {
		k.writer.shards.Pause(k.shard, sharder.LogUnavailable())
		k.writer.options.Logger.Warn("writer: claim was not confirmed", zap.String("stream", s.Stream), zap.Error(err))
		return k.attempt.ClaimFailed(err)
	}
	step := k.attempt.Claimed(outcome.Result)
	k.writer.setOwnsClaim(k, step)
	if outcome.Result.Answer == claimer.Full {
		k.writer.shards.Pause(k.shard, step.Refusal)
	} else {
		k.writer.shards.Pause(k.shard, nil)
	}
	return step
}

func (k *inflightWrite) send(ctx context.Context) claimer.Step {
	sendCtx, cancel := context.WithTimeout(ctx, k.writer.options.sendTimeout)
	defer cancel()
	w := k.writer
	// Uses the wall clock, because the monotonic clock may stop while the
	// machine is suspended.
	age := time.Duration(w.options.Clock.Now().Unix()-k.attempt.Claim().Time) * time.Second
	if claimer.DefaultLimits().TooLate(age) {
		return k.attempt.Paused()
	}
	w.mu.Lock()
	w.stats.Sent++
	w.mu.Unlock()
	response, server, err := w.sender.Send(sendCtx, k.request, k.triedServers)
	if err != nil {
		k.triedServers = append(k.triedServers, server)
		serversLeft := server != "" && len(k.triedServers) < maxServersPerWrite
		w.options.Logger.Warn("writer: send failed", zap.String("service", k.request.Service),
			zap.String("server", server), zap.Stringer("verdict", judge.Of(err)), zap.Error(err))
		return k.attempt.SendFailed(err, serversLeft)
	}
	return k.attempt.Responded(claimer.Outcome{Status: response.Status, Header: response.Header, Body: response.Body})
}

// record appends the outcome to the log. The caller is answered after the first
// attempt, confirmed or not. Attempts continue until the log has the outcome,
// since only this process knows it before. record reports whether nothing is
// left to record here.
func (k *inflightWrite) record(ctx context.Context, s *shard, outcome claimer.Outcome) bool {
	claim := k.attempt.Claim()
	body := claimer.Record{Key: claim.Key, Owner: claim.Owner, Outcome: outcome}
	for ctx.Err() == nil {
		recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := s.Follower.Submit(recordCtx, claimer.KindOutcome, body)
		cancel()
		k.reply(k.attempt.Recorded())
		if err == nil || k.claimClosed(s) || k.handOver(ctx, outcome) {
			return true
		}
		k.writer.options.Logger.Warn("writer: outcome was not recorded; trying again", zap.String("stream", s.Stream), zap.Error(err))
		k.sleep(ctx, time.Second)
	}
	return false
}

// claimClosed reports whether the claim is no longer open in the log. It
// returns false for a claim of another process, which may not have been read
// from the log yet.
func (k *inflightWrite) claimClosed(s *shard) bool {
	if k.handedOver {
		return false
	}
	claim := k.attempt.Claim()
	keyState, known := lookUp(s, claim.Key)
	return !known || keyState.Owner != claim.Owner || keyState.Outcome != nil
}

func (k *inflightWrite) withdraw(ctx context.Context, s *shard) claimer.Step {
	withdrawCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	claim := k.attempt.Claim()
	_, _ = s.Follower.Submit(withdrawCtx, claimer.KindWithdraw, claimer.Withdraw{Key: claim.Key, Owner: claim.Owner})
	// If this is not confirmed, runWithdrawOrphans withdraws the claim.
	return k.attempt.Withdrawn()
}

// wait waits for the outcome of another process's claim.
func (k *inflightWrite) wait(ctx context.Context, s *shard, claimed claimer.KeyState) claimer.Step {
	timer := k.writer.options.Clock.NewTimer(k.writer.options.waitTimeout)
	defer timer.Stop()
	lastLookup := !k.isListed(claimed.Owner.Instance)
	for {
		changed := s.Follower.Changed()
		var keyState claimer.KeyState
		var known, freed bool
		s.Follower.View(func() {
			keyState, known = s.Machine.Lookup(claimed.Key)
			freed = s.Machine.Freed(claimed)
		})
		if !known && !freed {
			// The key expired while we waited.
			keyState, lastLookup = claimed, true
		}
		step := k.attempt.WaitEnded(keyState, freed, lastLookup)
		if step.Act != claimer.ActWait {
			return step
		}
		select {
		case <-changed:
		case <-k.done:
			return claimer.Step{Act: claimer.ActReply}
		case <-timer.Chan():
			lastLookup = true
		case <-ctx.Done():
			lastLookup = true
		}
		lastLookup = lastLookup || !k.isListed(claimed.Owner.Instance)
	}
}

// isListed reports whether the instance list has the claimant.
func (k *inflightWrite) isListed(name string) bool {
	return slices.ContainsFunc(k.writer.view.Instances(lister.KindEntry), func(i lister.Instance) bool {
		return i.Name == name
	})
}

// reply answers all waiting callers. Only the first call has an effect.
func (k *inflightWrite) reply(step claimer.Step) {
	k.once.Do(func() {
		k.response, k.err = responseOf(step)
		close(k.done)
	})
}

func (k *inflightWrite) sleep(ctx context.Context, d time.Duration) {
	t := k.writer.options.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// runWithdrawOrphans withdraws claims of this process that no write in progress
// uses. Such a claim reached the log after its attempt was given up. Its write
// was never sent and never will be, since every attempt has its own claim.
func (w *Writer) runWithdrawOrphans(ctx context.Context) {
	ticker := w.options.Clock.NewTicker(orphanCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, s := range w.shards.Followed() {
			w.withdrawOrphans(ctx, s)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

func (w *Writer) withdrawOrphans(ctx context.Context, s *shard) {
	var open []claimer.Claim
	s.Follower.View(func() { open = s.Machine.Open(w.view.Self().Name) })
	for _, c := range open {
		w.mu.Lock()
		_, working := w.byOwner[c.Owner]
		w.mu.Unlock()
		if working {
			continue
		}
		withdrawCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := s.Follower.Submit(withdrawCtx, claimer.KindWithdraw, claimer.Withdraw{Key: c.Key, Owner: c.Owner})
		cancel()
		if err != nil {
			return
		}
	}
}

const uuidLength = 36

// keyIssuedAt returns when a key was made, in Unix seconds, if it is a version
// 7 UUID, which contains its creation time, and else 0.
func keyIssuedAt(key string) int64 {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[14] != '7' {
		return 0
	}
	head, err := hex.DecodeString(key[:8] + key[9:13])
	if err != nil {
		return 0
	}
	var ms int64
	for _, b := range head {
		ms = ms<<8 | int64(b)
	}
	return ms / int64(time.Second/time.Millisecond)
}
