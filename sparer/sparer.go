// Package sparer spares brittle servers, which fall over when they have to refuse too many
// requests in a second for want of room.
//
// What one instance alone sends is harmless, the sum is not. So while the servers of a service
// say that they are brittle, one instance, the owner, lets the requests to a server through,
// and hears of their ends and refusals; the others ask it before each one. The owner is chosen
// by rendezvous. While it does not reply, the next one in that order is asked; two owners
// together stay within what a server bears. An instance that reaches no other uses a gate of
// its own, for its share of the refusals.
package sparer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/judge"
	"primrosehook/messenger"
	"primrosehook/ranker"
)

const (
	// kindAdmit and kindEnded are the kinds of the messages with an AdmitRequest and an
	// EndedRequest.
	kindAdmit = "admit"
	kindEnded = "ended"
	// holdTime is how long an owner holds a request back at a gate whose limit is reached.
	// askTimeout bounds a call to an owner: that and some ten crossings between availability
	// zones. endedTimeout bounds the report of an end.
	holdTime     = 30 * time.Millisecond
	askTimeout   = 90 * time.Millisecond
	endedTimeout = 250 * time.Millisecond
	// ownerBackoff is how long an owner that did not reply is not asked, maxOwners how many are
	// asked for one request.
	ownerBackoff = time.Second
	maxOwners    = 2
	// contactTTL is how long an instance counts as in contact with others after a message.
	contactTTL = 2 * time.Second
	// maxGates bounds the gates; beyond it idle ones are dropped.
	maxGates = 1024
	// statementTTL is how long servers count as brittle without an answer of theirs.
	statementTTL = time.Minute
)

// AdmitRequest asks the owner of a server's gate to let one request through. Bears is how many
// refusals the server bears in a second. ID is drawn anew for each call, zero if it is not
// specified.
type AdmitRequest struct {
	Incarnation string `msgpack:"s"`
	Bears       int    `msgpack:"b"`
	ID          uint64 `msgpack:"i,omitempty"`
}

// AdmitReply answers an AdmitRequest. Without Admitted, Wait is the time until the request may
// be admitted.
type AdmitReply struct {
	Admitted bool          `msgpack:"a"`
	Wait     time.Duration `msgpack:"w"`
}

// EndedRequest reports the end of an admitted request, or that the server refused it. ID is that
// of its AdmitRequest: without an answer to that, the request may not have been admitted.
type EndedRequest struct {
	Incarnation string `msgpack:"s"`
	Bears       int    `msgpack:"b"`
	Refused     bool   `msgpack:"r"`
	ID          uint64 `msgpack:"i,omitempty"`
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Sparer admits requests to the brittle servers whose gates it owns, and asks peers for those
// to others. It is safe for concurrent use.
type Sparer struct {
	self  string
	peers Peers
	clock clockwork.Clock
	log   *zap.Logger
	ranks *ranker.Ranker
	// anyBrittle is set while the servers of a service are brittle, so that other requests take
	// no lock.
	anyBrittle atomic.Bool

	mu sync.Mutex
	// contactAt is when another instance last replied to this one, or asked it.
	contactAt time.Time
	brittle   map[string]statement
	gates     map[string]*gate
}

// gate is a gate at which requests are held back. ended has a value after the end of one that
// was let through.
type gate struct {
	Admissions
	ended chan struct{}
}

// statement is how many refusals a second the servers of a service say that they bear.
type statement struct {
	bears int
	at    time.Time
}

// New returns the sparer of the instance that peers reach at the address self. members are the
// addresses of the instances known at first.
func New(self string, members []string, peers Peers, clock clockwork.Clock, log *zap.Logger) *Sparer {
	return &Sparer{
		self: self, peers: peers, clock: clock, log: log, ranks: ranker.New(self, members, clock, ownerBackoff),
		brittle: map[string]statement{}, gates: map[string]*gate{},
	}
}

// Serve registers the handlers for the messages of peers.
func (s *Sparer) Serve(m *messenger.Server) {
	m.Handle(kindAdmit, s.handleAdmit)
	m.Handle(kindEnded, s.handleEnded)
}

// Update replaces the addresses of the instances.
func (s *Sparer) Update(members []string) { s.ranks.Update(members) }

// Observe records what an answer of a server says: that those of its service are brittle, and
// how many refusals each bears in a second, or that they are not.
func (s *Sparer) Observe(service string, bears int, brittle bool) {
	if !brittle && !s.anyBrittle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.brittle[service]
	if !brittle {
		if known {
			delete(s.brittle, service)
			s.anyBrittle.Store(len(s.brittle) > 0)
			s.log.Info("spare: servers are not brittle any more", zap.String("service", service))
		}
		return
	}
	if !known || old.bears != bears {
		s.log.Info("spare: servers are brittle", zap.String("service", service), zap.Int("bears", bears))
	}
	s.brittle[service] = statement{bears: bears, at: s.clock.Now()}
	s.anyBrittle.Store(true)
}

// Brittle reports whether the servers of a service are brittle.
func (s *Sparer) Brittle(service string) bool {
	_, brittle := s.bears(service)
	return brittle
}

// bears returns how many refusals a second each server of a service bears, and whether it is
// brittle.
func (s *Sparer) bears(service string) (int, bool) {
	if !s.anyBrittle.Load() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.brittle[service]
	if ok && s.clock.Since(x.at) > statementTTL {
		delete(s.brittle, service)
		s.anyBrittle.Store(len(s.brittle) > 0)
		return 0, false
	}
	return x.bears, ok
}

// Admit reports whether a request may be sent to a server now. If not, it returns the time
// until one may be. End must be called on the pass once, which may be nil.
func (s *Sparer) Admit(ctx context.Context, service, incarnation string) (pass *Pass, wait time.Duration, ok bool) {
	bears, brittle := s.bears(service)
	if !brittle {
		return nil, 0, true
	}
	q := AdmitRequest{Incarnation: incarnation, Bears: bears}
	for tries := 0; tries < maxOwners; {
		owner := s.ranks.Owners(incarnation, 1)[0]
		if owner == s.self && s.inContact() {
			return s.admitHere(ctx, q)
		}
		if owner == s.self {
			break
		}
		q.ID = newID()
		var r AdmitReply
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		err := s.peers.Call(callCtx, owner, kindAdmit, q, &r)
		cancel()
		if err == nil {
			s.recordContact()
			return s.newPass(owner, q), r.Wait, r.Admitted
		}
		if messenger.IsUnknownKind(err) {
			s.ranks.LeaveOut(owner)
			continue
		}
		tries++
		if judge.Of(err) != judge.NotRun {
			// The owner may have admitted the request.
			s.newPass(owner, q).End(false)
		}
		if ctx.Err() != nil {
			return nil, 0, false
		}
		s.backOff(owner, err)
	}
	q.Bears = s.ownShare(bears)
	return s.admitHere(ctx, q)
}

// admitHere decides with this instance's own gate.
func (s *Sparer) admitHere(ctx context.Context, q AdmitRequest) (pass *Pass, wait time.Duration, ok bool) {
	q.ID = newID()
	r := s.Decide(ctx, q)
	return s.newPass(s.self, q), r.Wait, r.Admitted
}

// newID returns a random ID other than zero.
func newID() uint64 { return max(rand.Uint64(), 1) }

// recordContact records that another instance has replied, or asked this one.
func (s *Sparer) recordContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contactAt = s.clock.Now()
}

