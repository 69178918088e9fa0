package orderchecker

import (
	"fmt"
	"time"

	"primrosehook/driver"
	"primrosehook/leaser"
	"primrosehook/replayer"
)

// Defaults of the settings.
const (
	DefaultMaxMessageDelay = 10 * time.Second
	DefaultMinAbsence      = time.Minute
)

// Settings are the durations that a controller relies on.
type Settings struct {
	Lease leaser.Settings
	// MaxMessageDelay is the longest time that a message to an engine, or a duplicate of
	// it, may be in transit after the sender's call returned or the sender died.
	MaxMessageDelay time.Duration
	// MinAbsence is how long an instance must be missing from the platform's list
	// before its orders are assumed to have ended. It is at least MaxMessageDelay; if the
	// list drops instances that are only paused, it is at least MaxMessageDelay plus the
	// longest pause.
	MinAbsence time.Duration
}

// DefaultSettings returns the settings that serve uses.
func DefaultSettings() Settings {
	return Settings{Lease: leaser.DefaultSettings(), MaxMessageDelay: DefaultMaxMessageDelay, MinAbsence: DefaultMinAbsence}
}

// Append is an entry that the caller must append to the stream. The caller passes
// the outcome to Submitted.
type Append struct {
	Ticket uint64
	Kind   string
	Body   any
}

// Send is an order that the caller must send once, after MaySend has allowed it.
// The caller passes the outcome to Sent.
type Send struct {
	Engine string
	Order  driver.Order
}

// The phases of an order that this instance proposed.
const (
	// phaseIntended: the outcome of the intent is not known yet.
	phaseIntended = iota
	// phaseAccepted: the intent was read back as accepted; the order may be sent.
	phaseAccepted
	// phaseSending: MaySend has allowed the order; the call has not returned yet.
	phaseSending
	// phaseSent: the order was sent, and the call has returned.
	phaseSent
	// phaseWithdrawn: the order was not sent and will not be.
	phaseWithdrawn
)

// ownOrder is an order that this instance proposed.
type ownOrder struct {
	engine      string
	phase       int
	sendEndedAt time.Time
}

// engineView is what this instance knows about an engine in addition to the log.
type engineView struct {
	// basis is what Machine.Basis returned last, basisSince the local time at which
	// it was first observed. Only a report of the state after that is recorded.
	basis      replayer.Position
	basisSince time.Time
	report     driver.Report
	// reportedAt is the local time that report describes; zero if there is no
	// report.
	reportedAt time.Time
	// fences is set if the engine checks fencing tokens, pending while the outcome
	// of an entry about the engine is outstanding, and gone if the platform's newest
	// list lacks the engine and it has not reported since.
	fences  bool
	pending bool
	gone    bool
	// skippedAt is reportedAt of the last report that needed no settle entry, and
	// skippedBasis the basis at that time.
	skippedAt    time.Time
	skippedBasis replayer.Position
	// settledAt is when an order was first observed as settled, by order id.
	settledAt map[string]time.Time
}

type ticket struct {
	kind   string
	engine string
	order  string
}

// Counts are the counters of a controller since its start.
type Counts struct {
	Loads     int64
	Unloads   int64
	Fences    int64
	Withdrawn int64
	// Refused counts entries of this instance that the machine rejected.
	Refused int64
	// Unexpected counts weights that were loaded or whose memory changed without
	// an order, and Missing weights that were unloaded without one.
	Unexpected int64
	Missing    int64
	Restarts   int64
}

// Controller decides what one instance appends to a pool's stream and which
// orders it sends. It is not safe for concurrent use. The machine passed to its
// methods must include every entry whose outcome was passed to Submitted.
type Controller struct {
	instance   string
	settings   Settings
	elector    *leaser.Elector
	lastTicket uint64
	tickets    map[uint64]ticket
	engines    map[string]*engineView
	orders     map[string]*ownOrder
	// goneSince is when the first platform list that lacks an instance with
	// tracked orders was requested, by instance.
	goneSince map[string]time.Time
	// listedAt is when the newest platform list was requested.
	listedAt time.Time
	yielding bool
	counts   Counts
}

// NewController returns a controller. The instance name must be the one in the
// entries' origin and in the platform's list.
func NewController(instance string, settings Settings) *Controller {
	return &Controller{
		instance:  instance,
		settings:  settings,
		elector:   leaser.NewElector(instance, settings.Lease),
		tickets:   map[uint64]ticket{},
		engines:   map[string]*engineView{},
		orders:    map[string]*ownOrder{},
		goneSince: map[string]time.Time{},
	}
}

// Valid reports whether this instance holds the lease and it has not expired by
// the instance's own clock.
func (c *Controller) Valid(now time.Time) bool { return c.elector.Valid(now) }

// IsHolder reports whether the log names this instance as the lease holder.
func (c *Controller) IsHolder() bool { return c.elector.IsHolder() }

// HasAppended reports whether the controller has returned any entry to append.
func (c *Controller) HasAppended() bool { return c.lastTicket > 0 }

// Lease returns the lease as last observed.
func (c *Controller) Lease() leaser.State { return c.elector.State() }

