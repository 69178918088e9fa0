// Package entryassembler builds the entry instance for the users' platform that
// "primrosehook entry" runs from its components, and runs it until its context ends.
package entryassembler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/acceptor"
	"primrosehook/allotter"
	"primrosehook/balancer"
	"primrosehook/binder"
	"primrosehook/clocker"
	"primrosehook/connector"
	"primrosehook/coordinator"
	"primrosehook/detourer"
	"primrosehook/exporter"
	"primrosehook/logger"
	"primrosehook/messenger"
	"primrosehook/pacer"
	"primrosehook/peeker"
	"primrosehook/pinner"
	"primrosehook/platform"
	"primrosehook/quarantiner"
	"primrosehook/recoverer"
	"primrosehook/registrar"
	"primrosehook/relayer"
	"primrosehook/reserver"
	"primrosehook/sender"
	"primrosehook/sequencer"
	"primrosehook/sparer"
	"primrosehook/tailer"
	"primrosehook/throttler"
	"primrosehook/tracer"
	"primrosehook/upgrader"
)

const (
	// configWait is how long a read of the configuration waits for a change. A
	// read on a dead connection delays a change by this time and a timeout.
	configWait = 600 * time.Millisecond
	// registryReadsPerDrain is how often the registry is read within the time
	// within which new requests to a draining server must stop.
	registryReadsPerDrain = 6
	// headerTimeout and idleTimeout limit clients' connections. idleTimeout is
	// longer than the operator allows clients to keep connections idle.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// retryBudgetShare is the share of the retry budget that is used: it is
	// below 1 because the instances' windows are not aligned.
	retryBudgetShare = 0.8
	// maxCheckConnections limits the connections to the port for readiness checks, and those to
	// that for metrics. checkBudget is the budget of each of these ports, apart from that of
	// clients: an instance that is short of memory still answers there. 0.15 of it is for
	// connections and heads.
	maxCheckConnections = 64
	checkBudget         = 8 << 20
	maxCheckHeaderBytes = 8 << 10
)

// machineOf returns what the process may use by its settings.
func machineOf(s platform.Settings) reserver.Machine {
	return reserver.Machine{Memory: int64(s.Memory) << 20, Descriptors: s.Descriptors}
}

// Entry is one entry instance.
type Entry struct {
	// initial are the settings at the start, current those in effect.
	initial platform.Settings
	current atomic.Pointer[platform.Settings]
	source  SettingsSource
	// settingsError is the error of the last read of the settings, empty for
	// none. pendingSettings are the changed fields that take effect at the next
	// start. Only loopSettings uses them.
	settingsError   string
	pendingSettings []string
	clock           clockwork.Clock
	log             *zap.Logger
	store           *platform.Store
	fleet           *balancer.Fleet
	relayer         *relayer.Relayer
	registry        *registry
	config          *configuration
	tails           struct{ config, registry *tailer.Tailer }
	coordinator     *coordinator.Coordinator
	peers           *messenger.Client
	pacer           *pacer.Pacer
	throttler       *throttler.Throttler
	allotter        *allotter.Allotter
	pinner          *pinner.Pinner
	detourer        *detourer.Detourer
	sparer          *sparer.Sparer
	sequencer       *sequencer.Sequencer
	pauses          *pauses
	suspects        *quarantiner.Guard
	parts           *quarantiner.PartGuard
	replacements    *registrar.Replacements
	metrics         *exporter.Registry
	memory          *reserver.Reserver
	recoverer       *recoverer.Recoverer
	closedConns     acceptor.Counts
	stopping        atomic.Bool
	work            sync.WaitGroup
}

// Option configures an instance.
type Option func(*options)

type options struct {
	tracer         trace.Tracer
	dialer         connector.Dialer
	peerDialer     connector.Dialer
	values         map[string]func() int64
	settingsSource SettingsSource
}

// WithTracer sets the tracer for spans of requests and attempts.
func WithTracer(t trace.Tracer) Option { return func(o *options) { o.tracer = t } }

// WithDialer sets how connections to servers are opened; the default is
// connector.DirectDialer.
func WithDialer(d connector.Dialer) Option { return func(o *options) { o.dialer = d } }

// WithPeerDialer sets how connections to other instances are opened; without it messages and
// detours have the defaults of their packages.
func WithPeerDialer(d connector.Dialer) Option { return func(o *options) { o.peerDialer = d } }

// WithMetric adds a value to the metrics.
func WithMetric(name string, read func() int64) Option {
	return func(o *options) { o.values[name] = read }
}

