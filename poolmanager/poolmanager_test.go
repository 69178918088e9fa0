package poolmanager_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/leaser"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/orderchecker"
	"primrosehook/poolmanager"
	"primrosehook/poolplanner"
	"primrosehook/ruler"
)

const waitLimit = "20s"

var shortSettings = orderchecker.Settings{
	Lease:           leaser.Settings{Term: 4 * time.Second, Margin: 500 * time.Millisecond, RankDelay: 200 * time.Millisecond},
	MaxMessageDelay: time.Second, MinAbsence: 2 * time.Second,
}

// fakeView is a view whose instances are set by a test.
type fakeView struct {
	self   lister.Instance
	region *region
}

func (v *fakeView) Self() lister.Instance { return v.self }

func (v *fakeView) Instances(kind string) []lister.Instance { return v.region.instances(kind) }

func (v *fakeView) Owners(_ string, count int) []lister.Instance {
	all := v.region.instances(lister.KindEntry)
	slices.SortFunc(all, func(a, b lister.Instance) int { return strings.Compare(a.Name, b.Name) })
	return all[:min(count, len(all))]
}

// greedyPlanner loads every model on every engine with enough free memory.
type greedyPlanner struct{}

func (greedyPlanner) Plan(_ time.Time, s poolplanner.State) []poolplanner.Move {
	var moves []poolplanner.Move
	for _, e := range s.Engines {
		for _, m := range s.Models {
			loaded := slices.ContainsFunc(e.Loaded, func(r driver.LoadedWeights) bool { return r.Weights == m.Weights })
			if loaded || e.Busy || e.Leaving || m.Memory > e.Free {
				continue
			}
			moves = append(moves, poolplanner.Move{Engine: e.Name, Op: driver.OpLoad, Weights: m.Weights, Memory: m.Memory, Reason: "test"})
			break
		}
	}
	return moves
}

// unloadingPlanner loads as greedyPlanner does until it is told to unload weights
// from an engine, and records the states that it gets.
type unloadingPlanner struct {
	greedyPlanner
	mu     sync.Mutex
	engine string
	unload driver.Weights
	states []poolplanner.State
}

func (p *unloadingPlanner) Plan(now time.Time, s poolplanner.State) []poolplanner.Move {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states = append(p.states, s)
	if p.engine == "" {
		return p.greedyPlanner.Plan(now, s)
	}
	return []poolplanner.Move{{Engine: p.engine, Op: driver.OpUnload, Weights: p.unload, Reason: "test"}}
}

// start makes the planner unload weights from an engine, from its next plan on.
func (p *unloadingPlanner) start(engine string, w driver.Weights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engine, p.unload, p.states = engine, w, nil
}

// stateOf returns the state of the weights that are unloaded as of the last plan,
// and whether their engine was busy then.
func (p *unloadingPlanner) stateOf() (state string, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.states) == 0 {
		return "", false
	}
	for _, e := range p.states[len(p.states)-1].Engines {
		if e.Name != p.engine {
			continue
		}
		busy = e.Busy
		for _, r := range e.Loaded {
			if r.Weights == p.unload {
				state = r.State
			}
		}
	}
	return state, busy
}

// region is a region of two fake engines and some entry instances in one process.
type region struct {
	name     string
	log      *faker.Log
	list     *faker.List
	engines  map[string]*faker.Engine
	mu       sync.Mutex
	members  []lister.Instance
	stops    map[string]context.CancelFunc
	managers map[string]*poolmanager.Manager
	seen     map[string][]dispatcher.Engine
	planner  poolplanner.Planner
}

const rules = `
name: test
models:
  - {name: alpha, pool: assistant, memory: 300}
  - {name: beta, pool: assistant, memory: 200}
weights: {attainment: 0.5, moves: 0.5}
rules:
  - {name: all, when: "true", then: {ready: 1}}
`

func newRegion() *region { return newRegionOn(faker.NewLog(faker.LogSettings{}), "one") }

