package bencher

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"primrosehook/driver"
)

// Class is a class of requests.
type Class struct {
	Name     string
	Priority int
	// Deadline is the time limit for the first token or, for deferred work, for
	// the whole answer.
	Deadline time.Duration
	Queue    time.Duration
	Deferred bool
	// AtMostOnce marks writes that must not be retried if they may have run.
	AtMostOnce bool
	// Share is the fraction of requests in this class.
	Share float64
	// Service is the name of the plain service; if empty, requests go to models.
	Service string
	// A prompt consists of Shared bytes of a template, Session bytes for each
	// earlier turn of the conversation, and Own bytes that are unique.
	Shared, Session, Own int
	// Turns is the mean length of a conversation in turns; zero means that there
	// are no conversations.
	Turns int
	// Tokens is the mean length of an answer in tokens.
	Tokens int
}

// Deployment is one operator's fleet and workload.
type Deployment struct {
	Name    string
	Zones   []string
	Entries int
	Engines int
	// SizedFor is the number of engines that the demand is scaled to; zero means
	// Engines.
	SizedFor int
	Services int
	Service  string
	Models   int
	Adapters int
	// Memory is an engine's memory, Reserve the part of it that is not for
	// weights, both in MB.
	Memory, Reserve int64
	// Sizes are the models' sizes in MB, assigned in rotation; AdapterSize is
	// the size of an adapter in MB, Batch an engine's maximum batch.
	Sizes       []int64
	AdapterSize int64
	Batch       int
	// The weight store starts up to Rate loads per second and serves Slots
	// concurrent loads at full speed, each at Speed MB/s.
	Rate  float64
	Slots int
	Speed float64
	// ZoneDelay is the one-way delay between zones, ClientDelay the one-way delay
	// between a caller and an entry instance.
	ZoneDelay, ClientDelay time.Duration
	Callers                int
	Classes                []Class
	// Attainment and Moves are the operator's weights of deadline attainment and
	// of model moves in the placement objective.
	Attainment, Moves float64
}

// Vertrekpunt returns the exit survey deployment at its present size.
func Vertrekpunt() Deployment {
	return Deployment{
		Name: "vertrekpunt", Zones: []string{"ams-a", "ams-b", "hlm-c"}, Entries: 8,
		Engines: 20, Services: 3, Service: "kiosk", Models: 40, Adapters: 100,
		Memory: 80_000, Reserve: 16_000, Sizes: []int64{14_000, 18_000, 24_000, 16_000}, AdapterSize: 200, Batch: 16,
		Rate: 3, Slots: 3, Speed: 3000,
		ZoneDelay: time.Millisecond, ClientDelay: 4 * time.Millisecond, Callers: 300,
		Attainment: 0.8, Moves: 0.2,
		Classes: []Class{
			{Name: "form", Priority: 9, Deadline: 500 * time.Millisecond, Queue: 400 * time.Millisecond, Share: 0.25, Service: "kiosk", Own: 200, Tokens: 3},
			{Name: "receipt", Priority: 9, Deadline: time.Second, Queue: 800 * time.Millisecond, Share: 0.15, Service: "kiosk", Own: 400, Tokens: 4, AtMostOnce: true},
			{Name: "summary", Priority: 5, Deadline: 2 * time.Second, Queue: 2 * time.Second, Share: 0.5, Shared: 1536, Own: 1024, Tokens: 90},
			{Name: "digest", Priority: 1, Deadline: 5 * time.Minute, Queue: time.Minute, Deferred: true, Share: 0.1, Shared: 1024, Own: 6000, Tokens: 300},
		},
	}
}

