package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
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

// busyAdapter is a server with one adapter slot. Its adapter is in use, so that it
// accepts the unload but keeps the adapter loaded until release.
type busyAdapter struct {
	mu     sync.Mutex
	orders int64
	loaded []string
	sent   []string
}

func (b *busyAdapter) Send(_ context.Context, _ registrar.Server, o coordinator.Order, _ func() bool) (coordinator.Outcome, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders++
	b.sent = append(b.sent, o.Op.String()+" "+o.Adapter)
	if o.Op == serviceplanner.Load {
		b.loaded = append(b.loaded, o.Adapter)
	}
	return coordinator.Accepted, nil
}

func (b *busyAdapter) Report(context.Context, registrar.Server) (coordinator.ServerReport, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return coordinator.ServerReport{Orders: b.orders, Loaded: []registrar.LoadedModel{{Model: "m0", Adapters: slices.Clone(b.loaded)}}}, nil
}

func (b *busyAdapter) sentOrders() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.sent)
}

func (b *busyAdapter) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded = nil
}

// startReconciler starts an instance that holds the lease.
func startReconciler(e *matcher.Engine, sender coordinator.OrderSender, servers []registrar.Server) *balancer.Fleet {
	table := &matcher.Table{Services: map[string]matcher.Service{"llm": {Engine: e}}}
	clock := clockwork.NewRealClock()
	fleet := balancer.NewFleet("z", 1, clock)
	stream := tailer.New("stream", &countingSource{}, discard{}, clock, zap.NewNop())
	c := coordinator.New(coordinator.Dependencies{
		Instance: "i", Machine: "i", Address: "i", OrderGap: 100 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
		LeaseLog: &sharedLog{}, OrderSender: sender, Fleet: fleet, Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()),
		Registry: stream, Config: stream, Meter: discard{}, Table: func() *matcher.Table { return table }, Clock: clock, Boot: clocker.SystemClock{},
		Log: zap.NewNop(), Peers: messenger.NewClient(clock), OnMembers: func([]string) {},
	})
	for i := range servers {
		servers[i].Incarnation, servers[i].Service, servers[i].ReadAt = servers[i].ID, "llm", clock.Now()
	}
	c.UpdateRegistry(nil, servers)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go c.Run(ctx)
	return fleet
}

func engineOf(models ...matcher.Model) *matcher.Engine {
	e := &matcher.Engine{MemoryMB: 230, AdapterSlots: 1, ColdLoadsPerSecond: 5, Models: map[string]matcher.Model{}}
	for _, m := range models {
		m.SizeMB, m.ColdLoadTime = 72, time.Millisecond
		e.Models[m.Name] = m
	}
	return e
}

// laggingServer is a server with room for three models that is completing the load of a third
// one, which the former lease holder ordered. What its reports say of loaded models lags behind
// what they say of orders.
type laggingServer struct {
	mu        sync.Mutex
	completes time.Time
	orders    int64
	loaded    []string
	exceeded  bool
}

// reportLag is how far the loaded models of a report lag behind.
const reportLag = 200 * time.Millisecond

func (s *laggingServer) Send(_ context.Context, _ registrar.Server, o coordinator.Order, _ func() bool) (coordinator.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.completes) || o.ExpectedOrders != s.orders {
		return coordinator.Conflict, nil
	}
	holds := slices.Contains(s.loaded, o.Model)
	if holds == (o.Op == serviceplanner.Load) {
		return coordinator.AlreadyApplied, nil
	}
	s.orders++
	if holds {
		s.loaded = slices.DeleteFunc(s.loaded, func(m string) bool { return m == o.Model })
		return coordinator.Accepted, nil
	}
	s.loaded = append(s.loaded, o.Model)
	s.exceeded = s.exceeded || len(s.loaded) > 3
	return coordinator.Accepted, nil
}

func (s *laggingServer) Report(context.Context, registrar.Server) (coordinator.ServerReport, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	r := coordinator.ServerReport{Orders: s.orders, Busy: now.Before(s.completes)}
	for _, m := range s.loaded {
		if m != "m2" || now.After(s.completes.Add(reportLag)) {
			r.Loaded = append(r.Loaded, registrar.LoadedModel{Model: m})
		}
	}
	return r, nil
}

