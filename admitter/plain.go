package admitter

import "time"

const (
	// timeShare is the share of the time that a request has left that is counted on: the number of
	// requests at a server is known late, and changes by some ten in that time.
	timeShare = 0.8
	// settleReports is in how many intervals of the peers' reports the number of requests at the servers
	// is brought to the aim: twice their oldest age. What is corrected faster than it is seen swings.
	settleReports = 2
	// aimShare is the share of the places beyond the slots that are to be taken: in the middle, there is
	// as much room for errors that leave slots empty as for those that make requests late.
	aimShare = 0.5
	// busyShare is the number of requests, as a multiple of the slots, from which on the rate is limited:
	// where less is known to be there, one of the servers probably has a free slot.
	busyShare = 1.2
	// spareShare is the share of the slots up to which late requests are sent.
	spareShare = 0.8
	// creditTime is for how many requests beyond one an instance saves up, times the interval of the
	// reports: what all of them have saved and send is seen the later, the longer that is.
	creditTime = 300 * time.Millisecond
)

// PlainServer is a server that runs requests in the order in which they come, a number at a time.
type PlainServer struct {
	Slots int
	// Holding is the mean time for which a request holds a slot at a server of the usual speed,
	// Speed how fast this one is compared with that.
	Holding time.Duration
	Speed   float64
}

// service returns the mean time for which a request holds a slot of the server.
func (s PlainServer) service() time.Duration { return time.Duration(float64(s.Holding) / s.Speed) }

// Rate returns how many requests per second the server does with a number of them.
func (s PlainServer) Rate(requests float64) float64 {
	return min(requests, float64(s.Slots)) / s.service().Seconds()
}

// Sojourn returns after how long a request is answered that meets a number of others there.
func (s PlainServer) Sojourn(requests float64) time.Duration {
	turns := max(requests+1-float64(s.Slots), 0) / float64(s.Slots)
	return s.service() + time.Duration(turns*float64(s.service()))
}

// Places returns how many requests the server can hold such that a further one is answered within a
// time, as far as that can be counted on; at least its slots, since a free one is the best that a
// request can get.
func (s PlainServer) Places(left time.Duration) float64 {
	return max(float64(s.Slots)*timeShare*float64(left)/float64(s.service())-1, float64(s.Slots))
}

// Plain is what the plain servers hold that may get a request.
type Plain struct {
	// Requests is the number of requests there, Slots how many they run at a time, Rate how many they
	// do per second and Aim how many they should hold.
	Requests, Slots, Rate, Aim float64
	// Interval is the time between reports of the number of requests.
	Interval time.Duration
}

// Add adds a server with a number of requests. Objective is the time after which requests should be
// answered.
func (p *Plain) Add(s PlainServer, requests float64, objective time.Duration) {
	slots := float64(s.Slots)
	p.Requests += requests
	p.Slots += slots
	p.Rate += s.Rate(slots)
	p.Aim += slots + aimShare*(s.Places(objective)-slots)
}

// Busy reports whether the servers hold so many requests that further ones are sent at a rate.
func (p Plain) Busy() bool { return p.Requests >= busyShare*p.Slots }

// Spare reports whether servers have free slots that requests on time are not expected to need.
func (p Plain) Spare() bool { return p.Requests < spareShare*p.Slots }

// Sojourn returns after how long a request is answered that goes to any of the servers.
func (p Plain) Sojourn() time.Duration {
	if p.Rate <= 0 {
		return 0
	}
	return time.Duration(max(p.Requests, p.Slots) / p.Rate * float64(time.Second))
}

// SendRate returns the rate per second at which all instances should send requests while the servers are
// busy: what they do, and what brings the number of requests there to the aim.
func (p Plain) SendRate() float64 {
	return max(p.Rate+(p.Aim-p.Requests)/(settleReports*p.Interval.Seconds()), 0)
}

// MaxCredit returns for how many requests an instance may save up credit.
func (p Plain) MaxCredit() float64 { return 1 + float64(creditTime)/float64(p.Interval) }

// Credit is for how many requests an instance may send to busy plain servers. All instances know about
// the same numbers; so each sends its share, one after the other, rather than all of them together. The
// zero value has no credit.
type Credit struct {
	level float64
	at    time.Time
}

// Update adds what an instance gets of a rate since the last update, up to a number of requests.
func (c *Credit) Update(now time.Time, rate, most float64) {
	if !c.at.IsZero() {
		c.level = min(c.level+rate*now.Sub(c.at).Seconds(), most)
	}
	c.at = now
}

// Suffices reports whether there is credit for a request.
func (c *Credit) Suffices() bool { return c.level >= 1 }

// Use takes the credit for a request that is sent, as far as there is any: a request that gets a free
// slot needs none.
func (c *Credit) Use() { c.level = max(c.level-1, 0) }
