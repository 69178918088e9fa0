// Package runner accepts deferred jobs, runs them and keeps their results.
//
// An instance gives a job to the home of its shard, which puts it into the log
// and only then says that it is accepted. The home runs it, again if need be,
// and puts the result into the log, from where any instance can fetch it. What
// is accepted is decided in package keeper; this is the shell around it.
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

	"primrosehook/judge"
	"primrosehook/keeper"
	"primrosehook/messenger"
	"primrosehook/recorder"
	"primrosehook/sharder"
	"primrosehook/watcher"
)

// MaxKey is the largest idempotency key of a job, in bytes.
const MaxKey = 255

// Defaults of the options.
const (
	// defaultRunning is how many jobs one instance runs at once.
	defaultRunning = 8
	defaultSubmit  = 3 * time.Second
	defaultTry     = 10 * time.Minute
	// defaultWithin is the bound of a job that names none.
	defaultWithin = 24 * time.Hour
	defaultGrace  = 24 * time.Hour
	// maxUnrecorded is how many results may wait for the log before no
	// further job is started.
	maxUnrecorded = 256
	// fetchWait is how long a fetch waits for a job that is not known yet.
	fetchWait   = time.Second
	recordPause = time.Second
	// takeoverWait is how long a new home waits for the log before it runs
	// the jobs that it knows of: longer than one read of the log may take (a
	// wait of 5 s and 2 s of grace).
	takeoverWait  = 10 * time.Second
	tickInterval  = 100 * time.Millisecond
	fetchInterval = 5 * time.Second
	// resultPause is when to ask again for a result.
	resultPause = 2 * time.Second
)

// prefix starts the names of the streams.
const prefix = "job"

// The messages that a home answers.
const (
	kindAccept = "job"
	kindFetch  = "job.fetch"
)

// Run does a job. An error with verdict NotRun and no Retry ends the job as
// failed; any other is tried again.
type Run func(ctx context.Context, job keeper.Job) ([]byte, error)

// Request asks for a job.
type Request struct {
	// Key is the caller's idempotency key, scoped by Caller; a repeat gets the
	// same job. Without one every request is a job of its own.
	Key      string
	Caller   string
	Class    string
	Priority int
	// Within bounds the completion; zero takes the default.
	Within time.Duration
	// Body is what Run gets.
	Body []byte
}

// The states of a job.
const (
	StatePending = "pending"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Status is what a caller sees of a job.
type Status struct {
	ID    string `msgpack:"i"`
	State string `msgpack:"s"`
	Class string `msgpack:"c"`
	// Deadline is the job's bound; Late is set when it has passed and the job
	// was not done by then.
	Deadline time.Time `msgpack:"d"`
	Late     bool      `msgpack:"l"`
	// Reason says why a job failed.
	Reason string `msgpack:"e"`
	Result []byte `msgpack:"r"`
	// Retry is when to ask again for a job that is pending.
	Retry time.Duration `msgpack:"t"`
}

type options struct {
	sharder.Options
	running int
	submit  time.Duration
	try     time.Duration
	within  time.Duration
	grace   time.Duration
}

// Option sets one option of a Runner.
type Option func(*options)

// WithSharding sets how the jobs are sharded. Jobs of a shard that is no more
// are lost.
func WithSharding(set ...sharder.Option) Option {
	return func(o *options) {
		for _, f := range set {
			f(&o.Options)
		}
	}
}

// WithRunning sets how many jobs one instance runs at once.
func WithRunning(count int) Option { return func(o *options) { o.running = count } }

// WithBounds sets the bound of a job that names none, and how long past its
// bound a job is still tried.
func WithBounds(within, grace time.Duration) Option {
	return func(o *options) { o.within, o.grace = within, grace }
}

// WithLimits sets how long the log may take to confirm an entry, and one try
// of a job may run.
func WithLimits(submit, try time.Duration) Option {
	return func(o *options) { o.submit, o.try = submit, try }
}

// Stats counts what a runner has done.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Refused  int64 `json:"refused"`
	// Tries are runs of jobs, Done and Failed those whose end this instance
	// has put into the log.
	Tries  int64 `json:"tries"`
	Done   int64 `json:"done"`
	Failed int64 `json:"failed"`
	// Running are the jobs at hand, Unrecorded the results that are not yet
	// in the log, Open the accepted jobs that are not done, over the shards
	// that this instance follows.
	Running    int   `json:"running"`
	Unrecorded int   `json:"unrecorded"`
	Open       int   `json:"open"`
	Appends    int64 `json:"appends"`
}

