// Package headchecker refuses answers whose head breaks the grammar or the framing of
// HTTP/1.1. docs/design/ANSWERS.md lists the cases.
//
// net/http reads many of them, and what it makes of them is not what the server sent: it takes
// status 000 for one, keeps fields whose name holds a blank but not their meaning, joins folded
// lines, and ignores a length beside chunks.
package headchecker

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// MaxBytes bounds a head and the interim answers before it, in bytes.
const MaxBytes = 64 << 10

// Reasons for which an answer is refused.
const (
	ReasonStatus  = "status"
	ReasonVersion = "version"
	ReasonName    = "name"
	ReasonValue   = "value"
	ReasonFold    = "fold"
	ReasonLength  = "length"
	ReasonCoding  = "coding"
	ReasonBody    = "body"
	ReasonTrailer = "trailer"
	ReasonSize    = "size"
	// ReasonEarly is that of an answer that came before its request was written.
	ReasonEarly = "early"
)

// Reasons lists all reasons.
var Reasons = []string{
	ReasonStatus, ReasonVersion, ReasonName, ReasonValue, ReasonFold, ReasonLength, ReasonCoding,
	ReasonBody, ReasonTrailer, ReasonSize, ReasonEarly,
}

// Error is the error of reading an answer that is refused.
type Error struct{ Reason string }

// Error implements error.
func (e *Error) Error() string { return "the server's answer is malformed: " + e.Reason }

// ReasonOf returns the reason of an Error that an error wraps, empty if there is none.
func ReasonOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// Reader passes on what it reads from a connection, and checks the heads of answers before
// their end is passed on. It is safe for concurrent use, but reads must not overlap.
type Reader struct {
	source io.Reader

	mu sync.Mutex
	// awaiting is set until a head that is awaited is complete, heads counts those that are.
	awaiting bool
	heads    int64
	head     head
	err      error
}

// NewReader returns a reader that passes everything on until Await is called.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Await has the head of the next answer checked. buffered is what was read before and belongs
// to that answer.
func (r *Reader) Await(buffered []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.awaiting = true
	r.head = head{partial: r.head.partial[:0]}
	return r.check(buffered)
}

// Heads returns how many heads have been checked to their end.
func (r *Reader) Heads() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heads
}

// Read implements io.Reader. Of bytes that complete a malformed head it passes on none.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if checkErr := r.check(p[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check checks bytes of a head that is awaited.
func (r *Reader) check(p []byte) error {
	if !r.awaiting || r.err != nil {
		return r.err
	}
	complete, reason := r.head.push(p)
	if reason != "" {
		r.err = &Error{Reason: reason}
		return r.err
	}
	if complete {
		r.awaiting, r.head.partial = false, nil
		r.heads++
	}
	return nil
}

// head is the state of the check of one head and the interim answers before it.
type head struct {
	size int
	// partial is the beginning of a line whose end has not been read.
	partial []byte
	// status is zero before the status line.
	status int
	// minor is the minor version.
	minor                byte
	hasLength, hasCoding bool
	// declaresBody is set if the length is not zero, or there is a coding.
	declaresBody bool
}

// push checks the next bytes. It reports whether they complete the head, and why the answer
// is refused, empty if it is not.
func (h *head) push(p []byte) (complete bool, reason string) {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		length := end + 1
		if end < 0 {
			length = len(p)
		}
		if h.size += length; h.size > MaxBytes {
			return false, ReasonSize
		}
		if end < 0 {
			h.partial = append(h.partial, p...)
			return false, ""
		}
		line := p[:end]
		p = p[length:]
		if len(h.partial) > 0 {
			h.partial = append(h.partial, line...)
			line = h.partial
		}
		complete, reason = h.line(bytes.TrimSuffix(line, crBytes))
		if complete || reason != "" {
			return complete, reason
		}
		h.partial = h.partial[:0]
	}
	return false, ""
}

var (
	crBytes     = []byte("\r")
	protocol    = []byte("HTTP/")
	lengthName  = []byte("Content-Length")
	codingName  = []byte("Transfer-Encoding")
	codingValue = []byte("chunked")
)

