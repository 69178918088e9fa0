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

// The times of the world around the cores.
const (
	reportEvery = time.Second
	reportLag   = 500 * time.Millisecond
	planEvery   = time.Second
	digestEvery = 2 * time.Second
	orderDelay  = 30 * time.Millisecond
	unloadTime  = 300 * time.Millisecond
	eventLag    = 2 * time.Second
	eventLoss   = 0.2
	// listLag is how long a lost engine stays in the instance list.
	listLag = 5 * time.Second
	nearby  = 200 * time.Microsecond
	cached  = 6000
)

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 3, 2, 16, 0, 0, 0, time.UTC)

// Run is one experiment.
type Run struct {
	Deployment Deployment
	Shape      Shape
	Policy     Policy
	Seed       uint64
	// Length is how long arrivals come. The run goes on until deferred work
	// that came in its first half is due.
	Length time.Duration
}

// entry is one entry instance.
type entry struct {
	zone string
	up   bool
	// life counts the processes that have had this place.
	life int
	core *dispatcher.Core
}

// call is one request on its way, for one try.
type call struct {
	*arrival
	dispatcher.Work
	entry   *entry
	grant   dispatcher.Grant
	life    int
	sent    time.Duration
	first   time.Duration
	tries   int
	settled bool
}

// alive reports whether the entry instance that took the call still runs.
func (c *call) alive() bool { return c.entry.up && c.entry.life == c.life }

// world holds one run.
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
	// demand is what the instances' digests said last.
	demand   []poolplanner.Model
	demandAt time.Duration
	crashes  map[int]int
	score    *score
}

type snapshot struct {
	at      time.Duration
	engines []dispatcher.Engine
}

// Do runs one experiment. The same Run gives the same Result.
func Do(run Run) Result {
	w := &world{Run: run, random: rand.New(rand.NewPCG(run.Seed, 0x2545f4914f6cdd1d)), crashes: map[int]int{}}
	w.catalogue, w.arrivals = newWorkload(run.Deployment, run.Shape, run.Seed, run.Length)
	w.score = newScore(w)
	w.build()
	if len(w.arrivals) > 0 {
		w.at(w.arrivals[0].at, func() { w.arrive(0) })
	}
	w.every(0, reportEvery/2, w.snap)
	for i, e := range w.entries {
		w.at(0, func() { w.deliver(e) })
		w.every(reportEvery*time.Duration(i)/time.Duration(len(w.entries)), reportEvery, func() { w.deliver(e) })
		w.every(0, expireEvery, func() { w.expire(e) })
	}
	w.every(planEvery, planEvery, w.plan)
	w.addFaults()
	end := run.Length + settleTime
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w.score.result()
}

// settleTime is how long a run goes on after its last arrival, and expireEvery
// the grain at which waiting work is looked at.
const (
	settleTime  = 2 * time.Minute
	expireEvery = 50 * time.Millisecond
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
		w.boot(e)
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
		w.fill()
	}
}

// core returns the decisions of an entry instance that knows nothing.
func (w *world) core(number uint64, zone string) *dispatcher.Core {
	return dispatcher.NewCore(append([]dispatcher.Option{
		dispatcher.WithSeed(w.Seed*1000 + number), dispatcher.WithZone(zone),
	}, w.Policy.Options...)...)
}

// renewed is added to the number of an instance that replaces a lost one.
const renewed = 500

func (w *world) boot(e *engine) {
	e.boot++
	e.residents = map[driver.Weights]*driver.LoadedWeights{}
	e.order, e.running, e.waiting, e.busy, e.stepping = nil, nil, nil, false, false
	e.cache = newCache(cached)
}

// fill places models before the run, the same for every policy: one copy of
// each, then further copies by popularity while there is room; adapters are
// dealt out to the copies.
func (w *world) fill() {
	c := &w.catalogue
	for round := range 3 {
		for i, m := range c.models {
			if round > 0 && c.share[i]*w.Deployment.Capacity()*0.5 < float64(round)*copyRate {
				continue
			}
			if e := w.emptiest(m); e != nil {
				e.place(m, c.memory[m], driver.StateReady)
			}
		}
	}
	for i, m := range c.models {
		holders := slices.DeleteFunc(slices.Clone(w.pool()), func(e *engine) bool { return !e.has(m) })
		for k, a := range c.adapters[i] {
			if len(holders) == 0 {
				break
			}
			holders[k%len(holders)].place(a, c.memory[a], driver.StateReady)
		}
	}
}

