package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/quarantiner"
	"primrosehook/ruler"
	"primrosehook/server"
)

const ruleList = `
name: test
models:
  - {name: tiny, pool: gpu, memory: 100, adapters: [{name: branch, memory: 1}]}
services:
  - {name: kiosk, pool: kiosk, writes: [/receipts]}
rules:
  - {name: closed, when: caller == "banned", then: {refuse: true}}
  - {name: jobs, when: kind == "job", then: {class: deferred, within: 2h}}
  - {name: all, when: true, then: {class: urgent, priority: 5, deadline: 2s, queue: 1s}}
`

// errDial is the error of a call to an engine that refuses connections.
var errDial = judge.FromNetworkError(&net.OpError{Op: "dial", Err: errors.New("refused")}, "engine", "engine was not reached")

// fakeEngine generates answers in memory. They depend on the seed and the
// prompt alone, as those of a real engine do.
type fakeEngine struct {
	name string

	mu sync.Mutex
	// cutAt is the token before which a stream is cut, once; 0 cuts none.
	cutAt int
	// lostAfterCut refuses every connection after the cut.
	lostAfterCut bool
	// resetsAfterCut is how many calls after the cut are reset before
	// connections are refused, as by a process that is terminating.
	resetsAfterCut int
	// refusal is returned for every generation, if set.
	refusal error
	// firstTokenDelay is the time to the first token.
	firstTokenDelay time.Duration
	// stalls sends nothing after the first token until released is closed, and
	// stallsAtOnce nothing before it either.
	stalls       bool
	stallsAtOnce bool
	released     chan struct{}
	// allReady makes all tokens available at once.
	allReady  bool
	started   map[string]driver.Request
	requests  []driver.Request
	cancelled []string
	lost      bool
}

func newEngine(name string) *fakeEngine {
	return &fakeEngine{name: name, released: make(chan struct{}), started: map[string]driver.Request{}}
}

func wordsOf(q driver.Request) []string {
	parts := strings.Fields(q.Prompt)
	words := []string{fmt.Sprintf("%s/%d", q.Model, q.Seed%1000)}
	for i := range q.MaxTokens - 1 {
		words = append(words, parts[i%len(parts)])
	}
	return words
}

func (e *fakeEngine) Generate(ctx context.Context, q driver.Request) (driver.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, q)
	if e.refusal != nil {
		return nil, e.refusal
	}
	if e.lost {
		return nil, errDial
	}
	e.started[q.ID] = q
	return &fakeStream{engine: e, ctx: ctx, words: wordsOf(q), at: q.SkipTokens}, nil
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from int) (driver.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.connectionError(); err != nil {
		return nil, err
	}
	q, ok := e.started[id]
	if !ok {
		return nil, &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusNotFound, Code: "engine", Reason: "unknown"}
	}
	return &fakeStream{engine: e, ctx: ctx, words: wordsOf(q), at: from}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled = append(e.cancelled, id)
	delete(e.started, id)
	return nil
}

func (*fakeEngine) Order(context.Context, driver.Order) error { return nil }

func (e *fakeEngine) Report(context.Context) (driver.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return driver.Report{Engine: e.name}, e.connectionError()
}

// connectionError returns the error of a call to a lost engine, nil if the
// engine is not lost.
func (e *fakeEngine) connectionError() error {
	if !e.lost {
		return nil
	}
	if e.resetsAfterCut > 0 {
		e.resetsAfterCut--
		return judge.Unknown("engine", "connection was reset", io.ErrUnexpectedEOF)
	}
	return errDial
}

func (*fakeEngine) Events(context.Context, int64) ([]driver.CacheEvent, error) { return nil, nil }
func (*fakeEngine) Export(context.Context, string, uint64) ([]byte, error)     { return nil, nil }
func (*fakeEngine) Import(context.Context, string, uint64, []byte) error       { return nil }

// cut reports whether a stream is cut before a token.
func (e *fakeEngine) cut(at int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutAt == 0 || at != e.cutAt {
		return false
	}
	e.cutAt = 0
	e.lost = e.lostAfterCut
	return true
}

// lose makes the engine refuse every connection from now on.
func (e *fakeEngine) lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = true
}

