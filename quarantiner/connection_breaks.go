package quarantiner

import "time"

// breakWindow is how long before the loss of an engine is detected a connection
// to it may have broken because of that loss.
const breakWindow = 3 * time.Second

// maxBreaks bounds the number of broken connections remembered.
const maxBreaks = 4096

// ConnectionBreaks remembers requests whose connection broke until it is known
// whether the engine was lost: a connection may also break while its engine
// goes on, which is no evidence against the request. It is not safe for
// concurrent use.
type ConnectionBreaks struct {
	breaks map[string][]connectionBreak
	count  int
}

type connectionBreak struct {
	at     time.Time
	digest uint64
}

// NewConnectionBreaks returns an empty ConnectionBreaks.
func NewConnectionBreaks() *ConnectionBreaks {
	return &ConnectionBreaks{breaks: map[string][]connectionBreak{}}
}

// Record records that the connection of a request to an incarnation of an
// engine broke. At maxBreaks it first drops all earlier records.
func (c *ConnectionBreaks) Record(now time.Time, digest uint64, incarnation string) {
	if c.count >= maxBreaks {
		clear(c.breaks)
		c.count = 0
	}
	c.breaks[incarnation] = append(c.breaks[incarnation], connectionBreak{now, digest})
	c.count++
}

// EngineLost returns the digests of the requests whose connections broke
// because an incarnation of an engine was lost, each once, and drops their
// records.
func (c *ConnectionBreaks) EngineLost(now time.Time, incarnation string) []uint64 {
	var digests []uint64
	seen := map[uint64]bool{}
	for _, b := range c.breaks[incarnation] {
		if now.Sub(b.at) <= breakWindow && !seen[b.digest] {
			seen[b.digest] = true
			digests = append(digests, b.digest)
		}
	}
	c.count -= len(c.breaks[incarnation])
	delete(c.breaks, incarnation)
	return digests
}
