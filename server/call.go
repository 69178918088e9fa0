package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"primrosehook/explainer"
	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/sender"
	"primrosehook/tracer"
)

// attemptTimeDivisor divides the time limit of an attempt of a call into the time
// after which the call is sent to another server too.
const attemptTimeDivisor = 2

// codeSuperseded marks an attempt that ended because another one has answered.
const codeSuperseded = "superseded"

// runCall executes an idempotent call. If the newest attempt fails or is slow, the
// call is sent to another server while the retry budget allows. A slow attempt
// goes on until its time limit or until another server has answered, since the
// other one may refuse the call.
func (sr *serviceRequest) runCall(ctx context.Context) (forwarder.Answer, error) {
	s := sr.server
	if s.forwarder == nil {
		return forwarder.Answer{}, judge.Unavailable("forwarder", "instance forwards no calls", time.Second)
	}
	s.counters.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &callRun{
		request: sr, tried: map[string]bool{}, results: make(chan callResult, s.limits.MaxAttempts),
		failure: judge.Unavailable("no-server", "no server of the service is known", time.Second),
	}
	answer, err := c.run(ctx)
	c.recordAttempts()
	return answer, err
}

// callRun is the execution of one call, over one or more servers.
type callRun struct {
	request *serviceRequest
	tried   map[string]bool
	// attempts are the attempts in the order of their start, and open how many
	// of them run.
	attempts []*callAttempt
	open     int
	results  chan callResult
	failure  *judge.Refusal
}

// callAttempt is the execution of a call on one server.
type callAttempt struct {
	run    *callRun
	server lister.Instance
	ended  bool
	record explainer.Attempt
}

// callResult is the result of an attempt.
type callResult struct {
	attempt *callAttempt
	answer  forwarder.Answer
	err     error
}

func (c *callRun) run(ctx context.Context) (forwarder.Answer, error) {
	wait := c.timeLimit() / attemptTimeDivisor
	timer := c.request.server.clock.NewTimer(wait)
	defer timer.Stop()
	c.startNext(ctx)
	for c.open > 0 {
		select {
		case r := <-c.results:
			if c.end(r); r.err == nil {
				return r.answer, nil
			}
			if isGivenUp(ctx) {
				if c.open > 0 {
					c.failure.Verdict = max(c.failure.Verdict, judge.MayHaveRun)
				}
				return forwarder.Answer{}, stopRefusal(c.failure.Verdict)
			}
			if ctx.Err() != nil || errors.Is(r.err, sender.ErrUnwanted) {
				return forwarder.Answer{}, errClientGone
			}
			if r.attempt != c.attempts[len(c.attempts)-1] {
				// The call was sent to another server already.
				continue
			}
		case <-timer.Chan():
		}
		c.startNext(ctx)
		timer.Reset(wait)
	}
	return forwarder.Answer{}, c.failure
}

// timeLimit is the longest time of one attempt.
func (c *callRun) timeLimit() time.Duration {
	limit := c.request.server.limits.CallTimeout
	if d := c.request.decision.Then.Deadline; d > 0 {
		limit = min(limit, d)
	}
	return limit
}

// startNext sends the call to a server that it has not been sent to, if there is one
// and the number of attempts and the retry budget allow it.
func (c *callRun) startNext(ctx context.Context) {
	s := c.request.server
	if len(c.attempts) >= s.limits.MaxAttempts {
		return
	}
	server, ok := s.chooseServer(c.request.pool, c.tried)
	if !ok {
		return
	}
	if len(c.attempts) > 0 {
		if !s.mayRetry() {
			return
		}
		s.counters.retries.Add(1)
	}
	c.tried[server.Name] = true
	a := &callAttempt{run: c, server: server, record: explainer.Attempt{Target: server.Name}}
	c.attempts = append(c.attempts, a)
	c.open++
	s.inFlight.add(server.Name, 1)
	go a.runForward(ctx)
}

// end records the result of an attempt.
func (c *callRun) end(r callResult) {
	c.open--
	r.attempt.ended = true
	if r.err == nil {
		return
	}
	worst := max(c.failure.Verdict, judge.Of(r.err))
	next := *judge.As(r.err)
	r.attempt.record.Code, r.attempt.record.Verdict, r.attempt.record.Reason = next.Code, next.Verdict.String(), next.Error()
	next.Verdict = worst
	if next.RetryAfter == 0 {
		next.RetryAfter = time.Second
	}
	c.failure = &next
}

// recordAttempts adds the attempts to the decision that operators see.
func (c *callRun) recordAttempts() {
	for _, a := range c.attempts {
		if !a.ended {
			a.record.Code = codeSuperseded
		}
		c.request.explanation.Attempts = append(c.request.explanation.Attempts, a.record)
	}
}

// runForward sends the call to the server of the attempt.
func (a *callAttempt) runForward(ctx context.Context) {
	answer, err := a.forward(ctx)
	a.run.results <- callResult{attempt: a, answer: answer, err: err}
}

func (a *callAttempt) forward(ctx context.Context) (forwarder.Answer, error) {
	sr := a.run.request
	s := sr.server
	defer s.inFlight.add(a.server.Name, -1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.clock.AfterFunc(a.run.timeLimit(), cancel)
	defer timer.Stop()
	ctx, span := s.tracer.Start(ctx, "call")
	answer, err := s.forwarder.Forward(whileClientStays(ctx), a.server.Addr, withTraceContext(ctx, sr.call))
	if err == nil && answer.Status == http.StatusServiceUnavailable {
		err = judge.Unavailable("server", "server of the service takes no calls now", time.Second)
	}
	tracer.EndSpan(span, err)
	return answer, err
}
