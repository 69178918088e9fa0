package relayer_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/peeker"
	"primrosehook/registrar"
	"primrosehook/relayer"
)

// BenchmarkRelay measures one request after the other on one client connection, through the
// relayer to a server that answers at once, with the 99th percentile of the latency.
func BenchmarkRelay(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(signedAnswer("body")))
	defer upstream.Close()
	fleet := balancer.NewFleet("z", 1, clockwork.NewRealClock())
	fleet.Update([]registrar.Server{{ID: "s0", Incarnation: "s0", Service: "svc", Address: upstream.Listener.Addr().String(), Zone: "z", Slots: 8}})
	relay := relayer.New(plainCodec{}, fleet, newGuard(), clockwork.NewRealClock(), zap.NewNop())
	relay.SetTable(matcher.NewTable(1, []matcher.Route{{
		Name: "read", Host: "h", Prefix: "/read/", Kind: matcher.Idempotent, Attempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Splits: []matcher.Split{{Service: "svc", Weight: 1}},
	}}, []matcher.Service{{Name: "svc"}}, matcher.Limits{MaxBodyBytes: 1 << 20}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	front := &http.Server{Handler: relay, ConnContext: peeker.WithClient}
	defer front.Close()
	go func() { _ = front.Serve(l) }()
	client := &http.Client{Transport: &http.Transport{}}
	var latencies []time.Duration
	for b.Loop() {
		q, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/read/1", nil)
		if err != nil {
			b.Fatal(err)
		}
		q.Host = "h"
		q.Header.Set("Id", "q1")
		began := time.Now()
		p, err := client.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, p.Body)
		p.Body.Close()
		if p.StatusCode != http.StatusOK {
			b.Fatal(p.StatusCode)
		}
		latencies = append(latencies, time.Since(began))
	}
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds()), "p99-ns")
}
