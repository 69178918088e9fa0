// Package sender sends HTTP requests at most once and reports, when a request
// fails, whether any part of it was sent.
//
// A plain http.Client sends some requests twice: if a reused connection turns
// out to be closed, it repeats requests that it considers idempotent, including
// a POST with an Idempotency-Key header. For example, a service processes a
// booking, dies before it answers, and the client sends the booking again to
// the next incarnation of the service at the same address. Do removes what the
// client needs to repeat a request.
//
// A new connection for each write would also prevent this, but costs a round
// trip and still cannot show whether a connection broke before the first byte.
package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/headchecker"
	"primrosehook/judge"
)

// Limits of the transport and of Retry-After.
const (
	dialTimeout         = 2 * time.Second
	idleTimeout         = 60 * time.Second
	keepAliveInterval   = 15 * time.Second
	maxIdleConns        = 4096
	maxIdleConnsPerHost = 64
	// bufferSize is the size of each of a connection's two buffers, in bytes. A
	// token takes about 50 bytes, and an open stream keeps its connection. The
	// default of net/http is 4 KB each; larger bodies bypass the buffers.
	bufferSize        = 1 << 10
	defaultRetryAfter = time.Second
	maxRetryAfter     = time.Minute
)

// Meter counts the bytes on a client's connections.
type Meter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Option sets one option of a client.
type Option func(*dialer)

// WithMeter counts the client's bytes in m.
func WithMeter(m *Meter) Option { return func(d *dialer) { d.meter = m } }

// NewClient returns a client whose connections count the writes on them, as Do
// requires, and which refuses malformed answers (package headchecker). It follows no redirects, because a redirect may turn a write into a
// read.
func NewClient(set ...Option) *http.Client {
	d := &dialer{base: net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}, meter: new(Meter)}
	for _, f := range set {
		f(d)
	}
	return &http.Client{
		Transport: &strictTransport{base: &http.Transport{
			DialContext:            d.dial,
			MaxIdleConns:           maxIdleConns,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: headchecker.MaxBytes,
			ReadBufferSize:         bufferSize,
			WriteBufferSize:        bufferSize,
			DisableCompression:     true,
		}},
		CheckRedirect: returnRedirect,
	}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// ErrUnwanted means that nothing more of a request was written, since it was not wanted any more.
var ErrUnwanted = errors.New("the request is not wanted any more")

// wantedKey is the context key of what WithWanted sets.
type wantedKey struct{}

// WithWanted returns a context with which Do asks right before each write whether the request is
// still wanted, nil to ask no more. Once it is not, Do fails with an error that wraps ErrUnwanted.
func WithWanted(ctx context.Context, wanted func() bool) context.Context {
	return context.WithValue(ctx, wantedKey{}, wanted)
}

// Do sends a request at most once. An error is a judge.Refusal with the given
// code and reason, unless the transport returned a refusal of its own. Its
// verdict is NotRun if no byte of the request was written, and else MayHaveRun.
// Only GET and HEAD requests may be repeated by the client itself.
func Do(client *http.Client, q *http.Request, code, reason string) (*http.Response, error) {
	if q.Method != http.MethodGet && q.Method != http.MethodHead {
		q.GetBody = nil
		if q.Body == nil || q.Body == http.NoBody {
			// The client considers a request without a body safe to repeat.
			q.Body = opaqueBody{http.NoBody}
		} else {
			q.Body = &releasingBody{body: q.Body}
		}
	}
	w := &connTracker{seesAll: supportsTrace(client.Transport)}
	if wanted, ok := q.Context().Value(wantedKey{}).(func() bool); ok && wanted != nil {
		w.wanted = &wanted
	}
	p, err := client.Do(q.WithContext(w.watch(q.Context())))
	if err == nil {
		return p, nil
	}
	if w.nothingWritten() {
		r := judge.Unavailable(code, reason, defaultRetryAfter)
		r.Cause = err
		return nil, r
	}
	var refusal *judge.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	return nil, judge.FromNetworkError(err, code, reason)
}