func newRegionOn(log *faker.Log, name string) *region {
	r := &region{
		name: name, log: log, list: faker.NewList(faker.ListSettings{}),
		engines: map[string]*faker.Engine{}, stops: map[string]context.CancelFunc{},
		managers: map[string]*poolmanager.Manager{}, seen: map[string][]dispatcher.Engine{}, planner: greedyPlanner{},
	}
	for i := range 2 {
		settings := faker.DefaultEngine()
		settings.TotalMB, settings.ReserveMB, settings.ChecksFence = 1000, 100, i == 0
		name := fmt.Sprintf("engine-%d", i)
		e := faker.NewEngine(name, settings)
		s := httptest.NewServer(e.Handler())
		DeferCleanup(s.Close)
		r.engines[name] = e
		r.add(lister.Instance{
			Name: name, Kind: lister.KindEngine, Region: r.name, Pool: "assistant", Addr: s.Listener.Addr().String(),
			State: lister.StateLive, SupportsFencing: settings.ChecksFence,
		})
	}
	return r
}

func (r *region) add(i lister.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append(r.members, i)
	Expect(r.list.Announce(context.Background(), i)).To(Succeed())
}

func (r *region) instances(kind string) []lister.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []lister.Instance
	for _, i := range r.members {
		if i.Kind == kind {
			all = append(all, i)
		}
	}
	return all
}

// start starts an entry instance's manager and reader.
func (r *region) start(name string) *poolmanager.Manager {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	self := lister.Instance{Name: name, Kind: lister.KindEntry, Region: r.name, PeerAddr: l.Addr().String(), State: lister.StateLive}
	r.add(self)
	list, err := ruler.Parse("test", []byte(rules))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	server := messenger.NewServer(zap.NewNop())
	deps := poolmanager.Dependencies{
		Log: r.log, View: &fakeView{self: self, region: r}, List: r.list,
		Engines: func(addr string) driver.Engine { return driver.NewClient(addr, http.DefaultClient) },
		Rules:   func() *ruler.List { return list },
		Planner: func() poolplanner.Planner { return r.planner },
		Peers:   messenger.NewClient(clockwork.NewRealClock()),
	}
	manager := poolmanager.New(deps, poolmanager.WithSettings(shortSettings))
	manager.Serve(server)
	reader := poolmanager.NewReader(deps, manager,
		func() []dispatcher.Demand { return nil },
		func(all []dispatcher.Engine) { r.record(name, all) })
	m := &peerListener{server: server, listener: l}
	go m.run(ctx)
	manager.Start(ctx)
	reader.Start(ctx)
	r.mu.Lock()
	r.managers[name] = manager
	r.stops[name] = func() {
		cancel()
		l.Close()
		deps.Peers.Close()
	}
	r.mu.Unlock()
	DeferCleanup(r.stops[name])
	return manager
}

// peerListener serves messages of other instances.
type peerListener struct {
	server   *messenger.Server
	listener net.Listener
}

func (m *peerListener) run(ctx context.Context) { _ = m.server.Serve(ctx, m.listener) }

// crash stops an instance without a drain; the platform lists it as gone.
func (r *region) crash(name string) {
	r.stops[name]()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = slices.DeleteFunc(r.members, func(i lister.Instance) bool { return i.Name == name })
	Expect(r.list.Withdraw(context.Background(), name)).To(Succeed())
}

func (r *region) record(name string, all []dispatcher.Engine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[name] = all
}

// shown returns a function that lists what an instance's reader has published:
// engine, model and state.
func (r *region) shown(name string) func() []string {
	return func() []string {
		r.mu.Lock()
		defer r.mu.Unlock()
		var all []string
		for _, e := range r.seen[name] {
			for _, resident := range e.Report.Loaded {
				all = append(all, e.Name+" "+resident.Model+" "+resident.State)
			}
		}
		return all
	}
}

var allModelsReady = []string{
	"engine-0 alpha ready", "engine-0 beta ready", "engine-1 alpha ready", "engine-1 beta ready",
}

func (r *region) expectNoViolations() {
	for _, e := range r.engines {
		Expect(e.Violations()).To(BeEmpty())
	}
}

func status(m *poolmanager.Manager) poolmanager.PoolStatus {
	all := m.Status()
	if len(all) == 0 {
		return poolmanager.PoolStatus{}
	}
	return all[0]
}

