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

	"primrosehook/reuser"
)

// Request holds the properties of a request that the choice of a server depends
// on.
type Request struct {
	Model   string
	Adapter string
	// Account is the name of the client account, empty for none.
	Account string
	// PromptTokens is the number of prompt tokens. SharedTokens is how many of
	// them lie in prefixes that other requests have too.
	PromptTokens int
	SharedTokens int
	// OutputTokens is the expected number of generated tokens, MaxOutputTokens
	// the largest possible number.
	OutputTokens, MaxOutputTokens int
	// Priority 0 is the most urgent. TargetTime is when the first event should
	// arrive. After Deadline the client has gone or the answer is of no more use.
	Priority             int
	TargetTime, Deadline time.Time
	// MaxWait is the longest time that the request can spend in the queue for a
	// busy server and still meet its latency objective.
	MaxWait time.Duration
	// MaxEventGap is the objective for the longest pause between two events of a stream, zero for
	// none.
	MaxEventGap time.Duration
	// NeedsReservation is set if the request needs a reservation in the
	// server's schedule before it is sent there.
	NeedsReservation bool
	// SessionHash is the hash of the shared prefixes; zero if there are none.
	SessionHash uint64
	// Prompt has the parts of the prompt, nil if it shares none with other prompts.
	Prompt *reuser.Prompt
	// ranks is the rendezvous order of the prefix, set by rankReplicas. held is how many tokens the
	// server holds according to the owner of its schedule.
	ranks *replicaRanks
	held  int
	// Exclude lists the IDs of servers that must not be chosen.
	Exclude []string
	// Build is the only build that may run the request, empty for any: that which began
	// its stream.
	Build string
	// Objective is how long after its arrival the answer should come, zero if that does not matter.
	Objective time.Duration
	// plain is what the choice of a plain server depends on, nil if places there are not rationed.
	plain *plainChoice
	// late is set for a request that waits although it will be late.
	late bool
	// patient is set if the target time was far off when the request arrived, reserved is how many
	// slots of each server, by its ID, it must then leave free.
	patient  bool
	reserved map[string]int
}

// PrefillTokens returns the estimated number of prompt tokens that have to be prefilled at a server of
// which nothing is known, or by an owner of its schedule that does not know parts. About half of the
// shared tokens are assumed to be in its prefix cache.
func (q Request) PrefillTokens() int { return q.PromptTokens - q.SharedTokens/2 }

// Key returns what a server must have loaded to run the request; empty for
// services without models.
func (q Request) Key() string { return Key(q.Model, q.Adapter) }

// queueKey returns what waiting requests have in common of which either all or none can be
// sent.
func (q Request) queueKey() string {
	if q.Build == "" {
		return q.Key()
	}
	return q.Key() + "@" + q.Build
}

// Key returns the key of a model, or of an adapter on a model.
func Key(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// EngineLoad holds what limits the rate at which a server can take prompts.
type EngineLoad struct {
	// RunningStreams is the estimated number of streams that the server runs,
	// EventTokens the number of tokens in one event of a stream.
	RunningStreams, EventTokens int
	// Speed is how fast the server is compared with the usual one of its service, zero if that is
	// not known.
	Speed float64
	// Prompt has the parts of the prompt that is to be sent, nil if it has no prefix. FreeCache is how
	// many tokens of the server's cache running requests leave, zero if that is not known.
	Prompt    *reuser.Prompt
	FreeCache int
}

// InFlight is the in-flight work at a server. It is encoded as an array of its
// fields.
type InFlight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// RunningStreams counts requests whose first event has arrived.
	// PrefillTokens is the prompt tokens of the other requests, whose prefill
	// is not done.
	RunningStreams, PrefillTokens int
	// CacheTokens is the number of cache tokens that the requests may come to
	// use at the server.
	CacheTokens int
	// Requests counts all in-flight requests, whatever their state.
	Requests int
	// RecentPromptTokens is a decaying count of the prompt tokens sent, with
	// half-life recentHalfLife. Counts of several instances can be summed,
	// since they all decay at the same rate.
	RecentPromptTokens int
}

// Add returns the sum of f and g.
func (f InFlight) Add(g InFlight) InFlight {
	return InFlight{
		RunningStreams: f.RunningStreams + g.RunningStreams, PrefillTokens: f.PrefillTokens + g.PrefillTokens, CacheTokens: f.CacheTokens + g.CacheTokens,
		Requests: f.Requests + g.Requests, RecentPromptTokens: f.RecentPromptTokens + g.RecentPromptTokens,
	}
}

// Sub returns f minus g, with each field at least zero.
func (f InFlight) Sub(g InFlight) InFlight {
	return InFlight{
		RunningStreams: max(f.RunningStreams-g.RunningStreams, 0), PrefillTokens: max(f.PrefillTokens-g.PrefillTokens, 0), CacheTokens: max(f.CacheTokens-g.CacheTokens, 0),
		Requests: max(f.Requests-g.Requests, 0), RecentPromptTokens: max(f.RecentPromptTokens-g.RecentPromptTokens, 0),
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
	// AllExcluded means that every replica is excluded by the request or refuses
	// connections.
	AllExcluded
	// NoServers means that the service has no servers.
	NoServers
	// RateLimited means that a replica has capacity, but all of them that have it
	// get as many requests as they said they take.
	RateLimited
	// NoBuild means that no server is known to run the build that the request needs.
	NoBuild
	// Ended means that the request's context has ended.
	Ended
)

// String returns the name of the status for logs.
func (s Status) String() string {
	return [...]string{"found", "absent", "full", "spent", "empty", "rate limited", "no build", "ended"}[s]
}

// Overlay is a change that an order made at a server, reported before the
// server's registration shows it.
type Overlay struct {
	Server      string `msgpack:"s"`
	Incarnation string `msgpack:"l"`
	Key         string `msgpack:"k"`
	Loaded      bool   `msgpack:"h"`
}

// pendingOverlay is an overlay that applies until the registration agrees with it
// or must have caught up.
type pendingOverlay struct {
	Overlay
	expires time.Time
}

// Hash returns a hash of the text that is the same on all instances.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }
