// Package exporter serves counters, gauges and latency histograms as text, one line
// with name and number for each value. Counters are of type expvar.Int.
package exporter

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

// The range of a histogram is 0.1 ms to one minute, in tenths of a millisecond.
// significantDigits is its precision in decimal digits.
const (
	minTenths         = 1
	maxTenths         = 600_000
	significantDigits = 2
)

// quantiles are the exported quantiles in percent.
var quantiles = []float64{50, 95, 99}

// Registry is the set of metrics of a process. It is safe for concurrent use.
type Registry struct {
	mu         sync.Mutex
	counters   map[string]*expvar.Int
	values     map[string]func() int64
	histograms map[string]*hdr.Histogram
}

// New returns an empty set.
func New() *Registry {
	return &Registry{counters: map[string]*expvar.Int{}, values: map[string]func() int64{}, histograms: map[string]*hdr.Histogram{}}
}

// Add adds n to a counter.
func (s *Registry) Add(name string, n int64) { s.Counter(name).Add(n) }

// Counter returns the counter of a name. It creates the counter if there is none.
func (s *Registry) Counter(name string) *expvar.Int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counters[name]
	if !ok {
		c = new(expvar.Int)
		s.counters[name] = c
	}
	return c
}

// Gauge adds a gauge whose value is read at each request for the metrics.
func (s *Registry) Gauge(name string, read func() int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[name] = read
}

// Observe adds a latency to a histogram. Latencies out of range count as the nearest
// value in range.
func (s *Registry) Observe(name string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.histograms[name]
	if !ok {
		h = hdr.New(minTenths, maxTenths, significantDigits)
		s.histograms[name] = h
	}
	tenths := min(max(d.Microseconds()/100, minTenths), maxTenths)
	// The value is clamped to the range, so recording it can't fail.
	_ = h.RecordValue(tenths)
}

// Names returns the sorted names of all metrics.
func (s *Registry) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Collect(maps.Keys(s.counters))
	all = slices.AppendSeq(all, maps.Keys(s.values))
	all = slices.AppendSeq(all, maps.Keys(s.histograms))
	slices.Sort(all)
	return all
}

// ServeHTTP writes all metrics.
func (s *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, line := range s.lines() {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return // the client has disconnected
		}
	}
}

func (s *Registry) lines() []string {
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
	// The functions are called without the lock, since they may call code that uses
	// this set, for example to record a latency.
	for name, read := range values {
		lines = append(lines, fmt.Sprintf("%s %d", name, read()))
	}
	slices.Sort(lines)
	return lines
}
