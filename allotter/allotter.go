// Package allotter keeps the usage caps of client accounts, for all instances together.
//
// Each instance is entitled to a fraction of every cap. The lease holder assigns the fractions
// with its replies to reports (Shares); they add up to one at most and expire. An instance
// delegates its fraction to its arbiter, the one that answers its reports: the lease holder, or
// a deputy. The arbiter grants credit from a bucket whose rate is the cap times the sum of the
// fractions that it has (Arbiter). An instance without an arbiter uses its own fraction. So the
// sum of what is granted stays within the cap whichever instances reach each other, without
// agreement between arbiters and without calls to the store.
package allotter

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/clocker"
	"primrosehook/decayer"
	"primrosehook/messenger"
)

const (
	// kindAllot is the kind of the message that carries an AllotRequest.
	kindAllot = "allot"
	// allotTimeout bounds a call to the arbiter. An arbiter whose process is short of processor time
	// takes 100 ms and more on days of high load. With a bound of 100 ms its grants were lost, it was
	// asked again at once, and up to 3,474 of some 14,000 requests of 18 s were refused for it.
	allotTimeout = 250 * time.Millisecond
	// callInterval times the number of members is the least time between two calls of an
	// instance, longestWait at most, so that an arbiter of up to 200 members serves some two
	// thousand a second, and one of 390 some four thousand.
	callInterval = 500 * time.Microsecond
	// longestWait is how long a request waits for credit that is about to come.
	longestWait = 100 * time.Millisecond
	// aheadTime is for how long credit is asked for ahead, aheadTTL how long it may be used.
	aheadTime = 100 * time.Millisecond
	aheadTTL  = 500 * time.Millisecond
	// usageHalfLife is the half-life of the usage of an account at this instance.
	usageHalfLife = time.Second
	// toleranceShare is the share of the caps' tolerance, as a time, whose usage an instance may
	// go on with while its arbiter is silent, once in a term. The rest covers the capacity of buckets
	// and credit that is used later than it was granted.
	toleranceShare = 0.5
	// defaultTolerance is by how much usage may exceed a cap.
	defaultTolerance = 0.1
	// oldBuildBackoff is how long an instance that does not know entitlements gets none
	// delegated, rejectedBackoff the same for one whose answer to a report did not count.
	oldBuildBackoff = 10 * time.Second
	rejectedBackoff = 2 * time.Second
	// noArbiterWait is when a request is told to come back that no arbiter could answer: a
	// delegation has lapsed by then.
	noArbiterWait = 500 * time.Millisecond
	// maxFreshAge is up to which age credit that is given back counts as credit of now. At one second,
	// requests that are refused after 0.9 s would free credit for others over and over, which add
	// up if they are sent together.
	maxFreshAge = roomSlot
	// maxUnanswered is after how many calls in a row without an answer an arbiter counts as silent.
	// Few are most often an arbiter whose process did not run for a moment: until its next answer
	// to a report, requests inside the cap would be refused. At two, 7 of 386 were refused with 5
	// in 100 calls late.
	maxUnanswered = 3
	// unansweredWait is for how long a request asks again whose call got no answer, from its first
	// one on, while the arbiter does not count as silent, askAgainWait the pause before it does. Three
	// calls fit, as with shorter calls: with two of them, 7 of 388 requests were refused with 5 in 100
	// calls late.
	unansweredWait = 600 * time.Millisecond
	askAgainWait   = 10 * time.Millisecond
	// unknownLogged is the part of the caps below which what former holders may have assigned is not
	// logged any more.
	unknownLogged = 0.01
	// maxCaches bounds the accounts whose usage at this instance is kept.
	maxCaches = 4096
)

// AllotRequest asks the arbiter for credit.
type AllotRequest struct {
	Instance string `msgpack:"i"`
	Items    []Item `msgpack:"x"`
	// Release ends the delegation of the instance's entitlement: it has another arbiter.
	Release bool `msgpack:"r,omitempty"`
	// Late is given back before the items are granted.
	Late []Late `msgpack:"l,omitempty"`
}

