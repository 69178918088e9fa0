package framer_test

import (
	"bytes"
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"primrosehook/framer"
)

// list has elements that are much larger in memory than in their encoding.
type list struct {
	Members []struct{ A, B uint64 } `msgpack:"b"`
}

var _ = Describe("Decode", func() {
	DescribeTable("allocates less than the largest frame for announced elements that are missing",
		func(data []byte) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var v list
			Expect(framer.Decode(data, &v)).To(MatchError(framer.ErrBody))
			runtime.ReadMemStats(&after)
			Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", framer.MaxFrame))
		},
		Entry("in a slice", []byte{0x81, 0xa1, 'b', 0xdd, 0x10, 0, 0, 0}),
		Entry("in a map", []byte{0xdf, 0x10, 0, 0, 0}),
		Entry("in a string", []byte{0x81, 0xdb, 0x7f, 0xff, 0xff, 0xff}),
		Entry("in a byte slice", []byte{0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff, 0xff}),
	)

	It("decodes a complete value", func() {
		var v list
		Expect(framer.Decode([]byte{0x81, 0xa1, 'b', 0x90}, &v)).To(Succeed())
		Expect(v.Members).To(BeEmpty())
	})

	// Guards against a message of a peer that ends the process: at 8 MB the recursion of the
	// library exceeds the limit of Go's stack, which can't be recovered from.
	It("rejects values that are nested too deeply", func() {
		nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }
		var v any
		Expect(framer.Decode(nested(100), &v)).To(Succeed())
		Expect(framer.Decode(nested(101), &v)).To(MatchError(framer.ErrBody))
		Expect(framer.Decode(nested(8<<20), &v)).To(MatchError(framer.ErrBody))
	})

	It("accepts the data that the library can skip, and no others", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			data := rapid.SliceOfN(rapid.OneOf(rapid.Byte(), rapid.ByteRange(0xc0, 0xdf), rapid.ByteRange(0, 9)), 0, 60).Draw(t, "data")
			var raw msgpack.RawMessage
			err := framer.Decode(data, &raw)
			if skip := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); (skip == nil) != (err == nil) {
				t.Fatalf("%x: skip %v, decode %v", data, skip, err)
			}
		})
	})
})