// copyRate is the demand that one copy is filled in for, in requests a second.
const copyRate = 2

func (w *world) emptiest(m driver.Weights) *engine {
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

// spareMemory is left for adapters when models are filled in, in MB.
const spareMemory = 2000

// pool returns the model engines.
func (w *world) pool() []*engine { return w.engines[:w.Deployment.Engines] }

// arrive hands an arrival to an entry instance and arms the next.
func (w *world) arrive(i int) {
	if i+1 < len(w.arrivals) {
		w.at(w.arrivals[i+1].at, func() { w.arrive(i + 1) })
	}
	a := &w.arrivals[i]
	c := &call{arrival: a}
	w.after(w.Deployment.Client, func() { w.offer(c) })
}

// offer gives a call to a live entry instance, as the balancer does.
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
	c.life = c.entry.life
	w.submit(c)
}

func (w *world) submit(c *call) {
	class := c.class
	c.Work = dispatcher.Work{
		ID: fmt.Sprint(c.id), Weights: c.weights, Client: c.caller, Class: class.Name, Priority: class.Priority,
		Deadline: epoch.Add(c.at + class.Deadline - 2*w.Deployment.Client), MaxWait: class.Queue, Deferred: class.Deferred,
		Created:  epoch.Add(c.at),
		Prefixes: c.prefixes, Prompt: c.prompt, Tokens: c.tokens, Exclude: c.Exclude,
	}
	if w.crashes[c.id] >= 2 {
		// The quarantine knows the request by now.
		w.score.rejected(c.arrival)
		return
	}
	t := c.entry.core.Offer(w.time(), c.Work)
	t.Tag = c
	if t.Settled() {
		w.answer(t)
	}
}

func (w *world) settle(all []*dispatcher.Ticket) {
	for _, t := range all {
		w.answer(t)
	}
}

// answer acts on a settled ticket.
func (w *world) answer(t *dispatcher.Ticket) {
	c := t.Tag.(*call)
	if !c.alive() {
		w.lose(c)
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

// refused lets the caller come back: deferred work always does, others only
// in a storm, and then without heeding Retry-After.
func (w *world) refused(c *call, r *judge.Refusal) {
	w.score.rejected(c.arrival)
	if r.Code == dispatcher.CodeExpired && !c.class.Deferred {
		w.score.expired++
	}
	again := &call{arrival: c.arrival, tries: c.tries + 1}
	switch {
	case c.class.Deferred:
		w.after(r.RetryAfter, func() { w.offer(again) })
	case c.tries < w.Shape.Fault.Storm:
		w.after(stormPause, func() { w.offer(again) })
	}
}

const stormPause = 200 * time.Millisecond

func (w *world) engine(name string) *engine {
	return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.Name == name })]
}

func (w *world) delay(a, b string) time.Duration {
	if a == b {
		return nearby
	}
	return w.Deployment.Between
}

// start hands a call to its engine.
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

// step runs an engine's next iteration if none runs.
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

func (w *world) emit(e *engine, tokens []*job, took time.Duration) {
	done := false
	for _, j := range tokens {
		if j.settled {
			done = true
			continue
		}
		j.out++
		if j.crash {
			w.crashes[j.id]++
			w.stop(e)
			w.after(restartTime, func() { w.restart(e) })
			return
		}
		if j.out == 1 {
			j.first = w.now - j.sent
			w.score.first(j.arrival, w.now+w.delay(j.entry.zone, e.Zone)+w.Deployment.Client-j.at)
		} else {
			w.score.between(took)
		}
		if j.out >= j.tokens {
			done = true
			w.finish(e, j)
		}
	}
	if done {
		e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.settled || j.out >= j.tokens })
	}
}

const restartTime = 15 * time.Second

