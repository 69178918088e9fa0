package quarantiner

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// partResend is for how long news are sent with each report and reply: some
	// exchanges, so that they arrive although some are lost.
	partResend = 5 * time.Second
	// clearedResend is for how long the end of a quarantine is sent.
	clearedResend = time.Minute
	// decideInterval is the least time between two decisions.
	decideInterval = 100 * time.Millisecond
	// aloneAfter is how long after the last reply an instance decides by itself.
	aloneAfter = 1500 * time.Millisecond
	// ownTrialsAfter is how long after the last reply an instance makes trials by itself:
	// longer than all instances are without one at the same time.
	ownTrialsAfter = 30 * time.Second
	// maxPartBreaks bounds the broken connections that are remembered.
	maxPartBreaks = 4096
	// maxRefusedParts bounds the parts that are reported as refused.
	maxRefusedParts = 16
)

// PartCrash is the loss of one engine, as reported to another instance. Ages count back
// from the time of the report, since the instances' clocks may differ.
type PartCrash struct {
	Engine   string        `msgpack:"e"`
	Age      time.Duration `msgpack:"a"`
	Requests []CutRequest  `msgpack:"q"`
}

// PartAge is a part and how long ago something happened to it.
type PartAge struct {
	Part uint64        `msgpack:"p"`
	Age  time.Duration `msgpack:"a"`
}

// PartVerdict is a quarantine, as sent to another instance.
type PartVerdict struct {
	Part    uint64        `msgpack:"p"`
	Crashes int           `msgpack:"c"`
	Initial int           `msgpack:"i"`
	Age     time.Duration `msgpack:"a"`
}

// PartReport is what an instance knows of parts, for the instance that decides.
type PartReport struct {
	Crashes     []PartCrash   `msgpack:"c,omitempty"`
	Survivals   []PartAge     `msgpack:"s,omitempty"`
	Quarantines []PartVerdict `msgpack:"q,omitempty"`
	// Refused are the quarantined parts of requests that were refused of late.
	Refused []uint64 `msgpack:"r,omitempty"`
}

// PartReply answers a PartReport.
type PartReply struct {
	Quarantines []PartVerdict `msgpack:"q,omitempty"`
	// Cleared are parts that survived after they had been quarantined.
	Cleared []PartAge `msgpack:"c,omitempty"`
	// Suspected are parts that may be quarantined soon, Watched those whose survivals
	// are to be reported.
	Suspected []uint64 `msgpack:"u,omitempty"`
	Watched   []uint64 `msgpack:"w,omitempty"`
	// Trials are quarantined parts with which one request may be sent, to find out
	// whether it survives.
	Trials []uint64 `msgpack:"t,omitempty"`
}

// partBreak is a connection that broke under a request.
type partBreak struct {
	at      time.Time
	request CutRequest
}

// PartGuard is a PartFinder that is safe for concurrent use, takes the time from its own
// clock and exchanges its findings with other instances. One instance decides from the
// reports of all; an instance that gets no replies decides from what it has seen itself.
type PartGuard struct {
	clock clockwork.Clock
	// changed receives a value when there is a new crash to report.
	changed chan struct{}

	mu         sync.Mutex
	finder     *PartFinder
	breaks     map[string][]partBreak
	breakCount int
	// decidedAt is the time of the last decision, suspected and marked are its results;
	// suspected may also be from a reply.
	decidedAt         time.Time
	suspected, marked []uint64
	// watched are the parts to report survivals of, and since when.
	watched map[uint64]time.Time
	// refused are the quarantined parts of requests that were refused, and when.
	refused map[uint64]time.Time
	// trials are the parts with which one request may be sent until a time.
	trials map[uint64]time.Time
	// granted are the trials that this instance has granted, and when.
	granted map[uint64]time.Time
	// repliedAt is when a reply arrived last, servedAt when a report was served last.
	// replied is set once there was a reply.
	repliedAt, servedAt time.Time
	replied             bool
	// resendUntil is until when reports have all evidence rather than news.
	resendUntil time.Time
}

// NewPartGuard returns a guard around a new PartFinder.
func NewPartGuard(clock clockwork.Clock) *PartGuard {
	return &PartGuard{
		clock: clock, changed: make(chan struct{}, 1), finder: NewPartFinder(), breaks: map[string][]partBreak{}, watched: map[uint64]time.Time{},
		refused: map[uint64]time.Time{}, trials: map[uint64]time.Time{}, granted: map[uint64]time.Time{}, repliedAt: clock.Now(),
	}
}

// Changed receives a value when there is a new crash to report.
func (g *PartGuard) Changed() <-chan struct{} { return g.changed }

