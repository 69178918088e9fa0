package sharder

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/messenger"
	"primrosehook/watcher"
)

const (
	// maxOwners is the number of owners that are called before an instance
	// executes the request itself.
	maxOwners = 3
	// maxLogFailures is the number of owners without access to the log after
	// which the request is refused. A single owner may be partitioned from the
	// log; two are assumed to mean an outage.
	maxLogFailures = 2
	codeLog        = "log"
	// CodeDraining is the refusal code of an owner that accepts no more work.
	CodeDraining = "draining"
)

// Route is the configuration for forwarding requests to a shard's owners.
type Route struct {
	View  watcher.View
	Peers *messenger.Client
	Clock clockwork.Clock
	// Kind is the message kind that the owners serve.
	Kind string
	// Overlap is how long an owner may take before the next one is called as
	// well.
	Overlap time.Duration
	// Timeout is the timeout of a call to an owner. It may be shorter than the
	// work takes, if the next owner can wait for the result of the first.
	Timeout time.Duration
	// RetryCodes are additional refusal codes after which the next owner is
	// called.
	RetryCodes []string
}

// Forward sends a request to the owners of a stream in their order, and executes
// it locally if this instance is one of them or none answers. A refusal by an
// owner is final, but after a failed or late call, a refusal by an owner without
// access to the log, and the other codes that are retryable, the next owner is
// called. So the request must be harmless when two owners get it.
//
// The call to a slow owner goes on while the next one is called: the first
// success of the two is returned. So a frozen owner costs Overlap and not
// Timeout, and a slow one can still report the outcome of the request. If
// Timeout were as short as Overlap, an owner that waits for a hanging log would
// be given up before it can report that the request did not run.
//
// The verdict is NotRun only if no owner may have begun.
func Forward[Q, A any](
	ctx context.Context, r Route, stream string, request Q, local func(context.Context, Q) (A, error),
) (A, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	owners := candidates(r.View, stream)
	f := &forwarding[Q, A]{
		route: r, request: request, local: local, remaining: owners, results: make(chan result[A], len(owners)),
		refusal: judge.Unavailable("peer", "no home of the shard is reachable", time.Second),
	}
	return f.run(ctx)
}

// forwarding is the state of one forwarded request.
type forwarding[Q, A any] struct {
	route   Route
	request Q
	local   func(context.Context, Q) (A, error)
	// remaining are the owners that are not called yet; results receives the
	// results of the others.
	remaining []lister.Instance
	results   chan result[A]
	// pending is the number of calls without a result, logFailures that of owners
	// without access to the log.
	pending, logFailures int
	// mayHaveRun is set if an owner may have begun, final if no further owner is
	// to be called.
	mayHaveRun, final bool
	// refusal is the final refusal, or else the latest one.
	refusal *judge.Refusal
}

// result is the result of one call.
type result[A any] struct {
	answer A
	err    error
}

// run calls owners until one succeeds, a refusal is final or none is left. At
// most two calls are pending at a time.
func (f *forwarding[Q, A]) run(ctx context.Context) (A, error) {
	overlapEnd := f.callNext(ctx)
	for f.pending > 0 {
		var overlap <-chan time.Time
		if f.pending == 1 && f.logFailures == 0 && f.hasNext(ctx) {
			overlap = overlapEnd
		}
		select {
		case <-overlap:
			overlapEnd = f.callNext(ctx)
		case e := <-f.results:
			f.pending--
			if e.err == nil {
				return e.answer, nil
			}
			f.recordRefusal(judge.As(e.err))
			if f.final && f.refusal.Verdict != judge.NotRun {
				return e.answer, f.refusal
			}
			if f.pending == 0 && f.hasNext(ctx) {
				overlapEnd = f.callNext(ctx)
			}
		}
	}
	var none A
	if f.mayHaveRun && f.refusal.Verdict == judge.NotRun {
		return none, judge.Unknown("peer", "a home of the shard has not answered; the request may have run", f.refusal)
	}
	return none, f.refusal
}

func (f *forwarding[Q, A]) hasNext(ctx context.Context) bool {
	return !f.final && len(f.remaining) > 0 && ctx.Err() == nil
}

// callNext calls the next owner, and returns a channel that signals the end of
// Overlap.
func (f *forwarding[Q, A]) callNext(ctx context.Context) <-chan time.Time {
	a := &ownerCall[Q, A]{forwarding: f, owner: f.remaining[0]}
	f.remaining = f.remaining[1:]
	f.pending++
	go a.run(ctx)
	return f.route.Clock.After(f.route.Overlap)
}

// recordRefusal records a refusal. After a final one, the others only matter if
// they may have begun.
func (f *forwarding[Q, A]) recordRefusal(r *judge.Refusal) {
	if f.final {
		f.mayHaveRun = f.mayHaveRun || r.Verdict != judge.NotRun
		return
	}
	if r.Code == codeLog {
		f.logFailures++
	}
	f.refusal = r
	f.final = !f.route.retryable(r) || f.logFailures == maxLogFailures
	if !f.final {
		f.mayHaveRun = f.mayHaveRun || r.Verdict != judge.NotRun
	}
}

// ownerCall is the call to one owner.
type ownerCall[Q, A any] struct {
	forwarding *forwarding[Q, A]
	owner      lister.Instance
}

func (a *ownerCall[Q, A]) run(ctx context.Context) {
	f := a.forwarding
	var e result[A]
	if a.owner.Name == f.route.View.Self().Name {
		e.answer, e.err = f.local(ctx, f.request)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, f.route.Timeout)
		defer cancel()
		e.err = f.route.Peers.Call(callCtx, a.owner.PeerAddr, f.route.Kind, f.request, &e.answer)
	}
	f.results <- e
}

// Serve handles the messages of a kind that other instances forward to this one.
func Serve[Q, A any](s *messenger.Server, kind string, answer func(context.Context, Q) (A, error)) {
	s.Handle(kind, func(ctx context.Context, body msgpack.RawMessage) (any, error) {
		var q Q
		if err := framer.Decode(body, &q); err != nil {
			return nil, judge.Invalid("body", "message is malformed")
		}
		return answer(ctx, q)
	})
}

// candidates returns the owners, followed by this instance if it is not one of
// them.
func candidates(view watcher.View, stream string) []lister.Instance {
	self := view.Self()
	var all []lister.Instance
	included := false
	for _, owner := range view.Owners(stream, maxOwners) {
		included = included || owner.Name == self.Name
		all = append(all, owner)
	}
	if !included {
		all = append(all, self)
	}
	return all
}

// retryable reports whether the next owner may be called after a refusal.
func (r Route) retryable(last *judge.Refusal) bool {
	switch last.Code {
	case "peer", "busy", "kind", codeLog, CodeDraining:
		return true
	}
	return slices.Contains(r.RetryCodes, last.Code)
}
