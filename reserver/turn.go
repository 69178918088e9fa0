package reserver

import (
	"context"
	"slices"

	"github.com/jonboulle/clockwork"
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

// AwaitTurn is TryTurn for an answer that must be held whole: once the context has ended the bytes are
// held whether or not they fit.
func (s *Reservation) AwaitTurn(ctx context.Context, n int64, waits func()) {
	if !s.TryTurn(ctx, n, waits) {
		s.Force(n)
	}
}

// TryTurn reserves n more bytes for an answer. Above SmallBytes it waits for its turn until the
// context ends. It reports false if they don't fit then; the answer asks no more, and others may be
// the oldest. It calls waits before it waits, if that is not nil.
func (s *Reservation) TryTurn(ctx context.Context, n int64, waits func()) bool {
	if n <= SmallBytes {
		s.Force(n)
		return true
	}
	var check clockwork.Ticker
	for {
		ok, changed := s.GrowInTurn(n)
		if ok {
			return true
		}
		if waits != nil {
			waits()
		}
		if check == nil {
			check = s.reserver.clock.NewTicker(unreadTime / 4)
			defer check.Stop()
			s.reserver.endUnread(n)
		}
		select {
		case <-changed:
		case <-check.Chan():
			s.reserver.endUnread(n)
		case <-ctx.Done():
			s.leaveTurns()
			return false
		}
	}
}

// leaveTurns removes an answer that asks for no more memory from those that wait for their turn.
func (s *Reservation) leaveTurns() {
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	s.reserver.endTurn(s)
}

// endTurn removes an answer that asks no more, and has those that wait ask again. r.mu must be held.
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

// OnUnread is OnReclaim for an answer that is read, and is sent to its client from now on: it may be
// ended once its client has accepted less than 4 KiB for 3 s while other answers wait.
func (s *Reservation) OnUnread(f func()) {
	if s == nil {
		return
	}
	s.reserver.mu.Lock()
	defer s.reserver.mu.Unlock()
	s.reclaim, s.progressed, s.pending = f, s.reserver.clock.Now(), 0
}

// endUnread ends answers whose clients don't read them until n bytes for another answer are about to
// be free.
func (r *Reserver) endUnread(n int64) {
	r.mu.Lock()
	ended := r.endStalled(r.over(answerRoom, n), func(o *Reservation) bool { return o.kind == Answer })
	r.mu.Unlock()
	for _, reclaim := range ended {
		reclaim()
	}
}
