package allotter

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primrosehook/matcher"
	"primrosehook/messenger"
)

// graceSource is the source of what is used without an arbiter's answer. It is not given back: no
// bucket has lost it.
const graceSource = "grace"

// Credit is what a request has taken of an account's cap.
type Credit struct {
	allotter *Allotter
	account  *matcher.Account
	version  int64
	amount   float64
	// takenAt is when the amount was granted, source the arbiter that granted it, empty if that is the
	// own fraction.
	takenAt time.Time
	source  string
}

// outcome is the result of an attempt to take credit.
type outcome struct {
	ok     bool
	denial Denial
	// takenAt is when the amount was granted, which is earlier for credit ahead.
	takenAt time.Time
	source  string
	// again is set if an arbiter that does not count as silent did not answer.
	again bool
}

// Acquire takes an amount of the account's cap as a version of the configuration states it, or says
// why it can't be had and for how long.
func (a *Allotter) Acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) (*Credit, Denial, bool) {
	o := a.acquire(ctx, account, version, amount)
	if !o.ok {
		a.meter.Add(MetricRefused+a.names.label(account.Name), 1)
		return nil, o.denial, false
	}
	a.meter.Add(MetricAdmitted+a.names.label(account.Name), 1)
	return &Credit{allotter: a, account: account, version: version, amount: amount, takenAt: o.takenAt, source: o.source}, Denial{}, true
}

// Renew gives the amount back and takes it again as of now: the request has certainly not run since it was
// taken. If it can't be taken the credit is gone.
func (c *Credit) Renew(ctx context.Context) (Denial, bool) {
	c.Refund()
	return c.Repeat(ctx)
}

// Repeat takes the amount again: the request may have run with the former one.
func (c *Credit) Repeat(ctx context.Context) (Denial, bool) {
	o := c.allotter.acquire(ctx, c.account, c.version, c.amount)
	if o.ok {
		c.takenAt, c.source = o.takenAt, o.source
	}
	return o.denial, o.ok
}

// Refund gives the amount back: its request has certainly not run.
func (c *Credit) Refund() {
	a := c.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	u := a.usage(now, c.account.Name)
	u.giveBack(returned{c.amount, c.takenAt, c.source})
	// The grace and the credit ahead go by what is used.
	u.rate.Add(now, usageHalfLife, -min(c.amount, u.rate.Value(now, usageHalfLife)))
}

// acquire takes an amount. It waits for credit that is about to come, and asks again while an
// arbiter has not answered that does not count as silent.
func (a *Allotter) acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) outcome {
	item := Item{Account: account.Name, Version: version, Rate: account.RatePerSecond, Burst: account.Burst, Need: amount}
	var deadline time.Time
	for {
		o := a.take(ctx, item)
		if o.ok {
			return o
		}
		now, limit := a.clock.Now(), longestWait
		if o.again {
			limit = unansweredWait
		}
		if deadline.IsZero() {
			deadline = now.Add(limit)
		}
		wait := o.denial.Wait
		if o.again {
			wait = askAgainWait
		}
		if ctx.Err() != nil || now.Add(wait).After(deadline) {
			if o.again && ctx.Err() == nil && a.takeOwnGrace(item) {
				return outcome{ok: true, source: graceSource}
			}
			if !o.again && wait <= longestWait {
				o.denial.Cause = CauseLate
			}
			a.meter.Add(MetricCause+o.denial.Cause.String(), 1)
			return o
		}
		select {
		case <-a.clock.After(wait):
		case <-ctx.Done():
			o.denial.Cause = CauseLate
			a.meter.Add(MetricCause+o.denial.Cause.String(), 1)
			return o
		}
	}
}

