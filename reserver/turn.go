package reserver

import (
	"context"
	"slices"
)

// GrowInTurn reserves n more bytes for an answer, which must not be refused. If they don't fit and
// an older answer has asked before, nothing changes, and the channel is closed at the next change.
// The oldest always gets what it asks for, so that answers that each hold a part don't wait for
// each other, and what is held beyond the room is at most that of one answer.
func (s *Reservation) GrowInTurn(n int64) (ok bool, changed <-chan struct{}) {
	if s == nil {
		return true, nil
	}
	r := s.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.released {
		return true, nil
	}
	if !slices.Contains(r.turns, s) {
		r.turns = append(r.turns, s)
	}
	if r.turns[0] == s || r.over(s.room, n) <= 0 {
		s.add(n)
		return true, nil
	}
	r.waits++
	return false, r.changed
}

// AwaitTurn reserves n more bytes for an answer. Above SmallBytes it waits for its turn until the
// context ends. The bytes are held whether or not they fit then. It calls waits before it waits, if
// that is not nil.
func (s *Reservation) AwaitTurn(ctx context.Context, n int64, waits func()) {
	if n <= SmallBytes {
		s.Force(n)
		return
	}
	for {
		ok, changed := s.GrowInTurn(n)
		if ok {
			return
		}
		if waits != nil {
			waits()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			s.Force(n)
			return
		}
	}
}

// endTurn removes an answer that is released, and has those that wait ask again. r.mu must be held.
func (r *Reserver) endTurn(s *Reservation) {
	if i := slices.Index(r.turns, s); i >= 0 {
		r.turns = slices.Delete(r.turns, i, i+1)
	}
	r.announceChange()
}

// announceChange has answers that wait ask again. r.mu must be held.
func (r *Reserver) announceChange() {
	if r.waits > 0 {
		close(r.changed)
		r.changed, r.waits = make(chan struct{}), 0
	}
}
