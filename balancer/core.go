package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"primrosehook/decayer"
	"primrosehook/registrar"
)

// Costs are in milliseconds of expected delay.
const (
	// PrefillRate is how many prompt tokens an engine reads in a millisecond, as
	// the sites' sheets say.
	PrefillRate = 22.0
	// runningCost is what each running request adds to the first token of the
	// next one: it lengthens the steps between pieces of the prompt.
	runningCost = 0.8
	// zoneCost is the price of a server in another availability zone: two
	// crossings and the bytes.
	zoneCost = 3.0
	// failureCost is the price of a server that failed all its latest requests.
	failureCost = 4000.0
	// jitter spreads the choice among servers that cost nearly the same.
	jitter = 2.0
	// defaultService is the time of a request at a plain service until it is
	// known from answers.
	defaultService = 30.0
)

const (
	// readingLimit is how many prompt tokens may wait at a server, in all: half
	// of the tightest objective's time.
	readingLimit = 6600
	// recentLimit is how many prompt tokens are sent to a server in about the
	// time of the longest pause between events that is still on time. An engine
	// that reads prompts all the time makes every running stream pause: each
	// step then takes as long as a piece of a prompt, and an event is made in
	// several steps. recentHalf is the half-life of the count: at a steady rate
	// it makes the limit 60 in 100 of what an engine can read.
	recentLimit = 4500
	recentHalf  = 240 * time.Millisecond
	// cacheShare of a server's cache may be spoken for; beyond it running
	// requests are put back and read anew.
	cacheShare = 0.95
	// absentTime is how long a server that said it does not hold a model is
	// believed against its registration.
	absentTime = 1500 * time.Millisecond
	// downTime is how long a server that took no connection is not tried: one
	// that restarts takes seconds.
	downTime = time.Second
	// failureShare is the weight of the latest outcome in the failure rate.
	failureShare = 0.3
	// recovery is how fast a failure rate halves without new outcomes, so
	// that a server that was avoided is tried again.
	recovery = 1500 * time.Millisecond
	// latencyShare is the weight of the latest latency in the mean.
	latencyShare = 0.15
	// pacedAge is how long after the keeper of a server's pace has answered its
	// word goes before the counts that instances exchange.
	pacedAge = time.Second
	// askTime bounds how long the answer is awaited whether a server may get a
	// prompt.
	askTime = 100 * time.Millisecond
	// assumedTokens is how many tokens an event is taken to hold until
	// leastWhole streams of leastEvents or more have shown it: one in fifty or
	// so is as long as it might be.
	assumedTokens = 4
	leastWhole    = 100
	leastEvents   = 5
	// overlayTime is how long a registration may take to show what an order
	// has changed: a heartbeat, and readings.
	overlayTime = 4 * time.Second
	// othersAge is how long the counts of other instances are used.
	othersAge = 3 * time.Second
)

type server struct {
	registrar.Server
	held    map[string]bool
	own     Flight
	others  Flight
	failure float64
	judged  time.Time
	latency float64
	recent  decayer.Counter
	// down is until when the server is taken to take no connection.
	down time.Time
	// paced is when the keeper of the server's pace last answered, free when it
	// said that a prompt may be sent next, and closed until when it is not asked
	// again.
	paced, free, closed time.Time
	// heard is when a byte last came from the server, in nanoseconds since the
	// fleet began.
	heard *atomic.Int64
}

// Core holds the servers of one service. It is not safe for concurrent use.
type Core struct {
	zone     string
	random   *rand.Rand
	servers  map[string]*server
	order    []*server
	overlays map[string][]told
	latency  float64
	heard    time.Time
	cache    int
	// events is the fewest tokens an event of whole streams held, of streams
	// that were as long as they might be, and whole how many streams ended.
	events, whole int
}

// NewCore returns a core of an instance in a zone.
func NewCore(zone string, seed uint64) *Core {
	return &Core{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, overlays: map[string][]told{}, latency: defaultService,
	}
}