var _ = Describe("Orders", func() {
	// Guards against a load for which a server has no room, right after a hand-over: the load that
	// the former holder ordered was completed, and the report did not show its model yet.
	It("load nothing on a server before its reports must show what an earlier holder ordered", func() {
		var servers []*laggingServer
		for seed := range 20 {
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			s := &laggingServer{completes: time.Now().Add(time.Duration(random.IntN(500)) * time.Millisecond), orders: 5, loaded: []string{"m0", "m1", "m2"}}
			servers = append(servers, s)
			e := engineOf(matcher.Model{Name: "m0"}, matcher.Model{Name: "m1"}, matcher.Model{Name: "m2"}, matcher.Model{Name: "m3"})
			fleet := startReconciler(e, s, []registrar.Server{{ID: "a", Loaded: []registrar.LoadedModel{{Model: "m0"}, {Model: "m1"}}}})
			fleet.RecordArrival("llm", balancer.Request{Model: "m3"})
		}
		time.Sleep(1500 * time.Millisecond)
		for seed, s := range servers {
			s.mu.Lock()
			Expect(s.exceeded).To(BeFalse(), "seed %d", seed)
			s.mu.Unlock()
		}
	})

	// Guards against unloading the other replica of a model whose unload got no
	// reply and may still be executed, which leaves the model without one.
	It("count a replica as loaded only once its unanswered unload can no longer be executed", func() {
		full := func() map[string]bool { return map[string]bool{"m0": true, "m1": true, "m2": true} }
		f := &fakeServers{
			silent: "a", loaded: map[string]map[string]bool{"a": full(), "b": full()},
			orders: map[string]int64{}, sent: map[string][]serviceplanner.Order{},
		}
		e := engineOf(matcher.Model{Name: "m0"}, matcher.Model{Name: "m1"}, matcher.Model{Name: "m2"}, matcher.Model{Name: "m3"})
		fleet := startReconciler(e, f, []registrar.Server{{ID: "a", Loaded: f.models("a")}, {ID: "b", Loaded: f.models("b")}})
		for range 10 {
			fleet.RecordArrival("llm", balancer.Request{Model: "m3"})
		}
		Eventually(f.sentTo("a"), "10s").Should(Equal([]string{"unload m0"}))
		Eventually(f.sentTo("b"), "10s").Should(HaveLen(2))
		Expect(f.sentTo("b")()).To(Equal([]string{"unload m1", "load m3"}))
	})

	// Guards against a load into the slot of an adapter that is still in use, which
	// crashes the server.
	It("load an adapter only once the one that it replaces is unloaded", func() {
		b := &busyAdapter{loaded: []string{"a1"}}
		fleet := startReconciler(engineOf(matcher.Model{Name: "m0", Adapters: 2, AdapterSizeMB: 1}), b,
			[]registrar.Server{{ID: "a", Loaded: []registrar.LoadedModel{{Model: "m0", Adapters: []string{"a1"}}}}})
		for range 100 {
			fleet.RecordArrival("llm", balancer.Request{Model: "m0", Adapter: "a2"})
		}
		Eventually(b.sentOrders, "10s").Should(Equal([]string{"unload a1"}))
		Consistently(b.sentOrders, "500ms").Should(Equal([]string{"unload a1"}))
		b.release()
		Eventually(b.sentOrders, "10s").Should(Equal([]string{"unload a1", "load a2"}))
	})

	// Guards against more loads from the weight store than it accepts: the copies of
	// weights that the registry names may be gone when the order is sent.
	It("count a load from the weight store if the server no longer has the weights at hand", func() {
		f := &fakeServers{loaded: map[string]map[string]bool{}, orders: map[string]int64{}, sent: map[string][]serviceplanner.Order{}}
		var models []matcher.Model
		var servers []registrar.Server
		for i := range 20 {
			model, id := fmt.Sprint("m", i), fmt.Sprint("s", i)
			models = append(models, matcher.Model{Name: model})
			f.loaded[id] = map[string]bool{}
			servers = append(servers, registrar.Server{ID: id, InMemory: []string{model}})
		}
		e := engineOf(models...)
		startReconciler(e, f, servers)
		loads := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			n := 0
			for _, list := range f.sent {
				n += len(list)
			}
			return n
		}
		Eventually(loads, "10s", "5ms").Should(BeNumerically(">", 0))
		// The rate of the weight store in a second, and three.
		Consistently(loads, "900ms", "5ms").Should(BeNumerically("<=", 5+3))
		Eventually(loads, "10s").Should(Equal(20))
	})
})
