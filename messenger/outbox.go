package messenger

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"primrosehook/framer"
	"primrosehook/reserver"
)

// maxBatchBytes limits the bytes of the frames that share one write. A larger
// frame is written alone.
const maxBatchBytes = 64 << 10

// errQueueFull is returned if the limit on bytes queued for a peer is reached.
var errQueueFull = eris.New("too many bytes are queued for the peer")

// frame is one encoded message to be written.
type frame struct {
	data []byte
	// writeStarted is set before the frame is written, and reset if the write
	// certainly did not write all of it.
	writeStarted atomic.Bool
}

// outbox queues and writes the frames of one connection. Senders never block on
// a slow peer; the queue is limited in bytes.
type outbox struct {
	conn     net.Conn
	options  options
	counters *counters

	mu     sync.Mutex
	frames []*frame
	// size is the number of bytes queued or being written, which held is charged for.
	size   int
	held   *reserver.Reservation
	closed bool
	// finishing is set once the outbox is to close after the queued frames are
	// written.
	finishing bool
	notify    chan struct{}
	// done is closed when nothing more will be written.
	done chan struct{}
}

func newOutbox(conn net.Conn, o options, c *counters) *outbox {
	out := &outbox{conn: conn, options: o, counters: c, notify: make(chan struct{}, 1), done: make(chan struct{})}
	if o.memory != nil {
		out.held, _ = o.memory.Acquire(reserver.Queue, 0) // nothing always fits
	}
	return out
}

// put queues a message. It fails with errQueueFull if the queue has no room.
func (o *outbox) put(m framer.Message) (*frame, error) {
	data, err := framer.Encode(m)
	if err != nil {
		return nil, err
	}
	f := &frame{data: data}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, net.ErrClosed
	}
	// A message over the limit is accepted if the queue is empty.
	if o.size > 0 && o.size+len(data) > o.options.queuedBytes {
		return nil, errQueueFull
	}
	o.frames = append(o.frames, f)
	o.size += len(data)
	// Messages of this instance are not refused for what peers have sent it.
	o.held.Force(int64(len(data)))
	select {
	case o.notify <- struct{}{}:
	default:
	}
	return f, nil
}

// cancel removes a frame from the queue. It reports whether the frame was
// certainly not written completely and will not be.
func (o *outbox) cancel(f *frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, g := range o.frames {
		if g == f {
			o.frames = append(o.frames[:i:i], o.frames[i+1:]...)
			o.size -= len(f.data)
			o.held.Shrink(int64(len(f.data)))
			return true
		}
	}
	return !f.writeStarted.Load()
}

// close closes the connection. Frames still queued are never written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.frames = nil
	_ = o.conn.Close()
	select {
	case o.notify <- struct{}{}:
	default:
	}
}

// finish closes the connection after all queued frames are written, and waits
// until that is done.
func (o *outbox) finish() {
	o.mu.Lock()
	o.finishing = true
	select {
	case o.notify <- struct{}{}:
	default:
	}
	o.mu.Unlock()
	<-o.done
}

// loopWrite writes queued frames until the outbox is closed or a write fails.
func (o *outbox) loopWrite() {
	defer close(o.done)
	defer o.held.Release()
	defer o.close()
	for range o.notify {
		for {
			batch, done := o.nextBatch()
			if done {
				return
			}
			if len(batch) == 0 {
				break
			}
			if !o.writeBatch(batch) {
				return
			}
		}
	}
}

// nextBatch removes the frames of the next write from the queue. It marks them
// as started under the lock, so that none of them can be canceled any more.
func (o *outbox) nextBatch() (batch []*frame, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || (o.finishing && len(o.frames) == 0) {
		return nil, true
	}
	size := 0
	for len(batch) < len(o.frames) {
		f := o.frames[len(batch)]
		size += len(f.data)
		if len(batch) > 0 && size > maxBatchBytes {
			break
		}
		f.writeStarted.Store(true)
		batch = append(batch, f)
	}
	o.frames = o.frames[len(batch):]
	if len(o.frames) == 0 {
		o.frames = nil
	}
	return batch, false
}

// writeBatch writes the frames in one write and reports whether that succeeded.
func (o *outbox) writeBatch(batch []*frame) bool {
	data := batch[0].data
	if len(batch) > 1 {
		data = nil
		for _, f := range batch {
			data = append(data, f.data...)
		}
	}
	// A write deadline would use the real clock instead of options.clock.
	timer := o.options.clock.AfterFunc(o.options.writeTimeout, o.closeConn)
	n, err := o.conn.Write(data)
	timer.Stop()
	end := 0
	for _, f := range batch {
		end += len(f.data)
		if end > n {
			// The frame was not written completely. The peer cannot run a
			// partial message, and this connection writes no more.
			f.writeStarted.Store(false)
		}
	}
	if err == nil {
		o.counters.messagesSent.Add(int64(len(batch)))
	}
	o.mu.Lock()
	o.size -= len(data)
	o.held.Shrink(int64(len(data)))
	o.mu.Unlock()
	return err == nil
}

// closeConn closes only the connection. The reads and writes that fail then
// close the outbox.
func (o *outbox) closeConn() { _ = o.conn.Close() }
