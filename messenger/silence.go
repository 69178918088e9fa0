package messenger

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// connectWithin is connect with a time limit, zero for none.
func (c *Client) connectWithin(ctx context.Context, limit time.Duration, addr string) (*clientConn, error) {
	if limit == 0 {
		return c.connect(ctx, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.connect(ctx, addr)
}

// silenceWatch ends a call when nothing has arrived from the peer for a time.
type silenceWatch struct {
	peer    *clientConn
	limit   time.Duration
	started time.Time
	end     func()

	mu      sync.Mutex
	timer   clockwork.Timer
	stopped bool
}

// watchSilence begins to watch a call.
func (l *clientConn) watchSilence(limit time.Duration, end func()) *silenceWatch {
	w := &silenceWatch{peer: l, limit: limit, started: l.options.clock.Now(), end: end}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = l.options.clock.AfterFunc(limit, w.check)
	return w
}

// check ends the call if the peer is silent, or sets the timer for the next check.
func (w *silenceWatch) check() {
	clock := w.peer.options.clock
	silent := min(clock.Since(w.peer.conn.lastRead()), clock.Since(w.started))
	if silent >= w.limit {
		w.end()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.limit - silent)
	}
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
