package prober

import (
	"context"
	"sync"

	"primrosehook/jobtracker"
)

// Engine does jobs for all instances of a fleet and counts.
type Engine struct {
	mu   sync.Mutex
	runs map[string]int
	fail func(job jobtracker.Job) error
	gate chan struct{}
	// Began gets the job's request as a run begins.
	Began chan string
}

// NewEngine returns an engine that does every job at once.
func NewEngine() *Engine {
	return &Engine{runs: map[string]int{}, fail: Succeed, Began: make(chan string, maxArrived)}
}

// Succeed lets a run succeed.
func Succeed(jobtracker.Job) error { return nil }

// Do implements runner.RunFunc.
func (e *Engine) Do(ctx context.Context, j jobtracker.Job) ([]byte, error) {
	e.mu.Lock()
	e.runs[string(j.Request)]++
	err, gate := e.fail(j), e.gate
	e.mu.Unlock()
	e.Began <- string(j.Request)
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return []byte("result of " + string(j.Request)), err
}

// Ran returns how often a request ran.
func (e *Engine) Ran(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Set sets what is asked before each of the next runs, one at a time, and what
// holds them, if not nil.
func (e *Engine) Set(fail func(jobtracker.Job) error, gate chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fail, e.gate = fail, gate
}
