package orderchecker

import (
	"sort"
	"time"

	"primrosehook/driver"
	"primrosehook/lister"
)

// engineNames returns the engines' names in sorted order, so that a simulated run
// can be replayed from its seed.
func (c *Controller) engineNames() []string {
	all := make([]string, 0, len(c.engines))
	for name := range c.engines {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// stepEngine returns the settle entry or the intent of a fence order that an
// engine needs now. Batch is set if a lease claim is appended in the same step.
func (c *Controller) stepEngine(now time.Time, m *Machine, name string, batch bool) []Append {
	v := c.viewOf(name)
	if v.pending {
		return nil
	}
	e := m.Engine(name)
	if v.gone {
		return c.removeGone(now, m, e, v)
	}
	if batch || v.skippedAt != v.reportedAt || v.skippedBasis != v.basis {
		if s, due := c.nextSettle(m, name, v, batch); due {
			return []Append{c.newAppend(ticket{kind: KindSettle, engine: name}, s)}
		}
		v.skippedAt, v.skippedBasis = v.reportedAt, v.basis
	}
	if e != nil && c.needsFence(m, e, v) {
		i := Intent{Engine: name, Order: driver.Order{Op: driver.OpFence}, Why: "older orders may still come"}
		if a, reason := c.Propose(now, m, i); reason == "" {
			return []Append{a}
		}
	}
	return nil
}

// removeGone returns the settle entry that removes the account of an engine that
// the platform no longer lists, or that closes orders of it.
func (c *Controller) removeGone(now time.Time, m *Machine, e *Engine, v *engineView) []Append {
	if e == nil {
		return nil
	}
	closed := c.closable(e, v, now)
	if len(closed) == 0 && len(e.Tracked) > 0 {
		return nil
	}
	s := Settle{Fence: m.Lease().Fence, Engine: e.Name, Basis: e.Last, Closed: closed, Gone: true}
	return []Append{c.newAppend(ticket{kind: KindSettle, engine: e.Name}, s)}
}

// needsFence reports whether an engine that checks fencing tokens could still run
// an order of a former lease holder. A fence order only raises the least token that
// the engine accepts.
func (c *Controller) needsFence(m *Machine, e *Engine, v *engineView) bool {
	fence := int64(m.Lease().Fence)
	if !v.fences || v.report.Fence >= fence {
		return false
	}
	for _, t := range e.Open() {
		if t.Order.Fence < fence {
			return true
		}
	}
	return false
}

// nextSettle returns the settle entry to append, if the last report has new
// information. A report from before the account's last entry has none, because
// it may lack the effect of that entry.
//
// Closing a settled order frees no memory now, so it waits for the next settle
// entry or for a lease renewal, with which it shares an append (batch).
func (c *Controller) nextSettle(m *Machine, name string, v *engineView, batch bool) (Settle, bool) {
	if v.reportedAt.IsZero() || !v.reportedAt.After(v.basisSince) {
		return Settle{}, false
	}
	r := &v.report
	s := Settle{
		Fence: m.Lease().Fence, Engine: name, Basis: m.Basis(name),
		Boot: r.Incarnation, Fences: v.fences, Number: r.Fence,
		Total: r.TotalMB, Reserve: r.ReserveMB, Residents: sortedWeights(r.Loaded),
	}
	e := m.Engine(name)
	if e == nil {
		return s, true
	}
	s.Orders = e.trackedOrders(r)
	s.Closed = c.closable(e, v, v.reportedAt)
	differs := c.countUnexplained(e, &s)
	due := differs || e.updates(&s) || closesOpen(e, s.Closed)
	return s, due || (batch && len(s.Closed) > 0)
}

func sortedWeights(loaded []driver.LoadedWeights) []driver.LoadedWeights {
	all := append([]driver.LoadedWeights(nil), loaded...)
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Weights, all[j].Weights
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		if a.Adapter != b.Adapter {
			return a.Adapter < b.Adapter
		}
		return a.Version < b.Version
	})
	return all
}

// trackedOrders returns the entries of a report that concern tracked orders.
func (e *Engine) trackedOrders(r *driver.Report) []driver.OrderOutcome {
	var all []driver.OrderOutcome
	for _, o := range r.Orders {
		if e.tracked(o.ID) != nil {
			all = append(all, o)
		}
	}
	return all
}

// updates reports whether a settle entry would change the state of an order or
// the engine's boot, memory size, reserve or support for fencing tokens.
func (e *Engine) updates(s *Settle) bool {
	if e.Boot != s.Boot || e.Total != s.Total || e.Reserve != s.Reserve || e.Fences != s.Fences {
		return true
	}
	running := map[string]bool{}
	for _, o := range s.Orders {
		if o.Outcome == driver.OutcomeRunning {
			running[o.ID] = true
		} else if e.tracked(o.ID).State != StateSettled {
			return true
		}
	}
	for _, t := range e.Open() {
		if s.Fences && t.Order.Fence < s.Number && !running[t.Order.ID] {
			return true
		}
	}
	return false
}

