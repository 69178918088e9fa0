package prober

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

// RequestHeader names a request to the service, so that a test knows which of
// several with one key ran.
const RequestHeader = "X-Request"

// SendOutcome is what becomes of one send.
type SendOutcome int

// The outcomes of a send.
const (
	SendAnswered SendOutcome = iota
	SendUnreachable
	SendReplyLost
)

// Always gives every send the same outcome.
func Always(f SendOutcome) func() SendOutcome { return func() SendOutcome { return f } }

// Service is a plain service of three servers in memory. It counts what it ran.
type Service struct {
	clock clockwork.Clock
	mu    sync.Mutex
	runs  map[string][]string
	fates func() SendOutcome
	// gate, when set, holds each send between its arrival and its answer.
	gate chan struct{}
	// Delay is how long the next send takes between its run and its answer,
	// and Before is how long before its run.
	Delay  func() time.Duration
	Before func() time.Duration
	// Arrived gets the request's name when a send has run.
	Arrived chan string
}

// NewService returns a service that answers at once.
func NewService() *Service {
	return &Service{
		clock:   clockwork.NewRealClock(),
		runs:    map[string][]string{},
		fates:   Always(SendAnswered),
		Delay:   func() time.Duration { return 0 },
		Before:  func() time.Duration { return 0 },
		Arrived: make(chan string, maxArrived),
	}
}

// maxArrived is more sends than any test makes.
const maxArrived = 10_000

// servers is how many servers the service has.
const servers = 3

// Send implements writer.Sender.
func (s *Service) Send(ctx context.Context, q writer.Request, tried []string) (writer.Response, string, error) {
	server := untried(tried)
	if server == "" {
		return writer.Response{}, "", judge.Unavailable("service", "no server is left", time.Second)
	}
	s.clock.Sleep(s.Before())
	request := q.Header.Get(RequestHeader)
	f, gate := s.run(q.Key, request)
	if f == SendUnreachable {
		return writer.Response{}, server, judge.Unavailable("service", "server is not reachable", time.Second)
	}
	s.Arrived <- request
	s.clock.Sleep(s.Delay())
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

func untried(tried []string) string {
	for i := range servers {
		if name := fmt.Sprint("s", i); !slices.Contains(tried, name) {
			return name
		}
	}
	return ""
}

// run runs a request as its fate says.
func (s *Service) run(key, request string) (SendOutcome, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fates()
	if f != SendUnreachable {
		s.runs[key] = append(s.runs[key], request)
	}
	return f, s.gate
}

// Ran returns the names of the requests that ran with a key.
func (s *Service) Ran(key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs[key])
}

// Set sets the fates of the next sends, and what holds them, if not nil.
func (s *Service) Set(fates func() SendOutcome, gate chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fates, s.gate = fates, gate
}
