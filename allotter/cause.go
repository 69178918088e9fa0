package allotter

import "time"

// Cause is why a request is refused for the cap. Its numbers are part of AllotReply.
type Cause int

// Causes of refusals. Only the first two concern usage above a cap.
const (
	// CauseUnspecified is the cause that an arbiter of an earlier build states.
	CauseUnspecified Cause = iota
	// CauseOverCap is usage above the cap.
	CauseOverCap
	// CauseCapLowered is usage above a cap that a version of the configuration lowered within the
	// last window.
	CauseCapLowered
	// CauseNoEntitlement is an arbiter that a part of the cap is missing at: it is not assigned, or
	// its instances delegate to nobody.
	CauseNoEntitlement
	// CauseNoArbiter is a request for credit that no arbiter answered.
	CauseNoArbiter
	// CauseLate is credit that would have been there within longestWait, and was not.
	CauseLate
)

// String returns the name of the cause in metrics and logs.
func (c Cause) String() string {
	switch c {
	case CauseOverCap:
		return "over_cap"
	case CauseCapLowered:
		return "cap_lowered"
	case CauseNoEntitlement:
		return "no_entitlement"
	case CauseNoArbiter:
		return "no_arbiter"
	case CauseLate:
		return "late_credit"
	default:
		return "unspecified"
	}
}

// Denial says why a request is refused, and how long to wait until it may be granted.
type Denial struct {
	Wait  time.Duration
	Cause Cause
}
