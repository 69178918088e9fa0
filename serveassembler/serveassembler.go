// Package serveassembler builds the entry instance that "primrosehook serve" runs
// from its components, and runs it.
//
// The components depend on each other only through small interfaces, so this is
// the one place that shows how they are connected. Each step of New builds one
// component; Run starts them in the same order and drains the server first.
package serveassembler

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primrosehook/acceptor"
	"primrosehook/binder"
	"primrosehook/configurer"
	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/explainer"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/orderchecker"
	"primrosehook/poolmanager"
	"primrosehook/poolplanner"
	"primrosehook/publisher"
	"primrosehook/quarantiner"
	"primrosehook/recorder"
	"primrosehook/reserver"
	"primrosehook/ruler"
	"primrosehook/runner"
	"primrosehook/sender"
	"primrosehook/server"
	"primrosehook/sharder"
	"primrosehook/storereader"
	"primrosehook/tracer"
	"primrosehook/watcher"
	"primrosehook/writer"
)

// withdrawTimeout limits the call that removes the instance from the instance
// list at the end.
const withdrawTimeout = 2 * time.Second

// Instance is an entry instance.
type Instance struct {
	settings configurer.Settings
	// machine is what the process may use, memory its budget. closed counts the connections that
	// were closed for others.
	machine reserver.Machine
	memory  *reserver.Reserver
	closed  acceptor.Counts
	clock   clockwork.Clock
	log     *zap.Logger
	self    lister.Instance

	// http is the client for engines and services, platform that for the
	// services of the platform.
	http         *http.Client
	platform     *http.Client
	meter        sender.Meter
	traces       *tracer.Provider
	instanceList lister.List
	recordLog    recorder.Log
	peers        *messenger.Client
	messages     *messenger.Server
	watcher      *watcher.Watcher
	rules        *publisher.Publisher
	guard        *quarantiner.Guard
	writer       *writer.Writer
	jobs         *jobsPort
	dispatch     *dispatcher.LockedCore
	manager      *poolmanager.Manager
	reader       *poolmanager.Reader
	engines      *engineView
	server       *server.Server
	linesDropped func() int64
}

// Option configures an instance.
type Option func(*Instance)

// WithLinesDropped adds the number of dropped log lines to the metrics.
func WithLinesDropped(read func() int64) Option { return func(i *Instance) { i.linesDropped = read } }

