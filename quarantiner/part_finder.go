package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A part of a prompt is suspected of crashes after suspectCrashes lost engines without a
// survival, and quarantined after guiltyCrashes, unless another part explains them. After
// certainPartCrashes with certainPrecision, or more of them with less, it is quarantined in
// any case.
const (
	suspectCrashes     = 2
	guiltyCrashes      = 3
	certainPartCrashes = 5
	certainPrecision   = 0.5
)

// minRefineShare is the share of a part's score that one that follows it must have to be
// blamed instead.
const minRefineShare = 0.5

const (
	// crashLifetime is how long a lost engine counts against parts, and at least how
	// long a survival is remembered.
	crashLifetime = 10 * time.Minute
	// survivalGrace is how long after a survival of a part a lost engine does not count
	// against it: engines that have a frequent part in progress may be lost together.
	survivalGrace = time.Second
	// settleTime is how long after its last required crash a part is quarantined at the
	// earliest, so that other instances can report that it survived. A part that others
	// follow in the same prompts may be innocent and gets settleTimeInner.
	settleTime      = 400 * time.Millisecond
	settleTimeInner = time.Second
	// firstTrial is the time from the last crash of a part with guiltyCrashes to the
	// next request with it. It is trialFactor times longer for a part with more, and for
	// each crash after its quarantine, up to maxTrialDelay. trialTimeout is how long a
	// trial may remain without an outcome.
	firstTrial    = 10 * time.Second
	trialFactor   = 5
	maxTrialDelay = time.Hour
	trialTimeout  = 5 * time.Second
)

// Bounds of the state.
const (
	maxPartCrashes = 256
	// maxCutRequests is how many requests are kept for one lost engine, maxParts how many
	// parts of a request.
	maxCutRequests = 256
	maxParts       = 8
	// maxSurvivals is how many parts are kept in each window of survivals.
	maxSurvivals   = 8192
	maxQuarantines = 256
	maxWatched     = 96
)

// PartQuarantine is a part of a prompt that crashes engines.
type PartQuarantine struct {
	Part uint64
	// Crashes is how many lost engines count against the part, Initial how many did when
	// it was quarantined, and LastCrash when the last of them was lost.
	Crashes, Initial int
	LastCrash        time.Time
}

// trialDelay returns the time from the last crash to the next trial. Crashes before the
// quarantine may have another cause, so that more of them do not make it much longer.
func (q PartQuarantine) trialDelay() time.Duration {
	delay := firstTrial
	for range min(q.Initial-guiltyCrashes, 1) + q.Crashes - q.Initial {
		if delay *= trialFactor; delay >= maxTrialDelay {
			return maxTrialDelay
		}
	}
	return delay
}

// expiresAt returns when a quarantine ends of which nobody makes a trial.
func (q PartQuarantine) expiresAt() time.Time {
	return q.LastCrash.Add(q.trialDelay() + crashLifetime)
}

// CutRequest is a request that was cut off by the loss of an engine.
type CutRequest struct {
	// ID is a hash by which instances tell requests apart, Parts are hashes of the parts
	// of its prompt that others may share, in their order.
	ID    uint64   `msgpack:"i"`
	Parts []uint64 `msgpack:"p"`
}

// partCrash is one lost engine.
type partCrash struct {
	at time.Time
	// requests are those whose answers had just begun or had not begun, changedAt is when
	// one was added last.
	requests  []CutRequest
	changedAt time.Time
}

// PartFinder finds the parts of prompts that crash engines, whatever else a request
// holds. It is not safe for concurrent use.
//
// Requests with such a part differ from each other, so that Quarantiner does not
// recognize them. Each lost engine counts against all parts of the requests that had
// just begun there, 1/n if n of these requests have the part. A part is cleared when a
// request with it goes on beyond the beginning of its answer, which none with a part that
// crashes engines does. Of the parts that are left, the one with the highest score
// explains the crashes of the others; if parts that follow it in the same prompts explain
// its own, they are preferred, since other requests with the part before them may be
// sound.
type PartFinder struct {
	crashes map[string]*partCrash
	// survivals are when requests with a part last survived, in two windows of
	// crashLifetime.
	survivals, oldSurvivals map[uint64]time.Time
	windowStart             time.Time
	quarantines             map[uint64]PartQuarantine
	// cleared are parts whose quarantine has ended by a survival or another explanation,
	// and when.
	cleared map[uint64]time.Time
}

