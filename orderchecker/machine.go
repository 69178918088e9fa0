package orderchecker

import (
	"sort"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/driver"
	"primrosehook/leaser"
	"primrosehook/replayer"
)

// Machine is the state machine of a pool's stream.
type Machine struct {
	lease   leaser.State
	engines map[string]*Engine
	// lastRemoval is the position of the last entry that removed an engine's
	// account.
	lastRemoval replayer.Position
}

var _ replayer.Machine[Result] = (*Machine)(nil)

// NewMachine returns the machine before the first entry.
func NewMachine() *Machine {
	return &Machine{lease: leaser.NewState(), engines: map[string]*Engine{}, lastRemoval: leaser.None}
}

// Lease returns the state of the lease.
func (m *Machine) Lease() leaser.State { return m.lease }

// Engine returns the account of an engine, or nil if there is none. The caller
// must not modify it.
func (m *Machine) Engine(name string) *Engine { return m.engines[name] }

// Basis returns the position of the last accepted entry about an engine. For an
// engine without an account it is the last entry that removed any account, so
// that a report from before the removal cannot create the account again.
func (m *Machine) Basis(name string) replayer.Position {
	if e, ok := m.engines[name]; ok {
		return e.Last
	}
	return m.lastRemoval
}

// Engines returns all accounts, sorted by name. The caller must not modify them.
func (m *Machine) Engines() []*Engine {
	all := make([]*Engine, 0, len(m.engines))
	for _, e := range m.engines {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Apply implements replayer.Machine.
func (m *Machine) Apply(p replayer.Position, e replayer.Entry) Result {
	instance := e.Origin.Instance
	switch e.Kind {
	case KindClaim:
		return applyDecoded(e, func(c leaser.Claim) Reason { return leaseReason(m.lease.Claim(p, instance, c)) })
	case KindRelease:
		return applyDecoded(e, func(r leaser.Release) Reason { return leaseReason(m.lease.Release(p, instance, r)) })
	case KindIntent:
		return applyDecoded(e, func(i Intent) Reason { return m.applyIntent(p, instance, i) })
	case KindSettle:
		return applyDecoded(e, func(s Settle) Reason { return m.applySettle(p, instance, s) })
	case KindWithdraw:
		return applyDecoded(e, func(w Withdraw) Reason { return m.applyWithdraw(p, instance, w) })
	}
	return Result{Reason: ReasonMalformed}
}

func applyDecoded[B any](e replayer.Entry, apply func(B) Reason) Result {
	var body B
	if err := msgpack.Unmarshal(e.Body, &body); err != nil {
		return Result{Reason: ReasonMalformed}
	}
	return Result{Reason: apply(body)}
}

func leaseReason(accepted bool) Reason {
	if accepted {
		return ""
	}
	return ReasonLease
}

func (m *Machine) hasLease(instance string, fence replayer.Position) bool {
	return fence != leaser.None && fence == m.lease.Fence && instance == m.lease.Holder
}

func (m *Machine) applyIntent(p replayer.Position, instance string, i Intent) Reason {
	if !m.hasLease(instance, replayer.Position(i.Order.Fence)) {
		return ReasonFence
	}
	e, ok := m.engines[i.Engine]
	if !ok {
		return ReasonEngine
	}
	if reason := e.rejection(i); reason != "" {
		return reason
	}
	e.Tracked = append(e.Tracked, Tracked{
		Order: i.Order, Holder: instance, At: p,
		State: StateOpen, Reserve: i.Reserve, Why: i.Why,
	})
	e.Last = p
	return ""
}

// rejection returns why an intent is rejected, or empty if it is acceptable.
func (e *Engine) rejection(i Intent) Reason {
	o := i.Order
	if o.ID == "" || !validMemory(o.MemoryMB) || !validMemory(i.Reserve) || e.tracked(o.ID) != nil {
		return ReasonMalformed
	}
	for _, t := range e.Open() {
		if t.Order.Fence == o.Fence {
			return ReasonBusy
		}
		if t.Order.Weights == o.Weights && o.Op != driver.OpFence {
			return ReasonConflict
		}
	}
	switch o.Op {
	case driver.OpLoad:
		if e.HasLoaded(o.Weights) {
			return ReasonLoaded
		}
	case driver.OpUnload:
		if !e.HasLoaded(o.Weights) {
			return ReasonNotLoaded
		}
		return ""
	case driver.OpFence:
		return ""
	case driver.OpRole:
	default:
		return ReasonMalformed
	}
	added := max(0, i.Reserve-e.Reserve)
	if o.Op == driver.OpLoad {
		added += o.MemoryMB
	}
	if e.WorstCase()+added > e.Total {
		return ReasonMemory
	}
	if e.WorstAfterRestart()+added > e.Total {
		return ReasonRestart
	}
	return ""
}

func (m *Machine) applySettle(p replayer.Position, instance string, s Settle) Reason {
	if !m.hasLease(instance, s.Fence) {
		return ReasonFence
	}
	if !s.wellFormed() {
		return ReasonMalformed
	}
	if s.Basis != m.Basis(s.Engine) {
		return ReasonBasis
	}
	e, ok := m.engines[s.Engine]
	if s.Gone {
		return m.removeEngine(p, e, s)
	}
	if !ok {
		e = &Engine{Name: s.Engine, Boot: s.Boot}
		m.engines[s.Engine] = e
	}
	e.Last = p
	e.update(s)
	return ""
}

func (s *Settle) wellFormed() bool {
	if s.Engine == "" || !validMemory(s.Total) || !validMemory(s.Reserve) {
		return false
	}
	for _, r := range s.Residents {
		if !validMemory(r.MemoryMB) {
			return false
		}
	}
	return true
}

// removeEngine removes the account of an engine, unless a message to the engine
// may still be in transit: the platform's instance list lags, so the engine may
// still be running.
func (m *Machine) removeEngine(p replayer.Position, e *Engine, s Settle) Reason {
	if e == nil {
		return ReasonEngine
	}
	e.Last = p
	for _, c := range s.Closed {
		e.untrack(c.Order)
	}
	if len(e.Tracked) == 0 {
		delete(m.engines, e.Name)
		m.lastRemoval = p
	}
	return ""
}

// update applies a recorded report to the account.
func (e *Engine) update(s Settle) {
	if e.Boot != s.Boot {
		// A restarted engine has forgotten order ids and fencing tokens, so any
		// tracked order may run again.
		for i := range e.Tracked {
			e.Tracked[i].State = StateOpen
		}
	}
	e.Boot = s.Boot
	e.Fences = s.Fences
	e.Total = s.Total
	e.Reserve = s.Reserve
	e.Residents = s.Residents
	running := map[string]bool{}
	for _, o := range s.Orders {
		if o.Outcome == driver.OutcomeRunning {
			running[o.ID] = true
		} else if t := e.tracked(o.ID); t != nil {
			t.State = StateSettled
		}
	}
	for i := range e.Tracked {
		t := &e.Tracked[i]
		// An order that arrived before the engine saw the newer token keeps
		// running.
		if t.State == StateOpen && s.Fences && t.Order.Fence < s.Number && !running[t.Order.ID] {
			t.State = StateFenced
		}
	}
	for _, c := range s.Closed {
		e.untrack(c.Order)
	}
}

func (m *Machine) applyWithdraw(p replayer.Position, instance string, w Withdraw) Reason {
	e, ok := m.engines[w.Engine]
	if !ok {
		return ReasonEngine
	}
	t := e.tracked(w.Order)
	if t == nil || t.Holder != instance {
		return ReasonOrder
	}
	e.Last = p
	if w.Sent {
		// The order may have run, so its memory counts until a later report.
		t.Quiet = true
		return ""
	}
	e.untrack(w.Order)
	return ""
}

// snapshot is the encoded state of a Machine. Its engines are sorted, so that
// every instance writes the same bytes.
type snapshot struct {
	Lease   leaser.State      `msgpack:"l"`
	Engines []*Engine         `msgpack:"e"`
	Gone    replayer.Position `msgpack:"g"`
}

// Snapshot implements replayer.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	return msgpack.Marshal(snapshot{Lease: m.lease, Engines: m.Engines(), Gone: m.lastRemoval})
}

// Restore implements replayer.Machine.
func (m *Machine) Restore(state []byte) error {
	var s snapshot
	if err := msgpack.Unmarshal(state, &s); err != nil {
		return eris.Wrap(err, "pool snapshot is malformed")
	}
	m.lease = s.Lease
	m.lastRemoval = s.Gone
	m.engines = map[string]*Engine{}
	for _, e := range s.Engines {
		m.engines[e.Name] = e
	}
	return nil
}