type shard = sharder.Shard[keeper.Answer, *keeper.Machine]

// Runner accepts and runs jobs.
type Runner struct {
	options options
	view    watcher.View
	do      Run
	shards  *sharder.Set[keeper.Answer, *keeper.Machine]

	mu       sync.Mutex
	ctx      context.Context
	requests uint64
	tries    map[string]keeper.Try
	ended    map[string]keeper.Done
	fetched  map[int][]string
	draining bool
	stats    Stats
	wake     chan struct{}
	// homeSince holds when this instance became the first home of a shard. Only
	// the schedule uses it.
	homeSince map[int]time.Time
}

// New returns a runner that runs jobs by do.
func New(log recorder.Log, view watcher.View, peers *messenger.Client, do Run, set ...Option) *Runner {
	o := options{
		Options: sharder.NewOptions(),
		running: defaultRunning,
		submit:  defaultSubmit,
		try:     defaultTry,
		within:  defaultWithin,
		grace:   defaultGrace,
	}
	for _, f := range set {
		f(&o)
	}
	r := &Runner{
		options: o,
		view:    view,
		do:      do,
		ctx:     context.Background(),
		tries:   map[string]keeper.Try{},
		ended:   map[string]keeper.Done{},
		fetched: map[int][]string{},
		wake:    make(chan struct{}, 1),

		homeSince: map[int]time.Time{},
	}
	machine := func() *keeper.Machine { return keeper.NewMachine(keeper.DefaultLimits()) }
	r.shards = sharder.New[keeper.Answer](prefix, log, view, peers, machine, o.Options)
	return r
}

// Start begins to follow this instance's shards and to run their jobs, until
// the context ends.
func (r *Runner) Start(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.shards.Start(ctx)
	go r.runSchedule(ctx)
	go r.runFetched(ctx)
}

// Serve answers instances that give a job to its home, or fetch from it.
func (r *Runner) Serve(s *messenger.Server) {
	sharder.Serve(s, kindAccept, r.accept)
	sharder.Serve(s, kindFetch, r.fetch)
}

// Accept puts a job into the log and returns its ID. With verdict NotRun the
// job was not accepted and never runs; with MayHaveRun it may have been, and a
// repeat with the same key tells.
func (r *Runner) Accept(ctx context.Context, q Request) (string, error) {
	if len(q.Body) > keeper.MaxRequest {
		refusal := judge.Invalid("size", fmt.Sprintf("job is over %d bytes", keeper.MaxRequest))
		refusal.Status = http.StatusRequestEntityTooLarge
		return "", refusal
	}
	if len(q.Key) > MaxKey {
		return "", judge.Invalid("key-long", "idempotency key is too long")
	}
	index, id := r.name(q)
	within := q.Within
	if within <= 0 {
		within = r.options.within
	}
	now := r.options.Clock.Now()
	a := keeper.Accept{
		ID: id, Digest: xxhash.Sum64(q.Body), Class: q.Class, Priority: q.Priority,
		Deadline: now.Add(within).UnixMilli(), Time: now.UnixMilli(), Request: q.Body,
	}
	if r.known(index, a) {
		return id, nil
	}
	return sharder.Forward(ctx, r.shards.Route(kindAccept), r.shards.Stream(index), a, r.accept)
}

// name returns the shard and the ID of a job. The ID holds the shard, so that
// any instance can find it, and follows from the key, so that a repeat does.
func (r *Runner) name(q Request) (int, string) {
	scope, key := "key/"+q.Caller, q.Key
	if key == "" {
		r.mu.Lock()
		r.requests++
		scope, key = "own/"+r.view.Self().Name, strconv.FormatUint(r.requests, 10)
		r.mu.Unlock()
	}
	sum := sha256.Sum256([]byte(scope + "\x00" + key))
	index := r.shards.Of(binary.BigEndian.Uint64(sum[:]))
	return index, fmt.Sprintf("%d-%x", index, sum[:16])
}

// shardOf returns the shard that an ID names.
func (r *Runner) shardOf(id string) (int, bool) {
	head, _, ok := strings.Cut(id, "-")
	index, err := strconv.Atoi(head)
	return index, ok && err == nil && index >= 0 && index < r.shards.Count()
}

