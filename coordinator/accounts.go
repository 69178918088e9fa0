package coordinator

import (
	"context"
	"time"

	"primrosehook/allotter"
)

// stateAccounts adds what this instance may use of the caps of client accounts to a report that
// is sent now, unless the configuration has no accounts. It returns the time by which that is
// counted. An instance that starts states it before it has a configuration: it would refuse
// capped requests otherwise from the reply that brings one until its next report.
func (c *Coordinator) stateAccounts(ctx context.Context, r *Report, address string) time.Time {
	t := c.Table()
	if c.Accounts == nil || t != nil && !t.HasAccounts() {
		return time.Time{}
	}
	c.Accounts.Release(ctx, address)
	sent := c.Accounts.Now()
	s := c.Accounts.State(address, c.renewals.TTL(c.usualPause()))
	r.Accounts = &s
	return sent
}

// applyEntitlement applies the entitlement in the reply to a report that stateAccounts was called
// for.
func (c *Coordinator) applyEntitlement(r Report, reply Reply, sent time.Time, address string) {
	if r.Accounts != nil {
		c.renewals.Answered(sent, address)
		c.Accounts.Replied(sent, address, reply.Entitlement, reply.HoldsLease, reply.Instances)
	}
}

// assignEntitlement applies what a report states of the caps of client accounts, and returns what
// its instance may use from now on.
func (c *Coordinator) assignEntitlement(r Report, holdsLease bool, instances int) *allotter.Entitlement {
	if r.Accounts == nil || c.Accounts == nil {
		return nil
	}
	e := c.Accounts.Reported(r.Instance, r.Address, *r.Accounts, holdsLease, instances)
	return &e
}

// rejectArbiter records that an instance that was reported to did not answer, or that its answer
// does not count.
func (c *Coordinator) rejectArbiter(address string) {
	if c.Accounts != nil {
		c.Accounts.Rejected(address)
	}
}

// accountsPause shortens the pause until the next report while nobody grants from this instance's
// entitlement: it can be delegated again once it has lapsed.
func (c *Coordinator) accountsPause(pause time.Duration) time.Duration {
	if c.Accounts == nil {
		return pause
	}
	if lapses := c.Accounts.Lapses(); lapses > 0 {
		return min(pause, lapses+time.Millisecond)
	}
	return pause
}

// entitled returns the instances that have an entitlement, for the entries of the lease.
func (c *Coordinator) entitled() *allotter.Entitled {
	if c.Accounts == nil {
		return nil
	}
	e := c.Accounts.Entitled()
	if len(e.Addresses) == 0 {
		return nil
	}
	return &e
}

// entitledEntered records that an entry of the lease with what entitled last returned is in the log.
func (c *Coordinator) entitledEntered() {
	if c.Accounts != nil {
		c.Accounts.Entered()
	}
}
