package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/estimator"
)

// world feeds streams to the estimator and adds up the evidence.
type world struct {
	paces              *estimator.Paces
	samples, residuals map[int]float64
	random             *rand.Rand
}

func newWorld() *world {
	return &world{paces: estimator.NewPaces(), samples: map[int]float64{}, residuals: map[int]float64{}, random: rand.New(rand.NewPCG(1, 2))}
}

func (w *world) speed(id int) float64 { return estimator.Speed(w.samples[id], w.residuals[id]) }

// stream records a stream; the evidence decays as with some tens of streams in a half-life.
func (w *world) stream(id int, model string, interval time.Duration) {
	r, ok := w.paces.Residual(model, interval, w.speed(id))
	if !ok {
		return
	}
	w.samples[id] = 0.97*w.samples[id] + 1
	w.residuals[id] = 0.97*w.residuals[id] + r
}

// noisy returns an interval with a noise of some per cent.
func (w *world) noisy(millis float64) time.Duration {
	return time.Duration(millis * (0.93 + 0.14*w.random.Float64()) * float64(time.Millisecond))
}

var _ = Describe("Estimator", func() {
	It("separates the pace of models from the speed of servers when each model is on three servers of twelve", func() {
		// The load: 12 servers of speeds 0.6, 1.0 and 1.6 with three of 12 models each, whose events
		// take 20 to 75 ms at speed 1. Guards against taking a slow model for a slow server.
		w := newWorld()
		speeds := []float64{0.6, 1, 1.6}
		for range 300 {
			for id := range 12 {
				model := (id + []int{0, 1, 5}[w.random.IntN(3)]) % 12
				w.stream(id, fmt.Sprint("m", model), w.noisy((20+5*float64(model))/speeds[id%3]))
			}
		}
		for id := range 12 {
			Expect(w.speed(id)/w.speed(1)).To(BeNumerically("~", speeds[id%3], 0.35*speeds[id%3]), "server %d", id)
			if id%3 == 0 {
				Expect(w.speed(id)).To(BeNumerically("<", 0.8))
			}
			if id%3 == 2 {
				Expect(w.speed(id)).To(BeNumerically(">", 1.2))
			}
		}
	})

	It("gives equal servers the speed 1, whatever their models", func() {
		// The load: 12 equal servers, two models that differ fourfold, noise of 7 %.
		w := newWorld()
		for range 200 {
			for id := range 12 {
				model := id % 2
				w.stream(id, fmt.Sprint("m", model), w.noisy([]float64{20, 80}[model]))
			}
		}
		for id := range 12 {
			Expect(w.speed(id)).To(Equal(1.0), "server %d", id)
		}
	})

	It("changes little after a slow moment or a frozen server, and recovers", func() {
		// The load: 6 equal servers; on one of them a single stream takes a thousand times as long,
		// later eight streams in a row take 2.5 times as long.
		w := newWorld()
		round := func(n int) {
			for range n {
				for id := range 6 {
					w.stream(id, "m", w.noisy(35))
				}
			}
		}
		round(50)
		w.stream(0, "m", 35*time.Second)
		Expect(w.speed(0)).To(Equal(1.0))
		round(50)
		for range 8 {
			w.stream(0, "m", w.noisy(35*2.5))
		}
		Expect(w.speed(0)).To(And(BeNumerically("<", 1), BeNumerically(">", 0.7)))
		round(120)
		for id := range 6 {
			Expect(w.speed(id)).To(Equal(1.0), "server %d", id)
		}
	})

	DescribeTable("passes over samples that can't be used",
		func(interval time.Duration, speed float64) {
			p := estimator.NewPaces()
			for range 20 {
				_, ok := p.Residual("m", interval, speed)
				Expect(ok).To(BeFalse())
			}
			for range 8 {
				r, _ := p.Residual("m", 35*time.Millisecond, 1)
				Expect(r).To(Equal(0.0))
			}
		},
		Entry("no time between events", time.Duration(0), 1.0),
		Entry("negative time", -time.Second, 1.0),
		Entry("speed zero", time.Second, 0.0),
		Entry("speed not a number", time.Second, math.NaN()),
		Entry("infinite speed", time.Second, math.Inf(1)),
	)

	DescribeTable("bounds the speed",
		func(samples, residuals, want float64) {
			Expect(estimator.Speed(samples, residuals)).To(Equal(want))
		},
		Entry("no evidence", 0.0, 0.0, 1.0),
		Entry("negative count", -3.0, 5.0, 1.0),
		Entry("count is not a number", math.NaN(), 5.0, 1.0),
		Entry("sum is not a number", 5.0, math.NaN(), 1.0),
		Entry("infinite sum", 5.0, math.Inf(1), 0.3),
		Entry("infinite count and sum", math.Inf(1), math.Inf(1), 1.0),
		Entry("very slow", 100.0, 1000.0, 0.3),
		Entry("very fast", 100.0, -1000.0, 3.0),
		Entry("one slow stream", 1.0, 0.4, 1.0),
	)
})
