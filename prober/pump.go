package prober

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Pump advances a fake clock continuously, so that an hour passes in seconds
// while real connections and goroutines keep up.
type Pump struct {
	Clock *clockwork.FakeClock
	real  clockwork.Clock
	step  atomic.Int64
}

// NewPump returns a pump that runs until the context ends.
func NewPump(ctx context.Context, step time.Duration) *Pump {
	p := &Pump{Clock: clockwork.NewFakeClock(), real: clockwork.NewRealClock()}
	p.SetStep(step)
	go p.run(ctx)
	return p
}

// SetStep sets by how much the clock advances in each real millisecond.
func (p *Pump) SetStep(step time.Duration) { p.step.Store(int64(step)) }

func (p *Pump) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.Clock.Advance(time.Duration(p.step.Load()))
		p.real.Sleep(time.Millisecond)
	}
}
