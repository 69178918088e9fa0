package allotter_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/allotter"
)

// waiting is a request that has taken credit and waits for a server.
type waiting struct {
	takenAt, sendAt time.Time
	givesUp         bool
}

// playWaits lets requests of an account wait for the times that wait returns, and returns when those
// creditAge is up to which age of its credit a request is sent without taking it anew (relayer).
const creditAge = 500 * time.Millisecond

// that got credit again were sent, and how many did not get it on arrival or later.
func playWaits(rate, demand, givesUp float64, seed uint64, seconds int, wait func(*rand.Rand, time.Time) time.Duration) (sent []time.Time, refused int) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	r := allotter.NewArbiter(counted)
	r.Delegate(now, "a", allotter.Entitlement{Fraction: 1, Left: time.Hour})
	now = now.Add(2 * time.Second)
	grant := func(need, late float64, age time.Duration) bool {
		r.PutBack(now, "a", []allotter.Late{{Account: "x", Amount: late, Age: age}})
		item := allotter.Item{Account: "x", Version: 1, Rate: rate, Burst: rate, Need: need}
		g, _ := r.Grant(now, "a", []allotter.Item{item})
		if need > 0 && g[0].Amount < need {
			refused++
			return false
		}
		return true
	}
	var held []waiting
	for range seconds * int(time.Second/step) {
		now = now.Add(step)
		rest := held[:0]
		for _, q := range held {
			age := now.Sub(q.takenAt)
			switch {
			case now.Before(q.sendAt):
				rest = append(rest, q)
			case q.givesUp:
				grant(0, usage, age)
			case age <= creditAge || grant(usage, usage, age):
				sent = append(sent, now)
			}
		}
		held = rest
		for n := demand / usage * step.Seconds(); random.Float64() < n; n-- {
			if grant(usage, 0, 0) {
				held = append(held, waiting{now, now.Add(wait(random, now)), random.Float64() < givesUp})
			}
		}
	}
	return sent, refused
}

var _ = Describe("Requests that wait for a server", func() {
	together := func(pause time.Duration) func(*rand.Rand, time.Time) time.Duration {
		return func(_ *rand.Rand, now time.Time) time.Duration { return pause - now.Sub(time.Unix(0, 0))%pause }
	}

	// The load: an account that asks for many times its cap, whose requests wait for up to 25 s and are
	// sent together, or give up. Guards against credit that is given back and exceeds the cap of the
	// time in which it is used.
	It("are sent within the cap, however long they wait", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{30000, 300000}).Draw(t, "rate")
			longest := time.Duration(rapid.IntRange(1, 250).Draw(t, "longest")) * 100 * time.Millisecond
			wait := func(r *rand.Rand, _ time.Time) time.Duration { return time.Duration(r.Int64N(int64(longest))) }
			if rapid.Bool().Draw(t, "together") {
				wait = together(longest)
			}
			sent, _ := playWaits(rate, rate*rapid.SampledFrom([]float64{0.5, 1, 2, 6}).Draw(t, "demand"), rapid.SampledFrom([]float64{0, 0.5, 0.9}).Draw(t, "gives up"),
				rapid.Uint64().Draw(t, "seed"), 40, wait)
			w := world{sent: sent}
			if most := w.most(time.Time{}); most > bound(rate, rate) {
				t.Fatalf("%.0f in a window, %.0f are allowed", most, bound(rate, rate))
			}
		})
	})

	// The load: a usual one, at 0.55 of the cap, of which all requests wait for a server for longer
	// than credit is valid. Guards against requests inside the cap that count twice.
	DescribeTable("count once", func(rate float64, wait time.Duration) {
		sent, refused := playWaits(rate, 0.55*rate, 0.1, 1, 30, func(*rand.Rand, time.Time) time.Duration { return wait })
		Expect(float64(refused) / float64(refused+len(sent))).To(BeNumerically("<", 0.01))
	},
		Entry("after 1.5 s", 300000.0, 1500*time.Millisecond), Entry("after 8 s", 300000.0, 8*time.Second),
		Entry("after 20 s", 300000.0, 20*time.Second), Entry("of a small account", 60000.0, 1500*time.Millisecond),
	)

	// Guards against credit of a delegation that has lapsed, which its instance uses elsewhere.
	It("add no credit of delegations that have lapsed when they give theirs back", func() {
		start := time.Unix(1000, 0)
		r := allotter.NewArbiter(counted)
		r.Delegate(start, "a", allotter.Entitlement{Fraction: 0.5, Left: time.Hour})
		r.Delegate(start, "b", allotter.Entitlement{Fraction: 0.5, Left: time.Second})
		item := allotter.Item{Account: "x", Version: 1, Rate: 1000, Burst: 10000}
		r.Grant(start, "a", []allotter.Item{item})
		now := start.Add(5 * time.Second)
		r.PutBack(now, "a", []allotter.Late{{Account: "x", Amount: 1, Age: time.Second}})
		item.Need = 4000
		g, ok := r.Grant(now, "a", []allotter.Item{item})
		Expect(ok).To(BeTrue())
		Expect(g[0].Amount).To(BeZero(), "half the rate for 5 s is 2,500")
	})
})