// Run runs an instance until the context ends and its requests are finished or
// the grace period is over.
func Run(ctx context.Context, s platform.Settings, clock clockwork.Clock, log *zap.Logger, set ...Option) error {
	o := options{tracer: tracer.NewNoop(), dialer: connector.DirectDialer{}, values: map[string]func() int64{}}
	for _, f := range set {
		f(&o)
	}
	debug.SetMemoryLimit(machineOf(s).CollectorLimit())
	e := newEntry(s, clock, log, o)
	return e.serve(ctx)
}

func newEntry(s platform.Settings, clock clockwork.Clock, log *zap.Logger, o options) *Entry {
	log = log.With(zap.String("instance", s.Instance))
	e := &Entry{initial: s, source: o.settingsSource, clock: clock, log: log, metrics: exporter.New()}
	e.memory = reserver.New(machineOf(s).Budget(), reserver.WithClock(clock))
	e.recoverer = recoverer.New(clock, log, e.takeLocks)
	e.current.Store(&s)
	e.store = platform.NewStore(s.Store, sender.NewClient(), platform.WithMemory(e.memory))
	toPeers := []messenger.Option{messenger.WithMaxSilence(time.Second), messenger.WithMemory(e.memory), messenger.WithMaxQueuedBytes(machineOf(s).MaxPeerQueue())}
	detours := []detourer.Option{
		detourer.WithDirect(o.dialer), detourer.WithMeter(e.metrics), detourer.WithMemory(e.memory),
		detourer.WithMaxServed(machineOf(s).MaxDetours()),
	}
	if o.peerDialer != nil {
		toPeers = append(toPeers, messenger.WithDialer(o.peerDialer))
		detours = append(detours, detourer.WithPeerDialer(o.peerDialer))
	}
	e.detourer = detourer.New(s.Control, s.Seeds, func(address string) bool { return e.fleet.HasServer(address) }, clock, log, detours...)
	// Until the number of instances is known, the slack is shared among
	// assumedInstances.
	slack := float64(s.RetrySlack) * retryBudgetShare / assumedInstances
	e.suspects, e.parts = quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), quarantiner.NewPartGuard(clock)
	e.replacements = registrar.NewReplacements()
	e.peers = messenger.NewClient(clock, toPeers...)
	e.fleet = balancer.NewFleet(s.Zone, balancer.Hash(s.Instance+s.IP), clock, balancer.WithDialer(e.detourer))
	e.pacer = pacer.New(s.Control, s.Seeds, e.peers, clock, log)
	e.throttler = throttler.New(s.Control, s.Seeds, e.peers, clock, clocker.SystemClock{}, log)
	instance := fmt.Sprintf("%s.%x", s.Instance, clock.Now().UnixNano())
	e.allotter = allotter.New(instance, s.Control, e.peers, clock, clocker.SystemClock{}, log, allotter.WithMeter(e.metrics), allotter.WithTolerance(s.QuotaWindow, s.QuotaOverage, s.QuotaSlack), allotter.WithRestarted(s.Restarted))
	e.pinner = pinner.New(s.Control, s.Seeds, e.peers, clock, log)
	e.sparer = sparer.New(s.Control, s.Seeds, e.peers, clock, log)
	e.pauses = &pauses{fleet: e.fleet, detourer: e.detourer, peers: e.peers, clock: clock, log: log}
	e.sequencer = sequencer.New(s.Control, s.Seeds, e.peers, clock, log)
	e.relayer = relayer.New(platform.Codec{}, e.fleet, e.suspects, clock, log,
		relayer.WithMeter(e.metrics), relayer.WithTracer(o.tracer), relayer.WithPacer(e.pacer), relayer.WithThrottler(e.throttler), relayer.WithPartSuspects(e.parts), relayer.WithOrigins(e.pinner), relayer.WithSparer(e.sparer), relayer.WithSequencer(e.sequencer), relayer.WithPauses(e.pauses), relayer.WithAccounts(accounts{e.allotter}), relayer.WithStrictRevoke(s.StrictRevoke), relayer.WithMemory(e.memory),
		relayer.WithRetries(s.RetryWindow, s.RetryRatio*retryBudgetShare, slack),
		relayer.WithMaxInFlight(machineOf(s).MaxInFlight()))
	e.registry = newRegistry(e.fleet, clock, log)
	e.config = &configuration{relayer: e.relayer, log: log}
	startDelay := coordinator.StartDelay(s.Link, s.Control, s.Seeds)
	e.tails.config = tailer.New("config", e.store.Topic(platform.TopicOperator), e.config, clock, log,
		tailer.WithWait(configWait), tailer.WithComplete(func() bool { return e.relayer.Table() != nil }), tailer.WithFeedTTL(e.replyTTL), tailer.WithStartDelay(startDelay), tailer.WithMaxRetryInterval(e.maxRetryInterval))
	e.tails.registry = tailer.New("registry", e.store.Topic(platform.TopicServers), e.registry, clock, log,
		tailer.WithInterval(func() time.Duration { return e.currentSettings().Drain / registryReadsPerDrain }), tailer.WithOnRead(e.fleet.RecordRead), tailer.WithComplete(e.registry.isSynced), tailer.WithFeedTTL(e.replyTTL), tailer.WithStartDelay(startDelay), tailer.WithMaxRetryInterval(e.maxRetryInterval))
	e.coordinator = coordinator.New(coordinator.Dependencies{
		Instance: instance, Machine: s.Instance, Address: s.Control, Seeds: s.Seeds, LinkMbps: s.Link,
		OrderGap: s.Lease, ColdLoadWindow: s.CeilingWindow, ColdLoadOverage: s.CeilingOverage, LeaseLog: e.store.Leases(), OrderSender: platform.NewOrderClient(sender.NewClient(), platform.WithReportMemory(e.memory)),
		Fleet: e.fleet, Suspects: e.suspects, Parts: e.parts, Limits: e.throttler, Accounts: e.allotter, Registry: e.tails.registry, Config: e.tails.config,
		Table: e.relayer.Table, Clock: clock, Boot: clocker.SystemClock{}, Log: log, Peers: e.peers, Meter: e.metrics, OnMembers: e.updateMembers,
	})
	e.exposeMetrics(o.values)
	e.config.onConfig = e.coordinator.UpdateConfig
	e.registry.onFull, e.registry.onRecords = e.coordinator.ReplaceRecords, e.updateRegistry
	return e
}

