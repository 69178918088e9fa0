// Package poolplanner plans which models are loaded on which engines of a
// pool. It does no I/O.
package poolplanner

import (
	"time"

	"primrosehook/driver"
)

// Engine is the planner's input for an engine.
type Engine struct {
	Name string
	Zone string
	// Free is the memory in MB that is free in the worst case: without the
	// reserve for requests and what any unresolved order may still take.
	Free int64
	// Busy is set while an order to the engine is unresolved. It gets no other
	// order until then.
	Busy bool
	// Leaving engines get no loads, and their models do not count as replicas.
	Leaving bool
	Loaded  []driver.LoadedWeights
	Running int
	Waiting int
	// Batch is the maximum number of requests that run at once.
	Batch int
}

// Model is the planner's input for a model or an adapter.
type Model struct {
	driver.Weights
	// Memory is in MB.
	Memory int64
	// MinReplicas is the number of replicas that the rule list requires.
	MinReplicas int
	// Demand is the recent rate of requests per second at all instances, and
	// Urgent the part of it that is not deferred. The demand for a model includes
	// that for its adapters, which cannot run without it.
	Demand float64
	Urgent float64
	// ServiceTime is the mean time that a request occupies a slot in a batch; zero
	// means unknown.
	ServiceTime time.Duration
}

// WeightStore is the planner's input for the weight store.
type WeightStore struct {
	// Rate is the number of loads that may start per second, zero for no limit;
	// Slots the number that run at full speed at once; Loading the number that
	// run now.
	Rate    float64
	Slots   int
	Loading int
}

// State is the input of a plan.
type State struct {
	Engines []Engine
	Models  []Model
	Store   WeightStore
	// Attainment and Moves are the weights of the two objectives in the rule
	// list.
	Attainment float64
	Moves      float64
}

// Move is an order to be sent to an engine.
type Move struct {
	Engine string
	// Op is driver.OpLoad or driver.OpUnload.
	Op string
	driver.Weights
	// Memory is in MB.
	Memory int64
	// Reason is the reason, in one short sentence for operators.
	Reason string
}

// Planner computes the moves for a state. All of them may be sent at once.
type Planner interface {
	Plan(now time.Time, state State) []Move
}