func (e *fakeEngine) calls() ([]driver.Request, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests), slices.Clone(e.cancelled)
}

type fakeStream struct {
	engine *fakeEngine
	ctx    context.Context
	words  []string
	at     int
}

func (s *fakeStream) Next() (driver.Token, error) {
	if s.at >= len(s.words) {
		return driver.Token{}, io.EOF
	}
	if s.engine.firstTokenDelay > 0 && s.at == 0 {
		select {
		case <-time.After(s.engine.firstTokenDelay):
		case <-s.ctx.Done():
			return driver.Token{}, judge.Unknown("engine", "engine stream was cut", s.ctx.Err())
		}
	}
	if s.engine.stallsAtOnce || s.engine.stalls && s.at > 0 {
		select {
		case <-s.engine.released:
		case <-s.ctx.Done():
			return driver.Token{}, judge.Unknown("engine", "engine stream was cut", s.ctx.Err())
		}
	}
	if s.engine.cut(s.at) {
		return driver.Token{}, judge.Unknown("engine", "engine stream was cut", io.ErrUnexpectedEOF)
	}
	t := driver.Token{Offset: s.at, Text: s.words[s.at] + " "}
	s.at++
	if s.at == len(s.words) {
		t.Finish, t.PromptTokens = "length", 7
	}
	return t, nil
}

func (s *fakeStream) Ready() bool { return s.engine.allReady && s.at < len(s.words) }
func (*fakeStream) Close() error  { return nil }

// fakeDispatcher grants the first engine that is not excluded.
type fakeDispatcher struct {
	engines []string

	mu              sync.Mutex
	activeGrants    int
	works           []dispatcher.Work
	results         []dispatcher.Result
	budgetExhausted bool
}

func (d *fakeDispatcher) Acquire(_ context.Context, w dispatcher.Work) (dispatcher.Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.works = append(d.works, w)
	for _, name := range d.engines {
		if !slices.Contains(w.Exclude, name) {
			d.activeGrants++
			i := lister.Instance{Name: name, Kind: lister.KindEngine, Addr: name}
			return dispatcher.Grant{Work: w, Engine: i}, nil
		}
	}
	return dispatcher.Grant{}, judge.Unavailable("no-engine", "no engine holds the model", 2*time.Second)
}

func (d *fakeDispatcher) Release(_ dispatcher.Grant, r dispatcher.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeGrants--
	d.results = append(d.results, r)
}

func (d *fakeDispatcher) Retry() bool { return !d.budgetExhausted }

func (d *fakeDispatcher) active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeGrants
}

// fakeRules stores a rule list in memory.
type fakeRules struct {
	mu      sync.Mutex
	version int64
	list    *ruler.List
}

func newRules(text string) *fakeRules {
	list, err := ruler.Parse("rules.yaml", []byte(text))
	if err != nil {
		panic(err)
	}
	return &fakeRules{version: 1, list: list}
}

func (r *fakeRules) InForce() (int64, *ruler.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.list
}

func (r *fakeRules) Publish(_ context.Context, base int64, source []byte) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if base != r.version {
		return 0, &judge.Refusal{Status: http.StatusConflict, Code: "conflict", Reason: fmt.Sprintf("version %d is in force", r.version)}
	}
	list, err := ruler.Parse("rules.yaml", source)
	if err != nil {
		return 0, err
	}
	r.version, r.list = r.version+1, list
	return r.version, nil
}

// fakeView is a fixed list of instances.
type fakeView []lister.Instance

func (v fakeView) Instances(kind string) []lister.Instance {
	return slices.DeleteFunc(slices.Clone([]lister.Instance(v)), func(i lister.Instance) bool { return i.Kind != kind })
}

// fakeServices forwards calls to functions by address.
type fakeServices struct {
	mu       sync.Mutex
	calls    []string
	handlers map[string]func(context.Context, forwarder.Call) (forwarder.Answer, error)
}

func (f *fakeServices) Forward(ctx context.Context, addr string, c forwarder.Call) (forwarder.Answer, error) {
	f.mu.Lock()
	f.calls = append(f.calls, addr)
	f.mu.Unlock()
	return f.handlers[addr](ctx, c)
}

// fakeWriter counts the writes of each key in memory.
type fakeWriter struct {
	mu   sync.Mutex
	done map[string]int
}

