// Package orderchecker decides which load and unload orders may be sent to engines,
// so that no engine's accelerator memory is ever overcommitted. It does no I/O.
//
// Machine is the state machine of a pool's stream. It holds the lease and, for
// each engine, the last recorded report and every order whose message may still
// reach the engine. Controller is one instance's side: it decides what to append
// and what to send.
//
// An order is sent only after its intent was read back as accepted, and an
// intent is accepted only if the engine's memory suffices in the worst case. A
// lease holder that is paused between its last check and its send can still send
// late, but its successor has read the log up to its own claim and has therefore
// counted the order. Fencing tokens alone would not protect an engine that
// ignores them.
//
// The base of an engine's account is a report that the lease holder requested
// after it had read every log entry about the engine. The settle entry that
// records the report is accepted only if no other entry about the engine came in
// between (Machine.Basis). Adding and subtracting the outcomes of single orders
// would be wrong as soon as a former lease holder appends an outcome late.
//
// Example: a former lease holder's "load A on E" has a confirmed intent, and E,
// which ignores fencing tokens, has not reported the order. A counts on E in
// addition to all that E reports, until E reports that order's id, or the former
// holder appends a withdrawal, or the platform has not listed the former holder for
// longer than a message can be in transit.
package orderchecker

import (
	"primrosehook/driver"
	"primrosehook/replayer"
)

// The kinds of entries in a pool's stream.
const (
	KindClaim    = "claim"
	KindRelease  = "release"
	KindIntent   = "intent"
	KindSettle   = "settle"
	KindWithdraw = "withdraw"
)

// maxMemoryMB is the upper limit of every amount of memory in an entry, so that
// sums cannot overflow.
const maxMemoryMB = 1 << 40

// validMemory reports whether an amount in MB is within the accepted range.
func validMemory(memory int64) bool { return memory >= 0 && memory <= maxMemoryMB }

// Intent is the entry that precedes an order. Order.Fence is the lease's fencing
// token.
type Intent struct {
	Engine string       `msgpack:"e"`
	Order  driver.Order `msgpack:"o"`
	// Reserve is the memory in MB that requests in flight may use after a change
	// of role. The larger of it and the current reserve counts.
	Reserve int64 `msgpack:"r,omitempty"`
	// Why is the reason for the order, in one sentence for the operator.
	Why string `msgpack:"y,omitempty"`
}

// Closure states that no message of an order can reach its engine any more.
type Closure struct {
	Order string `msgpack:"o"`
	Why   string `msgpack:"y"`
}

// Settle is the entry by which the lease holder records a report of an engine, and
// with it the outcomes of orders.
type Settle struct {
	Fence  replayer.Position `msgpack:"f"`
	Engine string            `msgpack:"e"`
	// Basis is what Machine.Basis returned before the report was requested.
	Basis replayer.Position `msgpack:"b"`
	Boot  string            `msgpack:"bt"`
	// Fences is set if the engine rejects orders with old fencing tokens. Number
	// is the highest token that it has seen since its start.
	Fences bool  `msgpack:"fs,omitempty"`
	Number int64 `msgpack:"n,omitempty"`
	// Total, Reserve and the memory of the loaded weights are in MB.
	Total     int64                  `msgpack:"t"`
	Reserve   int64                  `msgpack:"rs"`
	Residents []driver.LoadedWeights `msgpack:"res,omitempty"`
	// Orders are the tracked orders that the engine reports.
	Orders []driver.OrderOutcome `msgpack:"ord,omitempty"`
	// Closed are tracked orders that had no message in transit any more when
	// the engine made the report.
	Closed []Closure `msgpack:"c,omitempty"`
	// Gone removes the account of an engine that has left the platform.
	Gone bool `msgpack:"g,omitempty"`
}

// Withdraw is the entry by which the instance that appended an intent states that
// no message of the order is in transit and that none will be sent.
type Withdraw struct {
	Engine string `msgpack:"e"`
	Order  string `msgpack:"o"`
	// Sent is set if the order was sent earlier, so that it may have run.
	Sent bool `msgpack:"s,omitempty"`
}

// Reason is why an entry was rejected; empty if it was accepted.
type Reason string

// Reasons for which entries are rejected.
const (
	ReasonLease     Reason = "the lease has another last entry"
	ReasonFence     Reason = "the fencing number is not the holder's"
	ReasonEngine    Reason = "the engine has no reading yet"
	ReasonBusy      Reason = "the engine has an unresolved order of this holder"
	ReasonConflict  Reason = "an unresolved order is about the same weights"
	ReasonLoaded    Reason = "the weights are resident already"
	ReasonNotLoaded Reason = "the weights are not resident"
	ReasonMemory    Reason = "the worst case does not fit into memory"
	ReasonRestart   Reason = "the worst case after a restart does not fit into memory"
	ReasonBasis     Reason = "the engine's account has moved on"
	ReasonOrder     Reason = "the order is not tracked"
	ReasonMalformed Reason = "the entry is malformed"
)

