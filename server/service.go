package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"primrosehook/explainer"
	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/ruler"
	"primrosehook/tracer"
)

// KeyHeader carries the idempotency key of a write.
const KeyHeader = "Idempotency-Key"

// RepeatedHeader marks a response that is the recorded outcome of an earlier
// write.
const RepeatedHeader = "Idempotency-Replayed"

// maxKeyBytes is the longest idempotency key.
const maxKeyBytes = 255

// handleService serves /services/{service}/*.
func (s *Server) handleService(c echo.Context) error {
	s.counters.requests.Add(1)
	version, list, err := s.ruleList()
	if err != nil {
		return err
	}
	service, ok := list.Service(c.Param("service"))
	if !ok {
		return &judge.Refusal{
			Status: http.StatusNotFound, Code: "service-not-found",
			Reason: fmt.Sprintf("service %q is not in the rule list", truncate(c.Param("service"))),
		}
	}
	body, err := s.readBody(c, 1)
	if err != nil {
		return err
	}
	q := c.Request()
	call := forwarder.Call{
		Method: q.Method, Path: servicePath(q.URL.EscapedPath()),
		Query: q.URL.RawQuery, Header: forwarder.StripHopHeaders(q.Header), Body: body, Held: s.reserveAnswer(c),
	}
	// Rules match the cleaned path, as the service will interpret it, so that
	// another spelling of a write, such as //receipts, is not treated as a
	// call.
	cleanPath := path.Clean(servicePath(q.URL.Path))
	situation := serviceSituation(service.Name, call, q.Header.Get(ClientHeader), service.IsWrite(q.Method, cleanPath))
	situation.Path = cleanPath
	sr := &serviceRequest{
		server: s, service: service.Name, pool: service.Pool, call: call, decision: list.Decide(list.WithTime(s.clock.Now(), situation)), write: situation.Kind == ruler.KindWrite,
		key: q.Header.Get(KeyHeader), id: s.ids.id(), start: s.clock.Now(),
	}
	sr.explanation = explainer.Decision{
		ID: sr.id, At: sr.start, Kind: situation.Kind, Service: service.Name, Client: situation.Caller, RulesVersion: version,
		Rule: sr.decision.Name, Class: sr.decision.Then.Class, Deadline: sr.decision.Then.Deadline,
	}
	return s.respondService(c, sr)
}

func serviceSituation(service string, call forwarder.Call, client string, write bool) ruler.Situation {
	at := ruler.Situation{
		Kind: ruler.KindCall, Service: service, Method: call.Method,
		Caller: client[:min(len(client), maxClientBytes)], Prompt: len(call.Body),
	}
	if write {
		at.Kind = ruler.KindWrite
	}
	return at
}

// servicePath returns the part of a path below /services/{service}.
func servicePath(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, "/services/"), "/")
	return "/" + rest
}

// serviceRequest is one request to a plain service.
type serviceRequest struct {
	server  *Server
	service string
	// pool is the pool of servers that the call is sent to.
	pool     string
	call     forwarder.Call
	decision ruler.Decision
	write    bool
	key      string
	id       string
	start    time.Time
	// repeated is set if the answer is the recorded outcome of an earlier
	// write.
	repeated    bool
	explanation explainer.Decision
}

// respondService runs a service request and sends the response.
func (s *Server) respondService(c echo.Context, sr *serviceRequest) error {
	c.Response().Header().Set(IDHeader, sr.id)
	ctx, span := s.startSpan(c, "request")
	answer, err := sr.run(ctx)
	tracer.EndSpan(span, err)
	sr.finish(err)
	if err != nil {
		return err
	}
	h := c.Response().Header()
	for name, values := range forwarder.StripHopHeaders(answer.Header) {
		h[name] = values
	}
	if sr.repeated {
		s.counters.repeats.Add(1)
		h.Set(RepeatedHeader, "true")
	}
	c.Response().WriteHeader(answer.Status)
	_, err = c.Response().Write(answer.Body)
	if err != nil {
		return errClientGone
	}
	return nil
}

func (sr *serviceRequest) run(ctx context.Context) (forwarder.Answer, error) {
	if sr.decision.Then.Refuse {
		return forwarder.Answer{}, &judge.Refusal{
			Status: http.StatusTooManyRequests, Code: "refused-by-rule", RetryAfter: ruleRefusalRetry,
			Reason: fmt.Sprintf("rule %q refuses this request", sr.decision.Name),
		}
	}
	if sr.write {
		return sr.runWrite(ctx)
	}
	return sr.runCall(ctx)
}