// Counts returns the counters since the controller's start.
func (c *Controller) Counts() Counts { return c.counts }

// SetYielding makes the controller propose no new orders and release the lease once its
// sends have returned. SetYielding(false) cancels that.
func (c *Controller) SetYielding(yields bool) { c.yielding = yields }

// Reported applies an engine's report. Asked is when the report was requested.
func (c *Controller) Reported(asked time.Time, engine string, fences bool, r driver.Report) {
	v := c.viewOf(engine)
	reportedAt := asked.Add(-r.Age)
	if reportedAt.Before(v.reportedAt) {
		return
	}
	v.report = r
	v.reportedAt = reportedAt
	v.fences = fences
	v.gone = false
}

// Listed applies the platform's instance list: the names of all instances,
// including engines, that are not gone. Asked is when the list was requested.
func (c *Controller) Listed(asked time.Time, m *Machine, names map[string]bool) {
	c.listedAt = asked
	for name, v := range c.engines {
		v.gone = !names[name]
	}
	for _, e := range m.Engines() {
		c.viewOf(e.Name).gone = !names[e.Name]
		for _, t := range e.Tracked {
			if names[t.Holder] {
				delete(c.goneSince, t.Holder)
			} else if _, ok := c.goneSince[t.Holder]; !ok {
				c.goneSince[t.Holder] = asked
			}
		}
	}
}

func (c *Controller) viewOf(engine string) *engineView {
	v, ok := c.engines[engine]
	if !ok {
		v = &engineView{basis: leaser.None, settledAt: map[string]time.Time{}}
		c.engines[engine] = v
	}
	return v
}

// Step returns the entries to append now. Rank is this instance's rank among the
// owners of the pool, or negative if it is not one of them.
func (c *Controller) Step(now time.Time, m *Machine, rank int) []Append {
	c.observeState(now, m)
	var out []Append
	renewing := false
	if claim, due := c.elector.Next(now, c.effectiveRank(rank)); due {
		renewing = true
		out = append(out, c.newAppend(ticket{kind: KindClaim}, claim))
	}
	out = append(out, c.withdrawals(now, m)...)
	if c.yielding && c.Idle() {
		if release, ok := c.elector.Release(); ok {
			return append(out, c.newAppend(ticket{kind: KindRelease}, release))
		}
	}
	if !c.elector.Valid(now) {
		return out
	}
	for _, name := range c.engineNames() {
		out = append(out, c.stepEngine(now, m, name, renewing)...)
	}
	return out
}

// effectiveRank returns rank, or -1 (not an owner) for an instance that yields.
func (c *Controller) effectiveRank(rank int) int {
	if c.yielding {
		return -1
	}
	return rank
}

// Idle reports whether no order of this instance is between its intent and the
// return of its send.
func (c *Controller) Idle() bool {
	for _, o := range c.orders {
		if o.phase == phaseIntended || o.phase == phaseAccepted || o.phase == phaseSending {
			return false
		}
	}
	return true
}

// observeState updates the lease and records when each account's basis was first
// observed.
func (c *Controller) observeState(now time.Time, m *Machine) {
	c.elector.Observe(now, m.Lease())
	for name, v := range c.engines {
		basis := m.Basis(name)
		if basis != v.basis || v.basisSince.IsZero() {
			v.basis = basis
			v.basisSince = now
		}
	}
	for _, e := range m.Engines() {
		v := c.viewOf(e.Name)
		if v.basisSince.IsZero() {
			v.basis = e.Last
			v.basisSince = now
		}
		v.recordSettled(now, e)
	}
	c.prune(m)
}

func (v *engineView) recordSettled(now time.Time, e *Engine) {
	for _, t := range e.Tracked {
		if _, ok := v.settledAt[t.Order.ID]; !ok && t.State == StateSettled {
			v.settledAt[t.Order.ID] = now
		}
	}
	for id := range v.settledAt {
		if e.tracked(id) == nil {
			delete(v.settledAt, id)
		}
	}
}

// prune removes finished orders of this instance that the log no longer tracks,
// and engines that have left the platform and have no account.
func (c *Controller) prune(m *Machine) {
	for id, o := range c.orders {
		if o.phase != phaseSent && o.phase != phaseWithdrawn {
			continue
		}
		if e := m.Engine(o.engine); e == nil || e.tracked(id) == nil {
			delete(c.orders, id)
		}
	}
	for name, v := range c.engines {
		if v.gone && m.Engine(name) == nil {
			delete(c.engines, name)
		}
	}
}

// withdrawals returns withdraw entries for orders of this instance: those that
// will not be sent and, once this instance has lost the lease, those whose message
// can no longer be in transit. An order that the log tracks and this process does
// not know was never sent: the outcome of its intent was unknown, and the intent
// appeared in the log later.
func (c *Controller) withdrawals(now time.Time, m *Machine) []Append {
	var out []Append
	for _, e := range m.Engines() {
		for _, t := range e.Tracked {
			if t.Holder != c.instance || t.Quiet || t.State == StateSettled || c.viewOf(e.Name).pending {
				continue
			}
			sent, due := c.withdrawable(now, t.Order.ID)
			if !due {
				continue
			}
			w := Withdraw{Engine: e.Name, Order: t.Order.ID, Sent: sent}
			out = append(out, c.newAppend(ticket{kind: KindWithdraw, engine: e.Name, order: t.Order.ID}, w))
		}
	}
	return out
}

