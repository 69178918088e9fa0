package coordinator

import (
	"math"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"primrosehook/forecaster"
	"primrosehook/matcher"
)

const (
	// predictionLogInterval is the least pause between two log lines on growing demand, of which a
	// plan each 100 ms would write one.
	predictionLogInterval = time.Second
	// minLoggedGrowth is the least growth in a log line, in requests a second: that of a replica.
	minLoggedGrowth = 2.5
)

// growingDemand returns by how much the demand for the models of a service is expected to exceed the
// present one once a load from the weight store that begins now is done.
func (c *clusterState) growingDemand(service string, e *matcher.Engine) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	rates := map[string]forecaster.Rates{}
	for k, d := range c.demand {
		if k.service != service {
			continue
		}
		model, _, _ := strings.Cut(k.key, "/")
		r := rates[model]
		r.Fast += d.fast.Rate(now, fastHalfLife)
		r.Slow += d.slow.Rate(now, slowHalfLife)
		rates[model] = r
	}
	return forecaster.Growth(forecaster.New(fastHalfLife, slowHalfLife), rates, func(model string) time.Duration { return e.Models[model].ColdLoadTime })
}

// predictions shows operators what demand was predicted. The zero value has shown none.
type predictions struct {
	loggedAt time.Time
	// growth is the predicted growth of all models of the last plan, in requests a second.
	growth atomic.Int64
}

// report publishes the predictions of a plan, and logs the largest one. demand includes the growth.
func (p *predictions) report(now time.Time, log *zap.Logger, service string, growth, demand map[string]float64) {
	most, total := "", 0.0
	for m, g := range growth {
		total += g
		if most == "" || g > growth[most] || g == growth[most] && m < most {
			most = m
		}
	}
	p.growth.Store(int64(math.Round(total)))
	if growth[most] < minLoggedGrowth || now.Sub(p.loggedAt) < predictionLogInterval {
		return
	}
	p.loggedAt = now
	log.Info("orders: demand grows", zap.String("service", service), zap.String("model", most),
		zap.Float64("requests_per_s", demand[most]-growth[most]), zap.Float64("predicted_growth", growth[most]), zap.Float64("growth_of_all", total))
}

// PredictedGrowth returns by how much this instance expects the demand for all models to grow within
// the time of a load, in requests a second; zero unless it holds the lease.
func (c *Coordinator) PredictedGrowth() int64 {
	if !c.HoldsLease() {
		return 0
	}
	return c.reconciler.predictions.growth.Load()
}
