// Package relayer proxies requests of clients to servers. It does the I/O around
// the decisions of matcher, balancer, limiter and quarantiner.
package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/limiter"
	"primrosehook/matcher"
	"primrosehook/pinner"
	"primrosehook/quarantiner"
	"primrosehook/reserver"
	"primrosehook/sequencer"
	"primrosehook/sparer"
	"primrosehook/tracer"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Meta is what a client's headers state about its request.
type Meta struct {
	ID string
	// Timeout is how long the client waits for the answer; valid if
	// HasTimeout.
	Timeout    time.Duration
	HasTimeout bool
	Model      string
	Adapter    string
	// PromptTokens is the length of the prompt, MaxOutputTokens the maximum to
	// generate and ExpectedOutputTokens the client's estimate of the output, zero
	// if unknown.
	PromptTokens, MaxOutputTokens, ExpectedOutputTokens int
	Parts                                               []Part
	// LastEvent is the ID of the last event that the client has received, empty
	// for none. Resumes is the ID of the request whose answer brought the first one.
	LastEvent string
	Resumes   string
	// Key is the key of the client's account, empty if there is not exactly one. It must not
	// leave the instance.
	Key string
}

// ForwardInfo is what is sent to a server in headers, besides the client's own.
type ForwardInfo struct {
	// Server is the ID of the server that must answer.
	Server   string
	Priority int
	// HasAccounts is set if the configuration has client accounts, Account is the name of the
	// client's one, empty if it has none.
	HasAccounts bool
	Account     string
	// LastEvent is the ID of the last event that the client has received, empty
	// for none.
	LastEvent string
}

// Load is the load that a server reports. Running and Waiting are valid if Known; a count that can't
// be used is 0 then, and so is an unknown number of Slots.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
	// Slowness is how long work takes there at this moment compared with the usual, zero if the
	// server does not say.
	Slowness float64
}

// AnswerInfo is what the headers of a server's answer state.
type AnswerInfo struct {
	ID string
	// Signed means that the answer has the server's signature header.
	Signed bool
	// Refused means that the request did not run and will not. NotLoaded
	// means that it reached the wrong server, or one without the model loaded.
	Refused, NotLoaded bool
	// Leaving means that the server leaves, so that it wants no further requests.
	// RetryAfter is for how long a server that refuses a request wants none of this
	// instance, zero if it does not say.
	Leaving    bool
	RetryAfter time.Duration
	// Encoded means that the body has a content coding, and so is not as the
	// server sent it.
	Encoded   bool
	Load      Load
	RateLimit RateLimit
	// Brittle means that the servers of the service are brittle: one that refuses more than
	// Bears requests in a second for want of room falls over.
	Brittle   bool
	Bears     int
	KeepAlive time.Duration
}

// RateLimit is the rate at which a server takes requests from all instances
// together, in requests per second; valid if Named. Malformed means that the answer
// names a limit that can't be read.
type RateLimit struct {
	Named, Malformed bool
	PerSecond        float64
}

// Names of the metrics. Latencies are in milliseconds. A name that ends in an
// underscore is a prefix: the kind of the route or the reason of a refusal
// follows.
const (
	MetricArrived    = "requests_arrived"
	MetricAnswered   = "requests_answered"
	MetricRefused    = "requests_refused_"
	MetricFailed     = "requests_failed"
	MetricClientLeft = "requests_left_by_client"
	MetricSlowClient = "streams_ended_for_slow_client"
	// MetricPassedThrough counts answers that were passed through to the client since there was no
	// memory for all of them.
	MetricPassedThrough = "answers_passed_through"
	// MetricMalformed counts answers of servers that were refused, by their headchecker reason.
	MetricMalformed = "answers_malformed_"
	// MetricLeftBeforeSend counts requests whose client had left when they were to be sent,
	// MetricLeftBeforeSendFor is for how long it was known then.
	MetricLeftBeforeSend    = "sends_after_client_left"
	MetricLeftBeforeSendFor = "client_left_before_send_ms"
	MetricUnmatched         = "requests_without_route"
	MetricUnauthorized      = "requests_without_valid_key"
	MetricRevoked           = "streams_ended_for_revoked_key"
	MetricOverCap           = "requests_over_account_cap"
	MetricRepeatOverCap     = "repeats_over_account_cap"
	MetricRetried           = "attempts_repeated"
	MetricBudgetExhausted   = "retry_budget_used_up"
	MetricResumed           = "streams_resumed"
	MetricTakenUp           = "streams_taken_up"
	MetricRateLimited       = "sends_held_by_rate_limit"
	MetricAdmittedLate      = "requests_admitted_late"
	MetricServerFull        = "sends_refused_by_full_servers"
	MetricSpared            = "sends_held_for_brittle_servers"
	MetricTurnTaken         = "sends_held_for_another_suspect"
	// Parts of prompts and tokens by the replies of the owners of servers' schedules.
	MetricPromptTokensHeld     = "prompt_tokens_held"
	MetricPartsBelievedHeld    = "prompt_parts_believed_and_held"
	MetricPartsBelievedNotHeld = "prompt_parts_believed_not_held"
	MetricPartsHeldNotBelieved = "prompt_parts_held_not_believed"
	MetricWait                 = "wait_for_server_ms_"
	MetricFirst                = "first_byte_ms_"
	MetricTotal                = "whole_answer_ms_"
	// MetricTooLarge counts requests whose body is over the limit.
	MetricTooLarge = "requests_too_large"
	MetricPause    = "longest_pause_ms"
)

