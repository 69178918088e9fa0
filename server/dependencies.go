package server

import (
	"context"
	"time"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/forwarder"
	"primrosehook/lister"
	"primrosehook/quarantiner"
	"primrosehook/ruler"
)

// Rules returns the rule list in force. Until the first one it returns a nil
// list, and the instance is not ready.
type Rules interface {
	InForce() (version int64, list *ruler.List)
}

// Publisher publishes rule lists.
type Publisher interface {
	// Publish replaces the list of version base, 0 for the first one, and
	// returns the new version. If another version is in force, it returns a
	// judge.Refusal with status 409.
	Publish(ctx context.Context, base int64, source []byte) (version int64, err error)
}

// Dispatcher assigns requests to slots on engines. It is the subset of
// dispatcher.Dispatcher that the server needs.
type Dispatcher interface {
	Acquire(ctx context.Context, work dispatcher.Work) (dispatcher.Grant, error)
	Release(grant dispatcher.Grant, result dispatcher.Result)
	Retry() bool
}

// Engines returns the driver of the engine at an address "IP:port".
type Engines func(addr string) driver.Engine

// View lists the known instances of a kind, including those that are leaving.
type View interface {
	Instances(kind string) []lister.Instance
}

// Demand returns the recent demand for a model, as an input of rules.
type Demand interface {
	// Demand returns the request rate per second and the number of replicas.
	Demand(model string) (rate float64, copies int)
}

// Forwarder sends a call to one server of a plain service, without retries. The
// verdict of an error states whether the call may have run.
type Forwarder interface {
	Forward(ctx context.Context, addr string, call forwarder.Call) (forwarder.Answer, error)
}

// Write is one non-idempotent call with its idempotency key.
type Write struct {
	forwarder.Call
	Service string
	Key     string
}

// Writer executes a write at most once, over all instances and repeated
// requests.
type Writer interface {
	// Write returns the outcome. repeated reports that it is the recorded
	// outcome of an earlier request.
	Write(ctx context.Context, write Write) (outcome forwarder.Answer, repeated bool, err error)
}

// Job is a unit of deferred work. Body is a request body for the generation
// route URL.
type Job struct {
	ID     string
	Caller string
	Class  string
	// Model is the name as the client sent it.
	Model    string
	Priority int
	// Within is the time from acceptance within which the job must complete; 0
	// means no limit.
	Within time.Duration
	// Accepted is when the job was accepted. It is zero in calls of Accept.
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

// JobState is the state of an accepted job.
type JobState struct {
	ID       string
	State    string
	Accepted time.Time
	// Status and Body are the answer of a job that is done or has failed.
	Status int
	Body   []byte
}

// Jobs stores deferred work.
type Jobs interface {
	// Accept stores the job durably, so that it outlives this instance, and
	// returns the id by which any instance finds it. The same Job.ID yields the
	// same job; it identifies the request and may differ from the returned id.
	Accept(ctx context.Context, job Job) (string, error)
	// Fetch returns the state of a job, whichever instance accepted it. For an
	// unknown id it returns a judge.Refusal with status 404.
	Fetch(ctx context.Context, id string) (JobState, error)
}

// Quarantine tracks requests that crash engines.
type Quarantine interface {
	// Remaining returns how much longer a request stays in quarantine, 0 if it is not
	// in quarantine.
	Remaining(id quarantiner.Identity) time.Duration
	// EngineCrashed records that an engine was lost while it ran the request. beside
	// is how many requests of this instance ran on the engine at that time,
	// this one included.
	EngineCrashed(digest uint64, engine string, beside int)
	// RequestCompleted records that a request completed.
	RequestCompleted(id quarantiner.Identity)
	// Status returns the suspects for operators. The result must be JSON
	// encodable.
	Status() any
}

// Status returns the state of one component for operators. The result must be
// JSON encodable.
type Status func() any

// Fleet collects the states of all entry instances. The key is the name of the
// instance, the value the response of its /admin/status.
type Fleet func(ctx context.Context) map[string]any

// Orders returns the reason for an order to an engine and its outcome, if this
// instance has a record of it. The result must be JSON encodable.
type Orders func(id string) (explanation any, ok bool)

// Check returns an error if the instance is not ready.
type Check func() error
