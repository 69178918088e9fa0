package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/coordinator"
)

var _ = Describe("Ceiling", func() {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

	// Load: many loads are planned at once, and begin late, when their servers
	// are free; those planned next must not fall into the same window.
	It("counts a load from its plan, and for the window from its order", func() {
		c := coordinator.NewCeiling(5 * time.Second)
		l := c.Plan()
		Expect(c.Count(at(7 * time.Second))).To(Equal(1))
		l.Begin(at(7 * time.Second))
		l.End()
		Expect(c.Count(at(11 * time.Second))).To(Equal(1))
		Expect(c.Count(at(13 * time.Second))).To(BeZero())
	})

	It("counts an order that is sent again from the last time", func() {
		c := coordinator.NewCeiling(5 * time.Second)
		l := c.Plan()
		l.Begin(at(0))
		l.Begin(at(4 * time.Second))
		Expect(c.Count(at(8 * time.Second))).To(Equal(1))
	})

	It("forgets a load that was never ordered", func() {
		c := coordinator.NewCeiling(5 * time.Second)
		c.Plan().End()
		Expect(c.Count(at(0))).To(BeZero())
	})
})