// NewPartFinder returns a finder without crashes.
func NewPartFinder() *PartFinder {
	return &PartFinder{
		crashes: map[string]*partCrash{}, survivals: map[uint64]time.Time{}, oldSurvivals: map[uint64]time.Time{},
		quarantines: map[uint64]PartQuarantine{}, cleared: map[uint64]time.Time{},
	}
}

// Crash records the loss of an engine at a time, with requests that had just begun there.
// It reports whether it is news.
func (f *PartFinder) Crash(now, at time.Time, engine string, requests []CutRequest) bool {
	c, ok := f.crashes[engine]
	if !ok {
		c = &partCrash{at: at}
	}
	news := false
	for _, q := range requests {
		if len(q.Parts) == 0 || len(c.requests) == maxCutRequests || slices.ContainsFunc(c.requests, func(o CutRequest) bool { return o.ID == q.ID }) {
			continue
		}
		c.requests = append(c.requests, CutRequest{q.ID, slices.Clone(q.Parts[:min(len(q.Parts), maxParts)])})
		news = true
	}
	if news {
		c.changedAt = now
	}
	c.at = earliest(c.at, at)
	if len(c.requests) > 0 && !ok {
		f.crashes[engine] = c
		f.evictCrash()
	}
	return news
}

// evictCrash drops the oldest crash if there are too many.
func (f *PartFinder) evictCrash() {
	if len(f.crashes) <= maxPartCrashes {
		return
	}
	oldest := ""
	for engine, c := range f.crashes {
		if oldest == "" || c.at.Before(f.crashes[oldest].at) {
			oldest = engine
		}
	}
	delete(f.crashes, oldest)
}

// Survived records that a request with a part survived at a time.
func (f *PartFinder) Survived(now, at time.Time, part uint64) {
	if now.Sub(f.windowStart) >= crashLifetime {
		f.oldSurvivals, f.survivals, f.windowStart = f.survivals, map[uint64]time.Time{}, now
	}
	if known, ok := f.survivals[part]; ok || len(f.survivals) < maxSurvivals {
		f.survivals[part] = latest(known, at)
	}
	if q, ok := f.quarantines[part]; ok && !at.Before(q.LastCrash) {
		delete(f.quarantines, part)
		f.cleared[part] = at
	}
}

// LastSurvival returns when a request with a part last survived, the zero time if that
// is not known.
func (f *PartFinder) LastSurvival(part uint64) time.Time {
	return latest(f.survivals[part], f.oldSurvivals[part])
}

// Quarantine returns the quarantine of a part.
func (f *PartFinder) Quarantine(now time.Time, part uint64) (PartQuarantine, bool) {
	q, ok := f.quarantines[part]
	if ok && !now.Before(q.expiresAt()) {
		delete(f.quarantines, part)
		return PartQuarantine{}, false
	}
	return q, ok
}

// Merge adds a quarantine that another instance has found. One that a later survival has
// ended is ignored.
func (f *PartFinder) Merge(now time.Time, q PartQuarantine) {
	if q.Initial < guiltyCrashes || q.Crashes < q.Initial || !now.Before(q.expiresAt()) || !q.LastCrash.After(f.LastSurvival(q.Part)) {
		return
	}
	known, ok := f.quarantines[q.Part]
	if !ok && len(f.quarantines) == maxQuarantines {
		return
	}
	if ok {
		q.Initial = min(q.Initial, known.Initial)
	}
	q.Crashes, q.LastCrash = max(known.Crashes, q.Crashes), latest(known.LastCrash, q.LastCrash)
	f.quarantines[q.Part] = q
}

// partMark is a lost engine that counts against a part: when it was lost, and how many
// requests with the part it cut off.
type partMark struct {
	at       time.Time
	requests int
}

