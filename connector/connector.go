// Package connector keeps pools of connections to upstreams and sends one
// request at a time on each connection. It sends every request at most once and
// reports, when an exchange fails, whether the request may have run.
//
// net/http's client is not used here: it silently retries some requests, and it
// does not show whether anything was written or whether bytes follow an answer.
package connector

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"primrosehook/confirmer"
	"primrosehook/headchecker"
	"primrosehook/judge"
	"primrosehook/sender"
)

const (
	// dialTimeout bounds the time to connect: two round trips across regions
	// and one lost packet.
	dialTimeout = 700 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes
	// the connection. It also ends keep-alive, whatever the number of probes: the first
	// one is sent after keepAliveIdle without bytes, and the connection is closed when its
	// peer has been silent for ackTimeout in all. A sound server may be silent for more than
	// a second.
	ackTimeout        = 2500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultKeepIdle is how long an idle connection is kept when the upstream
	// does not announce its own idle timeout.
	defaultKeepIdle = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the upstream
	// announces.
	idleMargin = 500 * time.Millisecond
	// maxInlineBody is the largest body, in bytes, that is written before the
	// answer is read. A larger one is written concurrently, since the upstream
	// may answer before it has read it all.
	maxInlineBody = 8 << 10
	// bodyPartBytes is how much of a larger body is written at a time, in bytes.
	bodyPartBytes = 64 << 10
	// readerBytes is the buffer size of a connection's reader: room for several
	// events.
	readerBytes = 2 << 10
	// maxAnswerHeads is how many answers, interim ones and those to other
	// requests included, are read for one request before the connection is
	// closed.
	maxAnswerHeads = 3
	// maxOtherBody bounds the body of an answer to another request, in bytes: servers in
	// trouble may send one without end.
	maxOtherBody = 1 << 20
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request line's path and query, as the client sent it.
	Target string
	Host   string
	Header http.Header
	// LateHeader, if set, returns further fields once there is a connection: opening one takes
	// time that the fields may state.
	LateHeader func() http.Header
	// Proceed, if set, is asked once there is a connection. If it returns an error, nothing is
	// sent.
	Proceed func() error
	// Wanted, if set, is asked right before each write. Once it reports false, nothing more is
	// written.
	Wanted func() bool
	// GrowHead, if set, is asked before more bytes are held for the head of the answer, once it is a
	// large one. If it reports false, the answer is not read. The bytes are free once the answer is closed.
	GrowHead func(n int64) bool
	Body     []byte
	// OpenedBefore allows only connections that were opened before a time, zero for any:
	// their peer is the process that took connections then.
	OpenedBefore time.Time
}

// Answer is the head of an answer; its body is still to be read. Close must be
// called in the end.
type Answer struct {
	*http.Response
	conn *connection
	pool *Pool
}

// AnswerMatcher reports whether an answer belongs to the request that was sent. reused tells
// whether the connection has carried other requests before, whose answers may come once more.
type AnswerMatcher func(h http.Header, reused bool) bool

// Pool keeps the idle connections to one upstream. It is safe for concurrent
// use.
type Pool struct {
	address string
	clock   clockwork.Clock
	dials   *DialCounter
	dialer  Dialer

	mu       sync.Mutex
	idle     []*connection
	keepIdle time.Duration
	closed   bool
}

// DialCounter counts dial attempts. It is safe for concurrent use.
type DialCounter struct {
	mu    sync.Mutex
	count int64
}

// Count returns how many times a pool has dialed.
func (d *DialCounter) Count() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

func (d *DialCounter) add() {
	d.mu.Lock()
	d.count++
	d.mu.Unlock()
}

// Dialer opens connections to upstreams.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// PoolOption sets an option of a Pool.
type PoolOption func(*Pool)

// WithDialer sets how connections are opened; the default is DirectDialer.
func WithDialer(d Dialer) PoolOption { return func(p *Pool) { p.dialer = d } }

// NewPool returns a pool without connections.
func NewPool(address string, clock clockwork.Clock, dials *DialCounter, options ...PoolOption) *Pool {
	p := &Pool{address: address, clock: clock, dials: dials, dialer: DirectDialer{}, keepIdle: defaultKeepIdle}
	for _, o := range options {
		o(p)
	}
	return p
}

// Close closes the idle connections. Those in use are closed when their answer
// is.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// KeepIdle sets the idle timeout that the upstream announces.
func (p *Pool) KeepIdle(d time.Duration) {
	p.mu.Lock()
	p.keepIdle = max(d-idleMargin, 0)
	p.mu.Unlock()
}

// ErrGivenUp means that the request was given up before it was sent: its context had ended, or
// it was not wanted any more.
var ErrGivenUp = errors.New("the request was given up before it was sent")

// Do sends a request and reads the head of its answer, skipping answers that
// matches rejects. The connection is reset when the context ends before the
// answer is closed. The error is a judge.Refusal: NotRun if there was no
// connection or nothing was written, MayHaveRun otherwise.
func (p *Pool) Do(ctx context.Context, q Request, matches AnswerMatcher) (*Answer, error) {
	for {
		a, reused, err := p.exchange(ctx, q, matches)
		if err == nil || !reused || judge.Of(err) != judge.NotRun || ctx.Err() != nil {
			return a, err
		}
		// The idle connection turned out to be closed when the request was written.
	}
}

