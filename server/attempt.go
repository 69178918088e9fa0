package server

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/sender"
)

// Limits of the calls to an engine around a generation.
const (
	resumeTimeout = 2 * time.Second
	cancelTimeout = 2 * time.Second
	// startTimeoutFactor times the deadline, or times Limits.StallTimeout if that is
	// shorter or there is no deadline, is the start timeout.
	startTimeoutFactor = 2
	minStartTimeout    = time.Second
	// deferredStartTimeout applies to deferred work, which has the lowest
	// priority in the engine.
	deferredStartTimeout = time.Minute
	// maxProbes and probeInterval bound the probing of an engine after a cut.
	maxProbes     = 10
	probeInterval = 50 * time.Millisecond
)

// attempt is the execution of one request on one engine.
type attempt struct {
	generation *generation
	engine     driver.Engine
	// generationID is the id of this generation at the engine.
	generationID string
	engineName   string
	// start is when the attempt began.
	start time.Time
	// firstToken is the time to the first token of this attempt, 0 if there was
	// none.
	firstToken time.Duration
	tokens     int
	load       *driver.Load
	done       bool
	// concurrent is how many requests of this instance ran on the engine when
	// the stream first broke, this one included. All of them see the break
	// before the first of them has found out that the engine is lost.
	concurrent int
	// crashed is set if the engine was found to be lost.
	crashed bool
	// silent is set if the last stream was cut because it sent no data.
	silent bool
	// stalled is set if the attempt has ended for now, while the engine may still
	// be at work. The generation on the engine is not cancelled then.
	stalled bool
}

// openFunc opens a stream at the engine.
type openFunc func(ctx context.Context) (driver.Stream, error)

// run starts the generation and passes tokens to the sink until the last one.
func (a *attempt) run(ctx context.Context) error {
	timeout := a.startTimeout()
	err := a.relay(ctx, silenceLimits{open: timeout, first: timeout}, a.generate)
	if err != nil {
		a.concurrent = a.generation.server.inFlight.get(a.engineName)
	}
	return a.resumeAfter(ctx, err)
}

// resumeAfter resumes a broken stream on the same engine as long as each
// resumption yields new tokens.
func (a *attempt) resumeAfter(ctx context.Context, err error) error {
	a.stalled = false
	for err != nil {
		if ctx.Err() != nil || errors.Is(err, errClientGone) {
			a.cancel(ctx)
			return errClientGone
		}
		if judge.Of(err) != judge.MayHaveRun {
			return err
		}
		before := a.generation.sent
		resumeErr := a.relay(ctx, a.generation.server.resumeLimits(), a.resume)
		if resumeErr == nil || errors.Is(resumeErr, errClientGone) || a.generation.sent > before {
			err = resumeErr
			continue
		}
		a.crashed = a.engineLost(ctx, resumeErr)
		a.stalled = !a.crashed && a.mayContinue()
		if !a.crashed && !a.stalled {
			a.cancel(ctx)
		}
		return err
	}
	return nil
}

// mayContinue reports whether to leave a generation on its engine until another
// engine has accepted the rest. That is so if the engine was only silent, is still
// in the instance list, and the first token is not overdue. An attempt that was
// not accepted replaces none.
func (a *attempt) mayContinue() bool {
	g := a.generation
	_, listed := g.server.findInstance(lister.KindEngine, a.engineName)
	return a.silent && listed && !g.overdue() && g.stalled == nil
}

// startTimeout is how long the engine may take to accept the request, and then
// to send the first token. For an urgent request it is short, so that a frozen
// engine is given up early; the retry budget keeps that from doubling the load
// when all engines are slow. Deferred work may wait behind other work in the
// engine and must not be cancelled for that: it would be retried over and over.
func (a *attempt) startTimeout() time.Duration {
	stall, d := a.generation.server.limits.StallTimeout, a.generation.request.decision.Then.Deadline
	switch {
	case a.generation.request.deferred:
		return max(stall, deferredStartTimeout)
	case d > 0:
		return min(max(startTimeoutFactor*d, minStartTimeout), startTimeoutFactor*stall)
	}
	return startTimeoutFactor * stall
}

// generate starts the rest of the generation on the engine.
func (a *attempt) generate(ctx context.Context) (driver.Stream, error) {
	q := a.generation.request
	if a.generation.sent > q.firstOffset {
		a.generation.server.counters.replayed.Add(1)
	}
	stream, err := a.engine.Generate(whileClientStays(ctx), driver.Request{
		ID: a.generationID, Weights: q.weights, Prompt: q.prompt, MaxTokens: q.maxTokens,
		Priority: a.generation.work.Priority, Seed: q.seed, SkipTokens: a.generation.sent,
	})
	if errors.Is(err, sender.ErrUnwanted) {
		return nil, errClientGone
	}
	return stream, err
}

