package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosehook/balancer"
)

const (
	// deputies is how many instances may stand in for a holder that does not
	// reply: enough that a lost zone leaves one.
	deputies = 3
	// skipTime is how long an instance that has not replied is not asked.
	skipTime = time.Second
	// leaseFresh is how old a deputy's last reading of the lease may be for
	// others to rely on it: its longest read, and a margin.
	leaseFresh = 600 * time.Millisecond
	// known is the share of the instances that must report to a deputy before
	// its sums count.
	known = 0.5
)

// rank orders the instances that have reported: those with wide links first,
// and else alike for all.
func rank(members map[string]*member) []string {
	list := slices.Collect(maps.Values(members))
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(min(b.link, wideLink), min(a.link, wideLink)),
			cmp.Compare(balancer.Hash("deputy "+a.address), balancer.Hash("deputy "+b.address)),
			cmp.Compare(a.address, b.address),
		)
	})
	names := make([]string, 0, len(list))
	for _, m := range list {
		names = append(names, m.address)
	}
	return names
}

// target returns whom to report to: the holder, or while it does not reply the
// first deputy that does. Without deputies every instance would read the store
// by itself, and none would know what the others send.
func (c *Coordinator) target() (address string, deputy bool) {
	holder := c.lease.Holder()
	if c.hint != "" {
		holder = c.hint
	}
	if holder != "" && !c.skips(holder) {
		return holder, false
	}
	for _, a := range c.ranked[:min(deputies, len(c.ranked))] {
		if !c.skips(a) {
			return a, true
		}
	}
	return "", false
}

func (c *Coordinator) skips(address string) bool { return c.Clock.Now().Before(c.skipped[address]) }

// skip leaves an instance out for a time.
func (c *Coordinator) skip(address string) {
	if address == c.hint {
		c.hint = ""
	}
	c.skipped[address] = c.Clock.Now().Add(skipTime)
}

// stand completes the reply of an instance that stands in for the holder.
func (c *Coordinator) stand(reply Reply) Reply {
	reply.Holds, reply.Members, reply.Overlays, reply.Overlay = false, nil, nil, 0
	reply.Holder = c.lease.Holder()
	reply.LeaseFresh = c.lease.Attends(leaseFresh)
	return reply
}

// applyDeputy takes over the reply of a deputy, which may be this instance.
func (c *Coordinator) applyDeputy(r Reply, own bool) {
	if float64(r.Instances) >= known*float64(len(c.ranked)) {
		c.Fleet.Others(r.Flights)
	}
	if own {
		return
	}
	if r.LeaseFresh {
		c.lease.Hear()
		c.hint = r.Holder
	}
	c.Suspects.Merge(r.Suspects)
	c.Registry.Feed(r.Registry, r.Next, r.RegistryFresh)
	c.Config.Feed(r.Config, r.ConfigNext, r.ConfigFresh)
}
