// Package quarantiner finds the requests that crash engines. It does no I/O.
//
// When an engine is lost, every request that ran there becomes a suspect,
// identified by its digest. A digest that was running at the loss of two
// engines is quarantined for a time: every instance refuses it at once.
//
// Bystanders, requests that only ran beside the one that crashes engines, are
// marked too, and a frequent request may be present at two crashes by chance.
// Two rules limit the harm. A request that completes normally is cleared, since
// one that crashes engines never completes; its marks up to then are void. And
// the length of a quarantine follows the weight of the evidence: each mark
// counts 1/n when n requests of an instance ran on the lost engine, so that a
// request that was alone at two crashes is quarantined for the full time and
// one that was among eight at both for an eighth of it. A higher threshold for
// engines with many requests was rejected: it lets a request crash a third and
// a fourth busy engine.
//
// Requests for one resource by several routes of a service have digests of their own, but
// are likely to crash engines alike. Their marks also count together, against each of
// them, for MinDuration after the last one.
//
// State merges between instances in any order and any number of times: marks
// form a set keyed by the lost engine's incarnation, and the time of the last
// normal completion only grows.
package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of the state.
const (
	// maxSuspects is how many digests are kept.
	maxSuspects = 1024
	// maxMarks is how many lost engines are kept for one digest.
	maxMarks = 8
)

// A digest is quarantined after quarantineCrashes lost engines, unless another
// suspect explains all of them; after certainCrashes it is quarantined in any
// case.
const (
	quarantineCrashes = 2
	certainCrashes    = 4
)

// Options are the durations of the policy.
type Options struct {
	// BaseDuration is the quarantine of a digest that was alone at two crashes.
	// It doubles with every further crash.
	BaseDuration time.Duration
	// MinDuration and MaxDuration bound every quarantine.
	MinDuration time.Duration
	MaxDuration time.Duration
	// MarkLifetime is how long a mark is kept. It is longer than
	// MaxDuration.
	MarkLifetime time.Duration
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{BaseDuration: 10 * time.Minute, MinDuration: time.Minute, MaxDuration: 2 * time.Hour, MarkLifetime: 4 * time.Hour}
}

// Mark records one loss of an engine at which a request was present.
type Mark struct {
	// Engine names the lost engine's incarnation. An incarnation is lost at
	// most once, so two instances that saw the same loss record the same mark.
	Engine string `json:"engine" msgpack:"e"`
	// At is the earliest time at which an instance saw the loss.
	At time.Time `json:"at" msgpack:"a"`
	// Concurrent is how many requests, this one included, an instance had on the
	// engine; the minimum if several instances recorded the loss.
	Concurrent int `json:"beside" msgpack:"b"`
}

// Identity is what a request is recognized by when it comes again.
type Identity struct {
	// Digest stands for the whole request, Resource for what it asks of its service by any
	// route, zero if that is not known.
	Digest, Resource uint64
}

// Suspect is the known state of one digest.
type Suspect struct {
	Digest   uint64 `json:"digest" msgpack:"d"`
	Resource uint64 `json:"resource,omitempty" msgpack:"r,omitempty"`
	Marks    []Mark `json:"marks" msgpack:"m"`
	// Cleared is when the request last completed normally, zero if it did not.
	// Marks up to then are void.
	Cleared time.Time `json:"cleared,omitzero" msgpack:"c"`
}

// Quarantiner holds the suspects. It is not safe for concurrent use.
type Quarantiner struct {
	options  Options
	suspects map[uint64]Suspect
	// resources are the digests of the suspects for each resource.
	resources map[uint64][]uint64
}

// New returns a quarantiner without suspects.
func New(options Options) *Quarantiner {
	return &Quarantiner{options: options, suspects: map[uint64]Suspect{}, resources: map[uint64][]uint64{}}
}

// Crash marks a digest that was present when an engine was lost. concurrent is
// the number of requests that ran on the engine, this one included.
func (q *Quarantiner) Crash(now time.Time, digest uint64, engine string, concurrent int) {
	q.CrashOf(now, Identity{Digest: digest}, engine, concurrent)
}

// CrashOf is Crash for a request of which the resource is known.
func (q *Quarantiner) CrashOf(now time.Time, id Identity, engine string, concurrent int) {
	mark := Mark{Engine: engine, At: now, Concurrent: max(concurrent, 1)}
	q.mergeSuspect(now, Suspect{Digest: id.Digest, Resource: id.Resource, Marks: []Mark{mark}})
}

