package bencher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/poolplanner"
)

// Intervals, delays and other parameters of the simulated environment.
const (
	reportInterval = time.Second
	reportLag      = 500 * time.Millisecond
	planInterval   = time.Second
	digestInterval = 2 * time.Second
	orderDelay     = 30 * time.Millisecond
	unloadTime     = 300 * time.Millisecond
	eventLag       = 2 * time.Second
	eventLoss      = 0.2
	// listLag is how long a failed engine stays in the instance list.
	listLag       = 5 * time.Second
	sameZoneDelay = 200 * time.Microsecond
	cacheBlocks   = 6000
)

// epoch is the simulated time at which every run starts.
var epoch = time.Date(2026, 3, 2, 16, 0, 0, 0, time.UTC)

// Run describes one simulation run.
type Run struct {
	Deployment Deployment
	Shape      Shape
	Policy     Policy
	Seed       uint64
	// Length is how long requests arrive. The run continues for drainTime after
	// that, so that at the default length of 6 minutes all deferred work of its
	// first half comes due.
	Length time.Duration
}

// entry is a simulated entry instance.
type entry struct {
	zone string
	up   bool
	// incarnation counts the replacements of this instance.
	incarnation int
	core        *dispatcher.Core
}

// call is one attempt of a request.
type call struct {
	*arrival
	dispatcher.Work
	entry       *entry
	grant       dispatcher.Grant
	incarnation int
	sent        time.Duration
	first       time.Duration
	attempts    int
	resolved    bool
}

// alive reports whether the incarnation of the entry instance that accepted the
// call is still running.
func (c *call) alive() bool { return c.entry.up && c.entry.incarnation == c.incarnation }

// world is the state of one run.
type world struct {
	Run
	now       time.Duration
	events    eventHeap
	seq       int
	random    *rand.Rand
	catalogue catalogue
	arrivals  []arrival
	entries   []*entry
	engines   []*engine
	snapshots []snapshot
	store     store
	planner   poolplanner.Planner
	// demand is the models' demand from the instances' latest digests, as of
	// demandAt.
	demand   []poolplanner.Model
	demandAt time.Duration
	crashes  map[int]int
	score    *score
}

// snapshot is what the engines reported at one time.
type snapshot struct {
	at      time.Duration
	engines []dispatcher.Engine
}

// Do executes one run. The same Run always gives the same Result.
func Do(run Run) Result {
	w := &world{Run: run, random: rand.New(rand.NewPCG(run.Seed, 0x2545f4914f6cdd1d)), crashes: map[int]int{}}
	w.catalogue, w.arrivals = newWorkload(run.Deployment, run.Shape, run.Seed, run.Length)
	w.score = newScore(w)
	w.build()
	if len(w.arrivals) > 0 {
		w.at(w.arrivals[0].at, func() { w.arrive(0) })
	}
	w.every(0, reportInterval/2, w.recordSnapshot)
	for i, e := range w.entries {
		w.at(0, func() { w.deliver(e) })
		w.every(reportInterval*time.Duration(i)/time.Duration(len(w.entries)), reportInterval, func() { w.deliver(e) })
		w.every(0, expireInterval, func() { w.expire(e) })
	}
	w.every(planInterval, planInterval, w.plan)
	w.addFaults()
	end := run.Length + drainTime
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w.score.result()
}

// drainTime is how long a run continues after the end of arrivals; expireInterval
// is the interval at which queued work is checked for expiry.
const (
	drainTime      = 2 * time.Minute
	expireInterval = 50 * time.Millisecond
)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) build() {
	d := w.Deployment
	for i := range d.Entries {
		zone := d.Zones[i%len(d.Zones)]
		w.entries = append(w.entries, &entry{zone: zone, up: true, core: w.core(uint64(i), zone)})
	}
	for i := range d.Engines + d.Services {
		e := &engine{
			Instance: lister.Instance{Name: fmt.Sprintf("engine-%02d", i), Zone: d.Zones[i%len(d.Zones)], State: lister.StateLive},
			total:    d.Memory, reserve: d.Reserve, batch: d.Batch, up: true,
		}
		w.resetEngine(e)
		if i >= d.Engines {
			e.plain, e.batch, e.total = true, 64, 1
			e.reserve = 0
			e.place(driver.Weights{Model: d.Service}, 1, driver.StateReady)
		}
		w.engines = append(w.engines, e)
	}
	w.store = store{world: w, slots: d.Slots, speed: d.Speed, share: 1}
	w.planner = w.Policy.Planner()
	if !w.Shape.Cold {
		w.placeInitialModels()
	}
}