// AllotReply answers an AllotRequest. NotArbiter is set if the instance has no valid delegation
// at the one that replies.
type AllotReply struct {
	NotArbiter bool    `msgpack:"n,omitempty"`
	Grants     []Grant `msgpack:"g"`
	// Causes are those of the grants, missing if all of them are granted.
	Causes []Cause `msgpack:"c,omitempty"`
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, address, kind string, request, reply any) error
}

// Meter counts events by the name of their metric.
type Meter interface{ Add(name string, n int64) }

type discardMeter struct{}

func (discardMeter) Add(string, int64) {}

// Allotter takes credit for the requests of this instance and, while others report to it,
// grants credit to them. It is safe for concurrent use.
type Allotter struct {
	instance, self string
	peers          Peers
	clock          clockwork.Clock
	boot           clocker.Clock
	log            *zap.Logger
	meter          Meter
	names          labels

	// restarted is set if an earlier process ran at the address.
	restarted bool
	// term is how long entitlements are valid, grace the time whose usage is let through while the
	// arbiter is silent. window is how usage is counted.
	term, grace time.Duration
	window      Window

	mu     sync.Mutex
	shares *Shares
	// unknown is what was last logged of Shares.Unknown, zero once it is small.
	unknown float64
	holding Holding
	// role grants from what others delegate to this instance, own from its own fraction.
	role, own *Arbiter
	// replied is the instance that answered the last report, silent one that did not answer
	// a call since.
	replied, silent string
	// unanswered is how many calls in a row got no answer.
	unanswered int
	// repliedAt is when an arbiter last answered a report, zero if none has.
	repliedAt time.Time
	// avoided is until when instances get no entitlement delegated: they do not know them, or
	// their answers to reports do not count.
	avoided map[string]time.Time
	members int
	usages  map[string]*usage
	// next is the call that collects items while one is under way.
	next     *call
	calling  bool
	lastCall time.Time
	// lastTook is how long the last call took. The pause to the next one is as long and half as long
	// again, so that calls take at most some 40 % of the time of an arbiter that is slow.
	lastTook time.Duration
}

// usage is what this instance uses of an account's cap.
type usage struct {
	rate decayer.Counter
	// ahead is unused credit of aheadSource that may be used until aheadUntil; returns are to be
	// given back.
	ahead       float64
	aheadSource string
	aheadUntil  time.Time
	returns     []returned
	// asking is set while credit is asked for ahead.
	asking bool
	// grace is what may be used without an answer of the arbiter, as of graceAt.
	grace   float64
	graceAt time.Time
}

// call is one message to an arbiter.
type call struct {
	items     []Item
	abandoned []bool
	done      chan struct{}
	grants    []Grant
	// target is the arbiter that was asked.
	target string
}

// Option sets an option of an Allotter.
type Option func(*Allotter)

// WithMeter sets the receiver of counts.
func WithMeter(m Meter) Option { return func(a *Allotter) { a.meter = m } }

// WithTolerance sets the window in which usage is counted, the part by which it may exceed a cap
// there, and the usage by which it may exceed any cap.
func WithTolerance(window time.Duration, overage, slack float64) Option {
	return func(a *Allotter) { a.setTolerance(window, overage, slack) }
}

func (a *Allotter) setTolerance(window time.Duration, overage, slack float64) {
	if window > 0 {
		a.term = window
	}
	a.window = Window{Length: a.term, Slack: max(slack, 0)}
	if math.IsNaN(a.window.Slack) {
		a.window.Slack = 0
	}
	a.grace = time.Duration(toleranceShare * max(overage, 0) * float64(a.term))
}

// WithRestarted says that an earlier process ran at the address of this one.
func WithRestarted(restarted bool) Option { return func(a *Allotter) { a.restarted = restarted } }

// New returns the allotter of an instance, a name that no other process has, which peers reach at
// the address self.
func New(instance, self string, peers Peers, clock clockwork.Clock, boot clocker.Clock, log *zap.Logger, options ...Option) *Allotter {
	a := &Allotter{
		instance: instance, self: self, peers: peers, clock: clock, boot: boot, log: log, meter: discardMeter{},
		usages: map[string]*usage{}, avoided: map[string]time.Time{}, term: defaultTerm,
	}
	a.setTolerance(0, defaultTolerance, 0)
	for _, o := range options {
		o(a)
	}
	a.shares, a.role, a.own = NewShares(a.term), NewArbiter(a.window), NewArbiter(a.window)
	a.role.onRefusal = a.logRefusal
	return a
}

