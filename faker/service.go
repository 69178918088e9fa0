package faker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"primrosehook/judge"
)

// KeyHeader is the header with the idempotency key of a write.
const KeyHeader = "Idempotency-Key"

// maxCall is the size limit of a call's body, in bytes.
const maxCall = 4 << 20

// ServiceSettings are the capacity and timing of a plain service.
type ServiceSettings struct {
	// CallTime is the duration of a call. Slots is how many calls run concurrently;
	// zero means no limit.
	CallTime time.Duration
	Slots    int
	// RefusesRepeatedKeys makes the service refuse a write whose key has already
	// run, with status 409 and the verdict ran.
	RefusesRepeatedKeys bool
}

// ServiceFaults are the faults of a plain service. OutageHang blocks new calls
// and load reports; LoseReplies affects only writes.
type ServiceFaults struct {
	Faults
	// CrashCalls makes that many of the next calls crash before they are
	// answered. A write has run by then.
	CrashCalls int `json:"crash_calls,omitempty"`
	// Leaving makes the service refuse new calls.
	Leaving bool `json:"leaving,omitempty"`
}

func (f ServiceFaults) common() Faults { return f.Faults }

// Run describes the runs of a write with one idempotency key.
type Run struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Digest is the hash of the last run's body, in hexadecimal.
	Digest string `json:"digest"`
	// Count is the number of runs. More than one means that the system under
	// test repeated a write.
	Count int `json:"count"`
}

// ServiceLoad is the load report of a plain service.
type ServiceLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Service stands in for a plain service with survey forms, receipts and
// bookings. It accepts any path. A GET returns a form, or the confirmation of a
// write at /confirmations/KEY. Any method other than GET and HEAD is a write.
type Service struct {
	*control[ServiceFaults]
	name     string
	settings ServiceSettings
	clock    clockwork.Clock
	crash    func()
	slots    chan struct{}
	refused  refusals
	journal  *journal

	mu      sync.Mutex
	running int
	waiting int
	runs    map[string]*Run
}

// NewService returns a service without runs.
func NewService(name string, settings ServiceSettings, set ...Option) *Service {
	o := newOptions(set)
	s := &Service{
		control:  newControl[ServiceFaults](),
		name:     name,
		settings: settings,
		clock:    o.clock,
		crash:    o.crash,
		refused:  refusals{clock: o.clock},
		journal:  &journal{out: o.journal},
		runs:     map[string]*Run{},
	}
	if settings.Slots > 0 {
		s.slots = make(chan struct{}, settings.Slots)
	}
	return s
}

// Runs returns the runs by key. Writes without a key are counted under "".
func (s *Service) Runs() map[string]Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Run, len(s.runs))
	for k, r := range s.runs {
		out[k] = *r
	}
	return out
}

// Refused returns the count and the last time of the calls refused while the
// service was leaving.
func (s *Service) Refused() Refusals { return s.refused.get() }

// Load returns the load report.
func (s *Service) Load() ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceLoad{Running: s.running, Waiting: s.waiting, Slots: s.settings.Slots}
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /ran", s.serveRan)
	mux.HandleFunc("GET /refused", s.serveRefused)
	mux.HandleFunc("GET /confirmations/{key}", s.serveConfirmation)
	mux.HandleFunc("/", s.serveCall)
	s.mount(mux, "/faults")
	return mux
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if err := s.applyFaults(r.Context(), s.clock, ServiceFaults.common); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.Load())
}

func (s *Service) serveRan(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Runs()) }

func (s *Service) serveRefused(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Refused()) }

func (s *Service) serveConfirmation(w http.ResponseWriter, r *http.Request) {
	run, ok := s.Runs()[r.PathValue("key")]
	if !ok {
		http.Error(w, "no such write", http.StatusNotFound)
		return
	}
	writeJSON(w, run)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if err := s.applyFaults(r.Context(), s.clock, ServiceFaults.common); err != nil {
		writeError(w, err)
		return
	}
	if s.Faults().Leaving {
		s.refused.add()
		writeNotRun(w, http.StatusServiceUnavailable, "service is leaving")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err != nil {
		writeNotRun(w, http.StatusRequestEntityTooLarge, "body is too large or was cut")
		return
	}
	if s.slots != nil {
		s.count(&s.waiting, 1)
		s.slots <- struct{}{}
		s.count(&s.waiting, -1)
		defer func() { <-s.slots }()
	}
	s.count(&s.running, 1)
	defer s.count(&s.running, -1)
	if s.settings.CallTime > 0 {
		s.clock.Sleep(s.settings.CallTime)
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.serveForm(w, r)
		return
	}
	s.serveWrite(w, r, body)
}

// serveForm returns the same form for the same path and query.
func (s *Service) serveForm(w http.ResponseWriter, r *http.Request) {
	s.crashMidCall()
	writeJSON(w, map[string]string{
		"form":   r.URL.RequestURI(),
		"digest": digest([]byte(r.URL.RequestURI())),
	})
}

func (s *Service) serveWrite(w http.ResponseWriter, r *http.Request, body []byte) {
	run, ok := s.recordRun(r, body)
	if !ok {
		writeRefusal(w, judge.Ran, http.StatusConflict, "key has run before")
		return
	}
	s.crashMidCall()
	if s.consume(func(f *ServiceFaults) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(run)
}

// recordRun records the run of a write. It returns false if the write is
// refused because its key has already run.
func (s *Service) recordRun(r *http.Request, body []byte) (Run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := r.Header.Get(KeyHeader)
	run, ok := s.runs[key]
	if !ok {
		run = &Run{Key: key}
		s.runs[key] = run
	}
	if s.settings.RefusesRepeatedKeys && run.Count > 0 && key != "" {
		return *run, false
	}
	run.Method = r.Method
	run.Path = r.URL.RequestURI()
	run.Digest = digest(body)
	run.Count++
	done := *run
	s.journal.add(Line{Name: s.name, Run: &done})
	return done, true
}

func (s *Service) crashMidCall() {
	if !s.consume(func(f *ServiceFaults) *int { return &f.CrashCalls }) {
		return
	}
	if s.crash != nil {
		s.crash()
	}
	panic(http.ErrAbortHandler)
}

func (s *Service) count(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

func digest(data []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(data)) }
