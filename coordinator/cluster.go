package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/balancer"
	"primrosehook/decayer"
	"primrosehook/matcher"
	"primrosehook/registrar"
	"primrosehook/serviceplanner"
	"primrosehook/tailer"
	"primrosehook/tallier"
)

// Half-lives of the demand rates, of which the larger one counts: the fast rate
// follows a shift of demand, the slow rate keeps models that are requested only
// occasionally.
const (
	fastHalfLife = time.Second
	slowHalfLife = 3 * time.Second
)

// minDemandRate is the rate below which demand is dropped, in requests a second.
const minDemandRate = 0.002

// member is an instance as of its last report.
type member struct {
	address string
	// order is the place among deputies with links alike. It is kept since members are sorted for
	// each one that joins.
	order       uint64
	link        float64
	reportedAt  time.Time
	inFlight    map[string]balancer.InFlight
	waiting     map[demandKey]int
	unavailable []string
	queues      []balancer.Queue
	paces       map[string]balancer.Pace
	build       string
}

// demandKey names a model or adapter of a service, at one build or, if that is empty, at
// any.
type demandKey struct{ service, key, build string }

// modelKey names a model of a service.
type modelKey struct{ service, model string }

type demandRates struct{ fast, slow decayer.Counter }

// holding is how long requests hold a slot of a server: decaying sums of finished requests and of
// the seconds for which they held one.
type holding struct{ done, seconds decayer.Counter }

// holdingHalfLife is the half-life of holding: some hundred requests of a model in demand.
const holdingHalfLife = 10 * time.Second

// clusterState is the coordinator's view of all instances and servers. Every
// instance maintains the part that comes from the store, so that it can become
// the coordinator.
type clusterState struct {
	clock clockwork.Clock

	mu      sync.Mutex
	members map[string]*member
	// totalInFlight sums the in-flight work of all members by server. It is
	// updated with each report: summing for each reply would cost instances
	// times servers.
	totalInFlight map[string]balancer.InFlight
	// totalQueues sums the queues of all members.
	totalQueues balancer.Queues
	// totalPaces sums the evidence of all members of the speed of each server.
	totalPaces map[string]balancer.Pace
	// present are the registered servers by ID, starts those that have started again of late.
	present map[string]registrar.Server
	starts  balancer.StartTable
	seen    seenIDs
	// addresses are the members' addresses in the order of deputies,
	// addressesDigest their digest; both are rebuilt when they change.
	addresses       []string
	addressesDigest uint64
	demand          map[demandKey]*demandRates
	// holdings are those of each service.
	holdings map[string]*holding
	// requestedAt is when an instance last reported a request for a model of a service,
	// requestedSince when one first did in this term.
	requestedAt    map[modelKey]time.Time
	requestedSince time.Time
	overlays       []balancer.Overlay
	// droppedOverlays is how many overlays were added and then dropped.
	droppedOverlays int
	// records are the newest registry records by key, all of them of the same era of
	// the store.
	records map[string]tailer.Record
	era     int64
	// completeFrom is the position from which on records are complete: an instance that has everything
	// before a lower one may know servers whose removals are not among them. It is noPosition while
	// there is none.
	completeFrom int64
	servers      []registrar.Server
	// hasRegistry is set once the registry is known.
	hasRegistry bool
	linkMbps    float64
	// configRecord is the newest configuration, configVersion its version, noConfig if there is
	// none.
	configRecord  tailer.Record
	configVersion int64
	// overlaysAdded is closed and replaced when overlays are added.
	overlaysAdded chan struct{}
	// unserved records what is requested and not served.
	unserved unserved
	// planNow receives a value if the next plan must not wait for planInterval.
	planNow chan struct{}
}

func newClusterState(clock clockwork.Clock, linkMbps float64) *clusterState {
	return &clusterState{
		clock: clock, linkMbps: linkMbps, members: map[string]*member{}, totalInFlight: map[string]balancer.InFlight{}, totalQueues: balancer.Queues{}, totalPaces: map[string]balancer.Pace{}, demand: map[demandKey]*demandRates{}, holdings: map[string]*holding{}, requestedAt: map[modelKey]time.Time{},
		records: map[string]tailer.Record{}, configVersion: noConfig, completeFrom: noPosition, overlaysAdded: make(chan struct{}), planNow: make(chan struct{}, 1),
		unserved: unserved{tallies: map[string]*tallier.Tally{}},
	}
}

