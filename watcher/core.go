package watcher

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosehook/lister"
)

// Limits of the membership protocol.
const (
	// fanout is the number of peers pinged in each period.
	fanout = 2
	// maxHeartbeats bounds the heartbeats in one ping. With more members than
	// that, each ping carries a random subset.
	maxHeartbeats = 48
	// maxUpdates bounds the instance descriptions in one ping.
	maxUpdates = 4
	// updateLifetime is how long a changed description is gossiped.
	updateLifetime = 20 * time.Second
	// removeAfter is the silence after which a member that is no longer
	// listed is removed.
	removeAfter = time.Minute
)

// Timings of the membership protocol.
const (
	// period is the interval between two calls of Tick.
	period = time.Second
	// minSuspectTimeout is the shortest silence after which a member is
	// suspected dead.
	minSuspectTimeout = 4 * time.Second
	// listedGrace is how long a listed member without any heartbeat counts as
	// live: a starting instance is listed before its heartbeat has reached
	// all members.
	listedGrace = 10 * time.Second
)

// Heartbeat is one member's heartbeat as gossiped by its peers.
type Heartbeat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	// ID is the hash of the member's name. The name would be several times
	// as long.
	ID uint32
	// Seq is the member's heartbeat counter, incremented once a period.
	Seq uint32
}

// Ping is the gossip message between entry instances, and its answer.
type Ping struct {
	// From describes the sender. It is nil in an answer of a live instance that
	// the ping's ReceiverID already identified.
	From       *lister.Instance `msgpack:"f,omitempty"`
	Seq        uint32           `msgpack:"s"`
	Heartbeats []Heartbeat      `msgpack:"b,omitempty"`
	// PackedHeartbeats holds heartbeats in their compact encoding.
	PackedHeartbeats []byte `msgpack:"c,omitempty"`
	// AcceptsPacked is true if the sender can decode PackedHeartbeats.
	AcceptsPacked bool `msgpack:"r,omitempty"`
	// ReceiverID is the hash of the name under which the sender knows the
	// receiver.
	ReceiverID uint32            `msgpack:"o,omitempty"`
	Updates    []lister.Instance `msgpack:"w,omitempty"`
	// Topics carries the gossiped state of other packages, by topic name.
	Topics map[string][]byte `msgpack:"t,omitempty"`
}

// member is an entry instance other than this one.
type member struct {
	instance lister.Instance
	id       uint32
	seq      uint32
	// heartbeatAt is when seq last increased, on this instance's clock.
	heartbeatAt time.Time
	// firstSeenAt is when the member was first listed or described in a ping.
	firstSeenAt time.Time
	// changedAt is when the description last changed.
	changedAt time.Time
	listed    bool
	// acceptsPacked is true if the member can decode packed heartbeats.
	acceptsPacked bool
}

// Core is the membership state. It does no I/O: callers pass in received pings
// and send the pings that it returns.
//
// Heartbeats are counters that peers gossip, so an instance sends a fixed number
// of pings per second at any cluster size. A full mesh of heartbeats was
// rejected: it costs 389 messages per second and instance at 390 instances.
// Polling the instance list alone is cheap, but detects a crash only after the
// list's own delay.
type Core struct {
	self    lister.Instance
	seq     uint32
	random  *rand.Rand
	members map[string]*member
	// byID maps the hash of a name to its member. Two names with the same hash
	// would share a heartbeat, so that a crash of one could go undetected; at
	// 130 members the probability of that is 2 in a million.
	byID map[uint32]*member
	// order holds the members in an order that depends only on the seed and
	// the calls made, so that a seed reproduces a run. Map iteration order
	// would not.
	order []*member
	// nonEntries holds the listed instances of other kinds, ordered by name.
	nonEntries []lister.Instance
}

// NewCore returns a core whose only member is self.
func NewCore(self lister.Instance, seed uint64) *Core {
	return &Core{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
		members: map[string]*member{},
		byID:    map[uint32]*member{},
	}
}

// Self returns this instance.
func (c *Core) Self() lister.Instance { return c.self }

