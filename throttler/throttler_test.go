package throttler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// disturb does to the fleet what may happen to it.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(9) {
	case 0: // freeze
		n.frozen = true
	case 1: // thaw all
		for _, m := range w.nodes {
			m.frozen = false
		}
	case 2: // cut a part of the fleet
		for _, m := range w.nodes {
			if w.random.IntN(3) == 0 {
				m.group, m.disturbed = 1+w.random.IntN(2), w.clock.Now()
			}
		}
	case 3: // heal
		for _, m := range w.nodes {
			if m.group != 0 {
				m.group, m.disturbed = 0, w.clock.Now()
			}
		}
	case 4: // restart at the same address
		if len(w.nodes) > 3 {
			w.remove(n)
			w.start(n.address)
		}
	case 5: // leave
		if len(w.nodes) > 3 {
			w.remove(n)
		}
	case 6: // come
		w.add()
	case 7: // another limit
		w.name(0.5+4*w.random.Float64(), true)
	}
}

var _ = Describe("Throttler", func() {
	// Guards against a server that gets what each instance alone may send, times the
	// number of instances.
	DescribeTable("keeps a limit that a server names, all instances together", func(count int, limit float64, seeds int) {
		for seed := range seeds {
			w := newWorld(uint64(seed), count, limit)
			w.advance(20 * time.Second)
			Expect(w.worst(excuse)).To(BeEmpty(), "seed %d", seed)
			Expect(float64(w.count(w.clock.Now(), 10*time.Second, true))).To(BeNumerically(">=", 10*limit/2), "seed %d: the limit is used", seed)
		}
	},
		Entry("6 instances, 1.6 a second", 6, 1.6, 20),
		Entry("80 instances, 2 a second", 80, 2.0, 5),
		Entry("6 instances, 40 a second", 6, 40.0, 5),
		Entry("one instance", 1, 2.0, 5),
	)

	DescribeTable("keeps a limit while instances come, go, freeze and lose sight of each other", func(count, first, seeds int) {
		for seed := first; seed < first+seeds; seed++ {
			w := newWorld(uint64(1000+seed), count, 1+3*float64(seed%4))
			for range 12 {
				w.advance(time.Duration(300+w.random.IntN(2500)) * time.Millisecond)
				w.disturb()
			}
			w.advance(5 * time.Second)
			Expect(w.worst(excuse)).To(BeEmpty(), "seed %d", seed)
		}
	},
		Entry("6 instances", 6, 0, 50),
		Entry("80 instances", 80, 0, 8),
		// Failed while the least rate of a server also held for each part of the reserve.
		Entry("80 instances, many of which can't reach the owner", 80, 25, 1),
		Entry("80 instances with a higher limit, likewise", 80, 129, 1),
	)

	DescribeTable("drops a limit when the server stops naming it", func(count int) {
		w := newWorld(1, count, 1.5)
		w.advance(8 * time.Second)
		w.name(1e6, false)
		w.advance(3 * time.Second)
		Expect(w.count(w.clock.Now(), time.Second, true)).To(BeNumerically(">", w.demand/2))
		for _, n := range w.nodes {
			Expect(n.throttler.Limited(w.server)).To(BeFalse())
		}
	},
		Entry("6 instances", 6),
		Entry("80 instances", 80),
	)

	It("does not limit the server that replaces another one", func() {
		w := newWorld(1, 6, 1.5)
		w.advance(8 * time.Second)
		w.server = "s2"
		w.name(1e6, false)
		w.advance(time.Second)
		Expect(w.count(w.clock.Now(), time.Second, true)).To(BeNumerically(">", w.demand/2))
		for _, n := range w.nodes {
			n.throttler.Retain(func(incarnation string) bool { return incarnation == "s2" })
			Expect(n.throttler.Export()).To(BeEmpty())
		}
	})

	It("does not restore a dropped limit from an instance that was away", func() {
		w := newWorld(1, 6, 1.5)
		w.advance(8 * time.Second)
		away := w.nodes[5]
		away.frozen = true
		w.name(1e6, false)
		w.advance(5 * time.Second)
		away.frozen = false
		w.advance(2 * time.Second)
		for _, n := range w.nodes {
			Expect(n.throttler.Limited(w.server)).To(BeFalse())
		}
	})
})