// runWrite executes a write. It continues if the client disconnects, or is told that the instance
// stops: the outcome must be recorded for a repeated request of the client.
func (sr *serviceRequest) runWrite(ctx context.Context) (forwarder.Answer, error) {
	if err := checkKey(sr.key); err != nil {
		return forwarder.Answer{}, err
	}
	if sr.server.writer == nil {
		return forwarder.Answer{}, judge.Unavailable("writer", "instance takes no writes", time.Second)
	}
	sr.server.counters.writes.Add(1)
	results := make(chan writeResult, 1)
	go sr.runWriter(context.WithoutCancel(ctx), results)
	select {
	case r := <-results:
		sr.repeated = r.repeated
		return r.answer, r.err
	case <-sr.server.requests.Done():
		return forwarder.Answer{}, stopRefusal(judge.MayHaveRun)
	}
}

// writeResult is the result of a write.
type writeResult struct {
	answer   forwarder.Answer
	repeated bool
	err      error
}

func (sr *serviceRequest) runWriter(ctx context.Context, results chan<- writeResult) {
	ctx, span := sr.server.tracer.Start(ctx, "write")
	write := Write{Call: withTraceContext(ctx, sr.call), Service: sr.service, Key: sr.key}
	answer, repeated, err := sr.server.writer.Write(ctx, write)
	tracer.EndSpan(span, err)
	results <- writeResult{answer, repeated, err}
}

// withTraceContext adds the trace context of the current span to a call, if
// there is a trace.
func withTraceContext(ctx context.Context, call forwarder.Call) forwarder.Call {
	if trace.SpanContextFromContext(ctx).IsValid() {
		call.Header = call.Header.Clone()
		tracer.Inject(ctx, call.Header)
	}
	return call
}

func checkKey(key string) error {
	if key == "" {
		return judge.Invalid("idempotency-key", "this write needs the header "+KeyHeader)
	}
	if len(key) > maxKeyBytes {
		return judge.Invalid("idempotency-key", fmt.Sprintf("%s is over %d bytes", KeyHeader, maxKeyBytes))
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return judge.Invalid("idempotency-key", KeyHeader+" must be printable ASCII")
		}
	}
	return nil
}

// mayRetry takes a retry from the retry budget and reports whether the budget
// allowed it. Without a dispatcher there is no budget.
func (s *Server) mayRetry() bool { return s.dispatcher == nil || s.dispatcher.Retry() }

// chooseServer returns the live server of a pool with the fewest calls in
// flight from this instance, and prefers its own availability zone among
// equals. Servers that are leaving and those already tried are not chosen.
func (s *Server) chooseServer(pool string, tried map[string]bool) (lister.Instance, bool) {
	var best lister.Instance
	if s.view == nil {
		return best, false
	}
	bestCost := 0.0
	for _, i := range s.view.Instances(lister.KindService) {
		if i.Pool != pool || i.State != lister.StateLive || tried[i.Name] {
			continue
		}
		// The random part breaks ties, so that instances do not all choose the
		// same server first.
		cost := float64(s.inFlight.get(i.Name)) + s.ids.fraction()/2
		if i.Zone != s.self.Zone {
			cost += crossZoneCost
		}
		if best.Name == "" || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best.Name != ""
}

// crossZoneCost is the cost of a server in another availability zone, in calls
// in flight.
const crossZoneCost = 0.5

// finish counts the outcome and stores the decision.
func (sr *serviceRequest) finish(err error) {
	s := sr.server
	sr.explanation.Total = s.clock.Since(sr.start)
	s.counters.classes.Add(sr.decision.Then.Class, 1)
	switch d := sr.decision.Then.Deadline; {
	case errors.Is(err, errClientGone):
		s.counters.cancelled.Add(1)
		sr.explanation.Code = "gone"
	case err != nil:
		r := judge.As(err)
		sr.explanation.Code, sr.explanation.Verdict, sr.explanation.Reason = r.Code, r.Verdict.String(), r.Reason
	case d > 0 && sr.explanation.Total > d:
		s.counters.answered.Add(1)
		s.counters.late.Add(1)
	default:
		s.counters.answered.Add(1)
		s.counters.onTime.Add(sr.decision.Then.Class, 1)
	}
	s.decisions.Put(sr.explanation)
}
