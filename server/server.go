// Package server serves clients and operators over HTTP.
//
// A generation request goes through stages that pass plain data: parse
// (parse.go), apply the rule list, generate on an engine (generate.go), respond
// (answer.go for JSON, stream.go for server-sent events). Calls to plain
// services and deferred jobs have their own stages. docs/API.md lists the
// routes.
package server

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/acceptor"
	"primrosehook/explainer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/peeker"
	"primrosehook/reserver"
	"primrosehook/ruler"
	"primrosehook/sender"
	"primrosehook/tracer"
)

// Server is the HTTP interface of an entry instance.
type Server struct {
	clock  clockwork.Clock
	self   lister.Instance
	log    *zap.Logger
	limits Limits
	ids    *randomSource

	rules      Rules
	publisher  Publisher
	dispatcher Dispatcher
	engines    Engines
	view       View
	demand     Demand
	forwarder  Forwarder
	writer     Writer
	jobs       Jobs
	quarantine Quarantine
	fleet      Fleet
	orders     Orders
	decisions  *explainer.Ring
	tracer     trace.Tracer
	statuses   map[string]Status
	checks     map[string]Check

	metrics  *expvar.Map
	counters counters
	inFlight inFlightCounts
	memory   *reserver.Reserver
	// ownMemory is set if memory is the budget of the process.
	ownMemory bool
	leaving   atomic.Bool
	// draining is set from when on requests are refused in a planned stop. requests ends when
	// those in progress are given up.
	draining    atomic.Bool
	requests    context.Context
	endRequests context.CancelFunc
}

// Limits bounds the resources of requests.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxTotalBodyBytes is the largest total size of the bodies of all open
	// requests, in bytes. A third of it is for bodies of up to 64 KiB.
	MaxTotalBodyBytes int64
	// MaxAnswerBytes is the largest answer that is buffered instead of
	// streamed, in bytes.
	MaxAnswerBytes int64
	// MaxTokens is the largest number of tokens that a client may request;
	// DefaultMaxTokens is used if a request names none.
	MaxTokens        int
	DefaultMaxTokens int
	// MaxOpenRequests is the largest number of open requests.
	MaxOpenRequests int64
	// UploadTimeout is the longest time in which a body must arrive.
	UploadTimeout time.Duration
	// StallTimeout is the longest time without data from an engine before its
	// stream counts as cut.
	StallTimeout time.Duration
	// CallTimeout is the longest time of one attempt of a call to a plain service.
	CallTimeout time.Duration
	// WriteTimeout is the longest time of one write to a client that reads slowly.
	WriteTimeout time.Duration
	// MaxAttempts is the largest number of engines or servers on which a
	// request is attempted.
	MaxAttempts int
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes: 1 << 20, MaxTotalBodyBytes: 64 << 20, MaxAnswerBytes: 8 << 20, MaxTokens: 32768, DefaultMaxTokens: 1024, MaxOpenRequests: 8192,
		UploadTimeout: 10 * time.Second, StallTimeout: 5 * time.Second, CallTimeout: 10 * time.Second,
		WriteTimeout: 30 * time.Second, MaxAttempts: 4,
	}
}

// bodyShare is the part of a memory budget that is for bodies, small ones and large ones.
const bodyShare = 0.75

// publishMemory publishes by kind the bytes that are held, and how many reservations were refused
// and ended.
func (s *Server) publishMemory() {
	own := new(expvar.Map).Init()
	for name, read := range map[string]func(reserver.Kind) int64{"held": s.memory.Held, "refused": s.memory.Refused, "ended": s.memory.Ended} {
		for _, kind := range reserver.Kinds() {
			own.Set(name+"_"+kind.String(), expvar.Func(func() any { return read(kind) }))
		}
	}
	s.metrics.Set("memory", own)
}

// New returns a server. Routes whose dependency is not set respond with 503.
func New(clock clockwork.Clock, options ...Option) *Server {
	s := &Server{
		clock:     clock,
		log:       zap.NewNop(),
		limits:    DefaultLimits(),
		ids:       newRandomSource(1),
		decisions: explainer.New(0),
		tracer:    tracer.NewNoop(),
		statuses:  map[string]Status{},
		checks:    map[string]Check{},
		metrics:   new(expvar.Map).Init(),
	}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	for _, o := range options {
		o(s)
	}
	if s.quarantine != nil {
		s.statuses["quarantine"] = s.quarantine.Status
	}
	if !s.ownMemory {
		s.memory = reserver.New(int64(float64(s.limits.MaxTotalBodyBytes)/bodyShare), reserver.WithClock(clock))
	}
	s.counters.publish(s.metrics)
	s.publishMemory()
	return s
}

