package relayer

import (
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primrosehook/matcher"
	"primrosehook/reserver"
)

const (
	// firstBodyBytes is the first step in which a body of unknown length is charged and
	// allocated; each further step doubles it.
	firstBodyBytes = 4 << 10
	// maxRestTime is for how long a client may pause while the rest of its refused body is discarded.
	maxRestTime = 500 * time.Millisecond
)

// readBody reads the whole body into memory, so that it can be sent more than once. A declared
// length is reserved before the first byte is read, a body of unknown length in steps. It
// reports false if the body is too large, or there is no memory for it; the client is answered
// then.
func (x *exchange) readBody(limits matcher.Limits) bool {
	declared := x.request.ContentLength
	if declared == 0 {
		return true
	}
	largest := x.memory.Largest()
	if limits.MaxBodyBytes > 0 {
		largest = min(largest, limits.MaxBodyBytes)
	}
	if declared > largest {
		x.refuseLarge(largest)
		return false
	}
	first := declared
	if declared < 0 {
		first = min(firstBodyBytes, largest)
	}
	held, ok := x.memory.Acquire(reserver.Body, first)
	if !ok {
		x.refuseForMemory(declared)
		return false
	}
	x.held = held
	held.OnReclaim(x.endBody)
	raw, err := reserver.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, largest), first, largest, held, held.Grow)
	var large *http.MaxBytesError
	switch {
	case held.Ended() || errors.Is(err, reserver.ErrMemory) || err == nil && !held.Keep():
		x.refuseForMemory(declared)
		return false
	case errors.As(err, &large):
		x.refuseLarge(largest)
		return false
	case err != nil:
		x.log.Info("relay: client left while sending", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	x.body = raw
	return true
}

// endBody ends the reading of a body that makes no progress. Its client is refused.
func (x *exchange) endBody() {
	// Any time that has passed makes the read that is waiting fail.
	if err := http.NewResponseController(x.writer).SetReadDeadline(time.Unix(1, 0)); err != nil {
		x.log.Warn("relay: a body that makes no progress can't be ended", zap.Error(err))
	}
}

// refuseForMemory refuses a request that has not run, since there is no memory for its body.
func (x *exchange) refuseForMemory(declared int64) {
	why := "memory"
	if x.held.Ended() {
		why = "no_progress"
	}
	if n, ok := x.shortages.Sample(x.clock); ok {
		x.log.Info("relay: no memory for a body", zap.String("why", why), zap.Int64("declared", declared), zap.Int64("held_by_bodies", x.memory.Held(reserver.Body)), zap.Int("refused_since_last_line", n))
	}
	x.held.Release()
	x.closeUnread()
	x.refuse(x.writer, busyRetryAfter, why)
}

// refuseLarge answers a request whose body is larger than what is taken.
func (x *exchange) refuseLarge(limit int64) {
	x.meter.Add(MetricTooLarge, 1)
	if n, ok := x.oversized.Sample(x.clock); ok {
		x.log.Info("relay: body too large", zap.Int64("limit", limit), zap.Int("refused_since_last_line", n))
	}
	x.held.Release()
	x.closeUnread()
	writeStatus(x.writer, http.StatusRequestEntityTooLarge)
}
