// Package streamer splits a stream of server-sent events into complete events,
// and finds repeated and missing ones after a resumption. It does no I/O.
package streamer

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes limits the size of an incomplete event.
const maxEventBytes = 1 << 20

// ErrGap is returned when an event is missing.
var ErrGap = eris.New("an event of the stream is missing")

// ErrLarge is returned when an incomplete event exceeds maxEventBytes.
var ErrLarge = eris.New("an event of the stream is too large")

// ErrForeign is returned for bytes that are no event of the stream: they have no numeric id,
// although the events before have one.
var ErrForeign = eris.New("bytes in the stream are no event of it")

// Splitter splits the bytes of one stream, which may be resumed at another
// server.
type Splitter struct {
	partial []byte
	// lastID is the id of the last event with a numeric id that was returned.
	lastID     int64
	hasLastID  bool
	lastIDText string
}

// NewSplitterAfter returns a splitter for a stream that continues after the event
// with this id, empty for a stream from its beginning.
func NewSplitterAfter(id string) *Splitter {
	s := &Splitter{lastIDText: id}
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID, s.hasLastID = n, true
	}
	return s
}

// LastID returns the id of the last complete event that had one, at first the
// one given to NewSplitterAfter.
func (s *Splitter) LastID() string { return s.lastIDText }

// Reset drops the incomplete event that a broken connection left behind.
func (s *Splitter) Reset() { s.partial = nil }

// Partial returns the bytes after the last complete event.
func (s *Splitter) Partial() []byte { return s.partial }

// Push appends bytes to the stream and returns those of the events that are now
// complete, without the events that were already returned. The error is ErrGap,
// ErrLarge or ErrForeign.
func (s *Splitter) Push(b []byte) ([]byte, error) {
	data, scanned := b, 0
	if len(s.partial) > 0 {
		scanned = len(s.partial)
		s.partial = append(s.partial, b...)
		data = s.partial
	}
	end := completeLen(data, scanned)
	if end == 0 {
		if scanned == 0 {
			s.partial = slices.Clone(b)
		}
		if len(s.partial) > maxEventBytes {
			return nil, ErrLarge
		}
		return nil, nil
	}
	complete := data[:end]
	// out is a slice of data until the first repeated event is dropped, and a
	// copy from then on.
	out := complete
	copying := false
	for start := 0; start < len(complete); {
		next := start + firstEventLen(complete[start:])
		event := complete[start:next]
		id, ok := eventID(event)
		if !ok && s.hasLastID && !isComment(event) {
			return nil, ErrForeign
		}
		if ok {
			n, err := strconv.ParseInt(id, 10, 64)
			switch {
			case err != nil && s.hasLastID:
				return nil, ErrForeign
			case err != nil:
			case s.hasLastID && n <= s.lastID:
				if !copying {
					out = append([]byte(nil), complete[:start]...)
					copying = true
				}
				start = next
				continue
			case s.hasLastID && n > s.lastID+1:
				return nil, ErrGap
			default:
				s.lastID, s.hasLastID = n, true
			}
			s.lastIDText = id
		}
		if copying {
			out = append(out, event...)
		}
		start = next
	}
	s.partial = append([]byte(nil), data[end:]...)
	return out, nil
}

// maxBlankLine is the length of the longest sequence that ends an event.
const maxBlankLine = len("\r\n\r\n")

// completeLen returns the length of the complete events at the start of b. No event
// ends within the first scanned bytes: searching them again for each read would take
// time quadratic in the length of an event.
func completeLen(b []byte, scanned int) int {
	from := max(scanned-maxBlankLine+1, 0)
	end := 0
	if i := bytes.LastIndex(b[from:], []byte("\n\n")); i >= 0 {
		end = from + i + 2
	}
	if i := bytes.LastIndex(b[from:], []byte("\r\n\r\n")); i >= 0 {
		end = max(end, from+i+4)
	}
	return end
}

// firstEventLen returns the length of the first event in b, which must contain
// a complete one.
func firstEventLen(b []byte) int {
	for i := 0; i < len(b); i++ {
		next := bytes.IndexByte(b[i:], '\n')
		if next < 0 {
			break
		}
		i += next
		rest := b[i+1:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + 2
		}
		if i > 0 && b[i-1] == '\r' && bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + 3
		}
	}
	return len(b)
}

// isComment reports whether an event has comments and empty lines only.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if line = bytes.TrimRight(line, "\r"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
		event = rest
	}
	return "", false
}
