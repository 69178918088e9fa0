// Package bencher is a discrete-event simulator that runs the project's routing,
// admission and placement code on seeded workloads and compares it with baselines.
//
// The production cores (dispatcher.Core and poolplanner.Planner) run unchanged on
// simulated time. The package models what surrounds them: engines with continuous
// batching, a prefix cache and memory; a rate-limited weight store; and callers.
// The network is modelled as a delay only, and cache events as delayed and partly
// lost. The cores do not depend on this package, so another simulator can replace
// it without a change to them.
//
// The result of a run depends only on its Run value: a run reads no wall clock,
// starts no goroutine and uses no outside source of randomness.
package bencher