// Bunya returns the rooms booking deployment at its present size.
func Bunya() Deployment {
	return Deployment{
		Name: "bunya", Zones: []string{"fortitude", "woolloongabba", "ipswich"}, Entries: 6,
		Engines: 10, Services: 3, Service: "booking", Models: 17, Adapters: 60,
		Memory: 80_000, Reserve: 16_000, Sizes: []int64{18_000, 26_000, 14_000}, AdapterSize: 200, Batch: 16,
		Rate: 1, Slots: 2, Speed: 1500,
		ZoneDelay: 500 * time.Microsecond, ClientDelay: time.Millisecond, Callers: 200,
		Attainment: 0.3, Moves: 0.7,
		Classes: []Class{
			{Name: "booking", Priority: 9, Deadline: time.Second, Queue: 800 * time.Millisecond, Share: 0.2, Service: "booking", Own: 300, Tokens: 4, AtMostOnce: true},
			{Name: "chat", Priority: 5, Deadline: 2 * time.Second, Queue: 2 * time.Second, Share: 0.7, Shared: 1536, Session: 512, Own: 256, Turns: 4, Tokens: 80},
			{Name: "roster", Priority: 1, Deadline: 5 * time.Minute, Queue: time.Minute, Deferred: true, Share: 0.1, Shared: 1024, Own: 5000, Tokens: 300},
		},
	}
}

// Region returns a fleet with the planned number of entry instances of one region,
// each of which sees only a small part of the traffic. It shows herding: many
// instances that send to the same engine at once.
func Region() Deployment {
	d := Vertrekpunt()
	d.Name = "region"
	d.Entries, d.Engines, d.Models, d.Adapters = 65, 60, 20, 0
	return d
}

// Shape is the course of demand and faults over a run.
type Shape struct {
	Name string
	// Load returns the offered load at a time as a fraction of Capacity.
	Load func(at time.Duration) float64
	// DemandFactor returns the factor on the demand of the model with a popularity
	// rank at a time.
	DemandFactor func(at time.Duration, rank int) float64
	// Cold starts with empty engines; Heavy offers more than 80% of capacity at
	// its peak.
	Cold  bool
	Heavy bool
	Fault Fault
}

// Fault describes the faults of a shape, which last between two times.
type Fault struct {
	From, Until time.Duration
	// Zone takes the first zone down. Lag is added to the delay of reports. Store
	// is the remaining fraction of the store's speed; zero means no fault. Log
	// makes the log unavailable, so that no orders are sent.
	Zone  bool
	Lag   time.Duration
	Store float64
	Log   bool
	// Storm is how often a refused caller retries without regard to Retry-After.
	Storm int
	// Crash adds a request that crashes every engine that runs it, and is
	// retried.
	Crash bool
	// Flood makes one caller send this multiple of a model's normal demand.
	Flood float64
}

// Capacity returns the rate of requests to models, per second, that saturates
// SizedFor engines if every engine runs full batches and every template is cached.
func (d Deployment) Capacity() float64 {
	sum := 0.0
	for _, c := range d.Classes {
		if c.Service == "" {
			sum += c.Share * minEngineTime(d.Batch, c.Tokens, c.Own).Seconds()
		}
	}
	engines := d.Engines
	if d.SizedFor > 0 {
		engines = d.SizedFor
	}
	return float64(engines) * d.engineShare() / sum
}

// minEngineTime returns the minimum engine time of a request: the time of its
// tokens in a full batch, and the prefill of the bytes that cannot be cached.
func minEngineTime(batch, tokens, prompt int) time.Duration {
	step := stepBase/time.Duration(batch) + stepRequest
	return time.Duration(tokens)*step + time.Duration(prompt)*prefillByte
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func unchanged(time.Duration, int) float64 { return 1 }

// ramp returns a function that rises linearly from 1 at from to peak over rise,
// stays there until until, and falls back to 1 over rise.
func ramp(from, rise, until time.Duration, peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < from:
			return 1
		case at < from+rise:
			return 1 + (peak-1)*(at-from).Seconds()/rise.Seconds()
		case at < until:
			return peak
		case at < until+rise:
			return peak - (peak-1)*(at-until).Seconds()/rise.Seconds()
		}
		return 1
	}
}

// twoModelSurge raises the demand of two unpopular models tenfold, the second 90 s
// after the first.
func twoModelSurge(at time.Duration, rank int) float64 {
	switch rank {
	case 9:
		return ramp(90*time.Second, time.Minute, 210*time.Second, 10)(at)
	case 13:
		return ramp(180*time.Second, time.Minute, 300*time.Second, 10)(at)
	}
	return 1
}

