package replayer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/replayer"
)

// reader reads a history in small batches.
type reader struct {
	machine *historyMachine
	replica *replayer.Replica[int]
}

func newReader() *reader {
	t := &historyMachine{}
	return &reader{machine: t, replica: replayer.NewReplica[int](t)}
}

func (r *reader) read(h *history) {
	for range 100 {
		r.replica.ApplyBatch(h.batch(r.replica.NextOffset(), 3))
	}
}

// truncatedHistory returns a stream of ten entries without a snapshot, of which
// retention has dropped the first six.
func truncatedHistory() *history {
	h := &history{}
	for n := range 10 {
		h.add(record(entry("n", n)))
	}
	h.firstOffset = 6
	return h
}

func (h *history) reset(read, from int64) {
	h.add(record(entry(replayer.KindReset, replayer.Reset{Read: read, From: from})))
}

var _ = Describe("Reset", func() {
	It("gives the same state to readers that miss the start of the stream and to one that has read it", func() {
		h := truncatedHistory()
		old, broken := newReader(), newReader()
		old.replica.ApplyBatch(h.unretained(0))
		broken.read(h)
		Expect(broken.replica.Complete()).To(BeFalse())

		h.reset(10, 6)
		h.add(record(entry("n", 10)))
		fresh := newReader()
		for _, r := range []*reader{old, broken, fresh} {
			r.read(h)
			Expect(r.replica.Complete()).To(BeTrue())
			Expect(r.machine.values).To(Equal([]int64{6, 7, 8, 9, 10}))
		}
	})

	It("has no effect if anything was appended since its writer read", func() {
		h := truncatedHistory()
		complete := newReader()
		complete.replica.ApplyBatch(h.unretained(0))
		h.add(record(entry("n", 10)))
		h.reset(10, 6)
		complete.read(h)
		Expect(complete.machine.values).To(HaveLen(11))
	})

	It("is executed only once, also when a second reset follows it", func() {
		h := truncatedHistory()
		h.reset(10, 6)
		h.reset(11, 8)
		r := newReader()
		r.read(h)
		Expect(r.machine.values).To(Equal([]int64{8, 9}))
		Expect(r.replica.NextOffset()).To(Equal(int64(12)))
	})
})
