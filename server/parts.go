package server

import (
	"context"
	"time"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/forwarder"
	"primrosehook/lister"
	"primrosehook/ruler"
)

// Rules gives the rule list in force. Before the first one it returns a nil
// list, and the instance is not ready.
type Rules interface {
	InForce() (version int64, list *ruler.List)
}

// Publisher puts a rule list in force.
type Publisher interface {
	// Publish replaces the list of version base, 0 for the first one, and
	// returns the new version. The loser of a race gets a judge.Refusal with
	// status 409.
	Publish(ctx context.Context, base int64, source []byte) (version int64, err error)
}

// Dispatcher gives requests a place on an engine. It is the part of
// dispatcher.Dispatcher that the server needs.
type Dispatcher interface {
	Acquire(ctx context.Context, work dispatcher.Work) (dispatcher.Grant, error)
	Release(grant dispatcher.Grant, result dispatcher.Result)
	Retry() bool
}

// Engines returns the driver of the engine at an address "IP:port".
type Engines func(addr string) driver.Engine

// View lists the known instances of a kind, leaving ones included.
type View interface {
	Instances(kind string) []lister.Instance
}

// Demand says what is known of a model's recent demand, for the rules.
type Demand interface {
	// Demand returns the rate of requests a second and how many engines hold
	// the model.
	Demand(model string) (rate float64, copies int)
}

// Forwarder sends a call to one server of a plain service, once. An error's
// verdict says whether the call may have run.
type Forwarder interface {
	Forward(ctx context.Context, addr string, call forwarder.Call) (forwarder.Answer, error)
}

// Write is one non-idempotent call with its idempotency key.
type Write struct {
	forwarder.Call
	Service string
	Key     string
}

// Writer runs a write at most once, over all instances and repeats.
type Writer interface {
	// Write returns the outcome; repeated is set if it is an earlier one.
	Write(ctx context.Context, write Write) (outcome forwarder.Answer, repeated bool, err error)
}

// Job is deferred work. Its body is a request for the generation route URL.
type Job struct {
	ID     string
	Caller string
	Class  string
	// Model is as the caller wrote it.
	Model    string
	Priority int
	// Within bounds the completion after the acceptance; zero means none.
	Within time.Duration
	// Accepted is when the job was accepted. It is zero in a call of Accept.
	Accepted time.Time
	URL      string
	Body     []byte
}

// The states of a job.
const (
	JobQueued = "queued"
	JobDone   = "done"
	JobFailed = "failed"
)

// JobState is what is known of an accepted job.
type JobState struct {
	ID       string
	State    string
	Accepted time.Time
	// Status and Body are the answer of a job that is done or failed.
	Status int
	Body   []byte
}

// Jobs keeps deferred work.
type Jobs interface {
	// Accept returns the id by which any instance finds the job, once the
	// job is sure to outlive this one. The same Job.ID gets the same job; it
	// names the request and need not be the id returned.
	Accept(ctx context.Context, job Job) (string, error)
	// Fetch returns a job's state, whichever instance accepted it. An unknown
	// id is a judge.Refusal with status 404.
	Fetch(ctx context.Context, id string) (JobState, error)
}

// Quarantine remembers requests that crash engines.
type Quarantine interface {
	// Held reports for how long yet a digest is in quarantine, zero if it is
	// not.
	Remaining(digest uint64) time.Duration
	// Crashed tells of an engine that was lost while it ran the request.
	// Beside is how many requests of this instance ran there at that time.
	EngineCrashed(digest uint64, engine string, beside int)
	// Finished tells of a request that came to its end.
	RequestCompleted(digest uint64)
	// Status returns the suspects for operators. It must be JSON encodable.
	Status() any
}

// Status returns one part's state for operators. It must be JSON encodable.
type Status func() any

// Fleet collects the status of all entry instances. The key is the instance's
// name, the value what its own /admin/status answers.
type Fleet func(ctx context.Context) map[string]any

// Orders returns why an order to an engine was given and how it ended, if this
// instance knows. It must be JSON encodable.
type Orders func(id string) (explanation any, ok bool)

// Check returns why an instance isn't ready, or nil.
type Check func() error
