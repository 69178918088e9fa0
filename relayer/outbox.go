package relayer

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/reserver"
)

const (
	// maxUnread bounds what waits for a client of a stream beyond the buffers of its connection, in
	// bytes: the longest answers fit, so that a client which pauses does not stop the server.
	maxUnread = 64 << 10
	// slowClientTimeout is how long a client may take for writeChunk bytes. It is less than the time
	// after which servers cut off an answer that is not read.
	slowClientTimeout = 3 * time.Second
	writeChunk        = 4 << 10
	// blamelessPause is how long a slow client must have stopped the reading of an answer for the
	// server not to be blamed for its end.
	blamelessPause = time.Second
)

// outbox holds what waits for the client of a stream, and writes it without stopping the reading from
// the server until maxUnread bytes wait.
type outbox struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	clock   clockwork.Clock
	timeout time.Duration
	// maxUnread bounds pending.
	maxUnread int
	// done is closed when nothing is written any more.
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	// held is the memory of pending and of the buffers that a stream has anyway.
	held   *reserver.Reservation
	closed bool
	// lost is set once a write has failed, slow if that is since the client did not read. dropped is
	// set if the writes are ended since the client has left.
	lost, slow, dropped bool
	// writingSince is when the write in progress began, zero for none.
	writingSince time.Time
	// blocked is for how long push has waited in all, blockedAt when it last did.
	blocked   time.Duration
	blockedAt time.Time
	blocking  bool
}

func startOutbox(w http.ResponseWriter, memory *reserver.Reserver, clock clockwork.Clock, timeout time.Duration, maxUnread int) *outbox {
	held, _ := memory.Acquire(reserver.Stream, 0) // nothing always fits
	held.Force(streamReadBytes + writeChunk)
	o := &outbox{writer: w, held: held, control: http.NewResponseController(w), clock: clock, timeout: timeout, maxUnread: maxUnread, done: make(chan struct{})}
	o.changed = sync.NewCond(&o.mu)
	go o.runWriter()
	return o
}

// push adds events. It waits while more than maxUnread bytes would wait, and reports false once the
// client has left or is too slow.
func (o *outbox) push(b []byte) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mustWait(len(b)) {
		began := o.clock.Now()
		o.blocking = true
		for o.mustWait(len(b)) {
			o.changed.Wait()
		}
		o.blocking, o.blockedAt = false, o.clock.Now()
		o.blocked += o.blockedAt.Sub(began)
	}
	if o.lost {
		return false
	}
	o.reserve(len(b))
	o.pending = append(o.pending, b...)
	o.changed.Broadcast()
	return true
}

// reserve makes room for more bytes, charged before it is allocated: the request was passed on, and
// its stream is not cut off. o.mu must be held.
func (o *outbox) reserve(more int) {
	n, size := len(o.pending)+more, cap(o.pending)
	if n <= size {
		return
	}
	larger := max(n, 2*size)
	o.held.Force(int64(larger))
	o.pending = append(make([]byte, 0, larger), o.pending...)
	o.held.Shrink(int64(size))
}

// mustWait reports whether there is no room for more bytes. o.mu must be held.
func (o *outbox) mustWait(more int) bool {
	return !o.lost && len(o.pending) > 0 && len(o.pending)+more > o.maxUnread
}

// runWriter writes what waits until the outbox is closed or a write fails.
func (o *outbox) runWriter() {
	defer close(o.done)
	buffer := make([]byte, writeChunk)
	for {
		n := o.take(buffer)
		if n == 0 {
			return
		}
		if err := o.write(buffer[:n]); err != nil {
			o.recordLoss(err)
			return
		}
	}
}

// recordLoss records that a write has failed.
func (o *outbox) recordLoss(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slow = errors.Is(err, os.ErrDeadlineExceeded) && !o.dropped
	o.lost, o.pending, o.writingSince = true, nil, time.Time{}
	o.changed.Broadcast()
}

// take waits for bytes to write and moves them to the buffer. It returns 0 once the outbox is closed
// and empty.
func (o *outbox) take(buffer []byte) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writingSince = time.Time{}
	for len(o.pending) == 0 && !o.closed {
		o.changed.Wait()
	}
	n := copy(buffer, o.pending)
	o.pending = append(o.pending[:0], o.pending[n:]...)
	o.writingSince = o.clock.Now()
	o.changed.Broadcast()
	return n
}

func (o *outbox) write(b []byte) error {
	// Writers that can't have a deadline are those of tests.
	_ = o.control.SetWriteDeadline(o.clock.Now().Add(o.timeout))
	if _, err := o.writer.Write(b); err != nil {
		return err
	}
	return o.control.Flush()
}

// close waits until all is written. If the client has left it drops what waits.
func (o *outbox) close(clientGone bool) {
	o.mu.Lock()
	o.closed = true
	if clientGone && !o.isSlow() {
		o.pending, o.dropped = nil, true
		_ = o.control.SetWriteDeadline(o.clock.Now())
	}
	o.changed.Broadcast()
	o.mu.Unlock()
	<-o.done
	o.held.Release()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lost {
		// The connection may carry further requests.
		_ = o.control.SetWriteDeadline(time.Time{})
	}
}

// isSlow reports whether a write has failed since the client did not read, or is about to: the
// request's context ends before the write returns. o.mu must be held.
func (o *outbox) isSlow() bool {
	return o.slow || !o.dropped && !o.writingSince.IsZero() && o.clock.Since(o.writingSince) >= o.timeout
}

// tooSlow reports whether the end of an answer may be due to the client: it is too slow, or has
// stopped the reading from the server for so long that the server may have cut the answer off.
func (o *outbox) tooSlow() bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isSlow() || o.blocked >= blamelessPause
}

// heldUntil returns until when the client has held up the reading from the server, the zero time if
// it has not.
func (o *outbox) heldUntil() time.Time {
	if o == nil {
		return time.Time{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.blocking {
		return o.clock.Now()
	}
	return o.blockedAt
}

// dropClient ends a stream, or an answer that is passed through, whose client has left or is too slow.
// The server is not counted as failed.
func (t *attempt) dropClient() {
	t.answer.Close(false)
	if t.passes {
		t.endPassing(false)
	} else {
		t.assignment.Done(false)
	}
	if !t.outbox.Load().tooSlow() {
		t.giveUp("client left")
		return
	}
	t.record.outcome = "client too slow after event " + t.meta.LastEvent
	t.recordSlowClient()
	t.giveUp("slow client")
}

// recordSlowClient counts and logs a client that is too slow, once.
func (x *exchange) recordSlowClient() {
	if x.slowClient {
		return
	}
	x.slowClient = true
	x.meter.Add(MetricSlowClient, 1)
	x.log.Info("relay: slow client", zap.String("client", clientAddress(x.request)), zap.String("route", x.route.Name), zap.String("last_event", x.meta.LastEvent),
		zap.Duration("after", x.clock.Since(x.started)))
}

// endOutbox waits until the client has all of the stream, or has left, or is too slow.
func (x *exchange) endOutbox() {
	o := x.outbox.Load()
	if o == nil {
		return
	}
	o.close(x.clientGone())
	o.mu.Lock()
	slow := o.slow
	o.mu.Unlock()
	if slow {
		x.recordSlowClient()
	}
}