// Leave marks this instance as leaving.
func (c *Core) Leave() { c.self.State = lister.StateLeaving }

// UpdateList applies a response of the instance list. The list is delayed, so a
// member that it lacks is kept while its heartbeats increase, and a leaving state
// received by gossip is not reverted.
func (c *Core) UpdateList(now time.Time, all []lister.Instance) {
	for _, m := range c.members {
		m.listed = false
	}
	c.nonEntries = c.nonEntries[:0:0]
	for _, i := range all {
		switch {
		case i.Kind != lister.KindEntry:
			c.nonEntries = append(c.nonEntries, i)
		case i.Name != c.self.Name && i.Region == c.self.Region:
			c.addOrUpdate(now, i).listed = true
		}
	}
	slices.SortFunc(c.nonEntries, func(a, b lister.Instance) int { return cmp.Compare(a.Name, b.Name) })
	c.removeSilent(now)
}

// addOrUpdate adds a member, or marks a known one as leaving. Other changes to the
// description of a known member are ignored.
func (c *Core) addOrUpdate(now time.Time, i lister.Instance) *member {
	m, ok := c.members[i.Name]
	if !ok {
		m = &member{instance: i, id: memberID(i.Name), firstSeenAt: now, changedAt: now}
		c.members[i.Name] = m
		c.byID[m.id] = m
		c.order = append(c.order, m)
		return m
	}
	if i.State == lister.StateLeaving && m.instance.State != lister.StateLeaving {
		m.instance = i
		m.changedAt = now
	}
	return m
}

func memberID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// removeSilent removes the silent members that are no longer listed.
func (c *Core) removeSilent(now time.Time) {
	for name, m := range c.members {
		silent := now.Sub(later(m.heartbeatAt, m.firstSeenAt))
		if !m.listed && silent > removeAfter {
			delete(c.members, name)
			delete(c.byID, m.id)
			c.order = slices.DeleteFunc(c.order, func(o *member) bool { return o == m })
		}
	}
}

// Tick starts a period: it returns a ping and the peers to send it to. Silent
// members are pinged too: only a ping can detect that a network partition has
// healed.
func (c *Core) Tick(now time.Time) (Ping, []lister.Instance) {
	c.seq++
	c.shuffle()
	var targets []lister.Instance
	for _, m := range c.order[:min(fanout, len(c.order))] {
		targets = append(targets, m.instance)
	}
	return c.Ping(now), targets
}

// LivePeers returns the live entry instances other than this one.
func (c *Core) LivePeers(now time.Time) []lister.Instance {
	var all []lister.Instance
	for _, m := range c.order {
		if c.isLive(now, m) {
			all = append(all, m.instance)
		}
	}
	return all
}

