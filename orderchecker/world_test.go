package orderchecker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/driver"
	"primrosehook/leaser"
	"primrosehook/orderchecker"
	"primrosehook/replayer"
)

// The simulation runs controllers against engines and a log, all in memory. Every
// delay, loss, duplicate, pause and crash is drawn from one seed.
const (
	tick                 = 100 * time.Millisecond
	faultTicks           = 700 // ticks with faults
	defaultRecoveryTicks = 400 // ticks without
	engineCount          = 3
	maxDelay             = 8 * time.Second
	// longestPause is three pauses in a row: one from injectFaults, one before
	// the last check of an order and one after it.
	longestPause  = 45 * time.Second
	engineMemory  = 100
	engineReserve = 10
)

var shortSettings = orderchecker.Settings{
	Lease:           leaser.Settings{Term: 3 * time.Second, Margin: 500 * time.Millisecond, RankDelay: 300 * time.Millisecond},
	MaxMessageDelay: maxDelay, MinAbsence: maxDelay,
}

// mutation selects a safeguard that a run removes, to show that the invariants
// catch its absence. All of them change the controller's surroundings, so that the
// controller has no switch for tests.
type mutation struct {
	// sendUnconfirmed sends an order when its intent is submitted.
	sendUnconfirmed bool
	// skipLastCheck sends an order without the last check of the lease.
	skipLastCheck bool
	// dropOldOrders removes the orders of former lease holders from all accounts.
	dropOldOrders bool
	// assumeFencing assumes that all engines check fencing tokens.
	assumeFencing bool
	// shortDelay sets the controllers' MaxMessageDelay far below the real delays.
	shortDelay bool
	// listPausedAsGone removes paused instances from the platform's list.
	listPausedAsGone bool
	// ignoreDuplicates assumes that a settled order has no duplicates.
	ignoreDuplicates bool
	// closeOnRestart assumes that a restart ends all older orders.
	closeOnRestart bool
	// ignoreBasis accepts outdated reports, from any instance.
	ignoreBasis bool
	// takeOverAtOnce makes a claim's term so short that others take over at once.
	takeOverAtOnce bool
}

type simulation struct {
	rng      *rand.Rand
	settings orderchecker.Settings
	mutant   mutation
	// recoveryTicks is the number of ticks without faults at the end.
	recoveryTicks int
	// planInterval is the number of ticks between plans; zero means no plans.
	planInterval int
	appends      int
	now          time.Time
	log          []replayer.Entry
	// events are the functions to call later, by tick.
	events     map[int][]func()
	tick       int
	procs      []*proc
	engines    []*engine
	listed     map[string]bool
	logOutage  bool
	faultFree  bool
	fault      string
	ordersDone int
}

type proc struct {
	sim         *simulation
	name        string
	rank        int
	offset      time.Duration
	rate        float64
	machine     *orderchecker.Machine
	controller  *orderchecker.Controller
	nextEntry   int
	seq         uint64
	submissions map[uint64]*submission
	paused      int
	dead        bool
	deferred    []func()
}

type submission struct {
	ticket   uint64
	body     any
	deadline int
}

type engine struct {
	name   string
	fences bool
	// forgetsIDs is set if the engine runs an order with a known id again.
	forgetsIDs bool
	boot       int
	fence      int64
	residents  map[driver.Weights]driver.LoadedWeights
	orders     []driver.OrderOutcome
	seen       map[string]int
}

func newSimulation(seed uint64, mutant mutation) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), settings: shortSettings, mutant: mutant, recoveryTicks: defaultRecoveryTicks, planInterval: 3, now: time.Unix(1_000_000, 0),
		events: map[int][]func(){}, listed: map[string]bool{},
	}
	for i := range engineCount {
		e := &engine{name: fmt.Sprintf("e%d", i), fences: i == 0, forgetsIDs: i == 2}
		e.restart()
		w.engines = append(w.engines, e)
		w.listed[e.name] = true
	}
	w.startInstances()
	return w
}

// startInstances replaces all instances by three new ones.
func (w *simulation) startInstances() {
	w.procs = nil
	for i := range 3 {
		w.start(i)
	}
}

func (w *simulation) chance(percent int) bool { return !w.faultFree && w.rng.IntN(100) < percent }

func (w *simulation) schedule(d time.Duration, f func()) {
	at := w.tick + 1 + int(d/tick)
	w.events[at] = append(w.events[at], f)
}

