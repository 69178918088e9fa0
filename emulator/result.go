package emulator

import (
	"slices"
	"time"
)

const (
	// minAsked and minSpan say which keys count as requested through the day.
	minAsked = 4
	minSpan  = 8 * time.Second
)

// Result is what became of the requests of a day.
type Result struct {
	// Requested is how many models and adapters were requested four times or more over 8 s. Never are
	// those of them that were never served, sorted.
	Requested int
	Never     []string
	// Served is the share of all requests that were served.
	Served float64
	// Moves counts loads and unloads of models. Absent counts, by serviceplanner's reason, how often a
	// plan left a model or adapter in demand without a server that has it loaded.
	Moves  int
	Absent map[string]int
}

// outcome is what became of the requests for a model or adapter.
type outcome struct {
	asked, served int
	first, last   time.Duration
}

// result returns what became of the requests since the last reset.
func (f *Fleet) result() Result {
	r := Result{Moves: f.moves, Absent: f.absent}
	asked, served := 0, 0
	for key, o := range f.outcomes {
		asked, served = asked+o.asked, served+o.served
		if o.asked < minAsked || o.last-o.first < minSpan {
			continue
		}
		r.Requested++
		if o.served == 0 {
			r.Never = append(r.Never, key)
		}
	}
	slices.Sort(r.Never)
	if asked > 0 {
		r.Served = float64(served) / float64(asked)
	}
	return r
}

// reset discards the outcomes so far.
func (f *Fleet) reset() {
	for _, o := range f.outcomes {
		*o = outcome{first: f.now}
	}
	f.moves = 0
	clear(f.absent)
}
