package limiter_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/limiter"
)

var _ = Describe("RetryWindow", func() {
	start := time.Unix(1000, 0)

	// Guards against refused retries after a server crash, which breaks all the
	// streams of an instance at once.
	It("lets a burst use the allowance of the whole window", func() {
		w := limiter.NewRetryWindow(10*time.Second, 0.2, 4)
		now := start
		for range 140 {
			now = now.Add(70 * time.Millisecond)
			w.Fresh(now)
		}
		allowed := 0
		for w.Retry(now) {
			allowed++
		}
		Expect(allowed).To(And(BeNumerically(">=", 26), BeNumerically("<=", 32)))
	})

	It("allows the slack once per window without fresh requests", func() {
		w := limiter.NewRetryWindow(10*time.Second, 0.2, 3)
		now := start
		for range 3 {
			Expect(w.Retry(now)).To(BeTrue())
		}
		Expect(w.Retry(now.Add(9 * time.Second))).To(BeFalse())
		Expect(w.Retry(now.Add(12 * time.Second))).To(BeTrue())
	})

	It("keeps to the limit in every window of random loads", func() {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := limiter.NewRetryWindow(10*time.Second, 0.2, 5)
			var fresh, retries []time.Time
			now := start
			for range 4000 {
				now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
				if random.IntN(3) > 0 {
					w.Fresh(now)
					fresh = append(fresh, now)
				} else if w.Retry(now) {
					retries = append(retries, now)
				}
			}
			within := func(list []time.Time, end time.Time) int {
				n := 0
				for _, t := range list {
					if t.After(end.Add(-10*time.Second)) && !t.After(end) {
						n++
					}
				}
				return n
			}
			for _, end := range retries {
				Expect(float64(within(retries, end))).To(BeNumerically("<=", 0.2*float64(within(fresh, end))+5))
			}
		}
	})
})
