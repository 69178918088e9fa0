// Package relayer takes requests of clients, sends each to a server and gives
// the server's answer back. It is the I/O around the decisions of matcher,
// balancer, limiter and quarantiner.
package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/limiter"
	"primrosehook/matcher"
	"primrosehook/pacer"
	"primrosehook/tracer"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Meta is what a client says of its request.
type Meta struct {
	ID string
	// Limit is how long the client waits, if it says so.
	Limit    time.Duration
	HasLimit bool
	Model    string
	Adapter  string
	// TokensIn is the length of the prompt, TokensOut the most that may be
	// generated, Expected the client's own estimate of it.
	TokensIn, TokensOut, Expected int
	Parts                         []Part
	LastEvent                     string
}

// Send is what the system says to a server.
type Send struct {
	// Server is the server that must answer, Left the time for it.
	Server   string
	Left     time.Duration
	Priority int
	// LastEvent is the last event that was delivered, empty for none.
	LastEvent string
}

// Load is what a server says of its load.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Facts is what a server says of its answer.
type Facts struct {
	ID string
	// Signed answers bear the server's signature.
	Signed bool
	// Refused means that the request did not run and will not; Absent that it
	// met another server, or one that does not hold the model.
	Refused, Absent bool
	// Encoded answers have another body than the server's.
	Encoded   bool
	Load      Load
	KeepAlive time.Duration
}

// Codec translates the headers of requests and answers.
type Codec interface {
	// Request reads a client's headers. It reports whether they name the request.
	Request(h http.Header) (Meta, bool)
	Forward(h http.Header, s Send) http.Header
	Answer(status int, h http.Header) Facts
	Back(h http.Header) http.Header
}

// Suspects tells requests that crash servers.
type Suspects interface {
	// Broke notes that a request's connection to a server's life broke, Lost
	// that the life has ended.
	Broke(digest uint64, life string)
	Lost(life string)
	Finished(digest uint64)
	Held(digest uint64) time.Duration
}

// Pacer books the places of prompts at servers.
type Pacer interface {
	Reserve(ctx context.Context, life string, tokens int, gap time.Duration, pace balancer.Pace) (pacer.Answer, error)
}

// Meter takes what is counted and measured.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// Names of the metrics. Latencies in milliseconds are by kind of route.
const (
	MetricArrived   = "requests_arrived"
	MetricAnswered  = "requests_answered"
	MetricRefused   = "requests_refused_"
	MetricFailed    = "requests_failed"
	MetricLeft      = "requests_left_by_client"
	MetricUnmatched = "requests_without_route"
	MetricRetried   = "attempts_repeated"
	MetricSpent     = "retry_budget_used_up"
	MetricResumed   = "streams_resumed"
	MetricWait      = "wait_for_server_ms_"
	MetricFirst     = "first_byte_ms_"
	MetricWhole     = "whole_answer_ms_"
	MetricPause     = "longest_pause_ms"
)

// Relayer is an http.Handler for all requests of clients.
type Relayer struct {
	codec    Codec
	fleet    *balancer.Fleet
	suspects Suspects
	pacer    Pacer
	clock    clockwork.Clock
	log      *zap.Logger
	table    atomic.Pointer[matcher.Table]
	meter    Meter
	tracer   trace.Tracer
	bodies   chan struct{}

	mu      sync.Mutex
	budgets map[string]*limiter.Window
	ratio   float64
	slack   float64
	window  time.Duration
}

// none takes counts and forgets them.
type none struct{}

func (none) Add(string, int64)             {}
func (none) Observe(string, time.Duration) {}

// Option sets one option of a Relayer.
type Option func(*Relayer)

// WithRetries sets this instance's share of the retries of each service:
// within a window a ratio of the requests, and a slack.
func WithRetries(window time.Duration, ratio, slack float64) Option {
	return func(r *Relayer) { r.window, r.ratio, r.slack = window, ratio, slack }
}

// retryWindow is the window of retries unless it is set.
const retryWindow = 10 * time.Second

// WithMeter sets where counts and latencies go.
func WithMeter(m Meter) Option { return func(r *Relayer) { r.meter = m } }

// WithPacer books places for prompts; without one they are sent as they come.
func WithPacer(p Pacer) Option { return func(r *Relayer) { r.pacer = p } }

// WithTracer makes a span for each request and each attempt.
func WithTracer(t trace.Tracer) Option { return func(r *Relayer) { r.tracer = t } }

// WithInFlight bounds how many requests are in work at once.
func WithInFlight(count int) Option {
	return func(r *Relayer) { r.bodies = make(chan struct{}, count) }
}

// New returns a relayer that knows no routes yet.
func New(codec Codec, fleet *balancer.Fleet, suspects Suspects, clock clockwork.Clock, log *zap.Logger, set ...Option) *Relayer {
	r := &Relayer{
		codec: codec, fleet: fleet, suspects: suspects, clock: clock, log: log,
		bodies: make(chan struct{}, 1000), budgets: map[string]*limiter.Window{}, meter: none{}, window: retryWindow, tracer: tracer.Off(),
	}
	for _, o := range set {
		o(r)
	}
	return r
}

// Use puts a table in force unless a newer one is. It reports whether it did.
func (r *Relayer) Use(t *matcher.Table) bool {
	for {
		old := r.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(old, t) {
			for name, s := range t.Services {
				if s.Engine != nil {
					r.fleet.Resize(name, s.Engine.Cache)
				}
			}
			return true
		}
	}
}

// Table returns the table in force, nil if none is.
func (r *Relayer) Table() *matcher.Table { return r.table.Load() }

// fresh counts a request of a service, which earns a share of a retry.
func (r *Relayer) fresh(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(service).Fresh(r.clock.Now())
}

// retry reports whether a request may be sent once more, and counts it.
func (r *Relayer) retry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Retry(r.clock.Now())
}

// Share sets this instance's share of the retries: the ratio and the slack.
func (r *Relayer) Share(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ratio == ratio && r.slack == slack {
		return
	}
	r.ratio, r.slack = ratio, slack
	for _, b := range r.budgets {
		b.Resize(ratio, slack)
	}
}

func (r *Relayer) budget(service string) *limiter.Window {
	b, ok := r.budgets[service]
	if !ok {
		b = limiter.NewWindow(r.window, r.ratio, r.slack)
		r.budgets[service] = b
	}
	return b
}

// exchange is one client request in work.
type exchange struct {
	*Relayer
	writer  http.ResponseWriter
	request *http.Request
	meta    Meta
	route   *matcher.Route
	service string
	body    []byte
	started time.Time
	until   time.Time
	query   balancer.Request
	digest  uint64
	log     *zap.Logger
	version int64

	// sends counts the servers that the request was sent to, and ran is set
	// once one of them may have run it.
	sends   int
	mayRun  bool
	headed  bool
	context context.Context
	// tries are what became of each attempt, for the log; first is when the
	// first byte of the answer went to the client.
	tries []try
	first time.Time
	// wrote is when the last event went to the client, pause the longest time
	// between two events and pausedAt when it began, since the request came.
	wrote           time.Time
	pause, pausedAt time.Duration

	// backlog is when a server would have been free for a request that got none.
	backlog time.Duration

	// next is the server that was reserved because the present one is silent.
	mu   sync.Mutex
	next *balancer.Lease
}
