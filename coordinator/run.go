package coordinator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/allotter"
	"primrosehook/balancer"
	"primrosehook/clocker"
	"primrosehook/decayer"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/reporter"
	"primrosehook/tailer"
	"primrosehook/throttler"
	"primrosehook/upgrader"
)

// Meter counts events by the name of their metric.
type Meter interface{ Add(name string, n int64) }

// Names of the metrics.
const (
	MetricOrders              = "orders_given"
	MetricOrdersFailed        = "orders_not_carried_out"
	MetricColdLoads           = "loads_from_weight_store"
	MetricExchanges           = "exchanges"
	MetricExchangesUnanswered = "exchanges_unanswered"
	MetricDeputyExchanges     = "exchanges_with_deputy"
)

// Dependencies are the settings and dependencies of a Coordinator.
type Dependencies struct {
	// Instance names this incarnation of the instance, Machine where it runs,
	// and Address is where peers reach it.
	Instance, Machine, Address string
	// Seeds are addresses of peers that are known from the start.
	Seeds []string
	// LinkMbps is the speed of the machine's link, in Mbit/s; zero if unknown.
	LinkMbps float64
	// OrderGap is the least time between orders of two lease holders.
	OrderGap time.Duration
	// ColdLoadWindow is the sliding window in which loads from the weight store
	// are counted.
	ColdLoadWindow time.Duration
	// ColdLoadOverage is the factor by which loads may exceed the weight
	// store's rate in a window.
	ColdLoadOverage float64
	LeaseLog        Log
	OrderSender     OrderSender
	Fleet           *balancer.Fleet
	Suspects        *quarantiner.Guard
	// Parts finds the parts of prompts that crash servers; nil for one that is not shared
	// with the requests of this instance.
	Parts *quarantiner.PartGuard
	// Limits are the rate limits that servers name; nil if they are not kept.
	Limits *throttler.Throttler
	// Accounts keeps the caps of client accounts; nil if they are not kept.
	Accounts *allotter.Allotter
	Registry *tailer.Tailer
	Config   *tailer.Tailer
	// Meter counts orders and exchanges.
	Meter Meter
	// Table returns the table in force, nil if there is none.
	Table func() *matcher.Table
	Clock clockwork.Clock
	Boot  clocker.Clock
	Log   *zap.Logger
	// Peers calls other instances.
	Peers *messenger.Client
	// OnMembers is called with the addresses of all instances when they change.
	OnMembers func(addresses []string)
}

// Coordinator reports to the lease holder and, while this instance holds the
// lease, acts as the coordinator.
type Coordinator struct {
	Dependencies
	cluster    *clusterState
	lease      *Lease
	reconciler *reconciler
	// instances is how many instances the coordinator counted at most within
	// instancesWindow, instancesPeak computes it. A new coordinator has heard of a few
	// only.
	instances     atomic.Int64
	instancesPeak decayer.Peak

	// overlaysSeen is how many overlays were received from the coordinator with
	// the fencing token fence.
	overlaysSeen int
	fence        int64
	// membersDigest is the digest of the last received member addresses.
	membersDigest uint64
	// deputyOrder are the addresses in the order of deputies, receivers those that get reports. Only
	// runReports uses them.
	deputyOrder []string
	receivers   *reporter.Receivers
	// renewals tell for how long this instance's entitlement is delegated. Only runReports uses them.
	renewals allotter.Renewals
	// peerAddresses are the addresses of all instances, for loopConfig.
	peerAddresses atomic.Pointer[[]string]
	// configAnnounced receives a value when a reply announces a configuration that
	// is too large for it.
	configAnnounced chan struct{}
	// partsReceiver is the address of the last report. Only runReports uses it.
	partsReceiver string
	// build is the build of this instance, builds how many instances run each one.
	build  upgrader.Build
	builds atomic.Pointer[map[string]int]
	// deputyStarts is set while the deputy that replies does not read the store at its usual
	// pace yet.
	deputyStarts atomic.Bool
	// holderLost is set while the lease holder does not reply.
	holderLost bool
	// completeness tells when a holder without records leaves the lease.
	completeness completeness
}