// line checks one line.
func (h *head) line(line []byte) (complete bool, reason string) {
	switch {
	case h.status == 0:
		return false, h.statusLine(line)
	case len(line) > 0:
		return false, h.field(line)
	}
	if reason := h.framing(); reason != "" {
		return false, reason
	}
	if h.status >= http.StatusOK {
		return true, ""
	}
	// The head of another answer follows.
	*h = head{size: h.size, partial: h.partial}
	return false, ""
}

// statusLine checks "HTTP/1.1 200 OK", where the text may be missing.
func (h *head) statusLine(line []byte) (reason string) {
	rest, ok := bytes.CutPrefix(line, protocol)
	if !ok || len(rest) < 4 || rest[0] != '1' || rest[1] != '.' || !isDigit(rest[2]) || rest[3] != ' ' {
		return ReasonVersion
	}
	h.minor = rest[2] - '0'
	rest = rest[4:]
	if len(rest) < 3 || len(rest) > 3 && rest[3] != ' ' || !isValue(rest) {
		return ReasonStatus
	}
	for _, c := range rest[:3] {
		if !isDigit(c) {
			return ReasonStatus
		}
		h.status = 10*h.status + int(c-'0')
	}
	// No request asks for another protocol.
	if h.status < 100 || h.status == http.StatusSwitchingProtocols {
		return ReasonStatus
	}
	return ""
}

// field checks "name: value".
func (h *head) field(line []byte) (reason string) {
	if line[0] == ' ' || line[0] == '\t' {
		return ReasonFold
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return ReasonName
	}
	if !isValue(value) {
		return ReasonValue
	}
	switch {
	case bytes.EqualFold(name, lengthName):
		return h.length(bytes.Trim(value, " \t"))
	case bytes.EqualFold(name, codingName):
		if h.hasCoding || !bytes.EqualFold(bytes.Trim(value, " \t"), codingValue) {
			return ReasonCoding
		}
		h.hasCoding, h.declaresBody = true, true
	}
	return ""
}

// maxLengthDigits bounds the digits of a length, so that it fits into 64 bits.
const maxLengthDigits = 18

// length checks the value of a Content-Length field.
func (h *head) length(value []byte) (reason string) {
	if h.hasLength || len(value) == 0 || len(value) > maxLengthDigits {
		return ReasonLength
	}
	h.hasLength = true
	for _, c := range value {
		if !isDigit(c) {
			return ReasonLength
		}
		h.declaresBody = h.declaresBody || c != '0'
	}
	return ""
}

// framing checks what the fields say together.
func (h *head) framing() (reason string) {
	switch {
	case h.hasCoding && h.hasLength:
		return ReasonLength
	case h.hasCoding && h.minor == 0:
		return ReasonCoding
	case h.declaresBody && (h.status < http.StatusOK || h.status == http.StatusNoContent):
		return ReasonBody
	}
	return ""
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// tokens holds the bytes that a field's name consists of.
var tokens = func() (set [256]bool) {
	const all = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte(all) {
		set[c] = true
	}
	return set
}()

func isToken(name []byte) bool {
	for _, c := range name {
		if !tokens[c] {
			return false
		}
	}
	return len(name) > 0
}

// isValue reports whether text holds no control bytes but tabs.
func isValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// GuardTrailers has the body of an answer fail at its end if a trailer is malformed.
func GuardTrailers(p *http.Response) {
	if len(p.TransferEncoding) > 0 {
		p.Body = &guardedBody{ReadCloser: p.Body, answer: p}
	}
}

// guardedBody is a body with chunks.
type guardedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.validTrailers() {
		return n, &Error{Reason: ReasonTrailer}
	}
	return n, err
}

// validTrailers reports whether the trailers may follow a body. net/http has checked their
// values.
func (b *guardedBody) validTrailers() bool {
	for name := range b.answer.Trailer {
		switch name {
		case "Content-Length", "Transfer-Encoding", "Trailer":
			return false
		}
		if !isToken([]byte(name)) {
			return false
		}
	}
	return true
}