func (w *simulation) randomDelay(most time.Duration) time.Duration {
	if w.faultFree || w.rng.IntN(4) > 0 {
		return time.Duration(w.rng.Int64N(int64(200 * time.Millisecond)))
	}
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *simulation) start(rank int) {
	s := w.settings
	if w.mutant.shortDelay {
		s.MaxMessageDelay = 50 * time.Millisecond
	}
	name := fmt.Sprintf("h%d.%d", rank, w.tick)
	p := &proc{
		sim: w, name: name, rank: rank,
		offset:  time.Duration(w.rng.Int64N(int64(time.Hour))),
		rate:    1 + (w.rng.Float64()-0.5)*0.05,
		machine: orderchecker.NewMachine(), controller: orderchecker.NewController(name, s), submissions: map[uint64]*submission{},
	}
	w.listed[name] = true
	w.procs = append(w.procs, p)
}

func (p *proc) clock() time.Time {
	run := time.Duration(float64(p.sim.now.Sub(time.Unix(1_000_000, 0))) * p.rate)
	return time.Unix(2_000_000, 0).Add(p.offset + run)
}

// run runs one schedule and returns the violated invariant, or empty.
func (w *simulation) run() string {
	for w.tick < faultTicks+w.recoveryTicks && w.fault == "" {
		if w.tick == faultTicks {
			w.faultFree = true
			w.logOutage = false
		}
		w.injectFaults()
		w.advance()
	}
	if w.fault == "" {
		w.checkRecovered()
	}
	return w.fault
}

// advance simulates one tick.
func (w *simulation) advance() {
	w.now = w.now.Add(tick)
	for _, f := range w.events[w.tick] {
		f()
	}
	delete(w.events, w.tick)
	for _, p := range append([]*proc(nil), w.procs...) {
		p.step()
	}
	w.checkInvariants()
	w.tick++
}

func (w *simulation) injectFaults() {
	if w.faultFree {
		return
	}
	if w.rng.IntN(300) == 0 {
		w.logOutage = true
	} else if w.logOutage && w.rng.IntN(60) == 0 {
		w.logOutage = false
	}
	if w.rng.IntN(400) == 0 {
		w.engines[w.rng.IntN(engineCount)].restart()
	}
	for _, p := range append([]*proc(nil), w.procs...) {
		switch {
		case w.rng.IntN(150) == 0 && p.paused == 0:
			p.paused = 10 + w.rng.IntN(120)
		case w.rng.IntN(700) == 0:
			p.crash()
		}
	}
}

func (p *proc) crash() {
	p.dead = true
	for i, q := range p.sim.procs {
		if q == p {
			p.sim.procs = append(p.sim.procs[:i], p.sim.procs[i+1:]...)
			break
		}
	}
	p.sim.schedule(p.sim.randomDelay(10*time.Second), func() { delete(p.sim.listed, p.name) })
	p.sim.schedule(p.sim.randomDelay(10*time.Second), func() { p.sim.start(p.rank) })
}

// whenRunning runs f now, or after a pause, or not at all if the process has crashed.
func (p *proc) whenRunning(f func()) {
	if p.paused > 0 {
		p.deferred = append(p.deferred, f)
	} else if !p.dead {
		f()
	}
}

func (p *proc) step() {
	if p.paused > 0 {
		p.paused--
		if p.paused > 0 {
			return
		}
		held := p.deferred
		p.deferred = nil
		for _, f := range held {
			p.whenRunning(f)
		}
	}
	if p.dead {
		return
	}
	if !p.sim.logOutage && !p.sim.chance(30) {
		p.readLog()
	}
	now := p.clock()
	if p.sim.tick%5 == 0 {
		p.controller.Listed(now, p.machine, p.sim.platformList())
	}
	p.submit(p.controller.Step(now, p.machine, p.rank))
	p.expireSubmissions()
	if p.sim.tick%3 == 0 {
		for _, e := range p.sim.engines {
			p.poll(e)
		}
	}
	if p.sim.planInterval > 0 && p.sim.tick%p.sim.planInterval == 0 {
		p.proposeRandomOrders()
	}
}

// platformList returns the platform's current instance list.
func (w *simulation) platformList() map[string]bool {
	names := map[string]bool{}
	for name := range w.listed {
		names[name] = true
	}
	if w.mutant.listPausedAsGone {
		for _, p := range w.procs {
			if p.paused > 0 {
				delete(names, p.name)
			}
		}
	}
	return names
}

func (p *proc) readLog() {
	for p.nextEntry < len(p.sim.log) && p.paused == 0 {
		e := p.sim.log[p.nextEntry]
		at := replayer.At(int64(p.nextEntry), 0)
		p.nextEntry++
		result := p.apply(at, e)
		if e.Origin.Instance != p.name {
			continue
		}
		s, ok := p.submissions[e.Origin.Seq]
		if !ok {
			continue
		}
		delete(p.submissions, e.Origin.Seq)
		if send, ok := p.controller.Submitted(p.clock(), p.machine, s.ticket, result, true); ok {
			p.send(send)
		}
	}
}

