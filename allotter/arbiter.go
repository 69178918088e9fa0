package allotter

import (
	"math"
	"time"

	"primrosehook/decayer"
)

const (
	// maxBuckets bounds the accounts that are told apart; beyond it idle buckets are dropped.
	maxBuckets = 4096
	// idleAfter is how long after its last use a bucket is as good as a new one.
	idleAfter = time.Minute
	// steadyRise is the part of the delegated sum by which it may grow without a new bucket
	// being taken for emptier: fractions are adjusted by little all the time.
	steadyRise = 0.05
	// refusedHalfLife is the half-life of what was refused, which is assumed to be asked for
	// again.
	refusedHalfLife = 500 * time.Millisecond
	// grantedHalfLife is the half-life of what was granted, for the log.
	grantedHalfLife = time.Second
	// refusalLogInterval is the least time between two log lines of refusals of one account.
	refusalLogInterval = time.Second
	// minWait and maxWait bound the time after which a refused request is told to come back.
	minWait = 50 * time.Millisecond
	maxWait = 30 * time.Second
	// unassignedWait is when a request is told to come back while nothing is assigned to any
	// instance that delegates to the arbiter: assignments of former holders have ended by then.
	unassignedWait = defaultTerm
	// entitledSum is the sum of the fractions below which a refusal is put down to what is missing,
	// fillTime the same for the time since the sum has risen: a bucket begins empty.
	entitledSum = 0.9
	fillTime    = time.Second
	// loweredTime is how long refusals are put down to a lowered cap: the usage of the window before
	// then was within the former one.
	loweredTime = defaultTerm
	// minBurst is the time whose rate counts as the capacity of a bucket at least. An empty burst
	// would let no request through; the tolerance of the caps covers this one.
	minBurst = 100 * time.Millisecond
	// capacityShare is the capacity of a bucket as a part of what a window allows. The rest of a
	// tolerance of a tenth covers credit that is used later than it was granted, or what is used
	// without an answer of an arbiter, which grants nothing in that time.
	capacityShare = 0.03
	// maxAmount is the largest number of an Item: sums of larger ones could overflow.
	maxAmount = 1e18
	// slackShare is the part of the slack of the caps that the capacity of a bucket has, up to
	// maxSlackShare of what a window allows: small caps would not bind otherwise.
	slackShare, maxSlackShare = 0.5, 0.25
)

// Window is how usage is counted against caps: in any time of a length, at most the rate times that
// time plus the burst. Usage may exceed that by Slack, in the accounts' unit, whatever the cap.
type Window struct {
	Length time.Duration
	Slack  float64
}

// allowance returns what a cap allows in the window.
func (w Window) allowance(rate, burst float64) float64 { return rate*w.Length.Seconds() + burst }

// Item asks for a part of an account's cap. It is encoded as an array of its fields.
type Item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Account  string
	// Rate and Burst are the whole cap according to a version of the configuration.
	Version     int64
	Rate, Burst float64
	// Need is what one request needs, Ahead what would be used next, and Back what was
	// granted before and is not used.
	Need, Ahead, Back float64
}

// valid reports whether the numbers can be reckoned with.
func (i Item) valid() bool {
	for _, v := range []float64{i.Rate, i.Burst, i.Need, i.Ahead, i.Back} {
		if math.IsNaN(v) || v > maxAmount || v < 0 {
			return false
		}
	}
	return true
}

// Grant answers an Item. It is encoded as an array of its fields.
type Grant struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// Amount is at least what the request needs, or zero; Wait is then the time until it
	// could be granted.
	Amount float64
	Wait   time.Duration
	// Cause is why nothing is granted. It is sent in AllotReply.Causes: the number of elements of an array
	// can't change.
	Cause Cause `msgpack:"-"`
}

// delegation is the fraction of an instance that an arbiter may use until a time.
type delegation struct {
	fraction float64
	until    time.Time
}

// bucket is the credit of an account at an arbiter.
type bucket struct {
	version     int64
	rate, burst float64
	// level is the credit as of at, when the sum of the delegated fractions was sum. It is
	// negative after a request that is larger than the capacity.
	level, sum float64
	at         time.Time
	// born is when the bucket was made, rooms is how far below its capacity it was since.
	born  time.Time
	rooms []room
	// loweredUntil is until when usage above the cap is put down to a version that lowered it.
	loweredUntil time.Time
	refused      decayer.Counter
	// granted is what was granted of late, less what was given back.
	granted decayer.Counter
	// loggedAt is when a refusal was last logged.
	loggedAt time.Time
}