// Handler returns the routes for clients.
func (s *Server) Handler() http.Handler {
	e := s.newEcho()
	e.Use(s.admit)
	e.POST(pathChat, s.chat)
	e.POST(pathCompletions, s.completions)
	e.GET("/v1/models", s.listModels)
	e.GET("/v1/models/:model", s.showModel)
	e.POST("/v1/jobs", s.acceptJob)
	e.GET("/v1/jobs/:id", s.fetchJob)
	e.GET("/v1/streams/:token", s.resume)
	e.POST("/v1/streams/:token", s.replay)
	e.Any("/services/:service", s.handleService)
	e.Any("/services/:service/*", s.handleService)
	e.GET(pathLiveness, s.liveness)
	e.GET(pathReadiness, s.readiness)
	return e
}

// OperatorHandler returns the routes for operators. They must be served on an address
// that clients cannot reach.
func (s *Server) OperatorHandler() http.Handler {
	e := s.newEcho()
	e.GET("/admin/rules", s.showRules)
	e.POST("/admin/rules", s.publishRules)
	e.GET("/admin/status", s.showStatus)
	e.GET("/admin/explain/requests", s.explainRecent)
	e.GET("/admin/explain/requests/:id", s.explainRequest)
	e.GET("/admin/explain/models/:model", s.explainModel)
	e.GET("/admin/explain/orders/:id", s.explainOrder)
	e.GET("/admin/explain/rules", s.explainRules)
	e.GET(pathLiveness, s.liveness)
	e.GET(pathReadiness, s.readiness)
	e.GET("/debug/vars", s.showMetrics)
	return e
}

func (s *Server) newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.answerError
	return e
}

// StartLeaving makes the instance not ready. Requests that still arrive are served,
// since load balancers notice with a delay; their connections are closed
// afterwards.
func (s *Server) StartLeaving() {
	if !s.leaving.Swap(true) {
		s.log.Info("server: leaving; not ready any more")
	}
}

// OpenRequests returns how many requests of clients are open.
func (s *Server) OpenRequests() int64 { return s.counters.open.Value() }

// NewHTTPServer returns an HTTP server with limits that protect it from slow and
// flooding clients. Responses have no time limit, since streams are long; each
// write to a slow client has one.
func (s *Server) NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           acceptor.Handler(h, s.clock),
		ConnContext:       peeker.WithClient,
		ConnState:         acceptor.Observe,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// whileClientStays returns a context with which requests are sent to engines and services only
// while the client whose request has a context is there.
func whileClientStays(ctx context.Context) context.Context {
	c, ok := peeker.Client(ctx)
	if !ok {
		return ctx
	}
	// Only the connection is asked for: a context may end for other reasons.
	return sender.WithWanted(ctx, func() bool { return !peeker.Closed(c) })
}

// Limits of a connection.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
)

// Routes of the checks, which are answered until the end of a planned stop.
const (
	pathLiveness  = "/healthz"
	pathReadiness = "/readyz"
)

// admit limits the number of open requests over all routes, and refuses them at the end of a
// planned stop.
func (s *Server) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.leaving.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		ctx, done := s.withStop(c.Request().Context())
		defer done()
		c.SetRequest(c.Request().WithContext(ctx))
		if s.draining.Load() && c.Path() != pathLiveness && c.Path() != pathReadiness {
			return s.refuseDraining(c)
		}
		s.counters.open.Add(1)
		defer s.counters.open.Add(-1)
		if s.counters.open.Value() > s.limits.MaxOpenRequests {
			return judge.Unavailable("connections", "instance has too many open requests", time.Second)
		}
		a := &requestContext{Context: c}
		// Releases what is held even if the handler is aborted.
		defer func() { a.held.Release(); a.answer.Release() }()
		return next(a)
	}
}

// requestContext is the context of a request with the memory reserved for its
// body and its answer. It replaces echo's key-value store, which allocates a map for
// each request.
type requestContext struct {
	echo.Context
	held, answer *reserver.Reservation
}

// ruleList returns the version and the rule list in force. If there is none, it
// returns a refusal with status 503.
func (s *Server) ruleList() (int64, *ruler.List, error) {
	if s.rules != nil {
		if version, list := s.rules.InForce(); list != nil {
			return version, list, nil
		}
	}
	return 0, nil, judge.Unavailable("rules", "no rule list is in force on this instance yet", time.Second)
}
