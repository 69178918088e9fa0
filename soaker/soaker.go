// Package soaker plays a soak: it starts entry instances as real processes beside stand-ins of the
// store and the servers, sends requests as clients do, plays faults from outside, and records what was
// seen, for auditor.
//
// Example:
//
//	record, err := soaker.Run(ctx, soaker.Options{Seed: 1, Length: time.Minute, Instances: 6, Servers: 9,
//		Rate: 60, Faults: soaker.Names(false), Program: "target/primrosehook", Dir: dir}, clock, log)
package soaker

import (
	"context"
	"debug/buildinfo"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primrosehook/auditor"
)

const (
	plainServers = 3
	// mostInstances and mostServers have addresses.
	mostInstances, mostServers = 90, 100
	// mostModels are as many as the deployment has; fewer servers have fewer.
	mostModels = 17
	// startSpread is the time within which all instances are started, lead that until traffic, which
	// begins while most faults of the start act.
	startSpread, lead = 300 * time.Millisecond, time.Second
	firstVersion      = 1
	// leastLength leaves time for one fault at least.
	leastLength = 45 * time.Second
)

// Options are what a soak plays.
type Options struct {
	// Seed draws faults and requests, not how the processes interleave.
	Seed   uint64
	Length time.Duration
	// Instances and Servers are the numbers of entry instances and of model servers; there are three
	// plain servers beside them. Rate is the number of requests a second.
	Instances, Servers, Rate int
	// Faults are the names of the faults to draw from.
	Faults []string
	// Program is the path of primrosehook, Dir an existing directory for settings and logs.
	Program, Dir string
}

// Check returns an error for options that can't be played.
func (o Options) Check() error {
	switch {
	case o.Length < leastLength:
		return eris.Errorf("a soak takes %v at least", leastLength)
	case o.Instances < 3 || o.Instances > mostInstances:
		return eris.Errorf("there are 3 to %d instances", mostInstances)
	case o.Servers < 2 || o.Servers > mostServers:
		return eris.Errorf("there are 2 to %d servers", mostServers)
	case o.Rate < 1 || o.Rate > 1000:
		return eris.New("there are 1 to 1000 requests a second")
	}
	if i, err := os.Stat(o.Program); err != nil || i.IsDir() {
		return eris.Errorf("%q is no program", o.Program)
	}
	_, err := selectFaults(o.Faults)
	return err
}

// world is all that takes part in a soak.
type world struct {
	options   Options
	dir       string
	clock     clockwork.Clock
	log       *zap.Logger
	record    *auditor.Record
	store     *store
	servers   []*server
	instances []*instance
	models    int

	// watchers wait for the ends of processes.
	watchers sync.WaitGroup

	mu         sync.Mutex
	version    int
	configured time.Time
	failure    error
}

// Run plays a soak. When it returns, all processes that it started have ended. The record is nil if
// the soak could not be played; a context that ends interrupts it.
func Run(ctx context.Context, o Options, clock clockwork.Clock, log *zap.Logger) (*auditor.Record, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	bounds := deploymentBounds()
	bounds.RaceDetector = hasRaceDetector(o.Program)
	w := &world{options: o, dir: o.Dir, clock: clock, log: log, models: min(mostModels, 2*o.Servers-1), record: auditor.NewRecord(o.Seed, bounds, clock.Now())}
	w.store = newStore(net.JoinHostPort(w.address(250), fmt.Sprint(portServer)), clock)
	for n := range o.Servers + plainServers {
		s := &server{world: w, number: n, service: serviceModels, address: net.JoinHostPort(w.address(100+n), fmt.Sprint(portServer))}
		if n >= o.Servers {
			s.service = servicePlain
		}
		w.servers = append(w.servers, s)
	}
	for n := range o.Instances {
		w.instances = append(w.instances, &instance{world: w, index: n})
	}
	faults, err := selectFaults(o.Faults)
	if err != nil {
		return nil, err
	}
	err = w.run(ctx, draw(rand.New(rand.NewPCG(o.Seed, 1)), faults, o))
	if err != nil {
		return nil, err
	}
	w.record.End = clock.Now()
	w.record.Interrupted = ctx.Err() != nil
	return w.record, w.failure
}

