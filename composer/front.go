package composer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// clientConn is a client's connection that knows whether this side closed it.
type clientConn struct {
	net.Conn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// front is the handler of clients' requests. While the instance stops, each
// answer tells that its connection closes; idle connections stay open, since a
// request may be under way on them.
func (e *Entry) front(w http.ResponseWriter, q *http.Request) {
	// The server closes idle connections at the end of a stop, and may do so
	// while it reads a request. Nobody would get the answer to that.
	if c, ok := q.Context().Value(connKey{}).(*clientConn); ok && c.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relayer.ServeHTTP(w, q)
}
