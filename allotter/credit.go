package allotter

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"primrosehook/matcher"
	"primrosehook/messenger"
)

// Credit is what a request has taken of an account's cap.
type Credit struct {
	allotter *Allotter
	account  *matcher.Account
	version  int64
	amount   float64
	// takenAt is when the amount was taken.
	takenAt time.Time
}

// Acquire takes an amount of the account's cap as a version of the configuration states it. If
// that is more than the cap allows, it returns the time until it may be had.
func (a *Allotter) Acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) (*Credit, time.Duration, bool) {
	wait, ok := a.acquire(ctx, account, version, amount)
	if !ok {
		a.meter.Add(MetricRefused+a.names.label(account.Name), 1)
		return nil, wait, false
	}
	a.meter.Add(MetricAdmitted+a.names.label(account.Name), 1)
	return &Credit{allotter: a, account: account, version: version, amount: amount, takenAt: a.boot.Now()}, 0, true
}

// Renew takes the amount again, as of now. What was taken before is not given back: an account could
// otherwise send what it was granted in some seconds together with what it gets in their place.
func (c *Credit) Renew(ctx context.Context) (time.Duration, bool) {
	wait, ok := c.allotter.acquire(ctx, c.account, c.version, c.amount)
	if ok {
		c.takenAt = c.allotter.boot.Now()
	}
	return wait, ok
}

// Refund gives the amount back: its request has certainly not run. Amounts that were taken long ago
// are not given back, for the same reason.
func (c *Credit) Refund() {
	a := c.allotter
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.boot.Now(); now.Sub(c.takenAt) <= maxRefundAge {
		a.usage(now, c.account.Name).back += c.amount
	}
}

// acquire takes an amount.
func (a *Allotter) acquire(ctx context.Context, account *matcher.Account, version int64, amount float64) (time.Duration, bool) {
	item := Item{Account: account.Name, Version: version, Rate: account.RatePerSecond, Burst: account.Burst, Need: amount}
	deadline := a.clock.Now().Add(longestWait)
	for {
		wait, ok := a.take(ctx, item)
		if ok || ctx.Err() != nil || a.clock.Now().Add(wait).After(deadline) {
			return wait, ok
		}
		item.Back = 0
		select {
		case <-a.clock.After(wait):
		case <-ctx.Done():
			return wait, false
		}
	}
}

// take takes an amount where this instance gets its credit from.
func (a *Allotter) take(ctx context.Context, item Item) (time.Duration, bool) {
	a.mu.Lock()
	now := a.boot.Now()
	u := a.usage(now, item.Account)
	if u.ahead >= item.Need && item.Back == 0 {
		defer a.mu.Unlock()
		u.ahead -= item.Need
		u.rate.Add(now, usageHalfLife, item.Need)
		return 0, true
	}
	item.Back += u.back
	u.back = 0
	switch target := a.arbiter(now); target {
	case a.self, "":
		defer a.mu.Unlock()
		from := a.role
		if target == "" {
			from = a.own
			from.Delegate(now, a.instance, a.holding.Own(now))
		}
		grants, ok := from.Grant(now, a.instance, []Item{item})
		if !ok {
			return a.takeGrace(now, u, item.Need)
		}
		return a.settle(now, u, item.Need, grants[0])
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
func (a *Allotter) settle(now time.Time, u *usage, need float64, g Grant) (time.Duration, bool) {
	if g.Amount < need {
		return max(g.Wait, minWait), false
	}
	if rest := g.Amount - need; rest > 0 {
		u.ahead, u.aheadUntil = u.ahead+rest, now.Add(aheadTTL)
	}
	u.rate.Add(now, usageHalfLife, need)
	return 0, true
}

// takeGrace takes an amount of what may be used while no arbiter answers. An instance whose
// usage in that time is less than a request lets one through with that probability.
// a.mu must be held.
func (a *Allotter) takeGrace(now time.Time, u *usage, need float64) (time.Duration, bool) {
	if now.Sub(u.graceAt) > a.term {
		u.grace, u.graceAt = u.rate.Rate(now, usageHalfLife)*a.grace.Seconds(), now
	}
	if u.grace <= 0 || rand.Float64()*need >= u.grace {
		return noArbiterWait, false
	}
	u.grace = max(u.grace-need, 0)
	return 0, true
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
		u.back, u.ahead = u.back+u.ahead, 0
	}
	return u
}

// ask asks the arbiter, together with what else is asked for meanwhile.
func (a *Allotter) ask(ctx context.Context, item Item) (time.Duration, bool) {
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
			return 0, false
		}
		a.usage(a.boot.Now(), item.Account).back += c.grants[i].Amount
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.boot.Now()
	u := a.usage(now, item.Account)
	if len(c.grants) == 0 {
		return a.takeGrace(now, u, item.Need)
	}
	return a.settle(now, u, item.Need, c.grants[i])
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
		pause := a.lastCall.Add(time.Duration(a.members) * callInterval).Sub(a.boot.Now())
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
	a.next, a.lastCall = nil, now
	a.mu.Unlock()
	var reply AllotReply
	if target != "" && target != a.self {
		ctx, cancel := context.WithTimeout(context.Background(), allotTimeout)
		err := a.peers.Call(ctx, target, kindAllot, AllotRequest{Instance: a.instance, Items: c.items}, &reply)
		cancel()
		if err != nil {
			a.recordSilence(target, err)
		}
	}
	if len(reply.Grants) != len(c.items) {
		reply.Grants = nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.grants = reply.Grants
	for _, x := range c.items {
		if x.Ahead > 0 {
			a.usage(a.boot.Now(), x.Account).asking = false
		}
	}
	if c.grants != nil {
		for i, gone := range c.abandoned {
			if gone {
				a.usage(a.boot.Now(), c.items[i].Account).back += c.grants[i].Amount
			}
		}
	}
	close(c.done)
}

// recordSilence records that an arbiter did not answer. It is asked again once it has answered a
// report.
func (a *Allotter) recordSilence(arbiter string, err error) {
	a.meter.Add(MetricUnanswered, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent != arbiter {
		a.log.Info("allot: arbiter does not answer", zap.String("member", arbiter), zap.Bool("unknown_kind", messenger.IsUnknownKind(err)), zap.Error(err))
	}
	a.silent = arbiter
}
