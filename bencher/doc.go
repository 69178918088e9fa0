// Package bencher drives the project's decisions with seeded workloads and
// compares them with baselines.
//
// The cores that serve (dispatcher.Core and poolplanner.Planner) run unchanged
// under a clock of the package's own. Around them stand small models of what
// the cores talk to: engines with continuous batching, a prefix cache and
// memory; a rate-limited weight store; callers. There is no model of a network
// beyond a delay, and of cache events beyond delay and loss. Another bench can
// take the place of this one without a change to the cores.
//
// A run is a pure function of its Run value: no clock, no goroutine and no
// random source from outside.
package bencher
