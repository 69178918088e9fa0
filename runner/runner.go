// Package runner accepts deferred jobs, runs them and stores their results.
//
// An instance forwards a job to the owner of its shard, which appends it to the
// log and only then accepts it. The owner runs the job, repeatedly if
// necessary, and appends the result to the log, from where any instance can
// fetch it. Package jobtracker decides what is accepted; this package does its I/O.
package runner

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosehook/jobtracker"
	"primrosehook/judge"
	"primrosehook/messenger"
	"primrosehook/recorder"
	"primrosehook/sharder"
	"primrosehook/watcher"
)

// MaxKey is the largest idempotency key of a job, in bytes.
const MaxKey = 255

// Defaults of the options.
const (
	// defaultConcurrency is the number of jobs that one instance runs at once.
	defaultConcurrency    = 8
	defaultSubmitTimeout  = 3 * time.Second
	defaultAttemptTimeout = 10 * time.Minute
	// defaultCompletionLimit is the completion time of a job that names none.
	defaultCompletionLimit = 24 * time.Hour
	defaultDeadlineGrace   = 24 * time.Hour
	// maxUnrecorded is the number of results waiting for the log at which no
	// further job is started.
	maxUnrecorded = 256
	// fetchTimeout is how long a fetch waits for a job that is not known yet.
	fetchTimeout        = time.Second
	recordRetryInterval = time.Second
	// takeoverTimeout is how long a new owner waits for the log before it runs
	// the jobs that it knows of. It is longer than one read of the log may take
	// (a wait of 5 s and 2 s of grace).
	takeoverTimeout = 10 * time.Second
	pollInterval    = 100 * time.Millisecond
	fetchInterval   = 5 * time.Second
	// resultPollInterval is the time after which a client should fetch a
	// pending result again.
	resultPollInterval = 2 * time.Second
)

// streamPrefix starts the names of the log streams.
const streamPrefix = "job"

// The messages that an owner answers.
const (
	kindAccept = "job"
	kindFetch  = "job.fetch"
)

// RunFunc executes a job. An error with verdict NotRun and no Retry ends the job as
// failed; after any other error the job is retried.
type RunFunc func(ctx context.Context, job jobtracker.Job) ([]byte, error)

// Request describes a job to be accepted.
type Request struct {
	// Key is the client's idempotency key, scoped by Client; a repeat gets the
	// same job. Without a key every request is a separate job.
	Key      string
	Client   string
	Class    string
	Priority int
	// CompletionLimit limits the time to completion; zero means the default.
	CompletionLimit time.Duration
	// Body is passed to RunFunc in the job.
	Body []byte
}

// The states of a job.
const (
	StatePending = "pending"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Status is the state of a job as a client sees it.
type Status struct {
	ID    string `msgpack:"i"`
	State string `msgpack:"s"`
	Class string `msgpack:"c"`
	// Deadline is when the job should be done; Late is set if it has passed and
	// the job was not done by then.
	Deadline time.Time `msgpack:"d"`
	Late     bool      `msgpack:"l"`
	// Reason says why a job failed.
	Reason string `msgpack:"e"`
	Result []byte `msgpack:"r"`
	// Retry is the time after which to fetch a pending job again.
	Retry time.Duration `msgpack:"t"`
}

type options struct {
	sharder.Options
	concurrency     int
	submitTimeout   time.Duration
	attemptTimeout  time.Duration
	completionLimit time.Duration
	deadlineGrace   time.Duration
}

// Option sets one option of a Runner.
type Option func(*options)

// WithSharding sets how the jobs are sharded. Jobs in shards that no longer
// exist are lost.
func WithSharding(opts ...sharder.Option) Option {
	return func(o *options) {
		for _, f := range opts {
			f(&o.Options)
		}
	}
}

// WithConcurrency sets the number of jobs that one instance runs at once.
func WithConcurrency(count int) Option { return func(o *options) { o.concurrency = count } }

// WithDeadlines sets the time to completion of a job that names none, and how long
// after its deadline a job is still attempted.
func WithDeadlines(limit, grace time.Duration) Option {
	return func(o *options) { o.completionLimit, o.deadlineGrace = limit, grace }
}

// WithLimits sets the timeouts for the confirmation of a log entry and for one
// attempt of a job.
func WithLimits(submit, attempt time.Duration) Option {
	return func(o *options) { o.submitTimeout, o.attemptTimeout = submit, attempt }
}

// Stats counts what a runner has done.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Refused  int64 `json:"refused"`
	// Attempts counts attempts; Done and Failed count the jobs whose outcome this
	// instance has put into the log.
	Attempts int64 `json:"tries"`
	Done     int64 `json:"done"`
	Failed   int64 `json:"failed"`
	// Running is the number of jobs that run now, Unrecorded the number of
	// results that are not in the log yet, and Open the number of accepted jobs
	// that are not done, over the shards that this instance follows.
	Running    int   `json:"running"`
	Unrecorded int   `json:"unrecorded"`
	Open       int   `json:"open"`
	Appends    int64 `json:"appends"`
}

