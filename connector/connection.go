package connector

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"primrosehook/headchecker"
	"primrosehook/resetter"
)

// errOtherTooLarge ends the reading of an answer to another request.
var errOtherTooLarge = errors.New("an answer to another request is too large")

type connection struct {
	conn    net.Conn
	weigher *headWeigher
	source  *headchecker.Reader
	reader  *bufio.Reader
	// openedAt is when the connection was opened, idleSince when it last became idle.
	openedAt  time.Time
	idleSince time.Time
	// used is set once a request was answered.
	used         bool
	stopWatching func() bool
	once         sync.Once
	// bodyWritten is closed when a body that is written concurrently has been
	// written or its write has failed; nil if there is no such body. bodyFailed
	// is set before.
	bodyWritten chan struct{}
	bodyFailed  bool
}

func (c *connection) close() { c.once.Do(func() { _ = c.conn.Close() }) }

// abort closes a connection in the middle of an exchange.
func (c *connection) abort() { c.once.Do(func() { _ = resetter.Reset(c.conn) }) }

// reusable reports whether an idle connection is still open and has received no
// bytes.
func (c *connection) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if q, ok := c.conn.(interface{ Quiet() bool }); ok {
		return q.Quiet()
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

// encode returns the head of the request, and its body unless it is written separately.
func (q Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(1<<10 + min(len(q.Body), maxInlineBody))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if q.LateHeader != nil {
		_ = q.LateHeader().Write(&b)
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !q.separate() {
		b.Write(q.Body)
	}
	return b.Bytes()
}

// separate reports whether the body is written while the answer is awaited.
func (q Request) separate() bool { return len(q.Body) > maxInlineBody }

// roundTrip writes the request and reads the head of its answer.
func (c *connection) roundTrip(q Request, head []byte, matches AnswerMatcher) (*Answer, error) {
	if n, err := c.conn.Write(head); err != nil {
		return nil, brokenError(err, n == 0)
	}
	c.bodyWritten, c.bodyFailed = nil, false
	if q.separate() {
		c.bodyWritten = make(chan struct{})
		go c.runBodyWrite(q)
	}
	c.weigher.begin(q.GrowHead)
	return c.readHead(q.Method, matches)
}

// runBodyWrite writes a large body while the answer is awaited.
func (c *connection) runBodyWrite(q Request) {
	defer close(c.bodyWritten)
	for part := range slices.Chunk(q.Body, bodyPartBytes) {
		if !q.wanted() {
			c.bodyFailed = true
			c.abort()
			return
		}
		_, err := c.conn.Write(part)
		if err == nil {
			continue
		}
		c.bodyFailed = true
		if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
			// The reader of the answer reports the failure.
			c.abort()
		}
		// Otherwise the upstream closed the connection. An answer that it sent before can
		// still be read. Package confirmer tells the reader whether it was cut by a reset.
		return
	}
}

// readHead reads answers until one matches the request.
func (c *connection) readHead(method string, matches AnswerMatcher) (*Answer, error) {
	for range maxAnswerHeads {
		r, err := c.readResponse(method)
		if err != nil {
			return nil, brokenError(err, false)
		}
		switch {
		case r.StatusCode < http.StatusOK:
		case matches(r.Header, c.used):
			c.used = true
			return &Answer{Response: r, conn: c}, nil
		default:
			// A late answer to an earlier request.
			n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxOtherBody))
			if err == nil && n == maxOtherBody {
				err = errOtherTooLarge
			}
			if err != nil {
				return nil, brokenError(err, false)
			}
		}
	}
	return nil, brokenError(eris.New("answers to other requests"), false)
}

// readResponse reads the head of one answer.
func (c *connection) readResponse(method string) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.source.Await(buffered); err != nil {
		return nil, err
	}
	c.weigher.awaiting = true
	defer func() { c.weigher.awaiting = false }()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	headchecker.GuardTrailers(r)
	return r, nil
}
