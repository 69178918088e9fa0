package entryassembler

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primrosehook/peeker"
)

const (
	// restTime is how long the rest of a body that was not read is awaited after the answer.
	restTime = time.Second
	// writeTimeout is how long a client may take for each writePiece of an answer: 16 kbit/s,
	// beside what the buffers of the kernel hold.
	writeTimeout = 30 * time.Second
	writePiece   = 64 << 10
)

// clientConn is a client's connection that records whether this side closed it.
type clientConn struct {
	net.Conn
	closed atomic.Bool
	// gate counts the connection and what its heads take.
	gate *gate
	slot
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closed.Store(true)
	c.gate.remove(c)
	return c.Conn.Close()
}

// Read implements net.Conn. What arrives of a request before its handler begins is its head.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.busy.Load() && !c.gate.chargeHead(c, n) {
		return 0, errHeadMemory
	}
	return n, err
}

// Write implements net.Conn. Each piece has its own deadline, so that a client that does not
// read its answer does not hold the memory of it for good.
func (c *clientConn) Write(b []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(b, writePiece) {
		if err := c.SetWriteDeadline(c.gate.clock.Now().Add(writeTimeout)); err != nil {
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
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// front handles clients' requests. While the instance stops, each answer has
// the header Connection: close; idle connections stay open, since a request may
// already be on its way on them, and so do those without a request so far.
func (e *Entry) front(w http.ResponseWriter, q *http.Request) {
	// At the end of a stop the HTTP server closes idle connections, and a full gate does,
	// possibly while it reads a request. The answer could not be delivered.
	if c, ok := peeker.Client(q.Context()); ok {
		if client := c.(*clientConn); !client.gate.begin(client) {
			panic(http.ErrAbortHandler)
		}
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e.relayer.ServeHTTP(w, q)
	e.boundRest(w, q)
}

// boundRest bounds for how long the HTTP server waits for the rest of a body that the handler
// has not read. Without it a client that sends no more keeps its connection for good.
func (e *Entry) boundRest(w http.ResponseWriter, q *http.Request) {
	if q.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(e.clock.Now().Add(restTime)); err != nil {
		e.log.Debug("entry: connection has no deadlines", zap.Error(err))
	}
}
