// Package explainer keeps recent routing decisions in memory, so that operators
// can see why a request was handled as it was. It does no I/O.
package explainer

import (
	"sync"
	"time"

	"primrosehook/dispatcher"
)

// Bounds of one stored decision.
const (
	maxAttempts   = 8
	maxCandidates = 32 // per attempt
)

// Decision records how one request was handled and why.
type Decision struct {
	ID      string    `json:"id"`
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Service string    `json:"service,omitempty"`
	Client  string    `json:"caller,omitempty"`
	// RulesVersion is the version of the rule list, and Rule the name of the rule
	// that matched.
	RulesVersion int64  `json:"rules"`
	Rule         string `json:"rule"`
	Class        string `json:"class,omitempty"`
	Priority     int    `json:"priority"`
	// Deadline and MaxWait are the latency objective and the longest queueing
	// time that the rule set.
	Deadline time.Duration `json:"deadline_ns"`
	MaxWait  time.Duration `json:"queue_ns"`
	Attempts []Attempt     `json:"tries"`
	// Code and Verdict are empty if the request was answered.
	Code    string `json:"code,omitempty"`
	Verdict string `json:"verdict,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// FirstToken is the time to the first token, Total the time to the last.
	FirstToken time.Duration `json:"first_ns"`
	Total      time.Duration `json:"total_ns"`
	Tokens     int           `json:"tokens"`
}

// Attempt is one attempt at an engine or a server.
type Attempt struct {
	// Target is the name of the engine or server, empty if none was found.
	Target string `json:"target,omitempty"`
	// Candidates are the engines that were considered, with the reason why
	// each was not chosen.
	Candidates []dispatcher.Candidate `json:"candidates,omitempty"`
	Code       string                 `json:"code,omitempty"`
	Verdict    string                 `json:"verdict,omitempty"`
	Reason     string                 `json:"reason,omitempty"`
	// Offset is how many tokens the client already had.
	Offset int `json:"from,omitempty"`
}

// Ring holds the newest decisions, up to a fixed number.
type Ring struct {
	mu    sync.Mutex
	slots []Decision
	next  int
	byID  map[string]int
}

// New returns a ring that holds up to size decisions. A ring of size 0 stores
// nothing.
func New(size int) *Ring {
	return &Ring{slots: make([]Decision, size), byID: make(map[string]int, size)}
}

// Put stores a decision. If the ring is full, it replaces the oldest one.
func (r *Ring) Put(d Decision) {
	if len(r.slots) == 0 {
		return
	}
	d.Attempts = truncateAttempts(d.Attempts)
	r.mu.Lock()
	defer r.mu.Unlock()
	oldID := r.slots[r.next].ID
	if slot, ok := r.byID[oldID]; ok && slot == r.next {
		delete(r.byID, oldID)
	}
	r.slots[r.next] = d
	r.byID[d.ID] = r.next
	r.next = (r.next + 1) % len(r.slots)
}

func truncateAttempts(attempts []Attempt) []Attempt {
	attempts = attempts[:min(len(attempts), maxAttempts)]
	for i := range attempts {
		c := attempts[i].Candidates
		attempts[i].Candidates = c[:min(len(c), maxCandidates)]
	}
	return attempts
}

// Find returns the newest decision with a request id.
func (r *Ring) Find(id string) (Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slot, ok := r.byID[id]
	if !ok {
		return Decision{}, false
	}
	return r.slots[slot], true
}

// Recent returns up to limit decisions for which keep returns true, newest
// first.
func (r *Ring) Recent(limit int, keep func(Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Decision{}
	for i := range r.slots {
		d := r.slots[(r.next-1-i+2*len(r.slots))%len(r.slots)]
		if d.ID == "" || len(found) == limit {
			break
		}
		if keep(d) {
			found = append(found, d)
		}
	}
	return found
}