// New returns a coordinator.
func New(d Dependencies) *Coordinator {
	if d.Parts == nil {
		d.Parts = quarantiner.NewPartGuard(d.Clock)
	}
	c := &Coordinator{Dependencies: d, cluster: newClusterState(d.Clock, d.LinkMbps), receivers: reporter.New(d.Clock), configAnnounced: make(chan struct{}, 1)}
	c.peerAddresses.Store(&[]string{})
	c.build = upgrader.Current()
	c.builds.Store(&map[string]int{})
	self := Entry{Instance: d.Instance, Machine: d.Machine, Address: d.Address}
	c.lease = NewLease(self, d.OrderGap, d.LeaseLog, d.Boot, d.Clock, d.Log, c.leaseAcquired, c.MaxRetryInterval)
	c.lease.entitled, c.lease.entitledEntered, c.lease.complete = c.entitled, c.entitledEntered, c.isComplete
	if d.LinkMbps > 0 && d.LinkMbps < wideLinkMbps {
		c.lease.Yield()
	}
	if delay := StartDelay(d.LinkMbps, d.Address, d.Seeds); delay > 0 {
		c.lease.HolderReplied(delay)
	}
	c.reconciler = newReconciler(c)
	c.lease.lateOrders = c.reconciler.lateOrders
	return c
}

// Serve registers the handlers of other instances' messages.
func (c *Coordinator) Serve(s *messenger.Server) {
	s.Handle(kindExchange, c.handleReport)
	s.Handle(kindConfig, c.handleConfig)
	s.Handle(kindQuarantines, c.handleQuarantines)
}

// Run runs the coordinator until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.lease.run(ctx) })
	work.Go(func() { c.reconciler.run(ctx) })
	work.Go(func() { c.loopConfig(ctx) })
	work.Go(func() { c.loopQuarantines(ctx) })
	c.runReports(ctx)
	work.Wait()
}

// HoldsLease reports whether this instance holds the lease.
func (c *Coordinator) HoldsLease() bool { return c.lease.Valid() }

// Release releases the lease before a planned stop.
func (c *Coordinator) Release(ctx context.Context) { c.lease.Release(ctx) }

// Builds returns how many instances run each build, empty if that is not known.
func (c *Coordinator) Builds() map[string]int { return maps.Clone(*c.builds.Load()) }

// Instances returns the number of instances of late, 0 if unknown.
func (c *Coordinator) Instances() int { return int(c.instances.Load()) }

// StartDelay returns how long an instance that starts waits for a peer to feed it before it
// reads the store. Seeds read it at once, since the others ask them.
func StartDelay(linkMbps float64, address string, seeds []string) time.Duration {
	if linkMbps <= 0 || linkMbps >= wideLinkMbps || len(seeds) == 0 || slices.Contains(seeds, address) {
		return 0
	}
	return startDelay
}

// reportPause returns the pause between two reports. It is short while a deputy that has just
// become one does not feed this instance yet.
func (c *Coordinator) reportPause() time.Duration {
	if c.deputyStarts.Load() {
		return minReportInterval
	}
	return c.usualPause()
}

func (c *Coordinator) usualPause() time.Duration {
	return max(minReportInterval, time.Duration(c.Instances())*reportIntervalPerInstance)
}

// ReplyTTL returns how long a reply to a report replaces reads of the store. It covers the
// pause until the next report and the time in which that must be answered.
func (c *Coordinator) ReplyTTL() time.Duration {
	return max(minReplyTTL, c.usualPause()+exchangeTimeout+replyMargin)
}

// MaxRetryInterval returns the longest pause of an instance after failed calls
// to the store. It grows with the number of instances, so that a larger fleet
// does not call a store more often while it is unavailable and when it returns.
func (c *Coordinator) MaxRetryInterval() time.Duration {
	return max(minRetryLimit, time.Duration(c.Instances())*retryLimitPerInstance)
}

// ReplaceRecords applies the newest registry record of each key, which were read up to the position
// next. UpdateRegistry follows with the servers that result.
func (c *Coordinator) ReplaceRecords(list []tailer.Record, next int64) {
	c.cluster.replaceRecords(list, next)
}

// UpdateRegistry applies new registry records and the servers that result.
func (c *Coordinator) UpdateRegistry(list []tailer.Record, servers []registrar.Server) {
	c.cluster.updateRegistry(list, servers)
}

// UpdateConfig applies the record of a configuration version that is in force.
func (c *Coordinator) UpdateConfig(x tailer.Record, version int64) {
	c.cluster.updateConfig(x, version)
}

// leaseAcquired is called at the start of each term of this instance.
func (c *Coordinator) leaseAcquired(h Handover) {
	c.cluster.reset()
	c.completeness.startTerm()
	if c.Accounts != nil {
		c.Accounts.BeginTerm(h.HadHolder, h.Entitled)
	}
	c.Registry.EndFeed()
	c.Config.EndFeed()
	c.reconciler.startTerm(h)
}