// reset drops what an earlier term left behind.
func (c *clusterState) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.members)
	clear(c.totalInFlight)
	clear(c.totalQueues)
	clear(c.totalPaces)
	c.updateAddresses()
	c.overlays, c.droppedOverlays = nil, 0
	clear(c.requestedAt)
	c.requestedSince = time.Time{}
	c.clearAbsent()
}

// addReport applies an instance's report.
func (c *clusterState) addReport(r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	m := &member{address: r.Address, order: balancer.Hash("deputy " + r.Address), link: r.Link, reportedAt: now, inFlight: ofPresentStarts(c, now, r.InFlight, r.Starts), waiting: map[demandKey]int{}, unavailable: r.Unavailable, queues: r.Queues, paces: ofPresentStarts(c, now, r.Paces, r.Starts), build: r.Build.String()}
	old, ok := c.members[r.Instance]
	if ok {
		c.subtractInFlight(old)
		c.totalQueues.Remove(old.queues)
		c.subtractPaces(old)
	}
	c.addPaces(m)
	c.members[r.Instance] = m
	c.totalQueues.Add(m.queues)
	for id, f := range m.inFlight {
		c.totalInFlight[id] = c.totalInFlight[id].Add(f)
	}
	if !ok || old.address != m.address || old.link != m.link {
		c.updateAddresses()
	}
	waiting := false
	for _, d := range r.Demand {
		model, _, _ := strings.Cut(d.Key, "/")
		c.requestedAt[modelKey{d.Service, model}] = now
		if c.requestedSince.IsZero() {
			c.requestedSince = now
		}
		k := demandKey{d.Service, d.Key, ""}
		rates, ok := c.demand[k]
		if !ok {
			rates = &demandRates{}
			c.demand[k] = rates
		}
		rates.fast.Add(now, fastHalfLife, float64(d.Arrived))
		rates.slow.Add(now, slowHalfLife, float64(d.Arrived))
		c.addHolding(now, d)
		c.addServed(now, d)
		if d.Waiting > 0 {
			m.waiting[demandKey{d.Service, d.Key, d.Build}] = d.Waiting
			waiting = true
		}
	}
	if waiting {
		c.triggerPlan()
	}
}

// subtractInFlight subtracts a member's in-flight work from the total.
func (c *clusterState) subtractInFlight(m *member) {
	for id, f := range m.inFlight {
		if left := c.totalInFlight[id].Sub(f); left != (balancer.InFlight{}) {
			c.totalInFlight[id] = left
		} else {
			delete(c.totalInFlight, id)
		}
	}
}

// expireMembers removes the members whose last report is older than memberTTL.
func (c *clusterState) expireMembers(now time.Time) {
	before := len(c.members)
	for name, m := range c.members {
		if now.Sub(m.reportedAt) > memberTTL {
			c.subtractInFlight(m)
			c.totalQueues.Remove(m.queues)
			c.subtractPaces(m)
			delete(c.members, name)
		}
	}
	if len(c.members) < before {
		c.updateAddresses()
	}
}

// updateAddresses rebuilds the list of addresses and its digest.
func (c *clusterState) updateAddresses() {
	c.addresses = rankMembers(c.members)
	c.addressesDigest = digestOf(c.addresses)
}

// triggerPlan makes the next plan start without waiting for planInterval.
func (c *clusterState) triggerPlan() {
	select {
	case c.planNow <- struct{}{}:
	default:
	}
}

// buildReply returns what the reporting instance has not received yet, and a
// channel that is closed when overlays are added.
func (c *clusterState) buildReply(r Report) (Reply, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.expireMembers(now)
	out := Reply{HoldsLease: true, Instances: len(c.members), InFlight: maps.Clone(c.totalInFlight), Queues: c.totalQueues.Without(r.Queues).List(), Builds: c.builds(), Speeds: c.speeds(), SpeedsKnown: true, Starts: c.starts.Recent(now)}
	if m, ok := c.members[r.Instance]; ok {
		for id, f := range m.inFlight {
			if left := out.InFlight[id].Sub(f); left != (balancer.InFlight{}) {
				out.InFlight[id] = left
			} else {
				delete(out.InFlight, id)
			}
		}
	}
	if c.addressesDigest != r.Members {
		out.Members = c.addresses
	}
	out.Registry, out.RegistryWhole = c.recordsFrom(r.Registry)
	switch {
	case r.Config >= c.configVersion:
	case len(c.configRecord.Value) > c.maxConfigBytes(r):
		out.ConfigInStore = true
	default:
		out.Config = []tailer.Record{c.configRecord}
		out.ConfigNext = c.configRecord.Offset + 1
	}
	from := max(r.Overlay-c.droppedOverlays, 0)
	if from < len(c.overlays) {
		out.Overlays = slices.Clone(c.overlays[from:])
	}
	out.Overlay = c.droppedOverlays + len(c.overlays)
	return out, c.overlaysAdded
}

