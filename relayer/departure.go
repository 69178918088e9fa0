package relayer

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/peeker"
)

// departure is what is known of a client's leaving.
type departure struct {
	mu sync.Mutex
	// presentAt is when the client was last known to be there, leftAt when it was found to
	// have left, zero while it was not.
	presentAt, leftAt time.Time
	// atConnection is set if that was found at its connection, before the request's context
	// ended.
	atConnection bool
}

// record records that the client is found to have left.
func (d *departure) record(now time.Time, atConnection bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leftAt.IsZero() {
		d.leftAt, d.atConnection = now, atConnection
	}
}

// delay is a wait of a request before it is sent.
type delay struct {
	name string
	took time.Duration
}

// delays are encoded as an object with a field for each wait.
type delays []delay

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (d delays) MarshalLogObject(e zapcore.ObjectEncoder) error {
	for _, w := range d {
		e.AddDuration(w.name, w.took)
	}
	return nil
}

// The waits of a request before it is sent.
const (
	waitServer    = "server"
	waitSlot      = "slot"
	waitRate      = "rate_limit"
	waitAdmission = "admission"
	waitTurn      = "turn"
)

// recordDelay records a wait that began at a time and ends now.
func (x *exchange) recordDelay(name string, began time.Time) {
	took := x.clock.Since(began)
	for i := range x.delays {
		if x.delays[i].name == name {
			x.delays[i].took += took
			return
		}
	}
	x.delays = append(x.delays, delay{name: name, took: took})
}

// recordDeparture records that the request's context has ended.
func (x *exchange) recordDeparture() { x.departure.record(x.clock.Now(), false) }

// clientGone reports whether nothing is to be sent to the client any more: it is known to have closed
// its connection, or its key was revoked.
func (x *exchange) clientGone() bool {
	if x.request.Context().Err() != nil || x.revoked.Load() {
		return true
	}
	d := &x.departure
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leftAt.IsZero()
}

// lookForClient reports whether the client is still connected, by its connection. If it is not,
// all that is done for the request ends.
func (x *exchange) lookForClient() bool {
	now := x.clock.Now()
	if peeker.ClientLeft(x.request.Context()) {
		x.departure.record(now, x.request.Context().Err() == nil)
		x.cancel()
		return false
	}
	d := &x.departure
	d.mu.Lock()
	defer d.mu.Unlock()
	d.presentAt = now
	return true
}

// logDeparture logs that the client had left when its request was about to be sent. It counts
// the time since then, which is at most that since the client was last seen.
func (x *exchange) logDeparture(server string, took time.Duration) {
	d := &x.departure
	d.mu.Lock()
	now, presentAt, leftAt, atConnection := x.clock.Now(), d.presentAt, d.leftAt, d.atConnection
	d.mu.Unlock()
	x.meter.Add(MetricLeftBeforeSend, 1)
	x.meter.Observe(MetricLeftBeforeSendFor, now.Sub(leftAt))
	x.log.Info("relay: client left before the request was sent", zap.String("server", server),
		zap.Duration("left_for", now.Sub(leftAt)), zap.Duration("seen_ago", now.Sub(presentAt)), zap.Bool("at_connection", atConnection),
		zap.Object("waited_for", x.delays), zap.Duration("connection", took), zap.Duration("after", now.Sub(x.started)))
}
