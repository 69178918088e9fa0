package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"primrosehook/decayer"
	"primrosehook/estimator"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

// Costs are in milliseconds of expected delay.
const (
	// PrefillRate is how many prompt tokens an engine prefills in a millisecond,
	// according to the sites' data sheets.
	PrefillRate = 22.0
	// runningCost is the delay that each running request adds to the first token
	// of the next one: it lengthens the engine steps between the chunks of the
	// prompt.
	runningCost = 0.8
	// crossZoneCost is the cost of a server in another availability zone: two
	// crossings and the transfer of the bytes.
	crossZoneCost = 3.0
	// failureCost is the cost of a server that failed all its latest requests.
	failureCost = 4000.0
	// tolerableShare is the share of the longest pause that still meets the objective for which a
	// prefill may make running streams pause; the steps that make an event take the rest.
	// defaultEventGap is that pause, in milliseconds, for requests without an objective. maxPaused
	// bounds how many streams count.
	tolerableShare  = 2.0 / 3
	defaultEventGap = 300.0
	maxPaused       = 8
	// maxJitter bounds the random cost that spreads the choice among servers of
	// nearly the same cost.
	maxJitter = 2.0
	// defaultLatency is the assumed latency of a request until answers have been
	// measured. At services without models a server's cost is based on it.
	defaultLatency = 30.0
)

const (
	// prefillLimit is how many prompt tokens in all may await prefill at a
	// server. Their prefill takes half of the tightest latency objective.
	prefillLimit = 6600
	// recentPromptLimit is how many prompt tokens are sent to a server within
	// about the longest inter-event gap that still meets the objective. An engine
	// that prefills all the time makes every running stream pause: each step then
	// takes as long as a chunk of a prompt, and an event takes several steps.
	// recentHalfLife is the half-life of the count: at a steady rate it makes the
	// limit 60% of what an engine can prefill.
	recentPromptLimit = 4500
	recentHalfLife    = 240 * time.Millisecond
	// maxCacheShare is the share of a server's cache that requests may claim.
	// Beyond it the engine preempts running requests and prefills them again.
	maxCacheShare = 0.95
	// notLoadedTTL is how long a server's report that it does not have a model
	// loaded overrides its registration.
	notLoadedTTL = 1500 * time.Millisecond
	// unreachableBackoff is how long a server that refused a connection is not
	// tried: a restart takes seconds.
	unreachableBackoff = time.Second
	// failureWeight is the weight of the latest outcome in the failure rate.
	failureWeight = 0.3
	// failureHalfLife is the half-life of a failure rate without new outcomes, so
	// that a server that was avoided is tried again.
	failureHalfLife = 1500 * time.Millisecond
	// latencyWeight is the weight of the latest latency in the mean.
	latencyWeight = 0.15
	// reservationTTL is how long a reply of the owner of a server's schedule
	// takes precedence over the counts that instances exchange.
	reservationTTL = time.Second
	// reservationTimeout bounds the wait for the reply to a reservation request.
	reservationTimeout = 100 * time.Millisecond
	// defaultEventTokens is the assumed number of tokens in an event until
	// minSampleStreams streams of at least minSampleEvents events have shown it.
	// About one stream in fifty generates as many tokens as it may.
	defaultEventTokens = 4
	minSampleStreams   = 100
	minSampleEvents    = 5
	// overlayTTL is how long a registration may take to show what an order has
	// changed: a heartbeat, and the instances' reads of it.
	overlayTTL = 4 * time.Second
	// peersTTL is how long the in-flight counts of peers are used.
	peersTTL = 3 * time.Second
)

type server struct {
	registrar.Server
	// loaded has the keys of the loaded models and adapters.
	loaded map[string]bool
	// own is this instance's in-flight work at the server, peers that of its
	// peers.
	own   InFlight
	peers InFlight
	// lastFailureRate is the failure rate, from 0 to 1, as of lastOutcome.
	lastFailureRate float64
	lastOutcome     time.Time
	// latency is the mean latency in milliseconds.
	latency       float64
	recentPrompts decayer.Counter
	// paceSamples and paceResiduals are this instance's evidence of the server's speed.
	paceSamples, paceResiduals decayer.Counter
	// sharedSpeed is the server's speed by the evidence of all instances as of sharedAt.
	sharedSpeed float64
	sharedAt    time.Time
	load        serverLoad
	// known is what this instance knows of the parts of prompts that the server holds.
	known reuser.Knowledge
	// joinedAt is when the server joined the service, zero if it was there before.
	joinedAt time.Time
	// unreachableUntil is when the server is tried again after it refused a connection.
	unreachableUntil time.Time
	// limitedUntil is when the server may get the next request within the rate limit
	// that it names.
	limitedUntil time.Time
	// repliedAt is when the owner of the server's schedule last replied, freeAt
	// when according to it the next prompt may be sent. The server counts as full
	// until closedUntil, so that no further reservation is requested before.
	repliedAt, freeAt, closedUntil time.Time
	// lastByte is when the server last sent a byte, in nanoseconds since the
	// fleet was created.
	lastByte *atomic.Int64
}

