package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/allotter"
)

var _ = Describe("A delegation", func() {
	const pause = 304 * time.Millisecond

	// The load: 76 instances whose reports are answered by a busy arbiter after up to 0.45 s, and now and
	// then it does not run for 0.4 s. Guards against an arbiter that loses its members' parts between two reports.
	It("lasts until the next report arrives although the arbiter answers late", func() {
		random := rand.New(rand.NewPCG(1, 1))
		arbiter := allotter.NewArbiter(counted)
		start := time.Unix(1000, 0)
		now := start
		renewals, due, stalled := make([]allotter.Renewals, 76), make([]time.Time, 76), start
		least := 1.0
		for ; now.Sub(start) < 20*time.Second; now = now.Add(step) {
			if random.IntN(200) == 0 {
				stalled = now.Add(400 * time.Millisecond)
			}
			if now.Before(stalled) {
				continue
			}
			for i := range renewals {
				if now.Before(due[i]) {
					continue
				}
				e := allotter.Entitlement{Fraction: 1.0 / 76, Left: renewals[i].TTL(pause)}
				arbiter.Delegate(now, fmt.Sprint(i), e)
				renewals[i].Answered(now, "arbiter")
				due[i] = now.Add(pause + time.Duration(random.IntN(450))*time.Millisecond)
			}
			if _, sum := arbiter.Members(now); now.Sub(start) > 5*time.Second {
				least = min(least, sum)
			}
		}
		Expect(least).To(BeNumerically(">=", 0.9))
	})

	It("lasts as long as usual if reports are answered in time, or by another instance", func() {
		var r allotter.Renewals
		now := time.Unix(1000, 0)
		usual := r.TTL(pause)
		for i := range 20 {
			r.Answered(now, "a")
			now = now.Add(pause)
			if i == 10 {
				now = now.Add(2 * time.Second)
				r.Answered(now, "b")
			}
		}
		Expect(r.TTL(pause)).To(Equal(usual))
	})

	It("is bounded, and is as before some seconds after the last late answer", func() {
		var r allotter.Renewals
		now := time.Unix(1000, 0)
		usual := r.TTL(pause)
		r.Answered(now, "a")
		r.Answered(now.Add(time.Minute), "a")
		Expect(r.TTL(pause)).To(Equal(usual + 500*time.Millisecond))
		for i := range 20 {
			r.Answered(now.Add(time.Minute+time.Duration(i)*pause), "a")
		}
		Expect(r.TTL(pause)).To(Equal(usual))
	})
})
