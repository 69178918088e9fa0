package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/framer"
	"primrosehook/judge"
)

// Client calls peers. It keeps one connection to each.
type Client struct {
	options  options
	counters counters
	mu       sync.Mutex
	links    map[string]*link
}

// NewClient returns a client without connections.
func NewClient(clock clockwork.Clock, set ...Option) *Client {
	set = append([]Option{WithClock(clock)}, set...)
	return &Client{options: newOptions(clientIdle, set), links: map[string]*link{}}
}

// Stats returns the counts.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Call sends a message and waits for its reply, which is decoded into out. The
// error's verdict is NotRun only if the message was not wholly written, or if
// the peer said so.
func (c *Client) Call(ctx context.Context, addr, kind string, body, out any) error {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return judge.Invalid("encode", "message cannot be encoded")
	}
	l, err := c.link(ctx, addr)
	if err != nil {
		return err
	}
	answer, err := l.send(framer.Message{Kind: kind, Trace: traceOf(ctx), Body: data})
	if err != nil {
		return err
	}
	select {
	case r := <-answer.done:
		return r.into(out)
	case <-l.closed:
		select {
		case r := <-answer.done:
			return r.into(out)
		default:
			return l.giveUp(answer, "connection to the peer was lost", nil)
		}
	case <-ctx.Done():
		return l.giveUp(answer, "peer has not answered in time", ctx.Err())
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, l := range c.links {
		l.out.close()
		delete(c.links, addr)
	}
}

func (r reply) into(out any) error {
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

// verdictOf takes a number from the wire. One that is unknown promises least.
func verdictOf(n int) judge.Verdict {
	if v := judge.Verdict(n); v == judge.NotRun || v == judge.Ran {
		return v
	}
	return judge.MayHaveRun
}

func (c *Client) link(ctx context.Context, addr string) (*link, error) {
	c.mu.Lock()
	l, ok := c.links[addr]
	c.mu.Unlock()
	if ok && !l.broken() {
		return l, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		r := judge.Unavailable("peer", "peer is not reachable", time.Second)
		r.Cause = err
		return nil, r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.links[addr]; ok && !l.broken() {
		_ = conn.Close()
		return l, nil
	}
	counted := &metered{Conn: conn, counters: &c.counters}
	fresh := &link{
		options:  c.options,
		counters: &c.counters,
		conn:     counted,
		out:      newOutbox(counted, c.options, &c.counters),
		calls:    map[uint64]*call{},
		closed:   make(chan struct{}),
	}
	fresh.idle = c.options.clock.AfterFunc(c.options.idle, fresh.idleOut)
	c.links[addr] = fresh
	c.counters.links.Add(1)
	go fresh.out.loopWrite()
	go fresh.run()
	return fresh, nil
}

// link is one connection to a peer.
type link struct {
	options  options
	counters *counters
	conn     net.Conn
	out      *outbox
	// closed is closed once the connection is, and no reply can come.
	closed chan struct{}

	// idle is reset by each message read.
	idle clockwork.Timer

	mu     sync.Mutex
	id     uint64
	calls  map[uint64]*call
	ending bool
	// late is set when an idle period ended with calls waiting.
	late bool
	// quiet is since when a call waits with nothing read, or zero.
	quiet time.Time
}

type call struct {
	id    uint64
	frame *frame
	done  chan reply
}

func (l *link) broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending
}

func (l *link) send(m framer.Message) (*call, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		return nil, judge.Unavailable("peer", "connection to the peer was lost", time.Second)
	}
	l.id++
	m.ID = l.id
	c := &call{id: m.ID, done: make(chan reply, 1)}
	// The call is known before its reply can come.
	l.calls[c.id] = c
	f, err := l.out.put(m)
	if err == nil {
		c.frame = f
		if l.quiet.IsZero() {
			l.quiet = l.options.clock.Now()
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

// giveUp ends a call without a reply. A reply that still comes is dropped.
func (l *link) giveUp(c *call, reason string, cause error) error {
	l.mu.Lock()
	delete(l.calls, c.id)
	dead := !l.quiet.IsZero() && l.options.clock.Since(l.quiet) > l.options.silence
	l.mu.Unlock()
	if dead {
		// The network may have lost the connection unseen. A new one works
		// as soon as the network does; this one backs off for minutes.
		l.end()
	}
	if !l.out.withdraw(c.frame) {
		return judge.Unknown("peer", reason, cause)
	}
	r := judge.Unavailable("peer", reason, time.Second)
	r.Cause = cause
	return r
}

// idleOut closes a connection that nobody waits on, before the server does.
// One that is waited on gets a second period: its call may be fresh.
func (l *link) idleOut() {
	l.mu.Lock()
	again := len(l.calls) > 0 && !l.late
	l.late = true
	l.ending = l.ending || !again
	l.mu.Unlock()
	if !again {
		l.out.close()
		return
	}
	l.idle.Reset(l.options.idle)
}

// heard notes that the peer is there.
func (l *link) heard() {
	l.idle.Reset(l.options.idle)
	l.counters.messagesReceived.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = false
	l.quiet = time.Time{}
}

func (l *link) run() {
	defer close(l.closed)
	defer l.counters.links.Add(-1)
	defer l.end()
	defer l.idle.Stop()
	reader := bufio.NewReader(l.conn)
	for {
		m, err := framer.Read(reader)
		if err != nil {
			return
		}
		l.heard()
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

// end makes the link take no more calls, and closes it.
func (l *link) end() {
	l.mu.Lock()
	l.ending = true
	l.mu.Unlock()
	l.out.close()
}
