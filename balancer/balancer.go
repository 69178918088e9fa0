// Package balancer chooses the server for a request. Core makes the decision and
// does no I/O. Fleet wraps the cores of all services, holds the connection pools
// and queues requests that have to wait.
//
// An instance sees only its own share of the traffic, so its own counts say
// little about the load of a server. Core therefore adds the in-flight counts of
// its peers, which are some hundred milliseconds old, and breaks near ties at
// random, so that instances with the same view do not all choose the same server.
package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request holds the properties of a request that the choice of a server depends
// on.
type Request struct {
	Model   string
	Adapter string
	// Prompt is the number of prompt tokens. Shared is how many of them lie in
	// prefixes that other requests have too.
	Prompt int
	Shared int
	// Output is the expected number of generated tokens, Most the largest
	// possible number.
	Output, Most int
	// Priority 0 is the most urgent. Aim is the target time of the first event.
	// Leave is the deadline after which the client has gone or the answer is of
	// no more use.
	Priority   int
	Aim, Leave time.Time
	// Wait is the longest time that the request can spend in the queue for a busy
	// server and still meet its latency objective.
	Wait time.Duration
	// Paced is set if the request needs a reservation in the server's schedule
	// before it is sent there.
	Paced bool
	// Session is the hash of the shared prefixes; zero if there are none.
	Session uint64
	// Exclude lists the IDs of servers that must not be chosen.
	Exclude []string
}

// Fresh returns the estimated number of prompt tokens that have to be prefilled.
// About half of the shared tokens are assumed to be in some server's prefix
// cache.
func (q Request) Fresh() int { return q.Prompt - q.Shared/2 }

// Key returns what a server must have loaded to run the request; empty for
// services without models.
func (q Request) Key() string { return Key(q.Model, q.Adapter) }

// Key returns the key of a model, or of an adapter on a model.
func Key(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// Pace holds what limits the rate at which a server can take prompts.
type Pace struct {
	// Running is the estimated number of streams that the server runs,
	// EventTokens the number of tokens in one event of a stream.
	Running, EventTokens int
}

// Flight is the in-flight work at a server. It is encoded as an array of its
// fields.
type Flight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// Running counts requests whose first event has arrived. Reading is the
	// prompt tokens of the other requests, whose prefill is not done.
	Running, Reading int
	// Tokens is the number of cache tokens that the requests may come to use at
	// the server.
	Tokens int
	// Started counts all in-flight requests, whatever their state.
	Started int
	// Recent is a decaying count of the prompt tokens sent, with half-life
	// recentHalfLife. Counts of several instances can be summed, since they all
	// decay at the same rate.
	Recent int
}

// Add returns the sum of f and g.
func (f Flight) Add(g Flight) Flight {
	return Flight{
		Running: f.Running + g.Running, Reading: f.Reading + g.Reading, Tokens: f.Tokens + g.Tokens,
		Started: f.Started + g.Started, Recent: f.Recent + g.Recent,
	}
}

// Sub returns f minus g, with each field at least zero.
func (f Flight) Sub(g Flight) Flight {
	return Flight{
		Running: max(f.Running-g.Running, 0), Reading: max(f.Reading-g.Reading, 0), Tokens: max(f.Tokens-g.Tokens, 0),
		Started: max(f.Started-g.Started, 0), Recent: max(f.Recent-g.Recent, 0),
	}
}

// Status says whether a server was found, and if not, why.
type Status int

// The results of choosing a server.
const (
	// Found means that a server was chosen.
	Found Status = iota
	// NotLoaded means that the service has servers but none of them has the model
	// loaded.
	NotLoaded
	// Full means that all replicas are at capacity for now.
	Full
	// Spent means that every replica is excluded by the request or refuses
	// connections.
	Spent
	// NoServers means that the service has no servers.
	NoServers
)

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"found", "absent", "full", "spent", "empty"}[s]
}

// Overlay is a change that an order made at a server, reported before the
// server's registration shows it.
type Overlay struct {
	Server string `msgpack:"s"`
	Life   string `msgpack:"l"`
	Key    string `msgpack:"k"`
	Held   bool   `msgpack:"h"`
}

// pendingOverlay is an overlay that applies until the registration agrees with it
// or must have caught up.
type pendingOverlay struct {
	Overlay
	expires time.Time
}

// Hash returns a hash of the text that is the same on all instances.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }
