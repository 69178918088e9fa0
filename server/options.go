package server

import (
	"expvar"

	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/explainer"
	"primrosehook/lister"
	"primrosehook/reserver"
)

// Option configures a server.
type Option func(*Server)

// WithInstance sets this instance's entry in the instance list, for status, traces
// and the choice of servers in its own availability zone.
func WithInstance(self lister.Instance) Option { return func(s *Server) { s.self = self } }

// WithLog sets the log.
func WithLog(log *zap.Logger) Option { return func(s *Server) { s.log = log } }

// WithLimits replaces the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithMemory sets the memory budget of the process. Bodies, the copies of them that are made of a
// prompt, and answers are charged to it. Without one only bodies are charged, to a budget of
// Limits.MaxTotalBodyBytes.
func WithMemory(m *reserver.Reserver) Option {
	return func(s *Server) { s.memory, s.ownMemory = m, true }
}

// WithSeed seeds the generator of request ids. Ids must neither repeat nor be
// predictable, so a live instance takes its seed from the entropy source of the
// operating system.
func WithSeed(seed uint64) Option { return func(s *Server) { s.ids = newRandomSource(seed) } }

// WithRules sets the source of the rule list in force.
func WithRules(r Rules) Option { return func(s *Server) { s.rules = r } }

// WithPublisher sets what publishes rule lists.
func WithPublisher(p Publisher) Option { return func(s *Server) { s.publisher = p } }

// WithDispatcher sets what assigns requests to engines.
func WithDispatcher(d Dispatcher) Option { return func(s *Server) { s.dispatcher = d } }

// WithEngines sets how drivers of engines are created.
func WithEngines(e Engines) Option { return func(s *Server) { s.engines = e } }

// WithInstances sets the list of known instances.
func WithInstances(v View) Option { return func(s *Server) { s.view = v } }

// WithDemand sets the source of the demand for models.
func WithDemand(d Demand) Option { return func(s *Server) { s.demand = d } }

// WithForwarder sets what forwards calls to plain services.
func WithForwarder(f Forwarder) Option { return func(s *Server) { s.forwarder = f } }

// WithWriter sets what executes idempotent writes.
func WithWriter(w Writer) Option { return func(s *Server) { s.writer = w } }

// WithJobs sets the store of deferred jobs.
func WithJobs(j Jobs) Option { return func(s *Server) { s.jobs = j } }

// WithQuarantine sets what tracks requests that crash engines.
func WithQuarantine(q Quarantine) Option { return func(s *Server) { s.quarantine = q } }

// WithFleet sets how the status of the other instances is collected.
func WithFleet(f Fleet) Option { return func(s *Server) { s.fleet = f } }

// WithOrders sets the source of explanations of orders to engines.
func WithOrders(o Orders) Option { return func(s *Server) { s.orders = o } }

// WithExplainer sets the ring of recent decisions.
func WithExplainer(r *explainer.Ring) Option { return func(s *Server) { s.decisions = r } }

// WithTracer sets the tracer for requests.
func WithTracer(t trace.Tracer) Option { return func(s *Server) { s.tracer = t } }

// WithStatus adds the state of a component to /admin/status.
func WithStatus(part string, status Status) Option {
	return func(s *Server) { s.statuses[part] = status }
}

// WithCheck adds a readiness check.
func WithCheck(name string, check Check) Option {
	return func(s *Server) { s.checks[name] = check }
}

// WithMetrics sets the map that /debug/vars shows. The server adds its own
// counters under "server".
func WithMetrics(m *expvar.Map) Option { return func(s *Server) { s.metrics = m } }
