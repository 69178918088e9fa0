// Package server serves clients and operators over HTTP.
//
// A generation request goes through stages that pass plain data: parse
// (parse.go), apply the rule list, generate on an engine (generate.go), respond
// (answer.go for JSON, stream.go for server-sent events). Calls to plain
// services and deferred jobs have their own stages. docs/API.md lists the
// routes.
package server

import (
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/explainer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/ruler"
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

	metrics   *expvar.Map
	counters  counters
	inFlight  inFlightCounts
	bodyBytes atomic.Int64
	leaving   atomic.Bool
}

// Limits bounds the resources of requests.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64
	// Bodies is the largest total size of the bodies of all open requests, in
	// bytes.
	Bodies int64
	// Answer is the largest answer that is buffered instead of streamed, in
	// bytes.
	Answer int64
	// Tokens is the largest number of tokens that a client may request; Default
	// is used if a request names none.
	Tokens  int
	Default int
	// Open is the largest number of open requests.
	Open int64
	// Upload is the longest time in which a body must arrive.
	Upload time.Duration
	// Stall is the longest time without data from an engine before its stream
	// counts as cut.
	Stall time.Duration
	// Call is the longest time of one attempt of a call to a plain service.
	Call time.Duration
	// Send is the longest time of one write to a client that reads slowly.
	Send time.Duration
	// Tries is the largest number of engines or servers on which a request is
	// attempted.
	Tries int
}

// Standard returns the default limits.
func Standard() Limits {
	return Limits{
		Body: 1 << 20, Bodies: 64 << 20, Answer: 8 << 20, Tokens: 32768, Default: 1024, Open: 8192,
		Upload: 10 * time.Second, Stall: 5 * time.Second, Call: 10 * time.Second,
		Send: 30 * time.Second, Tries: 4,
	}
}

// New returns a server. Routes whose dependency is not set respond with 503.
func New(clock clockwork.Clock, options ...Option) *Server {
	s := &Server{
		clock:     clock,
		log:       zap.NewNop(),
		limits:    Standard(),
		ids:       newRandomSource(1),
		decisions: explainer.New(0),
		tracer:    tracer.Off(),
		statuses:  map[string]Status{},
		checks:    map[string]Check{},
		metrics:   new(expvar.Map).Init(),
	}
	for _, o := range options {
		o(s)
	}
	if s.quarantine != nil {
		s.statuses["quarantine"] = s.quarantine.Status
	}
	s.counters.publish(s.metrics)
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
	e.GET("/healthz", s.liveness)
	e.GET("/readyz", s.readiness)
	return e
}

// Operators returns the routes for operators. They must be served on an address
// that clients cannot reach.
func (s *Server) Operators() http.Handler {
	e := s.newEcho()
	e.GET("/admin/rules", s.showRules)
	e.POST("/admin/rules", s.publishRules)
	e.GET("/admin/status", s.showStatus)
	e.GET("/admin/explain/requests", s.explainRecent)
	e.GET("/admin/explain/requests/:id", s.explainRequest)
	e.GET("/admin/explain/models/:model", s.explainModel)
	e.GET("/admin/explain/orders/:id", s.explainOrder)
	e.GET("/admin/explain/rules", s.explainRules)
	e.GET("/healthz", s.liveness)
	e.GET("/readyz", s.readiness)
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

// Leave makes the instance not ready. Requests that still arrive are served,
// since load balancers notice with a delay; their connections are closed
// afterwards.
func (s *Server) Leave() {
	if !s.leaving.Swap(true) {
		s.log.Info("server: leaving; not ready any more")
	}
}

// Open returns how many requests of clients are open.
func (s *Server) Open() int64 { return s.counters.open.Value() }

// Listener returns an HTTP server with limits that protect it from slow and
// flooding clients. Responses have no time limit, since streams are long; each
// write to a slow client has one.
func (s *Server) Listener(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// Limits of a connection.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
)

// admit limits the number of open requests over all routes.
func (s *Server) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.counters.open.Add(1)
		defer s.counters.open.Add(-1)
		if s.leaving.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		if s.counters.open.Value() > s.limits.Open {
			return judge.Unavailable("connections", "instance has too many open requests", time.Second)
		}
		a := &requestContext{Context: c}
		err := next(a)
		s.bodyBytes.Add(-a.reservedBytes)
		return err
	}
}

// requestContext is the context of a request with the memory reserved for its
// body, in bytes. It replaces echo's key-value store, which allocates a map for
// each request.
type requestContext struct {
	echo.Context
	reservedBytes int64
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
