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

const kbPerMB = 1024

// Limits on the history that an engine keeps.
const (
	maxOrders     = 64
	maxViolations = 1000
)

// EngineSettings are the capacity and timing of an engine.
type EngineSettings struct {
	// TotalMB is the accelerator memory in MB. ReserveMB is the part of it, in MB,
	// for in-flight requests, cached prefixes and imported KV cache.
	TotalMB   int64
	ReserveMB int64
	// TokenKB is the size of the KV cache of one token.
	TokenKB int64
	// MaxRunning is the largest number of running requests, MaxQueued that of queued
	// ones.
	MaxRunning int
	MaxQueued  int
	// A step produces one token for each running request. It takes StepTime, plus
	// StepTimePerRequest for each running request, plus PrefillTimePerToken for
	// each prompt token prefilled. A step prefills at most PrefillTokensPerStep
	// prompt tokens.
	StepTime             time.Duration
	StepTimePerRequest   time.Duration
	PrefillTimePerToken  time.Duration
	PrefillTokensPerStep int
	// UnloadTime and RoleTime are the durations of an unload and of a role change.
	UnloadTime time.Duration
	RoleTime   time.Duration
	// ResumeTimeout is how long a stream without a reader can still be resumed.
	ResumeTimeout time.Duration
	// ChecksFence makes the engine refuse orders whose fencing token is lower than
	// the highest seen. The token is kept in memory and is zero after a crash.
	ChecksFence bool
	// DeduplicatesOrders makes the engine run an order ID at most once per boot.
	DeduplicatesOrders bool
}

// DefaultEngine returns the settings of an engine with an 80 GB accelerator.
func DefaultEngine() EngineSettings {
	return EngineSettings{
		TotalMB: 80_000, ReserveMB: 16_000, TokenKB: 128,
		MaxRunning: 16, MaxQueued: 256,
		StepTime: 5 * time.Millisecond, StepTimePerRequest: 200 * time.Microsecond,
		PrefillTimePerToken: 50 * time.Microsecond, PrefillTokensPerStep: 2048,
		UnloadTime: 200 * time.Millisecond, RoleTime: 500 * time.Millisecond,
		ResumeTimeout: 30 * time.Second,
		ChecksFence:   true, DeduplicatesOrders: true,
	}
}

// EngineFaults are the faults of an engine. OutageHang freezes all of it:
// requests, steps and orders.
type EngineFaults struct {
	Faults
	// SlowdownFactor multiplies the duration of a step; zero means one.
	SlowdownFactor float64 `json:"factor,omitempty"`
	// Poison crashes the engine when it runs a prompt that contains this text.
	Poison string `json:"poison,omitempty"`
	// Leaving makes the engine refuse new requests.
	Leaving bool `json:"leaving,omitempty"`
	// ReportLag is the age of reports, EventLag the delay of cache events.
	// DropEveryNthEvent loses every n-th event; zero means none.
	ReportLag         time.Duration `json:"report_lag,omitempty"`
	EventLag          time.Duration `json:"event_lag,omitempty"`
	DropEveryNthEvent int           `json:"event_gap,omitempty"`
	// The next LoseOrders orders are lost before they take effect. The next
	// DelayOrders orders take effect after OrderDelay. The next DuplicateOrders
	// orders take effect immediately and again after OrderDelay. The connection of
	// a lost or delayed order is closed without an answer.
	LoseOrders      int           `json:"lose_orders,omitempty"`
	DelayOrders     int           `json:"late_orders,omitempty"`
	DuplicateOrders int           `json:"double_orders,omitempty"`
	OrderDelay      time.Duration `json:"late,omitempty"`
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
	// bootCtx is canceled by a crash.
	bootCtx     context.Context
	cancelBoot  context.CancelFunc
	memory      memory
	role        string
	cache       *cache
	events      events
	fence       int64
	orders      []driver.OrderOutcome
	seenOrders  map[string]bool
	waiting     []*generation
	running     []*generation
	generations map[string]*generation
	stepping    bool
	// lastIdleCheck is when idle generations were last searched for.
	lastIdleCheck time.Time
	history       []timedReport
	// ran counts the runs of each request ID. ran and violations cover all
	// boots, because tests check them.
	ran        map[string]int
	violations []Violation
}

type timedReport struct {
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

// start begins a new boot with empty memory. The caller holds mu.
func (e *Engine) start() {
	e.boots++
	e.bootCtx, e.cancelBoot = context.WithCancel(context.Background())
	e.memory = memory{
		total:     e.settings.TotalMB,
		reserve:   e.settings.ReserveMB,
		residents: map[driver.Weights]driver.LoadedWeights{},
	}
	e.role = driver.RoleMixed
	e.cache = newCache()
	e.events.recent = nil
	e.fence = 0
	e.orders = nil
	e.seenOrders = map[string]bool{}
	e.waiting = nil
	e.running = nil
	e.generations = map[string]*generation{}
	e.stepping = false
	e.recordReport()
}

// boot returns the ID of the current boot.
func (e *Engine) boot() string { return fmt.Sprintf("%s-%d", e.name, e.boots) }

// Preload loads weights immediately, without an order. memory is in MB.
func (e *Engine) Preload(w driver.Weights, memory int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.residents[w] = driver.LoadedWeights{Weights: w, State: driver.StateReady, MemoryMB: memory}
	e.checkMemory("preload " + w.Model)
	e.recordReport()
}

// Crash ends the current boot: it closes all connections and clears the memory.
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
	e.cancelBoot()
	e.start()
}

