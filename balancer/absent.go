package balancer

import (
	"slices"
	"time"

	"primrosehook/matcher"
)

const (
	// orderTime is how long it takes until a model that is missing is ordered: a report, a plan
	// and the order.
	orderTime = 700 * time.Millisecond
	// maxAbsent bounds the models and adapters whose absence is remembered.
	maxAbsent = 4096
)

// SetModels sets the models of a service, whose load times say how long requests for a missing
// one have to wait.
func (f *Fleet) SetModels(service string, models map[string]matcher.Model) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.models[service] = models
}

// loadWait predicts how long a request has to wait for a model or adapter that no server has
// loaded: until the load that the first such request has led to is completed, or another one if
// that is overdue. f.mu must be held.
func (f *Fleet) loadWait(now time.Time, service string, q Request) time.Duration {
	key := demandKey{service, q.Key(), ""}
	since, ok := f.absentSince[key]
	if !ok {
		if len(f.absentSince) >= maxAbsent {
			clear(f.absentSince)
		}
		since = now
		f.absentSince[key] = now
	}
	load := orderTime + f.loadTime(service, q)
	if since.Add(load).Before(now) {
		return load / 2
	}
	return since.Add(load).Sub(now)
}

// loadTime returns how long a load of a model takes where that is shortest. An adapter of a model
// that is loaded takes no time to speak of.
func (f *Fleet) loadTime(service string, q Request) time.Duration {
	model, ok := f.models[service][q.Model]
	if !ok {
		return 0
	}
	c := f.core(service)
	best := model.ColdLoadTime
	for _, s := range c.sorted {
		switch {
		case s.Draining:
		case s.loaded[q.Model]:
			return 0
		case slices.Contains(s.InMemory, q.Model):
			best = min(best, model.HostLoadTime)
		case slices.Contains(s.OnDisk, q.Model):
			best = min(best, model.DiskLoadTime)
		}
	}
	return best
}
