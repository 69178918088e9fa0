package relayer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/quarantiner"
)

const (
	// probeDelay is the time from a broken connection to the probe of its server:
	// a process that ends closes its connections one after the other.
	probeDelay = 20 * time.Millisecond
	// probeTimeout limits a probe. A server that does not answer it may be
	// unreachable rather than down.
	probeTimeout = time.Second
	// minSilence is how long a server must have sent nothing for a request that is given up
	// there to count as one that may have ended it.
	minSilence = 500 * time.Millisecond
	// beginningTime is how long after its first event an answer may still be one that
	// crashes its server by beginning.
	beginningTime = 500 * time.Millisecond
)

var (
	errServerCrashed = errors.New("the server crashed before the answer was complete")
	errNotConfirmed  = errors.New("the connection ended, and the server does not answer a probe")
)

// confirmEnd finds out whether an answer that has ended with its connection is
// complete: a server that crashes ends its connections too, but takes no new one.
func (t *attempt) confirmEnd() error {
	if !t.answer.EndsWithConnection() {
		return nil
	}
	t.recordBreak()
	switch err := t.probe(t.attemptContext); {
	case err == nil:
		t.broken = false
		return nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return errServerCrashed
	default:
		return errNotConfirmed
	}
}

// closedByServer records that the server closed the connection while it had the
// request, and finds out whether it has crashed. Other requests may not show that
// in time, since servers with failures are avoided.
func (t *attempt) closedByServer() {
	t.recordBreak()
	if t.beginProbe(t.assignment.Incarnation) {
		go t.runProbe()
	}
}

// recordSilence records that the request is given up at a server that has fallen silent. It
// may have ended without closing its connections, which shows when another one replaces it.
func (t *attempt) recordSilence() {
	if t.assignment.IdleTime() >= minSilence {
		t.recordBreak()
	}
}

// recordBreak records that the connection ended while the server had the request.
func (t *attempt) recordBreak() {
	t.broken = true
	t.suspects.ConnectionBroke(t.identity, t.assignment.Incarnation)
	if t.justBegun() {
		t.parts.ConnectionBroke(quarantiner.CutRequest{ID: balancer.Hash(t.meta.ID), Parts: t.prefix}, t.assignment.Incarnation)
	}
}

// justBegun reports whether the answer has not begun, or so recently that its beginning
// may have crashed the server.
func (t *attempt) justBegun() bool {
	return t.firstEvent.IsZero() || t.clock.Since(t.firstEvent) < beginningTime
}

// recordProgress records that an event of the stream has arrived.
func (t *attempt) recordProgress() {
	switch {
	case t.firstEvent.IsZero():
		t.firstEvent = t.clock.Now()
		t.assignment.RecordFirstEvent()
	case !t.survived && !t.justBegun():
		t.recordSurvival()
	}
}

// recordSurvival records that the request does not crash its server.
func (t *attempt) recordSurvival() {
	t.survived = true
	t.turn.End(false)
	t.parts.Survived(t.prefix)
}

// runProbe probes the server of the attempt, and again if its connections broke
// meanwhile.
func (t *attempt) runProbe() {
	for {
		_ = t.probe(context.Background()) // probe acts on the error
		if !t.endProbe(t.assignment.Incarnation) {
			return
		}
	}
}

// probe connects to the server of the attempt. If it takes no connections, it has
// crashed, which is recorded.
func (t *attempt) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeDelay+probeTimeout)
	defer cancel()
	select {
	case <-t.clock.After(probeDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	err := t.assignment.Pool.Probe(ctx)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		t.assignment.MarkUnreachable()
		t.serverCrashed()
	default:
		t.log.Info("relay: server does not answer a probe", zap.String("server", t.assignment.ID), zap.Error(err))
	}
	return err
}

// beginProbe reports whether to probe an incarnation of a server. While a probe is
// in progress it asks for another one after it instead.
func (r *Relayer) beginProbe(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, inProgress := r.probes[incarnation]
	r.probes[incarnation] = inProgress
	return !inProgress
}

// endProbe reports whether another probe was asked for. If so, it has begun.
func (r *Relayer) endProbe(incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.probes[incarnation]
	if again {
		r.probes[incarnation] = false
	} else {
		delete(r.probes, incarnation)
	}
	return again
}

// serverCrashed records that the server of the attempt has crashed.
func (t *attempt) serverCrashed() {
	t.parts.EngineLost(t.assignment.Incarnation)
	suspects := t.suspects.EngineLost(t.assignment.Incarnation)
	if len(suspects) == 0 {
		return
	}
	digests := make([]string, len(suspects))
	for i, d := range suspects {
		digests[i] = digestText(d)
	}
	t.log.Info("relay: server crashed", zap.String("server", t.assignment.ID), zap.Strings("suspects", digests))
}