// Arbiter grants credit from the fractions that instances delegate to it. Its grants stay within
// the cap times the sum of the fractions: at most rate times the window plus the burst in any
// window, beyond which there are the capacity of a bucket and one request. It is not safe for
// concurrent use.
//
// A bucket fills at what the window allows, divided by its length. At the rate of the cap, an
// account that asks for more than its cap would be refused although its usage in the window is
// below what the window allows. For the first window after the sum of the fractions has risen, a
// bucket fills at the rate of the cap: an arbiter before may have granted the burst.
type Arbiter struct {
	window  Window
	members map[string]delegation

	buckets map[string]*bucket
	// sum is the sum of the fractions as of sumAt, base the least one since risen.
	sum, base float64
	sumAt     time.Time
	risen     time.Time
	// onRefusal is called with an account that asks for more than its cap, now and then.
	onRefusal func(Refusal)
}

// Refusal says how much an account gets that asks for more than its cap.
type Refusal struct {
	Account string
	// Granted and Cap are per second, Delegated is the part of the cap that this arbiter grants for
	// a number of members.
	Granted, Cap, Delegated float64
	Members                 int
	Cause                   Cause
}

// recordRefusal reports a refusal for the log.
func (a *Arbiter) recordRefusal(now time.Time, account string, b *bucket, cause Cause) {
	if a.onRefusal == nil || now.Sub(b.loggedAt) < refusalLogInterval {
		return
	}
	b.loggedAt = now
	a.onRefusal(Refusal{Account: account, Granted: b.granted.Rate(now, grantedHalfLife), Cap: b.rate, Delegated: a.sum, Members: len(a.members), Cause: cause})
}

// NewArbiter returns an arbiter without delegations.
func NewArbiter(w Window) *Arbiter {
	return &Arbiter{window: w, members: map[string]delegation{}, buckets: map[string]*bucket{}}
}

// Delegate applies the delegation in a report of an instance.
func (a *Arbiter) Delegate(now time.Time, instance string, e Entitlement) {
	if !e.valid() {
		return
	}
	if a.refresh(now); a.sum == 0 && len(a.members) == 0 {
		// What was granted before the delegations lapsed does not count any more, and
		// neither does the credit of that time.
		clear(a.buckets)
		a.base, a.risen = 0, now
	}
	if e.Left == 0 {
		delete(a.members, instance)
	} else {
		a.members[instance] = delegation{e.Fraction, now.Add(e.Left)}
	}
	a.refresh(now)
}

// Members returns how many instances delegate to the arbiter, and the sum of their fractions.
func (a *Arbiter) Members(now time.Time) (int, float64) {
	a.refresh(now)
	return len(a.members), a.sum
}

// refresh computes the sum of the valid delegations.
func (a *Arbiter) refresh(now time.Time) {
	sum := 0.0
	for name, d := range a.members {
		if !now.Before(d.until) {
			delete(a.members, name)
			continue
		}
		sum += d.fraction
	}
	a.sum, a.sumAt = min(sum, 1), now
	if a.sum > a.base*(1+steadyRise) {
		a.base, a.risen = a.sum, now
	}
	a.base = min(a.base, a.sum)
}

// sumRefresh is how long the sum of the fractions is used before it is computed again: at
// hundreds of members that costs more than a grant.
const sumRefresh = 20 * time.Millisecond

// refreshIfOld computes the sum of the valid delegations unless that was done a short time before.
func (a *Arbiter) refreshIfOld(now time.Time) {
	if now.Sub(a.sumAt) > sumRefresh {
		a.refresh(now)
	}
}

// Grant answers what an instance asks. It reports false if the instance does not delegate to
// this arbiter.
func (a *Arbiter) Grant(now time.Time, instance string, items []Item) ([]Grant, bool) {
	if d, ok := a.members[instance]; !ok || !now.Before(d.until) {
		return nil, false
	}
	a.refreshIfOld(now)
	grants := make([]Grant, len(items))
	for i, x := range items {
		grants[i] = a.grant(now, x)
	}
	return grants, true
}

