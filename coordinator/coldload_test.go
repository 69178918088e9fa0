package coordinator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/coordinator"
)

var _ = Describe("ColdLoadCounter", func() {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

	// Many loads may be planned at once and start late, when their servers are free.
	// Loads that are planned after them must not start within the same window.
	It("counts a load from when it is planned until the window after its order has passed", func() {
		c := coordinator.NewColdLoadCounter(5 * time.Second)
		load := c.Plan()
		Expect(c.Count(at(7 * time.Second))).To(Equal(1))
		load.BeginsBy(at(7 * time.Second))
		load.Finish()
		Expect(c.Count(at(11 * time.Second))).To(Equal(1))
		Expect(c.Count(at(13 * time.Second))).To(BeZero())
	})

	It("counts a load whose order is sent again from the last order", func() {
		c := coordinator.NewColdLoadCounter(5 * time.Second)
		l := c.Plan()
		l.BeginsBy(at(0))
		l.BeginsBy(at(4 * time.Second))
		l.Finish()
		Expect(c.Count(at(8 * time.Second))).To(Equal(1))
	})

	It("does not count a finished load whose order was never sent", func() {
		c := coordinator.NewColdLoadCounter(5 * time.Second)
		c.Plan().Finish()
		Expect(c.Count(at(0))).To(BeZero())
	})

	// A successor of the lease holder counts a fixed number of loads that may begin late, so that
	// no more may be under way.
	It("tells how many ordered loads are not known to have begun", func() {
		c := coordinator.NewColdLoadCounter(5 * time.Second)
		begun, refused, late := c.Plan(), c.Plan(), c.Plan()
		for _, l := range []*coordinator.ColdLoad{begun, refused, late} {
			l.Order(at(12 * time.Second))
			l.Finish()
		}
		Expect(c.Unanswered(at(0))).To(Equal(3))
		begun.BeginsBy(at(time.Second))
		refused.Refuse()
		Expect(c.Unanswered(at(time.Second))).To(Equal(1))
		Expect(c.Count(at(7 * time.Second))).To(Equal(1))
		Expect(c.Unanswered(at(13 * time.Second))).To(BeZero())
		Expect(c.Count(at(16 * time.Second))).To(Equal(1))
		Expect(c.Count(at(18 * time.Second))).To(BeZero())
	})
})
