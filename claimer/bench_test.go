package claimer_test

import (
	"crypto/rand"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/claimer"
	"primrosehook/replayer"
)

// BenchmarkFull measures the memory and the snapshot size of a shard that is
// full of keys with response bodies of 200 bytes.
func BenchmarkFull(b *testing.B) {
	for b.Loop() {
		before := heap()
		m := claimer.NewMachine(claimer.DefaultLimits())
		limits := claimer.DefaultLimits()
		for i := range limits.Keys {
			c := claimer.Claim{Key: "receipts\x00" + rand.Text(), Owner: claimer.Owner{Instance: "10.0.0.1:7000.62a1b", Attempt: uint64(i)}}
			body, _ := msgpack.Marshal(c)
			m.Apply(0, replayer.Entry{Kind: claimer.KindClaim, Body: body})
			body, _ = msgpack.Marshal(claimer.Record{Key: c.Key, Owner: c.Owner, Outcome: claimer.Outcome{Status: 201, Body: make([]byte, 200)}})
			m.Apply(0, replayer.Entry{Kind: claimer.KindOutcome, Body: body})
		}
		state, _ := m.Snapshot()
		b.ReportMetric(float64(len(state))/(1<<20), "snapshot-MB")
		b.ReportMetric(float64(len(state))/float64(m.Len()), "snapshot-bytes/key")
		b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
		b.ReportMetric(float64(m.Len()), "keys")
		runtime.KeepAlive(m)
	}
}

// heap returns the bytes of live heap objects.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