func (w *fakeWriter) Write(_ context.Context, q server.Write) (forwarder.Answer, bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done[q.Key]++
	return forwarder.Answer{Status: http.StatusCreated, Body: []byte("done " + q.Path)}, w.done[q.Key] > 1, nil
}

// fakeJobs stores jobs in memory.
type fakeJobs struct {
	mu   sync.Mutex
	jobs map[string]server.Job
	done map[string]server.JobState
}

func (j *fakeJobs) Accept(_ context.Context, job server.Job) (string, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[job.ID] = job
	return job.ID, nil
}

func (j *fakeJobs) Fetch(_ context.Context, id string) (server.JobState, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s, ok := j.done[id]; ok {
		return s, nil
	}
	if _, ok := j.jobs[id]; ok {
		return server.JobState{ID: id, State: server.JobQueued}, nil
	}
	return server.JobState{}, &judge.Refusal{Status: http.StatusNotFound, Code: "job-not-found", Reason: "no such job"}
}

// fakeQuarantine records the calls that it receives.
type fakeQuarantine struct {
	mu        sync.Mutex
	remaining time.Duration
	crashed   []string
	finished  int
}

func (q *fakeQuarantine) Remaining(quarantiner.Identity) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.remaining
}

func (q *fakeQuarantine) EngineCrashed(_ uint64, engine string, _ int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashed = append(q.crashed, engine)
}

func (*fakeQuarantine) Status() any { return nil }

func (q *fakeQuarantine) RequestCompleted(quarantiner.Identity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finished++
}

// harness is a server on loopback ports with fake dependencies.
type harness struct {
	engines    map[string]*fakeEngine
	dispatcher *fakeDispatcher
	rules      *fakeRules
	services   *fakeServices
	writer     *fakeWriter
	jobs       *fakeJobs
	quarantine *fakeQuarantine
	server     *server.Server
	callers    *httptest.Server
	operators  *httptest.Server
}

func newHarness(options ...server.Option) *harness {
	b := &harness{
		engines:    map[string]*fakeEngine{"e1": newEngine("e1"), "e2": newEngine("e2")},
		dispatcher: &fakeDispatcher{engines: []string{"e1", "e2"}},
		rules:      newRules(ruleList),
		services:   &fakeServices{handlers: map[string]func(context.Context, forwarder.Call) (forwarder.Answer, error){}},
		writer:     &fakeWriter{done: map[string]int{}},
		jobs:       &fakeJobs{jobs: map[string]server.Job{}, done: map[string]server.JobState{}},
		quarantine: &fakeQuarantine{},
	}
	view := fakeView{
		{Name: "e1", Kind: lister.KindEngine, Addr: "e1", State: lister.StateLive},
		{Name: "e2", Kind: lister.KindEngine, Addr: "e2", State: lister.StateLive},
		{Name: "k1", Kind: lister.KindService, Pool: "kiosk", Addr: "k1", State: lister.StateLive},
		{Name: "k2", Kind: lister.KindService, Pool: "kiosk", Addr: "k2", Zone: "far", State: lister.StateLive},
		{Name: "k3", Kind: lister.KindService, Pool: "kiosk", Addr: "k3", State: lister.StateLeaving},
	}
	all := append([]server.Option{
		server.WithRules(b.rules), server.WithPublisher(b.rules), server.WithDispatcher(b.dispatcher),
		server.WithEngines(func(addr string) driver.Engine { return b.engines[addr] }),
		server.WithInstances(view), server.WithForwarder(b.services), server.WithWriter(b.writer),
		server.WithJobs(b.jobs), server.WithQuarantine(b.quarantine), server.WithSeed(7),
		server.WithExplainer(explainer.New(64)),
	}, options...)
	b.server = server.New(clockwork.NewRealClock(), all...)
	b.callers = serve(b.server, b.server.Handler())
	b.operators = serve(b.server, b.server.OperatorHandler())
	return b
}

func serve(s *server.Server, h http.Handler) *httptest.Server {
	t := httptest.NewUnstartedServer(h)
	t.Config = s.NewHTTPServer(h)
	t.Start()
	return t
}

func (b *harness) close() {
	b.callers.Close()
	b.operators.Close()
}