// ConnectionBroke records that the connection to an incarnation of an engine broke under
// a request whose answer had just begun, or had not.
func (g *PartGuard) ConnectionBroke(q CutRequest, incarnation string) {
	if len(q.Parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.breakCount >= maxPartBreaks {
		clear(g.breaks)
		g.breakCount = 0
	}
	g.breaks[incarnation] = append(g.breaks[incarnation], partBreak{g.clock.Now(), q})
	g.breakCount++
}

// EngineLost records that an incarnation of an engine crashed.
func (g *PartGuard) EngineLost(incarnation string) { g.markLost(incarnation, breakWindow) }

// EngineReplaced is EngineLost for an incarnation that another one has replaced, with breaks
// up to replacedWindow before: no probe may have confirmed the loss.
func (g *PartGuard) EngineReplaced(incarnation string) { g.markLost(incarnation, replacedWindow) }

// markLost records that an engine crashed under the requests whose connections to it broke
// within a time.
func (g *PartGuard) markLost(incarnation string, within time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	list := g.breaks[incarnation]
	delete(g.breaks, incarnation)
	g.breakCount -= len(list)
	news := false
	for _, b := range list {
		if now.Sub(b.at) <= within && g.finder.Crash(now, b.at, incarnation, []CutRequest{b.request}) {
			news = true
		}
	}
	if news {
		select {
		case g.changed <- struct{}{}:
		default:
		}
	}
}

// Survived records that a request with these parts has gone on beyond the beginning of
// its answer.
func (g *PartGuard) Survived(parts []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, p := range parts {
		g.finder.Survived(now, now, p)
	}
}

// Admit returns how long a request with these parts is refused for, zero if it may be
// sent. trial is set if it is sent to find out whether it survives.
func (g *PartGuard) Admit(parts []uint64) (remaining time.Duration, trial bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.decide(now)
	for _, p := range parts {
		q, ok := g.finder.Quarantine(now, p)
		if !ok {
			continue
		}
		until, granted := g.trials[p]
		delete(g.trials, p)
		if granted && now.Before(until) || now.Sub(g.repliedAt) >= ownTrialsAfter && g.grantTrial(now, p) {
			trial = true
			continue
		}
		if _, ok := g.refused[p]; ok || len(g.refused) < maxRefusedParts {
			g.refused[p] = now
		}
		remaining = max(remaining, q.LastCrash.Add(q.trialDelay()).Sub(now), firstTrial)
	}
	if remaining > 0 {
		return remaining, false
	}
	return 0, trial
}

// Quarantined reports whether one of the parts is quarantined.
func (g *PartGuard) Quarantined(parts []uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return slices.ContainsFunc(parts, func(p uint64) bool { _, ok := g.finder.Quarantine(now, p); return ok })
}

// Suspected reports whether one of the parts is suspected or quarantined, so that a
// request with it that was cut off is not repeated.
func (g *PartGuard) Suspected(parts []uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.decide(now)
	return slices.ContainsFunc(parts, func(p uint64) bool {
		_, ok := g.finder.Quarantine(now, p)
		return ok || slices.Contains(g.suspected, p)
	})
}

// Alone reports whether this instance gets no replies, or has got none yet.
func (g *PartGuard) Alone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.replied || g.alone(g.clock.Now())
}

// alone reports whether this instance gets no replies. g.mu must be held.
func (g *PartGuard) alone(now time.Time) bool { return now.Sub(g.repliedAt) >= aloneAfter }

// Quarantines returns the quarantines, and which have ended of late.
func (g *PartGuard) Quarantines() PartReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return PartReply{Quarantines: g.verdicts(now), Cleared: g.clearedParts(now)}
}

// MergeQuarantines applies the quarantines of another instance, which has not decided on
// the evidence of this one.
func (g *PartGuard) MergeQuarantines(r PartReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergeReply(g.clock.Now(), r)
}

// mergeReply applies the quarantines of a reply. g.mu must be held.
func (g *PartGuard) mergeReply(now time.Time, r PartReply) {
	for _, c := range r.Cleared {
		g.finder.Survived(now, now.Add(-max(c.Age, 0)), c.Part)
	}
	g.merge(now, r.Quarantines)
}

// clearedParts returns the parts whose quarantine has ended of late. g.mu must be held.
func (g *PartGuard) clearedParts(now time.Time) []PartAge {
	var list []PartAge
	for part, at := range g.finder.cleared {
		if now.Sub(at) >= clearedResend {
			delete(g.finder.cleared, part)
			continue
		}
		list = append(list, PartAge{part, now.Sub(at)})
	}
	return list
}

