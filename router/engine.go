package router

import (
	"time"

	"primrosehook/driver"
)

// engine is the router's state of one engine.
type engine struct {
	Engine
	// reportedLoad is the load in the newest report or response, and observedAt
	// the time of that report. deltas are the requests that this instance has
	// sent or seen complete since then.
	reportedLoad int
	observedAt   time.Time
	deltas       []loadDelta
	// inFlight counts this instance's requests in flight on the engine, and
	// suspects those of them that were running on an engine that crashed.
	inFlight int
	suspects int
	limit    Limit

	prefixes prefixes
	// prefillRatio is a moving average of the measured time to first token over
	// the estimated prefill time of the whole prompt.
	prefillRatio float64

	failures     int
	ejections    int
	ejectedUntil time.Time
}

// loadDelta records that a request was sent (+1) or has completed (-1).
type loadDelta struct {
	at    time.Time
	delta int
}

// maxDeltas bounds the deltas of an engine whose reports have stopped.
const maxDeltas = 4096

func (e *engine) update(next Engine) {
	if next.Report.Incarnation != e.Report.Incarnation {
		// A restarted engine has lost its cache and its requests.
		e.prefixes = prefixes{}
		e.deltas = e.deltas[:0]
		e.observedAt = time.Time{}
	}
	e.Engine = next
	e.observe(next.At, next.Report.Load)
}

// observe applies a load measured at the given time. A load older than the
// current one is ignored: the response to a request may have carried a newer
// one than a report that arrives late.
func (e *engine) observe(at time.Time, load driver.Load) {
	if at.Before(e.observedAt) {
		return
	}
	e.observedAt = at
	e.reportedLoad = load.Running + load.Waiting
	kept := e.deltas[:0]
	for _, c := range e.deltas {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	e.deltas = kept
}

// load estimates how many requests the engine has now. The requests of peers are
// assumed unchanged since the report, since under load every completed request
// is replaced by a new one.
func (e *engine) load() int {
	sum := e.reportedLoad
	for _, c := range e.deltas {
		sum += c.delta
	}
	return max(sum, e.inFlight)
}

func (e *engine) addDelta(now time.Time, delta int) {
	e.inFlight = max(e.inFlight+delta, 0)
	if len(e.deltas) < maxDeltas {
		e.deltas = append(e.deltas, loadDelta{at: now, delta: delta})
	}
}

// estimateFirstToken estimates the time to first token: the wait for a slot plus
// the prefill of the uncached part of the prompt.
func (r *Router) estimateFirstToken(e *engine, q *Request, s Signals) time.Duration {
	wait := time.Duration(0)
	if ahead := s.Load - s.Batch + 1; ahead > 0 {
		wait = time.Duration(ahead) * r.Service(q.Model) / time.Duration(s.Batch)
	}
	prefill := time.Duration(float64(q.Prompt) * (1 - s.CacheHit) * float64(r.prefillPerByte))
	return wait + time.Duration(float64(prefill)*e.prefillRatio)
}

// Service returns the mean time that a request for a model occupies a slot.
func (r *Router) Service(model string) time.Duration {
	if d, ok := r.serviceTimes[model]; ok {
		return d
	}
	return r.initialService
}

// Capacity returns the number of slots on the replicas of the weights, without
// leaving engines, and how many of them are free by estimate.
func (r *Router) Capacity(w driver.Weights) (slots, free int) {
	for _, e := range r.replicas(w) {
		if e.isLeaving() {
			continue
		}
		slots += max(e.Report.MaxBatch, 1)
		free += max(e.Report.MaxBatch-e.load(), 0)
	}
	return slots, free
}

// Replicas returns how many engines have the weights loaded, and how many are
// loading them.
func (r *Router) Replicas(w driver.Weights) (ready, loading int) {
	return len(r.replicas(w)), r.loading[w]
}

// Sent records that a request was sent to an engine.
func (r *Router) Sent(now time.Time, name string, q *Request) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	e.addDelta(now, 1)
	if q.Crashes > 0 {
		e.suspects++
	}
	e.prefixes.add(q.Prefixes)
}

// Outcome is the result of a request on an engine.
type Outcome struct {
	// Failed is set if the engine failed the request, Crashed if the engine
	// was lost.
	Failed  bool
	Crashed bool
	// FirstToken and Total are the times to the first and to the last token; zero
	// means unknown.
	FirstToken time.Duration
	Total      time.Duration
	// Load is the load that came with the response, or nil.
	Load *driver.Load
}

// Done records that a request has completed.
func (r *Router) Done(now time.Time, name string, q *Request, o Outcome) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	e.addDelta(now, -1)
	if q.Crashes > 0 {
		e.suspects = max(e.suspects-1, 0)
	}
	if o.Load != nil {
		e.observe(now, *o.Load)
	}
	if o.Failed || o.Crashed {
		r.recordFailure(now, e, o.Crashed)
		return
	}
	e.failures = 0
	e.ejections = 0
	r.updateMeans(now, e, q, o)
}

// updateMeans updates the moving averages of service time and prefill ratio, and
// the engine's concurrency limit.
func (r *Router) updateMeans(now time.Time, e *engine, q *Request, o Outcome) {
	if o.Total > 0 {
		mean := r.Service(q.Model)
		r.serviceTimes[q.Model] = mean + (o.Total-mean)/ewmaDivisor
	}
	if o.FirstToken <= 0 {
		return
	}
	if e.limit != nil {
		e.limit.Observe(now, o.FirstToken, e.inFlight)
	}
	prefill := float64(q.Prompt) * float64(r.prefillPerByte)
	if prefill > 0 {
		ratio := min(max(float64(o.FirstToken)/prefill, minPrefillRatio), maxPrefillRatio)
		e.prefillRatio += (ratio - e.prefillRatio) / ewmaDivisor
	}
}

// Bounds of prefillRatio, and the divisor of a new sample in the moving averages.
const (
	minPrefillRatio = 0.25
	maxPrefillRatio = 8
	ewmaDivisor     = 8
)

// recordFailure ejects an engine that was lost, that failed maxFailures times in a
// row, or that fails again before a request has succeeded since its ejection.
func (r *Router) recordFailure(now time.Time, e *engine, crashed bool) {
	e.failures++
	if !crashed && e.failures < r.maxFailures && e.ejections == 0 {
		return
	}
	e.ejectedUntil = now.Add(r.baseEjection << min(e.ejections, maxEjectionDoublings))
	e.ejections++
	e.failures = 0
}

// maxEjectionDoublings bounds how often the ejection time doubles.
const maxEjectionDoublings = 5

// ApplyCacheEvent applies a prefix cache event of an engine.
func (r *Router) ApplyCacheEvent(name string, event driver.CacheEvent) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	if event.Evicted {
		e.prefixes.remove(event.Prefix)
		return
	}
	e.prefixes.add([]uint64{event.Prefix})
}
