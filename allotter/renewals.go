package allotter

import (
	"time"

	"primrosehook/decayer"
)

const (
	// renewalMargin is how much longer than the time between two answered reports an entitlement is
	// delegated. While it lasts, nobody grants from it if the one that has it is lost.
	renewalMargin = 250 * time.Millisecond
	// renewalWindow is how long a long time between two answered reports counts. More than
	// maxRenewalDelay beyond the usual pause does not.
	renewalWindow   = 5 * time.Second
	maxRenewalDelay = 500 * time.Millisecond
)

// Renewals tell for how long an instance delegates its entitlement with a report. An arbiter on a busy
// machine receives reports late or answers them late. With a time that is too short for that it would lose the
// fractions of its members between any two reports. The zero value knows of no report.
type Renewals struct {
	gaps decayer.Peak
	// longest is the longest time of late between two reports that receiver has answered, the last
	// of which was sent at answeredAt.
	longest    time.Duration
	receiver   string
	answeredAt time.Time
}

// Answered records the answer of an instance to a report that was sent at a time.
func (r *Renewals) Answered(sent time.Time, receiver string) {
	gap := time.Duration(0)
	if receiver == r.receiver {
		gap = sent.Sub(r.answeredAt)
	}
	r.longest = time.Duration(r.gaps.Add(sent, renewalWindow, int(gap)))
	r.receiver, r.answeredAt = receiver, sent
}

// TTL returns the time for a report that is sent now, where pause is the usual time between two.
func (r *Renewals) TTL(pause time.Duration) time.Duration {
	return min(max(r.longest, pause), pause+maxRenewalDelay) + renewalMargin
}