// Relayer is the http.Handler for the requests of clients.
type Relayer struct {
	codec    Codec
	fleet    *balancer.Fleet
	suspects Suspects
	parts    PartSuspects
	pacer    Pacer
	throttle Throttler
	origins  Origins
	sparer   Sparer
	sequence Sequencer
	pauses   Pauses
	accounts Accounts
	clock    clockwork.Clock
	log      *zap.Logger
	table    atomic.Pointer[matcher.Table]
	meter    Meter
	tracer   trace.Tracer
	inFlight chan struct{}
	memory   *reserver.Reserver
	// shortages, oversized and crowded bound the log lines on what clients can cause at will.
	shortages, oversized, crowded reserver.Sampler
	// waits ends when requests may wait for a server no longer.
	waits    context.Context
	endWaits context.CancelFunc
	// requests ends when the requests in flight are given up. draining is set once further
	// ones are refused.
	requests    context.Context
	endRequests context.CancelFunc
	draining    atomic.Bool

	mu      sync.Mutex
	budgets map[string]*limiter.RetryWindow
	// probes are the incarnations of servers that are being probed, and whether to
	// probe them again after that.
	probes      map[string]bool
	retryRatio  float64
	retrySlack  float64
	retryWindow time.Duration
	// slowClientTimeout is how long a client may take for writeChunk bytes of a stream.
	slowClientTimeout time.Duration
	streams           keyedStreams
}

// discardMeter is a Meter that discards everything.
type discardMeter struct{}

func (discardMeter) Add(string, int64)             {}
func (discardMeter) Observe(string, time.Duration) {}

// unlimited is a Throttler for servers that name no limits.
type unlimited struct{}

func (unlimited) Observe(string, float64, bool) {}
func (unlimited) Limited(string) bool           { return false }
func (unlimited) Acquire(context.Context, string) (time.Duration, bool) {
	return 0, true
}

// noneBrittle is a Sparer for servers that are not brittle.
type noneBrittle struct{}

func (noneBrittle) Observe(string, int, bool) {}
func (noneBrittle) Brittle(string) bool       { return false }
func (noneBrittle) Admit(context.Context, string, string) (*sparer.Pass, time.Duration, bool) {
	return nil, 0, true
}

// unordered is a Sequencer that lets all requests be sent at any time.
type unordered struct{}

func (unordered) Acquire(context.Context, uint64) (*sequencer.Turn, time.Duration, bool) {
	return nil, 0, true
}

// keptPauses is a Pauses for an instance that reaches all servers directly.
type keptPauses struct{}

func (keptPauses) Spread(balancer.Pause, string) {}

// noOrigins is an Origins that knows none.
type noOrigins struct{}

func (noOrigins) Pin(string, pinner.Origin) {}
func (noOrigins) Find(context.Context, string) (pinner.Origin, time.Time, bool) {
	return pinner.Origin{}, time.Time{}, false
}

// noPartSuspects is a PartSuspects that suspects no part.
type noPartSuspects struct{}

func (noPartSuspects) ConnectionBroke(quarantiner.CutRequest, string) {}
func (noPartSuspects) EngineLost(string)                              {}
func (noPartSuspects) Survived([]uint64)                              {}
func (noPartSuspects) Admit([]uint64) (time.Duration, bool)           { return 0, false }
func (noPartSuspects) Quarantined([]uint64) bool                      { return false }
func (noPartSuspects) Suspected([]uint64) bool                        { return false }

