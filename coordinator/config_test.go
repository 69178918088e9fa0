package coordinator_test

import (
	"bytes"
	"context"
	"net"
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
	"primrosehook/tailer"
)

// unavailableSource is a stream that can't be read.
type unavailableSource struct{}

func (unavailableSource) Newest(context.Context) ([]tailer.Record, int64, error) {
	return nil, 0, errUnavailable
}

func (unavailableSource) Read(context.Context, int64, time.Duration) ([]tailer.Record, int64, error) {
	return nil, 0, errUnavailable
}

// recordSink keeps the newest record, which it puts in force as the version of its
// offset.
type recordSink struct {
	mu     sync.Mutex
	newest tailer.Record
}

func (s *recordSink) Full(list []tailer.Record, _ int64) { s.Apply(list) }

func (s *recordSink) Apply(list []tailer.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) > 0 {
		s.newest = list[len(list)-1]
	}
}

func (s *recordSink) value() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest.Value
}

func (s *recordSink) table() *matcher.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return matcher.NewTable(s.newest.Offset, nil, nil, matcher.Limits{})
}

var _ = Describe("A large configuration", func() {
	// Guards against an instance that stays with an old configuration since the store
	// rejects it, while its peers have the new one.
	DescribeTable("reaches an instance that can't read it from the store", func(source tailer.Source, size, narrow int, started bool) {
		clock := clockwork.NewRealClock()
		log := &sharedLog{}
		var all []*coordinator.Coordinator
		sinks := []*recordSink{{}, {}, {}, {}}
		record := tailer.Record{Offset: 7, Key: "config", Value: bytes.Repeat([]byte("0123456789abcdef"), size/16)}
		for i, sink := range sinks {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			var configSource tailer.Source = &countingSource{}
			link := 1000.0
			if i < narrow {
				configSource, link = source, 10
			}
			interval := func() time.Duration { return 100 * time.Millisecond }
			registry := tailer.New("registry", &countingSource{}, discard{}, clock, zap.NewNop(), tailer.WithInterval(interval), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
			config := tailer.New("config", configSource, sink, clock, zap.NewNop(), tailer.WithInterval(interval), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
			name := string(rune('a' + i))
			c := coordinator.New(coordinator.Dependencies{
				Instance: name, Machine: name, Address: listener.Addr().String(), LinkMbps: link, OrderGap: 300 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
				LeaseLog: log, Fleet: balancer.NewFleet("z", 1, clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Registry: registry, Config: config,
				Table: sink.table, Clock: clock, Boot: clocker.SystemClock{}, Log: zap.NewNop(), Meter: discard{},
				Peers: messenger.NewClient(clock, messenger.WithMaxSilence(time.Second)), OnMembers: func([]string) {},
			})
			s := messenger.NewServer(zap.NewNop())
			c.Serve(s)
			go func() { _ = s.Serve(ctx, listener) }()
			go registry.Run(ctx)
			go config.Run(ctx)
			if i >= narrow && started {
				c.UpdateConfig(record, record.Offset)
				sink.Apply([]tailer.Record{record})
			}
			go c.Run(ctx)
			all = append(all, c)
		}
		for _, c := range all {
			Eventually(c.Instances, "8s").Should(Equal(len(all)))
		}
		for i, c := range all {
			if i >= narrow && !started {
				c.UpdateConfig(record, record.Offset)
				sinks[i].Apply([]tailer.Record{record})
			}
		}
		for _, sink := range sinks[:narrow] {
			Eventually(sink.value, "3s").Should(Equal(record.Value))
		}
	},
		Entry("with a configuration of its own before", unavailableSource{}, 400<<10, 1, false),
		Entry("that has just started", unavailableSource{}, 400<<10, 1, true),
		Entry("like another one", unavailableSource{}, 1<<20, 2, false),
		Entry("whose reads of the store are behind", &countingSource{}, 400<<10, 1, false),
	)
})

var _ = Describe("An instance without a configuration", func() {
	// Guards against peers that take a position in the configuration's stream from an instance
	// that has not read it, and never get the first configuration.
	It("gives its peers no record and no position", func() {
		all := startInstances(1, 0, &sharedLog{})
		Eventually(all[0].coordinator.HoldsLease, "5s").Should(BeTrue())
		peers := messenger.NewClient(clockwork.NewRealClock())
		var reply coordinator.Reply
		Expect(peers.Call(context.Background(), all[0].address, "exchange", coordinator.Report{Instance: "b", Config: -1}, &reply)).To(Succeed())
		Expect(reply.HoldsLease).To(BeTrue())
		Expect(reply.Config).To(BeEmpty())
		Expect(reply.ConfigNext).To(BeZero())
		var part coordinator.ConfigPart
		Expect(peers.Call(context.Background(), all[0].address, "config", coordinator.ConfigQuery{Offset: -1}, &part)).To(Succeed())
		Expect(part.Version).To(BeEquivalentTo(-1))
	})
})
