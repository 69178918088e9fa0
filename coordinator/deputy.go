package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primrosehook/balancer"
)

const (
	// maxDeputies is how many instances may act as deputy for a lease holder
	// that does not reply: enough that one is left when a zone is lost.
	maxDeputies = 3
	// maxLeaseReadAge is how old a deputy's last read of the lease may be for
	// peers to rely on it: its longest read, and a margin.
	maxLeaseReadAge = 600 * time.Millisecond
	// minReportedShare is the share of the instances that must report to a
	// deputy before its in-flight counts are used.
	minReportedShare = 0.5
)

// rankMembers returns the addresses of the members, those with wide links first
// and otherwise in an order that is the same on all instances.
func rankMembers(members map[string]*member) []string {
	list := slices.Collect(maps.Values(members))
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(min(b.link, wideLinkMbps), min(a.link, wideLinkMbps)),
			cmp.Compare(a.order, b.order),
			cmp.Compare(a.address, b.address),
		)
	})
	addresses := make([]string, 0, len(list))
	for _, m := range list {
		addresses = append(addresses, m.address)
	}
	return addresses
}

// deputies returns the addresses of the deputies in their order: seeds, from a different one
// on for each instance, until it knows the members.
func (c *Coordinator) deputies() []string {
	if len(c.deputyOrder) > 0 {
		return c.deputyOrder[:min(maxDeputies, len(c.deputyOrder))]
	}
	if len(c.Seeds) == 0 {
		return nil
	}
	first := int(balancer.Hash(c.Address) % uint64(len(c.Seeds)))
	return slices.Concat(c.Seeds[first:], c.Seeds[:first])
}

// deputyReply turns the reply of this instance into that of a deputy.
func (c *Coordinator) deputyReply(reply Reply) Reply {
	reply.HoldsLease, reply.Members, reply.Overlays, reply.Overlay = false, nil, nil, 0
	reply.Holder = c.lease.Holder()
	reply.LeaseFresh = c.lease.WatchesLog(maxLeaseReadAge)
	return reply
}

// applyDeputyReply applies the reply of a deputy, which may be this instance, to a report
// that was sent at a time. It reports false if another deputy is better: this one has been asked before
// and does not read the store at its usual pace, since the store refuses it, for example.
func (c *Coordinator) applyDeputyReply(r Reply, sent time.Time, deputy string) bool {
	serves, starts := c.receivers.DeputyReplied(deputy, r.RegistryFresh && r.LeaseFresh, c.deputies())
	if float64(r.Instances) >= minReportedShare*float64(len(c.deputyOrder)) {
		c.Fleet.UpdatePeers(r.InFlight, r.Starts)
		c.Fleet.UpdatePeerQueues(r.Queues)
		c.applySpeeds(r)
	}
	c.Parts.ApplyReply(r.Parts)
	c.deputyStarts.Store(starts)
	if deputy == c.Address {
		return serves
	}
	if r.LeaseFresh {
		c.lease.HolderReplied(c.ReplyTTL())
	}
	if r.LeaseFresh || c.lease.Holder() == "" {
		c.receivers.SetHolder(r.Holder, c.lease.Holder())
	}
	c.Suspects.Merge(r.Suspects)
	c.mergeLimits(r.Limits)
	defer c.endFeedOfHolder()
	c.feedRegistry(r, sent)
	if r.ConfigInStore && len(c.deputyOrder) == 0 && r.Holder != "" {
		// The holder, which is asked next, may have a link that is wide enough.
		return serves
	}
	c.feedConfig(r)
	return serves
}
