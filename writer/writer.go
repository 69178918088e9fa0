// Package writer runs writes that must not be repeated: at most once for each
// idempotency key, whichever instances receive the requests.
//
// An instance forwards a write to the owner of its key's shard. The owner
// claims the key in the log, sends the write, records the outcome and replies.
// The protocol is in package claimer; this package does its I/O.
package writer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosehook/claimer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/recorder"
	"primrosehook/sharder"
	"primrosehook/watcher"
)

// Limits of a request.
const (
	// MaxKey is the largest idempotency key, in bytes.
	MaxKey = 255
	// MaxBody is the largest body, in bytes.
	MaxBody = 1 << 20
)

// Defaults of the options.
const (
	// defaultClaimTimeout limits the time until a claim is read back from the
	// log. The write is then given up, so it is short.
	defaultClaimTimeout = 2 * time.Second
	defaultSendTimeout  = 30 * time.Second
	// defaultWaitTimeout limits how long a repeat waits for the first request's
	// outcome.
	defaultWaitTimeout  = 15 * time.Second
	recordTimeout       = 2 * time.Second
	orphanCheckInterval = time.Second
	maxServersPerWrite  = 3
)

// streamPrefix starts the names of the log streams.
const streamPrefix = "write"

// kindWrite is the message by which a write is forwarded to an owner.
const kindWrite = "write"

// Request is one write.
type Request struct {
	Service string `msgpack:"s"`
	Method  string `msgpack:"m"`
	// Path includes the query.
	Path   string      `msgpack:"p"`
	Header http.Header `msgpack:"h"`
	// Key is the client's idempotency key. It is scoped by the service.
	Key  string `msgpack:"k"`
	Body []byte `msgpack:"b"`
	// ReceivedAt is when the request arrived at the instance that forwards it to the
	// owner, in Unix seconds. Write sets it, because the owner compares its own
	// clock with a second one.
	ReceivedAt int64 `msgpack:"t"`
}

// Response is the service's answer to a write.
type Response struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Body   []byte      `msgpack:"b"`
	// Replayed is set if the write ran for an earlier request.
	Replayed bool `msgpack:"r"`
}

// Sender sends a write to one server of its service.
type Sender interface {
	// Send chooses a server that is not in tried and sends the write to it
	// once. It returns the name of the server, also with an error; an empty
	// name means that no server is left. The verdict of the error must be
	// NotRun only if no byte of the request was written.
	Send(ctx context.Context, q Request, tried []string) (Response, string, error)
}

type options struct {
	sharder.Options
	claimTimeout time.Duration
	sendTimeout  time.Duration
	waitTimeout  time.Duration
}

// Option sets one option of a Writer.
type Option func(*options)

// WithSharding sets how the keys are sharded. After a change of the number of
// shards, used keys are no longer known.
func WithSharding(opts ...sharder.Option) Option {
	return func(o *options) {
		for _, f := range opts {
			f(&o.Options)
		}
	}
}

// WithLimits sets the timeouts for the confirmation of a claim, for the
// response to a send, and for a repeat that waits for the outcome of an earlier
// request.
func WithLimits(claim, send, wait time.Duration) Option {
	return func(o *options) { o.claimTimeout, o.sendTimeout, o.waitTimeout = claim, send, wait }
}

// Stats counts what a writer has done.
type Stats struct {
	// Writes counts the requests that this instance handled as an owner.
	Writes int64 `json:"writes"`
	Sent   int64 `json:"sent"`
	// Replayed counts requests answered with an earlier outcome, Unknown those
	// answered may-have-run and Refused those answered not-run.
	Replayed int64 `json:"replayed"`
	Unknown  int64 `json:"unknown"`
	Refused  int64 `json:"refused"`
	// Skewed counts requests from an instance whose clock disagreed with ours.
	Skewed int64 `json:"skewed"`
	// Appends counts the records that this instance wrote, over all shards that
	// it follows now.
	Appends int64 `json:"appends"`
	// Keys is the number of keys in the fullest of those shards.
	Keys int `json:"keys"`
	// InProgress is the number of writes in progress, including those whose
	// outcome is not in the log yet.
	InProgress int `json:"working"`
}

// Writer runs each write at most once for its key.
type Writer struct {
	options options
	view    watcher.View
	sender  Sender
	shards  *sharder.Set[claimer.Result, *claimer.Machine]

	mu        sync.Mutex
	ctx       context.Context
	attempts  uint64
	byKey     map[string]*inflightWrite
	byOwner   map[claimer.Owner]*inflightWrite
	draining  bool
	handovers int
	idle      chan struct{}
	stats     Stats
}

