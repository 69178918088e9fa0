package serveassembler

import (
	"context"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/jobtracker"
	"primrosehook/judge"
	"primrosehook/runner"
	"primrosehook/server"
)

// jobsPort passes the server's jobs to the runner, and the runner's calls back to
// the server, which executes them.
type jobsPort struct {
	runner *runner.Runner
	// server is set after the server is built, before the runner starts.
	server *server.Server
}

// jobResult is the stored form of a job's answer.
type jobResult struct {
	Status int    `msgpack:"s"`
	Body   []byte `msgpack:"b"`
}

// Accept implements server.Jobs.
func (p *jobsPort) Accept(ctx context.Context, job server.Job) (string, error) {
	body, err := msgpack.Marshal(job)
	if err != nil {
		return "", judge.Invalid("encode", "job cannot be encoded")
	}
	return p.runner.Accept(ctx, runner.Request{
		Key: job.ID, Class: job.Class, Priority: job.Priority, CompletionLimit: job.Within, Body: body,
	})
}

// Fetch implements server.Jobs.
func (p *jobsPort) Fetch(ctx context.Context, id string) (server.JobState, error) {
	status, err := p.runner.Fetch(ctx, id)
	if err != nil {
		return server.JobState{}, err
	}
	state := server.JobState{ID: id, State: server.JobQueued}
	switch status.State {
	case runner.StateFailed:
		state.State, state.Status = server.JobFailed, http.StatusGatewayTimeout
		state.Body, err = server.RefusalBody(&judge.Refusal{
			Verdict: judge.MayHaveRun, Status: state.Status, Code: "job-failed", Reason: status.Reason,
		})
	case runner.StateDone:
		var result jobResult
		err = msgpack.Unmarshal(status.Result, &result)
		state.State, state.Status, state.Body = server.JobDone, result.Status, result.Body
		if result.Status >= http.StatusBadRequest {
			state.State = server.JobFailed
		}
	}
	return state, err
}

// run executes a job for the runner.
func (p *jobsPort) run(ctx context.Context, kept jobtracker.Job) ([]byte, error) {
	var job server.Job
	if err := msgpack.Unmarshal(kept.Request, &job); err != nil {
		return nil, judge.Invalid("job", "job is malformed")
	}
	job.Accepted = time.UnixMilli(kept.Time)
	status, body, err := p.server.RunJob(ctx, job)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(jobResult{Status: status, Body: body})
}