// updateMembers passes on the addresses of all instances.
func (e *Entry) updateMembers(addresses []string) {
	e.pacer.Update(addresses)
	e.throttler.Update(addresses)
	e.pinner.Update(addresses)
	e.detourer.Update(addresses)
	e.sparer.Update(addresses)
	e.sequencer.Update(addresses)
}

// updateRegistry passes on new records of the registry and the servers that result.
func (e *Entry) updateRegistry(list []tailer.Record, servers []registrar.Server) {
	e.coordinator.UpdateRegistry(list, servers)
	e.pacer.UpdateServers(servers)
	for _, incarnation := range e.replacements.Update(e.clock.Now(), servers) {
		e.parts.EngineReplaced(incarnation)
		if suspects := e.suspects.EngineReplaced(incarnation); len(suspects) > 0 {
			e.log.Info("registry: server was replaced that had requests in progress", zap.String("incarnation", incarnation), zap.Int("suspects", len(suspects)))
		}
	}
	e.throttler.Retain(func(incarnation string) bool {
		return slices.ContainsFunc(servers, func(s registrar.Server) bool { return s.Incarnation == incarnation })
	})
}

// assumedInstances is the assumed number of instances that share the retry
// budget's slack while the real number is unknown. It allows for about twice
// as many as are deployed today.
const assumedInstances = 9