// run plays a plan, and ends all that it has started.
func (w *world) run(outer context.Context, steps []step) error {
	ctx, cancel := context.WithCancel(outer)
	var loops sync.WaitGroup
	// Requests to instances that have ended fail at once, so that an interrupt is quick.
	unwatch := context.AfterFunc(outer, func() { w.endInstances(false) })
	defer func() {
		unwatch()
		cancel()
		w.endInstances(outer.Err() == nil)
		w.endStandIns()
		loops.Wait()
		w.watchers.Wait()
	}()
	var first step
	if len(steps) > 0 && steps[0].start {
		first = steps[0]
	}
	if err := w.prepare(ctx, first); err != nil {
		return err
	}
	for _, s := range w.servers {
		loops.Go(func() { s.loopRegister(ctx) })
	}
	w.record.Begin = w.clock.Now()
	for _, i := range w.instances {
		if err := i.start(ctx); err != nil {
			return err
		}
		loops.Go(func() { i.loopReadiness(ctx) })
		loops.Go(func() { i.loopResources(ctx) })
		loops.Go(func() { i.loopProbes(ctx) })
		w.sleep(ctx, startSpread/time.Duration(len(w.instances)))
	}
	loops.Go(func() { w.loopProgress(ctx) })
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var clients sync.WaitGroup
	for n := range w.options.Rate {
		clients.Go(func() { w.newClient(n).loop(traffic) })
	}
	w.runPlan(ctx, steps)
	w.sleep(ctx, w.options.Length-w.clock.Since(w.record.Begin))
	stopTraffic()
	clients.Wait()
	return nil
}

// prepare starts the store and the servers, as far as the fault of the start lets them.
func (w *world) prepare(ctx context.Context, first step) error {
	// The operator and the servers wrote before the store went away.
	if err := w.store.set(modeServing); err != nil {
		return err
	}
	w.version = firstVersion - 1
	for n, s := range w.servers {
		var models []string
		for m := range w.models {
			if s.service == serviceModels && m/2 == n {
				models = append(models, modelName(m))
			}
		}
		if err := s.start(models...); err != nil {
			return err
		}
		if err := s.register(ctx); err != nil {
			return err
		}
	}
	if first.Name != "config-late" {
		if err := w.configure(ctx); err != nil {
			return err
		}
	}
	return w.store.set(first.mode)
}

// endInstances ends the instances, at once or by a planned stop.
func (w *world) endInstances(planned bool) {
	var ends sync.WaitGroup
	for _, i := range w.instances {
		ends.Go(func() {
			end := i.kill
			if planned {
				end = i.terminate
			}
			if err := end(); err != nil {
				w.log.Error("soak: instance not ended", zap.Int("instance", i.index), zap.Error(err))
			}
		})
	}
	ends.Wait()
}

func (w *world) endStandIns() {
	for _, s := range w.servers {
		s.kill()
	}
	if err := w.store.set(modeAway); err != nil {
		w.log.Error("soak: store not ended", zap.Error(err))
	}
}

func (w *world) newClient(n int) *client {
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(1000+n)))
	at := (float64(n) + 0.5) / float64(w.options.Rate)
	i := slices.IndexFunc(traffic, func(k kind) bool {
		at -= k.share
		return at < 0
	})
	return &client{world: w, kind: traffic[max(i, 0)], number: n, random: random}
}

// address returns a loopback address that no other soak on the machine has.
func (w *world) address(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(100+pid>>8%100), byte(pid), byte(n)).String()
}

// fail keeps the first failure of the soak itself.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil {
		w.failure = err
	}
}

// sleep waits for a time, or until the context ends.
func (w *world) sleep(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	select {
	case <-w.clock.After(length):
	case <-ctx.Done():
	}
}

func hasRaceDetector(program string) bool {
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		return false
	}
	return slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}
