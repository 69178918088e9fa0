package throttler

import (
	"maps"
	"slices"
	"time"
)

// maxStatements bounds the servers whose statements are kept.
const maxStatements = 4096

// Statement is what a server last said about the rate at which it takes requests.
type Statement struct {
	// Incarnation identifies the server.
	Incarnation string `msgpack:"s"`
	// Limited is false if the server named no limit. PerSecond is the limit for all
	// instances together, in requests per second.
	Limited   bool    `msgpack:"l"`
	PerSecond float64 `msgpack:"r"`
	// Age is the time since the server said so. Clocks differ between machines, so
	// instances exchange ages. ID is random. Each instance takes a statement once:
	// its age does not grow in transit, so it would get newer with each exchange.
	Age time.Duration `msgpack:"a"`
	ID  uint64        `msgpack:"i"`
}

// Statements holds the newest statement of each server that has ever named a
// limit. That a server has dropped its limit is kept as well, so that an older
// statement from a peer does not restore it. It is not safe for concurrent use.
//
// Times are those of a clock that goes on while the machine is suspended: after
// that, what this instance knows must not pass for new.
type Statements struct {
	known map[string]statement
}

type statement struct {
	limited   bool
	perSecond float64
	at        time.Time
	id        uint64
}

// NewStatements returns an empty Statements.
func NewStatements() *Statements { return &Statements{known: map[string]statement{}} }

// Add adds a statement unless a newer one of the server is known, and reports
// whether it changes the server's limit. A server without a limit is kept only if
// it had one.
func (s *Statements) Add(now time.Time, x Statement) bool {
	old, ok := s.known[x.Incarnation]
	at := now.Add(-x.Age)
	if ok && (x.ID == old.id || !at.After(old.at)) || !ok && (!x.Limited || len(s.known) >= maxStatements) {
		return false
	}
	s.known[x.Incarnation] = statement{limited: x.Limited, perSecond: x.PerSecond, at: at, id: x.ID}
	return old.limited != x.Limited || old.perSecond != x.PerSecond
}

// Limit returns the limit of a server in requests per second, and whether it has
// one.
func (s *Statements) Limit(incarnation string) (float64, bool) {
	x := s.known[incarnation]
	return x.perSecond, x.limited
}

// Get returns the newest statement of a server, and whether there is one.
func (s *Statements) Get(now time.Time, incarnation string) (Statement, bool) {
	x, ok := s.known[incarnation]
	return Statement{Incarnation: incarnation, Limited: x.limited, PerSecond: x.perSecond, Age: now.Sub(x.at), ID: x.id}, ok
}

// Export returns all statements, ordered by server.
func (s *Statements) Export(now time.Time) []Statement {
	list := make([]Statement, 0, len(s.known))
	for _, incarnation := range slices.Sorted(maps.Keys(s.known)) {
		x, _ := s.Get(now, incarnation)
		list = append(list, x)
	}
	return list
}

// Retain drops the statements of the servers that keep rejects.
func (s *Statements) Retain(keep func(incarnation string) bool) {
	maps.DeleteFunc(s.known, func(incarnation string, _ statement) bool { return !keep(incarnation) })
}