// Refusal returns the refusal for a response that is not a success. Its verdict
// is the one in the response's header. Without that header status 429 means
// NotRun; any other status means MayHaveRun, since an intermediary may have
// forwarded the request.
func Refusal(p *http.Response, code, reason string) *judge.Refusal {
	r := &judge.Refusal{
		Verdict: judge.Parse(p.Header.Get(judge.Header)),
		Status:  p.StatusCode,
		Code:    code,
		Reason:  reason,
	}
	limited := p.StatusCode == http.StatusTooManyRequests
	if limited && p.Header.Get(judge.Header) == "" {
		r.Verdict = judge.NotRun
	}
	// Other client errors would fail again, so they get no retry time.
	if limited || p.StatusCode >= http.StatusInternalServerError {
		r.RetryAfter = retryAfter(p)
	}
	return r
}

// EndsWithConnection reports whether the body of a response has neither a length nor
// chunks, so that the end of its connection is the end of the body. That end looks the
// same if the server has crashed.
func EndsWithConnection(p *http.Response) bool {
	return p.ContentLength < 0 && len(p.TransferEncoding) == 0
}

// probeDelay is the time from the end of a connection to the probe of its server: a
// process that ends closes its sockets one after the other.
const probeDelay = 20 * time.Millisecond

// Probe finds out whether a server whose connection has just ended still takes
// connections.
func Probe(ctx context.Context, clock clockwork.Clock, addr string) error {
	select {
	case <-clock.After(probeDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

// retryAfter returns the time after which the upstream wants the request to be
// retried.
func retryAfter(p *http.Response) time.Duration {
	seconds, err := strconv.Atoi(p.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// supportsTrace reports whether a transport is certain to call the hooks of a
// client trace. Any other transport is trusted only once it has called GetConn.
func supportsTrace(t http.RoundTripper) bool {
	if t == nil {
		return true
	}
	if w, ok := t.(unwrapper); ok {
		return supportsTrace(w.Unwrap())
	}
	_, ok := t.(*http.Transport)
	return ok
}

// unwrapper is a transport that only adds headers and forwards each request
// once.
type unwrapper interface {
	Unwrap() http.RoundTripper
}

// opaqueBody hides from the client that a body is empty.
type opaqueBody struct{ io.ReadCloser }

// releasingBody is a body that releases its data once it is closed. The client
// keeps a request until its response has ended, which may be a long stream.
type releasingBody struct {
	mu   sync.Mutex
	body io.ReadCloser
}

// Read implements io.Reader.
func (s *releasingBody) Read(p []byte) (int, error) {
	s.mu.Lock()
	body := s.body
	s.mu.Unlock()
	return body.Read(p)
}

// Close implements io.Closer.
func (s *releasingBody) Close() error {
	s.mu.Lock()
	body := s.body
	s.body = http.NoBody
	s.mu.Unlock()
	return body.Close()
}

// connTracker records the connections that a request was given.
type connTracker struct {
	mu sync.Mutex
	// seesAll is set if the request can use no connection that the tracker does
	// not see.
	seesAll bool
	conns   []trackedConn
	// wanted is asked before each write, nil for none.
	wanted *func() bool
}

// trackedConn is a connection with the number of writes on it when the request
// got it.
type trackedConn struct {
	conn         net.Conn
	writesBefore int64
	// number is the request's number on the connection, from one.
	number int64
}

// trackerKey is the context key of a request's tracker.
type trackerKey struct{}

// watch returns a context whose request is tracked.
func (w *connTracker) watch(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GetConn: w.getConn, GotConn: w.gotConn}
	return httptrace.WithClientTrace(context.WithValue(ctx, trackerKey{}, w), trace)
}

func (w *connTracker) getConn(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seesAll = true
}

func (w *connTracker) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := trackedConn{conn: info.Conn}
	if c, ok := info.Conn.(*countingConn); ok {
		u.writesBefore = c.writes.Load()
		c.wanted.Store(w.wanted)
		u.number = c.begin()
	}
	w.conns = append(w.conns, u)
}

// answered reports whether the request's answer is one whose head was checked: not bytes that
// came behind the answer before. The connection may already be another request's.
func (w *connTracker) answered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		return false
	}
	u := w.conns[len(w.conns)-1]
	c, ok := u.conn.(*countingConn)
	return ok && c.head.Heads() >= u.number
}

// nothingWritten reports whether it is certain that nothing was written. It
// closes the connections first, so that no write can follow.
func (w *connTracker) nothingWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.conns {
		c, ok := u.conn.(*countingConn)
		if !ok {
			return false
		}
		_ = c.Close()
		if c.writes.Load() != u.writesBefore {
			return false
		}
	}
	return w.seesAll
}
