package server

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"primrosehook/judge"
)

// maxRetrySpread is the largest share by which a Retry-After is lengthened at
// random, so that clients that were refused together do not retry together.
const maxRetrySpread = 0.5

// errorDetail is an error in the format of the OpenAI API, extended by the
// verdict.
type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	Verdict string  `json:"verdict"`
	// RetryAfterMillis is the delay before a retry in milliseconds; 0 means that a retry
	// cannot succeed.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Delivered is how many tokens the client has received.
	Delivered int `json:"delivered,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorType returns the error type of the OpenAI API for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	}
	return "invalid_request_error"
}

// finalizeRefusal converts any error into a refusal that can be sent: with an
// error status and, where a retry can succeed, a randomized retry delay.
func (s *Server) finalizeRefusal(err error) *judge.Refusal {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		err = &judge.Refusal{Status: he.Code, Code: "route", Reason: "no such route: " + http.StatusText(he.Code)}
	}
	r := *judge.As(err)
	if r.Status < http.StatusBadRequest {
		r.Status = http.StatusBadGateway
	}
	if r.RetryAfter == 0 && r.Verdict == judge.NotRun && r.Status >= http.StatusInternalServerError {
		r.RetryAfter = time.Second
	}
	if r.RetryAfter > 0 {
		r.RetryAfter = time.Duration(float64(r.RetryAfter) * (1 + maxRetrySpread*s.ids.fraction()))
	}
	return &r
}

func newErrorBody(r *judge.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Reason, Type: errorType(r.Status), Code: r.Code,
		Verdict: r.Verdict.String(), RetryAfterMillis: r.RetryAfter.Milliseconds(),
	}}
}

// RefusalBody returns the response body of a refusal.
func RefusalBody(r *judge.Refusal) ([]byte, error) { return json.Marshal(newErrorBody(r)) }

// answerError is the error handler of echo.
func (s *Server) answerError(err error, c echo.Context) {
	if errors.Is(err, errClientGone) || c.Response().Committed {
		return
	}
	r := s.finalizeRefusal(err)
	s.counters.refused.Add(1)
	s.counters.codes.Add(r.Code, 1)
	h := c.Response().Header()
	h.Set(judge.Header, r.Verdict.String())
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	// The connection cannot be reused if the body was not read to its end, or once the instance stops.
	if s.leaving.Load() || r.Status == http.StatusRequestEntityTooLarge || r.Status == http.StatusRequestTimeout {
		h.Set("Connection", "close")
	}
	_ = c.JSON(r.Status, newErrorBody(r))
}
