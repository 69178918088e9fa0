package messenger

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/framer"
	"primrosehook/judge"
)

// Client sends messages to peers over one connection per peer.
type Client struct {
	options  options
	counters counters
	mu       sync.Mutex
	conns    map[string]*clientConn
}

// NewClient returns a client without connections.
func NewClient(clock clockwork.Clock, set ...Option) *Client {
	set = append([]Option{WithClock(clock)}, set...)
	return &Client{options: newOptions(clientIdle, set), conns: map[string]*clientConn{}}
}

// Stats returns the traffic counts.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Call sends a message and waits for its reply, which is decoded into out
// unless out is nil. The error's verdict is NotRun only if the message was
// certainly not written completely, or if the peer reported it.
func (c *Client) Call(ctx context.Context, addr, kind string, body, out any) error {
	return c.CallWithin(ctx, 0, addr, kind, body, out)
}

// CallWithin is Call, but ends when nothing has arrived from the peer for a time, zero for
// no such limit. A reply that takes longer is waited for while it arrives, until the
// context ends.
func (c *Client) CallWithin(ctx context.Context, silence time.Duration, addr, kind string, body, out any) error {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return judge.Invalid("encode", "message cannot be encoded")
	}
	l, err := c.connectWithin(ctx, silence, addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if silence > 0 {
		defer l.watchSilence(silence, cancel).stop()
	}
	answer, err := l.send(framer.Message{Kind: kind, Trace: injectTrace(ctx), Body: data})
	if err != nil {
		return err
	}
	select {
	case r := <-answer.done:
		return r.decode(out)
	case <-l.closed:
		select {
		case r := <-answer.done:
			return r.decode(out)
		default:
			return l.giveUp(answer, "connection to the peer was lost", nil)
		}
	case <-ctx.Done():
		return l.giveUp(answer, "peer has not answered in time", ctx.Err())
	}
}

// codeUnknownKind is the code of the refusal of a message that the peer does not know.
const codeUnknownKind = "kind"

// IsUnknownKind reports whether a call failed since the peer runs a build that does not know the
// message. It has not run, and will fail until the peer is replaced.
func IsUnknownKind(err error) bool {
	var r *judge.Refusal
	return errors.As(err, &r) && r.Code == codeUnknownKind
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.conns {
		l.out.close()
		delete(c.conns, addr)
	}
}

// decode stores the reply's body in out, or returns the peer's refusal.
func (r reply) decode(out any) error {
	if r.Code != "" {
		return &judge.Refusal{
			Verdict: verdictOf(r.Verdict), Status: r.Status,
			Code: r.Code, Reason: r.Reason, RetryAfter: r.Retry,
		}
	}
	if out == nil {
		return nil
	}
	if err := framer.Decode(r.Body, out); err != nil {
		return &judge.Refusal{
			Verdict: judge.Ran, Status: http.StatusBadGateway,
			Code: "peer", Reason: "reply of the peer is malformed", Cause: err,
		}
	}
	return nil
}

// verdictOf converts a received verdict. Unknown values become MayHaveRun,
// which guarantees the least.
func verdictOf(n int) judge.Verdict {
	if v := judge.Verdict(n); v == judge.NotRun || v == judge.Ran {
		return v
	}
	return judge.MayHaveRun
}

