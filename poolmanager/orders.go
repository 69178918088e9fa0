package poolmanager

import (
	"time"

	"primrosehook/driver"
	"primrosehook/orderchecker"
)

// maxRecordedOrders is how many of this instance's orders are kept per pool: some
// hours at the usual rate, in less than 100 KB.
const maxRecordedOrders = 200

// Outcomes of an order that its engine has not reported.
const (
	outcomeLeaseExpired = "not sent: the lease had lapsed"
	outcomeNotReached   = "not sent: the engine was not reached"
	outcomeNotReported  = "closed without a word of the engine"
)

// OrderRecord is an order with its reason and outcome, for the operator.
type OrderRecord struct {
	Order  string    `json:"order"`
	Pool   string    `json:"pool"`
	At     time.Time `json:"at"`
	Engine string    `json:"engine"`
	Op     string    `json:"op"`
	driver.Weights
	// Memory is in MB.
	Memory int64  `json:"memory"`
	Why    string `json:"why"`
	// Outcome is what the engine reported ("done", "failed" or "refused"), or why
	// no outcome will be reported; empty while neither is known.
	Outcome string    `json:"outcome"`
	EndedAt time.Time `json:"ended_at,omitzero"`
	// Reservation is set while the order may still take effect.
	Reservation *orderchecker.Reservation `json:"reservation,omitempty"`

	// tracked is set once the order was observed as tracked by the machine.
	tracked bool
}

// orderHistory is the newest orders of this instance in a pool, oldest first.
type orderHistory []*OrderRecord

// add records an order and drops the oldest beyond maxRecordedOrders.
func (g *orderHistory) add(o OrderRecord) {
	*g = append(*g, &o)
	if len(*g) > maxRecordedOrders {
		*g = append(orderHistory(nil), (*g)[len(*g)-maxRecordedOrders:]...)
	}
}

// find returns an order by its id, or nil.
func (g orderHistory) find(id string) *OrderRecord {
	for _, o := range g {
		if o.Order == id {
			return o
		}
	}
	return nil
}

// resolve records the outcome of an order. Only the first outcome is kept.
func (g orderHistory) resolve(now time.Time, id, outcome string) {
	if o := g.find(id); o != nil && o.Outcome == "" {
		o.Outcome, o.EndedAt = outcome, now
	}
}

// applyReport records the outcomes in an engine's report.
func (g orderHistory) applyReport(now time.Time, r driver.Report) {
	for _, s := range r.Orders {
		if s.Outcome != driver.OutcomeRunning {
			g.resolve(now, s.ID, s.Outcome)
		}
	}
}

// resolveClosed resolves the orders that the machine no longer tracks although no
// report had their outcome. Example: the engine crashed and restarted without
// loaded models.
func (g orderHistory) resolveClosed(now time.Time, m *orderchecker.Machine) {
	for _, o := range g {
		if o.Outcome != "" {
			continue
		}
		switch open := isTracked(m, o); {
		case open:
			o.tracked = true
		case o.tracked:
			o.Outcome, o.EndedAt = outcomeNotReported, now
		}
	}
}

// isTracked reports whether the machine tracks an order.
func isTracked(m *orderchecker.Machine, o *OrderRecord) bool {
	e := m.Engine(o.Engine)
	if e == nil {
		return false
	}
	for _, t := range e.Tracked {
		if t.Order.ID == o.Order {
			return true
		}
	}
	return false
}

// Explain returns why an order was given and its outcome. It covers the newest
// orders of this instance and, of other instances, the orders that may still take
// effect in the pools that this instance follows.
func (m *Manager) Explain(order string) (OrderRecord, bool) {
	for _, p := range m.followed() {
		if o, ok := p.explain(order); ok {
			return o, true
		}
	}
	return OrderRecord{}, false
}

func (p *pool) explain(order string) (OrderRecord, bool) {
	var found OrderRecord
	var ok bool
	p.withMachine(func(m *orderchecker.Machine) {
		if o := p.orders.find(order); o != nil {
			found, ok = *o, true
		}
		for _, r := range orderchecker.Reservations(m) {
			if r.Order != order {
				continue
			}
			if !ok {
				found = p.foreignOrder(m, r)
			}
			found.Reservation, ok = &r, true
		}
	})
	return found, ok
}

// foreignOrder describes another instance's order from the entries in the log.
func (p *pool) foreignOrder(m *orderchecker.Machine, r orderchecker.Reservation) OrderRecord {
	o := OrderRecord{Order: r.Order, Pool: p.name, Engine: r.Engine, Op: r.Op, Memory: r.Memory}
	for _, t := range m.Engine(r.Engine).Tracked {
		if t.Order.ID == r.Order {
			o.Weights, o.Why = t.Order.Weights, t.Why
		}
	}
	return o
}
