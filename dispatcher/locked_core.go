package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/driver"
)

// LockedCore implements Dispatcher with a Core, a lock and a clock. It starts no
// goroutines: a request waits in the goroutine that calls Acquire.
type LockedCore struct {
	clock clockwork.Clock

	mu   sync.Mutex
	core *Core
}

var _ Dispatcher = (*LockedCore)(nil)

// New returns a dispatcher without engines.
func New(opts ...Option) *LockedCore {
	core := NewCore(opts...)
	return &LockedCore{clock: core.clock, core: core}
}

// Acquire implements Dispatcher.
func (l *LockedCore) Acquire(ctx context.Context, work Work) (Grant, error) {
	l.mu.Lock()
	t := l.core.Offer(l.clock.Now(), work)
	if t.Settled() {
		l.mu.Unlock()
	} else {
		done := make(chan struct{})
		t.Tag = done
		wait := t.ExpiresAt().Sub(l.clock.Now())
		l.mu.Unlock()
		l.await(ctx, t, done, wait)
	}
	if t.Refusal != nil {
		return Grant{}, t.Refusal
	}
	return *t.Grant, nil
}

// await waits until the ticket is settled, wait has passed or ctx is done.
func (l *LockedCore) await(ctx context.Context, t *Ticket, done chan struct{}, wait time.Duration) {
	timer := l.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.Chan():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.notify(l.core.Expire(l.clock.Now()))
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
	}
	// A grant at the last moment stays valid: the caller of Acquire checks its
	// context and releases it.
	l.core.Abandon(t)
}

// notify signals the waiting Acquire calls of settled tickets.
func (l *LockedCore) notify(settled []*Ticket) {
	for _, t := range settled {
		if done, ok := t.Tag.(chan struct{}); ok {
			close(done)
		}
	}
}

// Release implements Dispatcher.
func (l *LockedCore) Release(grant Grant, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify(l.core.Release(l.clock.Now(), grant, result))
}

// Retry implements Dispatcher.
func (l *LockedCore) Retry() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Retry()
}

// UpdateEngines implements Dispatcher.
func (l *LockedCore) UpdateEngines(all []Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notify(l.core.UpdateEngines(l.clock.Now(), all))
}

// ApplyCacheEvent applies a prefix cache event of an engine.
func (l *LockedCore) ApplyCacheEvent(engine string, event driver.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ApplyCacheEvent(engine, event)
}

// Demand returns the recent demand at this instance by weights and class.
func (l *LockedCore) Demand() []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Demand(l.clock.Now())
}

// Rate returns the recent demand for a model at this instance in requests per
// second, and the number of replicas.
func (l *LockedCore) Rate(model string) (rate float64, replicas int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Rate(l.clock.Now(), model)
}

// State returns the counts and the queue lengths, for operators.
func (l *LockedCore) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.State()
}
