// Package leaser implements leases on top of a log stream. It does no I/O.
//
// State is the result of applying the lease's entries in log order, so every
// reader computes the same one. Elector adds one instance's local time: when it
// may claim, when it must renew, and whether its lease is still valid.
//
// A claim names the lease entry that it follows and is accepted only if that
// entry is still the last: a compare-and-set on the log. Entries contain no wall
// clock times. The holder counts its term from before it sent the claim; every
// other instance counts from when it read the claim, plus a margin for clock
// drift. Timestamps in the entries would require synchronized clocks, which
// the deployment does not guarantee.
//
// Example: A's claim is at position 4, and A is paused past its term. B and C
// have seen no renewal of 4 for the term and the margin, and each appends a claim
// with Prev 4. B's claim comes first, at 9, and is accepted. C's is rejected,
// because the last entry is now 9, and so is a renewal with Prev 4 that A had in
// flight.
package leaser

import (
	"time"

	"primrosehook/replayer"
)

// None is the position used where there is no lease entry.
const None replayer.Position = -1

// MaxTerm limits the term that a claim may request, so that a faulty instance
// cannot lock a shard for long.
const MaxTerm = 10 * time.Minute

// Claim is the entry that acquires or renews the lease.
type Claim struct {
	// Prev is the position of the last accepted lease entry, or None.
	Prev replayer.Position `msgpack:"p"`
	// Term is how long the claim is valid. The claimant counts it from before
	// it sent the claim.
	Term time.Duration `msgpack:"t"`
}

// Release is the entry that gives up the lease before it expires.
type Release struct {
	// Prev is the position of the last accepted lease entry.
	Prev replayer.Position `msgpack:"p"`
}

// State is the lease after a prefix of its entries was applied.
type State struct {
	// Holder is the instance whose claim was accepted last, or empty before the
	// first claim and after a release. Its lease may have expired, which the log
	// does not show.
	Holder string `msgpack:"h"`
	// Fence is the fencing token: the position of the claim with which the
	// holder acquired the lease. Renewals do not change it.
	Fence replayer.Position `msgpack:"f"`
	// Last is the position of the last accepted claim, renewal or release.
	Last replayer.Position `msgpack:"l"`
	// Term is the term of the last accepted claim; zero after a release.
	Term time.Duration `msgpack:"t"`
}

// NewState returns the state before the first entry.
func NewState() State { return State{Fence: None, Last: None} }

// Claim applies a claim by an instance at position p and reports whether it was
// accepted.
func (s *State) Claim(p replayer.Position, instance string, c Claim) bool {
	if c.Prev != s.Last || c.Term <= 0 || c.Term > MaxTerm || instance == "" {
		return false
	}
	if s.Holder != instance {
		s.Fence = p
	}
	s.Holder = instance
	s.Last = p
	s.Term = c.Term
	return true
}

// Release applies a release by an instance at position p and reports whether it
// was accepted.
func (s *State) Release(p replayer.Position, instance string, r Release) bool {
	if r.Prev != s.Last || s.Holder != instance {
		return false
	}
	*s = State{Fence: None, Last: p}
	return true
}