// Option sets one option of a Relayer.
type Option func(*Relayer)

// WithRetries sets the retry budget of each service on this instance: within a
// window, the ratio times the number of requests plus the slack.
func WithRetries(window time.Duration, ratio, slack float64) Option {
	return func(r *Relayer) { r.retryWindow, r.retryRatio, r.retrySlack = window, ratio, slack }
}

// defaultRetryWindow is the window of the retry budgets without WithRetries.
const defaultRetryWindow = 10 * time.Second

// WithMeter sets the receiver of counts and latencies.
func WithMeter(m Meter) Option { return func(r *Relayer) { r.meter = m } }

// WithPacer reserves slots for prompts; without a pacer they are sent at once.
func WithPacer(p Pacer) Option { return func(r *Relayer) { r.pacer = p } }

// WithThrottler keeps the rate limits that servers name; without one they are not
// kept.
func WithThrottler(t Throttler) Option { return func(r *Relayer) { r.throttle = t } }

// WithSparer spares brittle servers; without it they get requests as others do.
func WithSparer(s Sparer) Option { return func(r *Relayer) { r.sparer = s } }

// WithSequencer has requests that may crash their servers sent one after the other; without
// it they are sent at any time.
func WithSequencer(s Sequencer) Option { return func(r *Relayer) { r.sequence = s } }

// WithPauses spreads what servers say of leaving and rest; without it only this instance
// keeps to it.
func WithPauses(p Pauses) Option { return func(r *Relayer) { r.pauses = p } }

// WithOrigins continues streams that clients take up again at the build that began them;
// without it only those of services that run one build are continued.
func WithOrigins(o Origins) Option { return func(r *Relayer) { r.origins = o } }

// WithPartSuspects refuses requests with parts that crash servers; without it no part is
// suspected.
func WithPartSuspects(p PartSuspects) Option { return func(r *Relayer) { r.parts = p } }

// WithMemory sets the memory budget of bodies; the default is one of defaultMemory.
func WithMemory(m *reserver.Reserver) Option { return func(r *Relayer) { r.memory = m } }

// defaultMemory is the budget of a relayer that is given none, in bytes.
const defaultMemory = 256 << 20

// WithTracer traces each request and each attempt in a span.
func WithTracer(t trace.Tracer) Option { return func(r *Relayer) { r.tracer = t } }

// WithSlowClientTimeout sets how long clients may stop the writing of a stream.
func WithSlowClientTimeout(d time.Duration) Option {
	return func(r *Relayer) { r.slowClientTimeout = d }
}

// WithMaxInFlight limits the number of concurrent requests.
func WithMaxInFlight(count int) Option {
	return func(r *Relayer) { r.inFlight = make(chan struct{}, count) }
}

// New returns a relayer without a table; it refuses requests until SetTable.
func New(codec Codec, fleet *balancer.Fleet, suspects Suspects, clock clockwork.Clock, log *zap.Logger, options ...Option) *Relayer {
	r := &Relayer{
		codec: codec, fleet: fleet, suspects: suspects, clock: clock, log: log,
		inFlight: make(chan struct{}, 1000), budgets: map[string]*limiter.RetryWindow{}, probes: map[string]bool{}, meter: discardMeter{}, throttle: unlimited{}, origins: noOrigins{}, sparer: noneBrittle{}, sequence: unordered{}, pauses: keptPauses{}, accounts: uncapped{}, parts: noPartSuspects{}, retryWindow: defaultRetryWindow, slowClientTimeout: slowClientTimeout, tracer: tracer.NewNoop(),
	}
	r.waits, r.endWaits = context.WithCancel(context.Background())
	r.requests, r.endRequests = context.WithCancel(context.Background())
	for _, o := range options {
		o(r)
	}
	if r.memory == nil {
		r.memory = reserver.New(defaultMemory, reserver.WithClock(clock))
	}
	return r
}

