package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"time"
	"unicode/utf8"

	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
)

// Limits and sizes of a stream, in bytes. A line is one token.
const (
	maxStreamBytes     = 64 << 20
	maxLineBytes       = 1 << 20
	initialBufferBytes = 512
)

// cancelTimeout limits a cancel request that no caller waits for.
const cancelTimeout = 2 * time.Second

// stream reads one JSON token per line.
//
// It does not use a json.Decoder, since Ready must know whether the next token
// has already arrived, and since a decoder costs 4 us per token and holds 2 KB.
// Lines in the usual form are parsed without encoding/json.
type stream struct {
	ctx    context.Context
	client *Client
	id     string
	body   io.ReadCloser
	// buffer holds the bytes that have arrived; the first consumed bytes are
	// done with.
	buffer   []byte
	consumed int
	// line is the memory of a line that has arrived in part.
	line *reserver.Incomplete
	// bytesRead counts the bytes received; readErr is the error after which no
	// more arrive.
	bytesRead int
	readErr   error
	finished  bool
	cut       bool
	closed    bool
}

// Next implements Stream. This frame and those below it stay on the stack of
// the caller while the stream is open, so Next has no large local variables
// while it waits.
func (s *stream) Next() (Token, error) {
	for !s.finished && !s.Ready() && s.readErr == nil {
		s.fill()
	}
	return s.decodeNext()
}

// Ready implements Stream.
func (s *stream) Ready() bool {
	for s.consumed < len(s.buffer) && isBlank(s.buffer[s.consumed]) {
		s.consumed++
	}
	return bytes.IndexByte(s.buffer[s.consumed:], '\n') >= 0
}

func isBlank(c byte) bool { return c == '\n' || c == '\r' || c == ' ' || c == '\t' }

// fill reads once and appends to the bytes that are not consumed yet.
func (s *stream) fill() {
	s.buffer = s.buffer[:copy(s.buffer, s.buffer[s.consumed:])]
	s.consumed = 0
	if len(s.buffer) > maxLineBytes || s.bytesRead > maxStreamBytes {
		s.readErr = errTooLong
		return
	}
	if !s.line.Fits(len(s.buffer)) {
		s.readErr = reserver.ErrIncomplete
		return
	}
	if len(s.buffer) == cap(s.buffer) {
		s.buffer = slices.Grow(s.buffer, max(initialBufferBytes, len(s.buffer)))
	}
	var n int
	n, s.readErr = s.body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	s.bytesRead += n
}

var errTooLong = errors.New("stream is too long")

// decodeNext decodes the next token from the buffer.
func (s *stream) decodeNext() (Token, error) {
	var t Token
	if s.finished {
		return t, io.EOF
	}
	line, _, _ := bytes.Cut(s.buffer[s.consumed:], []byte{'\n'})
	s.consumed += len(line)
	if err := decodeLine(line, &t); err != nil {
		// An answer without its last token was cut, whatever the error.
		s.cut = true
		return Token{}, judge.Unknown("engine", "engine stream was cut", s.cause(err))
	}
	s.finished = t.Finish != ""
	return t, nil
}

// cause returns why a stream has no next token. If the connection ended cleanly
// that is io.ErrUnexpectedEOF, since io.EOF would mean that the answer is
// complete.
func (s *stream) cause(err error) error {
	switch {
	case s.readErr == nil:
		return err
	case errors.Is(s.readErr, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return s.readErr
}

// Close implements Stream. The engine keeps a stream whose connection is
// closed, for Resume, so a stream that is no longer wanted is cancelled.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	s.line.Release()
	unwanted := !s.cut || s.ctx.Err() != nil
	if !s.finished && unwanted {
		go s.runCancel()
	}
	return s.body.Close()
}

func (s *stream) runCancel() {
	// Nobody wants the stream any more, but the cancel must be sent.
	ctx, cancel := context.WithTimeout(sender.WithWanted(context.WithoutCancel(s.ctx), nil), cancelTimeout)
	defer cancel()
	// If the cancel is lost the engine only generates some tokens for nothing.
	_ = s.client.Cancel(ctx, s.id)
}

// decodeLine decodes a line. Lines in any other than the usual form, such as
// the last token, go to encoding/json.
func decodeLine(line []byte, t *Token) error {
	if decodePlain(line, t) {
		return nil
	}
	return json.Unmarshal(line, t)
}

// The parts of a token's usual form: {"offset":7,"text":"room "}.
var (
	offsetPrefix = []byte(`{"offset":`)
	textPrefix   = []byte(`,"text":"`)
	lineSuffix   = []byte(`"}`)
)

// decodePlain decodes a token in the usual form whose text contains no escapes.
// If the line has another form, it returns false and does not change t.
func decodePlain(line []byte, t *Token) bool {
	rest, begins := bytes.CutPrefix(line, offsetPrefix)
	text, ends := bytes.CutSuffix(rest, lineSuffix)
	number, text, parts := bytes.Cut(text, textPrefix)
	offset, whole := parseNatural(number)
	if !begins || !ends || !parts || !whole || !isVerbatim(text) {
		return false
	}
	t.Offset, t.Text = offset, string(text)
	return true
}

// parseNatural parses a JSON integer without sign and leading zeros. It returns
// false for numbers far beyond 32 bits.
func parseNatural(digits []byte) (int, bool) {
	if len(digits) == 0 || len(digits) > 1 && digits[0] == '0' {
		return 0, false
	}
	n := 0
	for _, c := range digits {
		if c < '0' || c > '9' || n > math.MaxInt32 {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

// isVerbatim reports whether a JSON string decodes to the same bytes.
func isVerbatim(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
