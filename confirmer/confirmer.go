// Package confirmer tells the end of a connection from a reset that looks like one.
//
// On Linux a reset that arrives before the peer's end of the connection fails one call with
// ECONNRESET. If that is a concurrent Write, the calls after it fail with EPIPE, and Read
// returns the end of the connection. A reset that arrives after the peer's end fails writes
// with EPIPE only. For example, an upstream answers a long upload early and without a length,
// and resets the connection in the middle of its answer: the write of the upload takes the
// error, and the part of the answer that was read seems to be all of it.
package confirmer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read returns io.EOF only if its peer has ended it.
type Conn struct {
	*net.TCPConn
	// writing is held during a write, failed is the first error of one that is not the result
	// of the peer's end.
	writing sync.Mutex
	failed  error
}

// Wrap returns a connection that confirms its end; one that is not of TCP is returned as it is.
func Wrap(c net.Conn) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: t}
	}
	return c
}

// Read implements net.Conn. It returns the error of a write in place of the end of the
// connection that follows from it. A write that is in progress at the end is stopped first.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.confirm()
	}
	return n, err
}

// confirm returns io.EOF, or why that is not the peer's end.
func (c *Conn) confirm() error {
	if !c.writing.TryLock() {
		// Its outcome decides, and a peer that has ended the connection may never read on.
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.TCPConn.Write(p)
	c.record(err)
	return n, err
}

// record keeps the error of a write.
func (c *Conn) record(err error) {
	if err == nil || c.failed != nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.failed = err
}

// ReadFrom implements io.ReaderFrom. That of net.TCPConn would write without Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(writer{c}, r) }

// WriteTo implements io.WriterTo. That of net.TCPConn would read without Read.
func (c *Conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, reader{c}) }

// writer and reader hide the other methods of a connection.
type (
	writer struct{ io.Writer }
	reader struct{ io.Reader }
)
