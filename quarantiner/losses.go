package quarantiner

import "time"

// breakWindow is how long before the loss of an engine is detected a connection
// to it may have broken because of that loss.
const breakWindow = 3 * time.Second

// maxBreaks bounds the number of broken connections remembered.
const maxBreaks = 4096

// Losses remembers requests whose connection broke until it is known whether
// the engine was lost: a connection may also break while its engine goes on,
// which is no evidence against the request. It is not safe for concurrent use.
type Losses struct {
	breaks map[string][]connectionBreak
	count  int
}

type connectionBreak struct {
	at     time.Time
	digest uint64
}

// NewLosses returns an empty Losses.
func NewLosses() *Losses { return &Losses{breaks: map[string][]connectionBreak{}} }

// Broke records that the connection of a request to an incarnation of an
// engine broke. At maxBreaks it first drops all earlier records.
func (l *Losses) Broke(now time.Time, digest uint64, incarnation string) {
	if l.count >= maxBreaks {
		clear(l.breaks)
		l.count = 0
	}
	l.breaks[incarnation] = append(l.breaks[incarnation], connectionBreak{now, digest})
	l.count++
}

// Lost returns the digests of the requests whose connections broke because an
// incarnation of an engine was lost, each once, and drops their records.
func (l *Losses) Lost(now time.Time, incarnation string) []uint64 {
	var digests []uint64
	seen := map[uint64]bool{}
	for _, b := range l.breaks[incarnation] {
		if now.Sub(b.at) <= breakWindow && !seen[b.digest] {
			seen[b.digest] = true
			digests = append(digests, b.digest)
		}
	}
	l.count -= len(l.breaks[incarnation])
	delete(l.breaks, incarnation)
	return digests
}