// New returns a writer. The name of view.Self() must be unique to this process:
// a claim of an earlier incarnation must not look like one of this process.
func New(log recorder.Log, view watcher.View, peers *messenger.Client, sender Sender, opts ...Option) *Writer {
	o := options{Options: sharder.NewOptions(), claimTimeout: defaultClaimTimeout, sendTimeout: defaultSendTimeout, waitTimeout: defaultWaitTimeout}
	for _, f := range opts {
		f(&o)
	}
	w := &Writer{
		options: o,
		view:    view,
		sender:  sender,
		ctx:     context.Background(),
		byKey:   map[string]*inflightWrite{},
		byOwner: map[claimer.Owner]*inflightWrite{},
		idle:    make(chan struct{}, 1),
	}
	machine := func() *claimer.Machine { return claimer.NewMachine(claimer.DefaultLimits()) }
	w.shards = sharder.New[claimer.Result](streamPrefix, log, view, peers, machine, o.Options)
	return w
}

// Start follows the shards of this instance until the context ends.
func (w *Writer) Start(ctx context.Context) {
	w.mu.Lock()
	w.ctx = ctx
	w.mu.Unlock()
	w.shards.Start(ctx)
	go w.runWithdrawOrphans(ctx)
}

// Serve handles writes and outcomes that other instances send.
func (w *Writer) Serve(s *messenger.Server) {
	sharder.Serve(s, kindWrite, w.handleRemote)
	sharder.Serve(s, kindHandover, w.acceptHandover)
}

func (w *Writer) handleRemote(ctx context.Context, q Request) (Response, error) {
	return w.handle(ctx, q, w.agreedTime(q.ReceivedAt))
}

// agreedTime returns the time that another instance and this one agree on, in
// Unix seconds, or 0 if their clocks disagree.
func (w *Writer) agreedTime(at int64) int64 {
	now := claimer.AgreedTime(at, w.options.Clock.Now().Unix())
	if now == 0 {
		w.mu.Lock()
		w.stats.Skewed++
		w.mu.Unlock()
	}
	return now
}

// handleLocal runs a write that arrived at an owner directly, so that only one
// clock is available. That clock is used only if there is no other instance.
func (w *Writer) handleLocal(ctx context.Context, q Request) (Response, error) {
	now := int64(0)
	if len(w.view.Instances(lister.KindEntry)) <= 1 {
		now = q.ReceivedAt
	}
	return w.handle(ctx, q, now)
}

// Write runs a write at most once for its key and returns the service's
// response, or that of the earlier request with the key. Every error is a
// judge.Refusal.
func (w *Writer) Write(ctx context.Context, q Request) (Response, error) {
	if err := validate(q); err != nil {
		return Response{}, err
	}
	// An owner whose shard is full is skipped: the clock of the next owner may
	// be the second one that the first lacked, see claimer.
	q.ReceivedAt = w.options.Clock.Now().Unix()
	if w.ownsWrite(q) {
		return w.handleLocal(ctx, q)
	}
	if step, ok := w.recordedReply(q); ok {
		r, err := responseOf(step)
		w.count(r, err)
		return r, err
	}
	return sharder.Forward(ctx, w.shards.Route(kindWrite, claimer.CodeFull), w.shards.Stream(w.shardOf(q)), q, w.handleLocal)
}

func validate(q Request) error {
	switch {
	case q.Key == "":
		return judge.Invalid("key-missing", "write has no Idempotency-Key header")
	case len(q.Key) > MaxKey:
		return judge.Invalid("key-long", "idempotency key is too long")
	case len(q.Body) > MaxBody:
		r := judge.Invalid("size", "body of the write is too large")
		r.Status = http.StatusRequestEntityTooLarge
		return r
	}
	return nil
}

// scopedKey returns the key as the log has it.
func scopedKey(q Request) string { return q.Service + "\x00" + q.Key }

func (w *Writer) shardOf(q Request) int { return w.shards.IndexOf(xxhash.Sum64String(scopedKey(q))) }

func digest(q Request) claimer.Digest {
	return claimer.DigestOf([]byte(q.Service), []byte(q.Method), []byte(q.Path), q.Body)
}

// handle runs a write here. The argument now is the time that two instances
// agree on, in Unix seconds, or 0.
func (w *Writer) handle(ctx context.Context, q Request, now int64) (Response, error) {
	if err := validate(q); err != nil {
		return Response{}, err
	}
	r, err := w.join(ctx, q, now)
	w.count(r, err)
	return r, err
}

// join waits for the write in progress under the request's key, and begins one
// if there is none.
func (w *Writer) join(ctx context.Context, q Request, now int64) (Response, error) {
	k, joined, err := w.begin(q, now)
	if err != nil {
		return Response{}, err
	}
	if joined && k.digest != digest(q) {
		return Response{}, claimer.Reused()
	}
	select {
	case <-k.done:
	case <-ctx.Done():
		return Response{}, judge.Unknown("write-pending", "write is still being worked on", ctx.Err())
	}
	if k.err != nil {
		return Response{}, k.err
	}
	r := k.response
	r.Replayed = r.Replayed || joined
	return r, nil
}

