package relayer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// probeDelay is the time from a broken connection to the probe of its server:
	// a process that ends closes its connections one after the other.
	probeDelay = 20 * time.Millisecond
	// probeTimeout limits a probe. A server that does not answer it may be
	// unreachable rather than down.
	probeTimeout = time.Second
)

// closedByServer records that the server closed the connection while it had the
// request, and finds out whether it has crashed. Other requests may not show that
// in time, since servers with failures are avoided.
func (t *attempt) closedByServer() {
	t.suspects.ConnectionBroke(t.digest, t.assignment.Incarnation)
	if t.beginProbe(t.assignment.Incarnation) {
		go t.runProbe()
	}
}

// runProbe probes the server of the attempt, and again if its connections broke
// meanwhile.
func (t *attempt) runProbe() {
	for {
		t.probe()
		if !t.endProbe(t.assignment.Incarnation) {
			return
		}
	}
}

// probe connects to the server of the attempt.
func (t *attempt) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), probeDelay+probeTimeout)
	defer cancel()
	select {
	case <-t.clock.After(probeDelay):
	case <-ctx.Done():
		return
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