// take takes an amount where this instance gets its credit from.
func (a *Allotter) take(ctx context.Context, item Item) outcome {
	a.mu.Lock()
	now := a.boot.Now()
	u := a.usage(now, item.Account)
	if u.ahead >= item.Need {
		defer a.mu.Unlock()
		u.ahead -= item.Need
		u.rate.Add(now, usageHalfLife, item.Need)
		return outcome{ok: true, takenAt: u.aheadUntil.Add(-aheadTTL), source: u.aheadSource}
	}
	target := a.arbiter(now)
	switch target {
	case a.self, "":
		defer a.mu.Unlock()
		late := u.takeReturns(now, target, &item)
		from := a.role
		if target == "" {
			from = a.own
			from.Delegate(now, a.instance, a.holding.Own(now))
		}
		from.PutBack(now, a.instance, late)
		grants, ok := from.Grant(now, a.instance, []Item{item})
		if !ok {
			return a.takeGrace(now, u, item.Need)
		}
		return a.settle(now, u, item.Need, target, grants[0])
	default:
		item.Ahead = a.wantedAhead(now, u, item.Need)
		a.mu.Unlock()
		return a.ask(ctx, item)
	}
}

// wantedAhead returns what to ask for ahead: what is used in aheadTime, if that is more than one
// request. Of the requests that wait for credit together only one asks: the sum of what all
// asked for would take the credit of the other instances. a.mu must be held.
func (a *Allotter) wantedAhead(now time.Time, u *usage, need float64) float64 {
	if n := u.rate.Rate(now, usageHalfLife) * aheadTime.Seconds(); n >= need && !u.asking {
		u.asking = true
		return n
	}
	return 0
}

// settle applies the answer to a request for an amount. a.mu must be held.
func (a *Allotter) settle(now time.Time, u *usage, need float64, source string, g Grant) outcome {
	if g.Amount < need {
		return outcome{denial: Denial{max(g.Wait, minWait), g.Cause}}
	}
	if rest := g.Amount - need; rest > 0 {
		if u.aheadSource != source {
			u.dropAhead()
		}
		u.ahead, u.aheadSource, u.aheadUntil = u.ahead+rest, source, now.Add(aheadTTL)
	}
	u.rate.Add(now, usageHalfLife, need)
	return outcome{ok: true, takenAt: now, source: source}
}

// takeGrace takes an amount of what may be used while no arbiter answers. An instance whose
// usage in that time is less than a request lets one through with that probability.
// a.mu must be held.
func (a *Allotter) takeGrace(now time.Time, u *usage, need float64) outcome {
	if a.replied != "" && a.replied != a.silent {
		// The arbiter answers reports: it is asked again first.
		return outcome{denial: Denial{noArbiterWait, CauseNoArbiter}, again: true}
	}
	if !u.useGrace(now, a.term, a.grace, need) {
		return outcome{denial: Denial{noArbiterWait, CauseNoArbiter}}
	}
	return outcome{ok: true, source: graceSource}
}

// takeOwnGrace takes an amount of what may be used while no arbiter answers, for a request that has
// asked in vain for as long as it may.
func (a *Allotter) takeOwnGrace(item Item) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	return a.usage(now, item.Account).useGrace(now, a.term, a.grace, item.Need)
}

// useGrace takes an amount of the grace, which is the usage of a time and is given once in a term.
func (u *usage) useGrace(now time.Time, term, grace time.Duration, need float64) bool {
	if now.Sub(u.graceAt) > term {
		u.grace, u.graceAt = u.rate.Rate(now, usageHalfLife)*grace.Seconds(), now
	}
	if u.grace <= 0 || rand.Float64()*need >= u.grace {
		return false
	}
	u.grace = max(u.grace-need, 0)
	return true
}

// dropAhead gives unused credit back.
func (u *usage) dropAhead() {
	u.giveBack(returned{u.ahead, u.aheadUntil.Add(-aheadTTL), u.aheadSource})
	u.ahead = 0
}

// usage returns what is kept of an account. a.mu must be held.
func (a *Allotter) usage(now time.Time, account string) *usage {
	u, ok := a.usages[account]
	if !ok {
		if len(a.usages) >= maxCaches {
			clear(a.usages)
		}
		u = &usage{}
		a.usages[account] = u
	}
	if u.ahead > 0 && !now.Before(u.aheadUntil) {
		u.dropAhead()
	}
	return u
}

