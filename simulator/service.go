package simulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
	"primrosehook/writer"
)

// RequestHeader names a request to the service, so that a test can tell which
// of several requests with the same key ran.
const RequestHeader = "X-Request"

// SendOutcome is the outcome of one send.
type SendOutcome int

// Outcomes of a send.
const (
	SendAnswered SendOutcome = iota
	SendUnreachable
	SendReplyLost
)

// Always returns a function that gives every send the same outcome.
func Always(f SendOutcome) func() SendOutcome { return func() SendOutcome { return f } }

// Service is an in-memory plain service of three servers. It records the
// requests that it ran.
type Service struct {
	clock    clockwork.Clock
	mu       sync.Mutex
	runs     map[string][]string
	outcomes func() SendOutcome
	// gate, if not nil, blocks each send between its run and its answer until
	// the send receives from it or its context ends.
	gate chan struct{}
	// DelayBeforeAnswer returns the time between the run and the answer of the next
	// send, and DelayBeforeRun the time before its run.
	DelayBeforeAnswer func() time.Duration
	DelayBeforeRun    func() time.Duration
	// Executed receives the request's name when a send has run.
	Executed chan string
}

// NewService returns a service that answers without delay.
func NewService() *Service {
	return &Service{
		clock:             clockwork.NewRealClock(),
		runs:              map[string][]string{},
		outcomes:          Always(SendAnswered),
		DelayBeforeAnswer: func() time.Duration { return 0 },
		DelayBeforeRun:    func() time.Duration { return 0 },
		Executed:          make(chan string, maxSends),
	}
}

// maxSends is more sends or runs than any test makes, so that the channels that
// report them never block.
const maxSends = 10_000

// servers is the number of servers of the service.
const servers = 3

// Send implements writer.Sender.
func (s *Service) Send(ctx context.Context, q writer.Request, tried []string) (writer.Response, string, error) {
	server := untried(tried)
	if server == "" {
		return writer.Response{}, "", judge.Unavailable("service", "no server is left", time.Second)
	}
	s.clock.Sleep(s.DelayBeforeRun())
	request := q.Header.Get(RequestHeader)
	f, gate := s.run(q.Key, request)
	if f == SendUnreachable {
		return writer.Response{}, server, judge.Unavailable("service", "server is not reachable", time.Second)
	}
	s.Executed <- request
	s.clock.Sleep(s.DelayBeforeAnswer())
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return writer.Response{}, server, judge.Unknown("service", "no answer", ctx.Err())
		}
	}
	if f == SendReplyLost {
		return writer.Response{}, server, judge.Unknown("service", "no answer", nil)
	}
	return writer.Response{Status: http.StatusCreated, Body: []byte(request)}, server, nil
}

// untried returns a server that was not tried yet, or "".
func untried(tried []string) string {
	for i := range servers {
		if name := fmt.Sprint("s", i); !slices.Contains(tried, name) {
			return name
		}
	}
	return ""
}

// run draws the outcome of a send and records the request unless the server is
// unreachable.
func (s *Service) run(key, request string) (SendOutcome, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.outcomes()
	if f != SendUnreachable {
		s.runs[key] = append(s.runs[key], request)
	}
	return f, s.gate
}

// RequestsRun returns the names of the requests that ran with a key, in order.
func (s *Service) RequestsRun(key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs[key])
}

// SetBehavior sets the function that returns the outcome of each later send, and a
// channel that blocks each of these sends until it receives from it, or nil.
// Calls to the function are serialized.
func (s *Service) SetBehavior(outcomes func() SendOutcome, gate chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes, s.gate = outcomes, gate
}
