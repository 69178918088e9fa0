package entryassembler

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"primrosehook/peeker"
)

// clientConn is a client's connection that records whether this side closed it.
type clientConn struct {
	net.Conn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// clientListener accepts client connections as clientConn.
type clientListener struct{ net.Listener }

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// front handles clients' requests. While the instance stops, each answer has
// the header Connection: close; idle connections stay open, since a request may
// already be on its way on them, and so do those without a request so far.
func (e *Entry) front(w http.ResponseWriter, q *http.Request) {
	// At the end of a stop the HTTP server closes idle connections, possibly
	// while it reads a request. The answer could not be delivered.
	if c, ok := peeker.Client(q.Context()); ok && c.(*clientConn).closed.Load() {
		panic(http.ErrAbortHandler)
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relayer.ServeHTTP(w, q)
}
