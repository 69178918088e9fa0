package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"primrosehook/tailer"
)

const (
	// minIncompleteTerm is how long a holder without configuration or registry waits for the store
	// before it leaves the lease to an instance that has both. It doubles up to maxIncompleteTerm each
	// time that no other instance has claimed the lease.
	minIncompleteTerm = 3 * time.Second
	maxIncompleteTerm = time.Minute
	// handoverPause is for how long an instance that has left the lease does not claim it while it is
	// incomplete: enough for others to miss its replies, to read the release and to claim.
	handoverPause = 5 * time.Second
)

// completeness tells when a lease holder that lacks the configuration or the registry is to leave the
// lease. Nobody feeds a holder, and without both it sends no orders.
type completeness struct {
	mu sync.Mutex
	// since is when a complete instance first reported in this term, zero if none has. term is how
	// long this instance then keeps the lease.
	since time.Time
	term  time.Duration
}

// leaves reports whether an incomplete holder is to leave the lease, at a report of a complete instance.
func (s *completeness) leaves(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = max(s.term, minIncompleteTerm)
	if s.since.IsZero() {
		s.since = now
	}
	if now.Sub(s.since) < s.term {
		return false
	}
	s.since, s.term = time.Time{}, min(2*s.term, maxIncompleteTerm)
	return true
}

// startTerm forgets the reports of an earlier term.
func (s *completeness) startTerm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// reset records that this instance is complete.
func (s *completeness) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.term = time.Time{}, 0
}

// isComplete reports whether this instance has a configuration and the registry.
func (c *Coordinator) isComplete() bool {
	return c.Table() != nil && c.cluster.knowsRegistry()
}

func (c *clusterState) knowsRegistry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRegistry
}

// leaveIfIncomplete makes this instance, which holds the lease, leave it to instances that have what it
// lacks.
func (c *Coordinator) leaveIfIncomplete(r Report) {
	switch {
	case c.isComplete():
		c.completeness.reset()
	case r.Instance == c.Instance || r.Registry == noPosition || r.Config == noConfig:
	case c.completeness.leaves(c.Clock.Now()):
		c.Log.Info("coordinator: leaves the lease, another instance has what the store does not give", zap.String("peer", r.Instance), zap.Int64("config", c.configVersion()), zap.Int64("registry_next", c.Registry.Next()))
		c.lease.Leave()
	}
}

// Leave makes this instance release the lease at its next step. While it is incomplete it claims it
// again only after a pause.
func (l *Lease) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
}

// takeLeaving reports whether the lease is to be released now.
func (l *Lease) takeLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaving := l.leaving
	l.leaving = false
	return leaving && l.elector.IsHolder() && !l.stopping
}

// leave releases the lease. If that fails this instance goes on to renew it.
func (l *Lease) leave(ctx context.Context) {
	l.mu.Lock()
	e, at := l.releaseEntry()
	l.claimFrom = l.boot.Now().Add(handoverPause)
	l.mu.Unlock()
	err := l.appendRelease(ctx, e, at)
	l.recordResult(err == nil || errors.Is(err, ErrOffsetMismatch))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elector.ReleaseResolved()
	if err != nil {
		l.logger.Info("lease: release failed, it is read again", zap.Error(err))
		l.unconfirmed = true
		return
	}
	l.nextOffset = at + 1
	l.observe(l.boot.Now(), at, e)
}

// releaseEntry makes the lease invalid and returns the entry that releases it, and where it is to be
// appended. l.mu must be held.
func (l *Lease) releaseEntry() (e Entry, at int64) {
	e = l.self
	e.Release, e.Fence = true, l.lastEntry.Fence
	now := l.boot.Now()
	e.Clear = l.elector.Valid(now) && !now.Before(l.orderFrom)
	e.Entitled, e.Late = l.lastEntry.Entitled, l.lastEntry.Late
	at = l.nextOffset
	e.Era, _ = tailer.SplitPosition(at)
	if l.elector.IsHolder() {
		l.elector.Release()
	}
	return e, at
}

// appendRelease appends an entry that releases the lease.
func (l *Lease) appendRelease(ctx context.Context, e Entry, at int64) error {
	if e.updateLate(l.lateOrders) && e.Late != nil {
		e.Late.Exact = true
	}
	return l.append(ctx, e, at)
}
