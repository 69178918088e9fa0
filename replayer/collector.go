package replayer

import "github.com/vmihailenco/msgpack/v5"

// maxPartials is the largest number of unfinished snapshots that are kept. A
// writer that crashes between two parts leaves one behind.
const maxPartials = 4

// MaxParts is the largest number of parts of a snapshot.
const MaxParts = 512

// collector assembles snapshots from their parts.
type collector struct {
	partials []*partial
}

// partial is a snapshot of which some parts have been received.
type partial struct {
	header   Snapshot
	states   [][]byte
	received []bool
	missing  int
}

// add adds a part and returns its snapshot once all parts have been received.
// The state is assembled only if keepState is set: a complete replica only needs
// to know that there is a snapshot.
func (c *collector) add(e Entry, keepState bool) (Snapshot, bool) {
	var s Snapshot
	if err := msgpack.Unmarshal(e.Body, &s); err != nil {
		return s, false
	}
	if s.Parts <= 1 {
		return s, true
	}
	if s.Parts > MaxParts || s.Part < 0 || s.Part >= s.Parts {
		return s, false
	}
	p := c.findOrAdd(s)
	if p.received[s.Part] {
		return s, false
	}
	p.received[s.Part] = true
	p.missing--
	if keepState {
		p.states[s.Part] = s.State
	}
	if p.missing > 0 {
		return s, false
	}
	s.State = concat(p.states)
	return s, true
}

func (c *collector) findOrAdd(s Snapshot) *partial {
	for _, p := range c.partials {
		if p.header.Read == s.Read && p.header.Writer == s.Writer && p.header.Parts == s.Parts && p.header.Time == s.Time {
			return p
		}
	}
	header := s
	header.State = nil
	p := &partial{header: header, states: make([][]byte, s.Parts), received: make([]bool, s.Parts), missing: s.Parts}
	c.partials = append(c.partials, p)
	if len(c.partials) > maxPartials {
		c.partials = c.partials[1:]
	}
	return p
}

func concat(parts [][]byte) []byte {
	var all []byte
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}
