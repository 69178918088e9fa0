package framer_test

import (
	"runtime"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
})
