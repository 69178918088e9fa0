// Package exposer serves counters and latency histograms as text: one line a
// value, the name and the number. Counters are expvar's own.
package exposer

import (
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// A histogram reaches from a tenth of a millisecond to a minute.
const (
	leastTenths = 1
	mostTenths  = 600_000
	digits      = 2
)

// quantiles are the ones shown, in 100.
var quantiles = []float64{50, 95, 99}

// Set is the metrics of a process. It is safe for concurrent use.
type Set struct {
	mu         sync.Mutex
	counters   map[string]*expvar.Int
	values     map[string]func() int64
	histograms map[string]*hdr.Histogram
}

// New returns an empty set.
func New() *Set {
	return &Set{counters: map[string]*expvar.Int{}, values: map[string]func() int64{}, histograms: map[string]*hdr.Histogram{}}
}

// Add adds to a counter.
func (s *Set) Add(name string, n int64) { s.Counter(name).Add(n) }

// Counter returns a counter, which begins at 0.
func (s *Set) Counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counters[name]
	if !ok {
		c = new(expvar.Int)
		s.counters[name] = c
	}
	return c
}

// Value shows a number that is asked for each time.
func (s *Set) Value(name string, read func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = read
}

// Observe records a latency.
func (s *Set) Observe(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histograms[name]
	if !ok {
		h = hdr.New(leastTenths, mostTenths, digits)
		s.histograms[name] = h
	}
	tenths := min(max(d.Microseconds()/100, leastTenths), mostTenths)
	// It is within the range, so that it can't fail.
	_ = h.RecordValue(tenths)
}

// Names returns the names of all metrics, in order.
func (s *Set) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Collect(maps.Keys(s.counters))
	all = slices.AppendSeq(all, maps.Keys(s.values))
	all = slices.AppendSeq(all, maps.Keys(s.histograms))
	slices.Sort(all)
	return all
}

// ServeHTTP writes all metrics.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range s.lines() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return // the reader has left
		}
	}
}

func (s *Set) lines() []string {
	s.mu.Lock()
	values := maps.Clone(s.values)
	var lines []string
	for name, c := range s.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, c.Value()))
	}
	for name, h := range s.histograms {
		lines = append(lines, fmt.Sprintf("%s_count %d", name, h.TotalCount()))
		for _, q := range quantiles {
			lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %.1f", name, q/100, float64(h.ValueAtQuantile(q))/10))
		}
	}
	s.mu.Unlock()
	// Outside the lock: a value may ask a part that records a latency.
	for name, read := range values {
		lines = append(lines, fmt.Sprintf("%s %d", name, read()))
	}
	slices.Sort(lines)
	return lines
}
