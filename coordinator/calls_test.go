package coordinator_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/clocker"
	"primrosehook/coordinator"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/tailer"
)

// countedStore is a store whose calls are counted by kind. Reads of the lease and the
// configuration wait for a record, as long as they ask for.
type countedStore struct {
	sharedLog
	lease, config, registry atomic.Int64
}

func (s *countedStore) calls() int64 {
	return s.lease.Load() + s.config.Load() + s.registry.Load()
}

func (s *countedStore) Read(ctx context.Context, from int64, wait time.Duration) ([]coordinator.LogRecord, int64, error) {
	s.lease.Add(1)
	for end := time.Now().Add(wait); ; time.Sleep(20 * time.Millisecond) {
		list, next, err := s.sharedLog.Read(ctx, from, 0)
		if len(list) > 0 || err != nil || time.Now().After(end) || ctx.Err() != nil {
			return list, next, err
		}
	}
}

func (s *countedStore) Append(ctx context.Context, value []byte, at int64) error {
	s.lease.Add(1)
	return s.sharedLog.Append(ctx, value, at)
}

// countedTopic is a topic of a countedStore with one record, as one instance sees it.
type countedTopic struct {
	calls   *atomic.Int64
	waits   bool
	refused *atomic.Bool
}

func (t countedTopic) Newest(context.Context) ([]tailer.Record, int64, error) {
	t.calls.Add(1)
	if t.refused.Load() {
		return nil, 0, errUnavailable
	}
	return []tailer.Record{{Offset: 0, Key: "k", Value: []byte("v")}}, 1, nil
}

func (t countedTopic) Read(ctx context.Context, from int64, wait time.Duration) ([]tailer.Record, int64, error) {
	t.calls.Add(1)
	if t.refused.Load() {
		return nil, from, errUnavailable
	}
	if t.waits {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
	return nil, from, nil
}

// refusingLog is the lease's log as one instance sees it.
type refusingLog struct {
	*countedStore
	refused *atomic.Bool
}

func (l refusingLog) Read(ctx context.Context, from int64, wait time.Duration) ([]coordinator.LogRecord, int64, error) {
	if l.refused.Load() {
		l.lease.Add(1)
		return nil, from, errUnavailable
	}
	return l.countedStore.Read(ctx, from, wait)
}

func (l refusingLog) Append(ctx context.Context, value []byte, at int64) error {
	if l.refused.Load() {
		l.lease.Add(1)
		return errUnavailable
	}
	return l.countedStore.Append(ctx, value, at)
}

// fleetInstance is one instance of a fleet that uses a countedStore. The store refuses it while
// refused is set.
type fleetInstance struct {
	coordinator *coordinator.Coordinator
	registry    *tailer.Tailer
	refused     *atomic.Bool
	stop        context.CancelFunc
}

// startFleet starts instances of which so many have wide links; three are seeds.
func startFleet(store *countedStore, count, wide int) []*fleetInstance {
	var listeners []net.Listener
	var seeds []string
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listeners = append(listeners, l)
		if i%max(count/3, 1) == 0 && len(seeds) < 3 {
			seeds = append(seeds, l.Addr().String())
		}
	}
	var all []*fleetInstance
	for i, l := range listeners {
		link := 20.0
		if i < wide {
			link = 200
		}
		all = append(all, startInstanceOn(l, store, i, link, seeds))
	}
	return all
}

