// Package balancer chooses the server of a request. Core decides and does no
// I/O; Fleet is the shell around it that keeps connections and wakes waiters.
//
// An instance sees only its share of the traffic, so that its own counts say
// little of a server. The core therefore adds what the other instances have in
// flight, as told some hundred milliseconds ago, and breaks near ties at random,
// so that instances which share a view do not all choose the same server.
package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what the choice depends on.
type Request struct {
	Model   string
	Adapter string
	// Prompt is how many tokens are read, Shared how many of them lie in parts
	// that other requests share.
	Prompt int
	Shared int
	// Output is how many tokens are expected to be generated, Most how many may
	// be.
	Output, Most int
	// Priority is the rank, 0 first. Aim is when the first event should be
	// there, Leave when the client goes or the answer is not worth waiting for.
	Priority   int
	Aim, Leave time.Time
	// Wait is the longest wait for a busy server after which the request would
	// still be in time.
	Wait time.Duration
	// Paced requests ask for a place at the server before they are sent there.
	Paced bool
	// Session is the hash of the shared parts; zero if there are none.
	Session uint64
	// Exclude are servers that must not be chosen.
	Exclude []string
}

// Fresh is how many tokens of the prompt have to be read: of the shared parts
// about half are kept somewhere.
func (q Request) Fresh() int { return q.Prompt - q.Shared/2 }

// Key returns what a server must hold to run the request; empty for services
// without models.
func (q Request) Key() string { return Key(q.Model, q.Adapter) }

// Key joins a model and an adapter.
func Key(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// Pace is what the pace of prompts at a server depends on.
type Pace struct {
	// Running is how many streams the server is believed to run, EventTokens
	// how many tokens one event of a stream holds.
	Running, EventTokens int
}

// Flight is work in flight at a server. It travels as a list of its fields.
type Flight struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by reflection
	// Running requests have shown their first event; Reading is the prompt
	// tokens of the others.
	Running, Reading int
	// Tokens is what the requests may come to take of the server's cache.
	Tokens int
	// Started counts requests in flight, whatever their state.
	Started int
	// Recent is the prompt tokens sent lately, decayed by half each
	// recentHalf. Sums of it over instances decay alike.
	Recent int
}

// Add returns the sum.
func (f Flight) Add(g Flight) Flight {
	return Flight{
		Running: f.Running + g.Running, Reading: f.Reading + g.Reading, Tokens: f.Tokens + g.Tokens,
		Started: f.Started + g.Started, Recent: f.Recent + g.Recent,
	}
}

// Sub returns the difference, not below zero.
func (f Flight) Sub(g Flight) Flight {
	return Flight{
		Running: max(f.Running-g.Running, 0), Reading: max(f.Reading-g.Reading, 0), Tokens: max(f.Tokens-g.Tokens, 0),
		Started: max(f.Started-g.Started, 0), Recent: max(f.Recent-g.Recent, 0),
	}
}

// Status says why there is a choice or none.
type Status int

// The statuses of a choice.
const (
	// Found means that there is a choice.
	Found Status = iota
	// Absent means that servers are there but none holds the model.
	Absent
	// Full means that all servers which hold the model are full for now.
	Full
	// Spent means that no server is left that the request may go to.
	Spent
	// Empty means that the service has no servers.
	Empty
)

// String returns the status for logs.
func (s Status) String() string {
	return [...]string{"found", "absent", "full", "spent", "empty"}[s]
}

// Overlay is what an order changed at a server, told before its registration
// shows it.
type Overlay struct {
	Server string `msgpack:"s"`
	Life   string `msgpack:"l"`
	Key    string `msgpack:"k"`
	Held   bool   `msgpack:"h"`
}

// told is an overlay that counts until the registration agrees, or must have
// caught up.
type told struct {
	Overlay
	until time.Time
}

// Hash returns a hash that all instances share.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }
