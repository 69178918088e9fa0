package leaser

import "time"

// Defaults of the settings.
const (
	DefaultTerm    = 6 * time.Second
	DefaultMargin  = time.Second
	DefaultStagger = time.Second
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
	// Stagger is the additional wait per rank before an instance claims, so
	// that the instances eligible for the lease do not race for it.
	Stagger time.Duration
}

// DefaultSettings returns the settings that serve uses.
func DefaultSettings() Settings {
	return Settings{Term: DefaultTerm, Margin: DefaultMargin, Stagger: DefaultStagger}
}

// Keeper tracks a lease from one instance's point of view and decides when
// that instance claims, renews or releases it. It is not safe for concurrent
// use.
type Keeper struct {
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
	// releasing is set from Release to Released.
	releasing bool
}

// NewKeeper returns a keeper that has not observed the lease yet.
func NewKeeper(instance string, settings Settings) *Keeper {
	return &Keeper{instance: instance, settings: settings, state: NewState()}
}

// Observe updates the keeper with the lease as read from the log.
func (k *Keeper) Observe(now time.Time, s State) {
	if !k.observed || s.Last != k.state.Last {
		k.lastChangedAt = now
	}
	k.observed = true
	k.state = s
}

// State returns the lease as last observed.
func (k *Keeper) State() State { return k.state }

// Mine reports whether the log names this instance as the lease holder, even
// if the lease has expired.
func (k *Keeper) Mine() bool { return k.observed && k.state.Holder == k.instance }

// Valid reports whether this instance holds the lease and it has not expired by
// the instance's own clock. The process can be paused after this check, so an
// action that follows it may still happen after expiry: see package orderer.
func (k *Keeper) Valid(now time.Time) bool {
	return k.Mine() && !k.releasing && now.Before(k.expiresAt)
}

// ExpiresAt returns when this instance's lease expires; zero if it has never
// held the lease or has released it.
func (k *Keeper) ExpiresAt() time.Time { return k.expiresAt }

// Next returns the claim to append now, if one is due. Rank is this instance's
// rank among the owners of the shard, from 0, or negative if it is not one of
// them. No further claim is returned until Settled has received the outcome of
// this one.
func (k *Keeper) Next(now time.Time, rank int) (Claim, bool) {
	if !k.observed || k.pending || k.releasing || !k.claimDue(now, rank) {
		return Claim{}, false
	}
	k.pending = true
	k.claimSentAt = now
	return Claim{Prev: k.state.Last, Term: k.settings.Term}, true
}

func (k *Keeper) claimDue(now time.Time, rank int) bool {
	if k.Mine() {
		// A holder that no longer owns the shard renews until it hands over.
		return !now.Before(k.expiresAt.Add(-k.settings.Term * (renewalsPerTerm - 1) / renewalsPerTerm))
	}
	if rank < 0 {
		return false
	}
	wait := time.Duration(rank) * k.settings.Stagger
	if k.state.Holder != "" {
		wait += k.state.Term + k.settings.Margin
	}
	return !now.Before(k.lastChangedAt.Add(wait))
}

// Settled applies the outcome of the claim that Next returned. A claim whose
// outcome is unknown counts as not accepted. If it does appear in the log later,
// Mine is true and Valid is false, and the next claim renews the lease.
func (k *Keeper) Settled(accepted bool) {
	k.pending = false
	if accepted {
		k.expiresAt = k.claimSentAt.Add(k.settings.Term)
	}
}

// Release makes the lease invalid for this instance at once and returns the
// entry to append. It returns false if this instance is not the holder or a
// claim or release is pending. The outcome must be passed to Released.
func (k *Keeper) Release() (Release, bool) {
	if !k.Mine() || k.pending {
		return Release{}, false
	}
	k.releasing = true
	k.pending = true
	k.expiresAt = time.Time{}
	return Release{Prev: k.state.Last}, true
}

// Released must be called when the outcome of the release is known or given up
// on. Release can be called again while the log still names this instance.
func (k *Keeper) Released() {
	k.pending = false
	k.releasing = false
}
