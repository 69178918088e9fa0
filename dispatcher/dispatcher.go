// Package dispatcher admits requests and gives each an engine. It is the shell
// around the cores in limiter and router.
package dispatcher

import (
	"context"
	"time"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/lister"
)

// Work is one request that wants an engine.
type Work struct {
	ID string
	driver.Weights
	// Caller is who asks, for fairness.
	Caller string
	// Class, Priority, Deadline and Queue come from the rule that matched.
	Class    string
	Priority int
	// Deadline is when the first token must be out; zero means none.
	Deadline time.Time
	// Queue is how long the work may wait for a place.
	Queue time.Duration
	// Deferred work fills what is left.
	Deferred bool
	// Created is when the work was accepted. Deferred work ages from then on,
	// also when it is offered anew; zero means that it ages from the offer.
	Created time.Time
	// Prefixes are the hashes of the prompt's prefixes, see driver.Prefixes.
	Prefixes []uint64
	// Prompt is the prompt's length in bytes; Tokens the most to generate.
	Prompt int
	Tokens int
	// Digest identifies equal requests, for the crash quarantine.
	Digest uint64
	// Exclude names engines that have failed this work.
	Exclude []string
	// Losses is how many engines were lost while they ran this work.
	Losses int
}

// Grant is a place on an engine. It must be released once.
type Grant struct {
	Work   Work
	Engine lister.Instance
	// At is when the place was given.
	At time.Time
	// Why says for the operator which candidates there were and why each lost.
	Why []Candidate
}

// Candidate is one engine that was weighed.
type Candidate struct {
	Engine string
	Score  float64
	Why    string
}

// Result is how a granted request ended.
type Result struct {
	Verdict judge.Verdict
	// Failed is set when no whole answer came and the engine is to blame. A
	// caller that went away is no failure.
	Failed bool
	// Crashed is set when the engine was lost while it ran the request.
	Crashed bool
	// First is the time to the first token, Total to the last.
	First  time.Duration
	Total  time.Duration
	Tokens int
	// Load is the engine's report that came with the answer, if any.
	Load *driver.Load
}

// Dispatcher gives places to requests.
type Dispatcher interface {
	// Acquire waits for a place, at most as long as the work may queue. It
	// refuses work that cannot meet its deadline as soon as that is known.
	// Every error is a judge.Refusal with verdict NotRun.
	Acquire(ctx context.Context, work Work) (Grant, error)
	// Release gives the place back.
	Release(grant Grant, result Result)
	// Retry reports whether the retry budget allows one more try.
	Retry() bool
	// Engines replaces what is known of the engines.
	Engines(all []Engine)
}

// Engine is what is known of one engine.
type Engine struct {
	lister.Instance
	Report driver.Report
	// At is when the report was made, on this instance's clock.
	At time.Time
}