// builds returns how many members run each build. c.mu must be held.
func (c *clusterState) builds() map[string]int {
	count := map[string]int{}
	for _, m := range c.members {
		count[m.build]++
	}
	return count
}

// maxConfigBytes returns the size of the largest configuration that fits a reply
// to an instance: all instances want it at the same time, from this instance's
// link. A reply that is not complete within exchangeTimeout is sent again and
// again. c.mu must be held.
func (c *clusterState) maxConfigBytes(r Report) int {
	mbps := c.linkMbps / float64(max(len(c.members), 1))
	if r.Link > 0 {
		mbps = min(mbps, r.Link)
	}
	return int(mbps * bytesPerSecondPerMbps * maxConfigTime.Seconds())
}

// digestOf returns a digest by which lists of member addresses are compared.
func digestOf(members []string) uint64 { return balancer.Hash(strings.Join(members, " ")) }

// addOverlays adds the changes that orders made, for replies to instances.
func (c *clusterState) addOverlays(list []balancer.Overlay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overlays = append(c.overlays, list...)
	if n := len(c.overlays) - maxOverlays; n > 0 {
		c.overlays = slices.Clone(c.overlays[n:])
		c.droppedOverlays += n
	}
	close(c.overlaysAdded)
	c.overlaysAdded = make(chan struct{})
}

// awaitOverlays waits up to overlayWait for new overlays.
func (c *clusterState) awaitOverlays(ctx context.Context, added <-chan struct{}) {
	select {
	case <-added:
	case <-ctx.Done():
	case <-c.clock.After(overlayWait):
	}
}

func (c *clusterState) updateConfig(x tailer.Record, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.configVersion {
		c.configRecord, c.configVersion = x, version
	}
}

// serviceDemand returns the demand for a service in requests a second, and how
// many requests wait for a replica, both by model and adapter key.
func (c *clusterState) serviceDemand(service string) (demand map[string]float64, waiting map[string]int, builds map[serviceplanner.BuildKey]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	demand, waiting, builds = map[string]float64{}, map[string]int{}, map[serviceplanner.BuildKey]int{}
	for k, d := range c.demand {
		rate := max(d.fast.Rate(now, fastHalfLife), d.slow.Rate(now, slowHalfLife))
		if rate < minDemandRate {
			delete(c.demand, k)
			continue
		}
		if k.service == service {
			demand[k.key] = rate
		}
	}
	for _, m := range c.members {
		if now.Sub(m.reportedAt) > memberTTL {
			continue
		}
		for k, n := range m.waiting {
			switch {
			case k.service != service:
			case k.build != "":
				builds[serviceplanner.BuildKey{Key: k.key, Build: k.build}] += n
			default:
				waiting[k.key] += n
			}
		}
	}
	return demand, waiting, builds
}

// unrequested returns how long no instance has reported a request for each model of a service.
// It is empty while none was reported at all.
func (c *clusterState) unrequested(service string, models map[string]matcher.Model) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := map[string]time.Duration{}
	if c.requestedSince.IsZero() {
		return since
	}
	now := c.clock.Now()
	for m := range models {
		at, ok := c.requestedAt[modelKey{service, m}]
		if !ok {
			at = c.requestedSince
		}
		since[m] = now.Sub(at)
	}
	return since
}

// unavailable returns the incarnations of servers that some instance cannot connect
// to, or that say that they leave.
func (c *clusterState) unavailable() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	all := map[string]bool{}
	for _, m := range c.members {
		if now.Sub(m.reportedAt) > unavailableTTL {
			continue
		}
		for _, incarnation := range m.unavailable {
			all[incarnation] = true
		}
	}
	return all
}

func (c *clusterState) registeredServers() []registrar.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers
}
