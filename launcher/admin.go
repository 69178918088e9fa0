package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primrosehook/judge"
)

// Timeouts of calls to an instance.
const (
	callTimeout   = time.Minute
	statusTimeout = 2 * time.Second
)

// Answer is the result of a client's or an operator's call.
type Answer struct {
	// Status is the HTTP status, or zero if there was no answer.
	Status int
	Header http.Header
	// Body is what was received before Err, if Err is not nil.
	Body []byte
	// Verdict is the verdict of the answer. A request without an answer may
	// have run.
	Verdict judge.Verdict
	Err     error
}

// Call sends a request and reads the whole answer, for at most one minute. An
// empty key means no idempotency key.
func Call(method, url, key, body string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a := Answer{Verdict: judge.MayHaveRun}
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = p.Body.Close() }()
	a.Status, a.Header = p.StatusCode, p.Header
	a.Body, a.Err = io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	switch {
	case p.StatusCode >= http.StatusMultipleChoices:
		a.Verdict = judge.Parse(p.Header.Get(judge.Header))
	case a.Err == nil:
		a.Verdict = judge.Ran
	}
	return a
}

// Status is a part of an instance's status as shown to operators.
type Status struct {
	Parts struct {
		// Entries are the instances that it regards as live, itself included.
		Entries []struct{ Name string }
		Engines []struct{ Engine, State string }
		// Quarantine are the requests that were running on engines when those
		// were lost.
		Quarantine []struct{ Held string }
		Pools      []PoolStatus
	}
}

// PoolStatus is a pool's lease. Valid means that the instance holds the lease.
type PoolStatus struct {
	Fence int64
	Valid bool
}

// Status returns the status of an entry instance, or an empty one if the
// instance does not answer.
func (p *Process) Status() Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var s Status
	if Get(ctx, p.adminURL("status"), &s) != nil {
		return Status{}
	}
	return s
}

// Fence returns one plus the fencing token under which an entry instance holds
// a pool's lease, or zero if it holds none.
func (p *Process) Fence() int64 {
	for _, one := range p.Status().Parts.Pools {
		if one.Valid {
			return one.Fence + 1
		}
	}
	return 0
}

// Publish publishes a rule list that replaces the version base. It returns the
// new version and the HTTP status of the answer.
func (p *Process) Publish(base int64, text string) (version int64, status int) {
	a := Call(http.MethodPost, fmt.Sprintf("%s?base=%d", p.adminURL("rules"), base), "", text)
	var made struct{ Version int64 }
	_ = json.Unmarshal(a.Body, &made)
	return made.Version, a.Status
}

// RulesVersion returns the version of the active rule list, or zero if the instance
// reports none.
func (p *Process) RulesVersion() int64 {
	a := Call(http.MethodGet, p.adminURL("rules"), "", "")
	n, err := strconv.ParseInt(a.Header.Get("Primrosehook-Rules-Version"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Ready reports whether an entry instance is ready for requests.
func (p *Process) Ready() bool {
	return Call(http.MethodGet, p.URL()+"/readyz", "", "").Status == http.StatusOK
}

func (p *Process) adminURL(what string) string { return "http://" + p.OperatorAddr + "/admin/" + what }
