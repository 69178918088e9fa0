package faker

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/driver"
)

// kbInMB is how many KB one MB holds.
const kbInMB = 1024

// Bounds of what an engine keeps.
const (
	maxOrders     = 64
	maxViolations = 1000
)

// EngineSettings are the sizes and speeds of an engine.
type EngineSettings struct {
	// Total is the accelerator memory in MB; Reserve is the part kept for
	// requests in flight, cached prefixes and imported KV cache.
	Total   int64
	Reserve int64
	// TokenKB is the KV cache of one token.
	TokenKB int64
	// Batch is how many requests run at once; Waiting how many more may wait.
	Batch   int
	Waiting int
	// A step gives each running request one token. It takes Step, StepEach
	// for each running request, and Prefill for each prompt token worked on,
	// of which there are at most Chunk in a step.
	Step     time.Duration
	StepEach time.Duration
	Prefill  time.Duration
	Chunk    int
	// Unload and Role are how long such an order takes.
	Unload time.Duration
	Role   time.Duration
	// Keep is how long a stream without a reader can be resumed.
	Keep time.Duration
	// Fences says that orders with an old fencing number are refused. The
	// number is kept in memory: it starts at zero after a crash.
	Fences bool
	// Remembers says that an order id runs at most once in a boot.
	Remembers bool
}

// DefaultEngine returns the settings of an accelerator with 80 GB.
func DefaultEngine() EngineSettings {
	return EngineSettings{
		Total: 80_000, Reserve: 16_000, TokenKB: 128,
		Batch: 16, Waiting: 256,
		Step: 5 * time.Millisecond, StepEach: 200 * time.Microsecond,
		Prefill: 50 * time.Microsecond, Chunk: 2048,
		Unload: 200 * time.Millisecond, Role: 500 * time.Millisecond,
		Keep:   30 * time.Second,
		Fences: true, Remembers: true,
	}
}

// EngineFaults are the troubles of an engine. OutageHang freezes it whole:
// requests, steps and orders.
type EngineFaults struct {
	Faults
	// Factor multiplies the time of a step; zero counts as one.
	Factor float64 `json:"factor,omitempty"`
	// Poison crashes the engine once it runs a prompt that holds this text.
	Poison string `json:"poison,omitempty"`
	// Leaving refuses new work.
	Leaving bool `json:"leaving,omitempty"`
	// ReportLag is how old reports are; EventLag how late cache events come.
	// Every EventGap-th event is lost.
	ReportLag time.Duration `json:"report_lag,omitempty"`
	EventLag  time.Duration `json:"event_lag,omitempty"`
	EventGap  int           `json:"event_gap,omitempty"`
	// LoseOrders orders are lost before they take effect, LateOrders take
	// effect by Late later, DoubleOrders at once and again by Late later. The
	// sender of a lost or late one sees its connection cut.
	LoseOrders   int           `json:"lose_orders,omitempty"`
	LateOrders   int           `json:"late_orders,omitempty"`
	DoubleOrders int           `json:"double_orders,omitempty"`
	Late         time.Duration `json:"late,omitempty"`
}

func (f EngineFaults) common() Faults { return f.Faults }

// Engine stands in for a model engine.
type Engine struct {
	*control[EngineFaults]
	name     string
	settings EngineSettings
	clock    clockwork.Clock
	source   Source
	crash    func()
	refused  refusals
	journal  *journal

	mu    sync.Mutex
	boots int
	// life ends with a crash.
	life     context.Context
	end      context.CancelFunc
	memory   memory
	role     string
	cache    *cache
	events   events
	fence    int64
	orders   []driver.OrderOutcome
	seen     map[string]bool
	waiting  []*generation
	running  []*generation
	known    map[string]*generation
	stepping bool
	// dropped is when idle generations were last looked for.
	dropped time.Time
	history []datedReport
	// ran counts the runs of each request id over all boots, and so do the
	// violations: they are what tests ask about.
	ran        map[string]int
	violations []Violation
}

type datedReport struct {
	at     time.Time
	report driver.Report
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(name string, settings EngineSettings, set ...Option) *Engine {
	o := newOptions(set)
	e := &Engine{
		control:  newControl[EngineFaults](),
		name:     name,
		settings: settings,
		clock:    o.clock,
		source:   o.source,
		crash:    o.crash,
		refused:  refusals{clock: o.clock},
		journal:  &journal{out: o.journal},
		ran:      map[string]int{},
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start()
	return e
}

// start begins a new boot with empty memory.
func (e *Engine) start() {
	e.boots++
	e.life, e.end = context.WithCancel(context.Background())
	e.memory = memory{
		total:     e.settings.Total,
		reserve:   e.settings.Reserve,
		residents: map[driver.Weights]driver.LoadedWeights{},
	}
	e.role = driver.RoleMixed
	e.cache = newCache()
	e.events.kept = nil
	e.fence = 0
	e.orders = nil
	e.seen = map[string]bool{}
	e.waiting = nil
	e.running = nil
	e.known = map[string]*generation{}
	e.stepping = false
	e.changed()
}

// boot names this life of the engine.
func (e *Engine) boot() string { return fmt.Sprintf("%s-%d", e.name, e.boots) }

// Preload makes weights resident at once, without an order.
func (e *Engine) Preload(w driver.Weights, memory int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.residents[w] = driver.LoadedWeights{Weights: w, State: driver.StateReady, MemoryMB: memory}
	e.check("preload " + w.Model)
	e.changed()
}

// Crash ends this boot: all connections are cut and the memory is emptied.
func (e *Engine) Crash() {
	if e.crash != nil {
		e.crash()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

func (e *Engine) restart() {
	e.end()
	e.start()
}

// Violations returns the moments at which the memory was overcommitted.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation{}, e.violations...)
}

// Ran returns how often each request id was run.
func (e *Engine) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.ran))
	for id, n := range e.ran {
		out[id] = n
	}
	return out
}

