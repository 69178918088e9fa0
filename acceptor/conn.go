package acceptor

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/peeker"
)

const (
	// restTime is how long the rest of a body that was not read is awaited after the answer.
	// During a stop that is stopRestTime, in which an answer reaches its client.
	restTime     = time.Second
	stopRestTime = 200 * time.Millisecond
	// writeTimeout is how long a client may take for each writePiece of an answer: 16 kbit/s,
	// beside what the buffers of the kernel hold.
	writeTimeout = 30 * time.Second
	writePiece   = 64 << 10
)

// Conn is a client's connection that records whether this side closed it.
type Conn struct {
	net.Conn
	closed atomic.Bool
	// acceptor counts the connection and what its heads take.
	acceptor *Acceptor
	slot
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.acceptor.remove(c)
	return c.Conn.Close()
}

// Read implements net.Conn. What arrives of a request before its handler begins is its head.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.busy.Load() && !c.acceptor.chargeHead(c, n) {
		return 0, errHeadMemory
	}
	return n, err
}

// Write implements net.Conn. Each piece has its own deadline, so that a client that does not
// read its answer does not hold the memory of it for good.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(b, writePiece) {
		if err := c.SetWriteDeadline(c.acceptor.clock.Now().Add(c.acceptor.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Handler returns a handler that passes requests on and marks their connections as busy. The
// HTTP server must have Observe as its ConnState and peeker.WithClient as its ConnContext.
// Requests on connections that no acceptor has accepted are passed on as they are.
func Handler(h http.Handler, clock clockwork.Clock) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c, _ := peeker.Client(q.Context())
		client, ok := c.(*Conn)
		if !ok {
			h.ServeHTTP(w, q)
			return
		}
		// At the end of a stop the HTTP server closes idle connections, and a full acceptor does,
		// possibly while it reads a request. The answer could not be delivered.
		if !client.acceptor.begin(client) {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, q)
		boundRest(w, q, clock)
		client.acceptor.finish(client)
	})
}

// boundRest bounds for how long the HTTP server waits for the rest of a body that the handler
// has not read. Without it a client that sends no more keeps its connection for good.
func boundRest(w http.ResponseWriter, q *http.Request, clock clockwork.Clock) {
	if q.ContentLength == 0 {
		return
	}
	// Fails only on a connection without deadlines, which acceptors don't accept.
	_ = http.NewResponseController(w).SetReadDeadline(clock.Now().Add(restTime))
}
