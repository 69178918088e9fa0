package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/launcher"
	"primrosehook/ruler"
)

// Intervals and timeouts of the fleet.
const (
	balancerInterval = 250 * time.Millisecond
	movesInterval    = time.Second
	readyTimeout     = 90 * time.Second
	// callTimeout bounds one status request to a process.
	callTimeout = time.Second
)

// deployment describes one of the two example deployments.
type deployment struct {
	name    string
	rules   string
	region  string
	zones   []string
	pool    string
	service string
	// size is the number of engines; each zone runs its share in one process.
	size int
	// storeRate is the weight store's limit in loads per second; storeSlots is the
	// number of concurrent loads that it serves at full speed.
	storeRate, storeSlots string
	// read and write are the service's paths for reads and for writes.
	read, write string
	// job is the model that runs the deferred jobs.
	job string
	// shares is the fraction of arrivals of each kind; they add up to 1.
	shares [kinds]float64
}

func deployments() []deployment {
	return []deployment{
		{
			name: "Vertrekpunt", rules: "examples/vertrekpunt.yaml",
			region: "nl-west", zones: []string{"ams-a", "ams-b", "hlm-c"},
			pool: "survey", service: "kiosk", size: 20, storeRate: "3", storeSlots: "3",
			read: "/forms/exit", write: "/receipts", job: "digest-nl",
			shares: [kinds]float64{kindCall: 0.3, kindWrite: 0.2, kindChat: 0.45, kindJob: 0.05},
		},
		{
			name: "Bunya", rules: "examples/bunya.yaml",
			region: "seq", zones: []string{"fortitude", "woolloongabba", "ipswich"},
			pool: "assistant", service: "booking", size: 10, storeRate: "1", storeSlots: "2",
			read: "/rooms/free", write: "/bookings", job: "roster-summary",
			shares: [kinds]float64{kindCall: 0.1, kindWrite: 0.15, kindChat: 0.7, kindJob: 0.05},
		},
	}
}

// fleet holds the processes of one deployment and what was observed of them.
type fleet struct {
	deployment
	cluster  *launcher.Cluster
	clock    clockwork.Clock
	list     *ruler.List
	platform *launcher.Process
	engines  []*launcher.Process
	services []*launcher.Process
	entries  []*launcher.Process

	mu sync.Mutex
	// ready holds the entry instances that the balancer sends requests to.
	ready []*launcher.Process
	// lostZones holds the indexes of the zones whose engines were killed.
	lostZones []int
	// moves is the number of loads and unloads that each instance has sent, by
	// its address.
	moves map[string]int64
	// events lists the injected faults and other changes for the report.
	events []string
}

// members returns the number of engines in a zone.
func (f *fleet) members(zone int) int { return (f.size + len(f.zones) - 1 - zone) / len(f.zones) }

// start starts all processes, publishes the rules and waits until every
// instance is ready and, unless cold is set, every model is loaded.
func (f *fleet) start(ctx context.Context, entries int, cold bool) error {
	var err error
	if f.platform, err = f.cluster.Platform(ctx, "-store-rate", f.storeRate, "-store-slots", f.storeSlots); err != nil {
		return err
	}
	for zone := range f.zones {
		if err := f.startZone(ctx, zone); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := f.addEntry(ctx, f.zones[i%len(f.zones)]); err != nil {
			return err
		}
	}
	source, err := os.ReadFile(f.rules)
	if err != nil {
		return err
	}
	if f.list, err = ruler.Parse(f.rules, source); err != nil {
		return err
	}
	if err := f.publish(ctx, source); err != nil {
		return err
	}
	if err := f.await(ctx, "ready instances", func() bool { return len(f.readyEntries(ctx)) == entries }); err != nil || cold {
		return err
	}
	return f.await(ctx, "engine for every model", func() bool { return f.allLoaded(ctx) })
}

func (f *fleet) startZone(ctx context.Context, zone int) error {
	place := []string{"-region", f.region, "-zone", f.zones[zone]}
	flags := append([]string{"-pool", f.pool, "-count", strconv.Itoa(f.members(zone)), "-report-lag", "500ms"}, place...)
	engine, err := f.cluster.Engine(ctx, flags...)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, engine)
	service, err := f.cluster.Service(ctx, append([]string{"-pool", f.service}, place...)...)
	if err != nil {
		return err
	}
	f.services = append(f.services, service)
	return nil
}

func (f *fleet) addEntry(ctx context.Context, zone string) error {
	e, err := f.cluster.Entry(ctx, "-region", f.region, "-zone", zone)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
	return nil
}

func (f *fleet) publish(ctx context.Context, source []byte) error {
	url := "http://" + f.entries[0].OperatorAddr + "/admin/rules?base=0"
	return f.await(ctx, "rule list", func() bool {
		a, err := f.exchange(ctx, message{method: http.MethodPost, url: url, body: source})
		return err == nil && a.status == http.StatusOK
	})
}

