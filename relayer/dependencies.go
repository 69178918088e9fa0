package relayer

import (
	"context"
	"net/http"
	"time"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/pacer"
	"primrosehook/pinner"
	"primrosehook/quarantiner"
	"primrosehook/sequencer"
	"primrosehook/sparer"
)

// Codec converts the headers of requests and answers.
type Codec interface {
	// Request parses a client's headers. It reports whether they include a
	// request ID.
	Request(h http.Header) (Meta, bool)
	// RequestHeader returns the headers for a server, but for that of the time left, which
	// TimeLeftHeader returns.
	RequestHeader(h http.Header, s ForwardInfo) http.Header
	TimeLeftHeader(left time.Duration) http.Header
	// ParseAnswer parses the headers of a server's answer.
	ParseAnswer(status int, h http.Header) AnswerInfo
	// AnswerHeader returns the headers of the answer for the client.
	AnswerHeader(h http.Header) http.Header
}

// Suspects identifies requests that crash servers.
type Suspects interface {
	// ConnectionBroke records that a request's connection to an incarnation of
	// a server broke, EngineLost that the incarnation has crashed. EngineLost
	// returns the digests of the requests that are suspected of it.
	ConnectionBroke(id quarantiner.Identity, incarnation string)
	EngineLost(incarnation string) []uint64
	// RequestCompleted records that a request completed normally.
	RequestCompleted(id quarantiner.Identity)
	// Remaining returns the time left of a request's quarantine, zero if it is not
	// in one. Crashes returns how many crashed servers count against it; it may be
	// free all the same, since another request explains them.
	Remaining(id quarantiner.Identity) time.Duration
	Crashes(id quarantiner.Identity) int
	// Key stands for a request and those that are suspected together with it. Completed
	// reports whether a request like this one has completed of late.
	Key(id quarantiner.Identity) uint64
	Completed(id quarantiner.Identity) bool
}

// PartSuspects identifies parts of prompts that crash servers, whatever else a request
// holds. Parts are hashes, in the order of the prompt.
type PartSuspects interface {
	// ConnectionBroke records that the connection to an incarnation of a server broke
	// under a request whose answer had just begun, or had not. EngineLost records that
	// the incarnation has crashed.
	ConnectionBroke(q quarantiner.CutRequest, incarnation string)
	EngineLost(incarnation string)
	// Survived records that a request has gone on beyond the beginning of its answer.
	Survived(parts []uint64)
	// Admit returns for how long a request is refused, zero if it may be sent. A trial
	// is sent to find out whether it survives, to one server only.
	Admit(parts []uint64) (remaining time.Duration, trial bool)
	// Quarantined reports whether requests with one of the parts are refused, Suspected
	// whether they are not to be repeated.
	Quarantined(parts []uint64) bool
	Suspected(parts []uint64) bool
}

// Pacer reserves slots for prompts in the schedules of servers.
type Pacer interface {
	// Reserve reserves a slot for a prompt of so many tokens at an incarnation of
	// a server. gap is the route's objective for the longest pause between two
	// events. An error means that the owner of the schedule did not reply.
	Reserve(ctx context.Context, incarnation string, tokens int, gap time.Duration, load balancer.EngineLoad) (pacer.Reservation, error)
	// Release gives back a reservation of a request that is not sent.
	Release(incarnation string, r pacer.Reservation)
}

// Throttler keeps the rate limits that servers name, together with the other
// instances.
type Throttler interface {
	// Observe records whether an answer of an incarnation of a server names a limit.
	Observe(incarnation string, perSecond float64, limited bool)
	// Limited reports whether an incarnation of a server names a limit.
	Limited(incarnation string) bool
	// Acquire reports whether a request may be sent to an incarnation of a server
	// now. If not, it returns the time until one may be.
	Acquire(ctx context.Context, incarnation string) (wait time.Duration, ok bool)
}

// Origins knows which build of a service began a stream.
type Origins interface {
	// Pin records what began the stream of a request. Find returns it, and a time at which
	// the stream had begun; it reports false if the build is not known.
	Pin(id string, o pinner.Origin)
	Find(ctx context.Context, id string) (o pinner.Origin, begun time.Time, ok bool)
}

// Sparer admits requests to brittle servers, together with the other instances.
type Sparer interface {
	// Observe records whether an answer says that the servers of a service are brittle, and
	// how many refusals each bears in a second. Brittle reports whether they are.
	Observe(service string, bears int, brittle bool)
	Brittle(service string) bool
	// Admit reports whether a request may be sent to an incarnation of a server of a service
	// now. If not, it returns the time until one may be.
	Admit(ctx context.Context, service, incarnation string) (pass *sparer.Pass, wait time.Duration, ok bool)
}

// Sequencer has requests that may crash their servers sent one after the other, by all
// instances together.
type Sequencer interface {
	// Acquire takes the turn of the requests with a key. If that can't be had, it returns
	// when to ask again.
	Acquire(ctx context.Context, key uint64) (turn *sequencer.Turn, wait time.Duration, ok bool)
}

// Pauses spreads what servers say of leaving and rest to where it matters beside this fleet.
type Pauses interface {
	// Spread records what a server has said in an answer, which came through the instance
	// with the address via, empty if it came directly.
	Spread(p balancer.Pause, via string)
}

// Accounts keeps the usage caps of client accounts, together with the other instances.
type Accounts interface {
	// Acquire takes an amount of an account's cap, as the version of the configuration states
	// it, or says why it can't be had.
	Acquire(ctx context.Context, a *matcher.Account, version int64, amount float64) (Credit, CapDenial, bool)
}

// CapDenial says why a request is refused for its account's cap, and when it may be granted.
type CapDenial struct {
	Wait  time.Duration
	Cause string
}

// Credit is what a request has taken of an account's cap.
type Credit interface {
	// Renew takes the same amount again, as of now, in place of what was taken before: the request
	// has certainly not run since.
	Renew(ctx context.Context) (CapDenial, bool)
	// Repeat takes the same amount once more: the request may have run.
	Repeat(ctx context.Context) (CapDenial, bool)
	// Refund gives it back: the request has certainly not run.
	Refund()
}

// Meter receives counts and durations.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}