// core returns a dispatcher core without any state, seeded by number.
func (w *world) core(number uint64, zone string) *dispatcher.Core {
	return dispatcher.NewCore(append([]dispatcher.Option{
		dispatcher.WithSeed(w.Seed*1000 + number), dispatcher.WithZone(zone),
	}, w.Policy.Options...)...)
}

// replacementOffset is added to the number of an instance that replaces a failed
// one, so that the replacement has another seed.
const replacementOffset = 500

// resetEngine resets an engine to its state after a start: no models, requests or
// cache.
func (w *world) resetEngine(e *engine) {
	e.boot++
	e.residents = map[driver.Weights]*driver.LoadedWeights{}
	e.order, e.running, e.waiting, e.busy, e.stepping = nil, nil, nil, false, false
	e.cache = newCache(cacheBlocks)
}

// placeInitialModels places the initial models, identically for every policy: one
// replica of each, then up to two more of popular ones while there is memory.
// Adapters are distributed round-robin over the replicas of their model.
func (w *world) placeInitialModels() {
	c := &w.catalogue
	for round := range 3 {
		for i, m := range c.models {
			if round > 0 && c.share[i]*w.Deployment.Capacity()*0.5 < float64(round)*replicaRate {
				continue
			}
			if e := w.leastUsed(m); e != nil {
				e.place(m, c.memory[m], driver.StateReady)
			}
		}
	}
	for i, m := range c.models {
		replicas := slices.DeleteFunc(slices.Clone(w.pool()), func(e *engine) bool { return !e.has(m) })
		for k, a := range c.adapters[i] {
			if len(replicas) == 0 {
				break
			}
			replicas[k%len(replicas)].place(a, c.memory[a], driver.StateReady)
		}
	}
}

// replicaRate is the demand in requests per second for which placeInitialModels
// places one replica.
const replicaRate = 2

// leastUsed returns the model engine with the least memory used among those that
// have room for the model and don't have it loaded, or nil.
func (w *world) leastUsed(m driver.Weights) *engine {
	var best *engine
	for _, e := range w.pool() {
		if e.has(m) || e.total-e.used() < w.catalogue.memory[m]+spareMemory {
			continue
		}
		if best == nil || e.used() < best.used() {
			best = e
		}
	}
	return best
}

// spareMemory is the memory that placeInitialModels leaves free for adapters on
// each engine, in MB.
const spareMemory = 2000

// pool returns the engines that serve models, without the plain services.
func (w *world) pool() []*engine { return w.engines[:w.Deployment.Engines] }

// arrive sends arrival i to an entry instance and schedules the next arrival.
func (w *world) arrive(i int) {
	if i+1 < len(w.arrivals) {
		w.at(w.arrivals[i+1].at, func() { w.arrive(i + 1) })
	}
	a := &w.arrivals[i]
	c := &call{arrival: a}
	w.after(w.Deployment.ClientDelay, func() { w.offer(c) })
}

// offer sends a call to a random live entry instance, as a load balancer would.
func (w *world) offer(c *call) {
	var live []*entry
	for _, e := range w.entries {
		if e.up {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return
	}
	c.entry = live[w.random.IntN(len(live))]
	c.incarnation = c.entry.incarnation
	w.submit(c)
}

// submit offers a call to the core of its entry instance.
func (w *world) submit(c *call) {
	class := c.class
	c.Work = dispatcher.Work{
		ID: fmt.Sprint(c.id), Weights: c.weights, Client: c.caller, Class: class.Name, Priority: class.Priority,
		Deadline: epoch.Add(c.at + class.Deadline - 2*w.Deployment.ClientDelay), MaxWait: class.Queue, Deferred: class.Deferred,
		Created:  epoch.Add(c.at),
		Prefixes: c.prefixes, Prompt: c.prompt, Tokens: c.tokens, Exclude: c.Exclude,
	}
	if w.crashes[c.id] >= 2 {
		// By its second crash, the quarantine blocks the request.
		w.score.rejected(c.arrival)
		return
	}
	t := c.entry.core.Offer(w.time(), c.Work)
	t.Tag = c
	if t.Settled() {
		w.answer(t)
	}
}

func (w *world) answerAll(all []*dispatcher.Ticket) {
	for _, t := range all {
		w.answer(t)
	}
}

// answer acts on the decision for a resolved ticket: it forwards the call to the
// engine or handles the refusal.
func (w *world) answer(t *dispatcher.Ticket) {
	c := t.Tag.(*call)
	if !c.alive() {
		w.loseCall(c)
		return
	}
	if t.Refusal != nil {
		w.refused(c, t.Refusal)
		return
	}
	c.grant = *t.Grant
	c.sent = w.now
	e := w.engine(c.grant.Engine.Name)
	w.after(w.delay(c.entry.zone, e.Zone), func() { w.start(c, e) })
}

// refused schedules the caller's retry: deferred work is always retried after the
// given time, other work only during a retry storm, which ignores Retry-After.
func (w *world) refused(c *call, r *judge.Refusal) {
	w.score.rejected(c.arrival)
	if r.Code == dispatcher.CodeExpired && !c.class.Deferred {
		w.score.expired++
	}
	again := &call{arrival: c.arrival, attempts: c.attempts + 1}
	switch {
	case c.class.Deferred:
		w.after(r.RetryAfter, func() { w.offer(again) })
	case c.attempts < w.Shape.Fault.Storm:
		w.after(stormRetryInterval, func() { w.offer(again) })
	}
}

// stormRetryInterval is the retry interval of callers in a retry storm.
const stormRetryInterval = 200 * time.Millisecond

func (w *world) engine(name string) *engine {
	return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.Name == name })]
}