type shard = sharder.Shard[jobtracker.Answer, *jobtracker.Machine]

// Runner accepts and runs jobs.
type Runner struct {
	options options
	view    watcher.View
	runJob  RunFunc
	shards  *sharder.Set[jobtracker.Answer, *jobtracker.Machine]

	mu              sync.Mutex
	ctx             context.Context
	unkeyedRequests uint64
	attempts        map[string]jobtracker.Attempts
	unrecorded      map[string]jobtracker.Done
	fetched         map[int][]string
	draining        bool
	stats           Stats
	scheduleNow     chan struct{}
	// ownedSince is when this instance became the first owner of each shard.
	// Only the goroutine of runSchedule uses it.
	ownedSince map[int]time.Time
}

// New returns a runner that runs each job by calling do.
func New(log recorder.Log, view watcher.View, peers *messenger.Client, do RunFunc, opts ...Option) *Runner {
	o := options{
		Options:         sharder.NewOptions(),
		concurrency:     defaultConcurrency,
		submitTimeout:   defaultSubmitTimeout,
		attemptTimeout:  defaultAttemptTimeout,
		completionLimit: defaultCompletionLimit,
		deadlineGrace:   defaultDeadlineGrace,
	}
	for _, f := range opts {
		f(&o)
	}
	r := &Runner{
		options:     o,
		view:        view,
		runJob:      do,
		ctx:         context.Background(),
		attempts:    map[string]jobtracker.Attempts{},
		unrecorded:  map[string]jobtracker.Done{},
		fetched:     map[int][]string{},
		scheduleNow: make(chan struct{}, 1),

		ownedSince: map[int]time.Time{},
	}
	machine := func() *jobtracker.Machine { return jobtracker.NewMachine(jobtracker.DefaultLimits()) }
	r.shards = sharder.New[jobtracker.Answer](streamPrefix, log, view, peers, machine, o.Options)
	return r
}

// Start follows the shards of this instance and runs their jobs until the
// context ends.
func (r *Runner) Start(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.shards.Start(ctx)
	go r.runSchedule(ctx)
	go r.runRecordFetched(ctx)
}

// Serve handles jobs and fetches that other instances forward.
func (r *Runner) Serve(s *messenger.Server) {
	sharder.Serve(s, kindAccept, r.handleAccept)
	sharder.Serve(s, kindFetch, r.handleFetch)
}

