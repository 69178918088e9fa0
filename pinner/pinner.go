// Package pinner remembers which build of a service began each stream, so that the
// stream goes on at no other build, whichever instance its client comes back to.
//
// An instance that begins a stream pins it: it keeps the origin itself and sends it to a
// few peers, which are always the same ones, so that the pins of some milliseconds go in
// one message. An instance to which a client comes back asks all peers, since it does not
// know which one began the stream. Streams begin all the time, while few are taken up
// again: what a stream costs is a share of a message, what taking one up costs is a short
// message to each instance.
package pinner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/messenger"
)

const (
	// kindPin and kindFind are the kinds of the messages with a PinRequest and a
	// FindRequest.
	kindPin  = "pin"
	kindFind = "find-pin"
	// maxCopies is how many peers get the pins of an instance. All of them and the instance
	// itself have to be lost for a stream to be refused. In a fleet of more than
	// manyInstances it is one less: its zones are many, or large.
	maxCopies     = 3
	manyInstances = 100
	// minSendDelay, or sendDelayPerInstance times the number of instances if that is longer,
	// is how long pins are collected before they are sent.
	minSendDelay         = 10 * time.Millisecond
	sendDelayPerInstance = 250 * time.Microsecond
	// sendTimeout bounds the sending of pins to a peer, findTimeout the search for one:
	// some ten crossings between availability zones.
	sendTimeout = 250 * time.Millisecond
	findTimeout = 100 * time.Millisecond
	// peerBackoff is how long a peer that did not reply gets no pins.
	peerBackoff = time.Second
	// maxBatch bounds the pins of one message, maxSoftware the software that is known at a
	// time.
	maxBatch    = 4096
	maxSoftware = 1024
)

// PinRequest sends pins to a peer.
type PinRequest struct {
	Software []Software `msgpack:"o"`
	Pins     []Pin      `msgpack:"p"`
}

// FindRequest asks for the origin of a stream, by the hash of the ID of the request that
// began it.
type FindRequest struct {
	ID uint64 `msgpack:"i"`
}

// FindReply answers a FindRequest. Known is set if the instance has a pin of the stream,
// Sure if the pin names one origin.
type FindReply struct {
	Known  bool   `msgpack:"k"`
	Sure   bool   `msgpack:"s"`
	Origin Origin `msgpack:"o"`
	// Age is the time since the instance got the pin.
	Age time.Duration `msgpack:"a"`
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Pinner pins streams and finds the pins of peers. It is safe for concurrent use.
type Pinner struct {
	self  string
	peers Peers
	clock clockwork.Clock
	log   *zap.Logger
	// pending receives a value when there are pins to send.
	pending chan struct{}

	mu      sync.Mutex
	members []string
	table   *Table
	// software has the one copy of each software that all pins refer to.
	software map[Software]*Software
	unsent   *batch
	// backoffUntil is until when a peer gets no pins.
	backoffUntil map[string]time.Time
}

// New returns the pinner of the instance that peers reach at the address self. members
// are the addresses of the instances known at first.
func New(self string, members []string, peers Peers, clock clockwork.Clock, log *zap.Logger) *Pinner {
	return &Pinner{
		self: self, members: members, peers: peers, clock: clock, log: log, pending: make(chan struct{}, 1),
		table: NewTable(), software: map[Software]*Software{}, unsent: newBatch(), backoffUntil: map[string]time.Time{},
	}
}

// Serve registers the handlers for the messages of peers.
func (p *Pinner) Serve(s *messenger.Server) {
	s.Handle(kindPin, p.handlePin)
	s.Handle(kindFind, p.handleFind)
}

// Update replaces the addresses of the instances.
func (p *Pinner) Update(members []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = slices.Clone(members)
}

// Run sends pins to peers until the context ends.
func (p *Pinner) Run(ctx context.Context) { p.run(ctx) }

func (p *Pinner) run(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.pending:
		}
		select {
		case <-ctx.Done():
			return
		case <-p.clock.After(p.sendDelay()):
		}
		if q, ok := p.takeUnsent(); ok {
			sends.Go(func() { p.replicate(ctx, q) })
		}
	}
}

// Pin records which build of a service began the stream of a request.
func (p *Pinner) Pin(id string, o Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := xxhash.Sum64String(id)
	if !p.table.Put(p.clock.Now(), hash, p.intern(o.Software), o.Process) {
		return
	}
	p.unsent.add(hash, o.Software, o.Process)
	select {
	case p.pending <- struct{}{}:
	default:
	}
}

