package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"primrosehook/judge"
)

const (
	// stopRetryAfter is the Retry-After of an instance that stops: other instances serve the
	// request at once.
	stopRetryAfter = 50 * time.Millisecond
	// maxDiscardedBody is how much of the body of a request that is refused unread is
	// discarded, in bytes.
	maxDiscardedBody = 256 << 10
)

// errStopping is the cause of the end of requests that can't be finished before a planned stop.
var errStopping = errors.New("instance stops")

// startDraining refuses the requests that arrive from now on. Those in progress go on.
func (s *Server) startDraining() { s.draining.Store(true) }

// refuseDraining refuses a request since the instance stops.
func (s *Server) refuseDraining(c echo.Context) error {
	// The connection is closed after the answer; with unread bytes it would be reset, and the
	// client might lose the answer.
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(s.clock.Now().Add(s.limits.UploadTimeout))
	defer interruptReads(c.Request().Context(), control)()
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Request().Body, maxDiscardedBody))
	return judge.Unavailable("draining", "instance is stopping; another one serves the request", stopRetryAfter)
}

// interruptReads makes reads of a body fail once a context has ended, until the returned
// function is called. That waits for an interruption that has begun, since echo reuses the response
// that control uses.
func interruptReads(ctx context.Context, control *http.ResponseController) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// withStop returns a context for a request that ends with cause errStopping once the requests in
// progress are given up.
func (s *Server) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(s.requests, func() { cancel(errStopping) })
	return ctx, func() { detach(); cancel(nil) }
}

// isGivenUp reports whether a request was given up for a planned stop.
func isGivenUp(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }

// stopRefusal answers a request that was given up for a planned stop.
func stopRefusal(v judge.Verdict) *judge.Refusal {
	if v == judge.NotRun {
		return judge.Unavailable("stopping", "instance stopped before the request had run", stopRetryAfter)
	}
	r := judge.Unknown("stopping", "instance stopped before the request was finished", errStopping)
	r.RetryAfter = stopRetryAfter
	return r
}