// accept takes a job here.
func (r *Runner) accept(ctx context.Context, a keeper.Accept) (string, error) {
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

func (r *Runner) submit(ctx context.Context, a keeper.Accept) (string, error) {
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
	result, err := r.enter(ctx, index, a)
	if err != nil {
		if ctx.Err() == nil {
			// A caller that went away tells nothing of the log.
			r.shards.Pause(index, sharder.LogDown())
		}
		return "", err
	}
	r.nudge()
	switch result {
	case keeper.Accepted, keeper.Known:
		return a.ID, nil
	case keeper.Mismatch:
		refusal := judge.Invalid("key-reused", "idempotency key was used for another job")
		refusal.Status = http.StatusUnprocessableEntity
		return "", refusal
	}
	return "", judge.Unavailable("full", "shard has no room for the job", time.Minute)
}

// known reports whether a job is in the log by what has been read. A repeat
// then needs no entry, and is answered while the log is down as well.
func (r *Runner) known(index int, a keeper.Accept) (known bool) {
	s, ok := r.shards.Peek(index)
	if !ok {
		return false
	}
	s.Follower.View(func() {
		job, ok := s.Machine.Look(a.ID)
		known = ok && job.Digest == a.Digest
	})
	return known
}

// enter puts a job into the log.
func (r *Runner) enter(ctx context.Context, index int, a keeper.Accept) (keeper.Answer, error) {
	s, done := r.shards.Use(index)
	defer done()
	limit, cancel := context.WithTimeout(ctx, r.options.submit)
	defer cancel()
	if err := s.Follower.AwaitCurrent(limit); err != nil {
		return 0, err
	}
	outcome, err := s.Follower.Submit(limit, keeper.KindAccept, a)
	return outcome.Result, err
}

// Fetch returns the state of a job, from any instance.
func (r *Runner) Fetch(ctx context.Context, id string) (Status, error) {
	index, ok := r.shardOf(id)
	if !ok {
		return Status{}, unknownJob()
	}
	return sharder.Forward(ctx, r.shards.Route(kindFetch), r.shards.Stream(index), id, r.fetch)
}

func unknownJob() *judge.Refusal {
	refusal := judge.Invalid("job-unknown", "no such job, or its result was dropped after it was fetched")
	refusal.Status = http.StatusNotFound
	return refusal
}

func (r *Runner) fetch(ctx context.Context, id string) (Status, error) {
	index, ok := r.shardOf(id)
	if !ok {
		return Status{}, unknownJob()
	}
	s, done := r.shards.Use(index)
	defer done()
	limit, cancel := context.WithTimeout(ctx, r.options.submit)
	defer cancel()
	if err := s.Follower.AwaitCurrent(limit); err != nil {
		return Status{}, err
	}
	job, ok := r.awaitJob(limit, s, id)
	if !ok {
		if !s.Follower.Status().Reachable {
			return Status{}, judge.Unavailable("log", "log service cannot be read now", resultPause)
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

// awaitJob looks a job up. One that is not there may have been accepted by
// another home a moment ago, so it is waited for.
func (r *Runner) awaitJob(ctx context.Context, s *shard, id string) (job keeper.Job, ok bool) {
	timer := r.options.Clock.NewTimer(fetchWait)
	defer timer.Stop()
	for {
		changed := s.Follower.Changed()
		s.Follower.View(func() { job, ok = s.Machine.Look(id) })
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

// status shows a job, with a result that is not yet in the log if this
// instance has it.
func (r *Runner) status(j keeper.Job) Status {
	end := j.Done
	if end == nil {
		r.mu.Lock()
		if d, ok := r.ended[j.ID]; ok {
			end = &d
		}
		r.mu.Unlock()
	}
	s := Status{ID: j.ID, State: StatePending, Class: j.Class, Deadline: time.UnixMilli(j.Deadline)}
	at := r.options.Clock.Now()
	switch {
	case end == nil:
		s.Retry = resultPause
	case end.Failed:
		s.State, s.Reason, at = StateFailed, end.Reason, time.UnixMilli(end.Time)
	default:
		s.State, s.Result, at = StateDone, end.Result, time.UnixMilli(end.Time)
	}
	s.Late = at.After(s.Deadline)
	return s
}

// Stats returns the counters.
func (r *Runner) Stats() Stats {
	r.mu.Lock()
	s := r.stats
	s.Unrecorded = len(r.ended)
	for _, t := range r.tries {
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
