// Package throttler keeps the rate limits that servers name, for all instances
// together.
//
// One instance, the owner, grants the requests to a server that names a limit; the
// others ask it before each one. The owner is chosen by rendezvous, so instances
// that know the same members agree on it. Without an answer of the owner an
// instance uses its share of a small reserve, which the owner does not grant. So
// the sum stays within the limit whichever instances see each other, as long as
// they agree on the members; while they do not, two owners may grant at the same
// time. A new owner starts with an empty bucket.
package throttler

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/clocker"
	"primrosehook/messenger"
)

const (
	// kindAcquire is the kind of the message that carries an AcquireRequest.
	kindAcquire = "acquire"
	// acquireTimeout bounds a call to the owner: some ten crossings between
	// availability zones.
	acquireTimeout = 60 * time.Millisecond
	// ownerBackoff is how long an owner that did not reply is not asked.
	ownerBackoff = 500 * time.Millisecond
	// reserveShare is the part of a limit that the owner leaves to instances that
	// can't reach it.
	reserveShare = 0.2
	// minPerSecond is the rate at which all instances together send requests to a
	// server that takes fewer: without an answer it would never be known that it
	// takes more.
	minPerSecond = 0.1
	// maxBuckets bounds the number of buckets; beyond it idle ones are dropped.
	maxBuckets = 1024
)

// AcquireRequest asks the owner of a server's limit to let one request through.
type AcquireRequest struct {
	// Statement is the newest one that the asking instance knows.
	Statement Statement `msgpack:"s"`
}

// AcquireReply answers an AcquireRequest.
type AcquireReply struct {
	// NotOwner is set if the instance takes another one for the owner.
	NotOwner bool `msgpack:"n"`
	// Granted means that the request may be sent. Otherwise Wait is the time until
	// one may be.
	Granted bool          `msgpack:"g"`
	Wait    time.Duration `msgpack:"w"`
	// Statement is the newest one that the owner knows.
	Statement Statement `msgpack:"s"`
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Throttler grants requests to the servers whose limits it owns, and asks peers for
// those to others. It is safe for concurrent use.
type Throttler struct {
	self  string
	peers Peers
	clock clockwork.Clock
	boot  clocker.Clock
	log   *zap.Logger
	// anyLimit is set while a statement is known, so that most requests take no
	// lock.
	anyLimit atomic.Bool

	mu         sync.Mutex
	members    []string
	statements *Statements
	// granted and reserve are the buckets, by incarnation, of the limits that this
	// instance owns and of its share of the reserve.
	granted, reserve map[string]*Bucket
	// closedUntil is when the next request to a server may be let through.
	closedUntil  map[string]time.Time
	backoffUntil map[string]time.Time
}

// New returns the throttler of the instance that peers reach at the address self.
// members are the addresses of the instances known at first.
func New(self string, members []string, peers Peers, clock clockwork.Clock, boot clocker.Clock, log *zap.Logger) *Throttler {
	return &Throttler{
		self: self, members: members, peers: peers, clock: clock, boot: boot, log: log, statements: NewStatements(),
		granted: map[string]*Bucket{}, reserve: map[string]*Bucket{}, closedUntil: map[string]time.Time{}, backoffUntil: map[string]time.Time{},
	}
}

// Serve registers the handler for the requests of peers.
func (t *Throttler) Serve(s *messenger.Server) { s.Handle(kindAcquire, t.handleAcquire) }

// Update replaces the addresses of the instances.
func (t *Throttler) Update(members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(t.members, members) {
		return
	}
	t.members = slices.Clone(members)
	for incarnation := range t.granted {
		if t.owner(incarnation) != t.self {
			delete(t.granted, incarnation)
		}
	}
}

// Observe records what an answer of a server says: that it takes perSecond requests
// a second, or that it has no limit.
func (t *Throttler) Observe(incarnation string, perSecond float64, limited bool) {
	if !limited && !t.anyLimit.Load() {
		return
	}
	t.Merge([]Statement{{Incarnation: incarnation, Limited: limited, PerSecond: perSecond, ID: rand.Uint64()}})
}

// Merge adds statements that another instance exported.
func (t *Throttler) Merge(list []Statement) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(list...)
}

// merge adds statements. t.mu must be held.
func (t *Throttler) merge(list ...Statement) {
	now := t.boot.Now()
	for _, x := range list {
		if x.Incarnation == "" || x.Age < 0 || math.IsNaN(x.PerSecond) || x.PerSecond < 0 || !t.statements.Add(now, x) {
			continue
		}
		t.anyLimit.Store(true)
		delete(t.closedUntil, x.Incarnation)
		t.log.Info("throttle: server states its limit", zap.String("server", x.Incarnation), zap.Bool("limited", x.Limited), zap.Float64("per_second", x.PerSecond))
	}
}

