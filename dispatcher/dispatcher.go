// Package dispatcher admits requests and assigns each to an engine. It combines
// the queue of package limiter with the choices of package router.
package dispatcher

import (
	"context"
	"time"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/lister"
)

// Work is a request that needs an engine.
type Work struct {
	ID string
	driver.Weights
	// Client names the client, for fair queueing and as the routing session.
	Client string
	// Class, Priority, Deadline and MaxWait come from the rule that matched.
	Class    string
	Priority int
	// Deadline is when the first token must be sent; zero means none.
	Deadline time.Time
	// MaxWait is how long the work may wait for a slot.
	MaxWait time.Duration
	// Deferred work uses spare capacity.
	Deferred bool
	// Created is when the work was accepted. The due time of deferred work is
	// computed from it, also when the work is offered again; zero means the time
	// of the offer.
	Created time.Time
	// Prefixes are the hashes of the prompt's prefixes; see driver.Prefixes.
	Prefixes []uint64
	// Prompt is the prompt's length in bytes, Tokens the maximum number of tokens
	// to generate.
	Prompt int
	Tokens int
	// Digest identifies equal requests, for the quarantine of requests that crash
	// engines.
	Digest uint64
	// Exclude names engines that have failed this work.
	Exclude []string
	// Crashes is how many engines were lost while they ran this work.
	Crashes int
}

// Grant is a slot on an engine. It must be released exactly once.
type Grant struct {
	Work   Work
	Engine lister.Instance
	// At is when the slot was granted.
	At time.Time
	// Candidates lists the engines that were considered, for operators.
	Candidates []Candidate
}

// Candidate is an engine that was considered; see router.Candidate.
type Candidate struct {
	Engine string
	Score  float64
	Why    string
}

// Result is the outcome of a granted request.
type Result struct {
	Verdict judge.Verdict
	// Failed is set when no complete response arrived and the engine is at fault.
	// A client that disconnects is not a failure.
	Failed bool
	// Crashed is set when the engine was lost while it ran the request.
	Crashed bool
	// FirstToken is the time to the first token, Total to the last.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
	// Load is the engine's load that came with the response, or nil.
	Load *driver.Load
}

// Dispatcher assigns requests to slots on engines.
type Dispatcher interface {
	// Acquire waits for a slot, at most as long as the work may queue. It refuses
	// work as soon as it is known that its deadline cannot be met. Every error is
	// a judge.Refusal with verdict NotRun.
	Acquire(ctx context.Context, work Work) (Grant, error)
	// Release returns the slot.
	Release(grant Grant, result Result)
	// Retry reports whether the retry budget allows another attempt, and counts it
	// if so.
	Retry() bool
	// UpdateEngines replaces the known state of all engines.
	UpdateEngines(all []Engine)
}

// Engine is the known state of an engine.
type Engine struct {
	lister.Instance
	Report driver.Report
	// At is the time of the report by this instance's clock.
	At time.Time
}