// inContact reports whether this instance has other ones, if there are any, that replied or
// asked it of late. Otherwise they may not see it either, and have other owners.
func (s *Sparer) inContact() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranks.Len() <= 1 || s.clock.Since(s.contactAt) < contactTTL
}

// ownShare returns this instance's share of the refusals that a server bears.
func (s *Sparer) ownShare(bears int) int { return bears / max(s.ranks.Len(), 1) }

// backOff records that an owner did not reply, so that it is not asked for a time.
func (s *Sparer) backOff(owner string, err error) {
	s.ranks.BackOff(owner)
	s.log.Info("spare: instance does not answer", zap.String("member", owner), zap.Duration("not_asked_for", ownerBackoff), zap.Error(err))
}

// Decide answers the request of an instance. While the limit of the gate is reached, it waits
// up to holdTime for the end of another request.
func (s *Sparer) Decide(ctx context.Context, q AdmitRequest) AdmitReply {
	g, r, full := s.take(q)
	if !full {
		return r
	}
	until := s.clock.Now().Add(holdTime)
	for !r.Admitted && r.Wait <= settleTime && s.clock.Now().Before(until) {
		select {
		case <-g.ended:
		case <-s.clock.After(r.Wait):
		case <-ctx.Done():
			return r
		}
		g, r, _ = s.take(q)
	}
	return r
}

// take asks a gate to let a request through, and reports whether its limit is reached.
func (s *Sparer) take(q AdmitRequest) (g *gate, r AdmitReply, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g = s.gate(q.Incarnation)
	now := s.clock.Now()
	r.Wait, r.Admitted = g.Admit(now, q.ID, q.Bears)
	return g, r, !r.Admitted && g.Full(now)
}

// Record records the end of a request of an instance.
func (s *Sparer) Record(q EndedRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gate(q.Incarnation)
	if !g.Record(s.clock.Now(), q.ID, q.Bears, q.Refused) || q.Refused {
		return
	}
	select {
	case g.ended <- struct{}{}:
	default:
	}
}

// gate returns the gate of a server. s.mu must be held.
func (s *Sparer) gate(incarnation string) *gate {
	g, ok := s.gates[incarnation]
	if ok {
		return g
	}
	if len(s.gates) >= maxGates {
		now := s.clock.Now()
		for i, g := range s.gates {
			if g.Idle(now) {
				delete(s.gates, i)
			}
		}
	}
	g = &gate{ended: make(chan struct{}, 1)}
	s.gates[incarnation] = g
	return g
}

func (s *Sparer) handleAdmit(ctx context.Context, body msgpack.RawMessage) (any, error) {
	var q AdmitRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode request to admit")
	}
	s.recordContact()
	return s.Decide(ctx, q), nil
}

func (s *Sparer) handleEnded(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q EndedRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode end of a request")
	}
	s.Record(q)
	return true, nil
}

// Pass is the admission of one request. A nil pass needs no End.
type Pass struct {
	sparer *Sparer
	owner  string
	report EndedRequest
	once   sync.Once
}

func (s *Sparer) newPass(owner string, q AdmitRequest) *Pass {
	return &Pass{sparer: s, owner: owner, report: EndedRequest{Incarnation: q.Incarnation, Bears: q.Bears, ID: q.ID}}
}

// End reports the end of the request, or that the server refused it for want of room. Further
// calls have no effect.
func (p *Pass) End(refused bool) {
	if p == nil {
		return
	}
	p.once.Do(func() {
		p.report.Refused = refused
		if p.owner == p.sparer.self {
			p.sparer.Record(p.report)
			return
		}
		go p.runReport()
	})
}

// runReport reports the end to the owner. If that fails, the request counts as in flight there
// for a time.
func (p *Pass) runReport() {
	ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
	defer cancel()
	if err := p.sparer.peers.Call(ctx, p.owner, kindEnded, p.report, nil); err != nil {
		p.sparer.log.Info("spare: end of a request is not reported", zap.String("member", p.owner), zap.Error(err))
	}
}