// await polls a condition until it holds, for at most readyTimeout. what names
// the condition in the error.
func (f *fleet) await(ctx context.Context, what string, holds func() bool) error {
	limit := f.clock.NewTimer(readyTimeout)
	defer limit.Stop()
	for !holds() {
		select {
		case <-f.clock.After(balancerInterval):
		case <-limit.Chan():
			return fmt.Errorf("no %s after %v", what, readyTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// allLoaded reports whether each model of the rule list is ready on some engine.
func (f *fleet) allLoaded(ctx context.Context) bool {
	loaded := map[string]bool{}
	for zone, p := range f.engines {
		for n := range f.members(zone) {
			var report driver.Report
			if launcher.Get(ctx, p.Member(n)+"/report", &report) != nil {
				return false
			}
			for _, r := range report.Loaded {
				loaded[r.Model] = loaded[r.Model] || r.State == driver.StateReady
			}
		}
	}
	return !slices.ContainsFunc(f.list.Models, func(m ruler.Model) bool { return !loaded[m.Name] })
}

// readyEntries returns the entry instances whose readiness probe succeeds.
func (f *fleet) readyEntries(ctx context.Context) []*launcher.Process {
	f.mu.Lock()
	all := slices.Clone(f.entries)
	f.mu.Unlock()
	var ready []*launcher.Process
	for _, e := range all {
		limit, cancel := context.WithTimeout(ctx, callTimeout)
		a, err := f.exchange(limit, message{method: http.MethodGet, url: e.URL() + "/readyz"})
		cancel()
		if err == nil && a.status == http.StatusOK {
			ready = append(ready, e)
		}
	}
	return ready
}

// runBalancer stands in for the platform's load balancer: it keeps the list of
// instances that were ready at the last probe.
func (f *fleet) runBalancer(ctx context.Context) {
	for ctx.Err() == nil {
		ready := f.readyEntries(ctx)
		f.mu.Lock()
		f.ready = ready
		f.mu.Unlock()
		f.clock.Sleep(balancerInterval)
	}
}

// choose returns the n-th ready instance, counted modulo their number, or nil
// if none is ready.
func (f *fleet) choose(n int) *launcher.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ready) == 0 {
		return nil
	}
	return f.ready[n%len(f.ready)]
}

// step is one scheduled fault or change; at is its time as a fraction of the
// run's length.
type step struct {
	at   float64
	text string
	do   func(ctx context.Context) error
}

// runFaults injects the faults of steps in their fixed order.
func (f *fleet) runFaults(ctx context.Context, length time.Duration) {
	begin := f.clock.Now()
	for _, s := range f.steps() {
		wait := time.Duration(s.at*float64(length)) - f.clock.Since(begin)
		select {
		case <-f.clock.After(wait):
		case <-ctx.Done():
			return
		}
		text := fmt.Sprintf("%2.0f s: %s", f.clock.Since(begin).Seconds(), s.text)
		if err := s.do(ctx); err != nil {
			text += ": " + err.Error()
		}
		f.mu.Lock()
		f.events = append(f.events, text)
		f.mu.Unlock()
	}
}

func (f *fleet) steps() []step {
	first, second, third := f.entries[0], f.entries[1], f.entries[2]
	return []step{
		{0.15, "an entry instance is killed", func(context.Context) error { return first.Kill() }},
		{0.20, "a new entry instance is started", func(ctx context.Context) error { return f.addEntry(ctx, f.zones[0]) }},
		{0.30, "an entry instance is frozen", func(context.Context) error { return second.Suspend() }},
		{0.45, "it goes on", func(context.Context) error { return second.Resume() }},
		{0.50, "the log hangs", func(ctx context.Context) error { return f.outage(ctx, faker.OutageHang) }},
		{0.55, "an entry instance is stopped", func(context.Context) error { return third.Terminate() }},
		{0.65, "the log is back", func(ctx context.Context) error { return f.outage(ctx, "") }},
		{0.70, "a zone's engines are killed", func(context.Context) error { return f.loseZone(2) }},
	}
}

func (f *fleet) outage(ctx context.Context, kind string) error {
	return launcher.Put(ctx, f.platform.URL()+"/faults/log", faker.LogFaults{Faults: faker.Faults{Outage: kind}})
}

func (f *fleet) loseZone(zone int) error {
	f.mu.Lock()
	f.lostZones = append(f.lostZones, zone)
	f.mu.Unlock()
	return f.engines[zone].Kill()
}

// runMoves polls the load and unload counts of the instances, so that the
// counts of an instance that dies are kept.
func (f *fleet) runMoves(ctx context.Context) {
	for ctx.Err() == nil {
		for _, e := range f.readyEntries(ctx) {
			f.noteMoves(ctx, e)
		}
		f.clock.Sleep(movesInterval)
	}
}

func (f *fleet) noteMoves(ctx context.Context, e *launcher.Process) {
	var status struct {
		Parts struct {
			Pools []struct {
				Counts struct{ Loads, Unloads int64 }
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if launcher.Get(ctx, "http://"+e.OperatorAddr+"/admin/status", &status) != nil {
		return
	}
	moves := int64(0)
	for _, p := range status.Parts.Pools {
		moves += p.Counts.Loads + p.Counts.Unloads
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moves[e.Addr] = moves
}
