// Package streamer cuts a stream of server-sent events into whole events. It
// does no I/O.
package streamer

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// ErrGap is returned when an event is missing.
var ErrGap = eris.New("an event of the stream is missing")

// ErrLarge is returned when an event is larger than any real one.
var ErrLarge = eris.New("an event of the stream is too large")

// Splitter takes the bytes of one stream, which may go on at another server.
type Splitter struct {
	rest []byte
	// last is the id of the last event given out.
	last    int64
	started bool
	text    string
}

// After returns a splitter for a stream that goes on after an event.
func After(id string) *Splitter {
	s := &Splitter{text: id}
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.last, s.started = n, true
	}
	return s
}

// Last returns the id of the last whole event, empty if there was none.
func (s *Splitter) Last() string { return s.text }

// Reset drops the part of an event that a broken connection left behind.
func (s *Splitter) Reset() { s.rest = nil }

// Rest returns the bytes after the last whole event.
func (s *Splitter) Rest() []byte { return s.rest }

// Push takes bytes and returns those of the events that are now whole. Events
// that were given out before are left out.
func (s *Splitter) Push(b []byte) ([]byte, error) {
	data := b
	if len(s.rest) > 0 {
		data = slices.Concat(s.rest, b)
	}
	end := boundary(data)
	if end == 0 {
		s.rest = append([]byte(nil), data...)
		if len(s.rest) > maxEvent {
			return nil, ErrLarge
		}
		return nil, nil
	}
	whole := data[:end]
	out := whole
	skipped := false
	for at := 0; at < len(whole); {
		next := at + first(whole[at:])
		event := whole[at:next]
		id, ok := eventID(event)
		if ok {
			n, err := strconv.ParseInt(id, 10, 64)
			switch {
			case err != nil:
			case s.started && n <= s.last:
				if !skipped {
					out = append([]byte(nil), whole[:at]...)
					skipped = true
				}
				at = next
				continue
			case s.started && n > s.last+1:
				return nil, ErrGap
			default:
				s.last, s.started = n, true
			}
			s.text = id
		}
		if skipped {
			out = append(out, event...)
		}
		at = next
	}
	s.rest = append([]byte(nil), data[end:]...)
	return out, nil
}

// boundary returns the end of the last whole event in b, 0 if there is none.
func boundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// first returns the length of the first event in b, which holds a whole one.
func first(b []byte) int {
	end := len(b)
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		end = min(end, i+4)
	}
	return end
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
