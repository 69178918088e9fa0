package pacer

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/messenger"
)

const (
	// kindReserve names the message between instances.
	kindReserve = "reserve"
	// askTimeout bounds the question for a place: some ten crossings between
	// zones, and a tenth of the tightest objective of a first event.
	askTimeout = 60 * time.Millisecond
	// lostTime is how long an instance that has not answered is not asked.
	lostTime = time.Second
	// stepTime is a step without streams and streamTime what each running stream
	// adds to it, in milliseconds. Each step makes one token of every stream. The
	// first is on the sites' sheets; from pauses there, a step with a full piece
	// of a prompt takes 105 ms with few streams and 135 with some forty.
	stepTime, streamTime = 6.8, 0.8
	// slowest is how much slower than the fastest models large ones run: weights
	// are from 65 to 73 GB.
	slowest = 1.1
	// aheadWindows is how many windows ahead a place may be booked. Until it is
	// sent, a request can still be given up; it can't be overtaken.
	aheadWindows = 0.5
	// booksKept bounds the books; beyond it idle ones are dropped.
	booksKept = 1024
)

// ask is the question for a place.
type ask struct {
	Server string `msgpack:"s"`
	Tokens int    `msgpack:"t"`
	// Running is how many streams the server is believed to run, Steps how many
	// steps it takes to make an event of each.
	Running int `msgpack:"n"`
	Steps   int `msgpack:"e"`
	// Window is in milliseconds.
	Window int64 `msgpack:"w"`
}

// Answer says when a prompt may be sent.
type Answer struct {
	// Wait is how long until then. If Booked is false, the prompt has no place
	// and Wait is the pause before it is worth asking again.
	Wait   time.Duration `msgpack:"w"`
	Booked bool          `msgpack:"b"`
}

// Pacer keeps the books of some servers, and asks other instances for theirs.
// It is safe for concurrent use.
type Pacer struct {
	self  string
	peers *messenger.Client
	clock clockwork.Clock
	log   *zap.Logger

	mu      sync.Mutex
	members []string
	books   map[string]*Book
	lost    map[string]time.Time
}

// New returns the pacer of the instance that others reach at an address.
// Members are the addresses of instances to begin with.
func New(self string, members []string, peers *messenger.Client, clock clockwork.Clock, log *zap.Logger) *Pacer {
	return &Pacer{self: self, members: members, peers: peers, clock: clock, log: log, books: map[string]*Book{}, lost: map[string]time.Time{}}
}

// Serve answers the questions of other instances.
func (p *Pacer) Serve(s *messenger.Server) { s.Handle(kindReserve, p.answer) }

// Update takes over the addresses of all instances.
func (p *Pacer) Update(members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// Reserve asks for a place for a prompt at a server's life. Gap is the longest pause between events of a stream that is on time.
// An error means that the keeper of the book has not answered.
func (p *Pacer) Reserve(ctx context.Context, life string, tokens int, gap time.Duration, pace balancer.Pace) (Answer, error) {
	q := ask{Server: life, Tokens: tokens, Running: pace.Running, Steps: pace.EventTokens, Window: gap.Milliseconds()}
	keeper := p.keeper(life)
	if keeper == p.self {
		return p.reserve(q), nil
	}
	var a Answer
	limit, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := p.peers.Call(limit, keeper, kindReserve, q, &a)
	if err != nil && ctx.Err() == nil {
		p.lose(keeper, err)
	}
	return a, eris.Wrap(err, "ask for a place")
}

// keeper returns the instance that keeps a server's book: the same one on all
// instances that know the same members, and few books move when they change.
func (p *Pacer) keeper(life string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	best, most := p.self, uint64(0)
	for _, m := range p.members {
		if until, ok := p.lost[m]; ok && now.Before(until) {
			continue
		}
		if w := xxhash.Sum64String(m + " " + life); w > most {
			best, most = m, w
		}
	}
	return best
}

// lose notes that an instance does not answer.
func (p *Pacer) lose(member string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if now.Before(p.lost[member]) {
		return
	}
	p.lost[member] = now.Add(lostTime)
	p.log.Info("pacer: instance does not answer", zap.String("member", member), zap.Duration("not_asked_for", lostTime), zap.Error(err))
}

func (p *Pacer) answer(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q ask
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode question")
	}
	return p.reserve(q), nil
}

func (p *Pacer) reserve(q ask) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	window := time.Duration(q.Window) * time.Millisecond
	b, ok := p.books[q.Server]
	if !ok {
		p.trim(now, window)
		b = &Book{}
		p.books[q.Server] = b
	}
	wait, booked := b.Reserve(now, q.Tokens, Rule{
		Window: window, Tokens: readable(window, q.Running, q.Steps),
		Ahead: time.Duration(aheadWindows * float64(window)),
	})
	return Answer{Wait: wait, Booked: booked}
}

// readable is how many prompt tokens an engine can read in the time of the
// longest pause, beside the steps that make an event of its running streams.
func readable(window time.Duration, running, steps int) int {
	own := float64(steps) * (stepTime + streamTime*float64(running))
	left := float64(window)/float64(time.Millisecond)/slowest - own
	return int(max(left, 0) * balancer.PrefillRate)
}

// trim drops idle books once there are many.
func (p *Pacer) trim(now time.Time, window time.Duration) {
	if len(p.books) < booksKept {
		return
	}
	for life, b := range p.books {
		if b.Idle(now, window) {
			delete(p.books, life)
		}
	}
}

// Keeps reports whether this instance keeps a server's book.
func (p *Pacer) Keeps(life string) bool { return p.keeper(life) == p.self }