// Finish clears a digest whose request completed normally. It does nothing for
// a digest that is not a suspect.
func (q *Quarantiner) Finish(now time.Time, digest uint64) {
	if _, ok := q.suspects[digest]; ok {
		q.mergeSuspect(now, Suspect{Digest: digest, Cleared: now})
	}
}

// Remaining returns the time left of a digest's quarantine, zero if it is not
// in one.
func (q *Quarantiner) Remaining(now time.Time, digest uint64) time.Duration {
	s, ok := q.suspects[digest]
	if !ok {
		return 0
	}
	return max(q.quarantineEnd(s).Sub(now), 0)
}

// Crashes returns how many lost engines count against a digest.
func (q *Quarantiner) Crashes(digest uint64) int { return q.suspects[digest].validMarks() }

// ResourceRemaining returns for how long requests for a resource are refused, zero if they
// are not.
func (q *Quarantiner) ResourceRemaining(now time.Time, resource uint64) time.Duration {
	s := q.resourceSuspect(resource)
	end, last := q.quarantineEnd(s), q.lastChange(s)
	if limit := last.Add(q.options.MinDuration); end.After(limit) {
		end = limit
	}
	return max(end.Sub(now), 0)
}

// ResourceCrashes returns how many lost engines count against a resource.
func (q *Quarantiner) ResourceCrashes(resource uint64) int {
	return q.resourceSuspect(resource).validMarks()
}

// resourceSuspect returns the suspects for a resource as one, with their valid marks.
func (q *Quarantiner) resourceSuspect(resource uint64) Suspect {
	all := Suspect{Resource: resource}
	for _, digest := range q.resources[resource] {
		s := q.suspects[digest]
		for _, m := range s.Marks {
			if m.At.After(s.Cleared) && !all.hasValidMark(m.Engine) {
				all.Marks = append(all.Marks, m)
			}
		}
	}
	return all
}

// quarantineEnd returns when a suspect's quarantine ends. The zero time means
// that its valid marks call for none.
func (q *Quarantiner) quarantineEnd(s Suspect) time.Time {
	weight, last, count := 0.0, time.Time{}, 0
	for _, m := range s.Marks {
		if !m.At.After(s.Cleared) {
			continue
		}
		count++
		weight += 1 / float64(m.Concurrent)
		if m.At.After(last) {
			last = m.At
		}
	}
	if count < quarantineCrashes || (count < certainCrashes && q.explainedByOther(s)) {
		return time.Time{}
	}
	doubled := q.options.BaseDuration << (count - quarantineCrashes)
	duration := time.Duration(float64(doubled) * min(weight/quarantineCrashes, 1))
	return last.Add(min(max(duration, q.options.MinDuration), q.options.MaxDuration))
}

// explainedByOther reports whether another suspect was present at every crash
// at which this one was. Example: the request that crashes engines and a
// bystander are both retried on engine b after engine a was lost, and b is lost
// too. Neither is quarantined yet. Either the bystander's next attempt completes
// and clears it, or the other request crashes engine c alone; both ways only
// the crashing request is left without an explanation.
//
// Quarantining both refused bystanders for ten minutes in most runs, with eight
// clients on six engines.
func (q *Quarantiner) explainedByOther(s Suspect) bool {
	for digest, other := range q.suspects {
		if digest != s.Digest && (s.Resource == 0 || other.Resource != s.Resource) && covers(other, s) {
			return true
		}
	}
	return false
}

// covers reports whether a has a valid mark for each valid mark of b.
func covers(a, b Suspect) bool {
	for _, m := range b.Marks {
		if m.At.After(b.Cleared) && !a.hasValidMark(m.Engine) {
			return false
		}
	}
	return true
}

// validMarks returns how many marks are newer than the last completion.
func (s Suspect) validMarks() int {
	count := 0
	for _, m := range s.Marks {
		if m.At.After(s.Cleared) {
			count++
		}
	}
	return count
}

func (s Suspect) hasValidMark(engine string) bool {
	for _, m := range s.Marks {
		if m.Engine == engine && m.At.After(s.Cleared) {
			return true
		}
	}
	return false
}

// Export returns all suspects, ordered by digest.
func (q *Quarantiner) Export() []Suspect {
	list := make([]Suspect, 0, len(q.suspects))
	for _, s := range q.suspects {
		s.Marks = slices.Clone(s.Marks)
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Suspect) int { return cmp.Compare(a.Digest, b.Digest) })
	return list
}

