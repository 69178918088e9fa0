package writer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"primrosehook/claimer"
	"primrosehook/judge"
	"primrosehook/sharder"
)

// kindHandover is the message that hands an outcome which is not in the log yet
// from a stopping instance to another one.
const kindHandover = "write.outcome"

// maxHandovers limits the outcomes of other instances that wait here to be
// recorded in the log.
const maxHandovers = 1024

// handover is an outcome that only the process which sent the write knows. Two
// instances may record it: both records are equal, and the first one in the log
// counts.
type handover struct {
	Claim   claimer.Claim   `msgpack:"c"`
	Outcome claimer.Outcome `msgpack:"o"`
	Shard   int             `msgpack:"s"`
}

// handOver sends an outcome to another owner of its shard if this instance is
// draining, and reports whether one accepted it. If the outcome were dropped
// instead, repeats would be answered may-have-run forever although the response
// was known.
func (k *inflightWrite) handOver(ctx context.Context, outcome claimer.Outcome) bool {
	w := k.writer
	if !w.isDraining() {
		return false
	}
	body := handover{Claim: k.attempt.Claim(), Outcome: outcome, Shard: k.shard}
	_, err := sharder.Forward(ctx, w.shards.Route(kindHandover), w.shards.Stream(k.shard), body, w.acceptHandover)
	if err != nil {
		w.options.Logger.Warn("writer: outcome was not handed over", zap.Error(err))
	}
	return err == nil
}

func (w *Writer) isDraining() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining
}

// acceptHandover accepts another instance's outcome. It is recorded once the
// log is available again; until then it answers repeats that arrive here.
func (w *Writer) acceptHandover(_ context.Context, h handover) (bool, error) {
	if h.Shard < 0 || h.Shard >= w.shards.Count() {
		return false, judge.Invalid("body", "no such shard")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return false, judge.Unavailable(sharder.CodeDraining, "instance takes no more outcomes", time.Second)
	}
	if _, ok := w.byOwner[h.Claim.Owner]; ok {
		return true, nil
	}
	if w.handovers >= maxHandovers {
		return false, judge.Unavailable("busy", "too many outcomes wait for the log", time.Second)
	}
	k := &inflightWrite{
		writer:     w,
		shard:      h.Shard,
		digest:     h.Claim.Digest,
		attempt:    claimer.FromHandover(h.Claim, h.Outcome),
		handedOver: true,
		ownsClaim:  true,
		done:       make(chan struct{}),
	}
	k.reply(k.attempt.Recorded())
	w.handovers++
	w.byOwner[h.Claim.Owner] = k
	// A repeat that arrived earlier may be waiting under the key.
	if waiter, ok := w.byKey[h.Claim.Key]; ok && waiter.digest == h.Claim.Digest {
		waiter.reply(k.attempt.Recorded())
	}
	w.byKey[h.Claim.Key] = k
	go k.runHandover(w.ctx, h.Outcome)
	return true, nil
}

func (k *inflightWrite) runHandover(ctx context.Context, outcome claimer.Outcome) {
	s, done := k.writer.shards.Use(k.shard)
	defer done()
	if k.record(ctx, s, outcome) {
		k.writer.finish(k)
	}
}
