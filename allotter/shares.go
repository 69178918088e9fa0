package allotter

import "time"

// defaultTerm is how long an entitlement is valid after its last renewal, unless the settings name
// the window in which usage is counted. It is as long as that window: a store that is away for less
// costs callers nothing, and after the loss of all instances the caps are whole again within a
// time of that length.
const defaultTerm = 8 * time.Second

// Entitlement is a fraction of the caps of all accounts, which an instance may use or delegate.
// It is encoded as an array of its fields.
type Entitlement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	Fraction float64
	// Left is for how long it is valid.
	Left time.Duration
}

// valid reports whether the fields are in range: another build, or another process, wrote them.
func (e Entitlement) valid() bool { return e.Fraction >= 0 && e.Fraction <= 1 && e.Left >= 0 }

// Shares assigns entitlements to the instances that report to the lease holder. The fractions
// that instances may have add up to one at most at any time, whichever replies are lost. It is
// not safe for concurrent use.
type Shares struct {
	term    time.Duration
	members map[string]share
	// inherited is the sum of the fractions, assigned by former holders, that were reported in
	// this term, or whose instances have ended. The rest of one may still be in use until
	// unknownUntil. former are the instances that had one.
	inherited    float64
	former       Entitled
	unknownUntil time.Time
	// begun is set once a term has begun here.
	begun bool
}

// share is what an instance may have at most.
type share struct {
	fraction float64
	expires  time.Time
}

// NewShares returns shares whose entitlements are valid for a term.
func NewShares(term time.Duration) *Shares { return &Shares{term: term, members: map[string]share{}} }

// Begin begins a term of this instance as the lease holder. Entitlements that an earlier holder
// assigned may still be valid, and so may those of an earlier term of this instance; former are the
// instances that had one as far as it is known.
func (s *Shares) Begin(now time.Time, hadHolder bool, former Entitled) {
	clear(s.members)
	s.inherited, s.former, s.unknownUntil = 0, former, time.Time{}
	if hadHolder || s.begun {
		s.unknownUntil = now.Add(s.term)
	}
	s.begun = true
}

// Assign returns the entitlement of the instance at an address that reports the one that it holds,
// as one of a number of instances. Earlier processes at that address have ended, and what they held
// with them; restarted is set if there was one.
func (s *Shares) Assign(now time.Time, address string, held Entitlement, restarted bool, instances int) Entitlement {
	if !held.valid() || held.Left == 0 {
		held = Entitlement{}
	}
	if _, known := s.members[address]; !known {
		freed := held.Fraction
		if freed == 0 && restarted {
			freed = s.former.part(address)
		}
		s.inherited = min(s.inherited+freed, 1)
	}
	assigned := s.Unknown(now)
	for name, m := range s.members {
		switch {
		case name == address:
		case now.Before(m.expires):
			assigned += m.fraction
		default:
			delete(s.members, name)
		}
	}
	next := max(min(1/float64(max(instances, 1)), 1-assigned), 0)
	// A lower fraction is in force only once the instance reports it: the reply may be lost.
	s.members[address] = share{fraction: max(next, held.Fraction), expires: now.Add(s.term)}
	return Entitlement{Fraction: next, Left: s.term}
}

// Entitled returns the instances that have an entitlement of this term.
func (s *Shares) Entitled(now time.Time) Entitled {
	e := Entitled{Part: 1}
	for address, m := range s.members {
		if m.fraction > 0 && now.Before(m.expires) {
			e.Addresses = append(e.Addresses, addressHash(address))
			e.Part = min(e.Part, m.fraction)
		}
	}
	return e
}

// Unknown returns how much former holders may have assigned to instances that have not reported. It
// can't be assigned until they have, or until it has expired.
func (s *Shares) Unknown(now time.Time) float64 {
	if !now.Before(s.unknownUntil) {
		return 0
	}
	return 1 - s.inherited
}

// transitMargin is the longest time that a report is under way to the arbiter that counts it.
// Later ones come from a pause of either process, for which the tolerance of the caps allows.
const transitMargin = 150 * time.Millisecond

// Holding is the entitlement of this instance, and to whom it is delegated. It is not safe for
// concurrent use.
type Holding struct {
	fraction float64
	expires  time.Time
	// arbiter has the fraction lent until lapses.
	arbiter string
	lent    float64
	lapses  time.Time
}

// Held returns the entitlement for a report.
func (h *Holding) Held(now time.Time) Entitlement {
	left := h.expires.Sub(now)
	if left <= 0 {
		return Entitlement{}
	}
	return Entitlement{Fraction: h.fraction, Left: left}
}

// Reported returns the entitlement for a report to an instance. While another one may still use
// a larger fraction that was delegated to it before, that is what counts.
func (h *Holding) Reported(now time.Time, receiver string) Entitlement {
	e := h.Held(now)
	if e.Left > 0 && receiver != h.arbiter && now.Before(h.lapses) {
		e.Fraction = max(e.Fraction, h.lent)
	}
	return e
}

// Assigned applies the entitlement in the reply to a report that was sent at a time.
func (h *Holding) Assigned(sent time.Time, e Entitlement) {
	if e.valid() && e.Left > 0 {
		h.fraction, h.expires = e.Fraction, sent.Add(e.Left)
	}
}

// Delegate delegates the entitlement to the receiver of a report that is sent now, for a time at
// most. It returns nothing while another instance may still use it.
func (h *Holding) Delegate(now time.Time, arbiter string, ttl time.Duration) Entitlement {
	if arbiter != h.arbiter && now.Before(h.lapses) {
		return Entitlement{}
	}
	held := h.Held(now)
	if held.Left == 0 {
		held.Left = ttl
	}
	h.arbiter, h.lent, h.lapses = arbiter, held.Fraction, now.Add(ttl+transitMargin)
	return Entitlement{Fraction: held.Fraction, Left: min(held.Left, ttl)}
}

// Arbiter returns the instance that has the entitlement, empty if none does.
func (h *Holding) Arbiter(now time.Time) string {
	if !now.Before(h.lapses) {
		return ""
	}
	return h.arbiter
}

// Lapses returns the time until the entitlement is not delegated any more.
func (h *Holding) Lapses(now time.Time) time.Duration { return max(h.lapses.Sub(now), 0) }

// Released records that an arbiter has given the entitlement back.
func (h *Holding) Released(arbiter string) {
	if h.arbiter == arbiter {
		h.lapses = time.Time{}
	}
}

// Own returns the entitlement that this instance may use itself.
func (h *Holding) Own(now time.Time) Entitlement {
	if now.Before(h.lapses) {
		return Entitlement{}
	}
	return h.Held(now)
}
