package replayer

import "github.com/vmihailenco/msgpack/v5"

// KindReset marks the entry that resets a stream's state.
const KindReset = "reset"

// Reset is the body of a reset entry. It is for a stream whose last snapshot
// was dropped by retention, because no instance ran for longer than the
// retention time: no replica can become complete any more. Every replica,
// complete or not, then restores the empty state and replays the records from
// From on.
//
// A reset takes effect only if its own record is at Read, that is, if nothing
// was appended since its writer read the stream to its end. So any concurrent
// writer to the stream prevents the reset. If each reader started from the empty
// state by itself instead, two readers would disagree as soon as retention
// dropped records between their starts.
type Reset struct {
	Read int64 `msgpack:"r"`
	From int64 `msgpack:"f"`
}

// Resetter is a Machine that is notified of a reset, since the state that it has
// lost may still matter. It is notified after its empty state was restored and
// before the records from Reset.From on are applied again.
type Resetter interface {
	// Reset takes the position of the reset. The entries before it were decided
	// by a state that is lost.
	Reset(at Position)
}

// StartAt makes a new replica begin at an offset other than 0. It is not
// complete until it reads a snapshot: the start of a long stream need not be
// read if there is a snapshot near its end.
func (r *Replica[R]) StartAt(offset int64) {
	r.next = offset
	r.complete = offset == 0
	r.buffered = nil
	r.partials = collector{}
}

// FirstOffset returns the oldest offset that the log had at the newest read.
func (r *Replica[R]) FirstOffset() int64 { return r.firstOffset }

// followReset resets the state if the group contains a valid reset that has not
// been executed yet, and reports whether it did. NextOffset is then the reset's From.
func (r *Replica[R]) followReset(offset int64, group []Entry) bool {
	if offset <= r.resetAt {
		return false
	}
	for i, e := range group {
		if e.Kind != KindReset {
			continue
		}
		var body Reset
		if msgpack.Unmarshal(e.Body, &body) != nil || body.Read != offset || body.From > offset {
			continue
		}
		if r.machine.Restore(r.emptyState) != nil {
			continue
		}
		if m, ok := r.machine.(Resetter); ok {
			m.Reset(At(offset, i))
		}
		r.resetAt = offset
		r.StartAt(body.From)
		r.complete = true
		return true
	}
	return false
}
