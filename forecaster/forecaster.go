// Package forecaster predicts the demand for each of several things by how its share of all demand
// changes. It does no I/O and reads no clock.
//
// What takes seconds to provide, such as a replica of a model, is of use only if the demand is known
// that long before. A burst that raises all demand alike changes no shares and predicts nothing.
package forecaster

import (
	"math"
	"time"
)

const (
	// minDeviations is by how many standard deviations the estimates of a rate must differ for the
	// difference to count as growth: arrivals are random.
	minDeviations = 1.0
	// maxGrowth bounds a prediction to this many times the present rate. Demand that grows does not
	// do so forever.
	maxGrowth = 2.0
)

// Rates are two estimates of one rate per second, which decay with half-lives of their own.
type Rates struct{ Fast, Slow float64 }

// Forecaster predicts rates that are estimated with two half-lives.
type Forecaster struct{ fast, slow float64 }

// New returns a forecaster for estimates with these half-lives.
func New(fast, slow time.Duration) Forecaster {
	return Forecaster{fast: fast.Seconds() / math.Ln2, slow: slow.Seconds() / math.Ln2}
}

// Growth returns by how much each rate is expected to exceed its present estimate, the larger one of
// the two, after a time of its own. Rates that are not expected to grow are left out.
func Growth[K comparable](f Forecaster, all map[K]Rates, after func(K) time.Duration) map[K]float64 {
	var total Rates
	for _, r := range all {
		total.Fast += r.Fast
		total.Slow += r.Slow
	}
	growth := map[K]float64{}
	if total.Fast <= 0 || total.Slow <= 0 {
		return growth
	}
	for k, r := range all {
		present := max(r.Fast, r.Slow)
		// The slow estimate at the present total, so that only a change of the share counts.
		slow := r.Slow * total.Fast / total.Slow
		rise := r.Fast - slow - minDeviations*f.deviation(slow)
		if rise <= 0 {
			continue
		}
		// An estimate lags behind a rate that grows steadily by its mean age.
		predicted := r.Fast + rise/(f.slow-f.fast)*(after(k).Seconds()+f.fast)
		if g := min(predicted, maxGrowth*present) - present; g > 0 {
			growth[k] = g
		}
	}
	return growth
}

// deviation returns the standard deviation of the difference of both estimates of a steady rate of
// random arrivals. Both count the same arrivals, with weights that decay as e^(-t/age)/age.
func (f Forecaster) deviation(rate float64) float64 {
	return math.Sqrt(rate * (1/(2*f.fast) + 1/(2*f.slow) - 2/(f.fast+f.slow)))
}