func (e *Entry) serve(ctx context.Context) error {
	// Clients come last: a port that is open and has no server yet holds them up.
	open, err := binder.New(e.clock, e.log).Open(ctx,
		binder.Address{Name: "peers", Address: e.initial.Control, Config: peerConfig},
		binder.Address{Name: "readiness checks", Address: e.initial.Ready},
		binder.Address{Name: "clients", Address: e.initial.Front})
	if err != nil {
		if ctx.Err() != nil {
			e.log.Info("entry: stopped before it served")
			return nil
		}
		return err
	}
	control, ready, front := open[0], open[1], open[2]
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := acceptor.New("front", machineOf(e.initial).MaxConnections(), e.memory, &e.closedConns, e.clock, e.log)
	checkers := acceptor.New("ready", maxCheckConnections, reserver.New(checkBudget, reserver.WithClock(e.clock)), &e.closedConns, e.clock, e.log)
	clientServer := &http.Server{
		Handler: acceptor.Handler(e.recoverer.Handler(http.HandlerFunc(e.front)), e.clock), ConnContext: peeker.WithClient, ConnState: acceptor.Observe, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logger.NewStandard(e.log),
	}
	checks := e.checkServer(http.HandlerFunc(e.ready))
	readers := acceptor.New("metrics", maxCheckConnections, reserver.New(checkBudget, reserver.WithClock(e.clock)), &e.closedConns, e.clock, e.log)
	metricsServer := e.checkServer(e.metrics)
	messages := messenger.NewServer(e.log, messenger.WithGuard(e.recoverer.Call), messenger.WithMaxConns(machineOf(e.initial).MaxPeerConnections()), messenger.WithMemory(e.memory), messenger.WithMaxQueuedBytes(machineOf(e.initial).MaxPeerQueue()))
	e.coordinator.Serve(messages)
	e.pacer.Serve(messages)
	e.throttler.Serve(messages)
	e.allotter.Serve(messages)
	e.pinner.Serve(messages)
	e.detourer.Serve(messages)
	e.sparer.Serve(messages)
	e.sequencer.Serve(messages)
	e.pauses.Serve(messages)
	failed := make(chan error, 2)
	gated := clients.Listen(front)
	e.start(func() { e.listen(clientServer, gated, failed) })
	e.start(func() { e.listen(checks, checkers.Listen(ready), failed) })
	e.start(func() { e.tails.config.Run(work) })
	e.start(func() { e.tails.registry.Run(work) })
	e.start(func() { e.coordinator.Run(work) })
	e.start(func() { e.pinner.Run(work) })
	e.start(func() { e.detourer.Run(work) })
	e.start(func() { e.listenControl(work, messages, control, failed) })
	e.start(func() { e.loopRetryShare(work) })
	e.start(func() { e.loopReadinessLog(work) })
	e.start(func() { e.registry.loopExpiry(work) })
	if e.source.Read != nil {
		e.start(func() { e.loopSettings(work) })
	}
	if e.initial.Metrics != "" {
		e.start(func() { e.listenMetrics(work, metricsServer, readers) })
	}
	e.log.Info("entry: started", zap.String("front", e.initial.Front), zap.String("zone", e.initial.Zone), zap.Stringer("build", upgrader.Current()))
	if len(e.initial.Unused) > 0 {
		e.log.Info("entry: settings have fields that are not used", zap.Strings("fields", e.initial.Unused))
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	case err := <-e.recoverer.Stuck():
		return err
	}
	e.stop(clientServer, gated, clients)
	cancel()
	// Readiness checks and metrics requests in flight are aborted.
	_ = checks.Close()
	_ = metricsServer.Close()
	e.work.Wait()
	e.log.Info("entry: stopped")
	return nil
}

// peerConfig are the options of the port for peers. Keep-alive probes find those that are gone
// without a word, whose detours would stay open.
var peerConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}}

// start runs a component in a goroutine that serve waits for.
func (e *Entry) start(run func()) { e.work.Go(run) }

// listen serves HTTP on a listener and reports an unexpected end to failed. A planned stop closes
// the listener before the server.
func (e *Entry) listen(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !e.stopping.Load() {
		failed <- eris.Wrap(err, "serve")
	}
}

// checkServer returns the server of a port that only the operator's own programs use. They send
// no bodies.
func (e *Entry) checkServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: logger.NewStandard(e.log), ConnState: acceptor.Observe, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCheckHeaderBytes}
}

// listenMetrics serves the metrics. A failure is only logged, since clients can
// be served without metrics.
func (e *Entry) listenMetrics(ctx context.Context, s *http.Server, g *acceptor.Acceptor) {
	open, err := binder.New(e.clock, e.log).Open(ctx, binder.Address{Name: "metrics", Address: e.initial.Metrics})
	if err == nil {
		err = s.Serve(g.Listen(open[0]))
	}
	if ctx.Err() == nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Warn("entry: metrics are not served", zap.Error(err))
	}
}

func (e *Entry) listenControl(ctx context.Context, s *messenger.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(ctx, l); err != nil && ctx.Err() == nil {
		failed <- eris.Wrap(err, "serve peers")
	}
}

// loopRetryShare updates this instance's share of the retry budget as the number
// of instances changes.
func (e *Entry) loopRetryShare(ctx context.Context) {
	t := e.clock.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			e.updateRetryShare()
		}
	}
}

// updateRetryShare sets this instance's share of the retry budget.
func (e *Entry) updateRetryShare() {
	n := e.coordinator.Instances()
	if n == 0 {
		n = assumedInstances
	}
	s := e.currentSettings()
	e.relayer.SetRetryShare(s.RetryRatio*retryBudgetShare, float64(s.RetrySlack)*retryBudgetShare/float64(n))
}

// maxRetryInterval returns the longest pause after a failed call to the store.
func (e *Entry) maxRetryInterval() time.Duration { return e.coordinator.MaxRetryInterval() }

// replyTTL returns how long records that the coordinator forwards replace our own reads of the
// store.
func (e *Entry) replyTTL() time.Duration { return e.coordinator.ReplyTTL() }