// Shapes returns all shapes of the bench.
func Shapes() []Shape {
	from, until := 120*time.Second, 180*time.Second
	surge := ramp(90*time.Second, time.Minute, 240*time.Second, 10)
	all := func(at time.Duration) float64 { return 0.13 * surge(at) }
	return []Shape{
		{Name: "steady", Load: steady(0.6), DemandFactor: unchanged},
		{Name: "single", Load: steady(0.45), DemandFactor: twoModelSurge},
		{Name: "all", Load: all, DemandFactor: unchanged, Heavy: true},
		{Name: "morning", Load: func(at time.Duration) float64 { return min(0.6, 0.05+at.Seconds()/300) }, DemandFactor: unchanged, Cold: true},
		{Name: "zone", Load: steady(0.5), DemandFactor: unchanged, Fault: Fault{From: from, Until: until, Zone: true}},
		{Name: "stale", Load: steady(0.6), DemandFactor: unchanged, Fault: Fault{From: from, Until: until + time.Minute, Lag: 10 * time.Second}},
		{Name: "slowstore", Load: steady(0.45), DemandFactor: twoModelSurge, Fault: Fault{From: 0, Until: time.Hour, Store: 0.2}},
		{Name: "logdown", Load: steady(0.45), DemandFactor: twoModelSurge, Fault: Fault{From: from, Until: until + time.Minute, Log: true}},
		{Name: "storm", Load: all, DemandFactor: unchanged, Heavy: true, Fault: Fault{From: 0, Until: time.Hour, Storm: 5}},
		{Name: "crash", Load: steady(0.5), DemandFactor: unchanged, Fault: Fault{From: from, Until: until, Crash: true}},
		{Name: "flood", Load: steady(0.5), DemandFactor: unchanged, Heavy: true, Fault: Fault{From: from, Until: until + time.Minute, Flood: 10}},
	}
}

// arrival is a generated request; its retries share it.
type arrival struct {
	id       int
	at       time.Duration
	class    *Class
	weights  driver.Weights
	caller   string
	prompt   int
	prefixes []uint64
	tokens   int
	crash    bool
	flood    bool
}

// catalogue lists the models of a deployment, the most popular first, with their
// adapters, sizes in MB and shares of the demand.
type catalogue struct {
	models   []driver.Weights
	adapters [][]driver.Weights
	memory   map[driver.Weights]int64
	share    []float64
}

func newCatalogue(d Deployment) catalogue {
	c := catalogue{memory: map[driver.Weights]int64{}}
	sum := 0.0
	for i := range d.Models {
		w := driver.Weights{Model: fmt.Sprintf("model-%02d", i)}
		c.models = append(c.models, w)
		c.memory[w] = d.Sizes[i%len(d.Sizes)]
		c.share = append(c.share, 1/math.Pow(float64(i+1), popularitySkew))
		sum += c.share[i]
	}
	for i := range c.share {
		c.share[i] /= sum
	}
	c.adapters = make([][]driver.Weights, d.Models)
	for i := range d.Adapters {
		m := i % d.Models
		w := driver.Weights{Model: c.models[m].Model, Adapter: fmt.Sprintf("adapter-%03d", i)}
		c.adapters[m] = append(c.adapters[m], w)
		c.memory[w] = d.AdapterSize
	}
	return c
}

// popularitySkew is the Zipf exponent of the models' popularity; adapterShare is
// the fraction of requests that use an adapter, among those to models that have
// one.
const (
	popularitySkew = 0.9
	adapterShare   = 0.4
)

// generator generates a run's arrivals. They do not depend on the policy, so every
// policy is run on the same arrivals.
type generator struct {
	d        Deployment
	c        catalogue
	shape    Shape
	random   *rand.Rand
	arrivals []arrival
	sessions map[string][]uint64
}

// newWorkload returns the models and all arrivals of a run, ordered by time.
func newWorkload(d Deployment, shape Shape, seed uint64, length time.Duration) (catalogue, []arrival) {
	g := &generator{
		d: d, c: newCatalogue(d), shape: shape,
		random:   rand.New(rand.NewPCG(seed, 0x5851f42d4c957f2d)),
		sessions: map[string][]uint64{},
	}
	for at := time.Duration(0); at < length; at += tick {
		g.step(at)
	}
	g.addFault(length)
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range g.arrivals {
		g.arrivals[i].id = i
	}
	return g.c, g.arrivals
}