// logRefusal logs that an account asks for more than its cap.
func (a *Allotter) logRefusal(r Refusal) {
	a.log.Info("allot: account asks for more than its cap", zap.String("account", r.Account), zap.Float64("granted_per_s", r.Granted), zap.Float64("cap_per_s", r.Cap), zap.Float64("delegated", r.Delegated), zap.Int("members", r.Members), zap.Stringer("cause", r.Cause))
}

// Serve registers the handler for the requests of peers.
func (a *Allotter) Serve(s *messenger.Server) { s.Handle(kindAllot, a.handleAllot) }

func (a *Allotter) handleAllot(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q AllotRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode request for credit")
	}
	return a.Grant(q), nil
}

// Grant answers a request of a peer.
func (a *Allotter) Grant(q AllotRequest) AllotReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q.Release {
		a.role.Delegate(a.boot.Now(), q.Instance, Entitlement{})
		return AllotReply{}
	}
	now := a.boot.Now()
	a.role.PutBack(now, q.Instance, q.Late)
	grants, ok := a.role.Grant(now, q.Instance, q.Items)
	reply := AllotReply{NotArbiter: !ok, Grants: grants}
	for i, g := range grants {
		if g.Cause != CauseUnspecified {
			reply.Causes = append(reply.Causes, make([]Cause, i+1-len(reply.Causes))...)
			reply.Causes[i] = g.Cause
		}
	}
	return reply
}

// Statement is what a report says of the entitlement of its instance.
type Statement struct {
	Held      Entitlement `msgpack:"h"`
	Delegated Entitlement `msgpack:"d"`
	// Restarted is set if an earlier process ran at the instance's address. Builds before formats 6 read it.
	Restarted bool `msgpack:"r,omitempty"`
}

// State returns the statement for a report that is sent now to an instance, whose answer counts
// for a time.
func (a *Allotter) State(receiver string, ttl time.Duration) Statement {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	s := Statement{Held: a.holding.Reported(now, receiver), Restarted: a.restarted}
	if now.Before(a.avoided[receiver]) {
		return s
	}
	if s.Delegated = a.holding.Delegate(now, receiver, ttl); s.Delegated.Left > 0 {
		// What this instance may use itself begins anew when the delegation has lapsed.
		a.own = NewArbiter(a.window)
	}
	return s
}

// Now returns the time by which entitlements are counted.
func (a *Allotter) Now() time.Time { return a.boot.Now() }

// Replied records the answer of the lease holder or of a deputy to a report that was sent at a
// time, as Now tells it, as one of a number of instances. The entitlement is nil if the sender does
// not know entitlements: this instance is then entitled to its part by that number.
func (a *Allotter) Replied(sent time.Time, sender string, e *Entitlement, holdsLease bool, members int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e == nil {
		a.avoided[sender] = a.boot.Now().Add(oldBuildBackoff)
		if holdsLease {
			a.holding.Assigned(sent, Entitlement{Fraction: 1 / float64(max(members, 1)), Left: a.term})
		}
		a.replied = ""
		return
	}
	delete(a.avoided, sender)
	a.holding.Assigned(sent, *e)
	if sender != a.replied {
		a.log.Info("allot: arbiter", zap.String("member", sender), zap.Float64("fraction", a.holding.fraction))
	}
	a.replied, a.repliedAt, a.members = sender, a.boot.Now(), members
	if a.silent == sender {
		a.silent, a.unanswered = "", 0
	}
}

