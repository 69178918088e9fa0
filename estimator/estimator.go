// Package estimator estimates how fast the servers of a service are, compared with each other,
// from the pace of the streams that they complete. It does no I/O.
//
// The time between the events of a stream depends on the model as much as on the server, and most
// models are loaded on few servers. So a sample is taken as the sum of two unknowns, the usual pace
// of its model and the speed of its server: each complete stream corrects the former (Paces), and
// what is left over is evidence of the latter (Evidence), which instances add up.
package estimator

import (
	"math"
	"time"
)

const (
	// priorSamples is the weight, in samples, of the assumption that a server is as fast as the
	// others.
	priorSamples = 3.0
	// paceWeight is the weight of the latest sample in the pace of a model, and minPaceSamples how
	// many samples there are before the model's streams tell anything of servers.
	paceWeight     = 0.1
	minPaceSamples = 4
	// maxResidual bounds what one stream can tell: a server that was frozen for a moment is not a
	// hundred times slower.
	maxResidual = 1.5
	// minSpeed and maxSpeed bound the estimates.
	minSpeed, maxSpeed = 0.3, 3.0
	// deadZone is the logarithm within which speeds count as equal: samples of equal servers
	// differ by that much. From there to twice as much the estimate rises to what the samples say.
	deadZone = 0.12
	// maxModels bounds the models whose pace is kept.
	maxModels = 4096
)

// pace is the usual logarithm of the time between events of a model.
type pace struct {
	log     float64
	samples int
}

// Paces are the usual paces of models. It is not safe for concurrent use.
type Paces struct{ models map[string]*pace }

// NewPaces returns paces without samples.
func NewPaces() *Paces { return &Paces{models: map[string]*pace{}} }

// Residual records a stream of a model whose events came at intervals of a mean length from a
// server of an estimated speed. It returns by how much the logarithm of that length exceeds the
// usual one, or false while the usual one is not known.
func (p *Paces) Residual(model string, interval time.Duration, speed float64) (float64, bool) {
	if interval <= 0 || !(speed > 0) || math.IsInf(speed, 0) {
		return 0, false
	}
	// The time that a server of usual speed would have taken.
	sample := math.Log(float64(interval)) + math.Log(speed)
	m, ok := p.models[model]
	if !ok {
		if len(p.models) >= maxModels {
			clear(p.models)
		}
		m = &pace{}
		p.models[model] = m
	}
	m.samples++
	m.log += max(paceWeight, 1/float64(m.samples)) * (sample - m.log)
	if m.samples < minPaceSamples {
		return 0, false
	}
	return min(max(math.Log(float64(interval))-m.log, -maxResidual), maxResidual), true
}

// Speed returns the speed of a server, 1 for the usual one, from a number of samples and the sum
// of their residuals.
func Speed(samples, residuals float64) float64 {
	if !(samples > 0) || math.IsNaN(residuals) {
		return 1
	}
	log := -residuals / (samples + priorSamples)
	if !(math.Abs(log) > deadZone) {
		return 1
	}
	log *= min(math.Abs(log)/deadZone-1, 1)
	return min(max(math.Exp(log), minSpeed), maxSpeed)
}