// tick is the time step at which the demand is evaluated.
const tick = 100 * time.Millisecond

// step adds the arrivals of one tick.
func (g *generator) step(at time.Duration) {
	rate := g.d.Capacity() * g.shape.Load(at)
	for i := range g.d.Classes {
		class := &g.d.Classes[i]
		share := rate * class.Share / g.d.engineShare()
		if class.Service != "" {
			g.draw(share, func() { g.add(at, class, driver.Weights{Model: class.Service}) })
			continue
		}
		for rank, w := range g.c.models {
			g.draw(share*g.c.share[rank]*g.shape.DemandFactor(at, rank), func() { g.add(at, class, g.pick(rank, w)) })
		}
	}
}

// engineShare returns the fraction of requests that go to models; Capacity counts
// only these.
func (d Deployment) engineShare() float64 {
	sum := 0.0
	for _, c := range d.Classes {
		if c.Service == "" {
			sum += c.Share
		}
	}
	return sum
}

// draw calls each a Poisson-distributed number of times, for a rate per second over
// one tick.
func (g *generator) draw(rate float64, each func()) {
	limit := math.Exp(-rate * tick.Seconds())
	for p := g.random.Float64(); p > limit; p *= g.random.Float64() {
		each()
	}
}

// pick returns the model of a rank or, with probability adapterShare, one of its
// adapters.
func (g *generator) pick(rank int, w driver.Weights) driver.Weights {
	adapters := g.c.adapters[rank]
	if len(adapters) == 0 || g.random.Float64() > adapterShare {
		return w
	}
	return adapters[g.random.IntN(len(adapters))]
}

func (g *generator) add(at time.Duration, class *Class, w driver.Weights) {
	caller := fmt.Sprintf("caller-%03d", g.random.IntN(g.d.Callers))
	a := arrival{
		at: at + time.Duration(g.random.Int64N(int64(tick))), class: class, weights: w, caller: caller,
		tokens: max(1, int(float64(class.Tokens)*(0.5+g.random.Float64()))),
	}
	a.prefixes = g.prefixes(class, w, caller)
	a.prompt = len(a.prefixes)*driver.PrefixBlock + class.Own
	g.arrivals = append(g.arrivals, a)
}

// prefixes returns the block hashes of the template and of the conversation's
// earlier turns, and records a new turn.
func (g *generator) prefixes(class *Class, w driver.Weights, caller string) []uint64 {
	var all []uint64
	h := hash(w.Model, class.Name)
	for range class.Shared / driver.PrefixBlock {
		h = mix(h)
		all = append(all, h)
	}
	if class.Turns == 0 {
		return all
	}
	key := caller + w.Model
	turns := g.sessions[key]
	if len(turns) > 0 && g.random.IntN(class.Turns) == 0 {
		turns = nil
	}
	turns = append(turns, g.random.Uint64())
	g.sessions[key] = turns
	for _, t := range turns[:len(turns)-1] {
		h ^= t
		for range class.Session / driver.PrefixBlock {
			h = mix(h)
			all = append(all, h)
		}
	}
	return all[:min(len(all), maxBlocks)]
}

// maxBlocks is the maximum number of hashed blocks of a prompt, as in driver.
const maxBlocks = 64

func hash(parts ...string) uint64 {
	h := uint64(14695981039346656037)
	for _, p := range parts {
		for _, b := range []byte(p) {
			h = (h ^ uint64(b)) * 1099511628211
		}
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// addFault adds the requests that are part of a fault.
func (g *generator) addFault(length time.Duration) {
	f := g.shape.Fault
	class := &g.d.Classes[slices.IndexFunc(g.d.Classes, func(c Class) bool { return c.Service == "" && !c.Deferred })]
	if f.Crash {
		g.add(f.From, class, g.c.models[2])
		g.arrivals[len(g.arrivals)-1].crash = true
	}
	if f.Flood > 0 {
		rate := f.Flood * g.d.Capacity() * g.shape.Load(f.From) * g.c.share[1]
		for at := f.From; at < min(f.Until, length); at += tick {
			g.draw(rate, func() {
				g.add(at, class, g.c.models[1])
				a := &g.arrivals[len(g.arrivals)-1]
				a.caller, a.flood = "flooder", true
			})
		}
	}
}