// Release takes the entitlement back from the arbiter if the receiver of the next report has answered
// the last one in its place.
func (a *Allotter) Release(ctx context.Context, receiver string) {
	a.mu.Lock()
	former := a.holding.Arbiter(a.boot.Now())
	moves := former != "" && former != receiver && a.replied == receiver && a.silent != former
	a.mu.Unlock()
	if !moves {
		return
	}
	var err error
	if former == a.self {
		a.Grant(AllotRequest{Instance: a.instance, Release: true})
	} else {
		ctx, cancel := context.WithTimeout(ctx, allotTimeout)
		defer cancel()
		err = a.peers.Call(ctx, former, kindAllot, AllotRequest{Instance: a.instance, Release: true}, &AllotReply{})
	}
	if err != nil {
		// The delegation lapses by itself.
		a.meter.Add(MetricUnanswered, 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.recordSilence(former, err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holding.Released(former)
}

// Lapses returns the time until the entitlement can be delegated again if its arbiter is silent, zero
// if it is not.
func (a *Allotter) Lapses() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	if former := a.holding.Arbiter(now); former == "" || former != a.silent && a.replied == former {
		return 0
	}
	return a.holding.Lapses(now)
}

// Rejected records that an instance did not answer a report, or that its answer does not count. A
// delegation that it has got lapses by itself.
func (a *Allotter) Rejected(receiver string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoided[receiver] = a.boot.Now().Add(rejectedBackoff)
	if a.replied == receiver {
		a.replied = ""
	}
	if a.holding.Arbiter(a.boot.Now()) == receiver {
		a.silent = receiver
	}
}

// BeginTerm begins a term of this instance as the lease holder. former is what the last entry of the
// lease says of entitlements.
func (a *Allotter) BeginTerm(hadHolder bool, former Entitled) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	a.shares.Begin(now, hadHolder, former)
	a.unknown = a.shares.Unknown(now)
	a.log.Info("allot: term begins", zap.Bool("had_holder", hadHolder), zap.Int("former_instances", len(former.Addresses)), zap.Float64("unknown", a.unknown))
}

// Entitled returns the instances that have an entitlement, for an entry of the lease.
func (a *Allotter) Entitled() Entitled {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shares.Entitled(a.boot.Now())
}

// Entered records that an entry of the lease with what Entitled last returned is in the log.
func (a *Allotter) Entered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares.Entered()
}

// Reported applies the statement of an instance that reports to this one. The lease holder
// assigns an entitlement, a deputy none.
func (a *Allotter) Reported(instance, address string, s Statement, holdsLease bool, instances int) Entitlement {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	a.role.Delegate(now, instance, s.Delegated)
	if !holdsLease {
		return Entitlement{}
	}
	e := a.shares.Assign(now, address, s.Held, instances)
	a.logUnknown(now)
	return e
}

// logUnknown logs each time that what former holders may have assigned has halved, and once it is known
// wholly. a.mu must be held.
func (a *Allotter) logUnknown(now time.Time) {
	unknown := a.shares.Unknown(now)
	if a.unknown == 0 || unknown > a.unknown/2 {
		return
	}
	if a.unknown = unknown; unknown < unknownLogged {
		a.unknown = 0
	}
	a.log.Info("allot: assigned by former holders", zap.Float64("unknown", unknown))
}

// Status is what operators see of the entitlement and the role of this instance.
type Status struct {
	// Fraction is this instance's part of every cap, for Left. Arbiter answers its requests for
	// credit, empty while none does, and until it has answered a report.
	Fraction float64
	Left     time.Duration
	Arbiter  string
	// Age is the time since an arbiter last answered a report, negative if none has.
	Age time.Duration
	// Members is how many instances delegate to this one, Delegated the sum of their fractions.
	Members   int
	Delegated float64
	// Unknown is the part of the caps that this instance can't assign as the lease holder, since former
	// holders may have.
	Unknown float64
}

// Status returns the present status.
func (a *Allotter) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	held := a.holding.Held(now)
	s := Status{Fraction: held.Fraction, Left: held.Left, Age: -time.Millisecond}
	if arbiter := a.arbiter(now); arbiter == a.replied {
		s.Arbiter = arbiter
	}
	if !a.repliedAt.IsZero() {
		s.Age = now.Sub(a.repliedAt)
	}
	s.Members, s.Delegated = a.role.Members(now)
	if now.Before(a.shares.unlistedUntil) {
		s.Unknown = a.shares.Unknown(now)
	}
	return s
}

// arbiter returns the instance that the entitlement is delegated to and that answers, empty if
// there is none. a.mu must be held.
func (a *Allotter) arbiter(now time.Time) string {
	if arbiter := a.holding.Arbiter(now.Add(transitMargin)); arbiter != a.silent {
		return arbiter
	}
	return ""
}