// PutBack gives back what an instance was granted and did not use.
func (a *Arbiter) PutBack(now time.Time, instance string, late []Late) {
	if d, ok := a.members[instance]; !ok || !now.Before(d.until) {
		return
	}
	// A delegation that has lapsed since the last call adds no credit.
	a.refreshIfOld(now)
	for _, l := range late {
		if b, ok := a.buckets[l.Account]; ok && l.valid() {
			b.putBack(now, a.advance(now, b), l.Amount, l.Age)
		}
	}
}

func (a *Arbiter) grant(now time.Time, x Item) Grant {
	if !x.valid() || x.Rate == 0 {
		return Grant{Wait: maxWait, Cause: CauseOverCap}
	}
	b := a.bucket(now, x)
	capacity := a.advance(now, b)
	b.level = min(b.level+x.Back, capacity)
	b.granted.Add(now, grantedHalfLife, -min(x.Back, b.granted.Value(now, grantedHalfLife)))
	if x.Need == 0 && x.Ahead == 0 {
		return Grant{}
	}
	// A request that is larger than the capacity would never be granted otherwise.
	if need := min(x.Need, max(capacity, 0)); b.level < need || capacity == 0 {
		wait := unassignedWait
		if perSecond := a.fillRate(now, b) * a.sum; perSecond > 0 {
			missing := need - b.level + b.refused.Value(now, refusedHalfLife)
			wait = time.Duration(min(missing/perSecond, maxWait.Seconds()) * float64(time.Second))
		}
		b.refused.Add(now, refusedHalfLife, x.Need)
		cause := a.cause(now, b)
		a.recordRefusal(now, x.Account, b, cause)
		return Grant{Wait: max(wait, minWait), Cause: cause}
	}
	b.level -= x.Need
	b.granted.Add(now, grantedHalfLife, x.Need)
	ahead := min(x.Ahead, max(b.level/2, 0))
	b.level -= ahead
	return Grant{Amount: x.Need + ahead}
}

// cause returns why a bucket has not enough credit.
func (a *Arbiter) cause(now time.Time, b *bucket) Cause {
	switch {
	case a.sum < entitledSum || now.Sub(a.risen) < fillTime:
		return CauseNoEntitlement
	case now.Before(b.loweredUntil):
		return CauseCapLowered
	}
	return CauseOverCap
}

// bucket returns the bucket of an account, whose cap is that of the newest version that is known.
func (a *Arbiter) bucket(now time.Time, x Item) *bucket {
	b, ok := a.buckets[x.Account]
	if !ok {
		if len(a.buckets) >= maxBuckets {
			for name, b := range a.buckets {
				if now.Sub(b.at) > idleAfter {
					delete(a.buckets, name)
				}
			}
		}
		// Nothing was granted of this account here since the sum of the fractions has risen.
		b = &bucket{version: x.Version, rate: x.Rate, burst: x.Burst, sum: a.sum, at: a.risen, born: now, rooms: make([]room, roomSlots)}
		a.buckets[x.Account] = b
	}
	if x.Version > b.version {
		a.advance(now, b)
		if x.Rate < b.rate || x.Burst < b.burst {
			b.loweredUntil = now.Add(loweredTime)
		}
		b.version, b.rate, b.burst = x.Version, x.Rate, x.Burst
	}
	return b
}

// fillRate returns the credit per second that a bucket gets for the whole cap.
func (a *Arbiter) fillRate(now time.Time, b *bucket) float64 {
	if now.Sub(a.risen) < a.window.Length {
		return b.rate
	}
	return a.window.allowance(b.rate, b.burst) / a.window.Length.Seconds()
}

// advance adds the credit of the time since the last call, and returns the capacity.
func (a *Arbiter) advance(now time.Time, b *bucket) float64 {
	if passed := now.Sub(b.at); passed > 0 {
		b.level += a.fillRate(b.at, b) * min(a.sum, b.sum) * passed.Seconds()
		b.at = now
	}
	b.sum = a.sum
	allowance := a.window.allowance(b.rate, b.burst)
	capacity := capacityShare*allowance + min(slackShare*a.window.Slack, maxSlackShare*allowance)
	capacity = max(capacity, b.rate*minBurst.Seconds()) * a.sum
	b.level = min(b.level, capacity)
	b.recordRoom(now, capacity)
	return capacity
}
