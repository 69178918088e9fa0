package server

import (
	"expvar"
	"sync"
)

// counters are the metrics of the server, published under the key "server".
type counters struct {
	open        expvar.Int
	requests    expvar.Int
	answered    expvar.Int
	refused     expvar.Int
	late        expvar.Int
	tokens      expvar.Int
	retries     expvar.Int
	resumed     expvar.Int
	replayed    expvar.Int
	cancelled   expvar.Int
	crashes     expvar.Int
	quarantined expvar.Int
	calls       expvar.Int
	writes      expvar.Int
	repeats     expvar.Int
	jobs        expvar.Int
	codes       expvar.Map
	classes     expvar.Map
	onTime      expvar.Map
}

func (c *counters) publish(m *expvar.Map) {
	own := new(expvar.Map).Init()
	c.codes.Init()
	c.classes.Init()
	c.onTime.Init()
	own.Set("open", &c.open)
	own.Set("requests", &c.requests)
	own.Set("answered", &c.answered)
	own.Set("refused", &c.refused)
	own.Set("late", &c.late)
	own.Set("tokens", &c.tokens)
	own.Set("retries", &c.retries)
	own.Set("resumed", &c.resumed)
	own.Set("replayed", &c.replayed)
	own.Set("cancelled", &c.cancelled)
	own.Set("crashes", &c.crashes)
	own.Set("quarantined", &c.quarantined)
	own.Set("calls", &c.calls)
	own.Set("writes", &c.writes)
	own.Set("repeats", &c.repeats)
	own.Set("jobs", &c.jobs)
	own.Set("codes", &c.codes)
	own.Set("classes", &c.classes)
	own.Set("met", &c.onTime)
	m.Set("server", own)
}

// inFlightCounts counts the requests in flight on each engine or server, by
// name.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *inFlightCounts) add(name string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[name] += n
	if t.counts[name] <= 0 {
		delete(t.counts, name)
	}
}

func (t *inFlightCounts) get(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[name]
}