// apply applies an entry, with the changes that the mutation makes around it.
func (p *proc) apply(at replayer.Position, e replayer.Entry) orderchecker.Result {
	m, mutant := p.machine, p.sim.mutant
	before := m.Lease().Fence
	var s orderchecker.Settle
	if e.Kind == orderchecker.KindSettle {
		_ = msgpack.Unmarshal(e.Body, &s)
		if mutant.ignoreBasis {
			s.Basis, s.Fence = m.Basis(s.Engine), m.Lease().Fence
			e.Origin.Instance = m.Lease().Holder
			e.Body, _ = msgpack.Marshal(s)
		}
	}
	boot := ""
	if a := m.Engine(s.Engine); a != nil {
		boot = a.Boot
	}
	result := m.Apply(at, e)
	for _, a := range m.Engines() {
		if mutant.dropOldOrders && m.Lease().Fence != before {
			a.Tracked = nil
		}
		for i := range a.Tracked {
			t := &a.Tracked[i]
			if mutant.assumeFencing && t.Order.Fence < int64(m.Lease().Fence) {
				t.State = orderchecker.StateFenced
			}
		}
		if mutant.ignoreDuplicates {
			a.Tracked = a.Open()
		}
		if mutant.closeOnRestart && boot != "" && a.Name == s.Engine && a.Boot != boot {
			a.Tracked = nil
		}
	}
	return result
}

func (p *proc) submit(all []orderchecker.Append) {
	if len(all) > 0 {
		p.sim.appends++
	}
	for _, a := range all {
		if c, ok := a.Body.(leaser.Claim); ok && p.sim.mutant.takeOverAtOnce {
			c.Term = time.Millisecond
			a.Body = c
		}
		p.seq++
		p.submissions[p.seq] = &submission{ticket: a.Ticket, body: a.Body, deadline: p.sim.tick + 15}
		body, _ := msgpack.Marshal(a.Body)
		e := replayer.Entry{Kind: a.Kind, Origin: replayer.Origin{Instance: p.name, Seq: p.seq}, Body: body}
		if i, ok := a.Body.(orderchecker.Intent); ok && p.sim.mutant.sendUnconfirmed {
			p.sim.sendMessage(p, orderchecker.Send{Engine: i.Engine, Order: i.Order})
		}
		if p.sim.chance(5) {
			continue
		}
		late := p.sim.randomDelay(3 * time.Second)
		if p.sim.chance(10) {
			late = time.Duration(p.sim.rng.Int64N(int64(25 * time.Second)))
		}
		p.sim.schedule(late, func() {
			if p.sim.logOutage {
				return
			}
			p.sim.log = append(p.sim.log, e)
			if p.sim.chance(3) {
				p.sim.log = append(p.sim.log, e)
			}
		})
	}
}

// expireSubmissions gives up submissions whose entry was not read back in time.
func (p *proc) expireSubmissions() {
	for seq, s := range p.submissions {
		if p.sim.tick > s.deadline {
			delete(p.submissions, seq)
			p.controller.Submitted(p.clock(), p.machine, s.ticket, orderchecker.Result{}, false)
		}
	}
}

// send sends an order; the process may be paused before and after the last check.
func (p *proc) send(s orderchecker.Send) {
	if p.sim.chance(10) {
		p.paused = 10 + p.sim.rng.IntN(150)
	}
	p.whenRunning(func() { p.checkAndSend(s) })
}

func (p *proc) checkAndSend(s orderchecker.Send) {
	if !p.controller.MaySend(p.clock(), s.Order.ID) && !p.sim.mutant.skipLastCheck {
		return
	}
	if p.sim.chance(20) {
		p.paused = 10 + p.sim.rng.IntN(150)
	}
	p.whenRunning(func() { p.sim.sendMessage(p, s) })
}

// sendMessage schedules the delivery of no, one or two copies of an order. They may
// arrive until maxDelay after the sender's call has returned.
func (w *simulation) sendMessage(p *proc, s orderchecker.Send) {
	if w.chance(5) {
		p.controller.Sent(p.clock(), s.Order, false)
		return
	}
	ended := w.randomDelay(2 * time.Second)
	copies := 1
	if w.chance(50) {
		copies = w.rng.IntN(3)
	}
	for i := range copies {
		most := ended + maxDelay - 4*tick
		late := w.randomDelay(most)
		if i > 0 {
			late = time.Duration(w.rng.Int64N(int64(most)))
		}
		w.schedule(late, func() { w.engine(s.Engine).deliver(w, s.Order) })
	}
	w.schedule(ended, func() {
		p.whenRunning(func() { p.controller.Sent(p.clock(), s.Order, true) })
	})
}

