package quarantiner

import "time"

// breakWindow is how long before the loss of an engine a connection to it may
// have broken on account of that loss.
const breakWindow = 3 * time.Second

// breaksKept bounds the breaks that are remembered.
const breaksKept = 4096

// Losses holds requests whose connection broke until it is known whether the
// engine was lost: a connection may also break alone, which says nothing of
// the request. It is not safe for concurrent use.
type Losses struct {
	breaks map[string][]broken
	count  int
}

type broken struct {
	at     time.Time
	digest uint64
}

// NewLosses returns an empty Losses.
func NewLosses() *Losses { return &Losses{breaks: map[string][]broken{}} }

// Broke notes that the connection of a request to an engine's life broke.
func (l *Losses) Broke(now time.Time, digest uint64, life string) {
	if l.count >= breaksKept {
		clear(l.breaks)
		l.count = 0
	}
	l.breaks[life] = append(l.breaks[life], broken{now, digest})
	l.count++
}

// Lost returns the requests whose connections broke on account of the loss of
// an engine's life, each once.
func (l *Losses) Lost(now time.Time, life string) []uint64 {
	var list []uint64
	seen := map[uint64]bool{}
	for _, b := range l.breaks[life] {
		if now.Sub(b.at) <= breakWindow && !seen[b.digest] {
			seen[b.digest] = true
			list = append(list, b.digest)
		}
	}
	l.count -= len(l.breaks[life])
	delete(l.breaks, life)
	return list
}