// Core holds the servers of one service and chooses among them. It is not safe
// for concurrent use.
type Core struct {
	zone     string
	random   *rand.Rand
	servers  map[string]*server
	sorted   []*server
	overlays map[string][]pendingOverlay
	// leaving are the incarnations that have said that they leave, and when.
	leaving map[string]time.Time
	// resting is until when incarnations want no request of this instance.
	resting map[string]time.Time
	// builds is when each build was last registered, observedSince when servers were first
	// registered.
	builds        map[string]time.Time
	observedSince time.Time
	// registeredAt is as of when the servers are known to be registered. departed are the
	// servers that are not registered any more, by the hash of their incarnation.
	registeredAt time.Time
	departed     map[uint64]departedServer
	// lost are the incarnations of servers that were lost of late, and when.
	lost map[string]time.Time
	// latency is the mean latency of all servers in milliseconds.
	latency float64
	// peersAt is when the peers' in-flight counts were last updated.
	peersAt time.Time
	// peersEvery is the mean time between these updates.
	peersEvery  time.Duration
	cacheTokens int
	// eventTokens is the smallest ratio of permitted tokens to events among the
	// complete streams; streams that ended early have a higher one. sampleStreams
	// counts the streams.
	eventTokens, sampleStreams int
	// paces are the usual paces of the models.
	paces *estimator.Paces
	// reuse measures how often servers hold parts of prompts, heldTokens replaces its estimate if set.
	reuse      reuser.Estimator
	heldTokens HeldTokens
	// starts are the servers that have started again under their ID.
	starts StartTable
	// candidates is the buffer of Choose.
	candidates []candidate
}

// NewCore returns the core of an instance in an availability zone.
func NewCore(zone string, seed uint64) *Core {
	return &Core{
		zone: zone, random: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, overlays: map[string][]pendingOverlay{}, leaving: map[string]time.Time{}, resting: map[string]time.Time{}, builds: map[string]time.Time{}, lost: map[string]time.Time{}, departed: map[uint64]departedServer{}, latency: defaultLatency, paces: estimator.NewPaces(),
	}
}