// countUnexplained reports whether a settle entry shows a restart or a change of
// the loaded weights that no open or newly settled order explains, and counts
// these changes.
func (c *Controller) countUnexplained(e *Engine, s *Settle) bool {
	explained := map[driver.Weights]bool{}
	for _, t := range e.Open() {
		explained[t.Order.Weights] = true
	}
	for _, o := range s.Orders {
		if t := e.tracked(o.ID); t.State != StateSettled {
			explained[t.Order.Weights] = true
		}
	}
	if e.Boot != s.Boot {
		c.counts.Restarts++
		return true
	}
	had := map[driver.Weights]int64{}
	for _, r := range e.Residents {
		had[r.Weights] = r.MemoryMB
	}
	differs := false
	for _, r := range s.Residents {
		memory, ok := had[r.Weights]
		delete(had, r.Weights)
		if (ok && memory == r.MemoryMB) || (!ok && explained[r.Weights]) {
			continue
		}
		c.counts.Unexpected++
		differs = true
	}
	for w := range had {
		if !explained[w] {
			c.counts.Missing++
			differs = true
		}
	}
	return differs
}

// closable returns the tracked orders that had no message in transit at a moment,
// and why.
func (c *Controller) closable(e *Engine, v *engineView, moment time.Time) []Closure {
	var closed []Closure
	for i := range e.Tracked {
		t := &e.Tracked[i]
		if why := c.closeReason(t, v, moment); why != "" {
			closed = append(closed, Closure{Order: t.Order.ID, Why: why})
		}
	}
	return closed
}

// closeReason returns why no message of a tracked order was in transit at a moment,
// or empty if one may have been.
func (c *Controller) closeReason(t *Tracked, v *engineView, moment time.Time) string {
	past := func(since time.Time) bool { return moment.After(since.Add(c.settings.MaxMessageDelay)) }
	if t.Quiet {
		return "its holder has no message under way"
	}
	if o, ok := c.orders[t.Order.ID]; ok && o.phase == phaseSent && past(o.sendEndedAt) {
		return "its send ended longer ago than a message can take"
	}
	if at, ok := v.settledAt[t.Order.ID]; ok && past(at) {
		return "it ended longer ago than a duplicate can take"
	}
	if at, ok := c.goneSince[t.Holder]; ok && t.Holder != c.instance {
		until := at.Add(max(c.settings.MinAbsence, c.settings.MaxMessageDelay))
		if moment.After(until) && c.listedAt.After(until) {
			return "its holder has been gone for long enough"
		}
	}
	return ""
}

// closesOpen reports whether one of the closures is of an open order, whose memory
// counts.
func closesOpen(e *Engine, closed []Closure) bool {
	for _, o := range closed {
		if e.tracked(o.Order).State == StateOpen {
			return true
		}
	}
	return false
}

// Reservation is memory in MB that is reserved on an engine for an open order.
type Reservation struct {
	Engine string `msgpack:"e" json:"engine"`
	Order  string `msgpack:"o" json:"order"`
	Op     string `msgpack:"p" json:"op"`
	Model  string `msgpack:"m" json:"model"`
	Memory int64  `msgpack:"mb" json:"memory"`
	Holder string `msgpack:"h" json:"holder"`
	State  string `msgpack:"s" json:"state"`
	// Until is the event that ends the reservation, as text for the operator.
	Until string `msgpack:"u" json:"until"`
}

// Reservations lists the orders of all engines that may still take effect.
func Reservations(m *Machine) []Reservation {
	var all []Reservation
	for _, e := range m.Engines() {
		for _, t := range e.Open() {
			all = append(all, Reservation{
				Engine: e.Name, Order: t.Order.ID, Op: t.Order.Op, Model: t.Order.Model,
				Memory: t.loadMemory(), Holder: t.Holder, State: t.State, Until: endCondition(m, e, &t),
			})
		}
	}
	return all
}

// endCondition returns the event that ends an order's reservation, as text for the
// operator.
func endCondition(m *Machine, e *Engine, t *Tracked) string {
	if t.Quiet {
		return "the next report of the engine"
	}
	if t.Holder == m.Lease().Holder {
		return "the engine reports the order, or its message cannot be under way any more"
	}
	if e.Fences {
		return "the engine takes an order with the new fencing number"
	}
	return "the engine reports the order, its holder withdraws it, or its holder has been gone long enough"
}

// InstanceNames returns the set of instance names that Listed takes.
func InstanceNames(all []lister.Instance) map[string]bool {
	names := make(map[string]bool, len(all))
	for _, i := range all {
		names[i.Name] = true
	}
	return names
}
