package claimer

import (
	"time"

	"primrosehook/replayer"
)

// timeMargin is how far an agreed time may be behind the true time at its
// position in the log: MaxSkew for the difference of the two clocks, and the
// same for a delayed append.
const timeMargin = 2 * MaxSkew

// window determines which keys a shard has not yet forgotten. Its clock is a
// time that two instances agree on, so that one wrong clock, ahead or behind,
// neither forgets a key too early nor keeps one forever. The claim's own time is
// not enough: if the clock of one shard owner were a day ahead, a full shard
// would forget a key for each write.
//
// Example: the clock of a shard owner is a day ahead. The instances that forward
// writes to it report another time, so its claims don't advance the window. Once
// the shard is full, its writes go to the next owner, whose clock agrees with
// theirs.
type window struct {
	// Now is the newest time agreed on, in Unix seconds.
	Now int64 `msgpack:"n"`
	// ForgottenUntil is the time of the newest claim that was forgotten, in Unix
	// seconds.
	ForgottenUntil int64 `msgpack:"f"`
	// RefuseUndatedUntil is the time, in Unix seconds, until which a key without
	// a time may be one that a reset has forgotten. AwaitingTime is set after a
	// reset until a time has been agreed on.
	RefuseUndatedUntil int64 `msgpack:"b"`
	AwaitingTime       bool  `msgpack:"e"`
	// ResetAt is the position of the newest reset.
	ResetAt replayer.Position `msgpack:"r"`
}

// AgreedTime returns the earlier of two instances' times, in Unix seconds, or 0 if
// they differ by more than MaxSkew, so that one of them is wrong.
func AgreedTime(one, other int64) int64 {
	if max(one, other)-min(one, other) > int64(MaxSkew.Seconds()) {
		return 0
	}
	return min(one, other)
}

// advance moves the window to an agreed time. It reports false if there is none.
func (w *window) advance(now int64, remember time.Duration) bool {
	if now == 0 {
		return false
	}
	w.Now = max(w.Now, now)
	if w.AwaitingTime {
		// The keys lost by the reset were claimed before this time.
		w.AwaitingTime = false
		w.ForgottenUntil = w.Now
		w.RefuseUndatedUntil = w.Now + int64((remember + timeMargin).Seconds())
	}
	return true
}

// mayForget reports whether a key claimed by that time may be forgotten.
func (w *window) mayForget(at int64, remember time.Duration) bool {
	return at != 0 && w.Now-at > int64((remember+timeMargin).Seconds())
}

// admit returns Accepted if an unknown key is certainly new, and else why it may
// have been forgotten.
func (w *window) admit(c Claim) Answer {
	switch {
	case w.AwaitingTime:
		return Lost
	case c.Issued != 0 && w.ForgottenUntil != 0 && c.Issued <= w.ForgottenUntil+int64(MaxSkew.Seconds()):
		return Expired
	case c.Issued == 0 && w.RefuseUndatedUntil != 0 && w.Now <= w.RefuseUndatedUntil:
		return Lost
	}
	return Accepted
}

// Reset implements replayer.Resetter. The state is empty at that point, though
// keys in the lost records may have been claimed a moment ago. So an unknown key
// is refused until those would have expired, unless it contains a time that is
// newer.
func (m *Machine) Reset(at replayer.Position) { m.AwaitingTime, m.ResetAt = true, at }