func (w *world) finish(e *engine, j *job) {
	added, gone := e.cache.add(j.prefixes)
	w.publish(e, added, false)
	w.publish(e, gone, true)
	load := e.load()
	load.Running--
	w.after(w.delay(j.entry.zone, e.Zone), func() { w.release(j.call, load) })
}

// publish sends cache events, late and with gaps.
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

func (w *world) release(c *call, load driver.Load) {
	if !c.alive() {
		w.lose(c)
		return
	}
	c.settled = true
	w.score.done(c.arrival, w.now)
	w.settle(c.entry.core.Release(w.time(), c.grant, dispatcher.Result{
		Verdict: judge.Ran, FirstToken: c.first, Total: w.now - c.sent, Tokens: c.tokens, Load: &load,
	}))
}

// fail takes back a call that its engine did not answer.
func (w *world) fail(c *call, verdict judge.Verdict, lost bool) {
	if !c.alive() {
		w.lose(c)
		return
	}
	c.settled = true
	w.settle(c.entry.core.Release(w.time(), c.grant, dispatcher.Result{Verdict: verdict, Failed: true, Crashed: lost}))
	again := &call{arrival: c.arrival, entry: c.entry, life: c.life, tries: c.tries}
	again.Exclude = append(slices.Clone(c.Exclude), c.grant.Engine.Name)
	if verdict != judge.NotRun && c.class.Once {
		w.score.rejected(c.arrival)
		return
	}
	if !c.entry.core.Retry() {
		w.refused(c, judge.Unavailable("budget", "no retry is left", time.Second))
		return
	}
	w.submit(again)
}

// lose is the fate of a call whose entry instance is gone: deferred work is
// taken over by another instance, others are lost to their caller.
func (w *world) lose(c *call) {
	if c.settled {
		return
	}
	c.settled = true
	if c.class.Deferred {
		w.after(takeover, func() { w.offer(&call{arrival: c.arrival}) })
	}
}

const takeover = 10 * time.Second

// stop loses an engine with all that it runs.
func (w *world) stop(e *engine) {
	e.up = false
	e.down = w.now
	lost := append(slices.Clone(e.running), e.waiting...)
	for _, j := range lost {
		w.after(w.delay(j.entry.zone, e.Zone), func() { w.fail(j.call, judge.MayHaveRun, true) })
	}
	w.boot(e)
}

func (w *world) restart(e *engine) {
	e.up = true
	if e.plain {
		e.place(driver.Weights{Model: w.Deployment.Service}, 1, driver.StateReady)
	}
}

// snap records what the engines report at this moment.
func (w *world) snap() {
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
	w.score.watch()
}

// maxSnapshots covers the longest lag of reports.
const maxSnapshots = 60

// seen returns the newest snapshot that may be known now.
func (w *world) seen() snapshot {
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
		w.settle(e.core.UpdateEngines(w.time(), w.seen().engines))
	}
}

func (w *world) expire(e *entry) {
	if e.up {
		w.settle(e.core.Expire(w.time()))
	}
}

// addFaults arms the loss of a zone.
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
				w.stop(e)
			}
		}
		w.loseWaiting()
	})
	w.at(f.Until, func() {
		for i, e := range w.entries {
			if e.zone == zone {
				w.renew(e, i)
			}
		}
		for _, e := range w.engines {
			if e.Zone == zone {
				w.restart(e)
			}
		}
	})
}

// loseWaiting ends what lost instances had in flight; deferred work that
// waited in them is taken over.
func (w *world) loseWaiting() {
	for _, e := range w.entries {
		if e.up {
			continue
		}
		for _, t := range e.core.Expire(w.time().Add(time.Hour)) {
			w.lose(t.Tag.(*call))
		}
	}
	for _, e := range w.engines {
		for _, j := range append(slices.Clone(e.running), e.waiting...) {
			if !j.alive() {
				w.lose(j.call)
			}
		}
	}
}

// renew replaces a lost entry instance by one that knows nothing.
func (w *world) renew(e *entry, i int) {
	e.core = w.core(renewed+uint64(i), e.zone)
	e.life++
	e.up = true
	w.deliver(e)
}
