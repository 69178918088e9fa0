package simulator

import (
	"context"
	"sync"

	"primrosehook/jobtracker"
)

// Engine runs the jobs of all instances of a fleet and counts the runs of each.
type Engine struct {
	mu   sync.Mutex
	runs map[string]int
	// fail returns the error of each run.
	fail func(job jobtracker.Job) error
	// gate, if not nil, blocks each run until it receives from it or its
	// context ends.
	gate chan struct{}
	// Started receives the request of a job when a run starts.
	Started chan string
}

// NewEngine returns an engine on which every job succeeds without delay.
func NewEngine() *Engine {
	return &Engine{runs: map[string]int{}, fail: Succeed, Started: make(chan string, maxSends)}
}

// Succeed returns nil: the run succeeds.
func Succeed(jobtracker.Job) error { return nil }

// Do implements runner.RunFunc.
func (e *Engine) Do(ctx context.Context, j jobtracker.Job) ([]byte, error) {
	e.mu.Lock()
	e.runs[string(j.Request)]++
	err, gate := e.fail(j), e.gate
	e.mu.Unlock()
	e.Started <- string(j.Request)
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return []byte("result of " + string(j.Request)), err
}

// RunCount returns how often a request ran.
func (e *Engine) RunCount(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// SetBehavior sets the function that returns the error of each later run, and a channel
// that blocks each of these runs until it receives from it, or nil. Calls to
// the function are serialized.
func (e *Engine) SetBehavior(fail func(jobtracker.Job) error, gate chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fail, e.gate = fail, gate
}
