package bencher

import (
	"time"

	"primrosehook/dispatcher"
	"primrosehook/limiter"
	"primrosehook/poolplanner"
	"primrosehook/router"
)

// Policy is a combination of routing, admission and placement decisions.
type Policy struct {
	Name string
	// ReplacesAll is set for a baseline that replaces all decisions; the other
	// baselines replace a single decision of the project's policy.
	ReplacesAll bool
	Options     []dispatcher.Option
	Planner     func() poolplanner.Planner
}

// Own is the name of the project's policy.
const Own = "own"

func own() poolplanner.Planner    { return poolplanner.New() }
func static() poolplanner.Planner { return staticPlanner{} }
func lru() poolplanner.Planner    { return &lruPlanner{used: map[replicaKey]time.Time{}} }
func greedy() poolplanner.Planner { return greedyPlanner{} }

// scored routes by a score, among a number of random choices; 0 means all engines.
func scored(score func(router.Signals) float64, choices int) dispatcher.Option {
	return dispatcher.WithRouter(router.WithScore(score), router.WithSampleSize(choices))
}

func byDraw(s router.Signals) float64     { return s.Draw }
func byReport(s router.Signals) float64   { return float64(s.Reported) }
func byEstimate(s router.Signals) float64 { return float64(s.Load) }

// bySession prefers the same engine for all requests of a session, by rendezvous
// hashing.
func bySession(s router.Signals) float64 {
	return float64(mix(s.Session^hash(s.Engine)) >> 11)
}

// unlimited forwards every request immediately, without a limit per engine.
func unlimited() dispatcher.Option {
	return dispatcher.WithRouter(router.WithQueueShare(1000), router.WithDeferredShare(1000))
}

func fifo() dispatcher.Option { return dispatcher.WithQueue(limiter.WithFIFO()) }

// unrefused disables early refusals.
func unrefused() dispatcher.Option { return dispatcher.WithRefusal(false) }

// limited uses an adaptive concurrency limit for each engine.
func limited(limit func() router.Limit) dispatcher.Option {
	return dispatcher.WithRouter(router.WithQueueShare(1000), router.WithLimit(limit))
}

func gradient() router.Limit { return limiter.NewGradientLimit() }
func delay() router.Limit    { return limiter.NewDelayLimit() }

// Policies returns the project's policy, the baselines that replace one of its
// decisions, and the baselines that replace all of them.
func Policies() []Policy {
	options := func(o ...dispatcher.Option) []dispatcher.Option { return o }
	return []Policy{
		{Name: Own, Planner: own},
		{Name: "route:random", Planner: own, Options: options(scored(byDraw, 0))},
		{Name: "route:least-stale", Planner: own, Options: options(scored(byReport, 0))},
		{Name: "route:two-choices", Planner: own, Options: options(scored(byEstimate, 2))},
		{Name: "route:session", Planner: own, Options: options(scored(bySession, 0))},
		{Name: "place:static", Planner: static},
		{Name: "place:lru", Planner: lru},
		{Name: "place:greedy", Planner: greedy},
		{Name: "admit:fifo", Planner: own, Options: options(fifo())},
		{Name: "admit:no-limit", Planner: own, Options: options(unlimited(), unrefused())},
		{Name: "admit:batch", Planner: own, Options: options(dispatcher.WithRouter(router.WithQueueShare(0)))},
		{Name: "admit:gradient", Planner: own, Options: options(limited(gradient))},
		{Name: "admit:delay", Planner: own, Options: options(limited(delay))},
		{Name: "random+static+fifo", ReplacesAll: true, Planner: static, Options: options(scored(byDraw, 0), fifo(), unlimited(), unrefused())},
		{Name: "least+lru+fifo", ReplacesAll: true, Planner: lru, Options: options(scored(byReport, 0), fifo(), unlimited(), unrefused())},
		{Name: "session+lru+fifo", ReplacesAll: true, Planner: lru, Options: options(scored(bySession, 0), fifo(), unlimited(), unrefused())},
		{Name: "two+greedy+fifo", ReplacesAll: true, Planner: greedy, Options: options(scored(byEstimate, 2), fifo(), unlimited(), unrefused())},
	}
}
