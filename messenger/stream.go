package messenger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/peeker"
	"primrosehook/resetter"
)

// Kinds of the frames of a stream.
const (
	kindData  = "data"
	kindEnd   = "end"
	kindLeave = "leave"
)

// Reasons for the end of a stream.
const (
	endEOF    = "eof"
	endReset  = "reset"
	endBroken = "broken"
)

// maxStreamData bounds the bytes in one frame of a stream.
const maxStreamData = 32 << 10

// ErrStreamBroken ends the reading of a stream whose peer, or what the peer reads from, is
// lost.
var ErrStreamBroken = errors.New("the stream between instances broke")

// Stream carries bytes both ways between two instances, on a connection of its own. Unlike
// that of a TCP connection its end says how it came about, so that a peer that is lost is not
// taken for the end of what it passes on. It implements net.Conn. Reads must not overlap.
type Stream struct {
	net.Conn
	reader *bufio.Reader
	// rest is what was received and not read yet, ended why nothing more comes.
	rest    []byte
	ended   error
	leaving atomic.Bool
	// writing is held while a frame is written.
	writing sync.Mutex
}

// OpenStream opens a stream of a kind on a new connection to a peer, which it closes if that
// fails.
func OpenStream(ctx context.Context, conn net.Conn, kind string, body any) (*Stream, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	s, err := openStream(conn, kind, body)
	if !stop() || err != nil {
		_ = conn.Close()
		if err == nil {
			err = ctx.Err()
		}
		return nil, err
	}
	return s, nil
}

func openStream(conn net.Conn, kind string, body any) (*Stream, error) {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return nil, judge.Invalid("encode", "message cannot be encoded")
	}
	if err := framer.Write(conn, framer.Message{ID: 1, Kind: kind, Body: data}); err != nil {
		return nil, err
	}
	s := &Stream{Conn: conn, reader: bufio.NewReader(conn)}
	m, err := framer.Read(s.reader)
	if err != nil {
		return nil, err
	}
	var r reply
	if m.Kind != kindReply || framer.Decode(m.Body, &r) != nil {
		return nil, ErrStreamBroken
	}
	return s, r.decode(nil)
}

// Read implements net.Conn.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.rest) == 0 && s.ended == nil {
		s.receive()
	}
	if len(s.rest) == 0 {
		return 0, s.ended
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// receive reads one frame.
func (s *Stream) receive() {
	m, err := framer.Read(s.reader)
	switch {
	case err != nil:
		s.ended = errors.Join(ErrStreamBroken, hideEOF(err))
	case m.Kind == kindLeave:
		s.leaving.Store(true)
	case m.Kind == kindData:
		if framer.Decode(m.Body, &s.rest) != nil {
			s.ended = ErrStreamBroken
		}
	default:
		s.ended = endError(m)
	}
}

// hideEOF returns an error that is no end of a file: the end of the connection is not that of
// what the peer passes on.
func hideEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return errors.New(err.Error())
	}
	return err
}

// endError returns the error for the last frame of a stream.
func endError(m framer.Message) error {
	var reason string
	if m.Kind != kindEnd || framer.Decode(m.Body, &reason) != nil {
		return ErrStreamBroken
	}
	switch reason {
	case endEOF:
		return io.EOF
	case endReset:
		return syscall.ECONNRESET
	}
	return ErrStreamBroken
}

// Write implements net.Conn.
func (s *Stream) Write(p []byte) (int, error) {
	for n := 0; n < len(p); n += maxStreamData {
		if err := s.send(kindData, p[n:min(n+maxStreamData, len(p))]); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// send writes one frame.
func (s *Stream) send(kind string, body any) error {
	data, err := msgpack.Marshal(body)
	if err != nil {
		return err
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	return framer.Write(s.Conn, framer.Message{Kind: kind, Body: data})
}

// End tells the peer that nothing more comes, because of an error of what this instance
// passes on. The stream is to be closed later, by the peer if possible: with bytes unread, a
// close is a reset, which drops what the peer has not got yet.
func (s *Stream) End(cause error) error {
	reason := endBroken
	switch {
	case errors.Is(cause, io.EOF):
		reason = endEOF
	case errors.Is(cause, syscall.ECONNRESET):
		reason = endReset
	}
	return s.send(kindEnd, reason)
}

// Reset closes the stream and drops what was written and not sent yet. The peer drops what it
// has not passed on.
func (s *Stream) Reset() error { return resetter.Reset(s.Conn) }

// Closed reports whether the peer has closed the stream, even if bytes from before that are
// still to be read.
func (s *Stream) Closed() bool { return peeker.Closed(s.Conn) }

// Leave asks the peer to use the stream for nothing further.
func (s *Stream) Leave() error { return s.send(kindLeave, nil) }

// Quiet reports whether the stream is open and has nothing to read, and the peer has not asked
// to use it no further.
func (s *Stream) Quiet() bool {
	if s.leaving.Load() || s.ended != nil || len(s.rest) > 0 || s.reader.Buffered() > 0 {
		return false
	}
	c, ok := s.Conn.(syscall.Conn)
	return !ok || isQuiet(c)
}

// isQuiet reports whether a connection is open and has nothing to read.
func isQuiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(e, unix.EAGAIN) || errors.Is(e, unix.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// StreamHandler decides about a stream that a peer opens. Its error refuses it; else the
// function that it returns serves the stream until it ends.
type StreamHandler func(ctx context.Context, body msgpack.RawMessage) (func(ctx context.Context, s *Stream), error)

// HandleStream sets the handler of the streams of a kind. The message that opens one is the
// first one on its connection.
func (s *Server) HandleStream(kind string, h StreamHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[kind] = h
}

func (s *Server) streamHandler(kind string) (StreamHandler, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.streams[kind]
	return h, ok
}

// serveStream serves the stream that a message opens, until it ends.
func (l *serverConn) serveStream(ctx context.Context, r *bufio.Reader, m framer.Message, h StreamHandler) {
	serve, err := h(ctx, m.Body)
	var answer reply
	if err != nil {
		answer = refusalReply(judge.As(err))
	}
	body, encodeErr := msgpack.Marshal(answer)
	if encodeErr != nil {
		return
	}
	// Nothing else writes to the connection: only this message has arrived on it.
	writeErr := framer.Write(l.conn, framer.Message{ID: m.ID, Kind: kindReply, Body: body})
	if err != nil {
		return
	}
	s := &Stream{Conn: l.conn, reader: r}
	if writeErr != nil {
		_ = s.Close()
	}
	serve(ctx, s)
}