// ExportSince returns the suspects that have changed since a time, and those with
// enough marks for a quarantine, ordered by digest. The others have been exported
// before.
func (q *Quarantiner) ExportSince(since time.Time) []Suspect {
	return slices.DeleteFunc(q.Export(), func(s Suspect) bool {
		return q.lastChange(s).Before(since) && s.validMarks() < quarantineCrashes
	})
}

// Merge adds the suspects that another instance exported, maxSuspects at most.
func (q *Quarantiner) Merge(suspects []Suspect, now time.Time) {
	for i, s := range suspects {
		if i == maxSuspects {
			return
		}
		q.mergeSuspect(now, s)
	}
}

// mergeSuspect merges an update into the known state of its digest. Marks
// without an engine or a count, or too far in the future, are ignored.
func (q *Quarantiner) mergeSuspect(now time.Time, update Suspect) {
	known := q.suspects[update.Digest]
	merged := Suspect{Digest: update.Digest, Resource: cmp.Or(known.Resource, update.Resource), Cleared: latest(known.Cleared, update.Cleared)}
	marks := map[string]Mark{}
	for _, m := range slices.Concat(known.Marks, update.Marks) {
		if m.Engine == "" || m.Concurrent < 1 || m.At.After(now.Add(q.options.MarkLifetime)) {
			continue
		}
		if seen, ok := marks[m.Engine]; ok {
			m = Mark{Engine: m.Engine, At: earliest(seen.At, m.At), Concurrent: min(seen.Concurrent, m.Concurrent)}
		}
		marks[m.Engine] = m
	}
	for _, m := range marks {
		// Void marks are kept until they expire: another instance may have
		// seen the same loss after the completion, and its mark would count.
		if now.Sub(m.At) < q.options.MarkLifetime {
			merged.Marks = append(merged.Marks, m)
		}
	}
	slices.SortFunc(merged.Marks, newestFirst)
	merged.Marks = merged.Marks[:min(len(merged.Marks), maxMarks)]
	if len(merged.Marks) == 0 && now.Sub(merged.Cleared) >= q.options.MarkLifetime {
		q.drop(update.Digest)
		return
	}
	q.suspects[update.Digest] = merged
	if r := merged.Resource; r != 0 && known.Resource == 0 {
		q.resources[r] = append(q.resources[r], update.Digest)
	}
	if len(q.suspects) > maxSuspects {
		q.evict(now)
	}
}

// evict drops expired suspects, and then others until maxSuspects are left: first
// those with too few marks for a quarantine, of these first those changed longest
// ago. Every instance evicts in the same order, so a merge does not restore an
// evicted suspect for long.
func (q *Quarantiner) evict(now time.Time) {
	for d, s := range q.suspects {
		if now.Sub(q.lastChange(s)) >= q.options.MarkLifetime && !q.quarantineEnd(s).After(now) {
			q.drop(d)
		}
	}
	for len(q.suspects) > maxSuspects {
		first, found := Suspect{}, false
		for _, s := range q.suspects {
			if !found || q.evictedBefore(s, first) {
				first, found = s, true
			}
		}
		q.drop(first.Digest)
	}
}

// drop forgets a suspect.
func (q *Quarantiner) drop(digest uint64) {
	if r := q.suspects[digest].Resource; r != 0 {
		q.resources[r] = slices.DeleteFunc(q.resources[r], func(d uint64) bool { return d == digest })
		if len(q.resources[r]) == 0 {
			delete(q.resources, r)
		}
	}
	delete(q.suspects, digest)
}

// lastChange returns when a suspect was last marked or cleared.
func (q *Quarantiner) lastChange(s Suspect) time.Time {
	last := s.Cleared
	for _, m := range s.Marks {
		last = latest(last, m.At)
	}
	return last
}

func (q *Quarantiner) evictedBefore(a, b Suspect) bool {
	if x, y := a.validMarks() >= quarantineCrashes, b.validMarks() >= quarantineCrashes; x != y {
		return y
	}
	if c := q.lastChange(a).Compare(q.lastChange(b)); c != 0 {
		return c < 0
	}
	return a.Digest < b.Digest
}

func newestFirst(a, b Mark) int {
	if c := b.At.Compare(a.At); c != 0 {
		return c
	}
	return cmp.Compare(a.Engine, b.Engine)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