// Result is the outcome of applying an entry.
type Result struct {
	Reason Reason
}

// Accepted reports whether the entry was accepted.
func (r Result) Accepted() bool { return r.Reason == "" }

// The states of a tracked order.
const (
	// StateOpen is an order that may still take effect; its memory counts.
	StateOpen = "open"
	// StateSettled is an order that has ended since the engine's last start. A
	// duplicate of it may run after a restart, or at once if the engine does not
	// remember order ids.
	StateSettled = "settled"
	// StateFenced is an order that the engine rejects until its next start.
	StateFenced = "fenced"
)

// Tracked is an order whose message may still reach its engine.
type Tracked struct {
	Order   driver.Order      `msgpack:"o"`
	Holder  string            `msgpack:"h"`
	At      replayer.Position `msgpack:"p"`
	State   string            `msgpack:"s"`
	Reserve int64             `msgpack:"r,omitempty"`
	// Quiet is set once the instance in Holder has withdrawn the order after it
	// was sent: no message of it is in transit.
	Quiet bool   `msgpack:"q,omitempty"`
	Why   string `msgpack:"y,omitempty"`
}

// loadMemory returns the memory that the order may add, in MB.
func (t *Tracked) loadMemory() int64 {
	if t.Order.Op == driver.OpLoad {
		return t.Order.MemoryMB
	}
	return 0
}

// Engine is the memory account of one engine: the last recorded report and the
// orders whose messages may still reach it. Memory is in MB.
type Engine struct {
	Name string `msgpack:"e"`
	// Last is the position of the last accepted entry about the engine.
	Last      replayer.Position      `msgpack:"l"`
	Boot      string                 `msgpack:"bt"`
	Fences    bool                   `msgpack:"fs,omitempty"`
	Total     int64                  `msgpack:"t"`
	Reserve   int64                  `msgpack:"rs"`
	Residents []driver.LoadedWeights `msgpack:"res,omitempty"`
	// Tracked is sorted by the positions of the intents.
	Tracked []Tracked `msgpack:"tr,omitempty"`
}

// WorstCase returns the most memory in MB that the engine can use without a further
// intent. A load that has ended and whose weights are no longer loaded counts
// until the order is closed, because an engine that does not remember order ids
// may run a duplicate of it.
func (e *Engine) WorstCase() int64 {
	reserve := e.Reserve
	sum := int64(0)
	for _, r := range e.Residents {
		sum += r.MemoryMB
	}
	for i := range e.Tracked {
		t := &e.Tracked[i]
		switch {
		case t.State == StateOpen, t.State == StateSettled && !e.HasLoaded(t.Order.Weights):
			sum += t.loadMemory()
			reserve = max(reserve, t.Reserve)
		}
	}
	return sum + reserve
}

// WorstAfterRestart returns the most memory in MB that the engine can use if it restarts
// now: it forgets order ids and fencing tokens, so a duplicate of each tracked
// order may run.
func (e *Engine) WorstAfterRestart() int64 {
	reserve := e.Reserve
	sum := int64(0)
	for i := range e.Tracked {
		t := &e.Tracked[i]
		sum += t.loadMemory()
		reserve = max(reserve, t.Reserve)
	}
	return sum + reserve
}

// Free returns the memory in MB that a new order may use.
func (e *Engine) Free() int64 {
	return e.Total - max(e.WorstCase(), e.WorstAfterRestart())
}

// HasLoaded reports whether the last recorded report lists the weights.
func (e *Engine) HasLoaded(w driver.Weights) bool {
	for _, r := range e.Residents {
		if r.Weights == w {
			return true
		}
	}
	return false
}

// Open returns the orders that may still take effect.
func (e *Engine) Open() []Tracked {
	var open []Tracked
	for _, t := range e.Tracked {
		if t.State == StateOpen {
			open = append(open, t)
		}
	}
	return open
}

func (e *Engine) tracked(id string) *Tracked {
	for i := range e.Tracked {
		if e.Tracked[i].Order.ID == id {
			return &e.Tracked[i]
		}
	}
	return nil
}

func (e *Engine) untrack(id string) {
	for i := range e.Tracked {
		if e.Tracked[i].Order.ID == id {
			e.Tracked = append(e.Tracked[:i], e.Tracked[i+1:]...)
			return
		}
	}
}