func isValid(m *poolmanager.Manager) func() bool { return func() bool { return status(m).Valid } }

var _ = Describe("Manager", func() {
	It("loads models and publishes them to every instance", func() {
		r := newRegion()
		a := r.start("a")
		// If b started at the same time, it could claim the lease first.
		Eventually(isValid(a), waitLimit).Should(BeTrue())
		r.start("b")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		Eventually(r.shown("b"), waitLimit).Should(Equal(allModelsReady))
		whole := poolmanager.Query{Pool: "assistant"}
		first, err := a.Digest(whole)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(And(HaveField("Epoch", Not(BeEmpty())), HaveField("Changes", HaveLen(2))))
		short := poolmanager.Query{Pool: "assistant", EpochHash: xxhash.Sum64String(first.Epoch), Since: first.Version}
		Expect(a.Digest(short)).To(And(HaveField("Epoch", BeEmpty()), HaveField("AcceptsHash", BeTrue())))
		short.EpochHash++
		Expect(a.Digest(short)).To(And(HaveField("Epoch", first.Epoch), HaveField("Changes", HaveLen(2))))
		s := status(a)
		Expect(s.Holder).To(Equal("a"))
		Expect(s.Valid).To(BeTrue())
		Expect(s.Counts.Loads).To(BeNumerically("==", 4))
		Expect(s.Moves[0].Why).To(Equal("test"))
		r.expectNoViolations()
	})

	It("manages pools of the same name in regions that share a log", func() {
		r := newRegion()
		south := newRegionOn(r.log, "two")
		a, z := r.start("a"), south.start("z")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		Eventually(south.shown("z"), waitLimit).Should(Equal(allModelsReady))
		Expect(isValid(a)()).To(BeTrue())
		Expect(isValid(z)()).To(BeTrue())
		r.expectNoViolations()
		south.expectNoViolations()
	})

	It("explains an order while it is open and after its engine has reported the outcome", func() {
		r := newRegion()
		a := r.start("a")
		Eventually(func() []poolmanager.MoveRecord { return status(a).Moves }, waitLimit).ShouldNot(BeEmpty())
		given := status(a).Moves[0]
		open, known := a.Explain(given.Order)
		Expect(known).To(BeTrue())
		Expect(open).To(And(HaveField("Why", "test"), HaveField("Engine", given.Engine), HaveField("Model", given.Model)))
		Eventually(func() poolmanager.OrderRecord { o, _ := a.Explain(given.Order); return o }, waitLimit).
			Should(And(HaveField("Outcome", driver.OutcomeDone), HaveField("Reservation", BeNil()), HaveField("EndedAt", Not(BeZero()))))
		_, known = a.Explain("nobody's/1")
		Expect(known).To(BeFalse())
	})

	It("loses the lease to another owner when it dies, which restores the models after a crash", func() {
		r := newRegion()
		both := map[string]*poolmanager.Manager{"a": r.start("a"), "b": r.start("b")}
		Eventually(r.shown("b"), waitLimit).Should(Equal(allModelsReady))
		// On a slow machine the lease may have expired and gone to b.
		before := status(both["a"])
		dead, next := before.Holder, both["b"]
		if dead == "b" {
			next = both["a"]
		}
		r.crash(dead)
		Eventually(func() bool { return status(next).Valid && status(next).Fence > before.Fence }, waitLimit).Should(BeTrue())
		r.engines["engine-1"].Crash()
		Eventually(func() int64 { return status(next).Counts.Restarts }, waitLimit).Should(BeNumerically(">=", 1))
		Eventually(r.shown(status(next).Holder), waitLimit).Should(Equal(allModelsReady))
		r.expectNoViolations()
	})

	It("sends no order while the log is unavailable, and continues to poll", func() {
		r := newRegion()
		a := r.start("a")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		// While the order to load the model is open in the log, it explains that
		// the model is not loaded, so that the model does not count as missing.
		Eventually(func() int { return len(status(a).Reservations) }, waitLimit).Should(BeZero())
		down := faker.LogFaults{}
		down.Outage = faker.OutageRefuse
		r.log.SetFaults(down)
		Eventually(isValid(a), waitLimit).Should(BeFalse())
		sent := status(a).Counts.Loads
		late := driver.Order{ID: "late", Op: driver.OpUnload, Fence: 1 << 40, Weights: driver.Weights{Model: "beta"}}
		Expect(r.engines["engine-1"].Order(late)).To(Succeed())
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady[:3]))
		Expect(status(a).Counts.Loads).To(Equal(sent))
		r.log.SetFaults(faker.LogFaults{})
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		Expect(status(a).Counts.Missing).To(BeNumerically(">=", 1))
		r.expectNoViolations()
	})

	// Guards against unloading the last replica of a model because another one, whose
	// unload is ordered but not reported yet, still counts as ready.
	It("does not show the planner a replica as ready whose unload is under way", func() {
		r := newRegion()
		p := &unloadingPlanner{}
		r.planner = p
		a := r.start("a")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		Eventually(func() int { return len(status(a).Reservations) }, waitLimit).Should(BeZero())
		stale := faker.EngineFaults{ReportLag: 2 * time.Second}
		r.engines["engine-1"].SetFaults(stale)
		beta := driver.Weights{Model: "beta"}
		p.start("engine-1", beta)
		Eventually(func() int { return len(status(a).Reservations) }, waitLimit).ShouldNot(BeZero())
		// This drops the states from before the order was in the log.
		p.start("engine-1", beta)
		Eventually(func() bool { _, busy := p.stateOf(); return busy }, waitLimit).Should(BeTrue())
		Consistently(func() string {
			state, busy := p.stateOf()
			if !busy {
				return ""
			}
			return state
		}, "1s").ShouldNot(Equal(driver.StateReady))
		r.expectNoViolations()
	})

	It("counts a load that it did not order as unexpected", func() {
		r := newRegion()
		a := r.start("a")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady))
		Eventually(func() int { return len(status(a).Reservations) }, waitLimit).Should(BeZero())
		late := driver.Order{ID: "late", Op: driver.OpLoad, Fence: 1 << 40, Weights: driver.Weights{Model: "gamma"}, MemoryMB: 300}
		Expect(r.engines["engine-1"].Order(late)).To(Succeed())
		Eventually(func() int64 { return status(a).Counts.Unexpected }, waitLimit).Should(BeNumerically(">=", 1))
		r.expectNoViolations()
	})

	It("releases the lease in a drain", func(ctx context.Context) {
		r := newRegion()
		a := r.start("a")
		Eventually(isValid(a), waitLimit).Should(BeTrue())
		b := r.start("b")
		Expect(a.Drain(ctx)).To(Succeed())
		Expect(status(a).Valid).To(BeFalse())
		Eventually(isValid(b), waitLimit).Should(BeTrue())
	})

	It("ends a drain while the log hangs", func(ctx context.Context) {
		r := newRegion()
		a := r.start("a")
		Eventually(isValid(a), waitLimit).Should(BeTrue())
		down := faker.LogFaults{}
		down.Outage = faker.OutageHang
		r.log.SetFaults(down)
		Expect(a.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(status(a).Valid).To(BeFalse())
		Expect(ctx.Err()).NotTo(HaveOccurred())
	}, SpecTimeout(time.Minute))

	It("hands the lease over to a new owner that ranks first", func() {
		r := newRegion()
		b := r.start("b")
		Eventually(isValid(b), waitLimit).Should(BeTrue())
		a := r.start("a")
		Eventually(isValid(a), "60s").Should(BeTrue())
		Expect(isValid(b)()).To(BeFalse())
		Consistently(isValid(b), "2s").Should(BeFalse())
	})

	It("polls engines directly when no owner has the lease", func() {
		r := newRegion()
		r.engines["engine-0"].Preload(driver.Weights{Model: "alpha"}, 300)
		down := faker.LogFaults{}
		down.Outage = faker.OutageRefuse
		r.log.SetFaults(down)
		a := r.start("a")
		Eventually(r.shown("a"), waitLimit).Should(Equal(allModelsReady[:1]))
		Expect(isValid(a)()).To(BeFalse())
	})
})