// startInstanceOn starts an instance with a number that listens for peers.
func startInstanceOn(l net.Listener, store *countedStore, i int, link float64, seeds []string) *fleetInstance {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	address := l.Addr().String()
	m := &fleetInstance{stop: cancel, refused: &atomic.Bool{}}
	ttl := func() time.Duration { return m.coordinator.ReplyTTL() }
	delay := tailer.WithStartDelay(coordinator.StartDelay(link, address, seeds))
	registry := tailer.New("registry", countedTopic{&store.registry, false, m.refused}, discard{}, clock, zap.NewNop(), tailer.WithInterval(func() time.Duration { return time.Second }), tailer.WithFeedTTL(ttl), delay)
	config := tailer.New("config", countedTopic{&store.config, true, m.refused}, discard{}, clock, zap.NewNop(), tailer.WithWait(600*time.Millisecond), tailer.WithFeedTTL(ttl), delay)
	m.coordinator = coordinator.New(coordinator.Dependencies{
		Instance: fmt.Sprint("i", i), Machine: fmt.Sprint("i", i), Address: address, Seeds: seeds, LinkMbps: link, OrderGap: 300 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
		LeaseLog: refusingLog{store, m.refused}, Fleet: balancer.NewFleet("z", uint64(i), clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Registry: registry, Config: config,
		Table: func() *matcher.Table { return nil }, Clock: clock, Boot: clocker.SystemClock{}, Log: zap.NewNop(), Meter: discard{},
		Peers: messenger.NewClient(clock, messenger.WithMaxSilence(time.Second)), OnMembers: func([]string) {},
	})
	s := messenger.NewServer(zap.NewNop())
	m.coordinator.Serve(s)
	go func() { _ = s.Serve(ctx, l) }()
	m.registry = registry
	go registry.Run(ctx)
	go config.Run(ctx)
	go m.coordinator.Run(ctx)
	return m
}

var _ = Describe("Calls to the store", func() {
	// Guards against a fleet of which each instance reads the store by itself: the pause
	// between two reports grows with the number of instances, and was longer than a reply
	// counted from some 190 instances on.
	DescribeTable("do not grow with the number of instances", func(count, wide int) {
		store := &countedStore{}
		all := startFleet(store, count, wide)
		for _, m := range all {
			Eventually(m.coordinator.Instances, "20s").Should(BeNumerically(">", count/2))
		}
		// Each instance with a wide link reads three streams, and the lease until it has a holder.
		Expect(store.calls()).To(BeNumerically("<", 20*(wide+3)), "at the start")
		time.Sleep(2 * time.Second)
		measure := func(span time.Duration) (perSecond float64) {
			before := store.calls()
			for range int(span / time.Second) {
				time.Sleep(time.Second)
				GinkgoWriter.Printf("calls so far: lease %d, configuration %d, registry %d\n", store.lease.Load(), store.config.Load(), store.registry.Load())
			}
			return float64(store.calls()-before) / span.Seconds()
		}
		Expect(measure(4*time.Second)).To(BeNumerically("<", 6), "while calm")
		for _, m := range all {
			if m.coordinator.HoldsLease() {
				m.stop()
			}
		}
		// Three deputies read three streams until one of them holds the lease.
		Expect(measure(5*time.Second)).To(BeNumerically("<", 40), "after the loss of the lease holder")
	},
		Entry("6 instances", 6, 6),
		Entry("80 instances", 80, 8),
		Entry("195 instances", 195, 15),
		Entry("390 instances", 390, 15),
	)

	// Guards against a read of the lease by each instance that joins a large fleet: its first reply
	// names the number of instances, by which the pause until the next report was longer than
	// that reply counted.
	It("do not include reads of the lease by an instance between its first reports to the holder", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		var reports atomic.Int64
		s := messenger.NewServer(zap.NewNop())
		s.Handle("exchange", func(context.Context, msgpack.RawMessage) (any, error) {
			reports.Add(1)
			return coordinator.Reply{HoldsLease: true, Instances: 390, RegistryFresh: true, ConfigFresh: true}, nil
		})
		go func() { _ = s.Serve(ctx, l) }()
		store := &countedStore{}
		own, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		startInstanceOn(own, store, 0, 20, []string{l.Addr().String()})
		Consistently(store.lease.Load, "3s", "20ms").Should(BeZero())
		Expect(reports.Load()).To(BeNumerically(">=", 2))
	})

	// Guards against instances that know for seconds no more of the servers than a lease holder
	// that the store refuses: it still replies, and is a deputy itself, its own too.
	It("refused to the lease holder leave no instance without the registry for long", func() {
		all := startFleet(&countedStore{}, 60, 8)
		for _, m := range all {
			Eventually(m.coordinator.Instances, "20s").Should(BeNumerically(">", 30))
		}
		time.Sleep(2 * time.Second)
		for _, m := range all {
			if m.coordinator.HoldsLease() {
				m.refused.Store(true)
			}
		}
		Consistently(func() (oldest time.Duration) {
			for _, m := range all {
				oldest = max(oldest, m.registry.KnownAge())
			}
			return oldest
		}, "8s", "50ms").Should(BeNumerically("<", 4*time.Second), "the time within which requests to a leaving server must stop")
	})
})
