package pacer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/messenger"
	"primrosehook/reuser"
)

const (
	// kindReserve is the message kind of a reserveRequest.
	kindReserve = "reserve"
	// kindRelease is the message kind of a releaseRequest. It is sent only if a client leaves
	// while its request waits for its slot. A peer of a build that does not know it keeps the
	// reservation until its time.
	kindRelease = "release-slot"
	// reserveTimeout bounds a reservation call to a peer: some ten crossings
	// between availability zones, and a tenth of the tightest latency objective
	// of a first event.
	reserveTimeout = 60 * time.Millisecond
	// peerBackoff is how long a peer that did not reply is not called.
	peerBackoff = time.Second
	// baseStepMillis is the time of an engine step without streams and
	// streamStepMillis what each running stream adds to it. Each step makes one
	// token of every stream. baseStepMillis is from the sites' data sheets.
	// According to the pauses at the sites, a step with a full chunk of a prompt
	// takes 105 ms with few streams and 135 ms with some forty.
	baseStepMillis, streamStepMillis = 6.8, 0.8
	// slowestModelFactor is how much slower than the fastest models large ones
	// run: weights are from 65 to 73 GB.
	slowestModelFactor = 1.1
	// minBudget is the least number of prompt tokens in a window: a chunk of a prompt.
	minBudget = 256
	// maxWaitWindows is how many windows ahead a slot may be reserved. A waiting
	// request can still be cancelled before it is sent, but more urgent ones
	// can't pass it.
	maxWaitWindows = 0.5
	// maxSchedules bounds the number of schedules; beyond it idle ones are
	// dropped.
	maxSchedules = 1024
	// maxPromptTokens bounds what a prompt counts as: more than any server's cache holds. Clients
	// state the length of a prompt, and a longer one takes a reservation in each of several windows.
	maxPromptTokens = 1 << 20
)

// reserveRequest asks the owner of a server's schedule for a reservation for a
// prompt of so many tokens.
type reserveRequest struct {
	Incarnation string `msgpack:"s"`
	Tokens      int    `msgpack:"t"`
	// RunningStreams is the estimated number of streams that the server runs,
	// StepsPerEvent the number of engine steps that make an event of each.
	RunningStreams int `msgpack:"n"`
	StepsPerEvent  int `msgpack:"e"`
	// Window is in milliseconds.
	Window int64 `msgpack:"w"`
	// SpeedPercent is how fast the server is compared with the usual one, zero if that is not
	// known.
	SpeedPercent int `msgpack:"p,omitempty"`
	// ID is what the reservation may be released by, zero if it can't be.
	ID uint64 `msgpack:"i,omitempty"`
	// Prompt has the parts of the prompt, nil if they are not specified. FreeCache is how many tokens
	// of the server's cache running requests leave, zero if that is not known.
	Prompt    *reuser.Prompt `msgpack:"h,omitempty"`
	FreeCache int            `msgpack:"c,omitempty"`
}

// releaseRequest gives back a reservation.
type releaseRequest struct {
	Incarnation string `msgpack:"s"`
	ID          uint64 `msgpack:"i"`
}

// Reservation says when a prompt may be sent.
type Reservation struct {
	// Wait is the time until then. If Reserved is false, the prompt has no
	// reservation and Wait is the time after which to ask again.
	Wait     time.Duration `msgpack:"w"`
	Reserved bool          `msgpack:"b"`
	// StatedHeld is one more than the number of tokens of the prompt that the server holds, zero if
	// that is not known.
	StatedHeld int `msgpack:"h,omitempty"`
	// owner and id are what a reservation with a wait is released by.
	owner string
	id    uint64
}

// Held returns how many tokens of the prompt need no prefill, and false if the owner does not know.
func (r Reservation) Held() (tokens int, known bool) { return max(r.StatedHeld-1, 0), r.StatedHeld > 0 }

// Pacer owns the schedules of some servers, and asks peers for reservations in
// theirs. It is safe for concurrent use.
type Pacer struct {
	self  string
	peers *messenger.Client
	clock clockwork.Clock
	log   *zap.Logger

	mu           sync.Mutex
	members      []string
	schedules    map[string]*Schedule
	backoffUntil map[string]time.Time
	// holdings are by the incarnation of the server.
	holdings map[string]*holdings
}

// New returns the pacer of the instance that peers reach at the address self.
// members are the addresses of the instances known at first.
func New(self string, members []string, peers *messenger.Client, clock clockwork.Clock, log *zap.Logger) *Pacer {
	return &Pacer{self: self, members: members, peers: peers, clock: clock, log: log, schedules: map[string]*Schedule{}, holdings: map[string]*holdings{}, backoffUntil: map[string]time.Time{}}
}

// Serve registers the handler for the reservations of peers.
func (p *Pacer) Serve(s *messenger.Server) {
	s.Handle(kindReserve, p.handleReserve)
	s.Handle(kindRelease, p.handleRelease)
}