// Update takes the servers of the service over from the registry.
func (c *Core) Update(now time.Time, list []registrar.Server) {
	kept := make(map[string]*server, len(list))
	c.order = c.order[:0]
	for _, r := range list {
		s, ok := c.servers[r.ID]
		if !ok || s.Life != r.Life {
			s = &server{latency: c.latency, heard: new(atomic.Int64)}
		}
		s.Server = r
		c.hold(now, s)
		kept[r.ID] = s
		c.order = append(c.order, s)
	}
	c.servers = kept
	slices.SortFunc(c.order, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// hold works out what a server holds, from its registration and the orders
// that are newer.
func (c *Core) hold(now time.Time, s *server) {
	s.held = map[string]bool{}
	for _, h := range s.Holdings {
		s.held[h.Model] = true
		for _, a := range h.Adapters {
			s.held[Key(h.Model, a)] = true
		}
	}
	newer := c.overlays[s.ID][:0]
	for _, o := range c.overlays[s.ID] {
		if o.Life == s.Life && now.Before(o.until) && s.held[o.Key] != o.Held {
			newer = append(newer, o)
			s.held[o.Key] = o.Held
		}
	}
	if len(newer) == 0 {
		delete(c.overlays, s.ID)
		return
	}
	c.overlays[s.ID] = newer
}

// Ordered takes over what orders changed.
func (c *Core) Ordered(now time.Time, list []Overlay) {
	for _, o := range list {
		s, ok := c.servers[o.Server]
		if !ok || s.Life != o.Life {
			continue
		}
		others := slices.DeleteFunc(c.overlays[o.Server], func(t told) bool { return t.Key == o.Key })
		c.overlays[o.Server] = append(others, told{o, now.Add(overlayTime)})
		c.hold(now, s)
	}
}

// Absent notes that a server does not hold what it was said to.
func (c *Core) Absent(now time.Time, id, key string) {
	s, ok := c.servers[id]
	if !ok || key == "" {
		return
	}
	others := slices.DeleteFunc(c.overlays[id], func(t told) bool { return t.Key == key })
	c.overlays[id] = append(others, told{Overlay{Server: id, Life: s.Life, Key: key}, now.Add(absentTime)})
	c.hold(now, s)
}

// Unreachable notes that a server takes no connection.
func (c *Core) Unreachable(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.down = now.Add(downTime)
	}
}

// Down returns the lives of the servers that take no connection.
func (c *Core) Down(now time.Time) []string {
	var list []string
	for _, s := range c.order {
		if now.Before(s.down) {
			list = append(list, s.Life)
		}
	}
	return list
}

// Resize sets how many tokens a server's cache takes, 0 if that is not known.
func (c *Core) Resize(tokens int) { c.cache = tokens }

// Whole notes a stream that came to its end after some events. Those that have
// as many tokens as they might show how many an event holds.
func (c *Core) Whole(most, events int) {
	if events < leastEvents || most < events {
		return
	}
	c.whole++
	held := int(math.Round(float64(most) / float64(events)))
	if c.events == 0 || held < c.events {
		c.events = held
	}
}

// Pace returns what the pace of prompts at a server depends on.
func (c *Core) Pace(now time.Time, id string) Pace {
	p := Pace{EventTokens: assumedTokens}
	if c.whole >= leastWhole {
		p.EventTokens = c.events
	}
	if s, ok := c.servers[id]; ok {
		p.Running = c.flight(now, s).Running
	}
	return p
}

// Choose returns the server for a request.
func (c *Core) Choose(now time.Time, q Request) (string, Status) {
	if len(c.order) == 0 {
		return "", Empty
	}
	key := q.Key()
	status := Absent
	best, bestCost := "", math.Inf(1)
	favorite := c.favorite(q, key)
	for _, s := range c.order {
		if s.Draining || key != "" && !s.held[key] {
			continue
		}
		if slices.Contains(q.Exclude, s.ID) || now.Before(s.down) {
			if status == Absent {
				status = Spent
			}
			continue
		}
		if q.Model != "" && c.full(now, s, q) {
			status = Full
			continue
		}
		cost := c.cost(now, s, q)
		if s == favorite {
			cost -= float64(q.Shared) / PrefillRate
		}
		if cost < bestCost {
			best, bestCost = s.ID, cost
		}
	}
	if best == "" {
		return "", status
	}
	return best, Found
}

// favorite returns the holder that all instances prefer for a session, so that
// the parts of its prompt lie where its next request goes.
func (c *Core) favorite(q Request, key string) *server {
	if q.Session == 0 || q.Shared == 0 {
		return nil
	}
	var best *server
	var most uint64
	for _, s := range c.order {
		if s.Draining || !s.held[key] {
			continue
		}
		if w := Hash(strconv.FormatUint(q.Session, 16) + s.ID); best == nil || w > most {
			best, most = s, w
		}
	}
	return best
}

// flight is what all instances have at a server, as far as is known.
func (c *Core) flight(now time.Time, s *server) Flight {
	f := s.own
	f.Recent = int(s.recent.Value(now, recentHalf))
	if age := now.Sub(c.heard); age < othersAge {
		others := s.others
		others.Recent = int(float64(others.Recent) * math.Exp2(-float64(age)/float64(recentHalf)))
		return f.Add(others)
	}
	return f
}

// full reports whether a server should get no more work for now: a request that
// it would hold back may as well wait here, where it can still go elsewhere and
// more urgent ones can go first.
func (c *Core) full(now time.Time, s *server, q Request) bool {
	if now.Before(s.closed) {
		return true
	}
	f := c.flight(now, s)
	if f.Started == 0 {
		return false
	}
	if now.Sub(s.paced) > pacedAge && float64(f.Recent+min(q.Fresh(), recentLimit/2)) > recentLimit {
		return true
	}
	return f.Reading > readingLimit || s.Slots > 0 && f.Started >= s.Slots ||
		c.cache > 0 && float64(f.Tokens+q.Prompt+q.Output) > cacheShare*float64(c.cache)
}

func (c *Core) cost(now time.Time, s *server, q Request) float64 {
	f := c.flight(now, s)
	cost := c.random.Float64()*jitter + failureCost*s.failing(now)
	if s.Zone != c.zone {
		cost += zoneCost
	}
	if q.Model == "" {
		return cost + s.latency*(1+2*float64(f.Started)/float64(max(s.Slots, 1)))
	}
	cost += max(float64(s.free.Sub(now))/float64(time.Millisecond), 0)
	return cost + float64(f.Reading)/PrefillRate + runningCost*float64(f.Running) + max(s.latency-2*c.latency, 0)
}

// Paced notes when a server may get a prompt next, as the keeper of its pace
// says, and until when it is not worth asking again.
func (c *Core) Paced(now time.Time, id string, free, closed time.Duration) {
	if s, ok := c.servers[id]; ok {
		s.paced, s.free, s.closed = now, now.Add(free), now.Add(closed)
	}
}

// Unpaced notes that the keeper of a server's pace did not answer.
func (c *Core) Unpaced(id string) {
	if s, ok := c.servers[id]; ok {
		s.paced, s.free, s.closed = time.Time{}, time.Time{}, time.Time{}
	}
}

// failing returns the failure rate, which fades while nothing is heard.
func (s *server) failing(now time.Time) float64 {
	if s.failure == 0 {
		return 0
	}
	return s.failure * math.Exp2(-float64(now.Sub(s.judged))/float64(recovery))
}

// Basis returns what the choice of a server was made from.
func (c *Core) Basis(now time.Time, id string, q Request) Basis {
	s := c.servers[id]
	b := Basis{Flight: c.flight(now, s), Age: now.Sub(c.heard), Seen: now.Sub(s.Seen)}
	key := q.Key()
	for _, s := range c.order {
		if !s.Draining && (key == "" || s.held[key]) {
			b.Holders++
		}
	}
	return b
}

// standing sums up what the holders of a model have.
func (c *Core) standing(now time.Time, key string) (holders, started, reading int, age time.Duration) {
	for _, s := range c.order {
		if s.Draining || key != "" && !s.held[key] {
			continue
		}
		f := c.flight(now, s)
		holders++
		started += f.Started
		reading += f.Reading
	}
	return holders, started, reading, now.Sub(c.heard)
}

// Sent notes that a request went to a server.
func (c *Core) Sent(now time.Time, id string, q Request) {
	if s, ok := c.servers[id]; ok {
		s.recent.Add(now, recentHalf, float64(q.Fresh()))
		if q.Paced {
			// One question at a time: the answer goes for all that wait.
			s.closed = now.Add(askTime)
		}
		s.own = s.own.Add(Flight{Reading: q.Prompt, Tokens: q.Prompt + q.Output, Started: 1})
	}
}

// Cancel takes Sent back.
func (c *Core) Cancel(id string, q Request) {
	if s, ok := c.servers[id]; ok {
		s.own = s.own.Sub(Flight{Reading: q.Prompt, Tokens: q.Prompt + q.Output, Started: 1})
	}
}

// First notes the first event of an answer, which came after a delay.
func (c *Core) First(id string, q Request, delay time.Duration) {
	if s, ok := c.servers[id]; ok {
		s.own.Reading = max(s.own.Reading-q.Prompt, 0)
		s.own.Running++
		c.measure(s, delay)
	}
}

// Done notes the end of a request. First says whether First was called for it.
func (c *Core) Done(now time.Time, id string, q Request, first, failed bool, delay time.Duration) {
	s, ok := c.servers[id]
	if !ok {
		return
	}
	ended := Flight{Tokens: q.Prompt + q.Output, Started: 1}
	if first {
		ended.Running = 1
	} else {
		ended.Reading = q.Prompt
	}
	s.own = s.own.Sub(ended)
	rate := s.failing(now) * (1 - failureShare)
	if failed {
		rate += failureShare
	}
	s.failure, s.judged = rate, now
	if !first && !failed {
		c.measure(s, delay)
	}
}

func (c *Core) measure(s *server, delay time.Duration) {
	ms := float64(delay) / float64(time.Millisecond)
	s.latency += latencyShare * (ms - s.latency)
	c.latency += latencyShare / 4 * (ms - c.latency)
}

// Flights returns what this instance has in flight.
func (c *Core) Flights(now time.Time) map[string]Flight {
	m := make(map[string]Flight, len(c.servers))
	for id, s := range c.servers {
		f := s.own
		f.Recent = int(s.recent.Value(now, recentHalf))
		if f != (Flight{}) {
			m[id] = f
		}
	}
	return m
}

// Others takes over what the other instances have in flight.
func (c *Core) Others(now time.Time, flights map[string]Flight) {
	c.heard = now
	for id, s := range c.servers {
		s.others = flights[id]
	}
}

// Server returns a server's registration.
func (c *Core) Server(id string) (registrar.Server, bool) {
	s, ok := c.servers[id]
	if !ok {
		return registrar.Server{}, false
	}
	return s.Server, true
}