// partMarks is the evidence against one part.
type partMarks struct {
	engines map[string]partMark
	// followers are the parts that come after it in a prompt.
	followers map[uint64]bool
}

// precision returns the weight of the marks for each request, 1 if each engine was lost
// with one request.
func (m *partMarks) precision() float64 {
	weight, requests := 0.0, 0
	for _, e := range m.engines {
		weight += 1 / float64(e.requests)
		requests += e.requests
	}
	return weight / float64(max(requests, 1))
}

// score is higher the more engines were lost, and the fewer requests with the part were
// cut off besides.
func (m *partMarks) score() float64 {
	p := m.precision()
	return p * p * float64(m.requests())
}

func (m *partMarks) requests() int {
	n := 0
	for _, e := range m.engines {
		n += e.requests
	}
	return n
}

// times returns when the engines were lost, in order.
func (m *partMarks) times() []time.Time {
	list := make([]time.Time, 0, len(m.engines))
	for _, e := range m.engines {
		list = append(list, e.at)
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// marks is the evidence against all parts.
type marks map[uint64]*partMarks

// collectMarks returns the evidence against all parts that have not survived.
func (f *PartFinder) collectMarks(now time.Time) marks {
	all := marks{}
	for engine, c := range f.crashes {
		if now.Sub(c.at) >= crashLifetime {
			delete(f.crashes, engine)
			continue
		}
		for _, q := range c.requests {
			for i, p := range q.Parts {
				if s := f.LastSurvival(p); !s.IsZero() && !c.at.After(s.Add(survivalGrace)) {
					continue
				}
				m, ok := all[p]
				if !ok {
					m = &partMarks{engines: map[string]partMark{}, followers: map[uint64]bool{}}
					all[p] = m
				}
				m.engines[engine] = partMark{c.at, m.engines[engine].requests + 1}
				for _, next := range q.Parts[i+1:] {
					m.followers[next] = next != p
				}
			}
		}
	}
	return all
}

// explain drops the marks of all other parts for the engines that a part crashed.
func (m marks) explain(part uint64) {
	own, ok := m[part]
	if !ok {
		return
	}
	for p, other := range m {
		if p != part {
			maps.DeleteFunc(other.engines, func(engine string, _ partMark) bool { _, ok := own.engines[engine]; return ok })
		}
	}
}

// worst returns the part with the highest score of those with enough marks.
func (m marks) worst(least int, eligible func(part uint64) bool) (uint64, bool) {
	best, bestScore, found := uint64(0), 0.0, false
	for p, own := range m {
		if len(own.engines) < least || !eligible(p) {
			continue
		}
		score := own.score()
		if !found || score > bestScore || score == bestScore && (m[best].followers[p] || !own.followers[best] && p < best) {
			best, bestScore, found = p, score, true
		}
	}
	return best, found
}

// most returns the parts with the most marks, at most so many.
func (m marks) most(limit int) []uint64 {
	list := slices.SortedFunc(maps.Keys(m), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(m[b].engines), len(m[a].engines)), cmp.Compare(a, b))
	})
	return list[:min(len(list), limit)]
}

// refine returns the part to blame for the marks of a part: one that follows it if such
// parts, as precise as it, explain all but a few of its marks, and it many of them.
func (m marks) refine(part uint64, least int, eligible func(part uint64) bool) uint64 {
	for range maxParts {
		own := m[part]
		precision := own.precision()
		follows := func(p uint64) bool { return own.followers[p] && eligible(p) && m[p].precision() >= precision }
		unexplained := maps.Clone(own.engines)
		for p := range own.followers {
			if q, ok := m[p]; ok && len(q.engines) >= least && follows(p) {
				maps.DeleteFunc(unexplained, func(engine string, _ partMark) bool { _, ok := q.engines[engine]; return ok })
			}
		}
		next, ok := m.worst(least, follows)
		if !ok || len(unexplained) >= least || m[next].score() < minRefineShare*own.score() {
			return part
		}
		part = next
	}
	return part
}