// connect returns the connection to a peer and opens one if necessary.
func (c *Client) connect(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	l, ok := c.conns[addr]
	c.mu.Unlock()
	if ok && !l.broken() {
		return l, nil
	}
	conn, err := c.options.dialer.Dial(ctx, addr)
	if err != nil {
		r := judge.Unavailable("peer", "peer is not reachable", time.Second)
		r.Cause = err
		return nil, r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.conns[addr]; ok && !l.broken() {
		_ = conn.Close()
		return l, nil
	}
	counted := &countingConn{Conn: conn, counters: &c.counters, clock: c.options.clock}
	fresh := &clientConn{
		options:  c.options,
		counters: &c.counters,
		conn:     counted,
		out:      newOutbox(counted, c.options, &c.counters),
		calls:    map[uint64]*call{},
		closed:   make(chan struct{}),
	}
	fresh.idleTimer = c.options.clock.AfterFunc(c.options.idle, fresh.onIdle)
	c.conns[addr] = fresh
	c.counters.conns.Add(1)
	go fresh.out.loopWrite()
	go fresh.runRead()
	return fresh, nil
}

// clientConn is one connection to a peer.
type clientConn struct {
	options  options
	counters *counters
	conn     *countingConn
	out      *outbox
	// closed is closed once the read loop has ended and no more replies can
	// arrive.
	closed chan struct{}

	// idleTimer is reset by each message read.
	idleTimer clockwork.Timer

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*call
	// closing is set once the connection takes no more calls.
	closing bool
	// idleExtended is set when an idle period ended while calls were pending.
	idleExtended bool
	// silentSince is the time since which calls have been pending without any
	// message read, or zero.
	silentSince time.Time
}

// call is one pending call.
type call struct {
	id    uint64
	frame *frame
	done  chan reply
}

func (l *clientConn) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// send registers a call and queues its message.
func (l *clientConn) send(m framer.Message) (*call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return nil, judge.Unavailable("peer", "connection to the peer was lost", time.Second)
	}
	l.lastID++
	m.ID = l.lastID
	c := &call{id: m.ID, done: make(chan reply, 1)}
	// Register the call before its reply can arrive.
	l.calls[c.id] = c
	f, err := l.out.put(m)
	if err == nil {
		c.frame = f
		if l.silentSince.IsZero() {
			l.silentSince = l.options.clock.Now()
		}
		return c, nil
	}
	delete(l.calls, c.id)
	if errors.Is(err, framer.ErrLength) {
		r := judge.Invalid("size", "message is over the frame limit")
		r.Status = http.StatusRequestEntityTooLarge
		return nil, r
	}
	r := judge.Unavailable("peer", "message was not written to the peer", time.Second)
	r.Cause = err
	return nil, r
}

// giveUp ends a call without a reply and returns its error. A reply that
// arrives later is dropped.
func (l *clientConn) giveUp(c *call, reason string, cause error) error {
	l.mu.Lock()
	delete(l.calls, c.id)
	dead := !l.silentSince.IsZero() && l.options.clock.Since(l.silentSince) > l.options.maxSilence
	l.mu.Unlock()
	if dead {
		// The network may have dropped the connection without an error. A
		// new one works as soon as the network recovers; on this one, TCP
		// may back off its retransmissions for minutes.
		l.close()
	}
	if !l.out.cancel(c.frame) {
		return judge.Unknown("peer", reason, cause)
	}
	r := judge.Unavailable("peer", reason, time.Second)
	r.Cause = cause
	return r
}

// onIdle closes a connection without pending calls, before the server does. If
// calls are pending, it waits for one more idle period first, since they may
// just have been sent.
func (l *clientConn) onIdle() {
	l.mu.Lock()
	again := len(l.calls) > 0 && !l.idleExtended
	l.idleExtended = true
	l.closing = l.closing || !again
	l.mu.Unlock()
	if !again {
		l.out.close()
		return
	}
	l.idleTimer.Reset(l.options.idle)
}

// recordReceived resets the idle and silence timers after a message was read.
func (l *clientConn) recordReceived() {
	l.idleTimer.Reset(l.options.idle)
	l.counters.messagesReceived.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleExtended = false
	l.silentSince = time.Time{}
}

// runRead delivers replies until the connection fails or the peer sends
// something else.
func (l *clientConn) runRead() {
	defer close(l.closed)
	defer l.counters.conns.Add(-1)
	defer l.close()
	defer l.idleTimer.Stop()
	reader := bufio.NewReader(l.conn)
	for {
		m, err := framer.Read(reader)
		if err != nil {
			return
		}
		l.recordReceived()
		var r reply
		if m.Kind != kindReply || framer.Decode(m.Body, &r) != nil {
			return
		}
		l.mu.Lock()
		c, ok := l.calls[m.ID]
		delete(l.calls, m.ID)
		l.mu.Unlock()
		if ok {
			c.done <- r
		}
	}
}

// close closes the connection and rejects further calls.
func (l *clientConn) close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.out.close()
}
