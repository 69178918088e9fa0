package reserver_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reserver"
)

// Guards against events that are within their limit each and are too much together, and against a
// stream that goes first for good since it had a large event once.
var _ = Describe("An event that has arrived in part", func() {
	It("is charged once it is large, and not held beside others for which there is no memory", func() {
		memory := reserver.New(4 << 20)
		one, other := reserver.NewIncomplete(memory), reserver.NewIncomplete(memory)
		Expect(one.Fits(reserver.SmallBytes)).To(BeTrue())
		Expect(memory.Held(reserver.Stream)).To(BeZero())
		Expect(one.Fits(1<<20)).To(BeTrue(), "the oldest")
		Expect(memory.Held(reserver.Stream)).To(BeNumerically(">=", 3<<20))
		Expect(other.Fits(reserver.SmallBytes)).To(BeTrue())
		Expect(other.Fits(1 << 20)).To(BeFalse())
		other.Release()
		Expect(one.Fits(0)).To(BeTrue())
		Expect(memory.Held(reserver.Stream)).To(BeZero())
		Expect(other.Fits(1<<20)).To(BeTrue(), "the oldest now")
		Expect(one.Fits(1 << 20)).To(BeFalse())
	})
})
