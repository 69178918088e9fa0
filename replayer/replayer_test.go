package replayer_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/recorder"
	"primrosehook/replayer"
	"primrosehook/simulator"
)

// historyMachine is a machine whose state is the full history, so that any lost,
// duplicate or reordered entry is detected.
type historyMachine struct{ values []int64 }

func (t *historyMachine) Apply(_ replayer.Position, e replayer.Entry) int {
	var n int64
	_ = msgpack.Unmarshal(e.Body, &n)
	t.values = append(t.values, n)
	return len(t.values)
}
func (t *historyMachine) Snapshot() ([]byte, error) { return msgpack.Marshal(t.values) }
func (t *historyMachine) Restore(state []byte) error {
	t.values = nil
	return msgpack.Unmarshal(state, &t.values)
}

func entry(kind string, body any) replayer.Entry {
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return replayer.Entry{Kind: kind, Body: data}
}

func record(entries ...replayer.Entry) []byte {
	data, err := replayer.Encode(entries)
	Expect(err).NotTo(HaveOccurred())
	return data
}

// history is a stream with retention: records before firstOffset are dropped.
type history struct {
	firstOffset int64
	records     []recorder.Record
}

func (h *history) add(data []byte) {
	h.records = append(h.records, recorder.Record{Offset: int64(len(h.records)), Data: data})
}

func (h *history) batch(from int64, limit int) recorder.Batch {
	start := max(from, h.firstOffset)
	end := min(int64(len(h.records)), start+int64(limit))
	batch := recorder.Batch{First: h.firstOffset, Next: int64(len(h.records))}
	if start < end {
		batch.Records = h.records[start:end]
	}
	return batch
}

// runSchedule runs one seeded schedule: writers append, some write snapshots in
// parts and crash half-way, retention drops records, and readers that have
// missed records continue. A reader that is complete must have exactly the state
// of a full replay. Readers that are not complete append resets, some for an
// offset that they read up to a while ago. It returns the number of comparisons
// and of resets.
func runSchedule(seed int64) (compared, resets int) {
	r := rand.New(rand.NewSource(seed))
	h := &history{}
	expected := &historyMachine{}
	reference := replayer.NewReplica[int](expected)
	var readers []*reader
	var unwrittenParts []replayer.Snapshot
	for step := 0; step < 120; step++ {
		switch r.Intn(9) {
		case 0, 1:
			h.add(record(entry("n", r.Int63()), entry("n", r.Int63())))
		case 2:
			h.add([]byte("not msgpack"))
		case 3:
			s, err := reference.Snapshot()
			Expect(err).NotTo(HaveOccurred())
			s.Writer = string(rune('a' + r.Intn(3)))
			s.Time = int64(step)
			parts := s.Split(40 + r.Intn(200))
			unwrittenParts = append(unwrittenParts, parts[:1+r.Intn(len(parts))]...)
		case 4:
			for len(unwrittenParts) > 0 && r.Intn(3) > 0 {
				h.add(record(entry(replayer.KindSnapshot, unwrittenParts[0])))
				unwrittenParts = unwrittenParts[1:]
			}
		case 5:
			h.firstOffset = min(int64(len(h.records)), h.firstOffset+int64(r.Intn(12)))
		case 7:
			i := slices.IndexFunc(readers, func(p *reader) bool { return !p.replica.Complete() })
			if i >= 0 {
				resets++
				h.reset(readers[i].replica.NextOffset(), readers[i].replica.FirstOffset())
			}
		case 6:
			readers = append(readers, newReader())
		}
		for reference.NextOffset() < int64(len(h.records)) {
			reference.ApplyBatch(h.unretained(reference.NextOffset()))
		}
		for _, p := range readers {
			if r.Intn(2) > 0 {
				continue
			}
			p.replica.ApplyBatch(h.batch(p.replica.NextOffset(), 1+r.Intn(20)))
			if p.replica.Complete() && p.replica.NextOffset() == reference.NextOffset() {
				compared++
				if !slices.Equal(p.machine.values, expected.values) {
					Fail(fmt.Sprintf("replay: REPLAYER_SEED=%d REPLAYER_RUNS=1 go test ./replayer: step %d: have %v, want %v", seed, step, p.machine.values, expected.values))
				}
			}
		}
	}
	return compared, resets
}

// unretained returns all records from an offset on, without retention, for the
// reference replica.
func (h *history) unretained(from int64) recorder.Batch {
	return recorder.Batch{Next: int64(len(h.records)), Records: h.records[from:]}
}

var _ = Describe("Replica", func() {
	It("has after a snapshot exactly the state of a full replay, or reports that it is not complete", func() {
		compared, resets := 0, 0
		seeds := simulator.SeedsFromEnv("REPLAYER", 2000)
		for seed := seeds.First; seed < seeds.End(); seed++ {
			n, m := runSchedule(seed)
			compared += n
			resets += m
		}
		Expect(seeds.TooFewForCounts() || resets > int(seeds.Count)).To(BeTrue())
		Expect(seeds.TooFewForCounts() || compared > int(seeds.Count)).To(BeTrue(), "number of comparisons with the full replay")
	})

	It("does not use a snapshot if records are missing between it and the buffered ones", func() {
		t := &historyMachine{}
		replica := replayer.NewReplica[int](t)
		state, _ := msgpack.Marshal([]int64{7})
		old := record(entry(replayer.KindSnapshot, replayer.Snapshot{Read: 60, State: state}))
		replica.ApplyBatch(recorder.Batch{First: 95, Next: 96, Records: []recorder.Record{{Offset: 95, Data: old}}})
		Expect(replica.Complete()).To(BeFalse())
		Expect(replica.SnapshotAt()).To(Equal(int64(-1)))
	})

	It("gives every entry of a stream a unique, increasing position", func() {
		Expect(replayer.At(3, replayer.MaxGroup-1)).To(BeNumerically("<", replayer.At(4, 0)))
		Expect(replayer.At(4, 9).Offset()).To(Equal(int64(4)))
	})

	It("refuses to encode or decode a group over the limit", func() {
		group := make([]replayer.Entry, replayer.MaxGroup+1)
		_, err := replayer.Encode(group)
		Expect(err).To(HaveOccurred())
		data, _ := msgpack.Marshal(group)
		_, err = replayer.Decode(data)
		Expect(err).To(HaveOccurred())
	})
})

func FuzzDecode(f *testing.F) {
	good, _ := replayer.Encode([]replayer.Entry{{Kind: "n", Body: []byte{1}}})
	f.Add(good)
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		replica := replayer.NewReplica[int](&historyMachine{})
		replica.ApplyBatch(recorder.Batch{Next: 1, Records: []recorder.Record{{Data: data}}})
	})
}
