package router

import (
	"time"

	"primrosehook/driver"
)

// engine is the router's record of one engine.
type engine struct {
	Engine
	// reported is the load in the newest report or answer, sent and done what
	// this instance has sent and seen end since that report was made.
	reported int
	since    time.Time
	changes  []change
	// flight is how many requests of this instance run there, suspects how
	// many of them were lost with an engine before.
	flight   int
	suspects int
	limit    Limit

	prefixes prefixes
	// pace is the measured time to the first token against the estimate.
	pace float64

	failures     int
	ejections    int
	ejectedUntil time.Time
}

// change is a request that was sent (+1) or has ended (-1).
type change struct {
	at    time.Time
	delta int
}

// maxChanges bounds the changes kept for an engine whose reports have stopped.
const maxChanges = 4096

func (e *engine) update(next Engine) {
	if next.Report.Boot != e.Report.Boot {
		// A restarted engine has lost its cache and its requests.
		e.prefixes = prefixes{}
		e.changes = e.changes[:0]
		e.since = time.Time{}
	}
	e.Engine = next
	e.observe(next.At, next.Report.Load)
}

// observe takes a load that was read at a time. An older one is left out: the
// reply of a request may have brought a newer one already.
func (e *engine) observe(at time.Time, load driver.Load) {
	if at.Before(e.since) {
		return
	}
	e.since = at
	e.reported = load.Running + load.Waiting
	kept := e.changes[:0]
	for _, c := range e.changes {
		if c.at.After(at) {
			kept = append(kept, c)
		}
	}
	e.changes = kept
}

// load estimates how many requests the engine has now. The work of others is
// taken to be as it was reported, since under load what ends is replaced.
func (e *engine) load() int {
	sum := e.reported
	for _, c := range e.changes {
		sum += c.delta
	}
	return max(sum, e.flight)
}

func (e *engine) change(now time.Time, delta int) {
	e.flight = max(e.flight+delta, 0)
	if len(e.changes) < maxChanges {
		e.changes = append(e.changes, change{at: now, delta: delta})
	}
}

// estimate returns the time to the first token: the wait for a place, and the
// prefill of the part of the prompt that is not cached.
func (r *Router) estimate(e *engine, q *Request, s Signals) time.Duration {
	wait := time.Duration(0)
	if ahead := s.Load - s.Batch + 1; ahead > 0 {
		wait = time.Duration(ahead) * r.Service(q.Model) / time.Duration(s.Batch)
	}
	prefill := time.Duration(float64(q.Prompt) * (1 - s.Hit) * float64(r.perByte))
	return wait + time.Duration(float64(prefill)*e.pace)
}

// Service returns the mean time that a request of a model holds a place.
func (r *Router) Service(model string) time.Duration {
	if d, ok := r.services[model]; ok {
		return d
	}
	return r.service
}

// Capacity returns how many places the engines that hold the weights have,
// and how many of these are free by the newest estimate.
func (r *Router) Capacity(w driver.Weights) (places, free int) {
	for _, e := range r.holders(w) {
		if e.leaving() {
			continue
		}
		places += max(e.Report.Batch, 1)
		free += max(e.Report.Batch-e.load(), 0)
	}
	return places, free
}

// Copies returns how many engines hold the weights, and how many load them.
func (r *Router) Copies(w driver.Weights) (ready, loading int) {
	return len(r.holders(w)), r.loading[w]
}

// Sent counts a request that goes to an engine.
func (r *Router) Sent(now time.Time, name string, q *Request) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	e.change(now, 1)
	if q.Losses > 0 {
		e.suspects++
	}
	e.prefixes.add(q.Prefixes)
}

// Outcome is how a request on an engine ended.
type Outcome struct {
	// Failed is set when the engine is to blame; Crashed when it was lost.
	Failed  bool
	Crashed bool
	// First and Total are the times to the first and the last token, zero if
	// unknown.
	First time.Duration
	Total time.Duration
	// Load is the load that came with the answer, if any.
	Load *driver.Load
}

// Done counts a request that has ended.
func (r *Router) Done(now time.Time, name string, q *Request, o Outcome) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	e.change(now, -1)
	if q.Losses > 0 {
		e.suspects = max(e.suspects-1, 0)
	}
	if o.Load != nil {
		e.observe(now, *o.Load)
	}
	if o.Failed || o.Crashed {
		r.fail(now, e, o.Crashed)
		return
	}
	e.failures = 0
	e.ejections = 0
	r.learn(now, e, q, o)
}

// learn keeps moving means of what requests take.
func (r *Router) learn(now time.Time, e *engine, q *Request, o Outcome) {
	if o.Total > 0 {
		mean := r.Service(q.Model)
		r.services[q.Model] = mean + (o.Total-mean)/learnShare
	}
	if o.First <= 0 {
		return
	}
	if e.limit != nil {
		e.limit.Observe(now, o.First, e.flight)
	}
	prefill := float64(q.Prompt) * float64(r.perByte)
	if prefill > 0 {
		ratio := min(max(float64(o.First)/prefill, minPace), maxPace)
		e.pace += (ratio - e.pace) / learnShare
	}
}

// The bounds of an engine's pace, and the share of a new sample in a mean.
const (
	minPace    = 0.25
	maxPace    = 8
	learnShare = 8
)

// fail ejects an engine that was lost, or that has failed a few times running.
func (r *Router) fail(now time.Time, e *engine, crashed bool) {
	e.failures++
	if !crashed && e.failures < r.failures && e.ejections == 0 {
		return
	}
	e.ejectedUntil = now.Add(r.eject << min(e.ejections, maxDoublings))
	e.ejections++
	e.failures = 0
}

// maxDoublings bounds how often the time of an ejection doubles.
const maxDoublings = 5

// Cached takes a cache event of an engine.
func (r *Router) Cached(name string, event driver.CacheEvent) {
	e, ok := r.engines[name]
	if !ok {
		return
	}
	if event.Gone {
		e.prefixes.remove(event.Prefix)
		return
	}
	e.prefixes.add([]uint64{event.Prefix})
}
