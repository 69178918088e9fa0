package coordinator_test

import (
	"context"
	"net"
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
	"primrosehook/tailer"
)

const (
	// configBytes is the size of the configuration, slowLinkRate the rate of each
	// connection in bytes per second: it takes longer than an exchange may.
	configBytes  = 280 << 10
	slowLinkRate = 400 << 10
)

// slowListener accepts connections that write at slowLinkRate, and counts the bytes.
type slowListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l.sent}, err
}

type slowConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c slowConn) Write(b []byte) (int, error) {
	const chunk = 4 << 10
	for n := 0; n < len(b); {
		part := b[n:min(n+chunk, len(b))]
		time.Sleep(time.Duration(len(part)) * time.Second / slowLinkRate)
		m, err := c.Conn.Write(part)
		c.sent.Add(int64(m))
		n += m
		if err != nil {
			return n, err
		}
	}
	return len(b), nil
}

// tableSink is a sink that puts the configuration's version in force.
type tableSink struct{ table atomic.Pointer[matcher.Table] }

func (s *tableSink) Full([]tailer.Record, int64) {}

func (s *tableSink) Apply(list []tailer.Record) {
	if len(list) > 0 {
		s.table.Store(matcher.NewTable(2, nil, nil, matcher.Limits{}))
	}
}

var _ = Describe("An exchange", func() {
	// Guards against giving up a reply that is arriving, taking the lease holder for
	// silent, and loading the link with the same configuration again.
	It("delivers a configuration once over a link on which it takes long", func() {
		clock := clockwork.NewRealClock()
		log, sent := &sharedLog{}, &atomic.Int64{}
		var all []*coordinator.Coordinator
		var sinks []*tableSink
		for _, name := range []string{"a", "b", "c"} {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			sink := &tableSink{}
			sink.table.Store(matcher.NewTable(1, nil, nil, matcher.Limits{}))
			stream := func(sink tailer.Sink) *tailer.Tailer {
				return tailer.New("stream", &countingSource{}, sink, clock, zap.NewNop(), tailer.WithInterval(func() time.Duration { return 100 * time.Millisecond }), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
			}
			registry, config := stream(discard{}), stream(sink)
			c := coordinator.New(coordinator.Dependencies{
				Instance: name, Machine: name, Address: listener.Addr().String(), LinkMbps: 1000, OrderGap: 300 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
				LeaseLog: log, Fleet: balancer.NewFleet("z", 1, clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Registry: registry, Config: config,
				Table: sink.table.Load, Clock: clock, Boot: clocker.SystemClock{}, Log: zap.NewNop(), Meter: discard{},
				Peers: messenger.NewClient(clock, messenger.WithMaxSilence(time.Second)), OnMembers: func([]string) {},
			})
			s := messenger.NewServer(zap.NewNop())
			c.Serve(s)
			go func() { _ = s.Serve(ctx, slowListener{listener, sent}) }()
			go registry.Run(ctx)
			go config.Run(ctx)
			go c.Run(ctx)
			all, sinks = append(all, c), append(sinks, sink)
		}
		for _, c := range all {
			Eventually(c.Instances, "8s").Should(Equal(3))
		}
		// All but one instance have the new version.
		receiver := 0
		if all[0].HoldsLease() {
			receiver = 1
		}
		before := sent.Load()
		for i := range all {
			if i != receiver {
				sinks[i].table.Store(matcher.NewTable(2, nil, nil, matcher.Limits{}))
			}
		}
		// Their next reports say so before the holder has the new version to send.
		time.Sleep(500 * time.Millisecond)
		for i, c := range all {
			if i != receiver {
				c.UpdateConfig(tailer.Record{Offset: 1, Key: "config", Value: make([]byte, configBytes)}, 2)
			}
		}
		Eventually(func() int64 { return sinks[receiver].table.Load().Version }, "5s").Should(BeEquivalentTo(2))
		Expect(sent.Load() - before).To(BeNumerically("<", configBytes*3/2))
	})
})