// Accept puts a job into the log and returns its ID. After an error with
// verdict NotRun the job was not accepted and never runs. With MayHaveRun it
// may have been accepted, and a repeat with the same key finds out.
func (r *Runner) Accept(ctx context.Context, q Request) (string, error) {
	if len(q.Body) > jobtracker.MaxRequest {
		refusal := judge.Invalid("size", fmt.Sprintf("job is over %d bytes", jobtracker.MaxRequest))
		refusal.Status = http.StatusRequestEntityTooLarge
		return "", refusal
	}
	if len(q.Key) > MaxKey {
		return "", judge.Invalid("key-long", "idempotency key is too long")
	}
	index, id := r.jobID(q)
	limit := q.CompletionLimit
	if limit <= 0 {
		limit = r.options.completionLimit
	}
	now := r.options.Clock.Now()
	a := jobtracker.Accept{
		ID: id, Digest: xxhash.Sum64(q.Body), Class: q.Class, Priority: q.Priority,
		Deadline: now.Add(limit).UnixMilli(), Time: now.UnixMilli(), Request: q.Body,
	}
	if r.isAccepted(index, a) {
		return id, nil
	}
	return sharder.Forward(ctx, r.shards.Route(kindAccept), r.shards.Stream(index), a, r.handleAccept)
}

// jobID returns the shard and the ID of a job. The ID contains the shard, so
// that any instance can find the job, and is derived from the key, so that a
// repeat gets the same ID.
func (r *Runner) jobID(q Request) (int, string) {
	scope, key := "key/"+q.Client, q.Key
	if key == "" {
		r.mu.Lock()
		r.unkeyedRequests++
		scope, key = "own/"+r.view.Self().Name, strconv.FormatUint(r.unkeyedRequests, 10)
		r.mu.Unlock()
	}
	sum := sha256.Sum256([]byte(scope + "\x00" + key))
	index := r.shards.IndexOf(binary.BigEndian.Uint64(sum[:]))
	return index, fmt.Sprintf("%d-%x", index, sum[:16])
}

// shardOf returns the shard in a job ID, and false if the ID is malformed.
func (r *Runner) shardOf(id string) (int, bool) {
	head, _, ok := strings.Cut(id, "-")
	index, err := strconv.Atoi(head)
	return index, ok && err == nil && index >= 0 && index < r.shards.Count()
}

// handleAccept accepts a job on this instance.
func (r *Runner) handleAccept(ctx context.Context, a jobtracker.Accept) (string, error) {
	id, err := r.submit(ctx, a)
	r.mu.Lock()
	if err == nil {
		r.stats.Accepted++
	} else {
		r.stats.Refused++
	}
	r.mu.Unlock()
	return id, err
}

func (r *Runner) submit(ctx context.Context, a jobtracker.Accept) (string, error) {
	index, ok := r.shardOf(a.ID)
	if !ok {
		return "", judge.Invalid("job", "job ID is malformed")
	}
	r.mu.Lock()
	draining := r.draining
	r.mu.Unlock()
	if draining {
		return "", judge.Unavailable(sharder.CodeDraining, "instance takes no more jobs", time.Second)
	}
	if refusal := r.shards.Paused(index); refusal != nil {
		return "", refusal
	}
	result, err := r.appendAccept(ctx, index, a)
	if err != nil {
		if ctx.Err() == nil {
			// A caller that left says nothing about the state of the log.
			r.shards.Pause(index, sharder.LogUnavailable())
		}
		return "", err
	}
	r.triggerSchedule()
	switch result {
	case jobtracker.Accepted, jobtracker.Known:
		return a.ID, nil
	case jobtracker.Mismatch:
		refusal := judge.Invalid("key-reused", "idempotency key was used for another job")
		refusal.Status = http.StatusUnprocessableEntity
		return "", refusal
	}
	return "", judge.Unavailable("full", "shard has no room for the job", time.Minute)
}

// isAccepted reports whether a job is in the part of the log that was read. A
// repeat of it needs no new entry, and is answered even while the log is down.
func (r *Runner) isAccepted(index int, a jobtracker.Accept) (known bool) {
	s, ok := r.shards.Peek(index)
	if !ok {
		return false
	}
	s.Follower.View(func() {
		job, ok := s.Machine.Lookup(a.ID)
		known = ok && job.Digest == a.Digest
	})
	return known
}

