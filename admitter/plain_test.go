package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/admitter"
)

var _ = Describe("Plain servers", func() {
	s := admitter.PlainServer{Slots: 6, Holding: 60 * time.Millisecond, Speed: 1}

	// Guards against filling the queue of 24 of a server, whose last one is answered after 300 ms.
	It("hold fewer requests than make a further one late, and at least their slots", func() {
		places := s.Places(300 * time.Millisecond)
		Expect(places).To(BeNumerically("<", 24))
		Expect(s.Sojourn(places)).To(BeNumerically("~", 240*time.Millisecond, time.Millisecond))
		Expect(s.Places(50 * time.Millisecond)).To(BeEquivalentTo(6))
		s := s
		s.Speed = 0.5
		Expect(s.Places(300 * time.Millisecond)).To(BeNumerically("<", places/2))
	})

	// Guards against sending more than the servers do once they hold enough, and less while they don't.
	It("get requests at the rate that they do, corrected towards the aim", func() {
		at := func(requests float64) float64 {
			p := admitter.Plain{Interval: 150 * time.Millisecond}
			p.Add(s, requests, 300*time.Millisecond)
			return p.SendRate()
		}
		Expect(at(14.5)).To(BeNumerically("~", 100, 1))
		Expect(at(6)).To(BeNumerically(">", 100))
		Expect(at(30)).To(BeNumerically("<", 100))
		Expect(at(100)).To(BeZero())
	})

	It("get no more of an instance than its credit, which does not grow for ever", func() {
		var c admitter.Credit
		now := time.Unix(1000, 0)
		c.Update(now, 4, 3)
		Expect(c.Suffices()).To(BeFalse())
		c.Update(now.Add(250*time.Millisecond), 4, 3)
		Expect(c.Suffices()).To(BeTrue())
		c.Use()
		Expect(c.Suffices()).To(BeFalse())
		c.Update(now.Add(time.Hour), 4, 3)
		for range 3 {
			Expect(c.Suffices()).To(BeTrue())
			c.Use()
		}
		Expect(c.Suffices()).To(BeFalse())
	})
})