// withdrawable reports whether a tracked order of this instance can be withdrawn,
// and whether it was sent.
func (c *Controller) withdrawable(now time.Time, id string) (sent, due bool) {
	o, ok := c.orders[id]
	if !ok || o.phase == phaseWithdrawn {
		return false, true
	}
	if o.phase == phaseSent && !c.elector.IsHolder() {
		return true, now.After(o.sendEndedAt.Add(c.settings.MaxMessageDelay))
	}
	return false, false
}

func (c *Controller) newAppend(t ticket, body any) Append {
	c.lastTicket++
	c.tickets[c.lastTicket] = t
	if t.engine != "" {
		c.viewOf(t.engine).pending = true
	}
	return Append{Ticket: c.lastTicket, Kind: t.kind, Body: body}
}

// Propose returns the intent to append for an order, or the reason why the order
// cannot be given now. It sets the order's id and fencing token.
func (c *Controller) Propose(now time.Time, m *Machine, i Intent) (Append, Reason) {
	if !c.elector.Valid(now) || c.yielding {
		return Append{}, ReasonFence
	}
	e := m.Engine(i.Engine)
	if e == nil {
		return Append{}, ReasonEngine
	}
	if c.viewOf(i.Engine).pending {
		return Append{}, ReasonBusy
	}
	i.Order.ID = fmt.Sprintf("%s/%d", c.instance, c.lastTicket+1)
	i.Order.Fence = int64(m.Lease().Fence)
	if reason := e.rejection(i); reason != "" {
		return Append{}, reason
	}
	c.orders[i.Order.ID] = &ownOrder{engine: i.Engine, phase: phaseIntended}
	return c.newAppend(ticket{kind: KindIntent, engine: i.Engine, order: i.Order.ID}, i), ""
}

// Busy reports whether no order can be proposed for an engine now: the engine has
// no account, an entry about it is pending, or an order of this lease is open.
func (c *Controller) Busy(m *Machine, engine string) bool {
	e := m.Engine(engine)
	if e == nil || c.viewOf(engine).pending {
		return true
	}
	for _, t := range e.Open() {
		if t.Order.Fence == int64(m.Lease().Fence) {
			return true
		}
	}
	return false
}

// Submitted applies the outcome of an Append. Known is false if the entry may
// still appear in the log; otherwise the machine must have applied the entry. It
// returns the order to send if the entry was an accepted intent.
func (c *Controller) Submitted(now time.Time, m *Machine, id uint64, r Result, known bool) (Send, bool) {
	t, ok := c.tickets[id]
	if !ok {
		return Send{}, false
	}
	delete(c.tickets, id)
	if known && !r.Accepted() {
		c.counts.Refused++
	}
	if t.engine != "" {
		c.viewOf(t.engine).pending = false
	}
	c.observeState(now, m)
	accepted := known && r.Accepted()
	switch t.kind {
	case KindClaim:
		c.elector.ClaimResolved(accepted)
	case KindRelease:
		c.elector.ReleaseResolved()
	case KindIntent:
		return c.intentSubmitted(now, m, t, accepted)
	}
	return Send{}, false
}

func (c *Controller) intentSubmitted(now time.Time, m *Machine, t ticket, accepted bool) (Send, bool) {
	o, ok := c.orders[t.order]
	if !ok || !accepted {
		delete(c.orders, t.order)
		return Send{}, false
	}
	e := m.Engine(t.engine)
	if e == nil || e.tracked(t.order) == nil || !c.elector.Valid(now) {
		o.phase = phaseWithdrawn
		return Send{}, false
	}
	o.phase = phaseAccepted
	return Send{Engine: t.engine, Order: e.tracked(t.order).Order}, true
}

// MaySend is the last check before an order is sent. It allows each order once.
func (c *Controller) MaySend(now time.Time, id string) bool {
	o, ok := c.orders[id]
	if !ok || o.phase != phaseAccepted {
		return false
	}
	if !c.elector.Valid(now) {
		o.phase = phaseWithdrawn
		c.counts.Withdrawn++
		return false
	}
	o.phase = phaseSending
	return true
}

// Sent applies the outcome of a send. Reached is false if no connection was
// established, so that no message can be in transit.
func (c *Controller) Sent(now time.Time, order driver.Order, reached bool) {
	o, ok := c.orders[order.ID]
	if !ok {
		return
	}
	if !reached {
		o.phase = phaseWithdrawn
		c.counts.Withdrawn++
		return
	}
	o.phase = phaseSent
	o.sendEndedAt = now
	switch order.Op {
	case driver.OpLoad:
		c.counts.Loads++
	case driver.OpUnload:
		c.counts.Unloads++
	case driver.OpFence:
		c.counts.Fences++
	}
}