// delay returns the one-way network delay between two zones.
func (w *world) delay(a, b string) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return w.Deployment.ZoneDelay
}

// start delivers a call to its engine, which rejects it if it is down or has not
// loaded the weights.
func (w *world) start(c *call, e *engine) {
	switch {
	case !e.up:
		w.after(w.delay(c.entry.zone, e.Zone), func() { w.fail(c, judge.NotRun, true) })
	case !e.serves(c.Weights):
		w.after(w.delay(c.entry.zone, e.Zone), func() { w.fail(c, judge.NotRun, false) })
	default:
		e.seq++
		heap.Push(&e.waiting, &job{call: c, seq: e.seq})
		w.step(e)
	}
}

// step starts an engine's next iteration if none is running and there is work.
func (w *world) step(e *engine) {
	if e.stepping || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	took, tokens := e.iterate()
	boot := e.boot
	w.after(took, func() {
		if e.boot != boot || !e.up {
			return
		}
		e.stepping = false
		w.emit(e, tokens, took)
		w.step(e)
	})
}

// emit delivers the tokens of a finished iteration and completes the jobs that have
// all of theirs. A crashing request stops the engine.
func (w *world) emit(e *engine, tokens []*job, took time.Duration) {
	done := false
	for _, j := range tokens {
		if j.resolved {
			done = true
			continue
		}
		j.out++
		if j.crash {
			w.crashes[j.id]++
			w.stopEngine(e)
			w.after(restartTime, func() { w.restartEngine(e) })
			return
		}
		if j.out == 1 {
			j.first = w.now - j.sent
			w.score.first(j.arrival, w.now+w.delay(j.entry.zone, e.Zone)+w.Deployment.ClientDelay-j.at)
		} else {
			w.score.between(took)
		}
		if j.out >= j.tokens {
			done = true
			w.finish(e, j)
		}
	}
	if done {
		e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.resolved || j.out >= j.tokens })
	}
}

// restartTime is how long an engine takes to restart after a crash.
const restartTime = 15 * time.Second

// finish caches the prompt of a completed job and returns its result to the entry
// instance.
func (w *world) finish(e *engine, j *job) {
	added, gone := e.cache.add(j.prefixes)
	w.publish(e, added, false)
	w.publish(e, gone, true)
	load := e.load()
	load.Running--
	w.after(w.delay(j.entry.zone, e.Zone), func() { w.release(j.call, load) })
}

// publish sends cache events to all entry instances, delayed by eventLag and with a
// share of eventLoss dropped.
func (w *world) publish(e *engine, hashes []uint64, gone bool) {
	for _, h := range hashes {
		if w.random.Float64() < eventLoss {
			continue
		}
		w.after(eventLag, func() {
			for _, x := range w.entries {
				x.core.ApplyCacheEvent(e.Name, driver.CacheEvent{Prefix: h, Evicted: gone})
			}
		})
	}
}

// release reports a successful call to the core of its entry instance.
func (w *world) release(c *call, load driver.Load) {
	if !c.alive() {
		w.loseCall(c)
		return
	}
	c.resolved = true
	w.score.done(c.arrival, w.now)
	w.answerAll(c.entry.core.Release(w.time(), c.grant, dispatcher.Result{
		Verdict: judge.Ran, FirstToken: c.first, Total: w.now - c.sent, Tokens: c.tokens, Load: &load,
	}))
}

// fail reports a failed call to the core and retries it on another engine if that
// is safe and the retry budget allows it. lost says that the engine went down.
func (w *world) fail(c *call, verdict judge.Verdict, lost bool) {
	if !c.alive() {
		w.loseCall(c)
		return
	}
	c.resolved = true
	w.answerAll(c.entry.core.Release(w.time(), c.grant, dispatcher.Result{Verdict: verdict, Failed: true, Crashed: lost}))
	again := &call{arrival: c.arrival, entry: c.entry, incarnation: c.incarnation, attempts: c.attempts}
	again.Exclude = append(slices.Clone(c.Exclude), c.grant.Engine.Name)
	if verdict != judge.NotRun && c.class.AtMostOnce {
		w.score.rejected(c.arrival)
		return
	}
	if !c.entry.core.Retry() {
		w.refused(c, judge.Unavailable("budget", "no retry is left", time.Second))
		return
	}
	w.submit(again)
}

