package coordinator_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/clocker"
	"primrosehook/coordinator"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/serviceplanner"
	"primrosehook/tailer"
)

// fakeServers executes orders at once, except on a server whose replies are lost.
type fakeServers struct {
	mu     sync.Mutex
	silent string
	loaded map[string]map[string]bool
	orders map[string]int64
	// sent are the orders sent to each server, each listed once.
	sent map[string][]serviceplanner.Order
}

func (f *fakeServers) Send(_ context.Context, s registrar.Server, o coordinator.Order, _ func() bool) (coordinator.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	same := func(p serviceplanner.Order) bool { return p.Op == o.Op && p.Model == o.Model }
	if !slices.ContainsFunc(f.sent[s.ID], same) {
		f.sent[s.ID] = append(f.sent[s.ID], o.Order)
	}
	if s.ID == f.silent {
		return coordinator.Unknown, errors.New("the reply is lost")
	}
	f.orders[s.ID]++
	f.loaded[s.ID][o.Model] = o.Op == serviceplanner.Load
	return coordinator.Accepted, nil
}

func (f *fakeServers) Report(_ context.Context, s registrar.Server) (coordinator.ServerReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return coordinator.ServerReport{Orders: f.orders[s.ID], Loaded: f.models(s.ID)}, nil
}

func (f *fakeServers) models(id string) []registrar.LoadedModel {
	var all []registrar.LoadedModel
	for _, m := range slices.Sorted(maps.Keys(f.loaded[id])) {
		if f.loaded[id][m] {
			all = append(all, registrar.LoadedModel{Model: m})
		}
	}
	return all
}

// sentTo returns a function that lists the orders sent to a server, as "unload m0".
func (f *fakeServers) sentTo(id string) func() []string {
	return func() []string {
		f.mu.Lock()
		defer f.mu.Unlock()
		var all []string
		for _, o := range f.sent[id] {
			all = append(all, o.Op.String()+" "+o.Model)
		}
		return all
	}
}

// startReconciler starts an instance that holds the lease, for servers with room
// for three of the four models.
func startReconciler(f *fakeServers) {
	engine := &matcher.Engine{MemoryMB: 230, ColdLoadsPerSecond: 5, Models: map[string]matcher.Model{}}
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		engine.Models[m] = matcher.Model{Name: m, SizeMB: 72, ColdLoadTime: time.Millisecond}
	}
	table := &matcher.Table{Services: map[string]matcher.Service{"llm": {Engine: engine}}}
	clock := clockwork.NewRealClock()
	stream := tailer.New("stream", &countingSource{}, discard{}, clock, zap.NewNop())
	c := coordinator.New(coordinator.Dependencies{
		Instance: "i", Machine: "i", Address: "i", OrderGap: 100 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
		LeaseLog: &sharedLog{}, OrderSender: f, Fleet: balancer.NewFleet("z", 1, clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()),
		Registry: stream, Config: stream, Meter: discard{}, Table: func() *matcher.Table { return table }, Clock: clock, Boot: clocker.SystemClock{},
		Log: zap.NewNop(), Peers: messenger.NewClient(clock), OnMembers: func([]string) {},
	})
	var servers []registrar.Server
	for _, id := range slices.Sorted(maps.Keys(f.loaded)) {
		servers = append(servers, registrar.Server{ID: id, Incarnation: id, Service: "llm", Loaded: f.models(id), ReadAt: clock.Now()})
	}
	c.UpdateRegistry(nil, servers)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go c.Run(ctx)
}

var _ = Describe("Orders", func() {
	// Guards against unloading the other replica of a model whose unload got no
	// reply and may still be executed, which leaves the model without one.
	It("count a replica as loaded only once its unanswered unload can no longer be executed", func() {
		full := func() map[string]bool { return map[string]bool{"m0": true, "m1": true, "m2": true} }
		f := &fakeServers{
			silent: "a", loaded: map[string]map[string]bool{"a": full(), "b": full()},
			orders: map[string]int64{}, sent: map[string][]serviceplanner.Order{},
		}
		startReconciler(f)
		Eventually(f.sentTo("a"), "10s").Should(Equal([]string{"unload m0"}))
		Eventually(f.sentTo("b"), "10s").Should(HaveLen(2))
		Expect(f.sentTo("b")()).To(Equal([]string{"unload m1", "load m3"}))
	})
})
