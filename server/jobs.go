package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"primrosehook/judge"
	"primrosehook/tracer"
)

// jobRequest is the body of a request for deferred work. It has the format of a
// line in an OpenAI batch file.
type jobRequest struct {
	Method string          `json:"method"`
	URL    string          `json:"url"`
	Body   json.RawMessage `json:"body"`
}

// jobObject is the response of both job routes.
type jobObject struct {
	ID       string       `json:"id"`
	Object   string       `json:"object"`
	Status   string       `json:"status"`
	Created  int64        `json:"created_at,omitempty"`
	Response *jobResponse `json:"response,omitempty"`
}

type jobResponse struct {
	Status int             `json:"status_code"`
	Body   json.RawMessage `json:"body"`
}

// acceptJob responds with 202 once the job is durably accepted.
func (s *Server) acceptJob(c echo.Context) error {
	s.counters.requests.Add(1)
	body, err := s.readBody(c, s.copiesOfPrompt())
	if err != nil {
		return err
	}
	job, err := s.parseJob(c, body)
	if err != nil {
		return err
	}
	c.Response().Header().Set(IDHeader, job.ID)
	ctx, span := s.startSpan(c, "accept")
	id, err := s.jobs.Accept(ctx, job)
	tracer.EndSpan(span, err)
	if err != nil {
		return err
	}
	s.counters.jobs.Add(1)
	s.counters.answered.Add(1)
	c.Response().Header().Set("Location", "/v1/jobs/"+id)
	return c.JSON(http.StatusAccepted, jobObject{ID: id, Object: "job", Status: JobQueued})
}

// parseJob validates a request for deferred work as strictly as one that runs
// at once.
func (s *Server) parseJob(c echo.Context, body []byte) (Job, error) {
	var r jobRequest
	if err := decode(body, &r); err != nil {
		return Job{}, err
	}
	if r.URL != pathChat && r.URL != pathCompletions {
		return Job{}, judge.Invalid("url", fmt.Sprintf(`"url" must be %q or %q`, pathChat, pathCompletions))
	}
	if r.Method != "" && r.Method != http.MethodPost {
		return Job{}, judge.Invalid("method", `"method" must be "POST"`)
	}
	_, list, err := s.ruleList()
	if err != nil {
		return Job{}, err
	}
	q, err := s.parse(r.Body, r.URL == pathChat, c.Request().Header.Get(ClientHeader), list)
	if err != nil {
		return Job{}, err
	}
	if s.jobs == nil {
		return Job{}, judge.Unavailable("jobs", "instance takes no deferred work", time.Second)
	}
	q.deferred = true
	decision := list.Decide(list.WithTime(s.clock.Now(), s.situation(q)))
	if decision.Then.Refuse {
		return Job{}, &judge.Refusal{
			Status: http.StatusTooManyRequests, Code: "refused-by-rule", RetryAfter: ruleRefusalRetry,
			Reason: fmt.Sprintf("rule %q refuses this request", decision.Name),
		}
	}
	id, err := s.jobID(c, q)
	return Job{
		ID: id, Caller: q.client, Class: decision.Then.Class, Model: q.model,
		Priority: decision.Then.Priority, Within: decision.Then.Within, URL: r.URL, Body: r.Body,
	}, err
}

// jobID derives the id from the client's idempotency key, so that a repeated
// request, on any instance, gets the job that exists already. Another body
// under the same key is another job.
func (s *Server) jobID(c echo.Context, q *generationRequest) (string, error) {
	key := c.Request().Header.Get(KeyHeader)
	if key == "" {
		return s.ids.id(), nil
	}
	if err := checkKey(key); err != nil {
		return "", err
	}
	q.identify(key)
	return fmt.Sprintf("%016x%016x", xxhash.Sum64String(q.client+"\x00"+key), q.digest), nil
}

// fetchJob responds with the state of a job, whichever instance accepted it.
func (s *Server) fetchJob(c echo.Context) error {
	s.counters.requests.Add(1)
	if s.jobs == nil {
		return judge.Unavailable("jobs", "instance takes no deferred work", time.Second)
	}
	ctx, span := s.startSpan(c, "fetch")
	state, err := s.jobs.Fetch(ctx, c.Param("id"))
	tracer.EndSpan(span, err)
	if err != nil && isGivenUp(ctx) {
		// A lookup that was cut short reports an unknown job.
		return stopRefusal(judge.NotRun)
	}
	if err != nil {
		return err
	}
	s.counters.answered.Add(1)
	a := jobObject{ID: state.ID, Object: "job", Status: state.State}
	if !state.Accepted.IsZero() {
		a.Created = state.Accepted.Unix()
	}
	if state.State != JobQueued {
		a.Response = &jobResponse{Status: state.Status, Body: state.Body}
	} else {
		c.Response().Header().Set("Retry-After", "1")
	}
	return c.JSON(http.StatusOK, a)
}

// RunJob executes an accepted job and returns the HTTP status and body of its
// answer. An error means that the job did not complete and should run again; a
// job that can never succeed completes with its failure as the answer.
func (s *Server) RunJob(ctx context.Context, job Job) (status int, body []byte, err error) {
	_, list, err := s.ruleList()
	if err != nil {
		return 0, nil, err
	}
	q, err := s.parse(job.Body, job.URL == pathChat, job.Caller, list)
	if err != nil {
		return s.permanentFailure(err)
	}
	q.deferred, q.stream = true, false
	if !job.Accepted.IsZero() {
		q.created = job.Accepted
	}
	q.timeLimit = job.Within
	q.identify(job.ID)
	b := &answerBuffer{maxBytes: s.limits.MaxAnswerBytes}
	if err := s.generate(ctx, q, b); err != nil {
		return s.permanentFailure(err)
	}
	body, err = json.Marshal(b.object(q))
	return http.StatusOK, body, err
}

// permanentFailure returns the status and body of a failure that a retry cannot
// change, and the error itself for any other failure.
func (s *Server) permanentFailure(err error) (int, []byte, error) {
	r := judge.As(err)
	if r.RetryAfter > 0 || r.Status >= http.StatusInternalServerError || r.Status < http.StatusBadRequest {
		return 0, nil, err
	}
	body, encoding := RefusalBody(r)
	return r.Status, body, encoding
}
