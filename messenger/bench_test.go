package messenger_test

import (
	"context"
	"net"
	"runtime"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/messenger"
)

func pong(context.Context, msgpack.RawMessage) (any, error) { return "pong", nil }

// BenchmarkCall reports the time of a small call, and its bytes on the wire as
// the client counts them, both directions together.
func BenchmarkCall(b *testing.B) {
	s := messenger.NewServer(zap.NewNop())
	s.Handle("ping", pong)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &peer{server: s}
	go p.runServe(ctx, l)
	client := messenger.NewClient(clockwork.NewRealClock())
	defer client.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := client.Call(ctx, l.Addr().String(), "ping", "ping", nil); err != nil {
			b.Fatal(err)
		}
	}
	stats := client.Stats()
	b.ReportMetric(float64(stats.BytesSent+stats.BytesReceived)/float64(b.N), "B/call")
}

// BenchmarkLinks reports the memory of an idle connection, both ends together.
func BenchmarkLinks(b *testing.B) {
	s := messenger.NewServer(zap.NewNop(), messenger.WithMaxConns(b.N+1))
	s.Handle("ping", pong)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &peer{server: s}
	go p.runServe(ctx, l)
	clients := make([]*messenger.Client, b.N)
	before := memory()
	for i := range clients {
		clients[i] = messenger.NewClient(clockwork.NewRealClock())
		if err := clients[i].Call(ctx, l.Addr().String(), "ping", "ping", nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(memory()-before)/float64(b.N)/1024, "KB/link")
	for _, c := range clients {
		c.Close()
	}
}

// memory returns the bytes of heap and stacks in use after a garbage
// collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