// Export returns all statements, to be merged by other instances.
func (t *Throttler) Export() []Statement {
	if !t.anyLimit.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statements.Export(t.boot.Now())
}

// Retain drops what is known of the servers that keep rejects.
func (t *Throttler) Retain(keep func(incarnation string) bool) {
	if !t.anyLimit.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statements.Retain(keep)
}

// Limited reports whether a server names a limit.
func (t *Throttler) Limited(incarnation string) bool {
	if !t.anyLimit.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, limited := t.statements.Limit(incarnation)
	return limited
}

// Acquire reports whether a request may be sent to a server now. If not, it returns
// the time until one may be.
func (t *Throttler) Acquire(ctx context.Context, incarnation string) (wait time.Duration, ok bool) {
	if !t.anyLimit.Load() {
		return 0, true
	}
	t.mu.Lock()
	x, _ := t.statements.Get(t.boot.Now(), incarnation)
	now := t.clock.Now()
	if !x.Limited {
		t.mu.Unlock()
		return 0, true
	}
	if wait := t.closedUntil[incarnation].Sub(now); wait > 0 {
		t.mu.Unlock()
		return wait, false
	}
	owner := t.owner(incarnation)
	if owner == t.self || now.Before(t.backoffUntil[owner]) {
		defer t.mu.Unlock()
		return t.take(now, incarnation, owner == t.self, x.PerSecond)
	}
	t.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var reply AcquireReply
	err := t.peers.Call(callCtx, owner, kindAcquire, AcquireRequest{Statement: x}, &reply)
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.clock.Now()
	switch {
	case err != nil && ctx.Err() == nil:
		t.backOff(now, owner, err)
	case err != nil:
		return 0, false
	case !reply.NotOwner:
		t.merge(reply.Statement)
		if _, limited := t.statements.Limit(incarnation); !limited {
			return 0, true
		}
		if !reply.Granted {
			t.closedUntil[incarnation] = now.Add(reply.Wait)
		}
		return reply.Wait, reply.Granted
	}
	return t.take(now, incarnation, false, x.PerSecond)
}

// take lets a request through at the owner's share of a limit, or at this
// instance's share of the reserve. t.mu must be held.
func (t *Throttler) take(now time.Time, incarnation string, owned bool, perSecond float64) (time.Duration, bool) {
	others := len(t.members)
	if slices.Contains(t.members, t.self) {
		others--
	}
	perSecond = max(perSecond, minPerSecond)
	buckets, rate := t.granted, perSecond
	switch {
	case !owned:
		buckets, rate = t.reserve, reserveShare*perSecond/float64(max(others, 1))
	case others > 0:
		rate = (1 - reserveShare) * perSecond
	}
	b, ok := buckets[incarnation]
	if !ok {
		if len(buckets) >= maxBuckets {
			for i, b := range buckets {
				if b.Idle(now) {
					delete(buckets, i)
				}
			}
		}
		b = NewBucket(now, rate)
		buckets[incarnation] = b
	}
	wait, granted := b.Take(now, rate)
	if !granted {
		t.closedUntil[incarnation] = now.Add(wait)
	}
	return wait, granted
}

// owner returns the instance that owns a server's limit. t.mu must be held.
func (t *Throttler) owner(incarnation string) string {
	best, bestWeight := t.self, uint64(0)
	for _, m := range t.members {
		if w := xxhash.Sum64String(m + " " + incarnation); w > bestWeight {
			best, bestWeight = m, w
		}
	}
	return best
}

// backOff records that an owner did not reply, so that it is not asked for
// ownerBackoff. t.mu must be held.
func (t *Throttler) backOff(now time.Time, owner string, err error) {
	if now.Before(t.backoffUntil[owner]) {
		return
	}
	t.backoffUntil[owner] = now.Add(ownerBackoff)
	t.log.Info("throttle: instance does not answer", zap.String("member", owner), zap.Duration("not_asked_for", ownerBackoff), zap.Error(err))
}

func (t *Throttler) handleAcquire(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q AcquireRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode request to acquire")
	}
	return t.Grant(q), nil
}

// Grant answers a request of a peer.
func (t *Throttler) Grant(q AcquireRequest) AcquireReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	incarnation := q.Statement.Incarnation
	t.merge(q.Statement)
	if t.owner(incarnation) != t.self {
		return AcquireReply{NotOwner: true}
	}
	x, _ := t.statements.Get(t.boot.Now(), incarnation)
	if !x.Limited {
		return AcquireReply{Granted: true, Statement: x}
	}
	wait, ok := t.take(t.clock.Now(), incarnation, true, x.PerSecond)
	return AcquireReply{Granted: ok, Wait: wait, Statement: x}
}