// loseCall handles a call whose entry instance failed: deferred work is taken over
// by another instance after takeoverDelay; other work is lost.
func (w *world) loseCall(c *call) {
	if c.resolved {
		return
	}
	c.resolved = true
	if c.class.Deferred {
		w.after(takeoverDelay, func() { w.offer(&call{arrival: c.arrival}) })
	}
}

// takeoverDelay is how long it takes until another instance resumes a lost job.
const takeoverDelay = 10 * time.Second

// stopEngine takes an engine down and fails all its running and queued requests.
func (w *world) stopEngine(e *engine) {
	e.up = false
	e.down = w.now
	lost := append(slices.Clone(e.running), e.waiting...)
	for _, j := range lost {
		w.after(w.delay(j.entry.zone, e.Zone), func() { w.fail(j.call, judge.MayHaveRun, true) })
	}
	w.resetEngine(e)
}

func (w *world) restartEngine(e *engine) {
	e.up = true
	if e.plain {
		e.place(driver.Weights{Model: w.Deployment.Service}, 1, driver.StateReady)
	}
}

// recordSnapshot records a snapshot of the engines' current reports.
func (w *world) recordSnapshot() {
	s := snapshot{at: w.now}
	for _, e := range w.engines {
		if !e.up && w.now-e.down > listLag {
			continue
		}
		s.engines = append(s.engines, dispatcher.Engine{Instance: e.Instance, Report: e.report(), At: w.time()})
	}
	w.snapshots = append(w.snapshots, s)
	if len(w.snapshots) > maxSnapshots {
		w.snapshots = slices.Delete(w.snapshots, 0, 1)
	}
	w.score.countUnreachable()
}

// maxSnapshots is enough for the longest report lag: snapshots are taken every
// half second, and reports lag by at most 10.5 s.
const maxSnapshots = 60

// visibleSnapshot returns the newest snapshot that is at least as old as the
// current report lag, or the oldest one if there is none.
func (w *world) visibleSnapshot() snapshot {
	lag := reportLag
	if f := w.Shape.Fault; w.now >= f.From && w.now < f.Until {
		lag += f.Lag
	}
	best := w.snapshots[0]
	for i := len(w.snapshots) - 1; i >= 0; i-- {
		if w.snapshots[i].at <= w.now-lag {
			return w.snapshots[i]
		}
	}
	return best
}

func (w *world) deliver(e *entry) {
	if e.up {
		w.answerAll(e.core.UpdateEngines(w.time(), w.visibleSnapshot().engines))
	}
}

func (w *world) expire(e *entry) {
	if e.up {
		w.answerAll(e.core.Expire(w.time()))
	}
}

// addFaults schedules the slowdown of the store and the loss and return of a zone.
func (w *world) addFaults() {
	f := w.Shape.Fault
	if f.Store > 0 {
		w.at(f.From, func() { w.store.share = f.Store })
	}
	if !f.Zone {
		return
	}
	zone := w.Deployment.Zones[0]
	w.at(f.From, func() {
		for _, e := range w.entries {
			e.up = e.up && e.zone != zone
		}
		for _, e := range w.engines {
			if e.Zone == zone {
				w.stopEngine(e)
			}
		}
		w.loseWaiting()
	})
	w.at(f.Until, func() {
		for i, e := range w.entries {
			if e.zone == zone {
				w.replaceEntry(e, i)
			}
		}
		for _, e := range w.engines {
			if e.Zone == zone {
				w.restartEngine(e)
			}
		}
	})
}

// loseWaiting ends the calls that were queued in or forwarded by failed entry
// instances; their deferred work is taken over.
func (w *world) loseWaiting() {
	for _, e := range w.entries {
		if e.up {
			continue
		}
		for _, t := range e.core.Expire(w.time().Add(time.Hour)) {
			w.loseCall(t.Tag.(*call))
		}
	}
	for _, e := range w.engines {
		for _, j := range append(slices.Clone(e.running), e.waiting...) {
			if !j.alive() {
				w.loseCall(j.call)
			}
		}
	}
}

// replaceEntry replaces a failed entry instance by a new incarnation without any
// state.
func (w *world) replaceEntry(e *entry, i int) {
	e.core = w.core(replacementOffset+uint64(i), e.zone)
	e.incarnation++
	e.up = true
	w.deliver(e)
}