// Refused returns what new work came while the engine was leaving.
func (e *Engine) Refused() Refusals { return e.refused.get() }

// check records a violation if the memory is overcommitted.
func (e *Engine) check(why string) {
	over := e.memory.overcommitted()
	if over == "" || len(e.violations) >= maxViolations {
		return
	}
	v := Violation{
		At: e.clock.Now(), Engine: e.name, Boot: e.boot(), Why: why + ": " + over,
		Weights: e.memory.weights(), Reserve: max(e.memory.held(), e.memory.inReserve()),
		Total: e.memory.total,
	}
	e.violations = append(e.violations, v)
	e.journal.add(Line{Name: e.name, Violation: &v})
}

// changed keeps a report for those who see it late. What is older than any
// reader sees is dropped.
func (e *Engine) changed() {
	now := e.clock.Now()
	e.history = append(e.history, datedReport{at: now, report: e.snapshot()})
	oldest := now.Add(-e.Faults().ReportLag)
	drop := 0
	for drop+1 < len(e.history) && !e.history[drop+1].at.After(oldest) {
		drop++
	}
	e.history = append([]datedReport(nil), e.history[drop:]...)
}

func (e *Engine) load() driver.Load {
	return driver.Load{Running: len(e.running), Waiting: len(e.waiting), UsedMB: e.memory.used()}
}

func (e *Engine) snapshot() driver.Report {
	r := driver.Report{
		Engine: e.name, Incarnation: e.boot(), Load: e.load(), Role: e.role,
		TotalMB: e.memory.total, ReserveMB: e.memory.held(), MaxBatch: e.settings.Batch,
		Loaded: []driver.LoadedWeights{}, Orders: append([]driver.OrderOutcome{}, e.orders...),
		Fence: e.fence,
	}
	for _, resident := range e.memory.residents {
		r.Loaded = append(r.Loaded, resident)
	}
	sort.Slice(r.Loaded, func(i, j int) bool { return before(r.Loaded[i].Weights, r.Loaded[j].Weights) })
	return r
}

func before(a, b driver.Weights) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}

// Report returns the report as it is seen now, which lags.
func (e *Engine) Report() driver.Report {
	lag := e.Faults().ReportLag
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if lag <= 0 {
		return e.snapshot()
	}
	seen := e.history[0]
	for _, h := range e.history {
		if h.at.After(now.Add(-lag)) {
			break
		}
		seen = h
	}
	// What was kept at a change stands until the next one.
	seen.report.Age = min(lag, now.Sub(seen.at))
	return seen.report
}

// Handler returns the HTTP form.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.enters(e.serveGenerate))
	mux.HandleFunc("GET /generate/{id}", e.enters(e.serveResume))
	mux.HandleFunc("DELETE /generate/{id}", e.enters(e.serveCancel))
	mux.HandleFunc("POST /orders", e.enters(e.serveOrder))
	mux.HandleFunc("GET /report", e.enters(e.serveReport))
	mux.HandleFunc("GET /events", e.enters(e.serveEvents))
	mux.HandleFunc("GET /cache/{model}/{prefix}", e.enters(e.serveExport))
	mux.HandleFunc("PUT /cache/{model}/{prefix}", e.enters(e.serveImport))
	mux.HandleFunc("GET /violations", e.serveViolations)
	mux.HandleFunc("GET /ran", e.serveRan)
	mux.HandleFunc("GET /refused", e.serveRefused)
	e.mount(mux, "/faults")
	return mux
}

// enters lets a request in as the faults say.
func (e *Engine) enters(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := e.enter(r.Context(), e.clock, EngineFaults.common); err != nil {
			fail(w, err)
			return
		}
		next(w, r)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) { answer(w, e.Report()) }

func (e *Engine) serveViolations(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.Violations())
}

func (e *Engine) serveRan(w http.ResponseWriter, _ *http.Request) { answer(w, e.Ran()) }

func (e *Engine) serveRefused(w http.ResponseWriter, _ *http.Request) { answer(w, e.Refused()) }
