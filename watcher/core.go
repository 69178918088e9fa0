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
	// fanout is how many peers a ping goes to in each period.
	fanout = 2
	// maxBeats bounds the heartbeats that one ping carries. With more members
	// than that, each ping takes a random part of them.
	maxBeats = 48
	// maxNews bounds the full descriptions that one ping carries.
	maxNews = 4
	// newsFor is how long a change is passed on.
	newsFor = 20 * time.Second
	// forgetAfter is when a silent member that is no longer listed is dropped.
	forgetAfter = time.Minute
)

// Timings of the membership protocol.
const (
	// period is the time between two ticks.
	period = time.Second
	// minSuspect is the least silence after which a member counts as gone.
	minSuspect = 4 * time.Second
	// graceListed is how long a listed member that was never heard counts as
	// live: a starting instance is listed before it has reached everybody.
	graceListed = 10 * time.Second
)

// Beat is one member's heartbeat as passed on by others.
type Beat struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	// ID is the hash of the member's name, which is several times as long.
	ID uint32
	// Seq grows with each period of the member's own clock.
	Seq uint32
}

// Ping is what instances send each other, and what they answer.
type Ping struct {
	// From describes the sender. An answer to a ping that named it lacks it.
	From  *lister.Instance `msgpack:"f,omitempty"`
	Seq   uint32           `msgpack:"s"`
	Beats []Beat           `msgpack:"b,omitempty"`
	// Packed holds beats in their short form.
	Packed []byte `msgpack:"c,omitempty"`
	// Reads says that the sender reads Packed.
	Reads bool `msgpack:"r,omitempty"`
	// To is the hash of the name by which the sender knows the receiver.
	To   uint32            `msgpack:"o,omitempty"`
	News []lister.Instance `msgpack:"w,omitempty"`
	// Topics carries what other parts spread, by topic name.
	Topics map[string][]byte `msgpack:"t,omitempty"`
}

// member is an entry instance other than this one.
type member struct {
	instance lister.Instance
	id       uint32
	seq      uint32
	// beatAt is when seq last grew, on this instance's clock.
	beatAt time.Time
	// knownAt is when the member was first heard of or listed.
	knownAt time.Time
	// newsAt is when its description last changed.
	newsAt time.Time
	listed bool
	// reads says that the member reads packed beats.
	reads bool
}

// Core is the membership as plain state. It does no I/O: pings go in, pings to
// send come out.
//
// A heartbeat is a counter that others pass on, so a node sends a fixed number
// of pings a second whatever the fleet's size. The rejected way, a full mesh of
// heartbeats, costs 389 messages a second and node at 390 nodes; asking the
// instance list alone is cheap but lags behind a crash by its own delay.
type Core struct {
	self    lister.Instance
	seq     uint32
	random  *rand.Rand
	members map[string]*member
	// ids finds members by the hash of their name. Two names with one hash
	// would share a heartbeat, so that one could crash unnoticed; at 130 members
	// the odds of that are 2 in a million.
	ids map[uint32]*member
	// order holds the members in an order that depends on nothing but the
	// history, so that a seed repeats a run. Maps have none.
	order  []*member
	others []lister.Instance
}

// NewCore returns a core that knows only itself.
func NewCore(self lister.Instance, seed uint64) *Core {
	return &Core{
		self:    self,
		random:  rand.New(rand.NewPCG(seed, xxhash.Sum64String(self.Name))),
		members: map[string]*member{},
		ids:     map[uint32]*member{},
	}
}

// Self returns this instance.
func (c *Core) Self() lister.Instance { return c.self }

// Leave marks this instance as leaving.
func (c *Core) Leave() { c.self.State = lister.StateLeaving }

// Listed takes over an answer of the instance list. The list lags, so a member
// that it lacks is kept while its heartbeats grow, and a leaving state that was
// learned directly stands.
func (c *Core) Listed(now time.Time, all []lister.Instance) {
	for _, m := range c.members {
		m.listed = false
	}
	c.others = c.others[:0:0]
	for _, i := range all {
		switch {
		case i.Kind != lister.KindEntry:
			c.others = append(c.others, i)
		case i.Name != c.self.Name && i.Region == c.self.Region:
			c.learn(now, i).listed = true
		}
	}
	slices.SortFunc(c.others, func(a, b lister.Instance) int { return cmp.Compare(a.Name, b.Name) })
	c.forget(now)
}

func (c *Core) learn(now time.Time, i lister.Instance) *member {
	m, ok := c.members[i.Name]
	if !ok {
		m = &member{instance: i, id: idOf(i.Name), knownAt: now, newsAt: now}
		c.members[i.Name] = m
		c.ids[m.id] = m
		c.order = append(c.order, m)
		return m
	}
	if i.State == lister.StateLeaving && m.instance.State != lister.StateLeaving {
		m.instance = i
		m.newsAt = now
	}
	return m
}

func idOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func (c *Core) forget(now time.Time) {
	for name, m := range c.members {
		silent := now.Sub(later(m.beatAt, m.knownAt))
		if !m.listed && silent > forgetAfter {
			delete(c.members, name)
			delete(c.ids, m.id)
			c.order = slices.DeleteFunc(c.order, func(o *member) bool { return o == m })
		}
	}
}