// appendAccept appends a job to the log once its shard has been read to the
// end.
func (r *Runner) appendAccept(ctx context.Context, index int, a jobtracker.Accept) (jobtracker.Answer, error) {
	s, done := r.shards.Use(index)
	defer done()
	submitCtx, cancel := context.WithTimeout(ctx, r.options.submitTimeout)
	defer cancel()
	if err := s.Follower.AwaitCurrent(submitCtx); err != nil {
		return 0, err
	}
	outcome, err := s.Follower.Submit(submitCtx, jobtracker.KindAccept, a)
	return outcome.Result, err
}

// Fetch returns the state of a job, from any instance.
func (r *Runner) Fetch(ctx context.Context, id string) (Status, error) {
	index, ok := r.shardOf(id)
	if !ok {
		return Status{}, unknownJob()
	}
	return sharder.Forward(ctx, r.shards.Route(kindFetch), r.shards.Stream(index), id, r.handleFetch)
}

func unknownJob() *judge.Refusal {
	refusal := judge.Invalid("job-unknown", "no such job, or its result was dropped after it was fetched")
	refusal.Status = http.StatusNotFound
	return refusal
}

func (r *Runner) handleFetch(ctx context.Context, id string) (Status, error) {
	index, ok := r.shardOf(id)
	if !ok {
		return Status{}, unknownJob()
	}
	s, done := r.shards.Use(index)
	defer done()
	fetchCtx, cancel := context.WithTimeout(ctx, r.options.submitTimeout)
	defer cancel()
	if err := s.Follower.AwaitCurrent(fetchCtx); err != nil {
		return Status{}, err
	}
	job, ok := r.awaitJob(fetchCtx, s, id)
	if !ok {
		if !s.Follower.Status().Reachable {
			return Status{}, judge.Unavailable("log", "log service cannot be read now", resultPollInterval)
		}
		return Status{}, unknownJob()
	}
	status := r.status(job)
	if job.Done != nil && !job.Fetched {
		r.mu.Lock()
		r.fetched[index] = append(r.fetched[index], id)
		r.mu.Unlock()
	}
	return status, nil
}

// awaitJob looks a job up. If it is not there, another owner may have accepted
// it a moment ago, so awaitJob waits up to fetchTimeout for it.
func (r *Runner) awaitJob(ctx context.Context, s *shard, id string) (job jobtracker.Job, ok bool) {
	timer := r.options.Clock.NewTimer(fetchTimeout)
	defer timer.Stop()
	for {
		changed := s.Follower.Changed()
		s.Follower.View(func() { job, ok = s.Machine.Lookup(id) })
		if ok {
			return job, true
		}
		select {
		case <-changed:
		case <-timer.Chan():
			return job, false
		case <-ctx.Done():
			return job, false
		}
	}
}

// status returns the state of a job, with the result that is not in the log yet
// if this instance has it.
func (r *Runner) status(j jobtracker.Job) Status {
	outcome := j.Done
	if outcome == nil {
		r.mu.Lock()
		if d, ok := r.unrecorded[j.ID]; ok {
			outcome = &d
		}
		r.mu.Unlock()
	}
	s := Status{ID: j.ID, State: StatePending, Class: j.Class, Deadline: time.UnixMilli(j.Deadline)}
	at := r.options.Clock.Now()
	switch {
	case outcome == nil:
		s.Retry = resultPollInterval
	case outcome.Failed:
		s.State, s.Reason, at = StateFailed, outcome.Reason, time.UnixMilli(outcome.Time)
	default:
		s.State, s.Result, at = StateDone, outcome.Result, time.UnixMilli(outcome.Time)
	}
	s.Late = at.After(s.Deadline)
	return s
}

// Stats returns the counters.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	s := r.stats
	s.Unrecorded = len(r.unrecorded)
	for _, t := range r.attempts {
		if t.Running {
			s.Running++
		}
	}
	r.mu.Unlock()
	for _, shard := range r.shards.Followed() {
		s.Appends += shard.Follower.Status().Appends
		shard.Follower.View(func() { s.Open += len(shard.Machine.Open()) })
	}
	return s
}
