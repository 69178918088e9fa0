package simulator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// FastClock advances a fake clock continuously, so that an hour passes in seconds
// while real connections and goroutines keep up.
type FastClock struct {
	Clock *clockwork.FakeClock
	real  clockwork.Clock
	step  atomic.Int64
}

// NewFastClock returns a clock that runs until the context ends.
func NewFastClock(ctx context.Context, step time.Duration) *FastClock {
	p := &FastClock{Clock: clockwork.NewFakeClock(), real: clockwork.NewRealClock()}
	p.SetRate(step)
	go p.run(ctx)
	return p
}

// SetRate sets by how much the clock advances in each real millisecond.
func (p *FastClock) SetRate(step time.Duration) { p.step.Store(int64(step)) }

func (p *FastClock) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Clock.Advance(time.Duration(p.step.Load()))
		p.real.Sleep(time.Millisecond)
	}
}
