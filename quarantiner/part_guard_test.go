package quarantiner_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
)

var _ = Describe("PartGuard", func() {
	const suspect, companion = 7, 3
	var (
		clock  *clockwork.FakeClock
		guards []*quarantiner.PartGuard
		lost   int
	)
	BeforeEach(func() {
		clock, lost, guards = clockwork.NewFakeClock(), 0, nil
		for range 4 {
			guards = append(guards, quarantiner.NewPartGuard(clock))
		}
	})
	// exchange lets all instances report to the first one.
	exchange := func() {
		for _, g := range guards {
			g.ApplyReply(guards[0].ServeReport(g.Report()))
		}
		clock.Advance(150 * time.Millisecond)
	}
	run := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); {
			exchange()
		}
	}
	// crash loses an engine under a request of an instance, beside others.
	crash := func(g *quarantiner.PartGuard, parts []uint64, beside ...[]uint64) {
		lost++
		engine := fmt.Sprint("e", lost)
		for i, p := range append(beside, parts) {
			g.ConnectionBroke(quarantiner.CutRequest{ID: uint64(lost*100 + i), Parts: p}, engine)
		}
		g.EngineLost(engine)
	}
	quarantined := func(parts ...uint64) int {
		n := 0
		for _, g := range guards {
			if g.Quarantined(parts) {
				n++
			}
		}
		return n
	}

	It("quarantines a part on all instances that each saw one crash under it", func() {
		for i := range 3 {
			crash(guards[i+1], []uint64{1, companion, suspect})
			run(500 * time.Millisecond)
		}
		run(time.Second)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
		Expect(quarantined(1)).To(BeZero())
		Expect(quarantined(companion)).To(BeZero())
	})

	It("quarantines the first part if different ones follow it", func() {
		for i := range 4 {
			crash(guards[i%2], []uint64{suspect, uint64(100 + i)})
			run(500 * time.Millisecond)
		}
		run(2 * time.Second)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
	})

	It("blames no part of which a request survives anywhere", func() {
		for i := range 6 {
			crash(guards[1], []uint64{1, suspect})
			run(time.Second)
			guards[i%4].Survived([]uint64{1, suspect})
			run(time.Second)
		}
		Expect(quarantined(suspect) + quarantined(1)).To(BeZero())
	})

	// Guards against blaming what is frequent when many engines are lost at once for
	// another reason.
	It("blames no frequent part when many engines are lost together", func() {
		for i := range 40 {
			guards[i%4].Survived([]uint64{1, uint64(10 + i%3)})
		}
		run(300 * time.Millisecond)
		for i := range 30 {
			crash(guards[i%4], []uint64{1, uint64(10 + i%3)})
		}
		run(3 * time.Second)
		Expect(quarantined(1, 10, 11, 12)).To(BeZero())
	})

	// Guards against a sound part that is refused for good because it was at some crashes
	// by chance.
	It("ends a wrong suspicion by a request that survives, which one instance may send", func() {
		for range 3 {
			crash(guards[1], []uint64{1, suspect})
			run(500 * time.Millisecond)
		}
		run(500 * time.Millisecond)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
		trials := 0
		for range 100 {
			for _, g := range guards {
				if remaining, trial := g.Admit([]uint64{1, suspect}); trial {
					Expect(remaining).To(BeZero())
					trials++
					g.Survived([]uint64{1, suspect})
				}
			}
			exchange()
		}
		Expect(trials).To(Equal(1))
		Expect(quarantined(suspect)).To(BeZero())
	})

	// Guards against refusing a sound part for long because it was at many crashes when
	// hardly a server was up.
	It("ends a wrong suspicion soon however many crashes it was made from", func() {
		for range 8 {
			crash(guards[1], []uint64{1, suspect})
		}
		run(time.Second)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
		run(50 * time.Second)
		for range 10 {
			for _, g := range guards {
				if _, trial := g.Admit([]uint64{1, suspect}); trial {
					g.Survived([]uint64{1, suspect})
				}
			}
			exchange()
		}
		Expect(quarantined(suspect)).To(BeZero())
	})

	It("tries a part that goes on crashing engines ever more rarely", func() {
		for range 3 {
			crash(guards[1], []uint64{1, suspect})
			run(500 * time.Millisecond)
		}
		run(500 * time.Millisecond)
		before := lost
		for range 800 {
			for _, g := range guards {
				if _, trial := g.Admit([]uint64{1, suspect}); trial {
					crash(g, []uint64{1, suspect})
				}
			}
			exchange()
		}
		Expect(lost-before).To(And(BeNumerically(">=", 2), BeNumerically("<=", 3)), "trials in two minutes")
		Expect(quarantined(suspect)).To(Equal(len(guards)))
	})

	It("decides by itself on an instance that gets no replies", func() {
		clock.Advance(5 * time.Second)
		for range 3 {
			crash(guards[2], []uint64{1, suspect})
			clock.Advance(time.Second)
		}
		_, _ = guards[2].Admit([]uint64{1, suspect})
		Expect(guards[2].Quarantined([]uint64{suspect})).To(BeTrue())
	})

	// Guards against an instance that starts while there is no lease, and sends requests
	// with parts that its peers know.
	It("learns the quarantines of a peer that does not decide", func() {
		for range 3 {
			crash(guards[1], []uint64{1, suspect})
			run(500 * time.Millisecond)
		}
		run(500 * time.Millisecond)
		fresh := quarantiner.NewPartGuard(clock)
		Expect(fresh.Alone()).To(BeTrue())
		fresh.MergeQuarantines(guards[3].Quarantines())
		Expect(fresh.Quarantined([]uint64{suspect})).To(BeTrue())
		guards[2].Survived([]uint64{suspect})
		run(500 * time.Millisecond)
		fresh.MergeQuarantines(guards[3].Quarantines())
		Expect(fresh.Quarantined([]uint64{suspect})).To(BeFalse())
	})

	It("brings the evidence and the quarantines to another instance that decides", func() {
		for i := range 2 {
			crash(guards[i+1], []uint64{1, suspect})
		}
		run(10 * time.Second)
		guards = append([]*quarantiner.PartGuard{quarantiner.NewPartGuard(clock)}, guards[1:]...)
		for _, g := range guards {
			g.Resend()
		}
		crash(guards[3], []uint64{1, suspect})
		run(time.Second)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
		guards = append([]*quarantiner.PartGuard{quarantiner.NewPartGuard(clock)}, guards[1:]...)
		run(time.Second)
		Expect(quarantined(suspect)).To(Equal(len(guards)))
	})
})
