package sender

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"primrosehook/confirmer"
	"primrosehook/headchecker"
)

// strictTransport is a transport that refuses malformed answers.
type strictTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *strictTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	w, ok := q.Context().Value(trackerKey{}).(*connTracker)
	if !ok {
		w = &connTracker{}
		q = q.WithContext(w.watch(q.Context()))
	}
	p, err := t.base.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if !w.answered() {
		_ = p.Body.Close()
		return nil, &headchecker.Error{Reason: headchecker.ReasonEarly}
	}
	headchecker.GuardTrailers(p)
	return p, nil
}

// Unwrap returns the underlying transport, which receives each request exactly once.
func (t *strictTransport) Unwrap() http.RoundTripper { return t.base }

// CloseIdleConnections closes the idle connections, for http.Client.
func (t *strictTransport) CloseIdleConnections() { t.base.CloseIdleConnections() }

type dialer struct {
	base  net.Dialer
	meter *Meter
}

func (d *dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := d.base.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c = confirmer.Wrap(c)
	return &countingConn{Conn: c, meter: d.meter, head: headchecker.NewReader(c)}, nil
}

// countingConn is a connection that counts the calls of Write and checks the heads of answers.
type countingConn struct {
	net.Conn
	writes atomic.Int64
	meter  *Meter
	// wanted is asked before each write for the request that uses the connection, nil if it
	// is wanted in any case.
	wanted atomic.Pointer[func() bool]
	head   *headchecker.Reader
	// requests counts the requests that got the connection.
	requests atomic.Int64
	// unsent is set from when a request gets the connection until it begins to be written.
	unsent atomic.Bool
}

// begin counts a request that gets the connection, and returns its number.
func (c *countingConn) begin() int64 {
	c.unsent.Store(true)
	return c.requests.Add(1)
}

// Read implements net.Conn. Bytes that arrive before the request is written are no answer to it.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.head.Read(p)
	c.meter.Received.Add(int64(n))
	if n > 0 && c.unsent.Load() {
		return 0, &headchecker.Error{Reason: headchecker.ReasonEarly}
	}
	return n, err
}

// Write implements net.Conn. It counts before it writes, so that an unchanged
// count after Close means that nothing was written and nothing will be.
func (c *countingConn) Write(p []byte) (int, error) {
	if wanted := c.wanted.Load(); wanted != nil && !(*wanted)() {
		return 0, ErrUnwanted
	}
	if c.unsent.Load() {
		// The answer before was not one to the request before.
		if c.head.Heads() != c.requests.Load()-1 {
			return 0, &headchecker.Error{Reason: headchecker.ReasonEarly}
		}
		if err := c.head.Await(nil); err != nil {
			return 0, err
		}
		c.unsent.Store(false)
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.meter.Sent.Add(int64(n))
	return n, err
}