// decide decides from the evidence at hand if this instance serves reports or gets no
// replies. g.mu must be held.
func (g *PartGuard) decide(now time.Time) {
	decides := now.Sub(g.servedAt) < aloneAfter || g.alone(now)
	if !decides || len(g.finder.crashes) == 0 || now.Sub(g.decidedAt) < decideInterval {
		return
	}
	g.decidedAt = now
	g.suspected, g.marked = g.finder.Decide(now)
	maps.DeleteFunc(g.granted, func(part uint64, _ time.Time) bool { _, ok := g.finder.quarantines[part]; return !ok })
}

// Resend makes reports have all evidence for some time, for another receiver than before.
func (g *PartGuard) Resend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resendUntil = g.clock.Now().Add(partResend)
}

// Report returns what another instance needs to decide.
func (g *PartGuard) Report() PartReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	all := now.Before(g.resendUntil)
	r := PartReport{Quarantines: g.verdicts(now)}
	for engine, c := range g.finder.crashes {
		if all && now.Sub(c.at) < crashLifetime || now.Sub(c.changedAt) < partResend {
			r.Crashes = append(r.Crashes, PartCrash{Engine: engine, Age: now.Sub(c.at), Requests: slices.Clone(c.requests)})
		}
	}
	report := func(part uint64, all bool) {
		if at := g.finder.LastSurvival(part); !at.IsZero() && (all || now.Sub(at) < partResend) {
			r.Survivals = append(r.Survivals, PartAge{part, now.Sub(at)})
		}
	}
	for part, since := range g.watched {
		report(part, all || now.Sub(since) < partResend)
	}
	for part := range g.finder.quarantines {
		report(part, false)
	}
	for part := range g.finder.cleared {
		report(part, false)
	}
	for part, at := range g.refused {
		if now.Sub(at) >= partResend {
			delete(g.refused, part)
			continue
		}
		r.Refused = append(r.Refused, part)
	}
	return r
}

// verdicts returns the quarantines. g.mu must be held.
func (g *PartGuard) verdicts(now time.Time) []PartVerdict {
	var list []PartVerdict
	for _, part := range slices.Sorted(maps.Keys(g.finder.quarantines)) {
		if q, ok := g.finder.Quarantine(now, part); ok {
			list = append(list, PartVerdict{Part: part, Crashes: q.Crashes, Initial: q.Initial, Age: now.Sub(q.LastCrash)})
		}
	}
	return list
}

// merge applies quarantines of another instance. g.mu must be held.
func (g *PartGuard) merge(now time.Time, list []PartVerdict) {
	for _, v := range list {
		g.finder.Merge(now, PartQuarantine{Part: v.Part, Crashes: v.Crashes, Initial: v.Initial, LastCrash: now.Add(-max(v.Age, 0))})
	}
}

// ServeReport applies the report of an instance, and returns the reply.
func (g *PartGuard) ServeReport(r PartReport) PartReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.servedAt = now
	for _, s := range r.Survivals {
		g.finder.Survived(now, now.Add(-max(s.Age, 0)), s.Part)
	}
	for _, c := range r.Crashes {
		g.finder.Crash(now, now.Add(-max(c.Age, 0)), c.Engine, c.Requests)
	}
	g.merge(now, r.Quarantines)
	g.decide(now)
	reply := PartReply{Quarantines: g.verdicts(now), Cleared: g.clearedParts(now), Suspected: slices.Clone(g.suspected), Watched: slices.Clone(g.marked)}
	for _, part := range r.Refused {
		if g.grantTrial(now, part) {
			reply.Trials = append(reply.Trials, part)
		}
	}
	return reply
}

// grantTrial reports whether the instance that is replied to may send a request with a
// quarantined part. g.mu must be held.
func (g *PartGuard) grantTrial(now time.Time, part uint64) bool {
	q, ok := g.finder.Quarantine(now, part)
	if !ok || now.Before(q.LastCrash.Add(q.trialDelay())) || now.Sub(g.granted[part]) < trialTimeout {
		return false
	}
	g.granted[part] = now
	return true
}

// ApplyReply applies the reply to a report.
func (g *PartGuard) ApplyReply(r PartReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.repliedAt, g.replied = now, true
	g.mergeReply(now, r)
	g.suspected = r.Suspected
	watched := map[uint64]time.Time{}
	for _, part := range r.Watched {
		watched[part] = now
		if since, ok := g.watched[part]; ok {
			watched[part] = since
		}
	}
	g.watched = watched
	for _, part := range r.Trials {
		g.trials[part] = now.Add(trialTimeout / 2)
	}
}