// ask asks the arbiter, together with what else is asked for meanwhile.
func (a *Allotter) ask(ctx context.Context, item Item) outcome {
	a.mu.Lock()
	if a.next == nil {
		a.next = &call{done: make(chan struct{})}
	}
	c, i := a.next, len(a.next.items)
	c.items, c.abandoned = append(c.items, item), append(c.abandoned, false)
	if !a.calling {
		a.calling = true
		go a.runCalls()
	}
	a.mu.Unlock()
	select {
	case <-c.done:
	case <-ctx.Done():
		a.mu.Lock()
		defer a.mu.Unlock()
		if c.grants == nil {
			c.abandoned[i] = true
		} else {
			now := a.boot.Now()
			a.usage(now, item.Account).giveBack(returned{c.grants[i].Amount, now, c.target})
		}
		return outcome{denial: Denial{Cause: CauseLate}}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	u := a.usage(now, item.Account)
	if len(c.grants) == 0 {
		return a.takeGrace(now, u, item.Need)
	}
	return a.settle(now, u, item.Need, c.target, c.grants[i])
}

// runCalls calls the arbiter until nothing is asked for.
func (a *Allotter) runCalls() {
	for {
		a.mu.Lock()
		if a.next == nil {
			a.calling = false
			a.mu.Unlock()
			return
		}
		pause := a.lastCall.Add(max(time.Duration(a.members)*callInterval, a.lastTook*5/2)).Sub(a.boot.Now())
		a.mu.Unlock()
		if pause > 0 {
			a.clock.Sleep(min(pause, longestWait))
		}
		a.call()
	}
}

// call makes one call with all that is asked for.
func (a *Allotter) call() {
	a.mu.Lock()
	now := a.boot.Now()
	c, target := a.next, a.arbiter(now)
	var late []Late
	a.next, a.lastCall, c.target = nil, now, target
	remote := target != "" && target != a.self
	if remote {
		// The arbiter and the age of what is given back are those at the call.
		for i := range c.items {
			late = append(late, a.usage(now, c.items[i].Account).takeReturns(now, target, &c.items[i])...)
		}
	}
	a.mu.Unlock()
	var reply AllotReply
	if remote {
		ctx, cancel := context.WithTimeout(context.Background(), allotTimeout)
		err := a.peers.Call(ctx, target, kindAllot, AllotRequest{Instance: a.instance, Items: c.items, Late: late}, &reply)
		cancel()
		if err != nil {
			a.recordUnanswered(target, err)
		} else {
			a.recordAnswered()
		}
	}
	if len(reply.Grants) != len(c.items) {
		reply.Grants = nil
	}
	for i := range min(len(reply.Grants), len(reply.Causes)) {
		reply.Grants[i].Cause = reply.Causes[i]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.grants = reply.Grants
	now = a.boot.Now()
	a.lastTook = now.Sub(a.lastCall)
	for i, x := range c.items {
		u := a.usage(now, x.Account)
		if x.Ahead > 0 {
			u.asking = false
		}
		if c.grants != nil && c.abandoned[i] {
			u.giveBack(returned{c.grants[i].Amount, now, target})
		}
	}
	close(c.done)
}

// recordAnswered records that the arbiter has answered a call.
func (a *Allotter) recordAnswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered = 0
}

// recordUnanswered records that an arbiter did not answer a call. If it counts as silent then, it
// is asked again once it has answered a report.
func (a *Allotter) recordUnanswered(arbiter string, err error) {
	a.meter.Add(MetricUnanswered, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unanswered++
	if a.unanswered >= maxUnanswered || messenger.IsUnknownKind(err) {
		a.recordSilence(arbiter, err)
	}
}

// recordSilence records that an arbiter counts as silent. a.mu must be held.
func (a *Allotter) recordSilence(arbiter string, err error) {
	if a.silent != arbiter {
		a.log.Info("allot: arbiter does not answer", zap.String("member", arbiter), zap.Bool("unknown_kind", messenger.IsUnknownKind(err)), zap.Error(err))
	}
	a.silent = arbiter
}