// exchange sends a request on one connection, and reports whether that had been idle.
func (p *Pool) exchange(ctx context.Context, q Request, matches AnswerMatcher) (answer *Answer, reused bool, err error) {
	if ctx.Err() != nil {
		return nil, false, unsentError(ErrGivenUp)
	}
	c, reused, err := p.acquire(ctx, q.OpenedBefore)
	if err != nil {
		return nil, false, &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusServiceUnavailable, Code: "unreachable", Reason: "the upstream takes no connection", Cause: err}
	}
	if q.Proceed != nil {
		if err := q.Proceed(); err != nil {
			p.putIdle(c)
			return nil, false, unsentError(err)
		}
	}
	head := q.encode()
	// Bytes that are written go on their way whatever happens next, so this is asked last.
	if ctx.Err() != nil || !q.wanted() {
		p.putIdle(c)
		return nil, false, unsentError(ErrGivenUp)
	}
	c.stopWatching = context.AfterFunc(ctx, c.abort)
	a, err := c.roundTrip(q, head, matches)
	if err != nil {
		c.stopWatching()
		c.abort()
		return nil, reused, err
	}
	a.pool = p
	return a, reused, nil
}

// unsentError returns the error of a request that was not sent, for a cause on this side.
func unsentError(cause error) error {
	return &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusServiceUnavailable, Code: "held", Reason: "the request is not sent", Cause: cause}
}

func (q Request) wanted() bool { return q.Wanted == nil || q.Wanted() }

// ErrNoneOpen means that no connection is open that was opened early enough.
var ErrNoneOpen = errors.New("no connection that is old enough")

// acquire returns an idle connection that can be reused, or a new one unless it must have
// been opened before a time.
func (p *Pool) acquire(ctx context.Context, openedBefore time.Time) (c *connection, reused bool, err error) {
	for {
		c := p.popIdle(openedBefore)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, true, nil
		}
		c.close()
	}
	if !openedBefore.IsZero() {
		return nil, false, ErrNoneOpen
	}
	c, err = p.dial(ctx)
	return c, false, err
}

// Probe opens a connection and keeps it for a later request. An error means that
// the upstream takes no connections.
func (p *Pool) Probe(ctx context.Context) error {
	c, err := p.dial(ctx)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context) (*connection, error) {
	p.dials.add()
	n, err := p.dialer.Dial(ctx, p.address)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	n = confirmer.Wrap(n)
	weigher := &headWeigher{source: n}
	source := headchecker.NewReader(weigher)
	return &connection{conn: n, weigher: weigher, source: source, reader: bufio.NewReaderSize(source, readerBytes), openedAt: p.clock.Now()}, nil
}

// DirectDialer opens TCP connections.
type DirectDialer struct{}

// Dial implements Dialer.
func (DirectDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

// popIdle removes and returns the most recently used idle connection, nil if there is
// none; if a time is given, of those that were opened before it. It closes those that have
// been idle for too long.
func (p *Pool) popIdle(openedBefore time.Time) *connection {
	c, expired := p.takeIdle(openedBefore)
	for _, e := range expired {
		e.close()
	}
	return c
}

// takeIdle is popIdle, but returns the connections to close, which is done without the lock.
func (p *Pool) takeIdle(openedBefore time.Time) (found *connection, expired []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.keepIdle {
		expired = append(expired, p.idle[0])
		p.idle = p.idle[1:]
	}
	for i, c := range slices.Backward(p.idle) {
		if openedBefore.IsZero() || c.openedAt.Before(openedBefore) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, expired
		}
	}
	return nil, expired
}

// HasOpenedBefore reports whether an idle connection is open that was opened before a time.
func (p *Pool) HasOpenedBefore(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *connection) bool { return c.openedAt.Before(at) && c.reusable() })
}

func (p *Pool) putIdle(c *connection) {
	if !p.addIdle(c) {
		c.close()
	}
}

// addIdle reports false if the pool is closed.
func (p *Pool) addIdle(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	c.idleSince = p.clock.Now()
	p.idle = append(p.idle, c)
	return true
}

// setUserTimeout makes the kernel close the connection when sent bytes stay
// unacknowledged for ackTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}

// Close ends the exchange. complete tells whether the answer was read to its
// end. The connection is returned to the pool if it was, the request body was
// written, the upstream keeps the connection open and no bytes follow.
func (a *Answer) Close(complete bool) {
	c := a.conn
	if !c.stopWatching() {
		complete = false
	}
	if c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
			// The upstream may not have got the whole body.
			complete = complete && !c.bodyFailed
		default:
			complete = false
		}
	}
	switch {
	case !complete:
		c.abort()
		return
	case a.Response.Close || c.reader.Buffered() > 0:
		c.close()
		return
	}
	a.pool.putIdle(c)
}

// OpenedAt returns when the connection of the answer was opened.
func (a *Answer) OpenedAt() time.Time { return a.conn.openedAt }

// Via returns the address of the instance that the request went through, empty if it went to
// the upstream directly.
func (a *Answer) Via() string {
	if c, ok := a.conn.conn.(interface{ Via() string }); ok {
		return c.Via()
	}
	return ""
}

// EndsWithConnection reports whether the end of the body is that of the connection.
func (a *Answer) EndsWithConnection() bool { return sender.EndsWithConnection(a.Response) }

// ClosedByPeer reports whether an error means that the upstream closed the
// connection, rather than that it timed out or that this side closed it.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// brokenError returns the error of a connection that broke. unsent means that
// not a byte of the request was written.
func brokenError(err error, unsent bool) error {
	verdict := judge.MayHaveRun
	if unsent {
		verdict = judge.NotRun
	}
	return &judge.Refusal{Verdict: verdict, Status: http.StatusBadGateway, Code: "broken", Reason: "the connection to the upstream broke", Cause: err}
}
