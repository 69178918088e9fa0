package relayer

import (
	"context"
	"sync/atomic"
	"time"
)

// expiry is a context that ends at a deadline unless that is lifted.
type expiry struct {
	context.Context
	at     time.Time
	lifted atomic.Bool
	timer  *time.Timer
}

// startExpiry returns the context of the request. It ends at the request's deadline.
func (x *exchange) startExpiry() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(x.request.Context())
	at := x.deadline.Add(deadlineGrace)
	x.expiry = &expiry{Context: ctx, at: at, timer: time.AfterFunc(at.Sub(x.clock.Now()), cancel)}
	return x.expiry, func() {
		x.expiry.timer.Stop()
		cancel()
	}
}

// Deadline implements context.Context.
func (e *expiry) Deadline() (time.Time, bool) {
	if e.lifted.Load() {
		return time.Time{}, false
	}
	return e.at, true
}

// lift has the context not end at its deadline any more.
func (e *expiry) lift() {
	e.lifted.Store(true)
	e.timer.Stop()
}
