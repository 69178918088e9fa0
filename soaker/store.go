package soaker

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"primrosehook/faker"
)

// Modes of the store: it serves, refuses connections, answers 503, gives no answer, or is slow.
const (
	modeServing  = ""
	modeAway     = "away"
	modeRefusing = "refusing"
	modeHanging  = "hanging"
	modeSlow     = "slow"
)

const (
	// slowDelay is the delay of each call to a slow store.
	slowDelay = 200 * time.Millisecond
	// listenWait is how long an address may still be in use.
	listenWait = 5 * time.Second
	// pollEvery is the interval of retries and of looks at something that changes.
	pollEvery = 20 * time.Millisecond
	// headerTimeout limits how long a head may take at the stand-ins.
	headerTimeout = 10 * time.Second
)

// listen listens on an address that an earlier listener may have left just now.
func listen(clock clockwork.Clock, address string) (net.Listener, error) {
	for until := clock.Now().Add(listenWait); ; clock.Sleep(pollEvery) {
		l, err := net.Listen("tcp", address)
		if err == nil || clock.Now().After(until) {
			return l, eris.Wrap(err, "listen")
		}
	}
}

// store is the platform's store with faults.
type store struct {
	records *faker.MetadataStore
	address string
	clock   clockwork.Clock
	// busy is held by the fault that acts on the store.
	busy sync.Mutex

	mu      sync.Mutex
	mode    string
	changed chan struct{}
	server  *http.Server
}

func newStore(address string, clock clockwork.Clock) *store {
	return &store{records: faker.NewMetadataStore(), address: address, clock: clock, mode: modeAway, changed: make(chan struct{})}
}

// set sets the mode. It returns an error if the address is taken.
func (s *store) set(mode string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case mode == modeAway && s.server != nil:
		if err := s.server.Close(); err != nil {
			return eris.Wrap(err, "close the store")
		}
		s.server = nil
	case mode != modeAway && s.server == nil:
		l, err := listen(s.clock, s.address)
		if err != nil {
			return err
		}
		s.server = newHTTPServer(s)
		go runServe(s.server, l)
	}
	s.mode = mode
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0), ConnContext: withConn}
}

// runServe serves until the server is closed.
func runServe(s *http.Server, l net.Listener) { _ = s.Serve(l) }

func (s *store) current() (string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	for {
		mode, changed := s.current()
		switch mode {
		case modeRefusing:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case modeHanging:
			select {
			case <-changed:
				continue
			case <-q.Context().Done():
				return
			}
		case modeSlow:
			s.clock.Sleep(slowDelay)
		}
		s.records.ServeHTTP(w, q)
		return
	}
}

// put appends a record as soon as the store takes it. The store has acknowledged it when it returns.
func (s *store) put(ctx context.Context, topic, key string, value []byte) error {
	for {
		s.mu.Lock()
		if s.mode == modeServing || s.mode == modeSlow {
			s.records.Put(topic, key, value)
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "write to the store")
		}
	}
}
