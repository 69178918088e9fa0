package upgrader_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"strings"
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
	"primrosehook/pacer"
	"primrosehook/pinner"
	"primrosehook/quarantiner"
	"primrosehook/sequencer"
	"primrosehook/sparer"
	"primrosehook/tailer"
	"primrosehook/throttler"
)

// emptyStore is a store without records whose log takes all appends.
type emptyStore struct{}

func (emptyStore) Newest(context.Context) ([]tailer.Record, int64, error) { return nil, 0, nil }

func (emptyStore) Read(_ context.Context, from int64, _ time.Duration) ([]tailer.Record, int64, error) {
	return nil, from, nil
}

// emptyLog is a log of the lease without entries.
type emptyLog struct{}

func (emptyLog) Read(_ context.Context, from int64, _ time.Duration) ([]coordinator.LogRecord, int64, error) {
	return nil, from, nil
}
func (emptyLog) Append(context.Context, []byte, int64) error { return nil }

// discard receives records and counts, and drops them.
type discard struct{}

func (discard) Full([]tailer.Record, int64) {}
func (discard) Apply([]tailer.Record)       {}
func (discard) Add(string, int64)           {}

// serveAll serves the messages of all parts of an instance and returns its address.
func serveAll() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	clock, address, log := clockwork.NewRealClock(), listener.Addr().String(), zap.NewNop()
	peers := messenger.NewClient(clock)
	stream := tailer.New("stream", emptyStore{}, discard{}, clock, log)
	limits := throttler.New(address, nil, peers, clock, clocker.SystemClock{}, log)
	c := coordinator.New(coordinator.Dependencies{
		Instance: "i", Machine: "i", Address: address, LinkMbps: 1000, OrderGap: time.Second, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
		LeaseLog: emptyLog{}, Fleet: balancer.NewFleet("z", 1, clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Limits: limits,
		Registry: stream, Config: stream, Table: func() *matcher.Table { return nil }, Clock: clock, Boot: clocker.SystemClock{}, Log: log, Meter: discard{},
		Peers: peers, OnMembers: func([]string) {},
	})
	s := messenger.NewServer(log)
	c.Serve(s)
	limits.Serve(s)
	pacer.New(address, nil, peers, clock, log).Serve(s)
	pinner.New(address, nil, peers, clock, log).Serve(s)
	sparer.New(address, nil, peers, clock, log).Serve(s)
	sequencer.New(address, nil, peers, clock, log).Serve(s)
	go func() { _ = s.Serve(ctx, listener) }()
	go c.Run(ctx)
	return address
}

// garble changes, drops, repeats or inserts some bytes.
func garble(random *rand.Rand, raw []byte) []byte {
	out := bytes.Clone(raw)
	for range 1 + random.IntN(4) {
		at := random.IntN(len(out) + 1)
		switch n := random.IntN(4); {
		case n == 0 && at < len(out):
			out[at] = byte(random.IntN(256))
		case n == 1:
			out = out[:at]
		case n == 2:
			out = append(out[:at:at], append(bytes.Clone(out[at:]), out[at:]...)...)
		default:
			out = append(out[:at:at], append([]byte{byte(random.IntN(256))}, out[at:]...)...)
		}
		if len(out) == 0 {
			out = []byte{0xc1}
		}
	}
	return out
}

var _ = Describe("Malformed messages", func() {
	// Guards against one message of a faulty peer that ends the process, or leaves it unable to
	// answer sound ones: each handler runs in a goroutine of the receiver.
	It("are refused or passed over, and sound ones are answered after each of them", func() {
		address := serveAll()
		client := messenger.NewClient(clockwork.NewRealClock())
		random := rand.New(rand.NewPCG(7, 1))
		for name, raw := range golden("testdata/formats-1.json") {
			kind, ok := strings.CutSuffix(name, " request")
			if !ok || kind == "pause" {
				continue
			}
			for range 200 {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				var reply msgpack.RawMessage
				// It may be decoded by chance, or refused.
				_ = client.Call(ctx, address, kind, msgpack.RawMessage(garble(random, raw)), &reply)
				cancel()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			var reply msgpack.RawMessage
			Expect(client.Call(ctx, address, kind, msgpack.RawMessage(raw), &reply)).To(Succeed(), kind)
			cancel()
		}
	})
})
