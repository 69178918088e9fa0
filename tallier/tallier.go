// Package tallier counts, by model and adapter, which requests were served and which were refused,
// and reports which models and adapters are requested but not served. It does no I/O and reads no
// clock.
//
// Example:
//
//	t := tallier.New()
//	first := t.Add(now, "m1/a3", tallier.Counts{Asked: 2, Absent: 2})
//	for _, u := range t.Due(now) {
//		log.Print(u.Key, " was requested ", u.Asked, " times and not served")
//	}
package tallier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minAsked is how many requests for a key in a row, and minSpan for how long, must have got no
	// answer until it counts as not served.
	minAsked = 2
	minSpan  = 2 * time.Second
	// repeatAfter is the pause until the same key is reported again.
	repeatAfter = 4 * time.Second
	// maxKeys bounds the keys that are remembered.
	maxKeys = 8192
)

// Counts are numbers of requests for a model or adapter.
type Counts struct {
	// Asked counts the requests that arrived, Served those that a server has answered, Absent those
	// that were refused since no server had the model or adapter loaded in time, Full those that were
	// refused since the servers that had it were busy.
	Asked, Served, Absent, Full int
}

// Unserved is a model or adapter that has been requested, and not served since.
type Unserved struct {
	Key string
	// Counts are those since Since, when the first of the requests was counted.
	Counts
	Since time.Time
	// Ever is set if an earlier request for the key was served.
	Ever bool
	// AbsentSince is since when no server has had it loaded, zero if one has or that is not known.
	// Reason is why it was not loaded, empty if that is not known.
	AbsentSince time.Time
	Reason      string
}

// record is what is known of a key.
type record struct {
	Unserved
	reportedAt time.Time
}

// Tally counts requests by key. It is not safe for concurrent use.
type Tally struct{ keys map[string]*record }

// New returns a tally that knows no keys.
func New() *Tally { return &Tally{keys: map[string]*record{}} }

// Add adds counts of a key. It reports whether these are the first requests for it that were served.
func (t *Tally) Add(now time.Time, key string, c Counts) bool {
	k, ok := t.keys[key]
	if !ok {
		if len(t.keys) >= maxKeys {
			clear(t.keys)
		}
		k = &record{Unserved: Unserved{Key: key}}
		t.keys[key] = k
	}
	if c.Served > 0 {
		first := !k.Ever
		// Those that arrived since are not served yet.
		k.Counts, k.Since, k.Ever, k.reportedAt = Counts{}, time.Time{}, true, time.Time{}
		return first
	}
	if k.Since.IsZero() && c.Asked > 0 {
		k.Since = now
	}
	k.Asked += c.Asked
	k.Absent += c.Absent
	k.Full += c.Full
	return false
}

// SetAbsent records which keys no server has loaded, and why each was not loaded. A server has all
// others loaded.
func (t *Tally) SetAbsent(now time.Time, reasons map[string]string) {
	for key, k := range t.keys {
		reason, absent := reasons[key]
		switch {
		case !absent:
			k.AbsentSince = time.Time{}
		case k.AbsentSince.IsZero():
			k.AbsentSince = now
		}
		k.Reason = reason
	}
}

// Count returns how many keys are requested and not served.
func (t *Tally) Count(now time.Time) int {
	n := 0
	for _, k := range t.keys {
		if k.counts(now) {
			n++
		}
	}
	return n
}

// Due returns the keys that are not served and were not reported lately, sorted by key.
func (t *Tally) Due(now time.Time) []Unserved {
	var due []Unserved
	for _, k := range t.keys {
		if k.counts(now) && (k.reportedAt.IsZero() || now.Sub(k.reportedAt) >= repeatAfter) {
			k.reportedAt = now
			due = append(due, k.Unserved)
		}
	}
	slices.SortFunc(due, func(a, b Unserved) int { return cmp.Compare(a.Key, b.Key) })
	return due
}

// counts reports whether a key counts as not served.
func (k *record) counts(now time.Time) bool {
	return k.Asked >= minAsked && !k.Since.IsZero() && now.Sub(k.Since) >= minSpan
}
