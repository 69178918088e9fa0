package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/driver"
)

// Shell implements Dispatcher with a Core, a lock and a clock. It starts no
// goroutines: a request waits in the goroutine that calls Acquire.
type Shell struct {
	clock clockwork.Clock

	mu   sync.Mutex
	core *Core
}

var _ Dispatcher = (*Shell)(nil)

// New returns a dispatcher without engines.
func New(opts ...Option) *Shell {
	core := NewCore(opts...)
	return &Shell{clock: core.clock, core: core}
}

// Acquire implements Dispatcher.
func (s *Shell) Acquire(ctx context.Context, work Work) (Grant, error) {
	s.mu.Lock()
	t := s.core.Offer(s.clock.Now(), work)
	if t.Settled() {
		s.mu.Unlock()
	} else {
		done := make(chan struct{})
		t.Tag = done
		wait := t.Until().Sub(s.clock.Now())
		s.mu.Unlock()
		s.await(ctx, t, done, wait)
	}
	if t.Refusal != nil {
		return Grant{}, t.Refusal
	}
	return *t.Grant, nil
}

// await waits until the ticket is settled, wait has passed or ctx is done.
func (s *Shell) await(ctx context.Context, t *Ticket, done chan struct{}, wait time.Duration) {
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.Chan():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notify(s.core.Expire(s.clock.Now()))
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	// A grant at the last moment stays valid: the caller of Acquire checks its
	// context and releases it.
	s.core.Abandon(t)
}

// notify wakes the waiting Acquire calls of settled tickets.
func (s *Shell) notify(settled []*Ticket) {
	for _, t := range settled {
		if done, ok := t.Tag.(chan struct{}); ok {
			close(done)
		}
	}
}

// Release implements Dispatcher.
func (s *Shell) Release(grant Grant, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.core.Release(s.clock.Now(), grant, result))
}

// Retry implements Dispatcher.
func (s *Shell) Retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Retry()
}

// Engines implements Dispatcher.
func (s *Shell) Engines(all []Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notify(s.core.Engines(s.clock.Now(), all))
}

// Cached applies a prefix cache event of an engine.
func (s *Shell) Cached(engine string, event driver.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.Cached(engine, event)
}

// Demand returns the recent demand at this instance by weights and class.
func (s *Shell) Demand() []Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Demand(s.clock.Now())
}

// Rate returns the recent demand for a model at this instance in requests per
// second, and the number of replicas.
func (s *Shell) Rate(model string) (rate float64, replicas int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Rate(s.clock.Now(), model)
}

// State returns the counts and the queue lengths, for operators.
func (s *Shell) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.State()
}
