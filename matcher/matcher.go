// Package matcher finds the route of a request in a table of routes. It does
// no I/O. A table is immutable; a new configuration is a new table.
package matcher

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says how often a route's requests may run and how they are answered.
type Kind int

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "nonidempotent"
	}
}

// Split is one service of a route with its weight, its share of the requests
// being Weight divided by the sum of the positive weights.
type Split struct {
	Service string
	Weight  int
}

// Route selects requests by host and path, and says which services they go to
// and within which limits.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time until the answer is complete; zero for no limit
	// of the route's own.
	Timeout time.Duration
	// LatencyTarget is the latency objective; for streams, until the first event.
	LatencyTarget time.Duration
	// MaxEventGap is the objective for the longest pause between two events of a
	// stream.
	MaxEventGap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	Splits   []Split
	// Attempts is the number of servers that a request may be sent to.
	Attempts int
	// Affinity is the configured session affinity. It has no effect: sessions
	// prefer one server on all routes.
	Affinity bool
	// Resumable streams can be continued on another server after the last event
	// that the client has received.
	Resumable bool
	// Public routes need no key of a client account.
	Public bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for the hash of a request, empty if the route has
// none. If no weight is positive, it is the first one.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Splits) == 0 {
			return ""
		}
		return r.Splits[0].Service
	}
	point := int(hash % uint64(total))
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= max(s.Weight, 0)
	}
	return r.Splits[len(r.Splits)-1].Service
}

// LeadsTo reports whether requests of the route go to a service.
func (r *Route) LeadsTo(service string) bool {
	for _, s := range r.Splits {
		if s.Service == service && (s.Weight > 0 || service == r.Service(0)) {
			return true
		}
	}
	return false
}

// Model is a model that servers of a service can load.
type Model struct {
	Name string
	// SizeMB is the memory of the weights, AdapterSizeMB that of one adapter.
	SizeMB        float64
	AdapterSizeMB float64
	// Adapters is the number of adapters, which are named a1, a2 and so on.
	Adapters int
	// ColdLoadTime, DiskLoadTime and HostLoadTime are how long a load takes from
	// the weight store, from the server's disk and from its host memory.
	ColdLoadTime, DiskLoadTime, HostLoadTime time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests a server runs at once.
	Slots int
	// CacheTokens is the size of the cache for prompts and answers.
	CacheTokens int
	// MemoryMB is the memory for weights and adapters.
	MemoryMB float64
	// AdapterSlots is how many adapters a server can have loaded.
	AdapterSlots int
	// ColdLoadsPerSecond limits the loads from the weight store that start, over
	// all servers.
	ColdLoadsPerSecond float64
	Models             map[string]Model
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// Connections is how many connections a server accepts in all.
	Connections int
	// Engine is nil for services without models.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time in which a header must arrive, IdleTimeout
	// the time that a connection may be idle between requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route
	// accounts are the client accounts by the digests of their keys, nil for a
	// configuration without accounts.
	accounts map[KeyDigest]*Account
}

// NewTable returns a table of routes. It keeps references to routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits, options ...TableOption) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		hosts:    map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// Match returns the route for a host, which may carry a port, whose prefix of
// path is longest. It reports false if no route matches.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
