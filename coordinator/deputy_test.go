package coordinator_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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
	"primrosehook/tailer"
)

// sharedLog is a log of the lease that all instances use.
type sharedLog struct {
	mu      sync.Mutex
	records []coordinator.LogRecord
	closed  bool
}

func (l *sharedLog) Read(_ context.Context, from int64, _ time.Duration) ([]coordinator.LogRecord, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[min(int(from), len(l.records)):], int64(len(l.records)), nil
}

func (l *sharedLog) Append(_ context.Context, value []byte, at int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errUnavailable
	}
	if at != int64(len(l.records)) {
		return coordinator.ErrOffsetMismatch
	}
	l.records = append(l.records, coordinator.LogRecord{Offset: at, Value: value})
	return nil
}

// close makes all later appends fail, so that no instance acquires the lease.
func (l *sharedLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// countingSource is a stream without records that counts its reads.
type countingSource struct{ reads atomic.Int64 }

func (c *countingSource) Newest(context.Context) ([]tailer.Record, int64, error) {
	c.reads.Add(1)
	return nil, 0, nil
}

func (c *countingSource) Read(_ context.Context, from int64, _ time.Duration) ([]tailer.Record, int64, error) {
	c.reads.Add(1)
	return nil, from, nil
}

type discard struct{}

func (discard) Full([]tailer.Record, int64) {}
func (discard) Apply([]tailer.Record)       {}
func (discard) Add(string, int64)           {}

// instance is one coordinator with its fleet and its registry stream.
type instance struct {
	coordinator *coordinator.Coordinator
	fleet       *balancer.Fleet
	registry    *countingSource
	config      *countingSource
	address     string
	stop        context.CancelFunc
}

// startInstances starts count instances, of which the first have narrow links.
func startInstances(count, narrow int, l *sharedLog) []*instance {
	var all []*instance
	clock := clockwork.NewRealClock()
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		m := &instance{fleet: balancer.NewFleet("z", uint64(i), clock), registry: &countingSource{}, config: &countingSource{}, address: listener.Addr().String(), stop: cancel}
		m.fleet.Update([]registrar.Server{{ID: "s", Incarnation: "s", Service: "llm", Address: "127.0.0.1:1", Zone: "z", Slots: 64, Loaded: []registrar.LoadedModel{{Model: "m"}}}})
		interval := func() time.Duration { return 100 * time.Millisecond }
		registry := tailer.New("registry", m.registry, discard{}, clock, zap.NewNop(), tailer.WithInterval(interval), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
		config := tailer.New("config", m.config, discard{}, clock, zap.NewNop(), tailer.WithInterval(interval), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
		name := fmt.Sprint("i", i)
		link := 1000.0
		if i < narrow {
			link = 10
		}
		m.coordinator = coordinator.New(coordinator.Dependencies{
			Instance: name, Machine: name, Address: listener.Addr().String(), LinkMbps: link, OrderGap: 300 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
			LeaseLog: l, Fleet: m.fleet, Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Registry: registry, Config: config,
			Table: func() *matcher.Table { return nil }, Clock: clock, Boot: clocker.SystemClock{}, Log: zap.NewNop(), Meter: discard{},
			Peers: messenger.NewClient(clock), OnMembers: func([]string) {},
		})
		s := messenger.NewServer(zap.NewNop())
		m.coordinator.Serve(s)
		go func() { _ = s.Serve(ctx, listener) }()
		go registry.Run(ctx)
		go config.Run(ctx)
		go m.coordinator.Run(ctx)
		all = append(all, m)
	}
	return all
}

var _ = Describe("Deputies", func() {
	var l *sharedLog
	var remaining []*instance
	BeforeEach(func() {
		l = &sharedLog{}
		remaining = startInstances(5, 2, l)
		holder := -1
		Eventually(func() int {
			for i, m := range remaining {
				if m.coordinator.HoldsLease() {
					holder = i
				}
			}
			return holder
		}, "5s").Should(BeNumerically(">=", 0))
		for _, m := range remaining {
			Eventually(m.coordinator.Instances, "5s").Should(Equal(5))
		}
		Expect(holder).To(BeNumerically(">=", 2), "an instance with a narrow link would delay every report")
		l.close()
		remaining[holder].stop()
		remaining = append(remaining[:holder], remaining[holder+1:]...)
	})

	// Guards against the load on the store when the lease holder of a large fleet
	// stops and no instance can acquire the lease: every instance would read the
	// store at the holder's pace.
	It("read the store for all instances while no lease holder replies", func() {
		readers := func() int {
			before := make([]int64, len(remaining))
			for i, m := range remaining {
				before[i] = m.registry.reads.Load()
			}
			time.Sleep(time.Second)
			n := 0
			for i, m := range remaining {
				if m.registry.reads.Load()-before[i] > 2 {
					n++
				}
			}
			return n
		}
		Eventually(readers, "10s").Should(Equal(1))
	})

	It("send each instance its peers' in-flight counts", func() {
		q := balancer.Request{Model: "m", PromptTokens: 100, OutputTokens: 10}
		assigned, status := remaining[0].fleet.Take("llm", q)
		Expect(status).To(Equal(balancer.Found))
		for _, m := range remaining[1:] {
			Eventually(func() int { return m.fleet.Congestion("llm", q).InFlight }, "5s").Should(Equal(1))
		}
		_, _ = remaining[1].fleet.Take("llm", q)
		Eventually(func() int { return remaining[2].fleet.Congestion("llm", q).InFlight }, "5s").Should(Equal(2))
		assigned.Done(false)
		Eventually(func() int { return remaining[2].fleet.Congestion("llm", q).InFlight }, "5s").Should(Equal(1))
		remaining[1].stop()
		Eventually(func() int { return remaining[2].fleet.Congestion("llm", q).InFlight }, "10s").Should(BeZero())
	})
})

// Guards against a share of the retry budget that is too large while a new lease holder
// has heard of a few instances only: the sum over all of them then exceeds the budget.
var _ = Describe("The number of instances", func() {
	It("does not drop while a new lease holder gets the first reports", func() {
		l := &sharedLog{}
		all := startInstances(6, 0, l)
		holder := -1
		Eventually(func() int {
			holder = slices.IndexFunc(all, func(m *instance) bool { return m.coordinator.HoldsLease() })
			return holder
		}, "5s").Should(BeNumerically(">=", 0))
		for _, m := range all {
			Eventually(m.coordinator.Instances, "5s").Should(Equal(6))
		}
		all[holder].stop()
		remaining := append(all[:holder:holder], all[holder+1:]...)
		fewest := 6
		Eventually(func() bool {
			taken := false
			for _, m := range remaining {
				fewest = min(fewest, m.coordinator.Instances())
				taken = taken || m.coordinator.HoldsLease()
			}
			return taken
		}, "10s", "1ms").Should(BeTrue())
		Consistently(func() int {
			for _, m := range remaining {
				fewest = min(fewest, m.coordinator.Instances())
			}
			return fewest
		}, "1s", "1ms").Should(BeNumerically(">=", 5))
	})
})

// Guards against replies that take longer than the timeout of an exchange on a
// narrow link: the holder is then taken for dead, and the configuration is sent
// again by a deputy and by the store.
var _ = Describe("A large configuration", func() {
	It("is read from the store by instances with a narrow link", func() {
		all := startInstances(4, 3, &sharedLog{})
		holder := -1
		Eventually(func() int {
			holder = slices.IndexFunc(all, func(m *instance) bool { return m.coordinator.HoldsLease() })
			return holder
		}, "5s").Should(Equal(3))
		others := all[:holder]
		reads := func() (list []int64) {
			for _, m := range others {
				list = append(list, m.config.reads.Load())
			}
			return list
		}
		for _, m := range others {
			Eventually(m.coordinator.Instances, "5s").Should(Equal(4))
		}
		before := reads()
		Eventually(func() bool {
			last := before
			before = reads()
			return slices.Equal(last, before)
		}, "5s", "1s").Should(BeTrue(), "the holder's feed replaces reads of the store")
		for _, m := range all {
			m.coordinator.UpdateConfig(tailer.Record{Offset: 1, Key: "config", Value: make([]byte, 400<<10)}, 1)
		}
		for i, m := range others {
			Eventually(m.config.reads.Load, "2s").Should(BeNumerically(">", before[i]))
		}
	})

	DescribeTable("is part of a reply only if it arrives in time",
		func(size, narrow, instances int, link float64, count int) {
			m := startInstances(1, narrow, &sharedLog{})[0]
			Eventually(m.coordinator.HoldsLease, "5s").Should(BeTrue())
			m.coordinator.UpdateConfig(tailer.Record{Offset: 1, Key: "config", Value: make([]byte, size)}, 1)
			peers := messenger.NewClient(clockwork.NewRealClock())
			var reply coordinator.Reply
			for i := range instances {
				reply = coordinator.Reply{}
				Expect(peers.Call(context.Background(), m.address, "exchange", coordinator.Report{Instance: fmt.Sprint("other", i), Link: link, Config: -1}, &reply)).To(Succeed())
			}
			Expect(reply.HoldsLease).To(BeTrue())
			Expect(len(reply.Config)).To(Equal(count))
			Expect(reply.ConfigInStore).To(Equal(count == 0))
			Expect(reply.ConfigFresh && reply.ConfigInStore).To(BeFalse(), "a fresh feed stops the reads of the store")
		},
		Entry("a small one to a narrow link", 64<<10, 0, 1, 10.0, 1),
		Entry("a large one to a narrow link", 400<<10, 0, 1, 10.0, 0),
		Entry("a large one to a wide link", 400<<10, 0, 1, 1000.0, 1),
		Entry("a small one from a narrow link to one instance", 64<<10, 1, 1, 1000.0, 1),
		Entry("a small one from a narrow link to many instances", 64<<10, 1, 20, 1000.0, 0),
	)
})