// Tick begins a period: it returns a ping and the peers to send it to. Silent
// members are pinged too: only a ping can show that a cut has healed.
func (c *Core) Tick(now time.Time) (Ping, []lister.Instance) {
	c.seq++
	c.shuffle()
	var targets []lister.Instance
	for _, m := range c.order[:min(fanout, len(c.order))] {
		targets = append(targets, m.instance)
	}
	return c.Ping(now), targets
}

// Live returns the live members other than this one.
func (c *Core) Live(now time.Time) []lister.Instance {
	var all []lister.Instance
	for _, m := range c.order {
		if c.alive(now, m) {
			all = append(all, m.instance)
		}
	}
	return all
}

func (c *Core) shuffle() {
	c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// Ping returns this instance's ping without topics.
func (c *Core) Ping(now time.Time) Ping { return c.ping(now, nil) }

// ping leaves out the beats that are no newer than known ones.
func (c *Core) ping(now time.Time, known map[uint32]uint32) Ping {
	self := c.self
	p := Ping{From: &self, Seq: c.seq, Reads: true}
	c.shuffle()
	for _, m := range c.order {
		if len(p.Beats) < maxBeats && m.seq > known[m.id] {
			p.Beats = append(p.Beats, Beat{ID: m.id, Seq: m.seq})
		}
		if len(p.News) < maxNews && now.Sub(m.newsAt) < newsFor {
			p.News = append(p.News, m.instance)
		}
	}
	return p
}

// Heard takes over a ping.
func (c *Core) Heard(now time.Time, p Ping) {
	for _, i := range p.News {
		if i.Name != c.self.Name && i.Region == c.self.Region {
			c.learn(now, i)
		}
	}
	if f := p.From; f != nil && f.Name != c.self.Name && f.Region == c.self.Region {
		c.learn(now, *f).reads = p.Reads
		c.beat(now, Beat{ID: idOf(f.Name), Seq: p.Seq})
	}
	for _, b := range p.beats() {
		c.beat(now, b)
	}
}

func (c *Core) beat(now time.Time, b Beat) {
	m, ok := c.ids[b.ID]
	if !ok || b.Seq <= m.seq {
		return
	}
	m.seq = b.Seq
	m.beatAt = now
}

// suspectAfter is twice the time in which a heartbeat reaches all of n members.
// In each period a member exchanges 2*fanout pings, and each carries the beat
// with probability maxBeats/n: the beat first spreads exponentially, then the
// last members wait for it. A fixed time was tried: 8 s suspected live members
// at 130, and a time long enough for those makes nine wait for nothing.
func suspectAfter(n int) time.Duration {
	size := math.Log(float64(max(n, 2)))
	rate := 2 * fanout * min(1, float64(maxBeats)/float64(n))
	periods := size/math.Log1p(rate) + size/rate
	return max(minSuspect, time.Duration(2*periods*float64(period)))
}

func (c *Core) alive(now time.Time, m *member) bool {
	if m.seq > 0 {
		return now.Sub(m.beatAt) < suspectAfter(len(c.members)+1)
	}
	return m.listed && now.Sub(m.knownAt) < graceListed
}

// Entries returns the live entry instances of this region with this one.
func (c *Core) Entries(now time.Time) []lister.Instance {
	all := []lister.Instance{c.self}
	for _, m := range c.members {
		if c.alive(now, m) {
			all = append(all, m.instance)
		}
	}
	byName(all)
	return all
}

// Others returns the listed instances of a kind other than entry.
func (c *Core) Others(kind string) []lister.Instance {
	var all []lister.Instance
	for _, i := range c.others {
		if i.Kind == kind {
			all = append(all, i)
		}
	}
	return all
}

// Owners returns up to count entry instances in the order in which they should
// hold a shard.
func (c *Core) Owners(now time.Time, shard string, count int) []lister.Instance {
	return rank(c.Entries(now), shard, count)
}

type ranked struct {
	instance lister.Instance
	weight   uint64
}

// rank orders instances by rendezvous hashing. After the first, an instance of
// a zone not yet among the homes goes before one of the same zone, so that the
// loss of a zone does not take the first two homes of a shard.
func rank(all []lister.Instance, shard string, count int) []lister.Instance {
	order := make([]ranked, 0, len(all))
	for _, i := range all {
		order = append(order, ranked{instance: i, weight: xxhash.Sum64String(shard + "/" + i.Name)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(leaving(a.instance), leaving(b.instance)),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.instance.Name, b.instance.Name),
		)
	})
	homes := make([]lister.Instance, 0, min(count, len(order)))
	zones := map[string]bool{}
	for len(homes) < count && len(order) > 0 {
		next := 0
		for n, r := range order {
			if !zones[r.instance.Zone] && leaving(r.instance) == leaving(order[0].instance) {
				next = n
				break
			}
		}
		zones[order[next].instance.Zone] = true
		homes = append(homes, order[next].instance)
		order = slices.Delete(order, next, next+1)
	}
	return homes
}

func leaving(i lister.Instance) int {
	if i.State == lister.StateLeaving {
		return 1
	}
	return 0
}

func byName(all []lister.Instance) {
	slices.SortFunc(all, func(a, b lister.Instance) int { return cmp.Compare(a.Name, b.Name) })
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
