// Package connector keeps connections to upstreams and makes one exchange at a
// time on each. It sends every request at most once and says, when an exchange
// fails, whether the request may have run.
//
// net/http's own client is not used here: it repeats some requests unseen, and
// it hides whether anything was written and whether bytes follow an answer.
package connector

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"primrosehook/judge"
)

const (
	// dialTimeout bounds the making of a connection: two round trips across
	// regions and one lost packet.
	dialTimeout = 700 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged, and about how
	// long a silent idle connection is kept, before the kernel ends it.
	silence = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept idle when the upstream does
	// not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream says.
	idleMargin = 500 * time.Millisecond
	// inlineBody is the largest body that is written before the answer is
	// read; a larger one is written beside, since the upstream may answer
	// before it has read all.
	inlineBody = 8 << 10
	// bufferSize is that of a connection's reader, in bytes: several events.
	bufferSize = 2 << 10
	// answersDropped is how many answers to other requests are passed over
	// before the connection is given up.
	answersDropped = 3
)

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request line's path and query, as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the head of an answer, with its body to be read.
type Answer struct {
	*http.Response
	conn *conn
	pool *Pool
}

// Matcher reports whether an answer belongs to the request in flight.
type Matcher func(status int, h http.Header) bool

// Pool keeps the connections to one upstream.
type Pool struct {
	address string
	clock   clockwork.Clock
	dials   *Dials

	mu     sync.Mutex
	idle   []*conn
	keep   time.Duration
	closed bool
}

// Dials counts the connections made.
type Dials struct {
	mu    sync.Mutex
	count int64
}

// Count returns how many connections were made.
func (d *Dials) Count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

func (d *Dials) add() {
	d.mu.Lock()
	d.count++
	d.mu.Unlock()
}

// NewPool returns a pool without connections.
func NewPool(address string, clock clockwork.Clock, dials *Dials) *Pool {
	return &Pool{address: address, clock: clock, dials: dials, keep: defaultIdle}
}

// Close closes the idle connections; those in use are closed as they return.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// KeepIdle sets how long the upstream says it keeps idle connections.
func (p *Pool) KeepIdle(d time.Duration) {
	p.mu.Lock()
	p.keep = max(d-idleMargin, 0)
	p.mu.Unlock()
}

// Do sends a request and reads the head of its answer. The end of the context
// closes the connection, at any time until the answer is closed. An error
// carries a verdict.
func (p *Pool) Do(ctx context.Context, q Request, own Matcher) (*Answer, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusServiceUnavailable, Code: "unreachable", Reason: "the upstream takes no connection", Cause: err}
	}
	c.stop = context.AfterFunc(ctx, c.close)
	a, err := c.exchange(q, own)
	if err != nil {
		c.stop()
		c.close()
		return nil, err
	}
	a.pool = p
	return a, nil
}

func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.fresh() {
			return c, nil
		}
		c.close()
	}
	p.dials.add()
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
		Control:         control,
	}
	n, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	return &conn{conn: n, reader: bufio.NewReaderSize(n, bufferSize)}, nil
}

// pop takes the connection that was used last, and drops those that have been
// idle too long.
func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].since) > p.keep {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.since = p.clock.Now()
	p.idle = append(p.idle, c)
}

func control(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	return errors.Join(err, set)
}

type conn struct {
	conn   net.Conn
	reader *bufio.Reader
	// since is when the connection became idle.
	since time.Time
	stop  func() bool
	once  sync.Once
	// writing is closed once a body that is written beside is out; broken is
	// set if it was not written whole before the answer came.
	writing chan struct{}
}

func (c *conn) close() { c.once.Do(func() { _ = c.conn.Close() }) }

// fresh reports whether an idle connection is open and nothing came on it.
func (c *conn) fresh() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = n <= 0 && (errors.Is(e, unix.EAGAIN) || errors.Is(e, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && empty
}

// exchange writes the request and reads the head of its answer.
func (c *conn) exchange(q Request, own Matcher) (*Answer, error) {
	var b bytes.Buffer
	b.Grow(1<<10 + min(len(q.Body), inlineBody))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(&b) // a bytes.Buffer takes all
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	beside := len(q.Body) > inlineBody
	if !beside {
		b.Write(q.Body)
	}
	if n, err := c.conn.Write(b.Bytes()); err != nil {
		return nil, failed(err, n == 0)
	}
	c.writing = nil
	if beside {
		c.writing = make(chan struct{})
		go c.run(q.Body)
	}
	return c.head(q.Method, own)
}

// run writes a long body while the answer is awaited.
func (c *conn) run(body []byte) {
	defer close(c.writing)
	if _, err := c.conn.Write(body); err != nil {
		// The reader finds out what became of the exchange; the rest of the
		// body is lost, so that the connection must not be used again.
		c.close()
	}
}

func (c *conn) head(method string, own Matcher) (*Answer, error) {
	for range answersDropped {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, failed(err, false)
		}
		switch {
		case r.StatusCode < http.StatusOK:
		case own(r.StatusCode, r.Header):
			return &Answer{Response: r, conn: c}, nil
		default:
			// A second answer to an earlier request.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return nil, failed(err, false)
			}
		}
	}
	return nil, failed(eris.New("answers to other requests"), false)
}

// Close ends the exchange. The connection is kept if the answer was read whole,
// allows it, and nothing follows it.
func (a *Answer) Close(whole bool) {
	c := a.conn
	if !c.stop() {
		whole = false
	}
	if c.writing != nil {
		select {
		case <-c.writing:
		default:
			whole = false
		}
	}
	if !whole || a.Response.Close || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	a.pool.put(c)
}

// Broken reports whether an error means that the upstream ended the connection,
// rather than that it was silent or that this side closed it.
func Broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

func failed(err error, unsent bool) error {
	verdict := judge.MayHaveRun
	if unsent {
		verdict = judge.NotRun
	}
	return &judge.Refusal{Verdict: verdict, Status: http.StatusBadGateway, Code: "broken", Reason: "the connection to the upstream broke", Cause: err}
}