// Update replaces the addresses of the instances.
func (p *Pacer) Update(members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// Reserve asks for a reservation for a prompt at a server, given by its
// incarnation. gap is the longest inter-event gap of a stream that meets the
// objective. An error means that the owner of the schedule did not reply.
func (p *Pacer) Reserve(ctx context.Context, incarnation string, tokens int, gap time.Duration, load balancer.EngineLoad) (Reservation, error) {
	q := reserveRequest{Incarnation: incarnation, Tokens: tokens, RunningStreams: load.RunningStreams, StepsPerEvent: load.EventTokens, Window: gap.Milliseconds(), SpeedPercent: int(math.Round(100 * load.Speed)), Prompt: load.Prompt, FreeCache: load.FreeCache, ID: rand.Uint64()}
	owner := p.owner(incarnation)
	if owner == p.self {
		return p.reserve(q).withHandle(owner, q.ID), nil
	}
	var r Reservation
	callCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	err := p.peers.Call(callCtx, owner, kindReserve, q, &r)
	switch {
	case err == nil:
		return r.withHandle(owner, q.ID), nil
	case ctx.Err() != nil:
		// The owner may have reserved a slot all the same.
		go p.runRelease(owner, releaseRequest{incarnation, q.ID})
	default:
		p.backOff(owner, err)
	}
	return r, eris.Wrap(err, "reserve a slot")
}

// withHandle returns a reservation with what it is released by, if its time is still to come.
func (r Reservation) withHandle(owner string, id uint64) Reservation {
	if r.Reserved && r.Wait > 0 {
		r.owner, r.id = owner, id
	}
	return r
}

// Release gives back a reservation at a server whose time is still to come. It does not wait for
// the owner of the schedule.
func (p *Pacer) Release(incarnation string, r Reservation) {
	if r.id == 0 {
		return
	}
	q := releaseRequest{incarnation, r.id}
	if r.owner == p.self {
		p.release(q)
		return
	}
	go p.runRelease(r.owner, q)
}

// runRelease tells a peer that a reservation is given back. If that fails the slot stays reserved
// until its time, which is at most half a window ahead.
func (p *Pacer) runRelease(owner string, q releaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	if err := p.peers.Call(ctx, owner, kindRelease, q, nil); err != nil {
		p.log.Debug("pacer: reservation was not released", zap.String("member", owner), zap.Error(err))
	}
}

func (p *Pacer) handleRelease(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q releaseRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode release of a reservation")
	}
	p.release(q)
	return nil, nil
}

func (p *Pacer) release(q releaseRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.schedules[q.Incarnation]; ok {
		s.Release(p.clock.Now(), q.ID)
	}
}

// owner returns the instance that owns a server's schedule. Instances that know
// the same members agree on it, and few schedules change owner when the members
// change.
func (p *Pacer) owner(incarnation string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	best, bestWeight := p.self, uint64(0)
	for _, m := range p.members {
		if until, ok := p.backoffUntil[m]; ok && now.Before(until) {
			continue
		}
		if w := xxhash.Sum64String(m + " " + incarnation); w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// backOff records that a peer did not reply, so that it is not called for
// peerBackoff.
func (p *Pacer) backOff(member string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.backoffUntil[member]) {
		return
	}
	p.backoffUntil[member] = now.Add(peerBackoff)
	p.log.Info("pacer: instance does not answer", zap.String("member", member), zap.Duration("not_asked_for", peerBackoff), zap.Error(err))
}

func (p *Pacer) handleReserve(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q reserveRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode reservation request")
	}
	return p.reserve(q), nil
}

func (p *Pacer) reserve(q reserveRequest) Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	window := time.Duration(q.Window) * time.Millisecond
	s, ok := p.schedules[q.Incarnation]
	if !ok {
		p.dropIdle(now, window)
		s = &Schedule{}
		p.schedules[q.Incarnation] = s
	}
	tokens, stated := p.prefillTokens(now, q)
	wait, reserved := s.Reserve(now, q.ID, min(tokens, maxPromptTokens), Limits{
		Window: window, Tokens: prefillBudget(window, q.RunningStreams, q.StepsPerEvent, q.SpeedPercent),
		MaxWait: time.Duration(maxWaitWindows * float64(window)),
	})
	if reserved {
		p.recordPrompt(now, q)
	}
	return Reservation{Wait: wait, Reserved: reserved, StatedHeld: stated}
}

// prefillBudget returns how many prompt tokens an engine can prefill within the
// longest inter-event gap, besides the steps that make an event of its running
// streams. It is at least minBudget: a server without time for prompts gets them slowly.
func prefillBudget(window time.Duration, running, steps, speedPercent int) int {
	speed := 1.0
	if speedPercent > 0 {
		speed = float64(speedPercent) / 100
	}
	stepMillis := float64(steps) * (baseStepMillis + streamStepMillis*float64(running)) / speed
	remaining := float64(window)/float64(time.Millisecond)/slowestModelFactor - stepMillis
	return max(int(remaining*balancer.PrefillRate*speed), minBudget)
}

// dropIdle drops idle schedules if there are maxSchedules or more.
func (p *Pacer) dropIdle(now time.Time, window time.Duration) {
	if len(p.schedules) < maxSchedules {
		return
	}
	for incarnation, s := range p.schedules {
		if s.Idle(now, window) {
			delete(p.schedules, incarnation)
		}
	}
}

// Owns reports whether this instance owns a server's schedule.
func (p *Pacer) Owns(incarnation string) bool { return p.owner(incarnation) == p.self }
