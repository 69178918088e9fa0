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
// that instances may have add up to one at most at any time, whichever replies are lost and whichever
// holders follow each other. It is not safe for concurrent use.
//
// A holder takes over what former ones have assigned from the last entry of the lease. That may be
// older than the last assignment, so a fraction that an entry names stays reserved for its
// instance until a later entry that names a lower one is certainly in the log. What the entry does not
// name may have been assigned to anyone.
type Shares struct {
	term    time.Duration
	members map[string]*share
	// former are the shares that the entry of the former holder names, by the hash of the address, of
	// instances that have not reported in this term.
	former map[uint32]*share
	// unlisted is what former holders may have assigned beyond their entry to instances that have not
	// reported. It may be in use until unlistedUntil.
	unlisted      float64
	unlistedUntil time.Time
	// begun is set once a term has begun here.
	begun bool
}

// share is what is reserved for an instance.
type share struct {
	// fraction is what it may have at most, until expires.
	fraction float64
	expires  time.Time
	// entered is the largest fraction that the last entry of the lease may name, entering the one in
	// the entry that was last composed.
	entered, entering float64
}

// reserved returns the fraction that can't be assigned to another instance.
func (s *share) reserved(now time.Time) float64 {
	if now.Before(s.expires) {
		return max(s.fraction, s.entered)
	}
	return s.entered
}

// enter records the fraction that an entry names.
func (s *share) enter(fraction float64) {
	s.entered, s.entering = max(s.entered, fraction), fraction
}

// unused reports whether nothing is reserved, nor will be by an entry that is under way.
func (s *share) unused(now time.Time) bool {
	return s.entered == 0 && !now.Before(s.expires)
}

// NewShares returns shares whose entitlements are valid for a term.
func NewShares(term time.Duration) *Shares {
	return &Shares{term: term, members: map[string]*share{}, former: map[uint32]*share{}}
}

// Begin begins a term of this instance as the lease holder. Entitlements that an earlier holder
// assigned may still be valid, and so may those of an earlier term of this instance; former is what the
// last entry of the lease says of them.
func (s *Shares) Begin(now time.Time, hadHolder bool, former Entitled) {
	clear(s.members)
	clear(s.former)
	s.unlisted, s.unlistedUntil = 0, now.Add(s.term)
	if hadHolder || s.begun {
		s.unlisted = 1
		for hash, f := range former.fractions() {
			s.former[hash] = &share{fraction: f, expires: s.unlistedUntil, entered: f, entering: f}
			s.unlisted -= f
		}
	}
	s.begun = true
}

// Assign returns the entitlement of the instance at an address that reports the one that it holds,
// as one of a number of instances. Earlier processes at that address have ended, and what they held
// with them.
func (s *Shares) Assign(now time.Time, address string, held Entitlement, instances int) Entitlement {
	if !held.valid() || held.Left == 0 {
		held = Entitlement{}
	}
	own, known := s.members[address]
	if !known {
		own = s.takeFormer(addressHash(address))
		s.unlisted -= max(held.Fraction-own.fraction, 0)
		s.members[address] = own
	}
	assigned := s.Unknown(now)
	for name, m := range s.members {
		switch {
		case m == own:
		case m.unused(now):
			delete(s.members, name)
		default:
			assigned += m.reserved(now)
		}
	}
	next := max(min(1/float64(max(instances, 1)), 1-assigned), 0)
	// A lower fraction is in force only once the instance reports it: the reply may be lost.
	own.fraction, own.expires = max(next, held.Fraction), now.Add(s.term)
	return Entitlement{Fraction: next, Left: s.term}
}

// takeFormer removes and returns the share of the former term.
func (s *Shares) takeFormer(hash uint32) *share {
	if f, ok := s.former[hash]; ok {
		delete(s.former, hash)
		return f
	}
	return &share{}
}

// Entitled returns the instances that have an entitlement, for an entry of the lease. Those that have
// not reported yet in this term are named with what the entry before says.
func (s *Shares) Entitled(now time.Time) Entitled {
	e := Entitled{Part: 1}
	enter := func(hash uint32, m *share) {
		if now.Before(m.expires) && e.add(hash, m.fraction) {
			m.enter(m.fraction)
		} else {
			m.enter(0)
		}
	}
	for address, m := range s.members {
		enter(addressHash(address), m)
	}
	for hash, m := range s.former {
		enter(hash, m)
	}
	e.compact()
	return e
}

// Entered records that the entry that was last composed is in the log, and the last one there.
func (s *Shares) Entered() {
	for _, m := range s.members {
		m.entered = m.entering
	}
	for _, m := range s.former {
		m.entered = m.entering
	}
}

// Unknown returns how much former holders may have assigned to instances that have not reported. It
// can't be assigned until they have, or until it has expired.
func (s *Shares) Unknown(now time.Time) float64 {
	unknown := 0.0
	if now.Before(s.unlistedUntil) {
		unknown = max(s.unlisted, 0)
	}
	for hash, m := range s.former {
		if m.unused(now) {
			delete(s.former, hash)
			continue
		}
		unknown += m.reserved(now)
	}
	return min(unknown, 1)
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
