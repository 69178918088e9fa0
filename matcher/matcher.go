// Package matcher finds the route of a request in a table of routes. It does
// no I/O. A table never changes; a new configuration is a new table.
package matcher

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming answers are a series of events.
	Streaming
)

// String returns the kind for logs.
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

// Split is one service of a route with its share of the requests.
type Split struct {
	Service string
	Weight  int
}

// Route says where requests go and within which limits.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Target is the latency objective, for streams to the first event.
	Target time.Duration
	// Gap is the longest pause between events of an answer on time.
	Gap time.Duration
	// Priority is the rank, 0 first.
	Priority int
	Splits   []Split
	// Attempts is to how many servers a request may be sent.
	Attempts  int
	Affinity  bool
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request, by its hash.
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
	at := int(hash % uint64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= max(s.Weight, 0)
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a model that servers of a service may hold.
type Model struct {
	Name string
	// Size is the memory of the weights in MB, AdapterSize that of an adapter.
	Size        float64
	AdapterSize float64
	// Adapters is how many adapters there are, named a1, a2 and so on.
	Adapters int
	// Cold, Disk and Warm are the times of a load from the weight store, from
	// the server's disk and from its host memory.
	Cold, Disk, Warm time.Duration
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is how many requests run at once on a server.
	Slots int
	// Cache is the memory for prompts and answers, in tokens.
	Cache int
	// Memory is for weights and adapters, in MB.
	Memory float64
	// AdapterSlots is how many adapters a server holds.
	AdapterSlots int
	// Loads is how many loads from the weight store may start a second, over
	// all servers.
	Loads  float64
	Models map[string]Model
}

// Service is a group of equal servers.
type Service struct {
	Name string
	// Connections is how many a server accepts from all callers.
	Connections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	Header int
	Body   int64
	// HeaderTimeout bounds the reading of a header, Idle the pause between
	// requests of a connection.
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	hosts    map[string][]*Route
}

// NewTable returns a table of routes.
func NewTable(version int64, routes []Route, services []Service, limits Limits) *Table {
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
	return t
}

// Match returns the route with the longest prefix of path for a host, which
// may carry a port.
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
