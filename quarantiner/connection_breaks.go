package quarantiner

import "time"

// breakWindow is how long before the loss of an engine is detected a connection
// to it may have broken because of that loss.
const breakWindow = 3 * time.Second

// replacedWindow is how long before or after an engine was found to be replaced by another
// incarnation a connection to it may have broken because of its loss.
const replacedWindow = 15 * time.Second

// maxReplaced bounds the number of replaced incarnations remembered.
const maxReplaced = 1024

// maxBreaks bounds the number of broken connections remembered.
const maxBreaks = 4096

// ConnectionBreaks remembers requests whose connection broke until it is known
// whether the engine was lost: a connection may also break while its engine
// goes on, which is no evidence against the request. It is not safe for
// concurrent use.
type ConnectionBreaks struct {
	breaks map[string][]ConnectionBreak
	count  int
}

// ConnectionBreak is a connection that broke under a request.
type ConnectionBreak struct {
	Identity
	At time.Time
}

// NewConnectionBreaks returns an empty ConnectionBreaks.
func NewConnectionBreaks() *ConnectionBreaks {
	return &ConnectionBreaks{breaks: map[string][]ConnectionBreak{}}
}

// Record records that the connection of a request to an incarnation of an
// engine broke. At maxBreaks it first drops all earlier records.
func (c *ConnectionBreaks) Record(now time.Time, id Identity, incarnation string) {
	if c.count >= maxBreaks {
		clear(c.breaks)
		c.count = 0
	}
	c.breaks[incarnation] = append(c.breaks[incarnation], ConnectionBreak{id, now})
	c.count++
}

// EngineLost returns the connections that broke within a time because an incarnation of
// an engine was lost, the first one of each request, and drops their records.
func (c *ConnectionBreaks) EngineLost(now time.Time, incarnation string, within time.Duration) []ConnectionBreak {
	var lost []ConnectionBreak
	seen := map[uint64]bool{}
	for _, b := range c.breaks[incarnation] {
		if now.Sub(b.At) <= within && !seen[b.Digest] {
			seen[b.Digest] = true
			lost = append(lost, b)
		}
	}
	c.count -= len(c.breaks[incarnation])
	delete(c.breaks, incarnation)
	return lost
}