// Find returns what began the stream of a request, and a time at which it had begun. It
// reports false if no instance that replies knows it, or if they know different builds.
func (p *Pinner) Find(ctx context.Context, id string) (o Origin, begun time.Time, ok bool) {
	hash := xxhash.Sum64String(id)
	p.mu.Lock()
	o, begun, known, sure := p.table.Get(p.clock.Now(), hash)
	peers := p.others()
	p.mu.Unlock()
	if known {
		return o, begun, sure
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	replies := make(chan FindReply, len(peers))
	for _, address := range peers {
		go p.runFind(ctx, address, FindRequest{ID: hash}, replies)
	}
	for range peers {
		if r := <-replies; r.Known {
			return r.Origin, p.clock.Now().Add(-r.Age), r.Sure
		}
	}
	return Origin{}, time.Time{}, false
}

// HandOver sends all pins to peers, before this instance ends.
func (p *Pinner) HandOver(ctx context.Context) {
	p.mu.Lock()
	software, pins := p.table.All(p.clock.Now())
	p.mu.Unlock()
	for list := range slices.Chunk(pins, maxBatch) {
		p.replicate(ctx, PinRequest{Software: software, Pins: list})
	}
}

// intern returns the one copy of a software. p.mu must be held.
func (p *Pinner) intern(s Software) *Software {
	if known, ok := p.software[s]; ok {
		return known
	}
	if len(p.software) >= maxSoftware {
		clear(p.software)
	}
	p.software[s] = &s
	return &s
}

// sendDelay returns how long pins are collected before they are sent.
func (p *Pinner) sendDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minSendDelay, time.Duration(len(p.members))*sendDelayPerInstance)
}

// takeUnsent returns the pins to send, and false if there are none.
func (p *Pinner) takeUnsent() (PinRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.unsent
	p.unsent = newBatch()
	if len(b.pins) > maxBatch {
		for _, x := range b.pins[maxBatch:] {
			p.unsent.add(x.ID, b.software[x.Software], x.Process)
		}
		b.pins = b.pins[:maxBatch]
		select {
		case p.pending <- struct{}{}:
		default:
		}
	}
	return PinRequest{Software: b.software, Pins: b.pins}, len(b.pins) > 0
}

// replicate sends pins to the first peers that take them.
func (p *Pinner) replicate(ctx context.Context, q PinRequest) {
	p.mu.Lock()
	ranked := p.rankedPeers()
	p.mu.Unlock()
	copies := maxCopies
	if len(ranked) >= manyInstances {
		copies--
	}
	var next atomic.Int64
	var sends sync.WaitGroup
	for range min(copies, len(ranked)) {
		sends.Go(func() { p.runCopy(ctx, ranked, &next, q) })
	}
	sends.Wait()
}

// runCopy sends pins to peers, from the next one that gets none yet, until one takes them.
func (p *Pinner) runCopy(ctx context.Context, ranked []string, next *atomic.Int64, q PinRequest) {
	for {
		i := int(next.Add(1)) - 1
		if i >= len(ranked) || ctx.Err() != nil || p.send(ctx, ranked[i], q) {
			return
		}
	}
}

// send sends pins to a peer and reports whether it took them.
func (p *Pinner) send(ctx context.Context, address string, q PinRequest) bool {
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := p.peers.Call(callCtx, address, kindPin, q, nil)
	if err == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.clock.Now(); ctx.Err() == nil && !now.Before(p.backoffUntil[address]) {
		p.backoffUntil[address] = now.Add(peerBackoff)
		p.log.Info("pinner: instance does not take pins", zap.String("member", address), zap.Duration("not_sent_for", peerBackoff), zap.Error(err))
	}
	return false
}

// others returns the addresses of the other instances. p.mu must be held.
func (p *Pinner) others() []string {
	return slices.DeleteFunc(slices.Clone(p.members), func(m string) bool { return m == p.self })
}

// rankedPeers returns the other instances in the order in which they get this instance's
// pins, those that did not reply of late last. p.mu must be held.
func (p *Pinner) rankedPeers() []string {
	list := p.others()
	now := p.clock.Now()
	slices.SortFunc(list, func(a, b string) int {
		if x, y := now.Before(p.backoffUntil[a]), now.Before(p.backoffUntil[b]); x != y {
			if x {
				return 1
			}
			return -1
		}
		x, y := xxhash.Sum64String(p.self+" "+a), xxhash.Sum64String(p.self+" "+b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return list
}

// runFind asks a peer for an origin. It always sends one reply.
func (p *Pinner) runFind(ctx context.Context, address string, q FindRequest, replies chan<- FindReply) {
	var r FindReply
	if err := p.peers.Call(ctx, address, kindFind, q, &r); err != nil {
		r = FindReply{}
		if ctx.Err() == nil {
			p.log.Info("pinner: instance does not answer", zap.String("member", address), zap.Error(err))
		}
	}
	replies <- r
}

func (p *Pinner) handlePin(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q PinRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode pins")
	}
	p.Merge(q)
	return true, nil
}

// Merge records the pins of a peer.
func (p *Pinner) Merge(q PinRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, x := range q.Pins {
		if x.Software >= 0 && x.Software < len(q.Software) {
			p.table.Put(now, x.ID, p.intern(q.Software[x.Software]), x.Process)
		}
	}
}

func (p *Pinner) handleFind(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q FindRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode the search of a pin")
	}
	return p.Lookup(q), nil
}

// Lookup answers the search of a peer.
func (p *Pinner) Lookup(q FindRequest) FindReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	o, at, known, sure := p.table.Get(now, q.ID)
	if !sure {
		return FindReply{Known: known}
	}
	return FindReply{Known: true, Sure: true, Origin: o, Age: now.Sub(at)}
}