// runReports reports to the lease holder, or a deputy, until the context ends.
func (c *Coordinator) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		c.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-c.Fleet.NoReplica():
		case <-c.Parts.Changed():
		case <-c.Suspects.Changed():
		case <-c.Clock.After(c.accountsPause(c.reportPause())):
		}
	}
}

// exchange sends a report and applies the reply. If there is none it reports to the next
// deputy at once. While requests wait for an order it repeats this until the coordinator has
// no new overlays.
func (c *Coordinator) exchange(ctx context.Context) {
	var demand []balancer.Demand
	for range 20 {
		address, deputy := c.receivers.Next(c.lease.Holder(), c.deputies())
		if address == "" || ctx.Err() != nil {
			return
		}
		if demand == nil {
			demand = c.Fleet.TakeDemand()
		}
		r := Report{
			Instance: c.Instance, Address: c.Address, Link: c.LinkMbps, Members: c.membersDigest, Demand: demand, InFlight: c.Fleet.OwnInFlight(),
			Registry: c.Registry.Next(), Config: c.configVersion(), Overlay: c.overlaysSeen, Fence: c.fence,
			Suspects: c.Suspects.ExportRecent(suspectsResend), Parts: c.reportParts(address), Limits: c.exportLimits(), Unavailable: c.Fleet.Unavailable(), Waiting: hasWaiting(demand), Deputy: deputy, Queues: c.Fleet.OwnQueues(), Paces: c.Fleet.OwnPaces(), Starts: c.Fleet.Starts(), Build: c.build,
		}
		accountsSent := c.stateAccounts(ctx, &r, address)
		sent := c.Clock.Now()
		reply, err := c.sendReport(ctx, address, r)
		if err != nil {
			c.Meter.Add(MetricExchangesUnanswered, 1)
			c.receivers.BackOff(address)
			c.rejectArbiter(address)
			if !c.holderLost && !deputy {
				c.holderLost = true
				c.Log.Info("coordinator: holder does not reply", zap.String("holder", address), zap.Error(err))
			}
			continue
		}
		demand = nil
		if deputy && !reply.HoldsLease {
			c.Meter.Add(MetricDeputyExchanges, 1)
			if c.applyDeputyReply(reply, sent, address) {
				c.applyEntitlement(r, reply, accountsSent, address)
				return
			}
			c.receivers.BackOff(address)
			c.rejectArbiter(address)
			continue
		}
		if !reply.HoldsLease {
			c.receivers.BackOff(address)
			c.rejectArbiter(address)
			continue
		}
		if c.holderLost {
			c.holderLost = false
			c.Log.Info("coordinator: holder replies again", zap.String("holder", address), zap.Int64("fence", reply.Fence))
		}
		c.Meter.Add(MetricExchanges, 1)
		c.receivers.SetHolder(address, c.lease.Holder())
		c.applyReply(reply, sent)
		c.applyEntitlement(r, reply, accountsSent, address)
		if !r.Waiting || len(reply.Overlays) == 0 {
			return
		}
	}
}

func hasWaiting(demand []balancer.Demand) bool {
	for _, d := range demand {
		if d.Waiting > 0 {
			return true
		}
	}
	return false
}

func (c *Coordinator) configVersion() int64 {
	if t := c.Table(); t != nil {
		return t.Version
	}
	return noConfig
}

func (c *Coordinator) sendReport(ctx context.Context, address string, r Report) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, maxExchangeTime)
	defer cancel()
	if address == c.Address {
		return c.serveReport(ctx, r), nil
	}
	var reply Reply
	err := c.Peers.CallWithin(ctx, exchangeTimeout, address, kindExchange, r, &reply)
	return reply, eris.Wrap(err, "send report")
}

// handleReport is serveReport for a report from another instance.
func (c *Coordinator) handleReport(ctx context.Context, body msgpack.RawMessage) (any, error) {
	var r Report
	if err := msgpack.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode report")
	}
	return c.serveReport(ctx, r), nil
}

