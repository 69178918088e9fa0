package poolmanager_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/driver"
	"primrosehook/lister"
	"primrosehook/poolmanager"
)

// BenchmarkDigest reports the encoded size of a digest of a pool of 20 engines with
// ten loaded models each: the full state, a changed load of each engine, and no
// change; the short form, for a query with the hash of the epoch; and queries.
func BenchmarkDigest(b *testing.B) {
	for _, kind := range []string{"whole", "loads", "nothing", "short loads", "short nothing", "query", "short query"} {
		b.Run(kind, func(b *testing.B) {
			d := poolmanager.Digest{Epoch: "127.0.0.1:8080.18f3a2b4c5d6/64a1b2c3", Version: 123_456, Holder: "127.0.0.1:8080.18f3a2b4c5d6", Fence: 1 << 30}
			var out any = &d
			switch {
			case kind == "query":
				out = poolmanager.Query{Pool: "survey", Epoch: d.Epoch, Since: d.Version}
			case kind == "short query":
				out = poolmanager.Query{Pool: "survey", EpochHash: 1 << 63, Since: d.Version}
			case strings.HasPrefix(kind, "short"):
				d = poolmanager.Digest{Version: d.Version, AcceptsHash: true}
			}
			for i := range 20 {
				if strings.HasSuffix(kind, "nothing") {
					break
				}
				c := poolmanager.Change{ID: uint32(i), Age: 350, Load: driver.Load{Running: 9, Waiting: 3, UsedMB: 61_234}}
				if kind == "whole" {
					c.Full = full(i)
				}
				d.Changes = append(d.Changes, c)
			}
			size := 0
			for b.Loop() {
				data, err := msgpack.Marshal(out)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func full(i int) *poolmanager.Full {
	f := &poolmanager.Full{
		Instance: lister.Instance{
			Name: fmt.Sprintf("10.1.2.%d:7100", i), Kind: lister.KindEngine, Pool: "survey", Region: "nl-west",
			Zone: "ams-a", Addr: fmt.Sprintf("10.1.2.%d:7100", i), State: lister.StateLive,
		},
		Boot: "18f3a2b4c5d6", Role: driver.RoleMixed, Total: 80_000, Reserve: 16_000, Batch: 16, Fence: 1 << 30,
	}
	for k := range 10 {
		f.Residents = append(f.Residents, driver.LoadedWeights{
			Weights: driver.Weights{Model: fmt.Sprintf("survey-%d", k), Adapter: "branch", Version: "2026-11"},
			State:   driver.StateReady, MemoryMB: 15_000,
		})
	}
	return f
}
