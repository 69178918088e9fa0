package faker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/storereader"
)

// transferInterval is how often the progress of a load is updated.
const transferInterval = 10 * time.Millisecond

// LoadRequest is a request to the store to load weights.
type LoadRequest struct {
	driver.Weights
	// Memory is the size in MB.
	Memory int64 `json:"memory"`
}

// Source is where an engine loads weights from.
type Source interface {
	// Load blocks until the weights are loaded or the load fails.
	Load(ctx context.Context, fetch LoadRequest) error
}

// StoreSettings are the store's limits.
type StoreSettings struct {
	// Rate is how many loads may start per second; zero means no limit.
	Rate float64
	// Slots is how many concurrent loads run at full speed; more share the speed
	// of that many. Zero means no limit.
	Slots int
	// Speed is the full speed of one load in MB/s. Zero makes loads finish
	// immediately.
	Speed float64
}

// StoreFaults are the faults of the weight store.
type StoreFaults struct {
	Faults
	// SlowdownFactor multiplies the duration of a load; zero means one.
	SlowdownFactor float64 `json:"factor,omitempty"`
}

func (f StoreFaults) common() Faults { return f.Faults }

// Store stands in for the platform's weight store.
type Store struct {
	*control[StoreFaults]
	settings StoreSettings
	clock    clockwork.Clock
	limit    *rate.Limiter

	mu      sync.Mutex
	loading int
	waiting int
	// done counts the loads that succeeded.
	done int64
}

// NewStore returns a store without loads.
func NewStore(settings StoreSettings, set ...Option) *Store {
	limit := rate.NewLimiter(rate.Inf, 0)
	if settings.Rate > 0 {
		limit = rate.NewLimiter(rate.Limit(settings.Rate), 1)
	}
	return &Store{
		control:  newControl[StoreFaults](),
		settings: settings,
		clock:    newOptions(set).clock,
		limit:    limit,
	}
}

var (
	_ storereader.Store = (*Store)(nil)
	_ Source            = (*Store)(nil)
)

// State implements loader.Store.
func (s *Store) State(ctx context.Context) (storereader.State, error) {
	if err := s.applyFaults(ctx, s.clock, StoreFaults.common); err != nil {
		return storereader.State{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return storereader.State{
		Rate:    s.settings.Rate,
		Slots:   s.settings.Slots,
		Speed:   s.settings.Speed,
		Loading: s.loading,
		Waiting: s.waiting,
	}, nil
}

// Completed returns how many loads have succeeded.
func (s *Store) Completed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// Load implements Source. A load waits for the rate limit, then transfers at
// its share of the speed.
func (s *Store) Load(ctx context.Context, fetch LoadRequest) error {
	if err := s.applyFaults(ctx, s.clock, StoreFaults.common); err != nil {
		return err
	}
	s.count(&s.waiting, 1)
	turn := s.limit.ReserveN(s.clock.Now(), 1)
	err := sleep(ctx, s.clock, turn.DelayFrom(s.clock.Now()))
	s.count(&s.waiting, -1)
	if err != nil {
		return err
	}
	s.count(&s.loading, 1)
	defer s.count(&s.loading, -1)
	if err := s.transfer(ctx, float64(fetch.Memory)); err != nil {
		return err
	}
	s.mu.Lock()
	s.done++
	s.mu.Unlock()
	return nil
}

func (s *Store) transfer(ctx context.Context, left float64) error {
	if s.settings.Speed <= 0 {
		return nil
	}
	last := s.clock.Now()
	for left > 0 {
		if err := sleep(ctx, s.clock, transferInterval); err != nil {
			return err
		}
		if s.Faults().Outage != "" {
			return judge.Unavailable("store", "weight store has an outage", time.Second)
		}
		now := s.clock.Now()
		left -= s.speed() * now.Sub(last).Seconds()
		last = now
	}
	return nil
}

// speed returns the current speed of one load, in MB/s.
func (s *Store) speed() float64 {
	speed := s.settings.Speed
	if f := s.Faults().SlowdownFactor; f > 0 {
		speed /= f
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.Slots > 0 && s.loading > s.settings.Slots {
		speed *= float64(s.settings.Slots) / float64(s.loading)
	}
	return speed
}

func (s *Store) count(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

// Handler returns the store's HTTP API.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", s.serveState)
	mux.HandleFunc("POST /loads", s.serveLoad)
	s.mount(mux, "/faults/store")
	return mux
}

func (s *Store) serveState(w http.ResponseWriter, r *http.Request) {
	state, err := s.State(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, state)
}

func (s *Store) serveLoad(w http.ResponseWriter, r *http.Request) {
	var f LoadRequest
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeNotRun(w, http.StatusBadRequest, "load is malformed")
		return
	}
	if err := s.Load(r.Context(), f); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// StoreClient loads weights over HTTP, for engines in other processes than the
// store.
type StoreClient struct {
	base string
	http *http.Client
}

// NewStoreClient returns a source that uses the store at a base URL.
func NewStoreClient(base string, client *http.Client) *StoreClient {
	return &StoreClient{base: base, http: client}
}

// Load implements Source.
func (c *StoreClient) Load(ctx context.Context, fetch LoadRequest) error {
	body, err := json.Marshal(fetch)
	if err != nil {
		return judge.Invalid("encode", "load cannot be encoded")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/loads", bytes.NewReader(body))
	if err != nil {
		return judge.Invalid("store", "weight store address is malformed")
	}
	p, err := c.http.Do(q)
	if err != nil {
		return judge.FromNetworkError(err, "store", "weight store was not reached or gave no answer")
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode >= http.StatusMultipleChoices {
		return judge.Unavailable("store", fmt.Sprintf("weight store answered status %d", p.StatusCode), time.Second)
	}
	return nil
}