// Update replaces the servers of the service by those in the registry.
func (c *Core) Update(now time.Time, list []registrar.Server) {
	kept := make(map[string]*server, len(list))
	c.sorted = c.sorted[:0]
	for _, r := range list {
		s, ok := c.servers[r.ID]
		if !ok || StartedAgain(s.Server, r) {
			if ok {
				c.starts.Record(now, r)
			}
			s = &server{latency: c.latency, lastByte: new(atomic.Int64), joinedAt: c.joined(now, r.StartedAt)}
		}
		s.Server = r
		s.Draining = r.Draining || c.isLeaving(r.Incarnation)
		c.refreshLoaded(now, s)
		kept[r.ID] = s
		c.sorted = append(c.sorted, s)
	}
	before := c.servers
	c.servers = kept
	c.recordBuilds(now)
	c.recordDepartures(now, before)
	slices.SortFunc(c.sorted, func(a, b *server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// refreshLoaded computes what a server has loaded, from its registration and the
// newer overlays.
func (c *Core) refreshLoaded(now time.Time, s *server) {
	s.loaded = map[string]bool{}
	for _, m := range s.Loaded {
		s.loaded[m.Model] = true
		for _, a := range m.Adapters {
			s.loaded[Key(m.Model, a)] = true
		}
	}
	newer := c.overlays[s.ID][:0]
	for _, o := range c.overlays[s.ID] {
		if o.Incarnation == s.Incarnation && now.Before(o.expires) && s.loaded[o.Key] != o.Loaded {
			newer = append(newer, o)
			s.loaded[o.Key] = o.Loaded
		}
	}
	s.recordLoaded(now)
	if len(newer) == 0 {
		delete(c.overlays, s.ID)
		return
	}
	c.overlays[s.ID] = newer
}

// ApplyOverlays applies the changes that orders made.
func (c *Core) ApplyOverlays(now time.Time, list []Overlay) {
	for _, o := range list {
		s, ok := c.servers[o.Server]
		if !ok || s.Incarnation != o.Incarnation {
			continue
		}
		rest := slices.DeleteFunc(c.overlays[o.Server], func(t pendingOverlay) bool { return t.Key == o.Key })
		c.overlays[o.Server] = append(rest, pendingOverlay{o, now.Add(overlayTTL)})
		c.refreshLoaded(now, s)
	}
}

// MarkNotLoaded records that a server does not have a model or adapter loaded,
// contrary to its registration.
func (c *Core) MarkNotLoaded(now time.Time, id, key string) {
	s, ok := c.servers[id]
	if !ok || key == "" {
		return
	}
	rest := slices.DeleteFunc(c.overlays[id], func(t pendingOverlay) bool { return t.Key == key })
	c.overlays[id] = append(rest, pendingOverlay{Overlay{Server: id, Incarnation: s.Incarnation, Key: key}, now.Add(notLoadedTTL)})
	c.refreshLoaded(now, s)
}

// MarkUnreachable records that a server refused a connection.
func (c *Core) MarkUnreachable(now time.Time, id string) {
	if s, ok := c.servers[id]; ok {
		s.unreachableUntil = now.Add(unreachableBackoff)
		c.recordLoss(now, s.Incarnation)
	}
}

// hasModels reports whether servers of the service have models loaded.
func (c *Core) hasModels() bool {
	return slices.ContainsFunc(c.sorted, func(s *server) bool { return len(s.loaded) > 0 })
}

// SetCacheTokens sets the capacity of each server's cache in tokens; 0 means
// unknown.
func (c *Core) SetCacheTokens(tokens int) { c.cacheTokens = tokens }

// RecordStreamEnd records a complete stream of a number of events. Streams that
// generated maxTokens, the most they may, show how many tokens an event has.
func (c *Core) RecordStreamEnd(maxTokens, events int) {
	if events < minSampleEvents || maxTokens < events {
		return
	}
	c.sampleStreams++
	eventTokens := int(math.Round(float64(maxTokens) / float64(events)))
	if c.eventTokens == 0 || eventTokens < c.eventTokens {
		c.eventTokens = eventTokens
	}
}

// EngineLoad returns what limits the rate at which a server can take prompts.
func (c *Core) EngineLoad(now time.Time, id string) EngineLoad {
	load := EngineLoad{EventTokens: defaultEventTokens}
	if c.sampleStreams >= minSampleStreams {
		load.EventTokens = c.eventTokens
	}
	if s, ok := c.servers[id]; ok {
		f := c.totalInFlight(now, s)
		load.RunningStreams, load.Speed, load.FreeCache = f.RunningStreams, c.speed(now, s), c.freeCache(f)
	}
	return load
}

// Choose returns the ID of the cheapest server for a request. The ID is empty
// unless the status is Found.
func (c *Core) Choose(now time.Time, q Request) (string, Status) {
	if len(c.sorted) == 0 {
		return "", NoServers
	}
	key := q.Key()
	status := NotLoaded
	c.candidates = c.candidates[:0]
	q = c.rankReplicas(q)
	if q.Build != "" {
		status = NoBuild
	}
	for _, s := range c.sorted {
		if s.Draining || !s.fits(q) {
			continue
		}
		if status == NoBuild {
			status = NotLoaded
		}
		if key != "" && !s.loaded[key] {
			continue
		}
		if slices.Contains(q.Exclude, s.ID) || now.Before(s.unreachableUntil) {
			if status == NotLoaded {
				status = AllExcluded
			}
			continue
		}
		if c.refuses(now, s, q) {
			status = Full
			continue
		}
		if now.Before(c.pausedUntil(s)) {
			if status != Full {
				status = RateLimited
			}
			continue
		}
		c.candidates = append(c.candidates, candidate{s, c.cost(now, s, q), c.speed(now, s)})
	}
	if len(c.candidates) == 0 {
		return "", status
	}
	if c.plainBusy(now, c.candidates, q) {
		return "", Full
	}
	c.addFailureCosts(now, c.candidates)
	return c.pick(now, c.candidates, q).ID, Found
}

// totalInFlight returns the in-flight work of all instances at a server, as far
// as it is known.
func (c *Core) totalInFlight(now time.Time, s *server) InFlight {
	f := s.own
	f.RecentPromptTokens = int(s.recentPrompts.Value(now, recentHalfLife))
	if age := now.Sub(c.peersAt); age < peersTTL {
		peers := s.peers
		peers.RecentPromptTokens = int(float64(peers.RecentPromptTokens) * math.Exp2(-float64(age)/float64(recentHalfLife)))
		return f.Add(peers)
	}
	return f
}

// full reports whether a server should get no more work for now. A request that
// would wait at the server may as well wait here, where it can still go to
// another server and more urgent requests can pass it.
func (c *Core) full(now time.Time, s *server, q Request) bool {
	if now.Before(s.closedUntil) || now.Before(s.load.fullUntil) {
		return true
	}
	f := c.expectedLoad(now, s, q)
	if f.Requests == 0 {
		return false
	}
	if now.Sub(s.repliedAt) > reservationTTL && float64(f.RecentPromptTokens+min(c.prefillTokens(now, s, q), recentPromptLimit/2)) > recentPromptLimit*c.speed(now, s) {
		return true
	}
	slots := c.slots(now, s)
	return float64(f.PrefillTokens) > prefillLimit*c.speed(now, s) || slots > 0 && f.Requests >= slots-q.reserved[s.ID] ||
		c.cacheTokens > 0 && float64(f.CacheTokens+q.PromptTokens+q.OutputTokens) > maxCacheShare*float64(c.cacheTokens)
}

// cost returns the expected delay of a request at a server, in milliseconds.
func (c *Core) cost(now time.Time, s *server, q Request) float64 {
	f := c.expectedLoad(now, s, q)
	cost := c.random.Float64() * maxJitter
	if s.Zone != c.zone {
		cost += crossZoneCost
	}
	if q.plain != nil {
		return cost + c.plainCost(now, s, q)
	}
	if q.Model == "" {
		if slots := c.slots(now, s); now.Before(s.load.fullUntil) || slots > 0 && f.Requests >= slots {
			cost += fullCost
		}
		return cost + s.latency*(1+2*float64(f.Requests)/float64(max(s.Slots, 1)))/s.ramp(now) + c.crowdingCost(s, f.Requests)
	}
	cost += max(float64(s.freeAt.Sub(now))/float64(time.Millisecond), 0)
	speed := c.speed(now, s) / s.slowdown(now) * s.ramp(now)
	held := c.expectedHeld(now, s, q)
	prefill := max(float64(q.PromptTokens)-held, 0) / PrefillRate
	cost += max(s.latency-2*c.latency, 0)
	// The request's own prefill takes longer on a slower server, and makes each stream that runs
	// there pause for as long.
	cost += float64(q.PromptTokens)/PrefillRate*(1/speed-1) - c.reuseGain(now, held, speed) + max(prefill/speed-q.tolerablePause(), 0)*float64(min(f.RunningStreams, maxPaused))
	return cost + (c.prefillQueue(now, s, f, speed)+runningCost*float64(f.RunningStreams))/speed
}

// RecordReservation records the reply of the owner of a server's schedule: how
// soon the server may get the next prompt, and for how long no further
// reservation should be requested.
func (c *Core) RecordReservation(now time.Time, id string, freeIn, closedFor time.Duration) {
	if s, ok := c.servers[id]; ok {
		s.repliedAt, s.freeAt, s.closedUntil = now, now.Add(freeIn), now.Add(closedFor)
	}
}

// ClearReservation records that the owner of a server's schedule did not reply, so
// that the exchanged counts apply again.
func (c *Core) ClearReservation(id string) {
	if s, ok := c.servers[id]; ok {
		s.repliedAt, s.freeAt, s.closedUntil = time.Time{}, time.Time{}, time.Time{}
	}
}

// failureRate returns the failure rate, which decays while there are no new
// outcomes.
func (s *server) failureRate(now time.Time) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	return s.lastFailureRate * math.Exp2(-float64(now.Sub(s.lastOutcome))/float64(failureHalfLife))
}

// ChoiceInputs returns what the choice of a server was based on.
func (c *Core) ChoiceInputs(now time.Time, id string, q Request) ChoiceInputs {
	s := c.servers[id]
	inputs := ChoiceInputs{InFlight: c.totalInFlight(now, s), PeersAge: now.Sub(c.peersAt), RegistrationAge: now.Sub(s.ReadAt), Speed: c.speed(now, s), Slowdown: s.slowdown(now), BelievedTokens: q.PromptTokens - c.prefillTokens(now, s, q)}
	inputs.Excess, _ = c.excess(now, s)
	key := q.Key()
	for _, s := range c.sorted {
		if !s.Draining && (key == "" || s.loaded[key]) {
			inputs.Replicas++
		}
	}
	return inputs
}

// sumReplicas returns the number of replicas of a model, the sums of their
// in-flight requests and of the prompt tokens that await prefill there, and the
// age of the peers' counts.
func (c *Core) sumReplicas(now time.Time, key string) (replicas, requests, prefillTokens int, age time.Duration) {
	for _, s := range c.sorted {
		if s.Draining || key != "" && !s.loaded[key] {
			continue
		}
		f := c.totalInFlight(now, s)
		replicas++
		requests += f.Requests
		prefillTokens += f.PrefillTokens
	}
	return replicas, requests, prefillTokens, now.Sub(c.peersAt)
}

// Server returns the registration of a server, and false if the server is
// unknown.
func (c *Core) Server(id string) (registrar.Server, bool) {
	s, ok := c.servers[id]
	if !ok {
		return registrar.Server{}, false
	}
	return s.Server, true
}
