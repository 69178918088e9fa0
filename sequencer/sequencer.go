// Package sequencer has requests that may crash their servers sent one after the other.
//
// A request that was cut off by the crash of a server may be what crashed it. Sent again by
// several instances at once, it would crash as many servers before any of them knows. So an
// instance takes the turn of such a request before it sends it, from one instance, the owner,
// which is chosen by rendezvous. While the owner does not reply, the next one in that order is
// asked. An instance that reaches none of them keeps its own turns.
package sequencer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/messenger"
	"primrosehook/ranker"
)

const (
	// kindTake and kindEnd are the kinds of the messages with a TakeRequest and an
	// EndRequest.
	kindTake = "take-turn"
	kindEnd  = "end-turn"
	// askTimeout bounds a call to an owner, some ten crossings between availability zones;
	// endTimeout bounds the report of an end.
	askTimeout = 90 * time.Millisecond
	endTimeout = 250 * time.Millisecond
	// ownerBackoff is how long an owner that did not reply is not asked, maxOwners how many
	// are asked for one turn.
	ownerBackoff = time.Second
	maxOwners    = 3
)

// TakeRequest asks the owner of a key for its turn.
type TakeRequest struct {
	Key uint64 `msgpack:"k"`
}

// TakeReply answers a TakeRequest. If the turn is not Taken, Wait is when to ask again.
type TakeReply struct {
	Taken bool          `msgpack:"t"`
	Wait  time.Duration `msgpack:"w"`
}

// EndRequest reports the end of a turn. Broken means that the connection broke under the
// request, or that its server fell silent.
type EndRequest struct {
	Key    uint64 `msgpack:"k"`
	Broken bool   `msgpack:"b"`
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Sequencer gives out the turns of the keys that it owns, and asks peers for those of others.
// It is safe for concurrent use.
type Sequencer struct {
	self  string
	peers Peers
	clock clockwork.Clock
	log   *zap.Logger
	ranks *ranker.Ranker

	mu    sync.Mutex
	turns *Turns
}

// New returns the sequencer of the instance that peers reach at the address self. members are
// the addresses of the instances known at first.
func New(self string, members []string, peers Peers, clock clockwork.Clock, log *zap.Logger) *Sequencer {
	return &Sequencer{self: self, peers: peers, clock: clock, log: log, ranks: ranker.New(self, members, clock, ownerBackoff), turns: NewTurns()}
}

// Serve registers the handlers for the messages of peers.
func (s *Sequencer) Serve(m *messenger.Server) {
	m.Handle(kindTake, s.handleTake)
	m.Handle(kindEnd, s.handleEnd)
}

// Update replaces the addresses of the instances.
func (s *Sequencer) Update(members []string) { s.ranks.Update(members) }

// Acquire takes the turn of a key. If that can't be had, it returns when to ask again. End
// must be called on a turn.
func (s *Sequencer) Acquire(ctx context.Context, key uint64) (turn *Turn, wait time.Duration, ok bool) {
	for tries := 0; tries < maxOwners; {
		owner := s.ranks.Owners(strconv.FormatUint(key, 16), 1)[0]
		if owner == s.self {
			break
		}
		var r TakeReply
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		err := s.peers.Call(callCtx, owner, kindTake, TakeRequest{Key: key}, &r)
		cancel()
		switch {
		case err == nil:
			return s.newTurn(owner, key, r)
		case ctx.Err() != nil:
			return nil, 0, false
		case messenger.IsUnknownKind(err):
			s.ranks.LeaveOut(owner)
			continue
		}
		tries++
		s.ranks.BackOff(owner)
		s.log.Info("sequence: instance does not answer", zap.String("member", owner), zap.Duration("not_asked_for", ownerBackoff), zap.Error(err))
	}
	return s.newTurn(s.self, key, s.Take(TakeRequest{Key: key}))
}

// newTurn returns the turn that an owner has given, if it has.
func (s *Sequencer) newTurn(owner string, key uint64, r TakeReply) (turn *Turn, wait time.Duration, ok bool) {
	if !r.Taken {
		return nil, r.Wait, false
	}
	return &Turn{sequencer: s, owner: owner, key: key}, 0, true
}

// Take answers the request of an instance.
func (s *Sequencer) Take(q TakeRequest) TakeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	var r TakeReply
	r.Wait, r.Taken = s.turns.Take(s.clock.Now(), q.Key)
	return r
}

// End records the end of a turn of an instance.
func (s *Sequencer) End(q EndRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.End(s.clock.Now(), q.Key, q.Broken)
}

func (s *Sequencer) handleTake(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q TakeRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode request for a turn")
	}
	return s.Take(q), nil
}

func (s *Sequencer) handleEnd(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q EndRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode end of a turn")
	}
	s.End(q)
	return true, nil
}

// Turn is the turn of one request. A nil turn needs no End.
type Turn struct {
	sequencer *Sequencer
	owner     string
	key       uint64
	once      sync.Once
}

// End ends the turn. broken means that the connection broke under the request, or that its
// server fell silent. Further calls have no effect.
func (t *Turn) End(broken bool) {
	if t == nil {
		return
	}
	t.once.Do(func() {
		q := EndRequest{Key: t.key, Broken: broken}
		if t.owner == t.sequencer.self {
			t.sequencer.End(q)
			return
		}
		go t.runReport(q)
	})
}

// runReport reports the end to the owner. If that fails, the turn lasts for turnTimeout.
func (t *Turn) runReport(q EndRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := t.sequencer.peers.Call(ctx, t.owner, kindEnd, q, nil); err != nil {
		t.sequencer.log.Info("sequence: end of a turn is not reported", zap.String("member", t.owner), zap.Error(err))
	}
}