// StartDraining refuses the requests that arrive from now on. Those in flight go on.
func (r *Relayer) StartDraining() { r.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (r *Relayer) InFlight() int { return len(r.inFlight) }

// EndRequests gives up the requests in flight whose answer has not begun. Their clients are
// answered: with a refusal if the request has not been sent, else with 502 or 504.
func (r *Relayer) EndRequests() { r.endRequests() }

// EndWaits refuses the requests that wait for a server, and from now on those that
// would have to.
func (r *Relayer) EndWaits() { r.endWaits() }

// SetTable applies a table unless one of the same or a newer version is in use.
// It reports whether it did.
func (r *Relayer) SetTable(t *matcher.Table) bool {
	for {
		old := r.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(old, t) {
			r.endRevoked()
			for name, s := range t.Services {
				if s.Engine != nil {
					r.fleet.SetCacheTokens(name, s.Engine.CacheTokens)
					r.fleet.SetModels(name, s.Engine.Models)
				}
			}
			return true
		}
	}
}

// Table returns the table in use, nil if there is none.
func (r *Relayer) Table() *matcher.Table { return r.table.Load() }

// countRequest counts a request that is not a retry, which adds to the retry
// budget of its service.
func (r *Relayer) countRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget(service).Fresh(r.clock.Now())
}

// allowRetry reports whether the retry budget allows a retry, and counts it if so.
func (r *Relayer) allowRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget(service).Retry(r.clock.Now())
}

// SetRetryShare sets the ratio and the slack of all retry budgets, which are this
// instance's share of the retries.
func (r *Relayer) SetRetryShare(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryRatio == ratio && r.retrySlack == slack {
		return
	}
	r.retryRatio, r.retrySlack = ratio, slack
	for _, b := range r.budgets {
		b.Resize(ratio, slack)
	}
}

// retryBudget returns the retry budget of a service. r.mu must be held.
func (r *Relayer) retryBudget(service string) *limiter.RetryWindow {
	b, ok := r.budgets[service]
	if !ok {
		b = limiter.NewRetryWindow(r.retryWindow, r.retryRatio, r.retrySlack)
		r.budgets[service] = b
	}
	return b
}

// exchange is the state of one client request.
type exchange struct {
	*Relayer
	writer  http.ResponseWriter
	request *http.Request
	meta    Meta
	route   *matcher.Route
	// account is the client's account, nil for none. credit is what was taken of its cap, nil
	// if nothing is to be refunded or renewed. priority is the account's or the route's.
	account     *matcher.Account
	hasAccounts bool
	credit      Credit
	creditAt    time.Time
	// revoked is set once the key of a stream was revoked that ends for it.
	revoked atomic.Bool
	// creditUsed is set once the request may have run with the credit.
	creditUsed bool
	priority   int
	service    string
	body       []byte
	// held is the memory of the body. unread is set if the rest of the body is to be discarded.
	held     *reserver.Reservation
	unread   bool
	started  time.Time
	deadline time.Time
	query    balancer.Request
	identity quarantiner.Identity
	// prefix are the hashes of the parts of the prompt that other requests may share.
	// trial is set if the request is sent although one of them is quarantined.
	prefix       []uint64
	trial        bool
	log          *zap.Logger
	tableVersion int64
	// startEvent is the last event that the client had when the request arrived, empty
	// for none.
	startEvent string
	// build is the build that began the stream, empty while none has. began is the attempt
	// that began it, nil if that was in an earlier request.
	build string
	began *attempt

	// sends counts the attempts that may have reached a server; mayHaveRun is
	// set once one of them may have run the request.
	sends      int
	mayHaveRun bool
	headerSent bool
	// streaming is set once events are sent to the client.
	streaming atomic.Bool
	// outbox holds what waits for the client of a stream, nil before its first event. slowClient is
	// set once the client was found to be too slow.
	outbox     atomic.Pointer[outbox]
	slowClient bool
	// context ends with the request's, at its deadline, and when its client is found to have
	// left, for which cancel is called.
	context context.Context
	cancel  context.CancelFunc
	expiry  *expiry
	// attempts are the attempts and their outcomes, for the log; firstByte is
	// when the first bytes of a stream were sent to the client.
	attempts  []*attemptRecord
	firstByte time.Time
	// lastWrite is when events were last sent to the client, longestPause the
	// longest time between two such writes and longestPauseAt when that pause
	// began, counted from the arrival of the request.
	lastWrite                    time.Time
	longestPause, longestPauseAt time.Duration

	// pass is the admission of the next attempt to a brittle server, nil if it needs none.
	pass *sparer.Pass
	// turn is the turn of the next attempt, nil if it needs none. cutOff is set once the
	// connection of an attempt broke under the request, or its server fell silent.
	turn   *sequencer.Turn
	cutOff bool

	// departure is what is known of the client's leaving, delays are the waits before the next
	// attempt.
	departure departure
	delays    delays

	// backlog is the estimated time until a server is free, for a request that
	// got none.
	backlog time.Duration
	// awaitsTurn is set if it got none since no server has its model loaded, or all are full.
	awaitsTurn bool
}