func (c *Core) shuffle() {
	c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// Ping returns this instance's ping without topics.
func (c *Core) Ping(now time.Time) Ping { return c.buildPing(now, nil) }

// buildPing returns a ping without the heartbeats that are no newer than those in
// known, which maps member IDs to sequence numbers.
func (c *Core) buildPing(now time.Time, known map[uint32]uint32) Ping {
	self := c.self
	p := Ping{From: &self, Seq: c.seq, AcceptsPacked: true}
	c.shuffle()
	for _, m := range c.order {
		if len(p.Heartbeats) < maxHeartbeats && m.seq > known[m.id] {
			p.Heartbeats = append(p.Heartbeats, Heartbeat{ID: m.id, Seq: m.seq})
		}
		if len(p.Updates) < maxUpdates && now.Sub(m.changedAt) < updateLifetime {
			p.Updates = append(p.Updates, m.instance)
		}
	}
	return p
}

// HandlePing applies a received ping.
func (c *Core) HandlePing(now time.Time, p Ping) {
	for _, i := range p.Updates {
		if i.Name != c.self.Name && i.Region == c.self.Region {
			c.addOrUpdate(now, i)
		}
	}
	if f := p.From; f != nil && f.Name != c.self.Name && f.Region == c.self.Region {
		c.addOrUpdate(now, *f).acceptsPacked = p.AcceptsPacked
		c.applyHeartbeat(now, Heartbeat{ID: memberID(f.Name), Seq: p.Seq})
	}
	for _, b := range p.allHeartbeats() {
		c.applyHeartbeat(now, b)
	}
}

// applyHeartbeat ignores heartbeats of unknown members and old sequence numbers.
func (c *Core) applyHeartbeat(now time.Time, b Heartbeat) {
	m, ok := c.byID[b.ID]
	if !ok || b.Seq <= m.seq {
		return
	}
	m.seq = b.Seq
	m.heartbeatAt = now
}

// suspectTimeout returns the silence after which one of n members is suspected
// dead: twice the time in which a heartbeat is expected to reach all of them. In
// each period a member exchanges 2*fanout pings, each of which carries a given
// heartbeat with probability maxHeartbeats/n: the heartbeat first spreads
// exponentially, then has to reach the last members. A fixed timeout does not fit
// all sizes: 8 s led to suspicion of live members at 130 members, and a timeout that
// is long enough there delays detection at nine for no benefit.
func suspectTimeout(n int) time.Duration {
	size := math.Log(float64(max(n, 2)))
	rate := 2 * fanout * min(1, float64(maxHeartbeats)/float64(n))
	periods := size/math.Log1p(rate) + size/rate
	return max(minSuspectTimeout, time.Duration(2*periods*float64(period)))
}

func (c *Core) isLive(now time.Time, m *member) bool {
	if m.seq > 0 {
		return now.Sub(m.heartbeatAt) < suspectTimeout(len(c.members)+1)
	}
	return m.listed && now.Sub(m.firstSeenAt) < listedGrace
}

// Entries returns the live entry instances of this region, including this one,
// ordered by name.
func (c *Core) Entries(now time.Time) []lister.Instance {
	all := []lister.Instance{c.self}
	for _, m := range c.members {
		if c.isLive(now, m) {
			all = append(all, m.instance)
		}
	}
	sortByName(all)
	return all
}

// ListedOfKind returns the listed instances of a kind other than entry, ordered by
// name.
func (c *Core) ListedOfKind(kind string) []lister.Instance {
	var all []lister.Instance
	for _, i := range c.nonEntries {
		if i.Kind == kind {
			all = append(all, i)
		}
	}
	return all
}

// Owners returns up to count entry instances in the order in which they should
// own a shard.
func (c *Core) Owners(now time.Time, shard string, count int) []lister.Instance {
	return rankOwners(c.Entries(now), shard, count)
}

type weighted struct {
	instance lister.Instance
	weight   uint64
}

// rankOwners orders instances by rendezvous hashing, leaving ones last. After the
// first, an instance of a zone that has no owner yet goes before one of a zone
// that has, so that the loss of a zone does not take out the first two owners of a
// shard.
func rankOwners(all []lister.Instance, shard string, count int) []lister.Instance {
	order := make([]weighted, 0, len(all))
	for _, i := range all {
		order = append(order, weighted{instance: i, weight: xxhash.Sum64String(shard + "/" + i.Name)})
	}
	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(
			cmp.Compare(leavingOrder(a.instance), leavingOrder(b.instance)),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.instance.Name, b.instance.Name),
		)
	})
	owners := make([]lister.Instance, 0, min(count, len(order)))
	zones := map[string]bool{}
	for len(owners) < count && len(order) > 0 {
		next := 0
		for n, r := range order {
			if !zones[r.instance.Zone] && leavingOrder(r.instance) == leavingOrder(order[0].instance) {
				next = n
				break
			}
		}
		zones[order[next].instance.Zone] = true
		owners = append(owners, order[next].instance)
		order = slices.Delete(order, next, next+1)
	}
	return owners
}

// leavingOrder sorts leaving instances behind the others.
func leavingOrder(i lister.Instance) int {
	if i.State == lister.StateLeaving {
		return 1
	}
	return 0
}

func sortByName(all []lister.Instance) {
	slices.SortFunc(all, func(a, b lister.Instance) int { return cmp.Compare(a.Name, b.Name) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