// resume reopens the stream of the generation on the engine.
func (a *attempt) resume(ctx context.Context) (driver.Stream, error) {
	stream, err := a.engine.Resume(whileClientStays(ctx), a.generationID, a.generation.sent)
	if err == nil {
		a.generation.server.counters.resumed.Add(1)
	}
	return stream, err
}

// engineLost reports whether the engine is lost and not only the connection: it
// refuses connections, or another incarnation of it responds at the address. A
// process that is terminating may still accept a connection and reset it, so
// probing continues until the result is clear.
func (a *attempt) engineLost(ctx context.Context, err error) bool {
	clock := a.generation.server.clock
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := clock.AfterFunc(resumeTimeout, cancel)
	defer timer.Stop()
	for range maxProbes {
		if connectionRefused(err) {
			return true
		}
		report, failure := a.engine.Report(ctx)
		if failure == nil {
			return report.Engine != a.engineName
		}
		err = failure
		select {
		case <-clock.After(probeInterval):
		case <-ctx.Done():
			return false
		}
	}
	return connectionRefused(err)
}

// connectionRefused reports whether dialing failed for a reason other than a
// timeout.
func connectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// silenceLimits are the longest times without data from an engine before its
// stream counts as cut: until it has accepted the request, and then until its
// first token.
type silenceLimits struct {
	open  time.Duration
	first time.Duration
}

// resumeLimits returns the limits for an engine that has already started the
// generation.
func (s *Server) resumeLimits() silenceLimits {
	return silenceLimits{open: resumeTimeout, first: s.limits.StallTimeout}
}

// relay opens a stream and passes its tokens on, in order and without gaps. A
// stream without data for longer than the limits counts as cut.
//
// Tokens that arrived together are sent to the client in one write, since a
// write costs more than everything else that is done for a token. No token
// waits for one that has not arrived.
func (a *attempt) relay(ctx context.Context, limits silenceLimits, open openFunc) error {
	s := a.generation.server
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := s.clock.AfterFunc(limits.open, cancel)
	defer stall.Stop()
	// Only the timer cancels streamCtx alone before relay returns.
	defer func() { a.silent = streamCtx.Err() != nil && ctx.Err() == nil }()
	stream, err := open(streamCtx)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	stall.Stop()
	a.generation.dropStalled(ctx)
	a.generation.sink.setOrigin(a.engineName, a.generationID)
	stall.Reset(limits.first)
	for err == nil && !a.done {
		blocks := !stream.Ready()
		token, failure := stream.Next()
		if blocks {
			stall.Reset(s.limits.StallTimeout)
		}
		err = a.handleToken(token, failure)
		if err != nil || a.done || !stream.Ready() {
			err = a.flush(err)
		}
	}
	return err
}

// flush sends the tokens in the sink, also after the stream has broken.
func (a *attempt) flush(err error) error {
	if failure := a.generation.sink.flush(); err == nil {
		return failure
	}
	return err
}

// handleToken passes one token on, unless the client has it already.
func (a *attempt) handleToken(token driver.Token, err error) error {
	if errors.Is(err, io.EOF) {
		return judge.Unknown("engine", "engine stream ended early", err)
	}
	if err != nil {
		return err
	}
	if token.Offset > a.generation.sent {
		return judge.Unknown("engine", "engine stream has a gap", nil)
	}
	if token.Offset < a.generation.sent && token.Finish == "" {
		return nil
	}
	a.recordFirstToken()
	return a.deliver(token)
}

// recordFirstToken records the time to the first token.
func (a *attempt) recordFirstToken() {
	clock := a.generation.server.clock
	if a.tokens == 0 {
		a.firstToken = clock.Since(a.start)
	}
	if a.generation.firstToken == 0 {
		a.generation.firstToken = clock.Since(a.generation.start)
	}
}

// deliver passes one token on. The last one may be an end marker without text.
func (a *attempt) deliver(token driver.Token) error {
	if token.Offset < a.generation.sent {
		token.Text = ""
	}
	if token.Text != "" || token.Finish == "" {
		a.generation.sent++
		a.tokens++
	}
	a.done = token.Finish != ""
	a.load = token.Load
	return a.generation.sink.writeToken(token)
}

// cancel cancels the generation on the engine, which would otherwise continue
// it for a resumption that never comes.
func (a *attempt) cancel(ctx context.Context) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	timer := a.generation.server.clock.AfterFunc(cancelTimeout, cancel)
	defer timer.Stop()
	_ = a.engine.Cancel(ctx, a.generationID)
}