// begin returns the write in progress under a key, and whether it existed
// already.
func (w *Writer) begin(q Request, now int64) (*inflightWrite, bool, error) {
	key, shard := scopedKey(q), w.shardOf(q)
	refusal := w.shards.Paused(shard)
	if s, ok := w.shards.Peek(shard); ok && refusal != nil {
		if _, known := lookUp(s, key); known {
			// A repeat needs no new record in the log.
			refusal = nil
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if k, ok := w.byKey[key]; ok {
		return k, true, nil
	}
	if w.draining {
		return nil, false, judge.Unavailable(sharder.CodeDraining, "instance takes no more writes", time.Second)
	}
	if refusal != nil {
		return nil, false, refusal
	}
	w.attempts++
	owner := claimer.Owner{Instance: w.view.Self().Name, Attempt: w.attempts}
	k := &inflightWrite{
		writer:  w,
		request: q,
		shard:   shard,
		digest:  digest(q),
		done:    make(chan struct{}),
		attempt: claimer.NewAttempt(claimer.Claim{
			Key: key, Digest: digest(q), Owner: owner,
			Time: w.options.Clock.Now().Unix(), Issued: keyIssuedAt(q.Key), Now: now,
		}),
	}
	w.byKey[key] = k
	w.byOwner[owner] = k
	// The write outlives its caller: a write that is cut half-way may have run.
	go k.run(w.ctx)
	return k, false, nil
}

// setOwnsClaim stores whether the write has won its claim.
func (w *Writer) setOwnsClaim(k *inflightWrite, step claimer.Step) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.ownsClaim = step.Act == claimer.ActSend
}

// ownsWrite reports whether this instance has the claim on the request's key,
// perhaps with an outcome that is not in the log yet. A write that only waits
// for the outcome of another instance does not count: the owner of the shard
// may have that outcome.
func (w *Writer) ownsWrite(q Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.byKey[scopedKey(q)]
	return ok && k.ownsClaim
}

// recordedReply returns the reply to a repeat whose outcome this instance has
// read from the log. It needs no owner, which may be new and have no state
// while the log is unavailable.
func (w *Writer) recordedReply(q Request) (claimer.Step, bool) {
	s, ok := w.shards.Peek(w.shardOf(q))
	if !ok {
		return claimer.Step{}, false
	}
	keyState, known := lookUp(s, scopedKey(q))
	if !known || keyState.Outcome == nil {
		return claimer.Step{}, false
	}
	a := claimer.NewAttempt(claimer.Claim{Key: scopedKey(q), Digest: digest(q)})
	return a.Start(keyState, true), true
}

// responseOf returns the response, or the refusal, of the last step of an
// attempt.
func responseOf(step claimer.Step) (Response, error) {
	o := step.Outcome
	r := Response{Status: o.Status, Header: o.Header, Body: o.Body, Replayed: step.Replayed}
	if step.Refusal != nil {
		return r, step.Refusal
	}
	return r, nil
}

// finish removes a write whose outcome is in the log or need not be recorded.
func (w *Writer) finish(k *inflightWrite) {
	w.mu.Lock()
	defer w.mu.Unlock()
	claim := k.attempt.Claim()
	if w.byKey[claim.Key] == k {
		delete(w.byKey, claim.Key)
	}
	if k.handedOver {
		w.handovers--
	}
	delete(w.byOwner, claim.Owner)
	if len(w.byOwner) == 0 {
		select {
		case w.idle <- struct{}{}:
		default:
		}
	}
}

func (w *Writer) count(r Response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Writes++
	switch {
	case err == nil && r.Replayed:
		w.stats.Replayed++
	case err != nil && judge.Of(err) == judge.NotRun:
		w.stats.Refused++
	case err != nil:
		w.stats.Unknown++
	}
}

// Stats returns the counters.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	s := w.stats
	s.InProgress = len(w.byOwner)
	w.mu.Unlock()
	for _, shard := range w.shards.Followed() {
		s.Appends += shard.Follower.Status().Appends
		shard.Follower.View(func() { s.Keys = max(s.Keys, shard.Machine.Len()) })
	}
	return s
}

// Drain refuses new writes and waits until those in progress have ended and
// their outcomes are in the log, or at another owner while the log is
// unavailable. If the context ends first, the outcomes that are in neither
// place are lost: repeats of these writes are answered may-have-run.
func (w *Writer) Drain(ctx context.Context) error {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for {
		w.mu.Lock()
		left := len(w.byOwner)
		w.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-w.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
