package balancer

import (
	"time"

	"primrosehook/admitter"
)

// RetryDelay predicts how soon a request that was just refused could be served:
// when package admitter would admit it behind the refused ones that come back before, the
// time of a cold load, or the time until a rate limit allows it.
func (f *Fleet) RetryDelay(service string, q Request, status Status) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if status == NotLoaded {
		return f.loadWait(f.clock.Now(), service, q)
	}
	if status == AllExcluded || status == Ended {
		return coldLoadTime
	}
	if status == RateLimited {
		now := f.clock.Now()
		return max(f.core(service).PauseEnd(now, q.Key()).Sub(now), 0)
	}
	return f.returnDelay(f.clock.Now(), service, q)
}

// Congestion is what a refusal is based on, for the log.
type Congestion struct {
	// Replicas is the number of replicas of the model. InFlight is the known
	// number of requests in flight there, PrefillTokens the known number of
	// prompt tokens that await prefill, PeersAge the age of the peers' part of
	// both.
	Replicas, InFlight, PrefillTokens int
	PeersAge                          time.Duration
	// Queued is how many requests of the service wait on this instance,
	// PredictedWait how long one more would wait.
	Queued        int
	PredictedWait time.Duration
	// Decision is what would be decided on the request, by Load. Reviewed counts the requests of
	// the service that were refused while they waited, since their turn came too late.
	Decision admitter.Decision
	Load     admitter.Load
	Reviewed int
}

// Congestion returns the load that a request would meet now.
func (f *Fleet) Congestion(service string, q Request) Congestion {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	queue := f.queue(service)
	s := Congestion{Queued: queue.Len(), PredictedWait: queue.Predict(now, q), Reviewed: queue.reviewed}
	s.Decision, s.Load = f.decide(now, service, q)
	if c, ok := f.cores[service]; ok {
		s.Replicas, s.InFlight, s.PrefillTokens, s.PeersAge = c.sumReplicas(now, q.Key())
	}
	return s
}