// serveReport applies a report and returns what its instance has not received yet.
func (c *Coordinator) serveReport(ctx context.Context, r Report) Reply {
	holds := c.lease.Valid()
	switch {
	case holds:
	case r.Deputy:
		// The holder may be lost: its feed is not waited for any longer.
		c.lease.Watch()
		c.Registry.EndFeed()
		c.Config.EndFeed()
	default:
		return Reply{}
	}
	if holds {
		c.leaveIfIncomplete(r)
	}
	c.Suspects.Merge(r.Suspects)
	c.mergeLimits(r.Limits)
	parts := c.Parts.ServeReport(r.Parts)
	c.cluster.addReport(r)
	c.logUnserved()
	if r.Fence != c.lease.Fence() {
		r.Overlay = 0
	}
	// The offset is read before the records are collected, so that none before it is missed.
	next := c.Registry.Next()
	reply, overlaysAdded := c.cluster.buildReply(r)
	if holds && r.Waiting && len(reply.Overlays) == 0 {
		c.cluster.awaitOverlays(ctx, overlaysAdded)
		next = c.Registry.Next()
		reply, _ = c.cluster.buildReply(r)
	}
	reply.Fence = c.lease.Fence()
	reply.Next = next
	reply.RegistryFresh = c.Registry.Fresh()
	reply.RegistryAge = max(c.Registry.KnownAge(), 1)
	// An instance that does not know ConfigInStore reads the store when no fresh
	// feed arrives.
	reply.ConfigFresh = c.Config.Fresh() && !reply.ConfigInStore
	reply.Parts = parts
	// The lease may have ended while the reply waited for overlays.
	reply.Entitlement = c.assignEntitlement(r, holds && c.lease.Valid(), reply.Instances)
	reply.Suspects, reply.Limits = c.Suspects.ExportRecent(suspectsResend), c.exportLimits()
	if !holds {
		return c.deputyReply(reply)
	}
	return reply
}

func (c *Coordinator) exportLimits() []throttler.Statement {
	if c.Limits == nil {
		return nil
	}
	return c.Limits.Export()
}

func (c *Coordinator) mergeLimits(list []throttler.Statement) {
	if c.Limits != nil {
		c.Limits.Merge(list)
	}
}

// feedConfig applies the configuration of a reply. If it is too large for one, it
// is read from the store, or fetched from a peer while the store can't be read.
func (c *Coordinator) feedConfig(r Reply) {
	if r.ConfigInStore {
		c.Config.ReadNow()
		select {
		case c.configAnnounced <- struct{}{}:
		default:
		}
		return
	}
	for _, x := range r.Config {
		c.Config.Offer(x)
	}
	c.Config.Feed(nil, r.ConfigNext, r.ConfigFresh)
}

// feedRegistry applies the registry of a reply to a report that was sent at a time.
func (c *Coordinator) feedRegistry(r Reply, sent time.Time) {
	if r.RegistryWhole {
		c.Registry.FeedWhole(r.Registry, r.Next, r.RegistryFresh)
	} else {
		c.Registry.Feed(r.Registry, r.Next, r.RegistryFresh)
	}
	if r.RegistryFresh && r.RegistryAge > 0 {
		c.Registry.RecordPeerRead(sent.Add(-r.RegistryAge))
	}
}

// applyReply applies a reply of the coordinator to a report that was sent at a time.
func (c *Coordinator) applyReply(r Reply, sent time.Time) {
	c.deputyStarts.Store(false)
	c.fence, c.overlaysSeen = r.Fence, r.Overlay
	c.instances.Store(int64(c.instancesPeak.Add(c.Clock.Now(), instancesWindow, r.Instances)))
	// The pause until the next report follows from the number of instances in this reply.
	c.lease.HolderReplied(c.ReplyTTL())
	if len(r.Members) > 0 {
		c.membersDigest = digestOf(r.Members)
		c.deputyOrder = r.Members
		c.peerAddresses.Store(&r.Members)
		c.OnMembers(r.Members)
	}
	c.Fleet.UpdatePeers(r.InFlight, r.Starts)
	c.Fleet.UpdatePeerQueues(r.Queues)
	c.applySpeeds(r)
	c.builds.Store(&r.Builds)
	c.Suspects.Merge(r.Suspects)
	c.Parts.ApplyReply(r.Parts)
	c.mergeLimits(r.Limits)
	if !c.lease.Valid() {
		c.feedRegistry(r, sent)
		c.feedConfig(r)
		c.endFeedOfHolder()
	}
	c.Fleet.ApplyOverlays(r.Overlays)
}

// endFeedOfHolder makes this instance read the store if it holds the lease. It may have taken it
// while its report was under way: the reply, which comes after the end of feeds at the start of
// the term, must not count as one, since all others rely on the reads of the holder.
func (c *Coordinator) endFeedOfHolder() {
	if c.lease.Valid() {
		c.Registry.EndFeed()
		c.Config.EndFeed()
	}
}