// Run builds an instance and runs it until the context ends; then it finishes
// the requests in flight. Spans are written to the writer if the settings ask
// for it.
func Run(ctx context.Context, s configurer.Settings, log *zap.Logger, spans io.Writer, set ...Option) error {
	clock := clockwork.NewRealClock()
	machine := reserver.OwnMachine().Or(int64(s.MemoryMB)<<20, s.Descriptors)
	debug.SetMemoryLimit(machine.CollectorLimit())
	log.Info("assembler: limits of the process", zap.Int64("memory_mb", machine.Memory>>20), zap.Int("descriptors", machine.Descriptors))
	i, err := New(ctx, s, machine, clock, log, spans, set...)
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

// New builds an instance. It does no I/O except that of the trace exporter.
func New(ctx context.Context, s configurer.Settings, machine reserver.Machine, clock clockwork.Clock, log *zap.Logger, spans io.Writer, set ...Option) (*Instance, error) {
	i := &Instance{settings: s, machine: machine, clock: clock, log: log, self: self(s, clock), linesDropped: func() int64 { return 0 }}
	for _, f := range set {
		f(i)
	}
	i.memory = reserver.New(machine.Budget(), reserver.WithClock(clock))
	traces, err := tracer.New(ctx, tracer.Settings{
		Export: s.Trace, Endpoint: s.TraceURL, SampleRatio: s.TraceSampleRatio, Instance: i.self.Name, Zone: s.Zone,
	}, spans)
	if err != nil {
		return nil, err
	}
	i.traces = traces
	i.http = sender.NewClient()
	i.http.Transport = &tracer.Transport{Base: i.http.Transport}
	i.platform = sender.NewClient(sender.WithMeter(&i.meter))
	i.instanceList = lister.NewClient(s.List, i.platform, lister.WithMemory(i.memory))
	i.recordLog = recorder.NewClient(s.Log, i.platform, recorder.WithMemory(i.memory))
	i.buildPeers()
	i.buildWriter()
	i.buildJobs()
	i.buildDispatch()
	i.buildServer()
	return i, nil
}

// self returns this instance's entry in the instance list. A generated name
// contains the start time, so that entries and heartbeats of an earlier
// incarnation are never taken for its own.
func self(s configurer.Settings, clock clockwork.Clock) lister.Instance {
	name := s.Name
	if name == "" {
		name = fmt.Sprintf("%s.%x", s.Listen, clock.Now().UnixMicro())
	}
	return lister.Instance{
		Name: name, Kind: lister.KindEntry, Region: s.Region, Zone: s.Zone,
		Addr: s.Listen, PeerAddr: s.Peer, State: lister.StateLive,
	}
}

// secret returns an unpredictable seed for the IDs by which clients find their
// streams and jobs.
func secret() uint64 {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		// Reading random bytes from the system does not fail on Linux.
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}

// seed returns a seed that differs between instances but is predictable.
func (i *Instance) seed() uint64 { return xxhash.Sum64String(i.self.Name) }

func (i *Instance) buildPeers() {
	i.messages = messenger.NewServer(i.log, messenger.WithClock(i.clock), messenger.WithMemory(i.memory),
		messenger.WithMaxConns(i.machine.MaxPeerConnections()), messenger.WithMaxQueuedBytes(i.machine.MaxPeerQueue()))
	i.peers = messenger.NewClient(i.clock, messenger.WithMemory(i.memory), messenger.WithMaxQueuedBytes(i.machine.MaxPeerQueue()))
	i.watcher = watcher.New(i.self, i.seed(), i.instanceList, i.peers,
		watcher.WithClock(i.clock), watcher.WithLogger(i.log))
	i.rules = publisher.New(i.recordLog, i.watcher, i.peers,
		publisher.WithClock(i.clock), publisher.WithLogger(i.log), publisher.WithSeed(int64(i.seed())))
	i.guard = quarantiner.NewGuard(i.clock, quarantineOptions(i.settings))
	i.watcher.AddTopic("rules", &rulesTopic{rules: i.rules})
	i.watcher.AddTopic("suspects", &suspectsTopic{guard: i.guard})
	i.watcher.RegisterHandlers(i.messages)
	i.rules.Serve(i.messages)
}

func (i *Instance) shardingOptions(count int) []sharder.Option {
	return []sharder.Option{
		sharder.WithClock(i.clock), sharder.WithLogger(i.log),
		sharder.WithCount(count), sharder.WithGroupInterval(i.settings.GroupWait),
	}
}

func (i *Instance) buildWriter() {
	port := &serverPort{
		rules: i.rules, view: i.watcher, http: i.http,
		random: rand.New(rand.NewPCG(i.seed(), 1)),
	}
	i.writer = writer.New(i.recordLog, i.watcher, i.peers, port,
		writer.WithSharding(i.shardingOptions(i.settings.WriteShards)...))
	i.writer.Serve(i.messages)
}

func (i *Instance) buildJobs() {
	i.jobs = &jobsPort{}
	i.jobs.runner = runner.New(i.recordLog, i.watcher, i.peers, i.jobs.run,
		runner.WithSharding(i.shardingOptions(i.settings.JobShards)...))
	i.jobs.runner.Serve(i.messages)
}

func quarantineOptions(s configurer.Settings) quarantiner.Options {
	o := quarantiner.DefaultOptions()
	o.BaseDuration = s.QuarantineTerm
	return o
}

func (i *Instance) buildDispatch() {
	i.dispatch = dispatcher.New(
		dispatcher.WithClock(i.clock), dispatcher.WithSeed(i.seed()), dispatcher.WithZone(i.settings.Zone),
		dispatcher.WithRetries(i.settings.RetryBudgetRatio, retryBurst),
	)
	i.engines = &engineView{dispatch: i.dispatch, listed: i.watcher.Instances}
	i.buildHolder()
}

func (i *Instance) buildHolder() {
	settings := orderchecker.DefaultSettings()
	settings.Lease.Term = i.settings.Lease
	settings.MaxMessageDelay, settings.MinAbsence = i.settings.MaxMessageDelay, i.settings.AbsenceTimeout
	ports := poolmanager.Dependencies{
		Log: i.recordLog, View: i.watcher, List: i.instanceList, Engines: i.driver, Peers: i.peers,
		Store:   storereader.NewClient(i.settings.Store, i.platform),
		Planner: func() poolplanner.Planner { return poolplanner.New() },
		Rules: func() *ruler.List {
			_, list := i.rules.InForce()
			return list
		},
	}
	set := []poolmanager.Option{
		poolmanager.WithClock(i.clock), poolmanager.WithLogger(i.log), poolmanager.WithSettings(settings),
		poolmanager.WithGroup(i.settings.GroupWait), poolmanager.WithSeed(i.seed()),
	}
	i.manager = poolmanager.New(ports, set...)
	i.manager.Serve(i.messages)
	i.reader = poolmanager.NewReader(ports, i.manager, i.dispatch.Demand, i.engines.update, set...)
}

// retryBurst is how many retries are allowed at once beyond their share of the
// requests.
const retryBurst = 10

func (i *Instance) buildServer() {
	s := i.settings
	limits := server.DefaultLimits()
	limits.MaxBodyBytes = int64(s.MaxBodyBytes)
	limits.MaxOpenRequests = int64(min(s.MaxOpenRequests, i.machine.MaxInFlight()))
	limits.MaxTokens, limits.DefaultMaxTokens = s.MaxTokens, s.DefaultMaxTokens
	limits.UploadTimeout, limits.StallTimeout, limits.CallTimeout, limits.WriteTimeout = s.BodyTimeout, s.StallTimeout, s.ServiceTimeout, s.WriteTimeout
	limits.MaxAttempts = s.MaxAttempts
	rules := &rulesPort{publisher: i.rules}
	i.server = server.New(i.clock,
		server.WithInstance(i.self), server.WithLog(i.log), server.WithLimits(limits), server.WithMemory(i.memory), server.WithSeed(secret()),
		server.WithRules(rules), server.WithPublisher(rules),
		server.WithDispatcher(i.dispatch),
		server.WithEngines(i.driver),
		server.WithInstances(i.watcher),
		server.WithDemand(i.engines),
		server.WithForwarder(&forwarderPort{http: i.http}),
		server.WithJobs(i.jobs),
		server.WithWriter(&writerPort{writer: i.writer}),
		server.WithQuarantine(&quarantinePort{Guard: i.guard, watcher: i.watcher}),
		server.WithExplainer(explainer.New(s.DecisionsKept)),
		server.WithTracer(i.traces.Tracer()),
		server.WithMetrics(i.metrics()),
		server.WithCheck("rules", i.checkRules),
		server.WithCheck("instances", i.checkList),
		server.WithCheck("engines", i.engines.check),
		server.WithStatus("rules", func() any { return i.rules.Status() }),
		server.WithStatus("writer", func() any { return i.writer.Stats() }),
		server.WithStatus("runner", func() any { return i.jobs.runner.Stats() }),
		server.WithStatus("dispatcher", func() any { return i.dispatch.State() }),
		server.WithOrders(i.explainOrder),
		server.WithFleet(i.peerStatuses),
		server.WithStatus("pools", func() any { return i.manager.Status() }),
		server.WithStatus("engines", func() any { return i.engines.statuses() }),
		server.WithStatus("entries", func() any { return i.watcher.Instances(lister.KindEntry) }),
	)
	i.jobs.server = i.server
	i.messages.Handle(kindStatus, i.answerStatus)
}

func (i *Instance) driver(addr string) driver.Engine {
	return driver.NewClient(addr, i.http, driver.WithMemory(i.memory))
}

func (i *Instance) checkRules() error {
	if i.rules.Ready() {
		return nil
	}
	return eris.New("no rule list is known yet, neither from the log nor from a peer")
}

func (i *Instance) checkList() error {
	if !i.watcher.ListReadAt().IsZero() {
		return nil
	}
	return eris.New("instance list has not been read yet")
}

// Run serves until the context ends, then finishes the requests in flight. The
// components behind the server run until the last request has been answered.
func (i *Instance) Run(ctx context.Context) error {
	// Callers come last: a port that is open and has no server yet holds them up.
	open, err := binder.New(i.clock, i.log).Open(ctx,
		binder.Address{Name: "peers", Address: i.settings.Peer},
		binder.Address{Name: "operators", Address: i.settings.Operate},
		binder.Address{Name: "callers", Address: i.settings.Listen})
	if err != nil {
		if ctx.Err() != nil {
			i.log.Info("assembler: stopped before it served")
			return nil
		}
		return err
	}
	peers, operators, callers := open[0], open[1], open[2]
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go i.runMessages(parts, peers)
	i.watcher.Start(parts)
	i.rules.Start(parts)
	i.writer.Start(parts)
	i.jobs.runner.Start(parts)
	i.manager.Start(parts)
	i.reader.Start(parts)
	err = i.server.Run(ctx, i.acceptCallers(callers), i.acceptOperators(operators), server.ShutdownOptions{
		Linger: i.settings.Linger, Drain: i.settings.Drain, OnLeaving: i.watcher.Leave,
	})
	i.drain(parts)
	i.withdraw(parts)
	_ = peers.Close()
	_ = i.traces.Shutdown(parts)
	return err
}

// operatorConnections limits the connections to the port for operators, operatorBudget is its budget
// apart from that of clients: an instance that is short of memory still answers there.
const operatorConnections, operatorBudget = 64, 8 << 20

func (i *Instance) acceptCallers(l net.Listener) net.Listener {
	return acceptor.New("callers", i.machine.MaxConnections(), i.memory, &i.closed, i.clock, i.log, acceptor.WithWriteTimeout(i.settings.WriteTimeout)).Listen(l)
}

func (i *Instance) acceptOperators(l net.Listener) net.Listener {
	memory := reserver.New(operatorBudget, reserver.WithClock(i.clock))
	return acceptor.New("operators", operatorConnections, memory, &i.closed, i.clock, i.log).Listen(l)
}

func (i *Instance) runMessages(ctx context.Context, l net.Listener) {
	if err := i.messages.Serve(ctx, l); err != nil {
		i.log.Debug("assembler: peer listener ended", zap.Error(err))
	}
}

// drain releases the leases and waits for the writes and jobs in the shards that
// this instance owns.
func (i *Instance) drain(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, i.clock, i.settings.Drain)
	defer cancel()
	if err := i.manager.Drain(ctx); err != nil {
		i.log.Warn("assembler: leases were not released at the end of the drain; they lapse")
	}
	if err := i.writer.Drain(ctx); err != nil {
		i.log.Warn("assembler: writes were still open at the end of the drain", zap.Error(err))
	}
	if err := i.jobs.runner.Drain(ctx); err != nil {
		i.log.Warn("assembler: jobs were still running at the end of the drain; their next homes run them again", zap.Error(err))
	}
}

// withdraw removes the instance from the instance list. A failure does not fail
// the stop, since the entry expires by itself.
func (i *Instance) withdraw(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, i.clock, withdrawTimeout)
	defer cancel()
	if err := i.instanceList.Withdraw(ctx, i.self.Name); err != nil {
		i.log.Warn("assembler: instance stays on the list until it expires", zap.Error(err))
	}
}
