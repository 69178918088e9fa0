package allotter

import (
	"math"
	"time"
)

const (
	// roomSlot is the precision to which the past level of a bucket is known, roomSlots times that
	// is how old returned credit can be. Requests wait for 25 s at most in the known deployments.
	roomSlot  = 100 * time.Millisecond
	roomSlots = 256
	// maxReturns bounds the returns of an account that wait for the next call.
	maxReturns = 256
)

// Late is credit of an account that was granted Age ago and is not used. It is encoded as an array of its
// fields.
type Late struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Account  string
	Amount   float64
	Age      time.Duration
}

// valid reports whether the numbers can be reckoned with.
func (l Late) valid() bool { return l.Amount > 0 && !math.IsInf(l.Amount, 0) && l.Age >= 0 }

// room is the least room below its capacity that a bucket had in a slot.
type room struct {
	slot  uint32
	least float32
}

func slotOf(t time.Time) uint32 { return uint32(t.UnixNano() / int64(roomSlot)) } //nolint:gosec // a window of its values is compared

// recordRoom records the level, which is highest just before credit is taken.
func (b *bucket) recordRoom(now time.Time, capacity float64) {
	slot, left := slotOf(now), float32(max(capacity-b.level, 0))
	if r := &b.rooms[slot%roomSlots]; r.slot != slot {
		*r = room{slot, left}
	} else {
		r.least = min(r.least, left)
	}
}

// putBack gives back credit of a request that has not run as if it had never been taken: what the
// bucket would have lost since then, for being full, is lost. So the requests that are sent stay
// within the rate and the burst over any time, however long they waited. The time of the grant is
// known to a slot and the transit of a reply and a call, which adds the rate of that time.
func (b *bucket) putBack(now time.Time, capacity, amount float64, age time.Duration) {
	taken := now.Add(-age)
	if age >= (roomSlots-1)*roomSlot || taken.Before(b.born) {
		return
	}
	first, last := slotOf(taken)+1, slotOf(now)
	amount = min(amount, capacity-b.level)
	for s := first; s <= last; s++ {
		if r := b.rooms[s%roomSlots]; r.slot == s {
			amount = min(amount, float64(r.least))
		}
	}
	if amount <= 0 {
		return
	}
	b.level += amount
	for s := first; s <= last; s++ {
		if r := &b.rooms[s%roomSlots]; r.slot == s {
			r.least -= float32(amount)
		}
	}
}

// returned is credit that was not used.
type returned struct {
	amount  float64
	takenAt time.Time
	source  string
}

// giveBack keeps credit for the next call, unless it came from no bucket.
func (u *usage) giveBack(r returned) {
	if r.amount <= 0 || r.source == graceSource || len(u.returns) >= maxReturns {
		return
	}
	u.returns = append(u.returns, r)
}

// takeReturns returns what is to be given back to an arbiter; recent credit is added to an item. What
// another arbiter has granted is dropped: its bucket has lost it.
func (u *usage) takeReturns(now time.Time, arbiter string, x *Item) []Late {
	var late []Late
	for _, r := range u.returns {
		age := now.Sub(r.takenAt)
		switch {
		case r.source != arbiter:
		case age <= maxFreshAge:
			x.Back += r.amount
		default:
			late = append(late, Late{Account: x.Account, Amount: r.amount, Age: age})
		}
	}
	u.returns = nil
	return late
}