// Violations returns the recorded overcommitments of the memory, over all boots.
func (e *Engine) Violations() []Violation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Violation{}, e.violations...)
}

// Ran returns how often each request ID was run, over all boots.
func (e *Engine) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.ran))
	for id, n := range e.ran {
		out[id] = n
	}
	return out
}

// Refused returns the count and the last time of the requests refused while the
// engine was leaving.
func (e *Engine) Refused() Refusals { return e.refused.get() }

// checkMemory records a violation if the memory is overcommitted.
func (e *Engine) checkMemory(why string) {
	over := e.memory.overcommitted()
	if over == "" || len(e.violations) >= maxViolations {
		return
	}
	v := Violation{
		At: e.clock.Now(), Engine: e.name, Boot: e.boot(), Why: why + ": " + over,
		Weights: e.memory.weights(), Reserve: max(e.memory.requiredReserve(), e.memory.usedReserve()),
		Total: e.memory.total,
	}
	e.violations = append(e.violations, v)
	e.journal.add(Line{Name: e.name, Violation: &v})
}

// recordReport adds the current report to the history, from which delayed
// reports are served. Of the reports older than ReportLag it keeps only the
// newest.
func (e *Engine) recordReport() {
	now := e.clock.Now()
	e.history = append(e.history, timedReport{at: now, report: e.snapshot()})
	oldest := now.Add(-e.Faults().ReportLag)
	drop := 0
	for drop+1 < len(e.history) && !e.history[drop+1].at.After(oldest) {
		drop++
	}
	e.history = append([]timedReport(nil), e.history[drop:]...)
}

func (e *Engine) load() driver.Load {
	return driver.Load{Running: len(e.running), Waiting: len(e.waiting), UsedMB: e.memory.used()}
}

func (e *Engine) snapshot() driver.Report {
	r := driver.Report{
		Engine: e.name, Incarnation: e.boot(), Load: e.load(), Role: e.role,
		TotalMB: e.memory.total, ReserveMB: e.memory.requiredReserve(), MaxBatch: e.settings.MaxRunning,
		Loaded: []driver.LoadedWeights{}, Orders: append([]driver.OrderOutcome{}, e.orders...),
		Fence: e.fence,
	}
	for _, resident := range e.memory.residents {
		r.Loaded = append(r.Loaded, resident)
	}
	sort.Slice(r.Loaded, func(i, j int) bool { return lessWeights(r.Loaded[i].Weights, r.Loaded[j].Weights) })
	return r
}

func lessWeights(a, b driver.Weights) bool {
	if a.Model != b.Model {
		return a.Model < b.Model
	}
	if a.Adapter != b.Adapter {
		return a.Adapter < b.Adapter
	}
	return a.Version < b.Version
}

// Report returns the report as of ReportLag ago.
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
	// A report is recorded at each change and is valid until the next one.
	seen.report.Age = min(lag, now.Sub(seen.at))
	return seen.report
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.withFaults(e.serveGenerate))
	mux.HandleFunc("GET /generate/{id}", e.withFaults(e.serveResume))
	mux.HandleFunc("DELETE /generate/{id}", e.withFaults(e.serveCancel))
	mux.HandleFunc("POST /orders", e.withFaults(e.serveOrder))
	mux.HandleFunc("GET /report", e.withFaults(e.serveReport))
	mux.HandleFunc("GET /events", e.withFaults(e.serveEvents))
	mux.HandleFunc("GET /cache/{model}/{prefix}", e.withFaults(e.serveExport))
	mux.HandleFunc("PUT /cache/{model}/{prefix}", e.withFaults(e.serveImport))
	mux.HandleFunc("GET /violations", e.serveViolations)
	mux.HandleFunc("GET /ran", e.serveRan)
	mux.HandleFunc("GET /refused", e.serveRefused)
	e.mount(mux, "/faults")
	return mux
}

// withFaults applies the faults to a request before the handler runs.
func (e *Engine) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := e.applyFaults(r.Context(), e.clock, EngineFaults.common); err != nil {
			writeError(w, err)
			return
		}
		next(w, r)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Report()) }

func (e *Engine) serveViolations(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Violations())
}

func (e *Engine) serveRan(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Ran()) }

func (e *Engine) serveRefused(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Refused()) }