// isCertain reports whether a part is to blame although other parts explain its marks:
// it has many, few other requests with it were cut off, and the blamed parts that follow
// it do not explain them.
func (m marks) isCertain(part uint64, blamed map[uint64]bool) bool {
	own := m[part]
	// Many engines make up for a low precision: a sound part survives on one of them.
	weight := own.precision() * float64(len(own.engines))
	if len(own.engines) < certainPartCrashes || weight < certainPrecision*certainPartCrashes {
		return false
	}
	unexplained := maps.Clone(own.engines)
	for p := range own.followers {
		if q, ok := m[p]; ok && blamed[p] {
			maps.DeleteFunc(unexplained, func(engine string, _ partMark) bool { _, ok := q.engines[engine]; return ok })
		}
	}
	return len(unexplained) >= guiltyCrashes
}

// Decide updates the quarantines from all marks. It returns the parts that are suspected,
// which more evidence may still quarantine or clear, and those with marks.
func (f *PartFinder) Decide(now time.Time) (suspected, marked []uint64) {
	all := f.collectMarks(now)
	marked = all.most(maxWatched)
	f.prolong(all)
	blamed := map[uint64]bool{}
	suspected, explained := f.blameWorst(now, f.collectMarks(now), blamed)
	for part, m := range all {
		if !blamed[part] && all.isCertain(part, blamed) {
			blamed[part] = f.quarantine(now, part, m)
		}
	}
	f.releaseExplained(now, all, blamed, explained)
	return suspected, marked
}

// blameWorst blames one part after the other for the engines that no part blamed before
// explains; it uses up the marks. It returns the parts that are not quarantined, and the
// engines that quarantined ones explain.
func (f *PartFinder) blameWorst(now time.Time, left marks, blamed map[uint64]bool) (suspected []uint64, explained map[string]bool) {
	explained = map[string]bool{}
	open := func(part uint64) bool { return !blamed[part] }
	for {
		worst, ok := left.worst(suspectCrashes, open)
		if !ok {
			return suspected, explained
		}
		worst = left.refine(worst, min(len(left[worst].engines), guiltyCrashes), open)
		blamed[worst] = true
		if f.quarantine(now, worst, left[worst]) {
			for engine := range left[worst].engines {
				explained[engine] = true
			}
		} else {
			suspected = append(suspected, worst)
		}
		left.explain(worst)
	}
}

// releaseExplained ends the quarantines of parts that are not to blame: other quarantined
// parts explain all their crashes by now.
func (f *PartFinder) releaseExplained(now time.Time, all marks, blamed map[uint64]bool, explained map[string]bool) {
	unexplained := func(engine string) bool { return !explained[engine] }
	for part, q := range f.quarantines {
		m, ok := all[part]
		if blamed[part] || !ok || len(m.engines) < q.Crashes || slices.ContainsFunc(slices.Collect(maps.Keys(m.engines)), unexplained) {
			continue
		}
		delete(f.quarantines, part)
		f.cleared[part] = now
	}
}

// prolong adds the crashes since the last one to the quarantines.
func (f *PartFinder) prolong(all marks) {
	for part, q := range f.quarantines {
		m, ok := all[part]
		if !ok {
			continue
		}
		last := q.LastCrash
		for _, at := range m.times() {
			if at.After(last) {
				q.Crashes, q.LastCrash = q.Crashes+1, at
			}
		}
		f.quarantines[part] = q
	}
}

// quarantine quarantines a part if the marks suffice. It reports whether the part is
// quarantined.
func (f *PartFinder) quarantine(now time.Time, part uint64, m *partMarks) bool {
	if _, known := f.quarantines[part]; known {
		return true
	}
	times := m.times()
	settle := settleTime
	if len(m.followers) > 0 {
		settle = settleTimeInner
	}
	if len(times) < guiltyCrashes || now.Sub(times[guiltyCrashes-1]) < settle || len(f.quarantines) == maxQuarantines {
		return false
	}
	f.quarantines[part] = PartQuarantine{Part: part, Crashes: len(times), Initial: len(times), LastCrash: times[len(times)-1]}
	return true
}
