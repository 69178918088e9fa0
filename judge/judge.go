// Package judge classifies failed requests by whether they may have run.
//
// Every error that is returned to a client carries a Verdict. Whether to retry is
// decided from the verdict alone, never from the text of an error or its status
// code.
package judge

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Verdict says whether a request may have had an effect upstream.
type Verdict int

// The verdicts, from the safest to retry to the least safe.
const (
	// NotRun means that the request certainly did not run and never will.
	NotRun Verdict = iota
	// MayHaveRun means that the outcome is unknown: the request may have run, or
	// may still run.
	MayHaveRun
	// Ran means that the request ran, even if its answer was lost.
	Ran
)

// Header is the HTTP header that carries the verdict on every error response.
const Header = "Primrosehook-Verdict"

var wireNames = [...]string{NotRun: "not-run", MayHaveRun: "may-have-run", Ran: "ran"}

// String returns the wire form of the verdict, as in the Header. A value out of
// range is "may-have-run".
func (v Verdict) String() string {
	if v < NotRun || v > Ran {
		return "may-have-run"
	}
	return wireNames[v]
}

// Parse parses the wire form. An unknown text is MayHaveRun, the verdict that
// guarantees least.
func Parse(text string) Verdict {
	for v, name := range wireNames {
		if name == text {
			return Verdict(v)
		}
	}
	return MayHaveRun
}

// Refusal is the error that is returned for a request that has no answer of its
// own.
type Refusal struct {
	Verdict Verdict
	// Status is the HTTP status for the client.
	Status int
	// Code is a short stable error code for programs, such as "overloaded".
	Code string
	// Reason is a one-sentence explanation for people.
	Reason string
	// RetryAfter is how long the client should wait before it retries; zero means that
	// a retry is of no use.
	RetryAfter time.Duration
	// Cause is the underlying error, nil if there is none. It is not shown to
	// clients.
	Cause error
}

// Error returns the reason with the verdict, and the cause if there is one.
func (r *Refusal) Error() string {
	if r.Cause == nil {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", r.Reason, r.Verdict, r.Cause)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Unavailable returns a refusal for a request that did not run and may be retried
// after a time.
func Unavailable(code, reason string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		Verdict:    NotRun,
		Status:     http.StatusServiceUnavailable,
		Code:       code,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// Invalid returns a refusal for a request that can never succeed as it is.
func Invalid(code, reason string) *Refusal {
	return &Refusal{
		Verdict: NotRun,
		Status:  http.StatusBadRequest,
		Code:    code,
		Reason:  reason,
	}
}

// Unknown returns a refusal for a request whose outcome is unknown. It must not
// be retried unless it is idempotent.
func Unknown(code, reason string, cause error) *Refusal {
	return &Refusal{
		Verdict: MayHaveRun,
		Status:  http.StatusBadGateway,
		Code:    code,
		Reason:  reason,
		Cause:   cause,
	}
}

// Of returns the verdict that an error carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Verdict
	}
	return MayHaveRun
}

// As returns the refusal that an error wraps. An error without one becomes the
// cause of an Unknown refusal.
func As(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return Unknown("internal", "the request failed and may have run", err)
}

// FromNetworkError returns the refusal for a failed request over the network. If the
// connection could not be established, the request did not run; after any other
// error it may have.
func FromNetworkError(err error, code, reason string) *Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		r := Unavailable(code, reason, time.Second)
		r.Cause = err
		return r
	}
	return Unknown(code, reason, err)
}
