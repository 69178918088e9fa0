package leaser

import "time"

// Defaults of the settings.
const (
	DefaultTerm      = 6 * time.Second
	DefaultMargin    = time.Second
	DefaultRankDelay = time.Second
)

// renewalsPerTerm sets the renewal interval: a renewal is due once
// Term/renewalsPerTerm has passed, which leaves time for further attempts.
const renewalsPerTerm = 3

// Settings are the durations that govern a lease.
type Settings struct {
	// Term is how long a claim is valid.
	Term time.Duration
	// Margin is how long other instances wait beyond the term. It must exceed
	// the drift between two clocks within a term.
	Margin time.Duration
	// RankDelay is the additional wait per rank before an instance claims, so
	// that the instances eligible for the lease do not race for it.
	RankDelay time.Duration
}

// DefaultSettings returns the settings that serve uses.
func DefaultSettings() Settings {
	return Settings{Term: DefaultTerm, Margin: DefaultMargin, RankDelay: DefaultRankDelay}
}

// Elector tracks a lease from one instance's point of view and decides when
// that instance claims, renews or releases it. It is not safe for concurrent
// use.
type Elector struct {
	instance string
	settings Settings
	state    State
	// lastChangedAt is the local time at which state.Last was first observed.
	lastChangedAt time.Time
	observed      bool
	// expiresAt is when this instance's lease expires by its own clock. It is
	// set only by a claim that was read back from the log as accepted.
	expiresAt   time.Time
	claimSentAt time.Time
	// pending is set while the outcome of a claim or release is outstanding.
	pending bool
	// releasing is set from Release to ReleaseResolved.
	releasing bool
}

// NewElector returns an elector that has not observed the lease yet.
func NewElector(instance string, settings Settings) *Elector {
	return &Elector{instance: instance, settings: settings, state: NewState()}
}

// Observe updates the elector with the lease as read from the log.
func (e *Elector) Observe(now time.Time, s State) {
	if !e.observed || s.Last != e.state.Last {
		e.lastChangedAt = now
	}
	e.observed = true
	e.state = s
}

// State returns the lease as last observed.
func (e *Elector) State() State { return e.state }

// IsHolder reports whether the log names this instance as the lease holder, even
// if the lease has expired.
func (e *Elector) IsHolder() bool { return e.observed && e.state.Holder == e.instance }

// Valid reports whether this instance holds the lease and it has not expired by
// the instance's own clock. The process can be paused after this check, so an
// action that follows it may still happen after expiry: see package orderchecker.
func (e *Elector) Valid(now time.Time) bool {
	return e.IsHolder() && !e.releasing && now.Before(e.expiresAt)
}

// ExpiresAt returns when this instance's lease expires; zero if it has never
// held the lease or has released it.
func (e *Elector) ExpiresAt() time.Time { return e.expiresAt }

// Next returns the claim to append now, if one is due. Rank is this instance's
// rank among the owners of the shard, from 0, or negative if it is not one of
// them. No further claim is returned until ClaimResolved has received the outcome
// of this one.
func (e *Elector) Next(now time.Time, rank int) (Claim, bool) {
	if !e.observed || e.pending || e.releasing || !e.claimDue(now, rank) {
		return Claim{}, false
	}
	e.pending = true
	e.claimSentAt = now
	return Claim{Prev: e.state.Last, Term: e.settings.Term}, true
}

func (e *Elector) claimDue(now time.Time, rank int) bool {
	if e.IsHolder() {
		// A holder that no longer owns the shard renews until it hands over.
		return !now.Before(e.expiresAt.Add(-e.settings.Term * (renewalsPerTerm - 1) / renewalsPerTerm))
	}
	if rank < 0 {
		return false
	}
	wait := time.Duration(rank) * e.settings.RankDelay
	if e.state.Holder != "" {
		wait += e.state.Term + e.settings.Margin
	}
	return !now.Before(e.lastChangedAt.Add(wait))
}

// ClaimResolved applies the outcome of the claim that Next returned. A claim whose
// outcome is unknown counts as not accepted. If it does appear in the log later,
// IsHolder is true and Valid is false, and the next claim renews the lease.
func (e *Elector) ClaimResolved(accepted bool) {
	e.pending = false
	if accepted {
		e.expiresAt = e.claimSentAt.Add(e.settings.Term)
	}
}

// Release makes the lease invalid for this instance at once and returns the
// entry to append. It returns false if this instance is not the holder or a
// claim or release is pending. The outcome must be passed to
// ReleaseResolved.
func (e *Elector) Release() (Release, bool) {
	if !e.IsHolder() || e.pending {
		return Release{}, false
	}
	e.releasing = true
	e.pending = true
	e.expiresAt = time.Time{}
	return Release{Prev: e.state.Last}, true
}

// ReleaseResolved must be called when the outcome of the release is known or given up
// on. Release can be called again while the log still names this instance.
func (e *Elector) ReleaseResolved() {
	e.pending = false
	e.releasing = false
}