func (p *proc) poll(e *engine) {
	if p.sim.chance(20) {
		return
	}
	requestedAt := p.clock()
	report := e.report()
	if p.sim.chance(30) {
		// The report is outdated when it is requested, and its age says so.
		p.sim.schedule(p.sim.randomDelay(2*time.Second), func() {
			p.whenRunning(func() {
				at := p.clock()
				report.Age = at.Sub(requestedAt)
				p.controller.Reported(at, e.name, e.fences, report)
			})
		})
		return
	}
	p.sim.schedule(p.sim.randomDelay(2*time.Second), func() {
		p.whenRunning(func() { p.controller.Reported(requestedAt, e.name, e.fences, report) })
	})
}

// proposeRandomOrders proposes random loads and unloads.
func (p *proc) proposeRandomOrders() {
	for _, e := range p.sim.engines {
		w := driver.Weights{Model: fmt.Sprintf("m%d", p.sim.rng.IntN(6))}
		i := orderchecker.Intent{Engine: e.name, Order: driver.Order{Op: driver.OpLoad, Weights: w, MemoryMB: 20 + 5*int64(w.Model[1]-'0')}}
		account := p.machine.Engine(e.name)
		if account != nil && account.HasLoaded(w) {
			i.Order.Op = driver.OpUnload
		}
		if a, reason := p.controller.Propose(p.clock(), p.machine, i); reason == "" {
			p.submit([]orderchecker.Append{a})
		}
	}
}

func (w *simulation) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (e *engine) restart() {
	e.boot++
	e.fence = 0
	e.residents = map[driver.Weights]driver.LoadedWeights{}
	e.orders = nil
	e.seen = map[string]int{}
}

func (e *engine) usedMemory() int64 {
	sum := int64(engineReserve)
	for _, r := range e.residents {
		sum += r.MemoryMB
	}
	return sum
}

// deliver runs an order that has arrived.
func (e *engine) deliver(w *simulation, o driver.Order) {
	if _, ok := e.seen[o.ID]; ok && !e.forgetsIDs {
		return
	}
	if e.fences && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.seen[o.ID] = len(e.orders)
	boot, index := e.boot, len(e.orders)
	e.orders = append(e.orders, driver.OrderOutcome{ID: o.ID, Outcome: driver.OutcomeRunning})
	if _, ok := e.residents[o.Weights]; o.Op == driver.OpLoad && !ok {
		// Loading weights that are already loaded uses no additional memory.
		e.residents[o.Weights] = driver.LoadedWeights{Weights: o.Weights, State: driver.StateLoading, MemoryMB: o.MemoryMB}
	}
	w.schedule(w.randomDelay(5*time.Second), func() {
		if e.boot != boot {
			return
		}
		e.orders[index].Outcome = driver.OutcomeDone
		w.ordersDone++
		if o.Op == driver.OpUnload {
			delete(e.residents, o.Weights)
		}
	})
}

func (e *engine) report() driver.Report {
	r := driver.Report{
		Engine: e.name, Incarnation: fmt.Sprint(e.boot), TotalMB: engineMemory, ReserveMB: engineReserve, Fence: e.fence,
		Orders: append([]driver.OrderOutcome(nil), e.orders...),
	}
	for _, resident := range e.residents {
		r.Loaded = append(r.Loaded, resident)
	}
	return r
}

// checkInvariants checks the engines' real memory use and the number of valid lease
// holders, which no instance can observe.
func (w *simulation) checkInvariants() {
	valid := 0
	for _, p := range w.procs {
		if p.controller.Valid(p.clock()) {
			valid++
		}
	}
	if valid > 1 {
		w.fault = fmt.Sprintf("tick %d: %d valid holders", w.tick, valid)
	}
	for _, e := range w.engines {
		if e.usedMemory() > engineMemory {
			w.fault = fmt.Sprintf("tick %d: engine %s uses %d of %d MB", w.tick, e.name, e.usedMemory(), engineMemory)
		}
	}
}

// checkRecovered checks that orders of former lease holders no longer count and that
// every engine has an entry in the second half of the log.
func (w *simulation) checkRecovered() {
	for _, p := range w.procs {
		if !p.controller.Valid(p.clock()) {
			continue
		}
		for _, a := range p.machine.Engines() {
			for _, t := range a.Open() {
				if t.Order.Fence < int64(p.machine.Lease().Fence) {
					w.fault = fmt.Sprintf("order %s on %s still counts after the recovery time", t.Order.ID, a.Name)
				}
			}
			if a.Last.Offset() < int64(len(w.log)/2) {
				w.fault = fmt.Sprintf("engine %s had no entry in the second half of the log", a.Name)
			}
		}
		return
	}
	w.fault = "no valid lease holder after the recovery time"
}
