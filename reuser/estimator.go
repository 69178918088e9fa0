package reuser

import (
	"time"

	"primrosehook/decayer"
)

const (
	// maxBeliefAge is how long an instance uses what it knows of its own prompts to a server. By
	// then most servers have evicted what was not used again.
	maxBeliefAge = 8 * time.Second
	// maxKnown bounds the parts that an instance knows of one server.
	maxKnown = 512
	// freshTime is how long after weights were loaded a server is not taken to hold anything for
	// its rank: its first prompts have to be read.
	freshTime = 3 * time.Second
	// evidenceHalfLife is the half-life of the measured probabilities: at a few requests a second
	// an instance gets some hundred replies of owners in it.
	evidenceHalfLife = 30 * time.Second
	// priorWeight is how many replies a prior probability counts as.
	priorWeight = 4.0
	// believed is the probability from which on a part counts as believed to be held.
	believed = 0.5
	// MaxRank is the rank from which on servers are not told apart.
	MaxRank = 3
	// maxLevel is the level from which on parts are not told apart.
	maxLevel = 3
)

// The cases in which a part may be held: by the rank of the server, and by the age of the instance's
// last prompt with the part to the server.
const (
	caseUnderOneSecond = MaxRank + 1 + iota
	caseUnderThreeSeconds
	caseOlder
	caseCount
)

// ownLevel is the level of the last part, which belongs to the request or its session.
const ownLevel = maxLevel + 1

// priors are the probabilities that are assumed until replies have shown others. The preferred server
// has to be taken to hold more than the others at first, or no server is sent the same prefix again.
var priors = [caseCount]float64{0: 0.6, 1: 0.25, 2: 0.1, MaxRank: 0.1, caseUnderOneSecond: 0.9, caseUnderThreeSeconds: 0.7, caseOlder: 0.3}

// tally measures how often a part was held in a case.
type tally struct{ held, replies decayer.Counter }

func (t *tally) probability(now time.Time, prior float64) float64 {
	n := t.replies.Value(now, evidenceHalfLife)
	return (t.held.Value(now, evidenceHalfLife) + priorWeight*prior) / (n + priorWeight)
}

// Estimator measures how often servers hold parts, from the replies of the owners of their schedules.
// The zero value has no evidence.
type Estimator struct {
	cases [ownLevel + 1][caseCount]tally
	// heldTokens and promptTokens are the tokens in the replies.
	heldTokens, promptTokens decayer.Counter
}

// Knowledge is what an instance knows of one incarnation of a server. The zero value is a server with
// nothing loaded.
type Knowledge struct {
	// sent is when this instance last sent the server a chain of parts.
	sent   map[uint64]sending
	loaded map[string]time.Time
	// prunedAt is when sent was last pruned.
	prunedAt time.Time
}

type sending struct {
	at  time.Time
	key string
}

// Seen reports whether UpdateLoaded was called.
func (k *Knowledge) Seen() bool { return k.loaded != nil }

// UpdateLoaded records the keys that the server has loaded. What was known for keys that are not
// loaded any more is dropped. since is when keys that are new were loaded, the zero time if that was
// long ago.
func (k *Knowledge) UpdateLoaded(loaded map[string]bool, since time.Time) {
	if k.loaded == nil {
		k.loaded = map[string]time.Time{}
	}
	for key := range k.loaded {
		if loaded[key] {
			continue
		}
		delete(k.loaded, key)
		for chain, s := range k.sent {
			if s.key == key {
				delete(k.sent, chain)
			}
		}
	}
	for key, ok := range loaded {
		if _, known := k.loaded[key]; ok && !known {
			k.loaded[key] = since
		}
	}
}

// RecordSent records that this instance sends the server a prompt for a key.
func (k *Knowledge) RecordSent(now time.Time, key string, p *Prompt) {
	if k.sent == nil {
		k.sent = map[uint64]sending{}
	}
	if now.Sub(k.prunedAt) >= maxBeliefAge || len(k.sent)+len(p.Parts) > maxKnown {
		k.prune(now)
	}
	chain := p.root()
	for _, part := range p.Parts {
		chain = next(chain, part.Hash)
		k.sent[chain] = sending{now, key}
	}
}

// prune drops what is too old to be used, or everything if that is not enough.
func (k *Knowledge) prune(now time.Time) {
	k.prunedAt = now
	for chain, s := range k.sent {
		if now.Sub(s.at) >= maxBeliefAge {
			delete(k.sent, chain)
		}
	}
	if len(k.sent)+MaxParts > maxKnown {
		clear(k.sent)
	}
}

// caseOf returns the case of a chain of parts for a key at a server of a rank, and false if nothing is
// believed of it.
func (k *Knowledge) caseOf(now time.Time, key string, chain uint64, rank int) (int, bool) {
	if s, ok := k.sent[chain]; ok {
		switch age := now.Sub(s.at); {
		case age < time.Second:
			return caseUnderOneSecond, true
		case age < 3*time.Second:
			return caseUnderThreeSeconds, true
		case age < maxBeliefAge:
			return caseOlder, true
		}
	}
	if since, ok := k.loaded[key]; !ok || now.Sub(since) < freshTime {
		return 0, false
	}
	return min(rank, MaxRank), true
}

// Expected returns the expected number of tokens of a prompt that a server holds.
func (e *Estimator) Expected(now time.Time, k *Knowledge, key string, p *Prompt, rank int) float64 {
	tokens := 0.0
	e.visit(now, k, key, p, rank, func(part Part, probability float64, _ *tally) { tokens += probability * float64(part.Tokens) })
	return tokens
}

// visit calls a function for each part of a prompt with the probability that the server holds it and
// all parts before it, and with the evidence of its case, nil if nothing is believed.
func (e *Estimator) visit(now time.Time, k *Knowledge, key string, p *Prompt, rank int, do func(part Part, probability float64, evidence *tally)) {
	chain, before := p.root(), 1.0
	for i, part := range p.Parts {
		chain = next(chain, part.Hash)
		level := min(i, maxLevel)
		if i == len(p.Parts)-1 {
			level = ownLevel
		}
		n, ok := k.caseOf(now, key, chain, rank)
		if !ok {
			before = 0
			do(part, 0, nil)
			continue
		}
		prior := priors[n]
		if level == ownLevel && n <= MaxRank {
			prior = 0
		}
		evidence := &e.cases[level][n]
		before = min(before, evidence.probability(now, prior))
		do(part, before, evidence)
	}
}

// Outcome compares what was believed of a server with the reply of the owner of its schedule.
type Outcome struct {
	// Held is the number of tokens that need no prefill, BelievedTokens how many were expected.
	Held, BelievedTokens int
	// Hits counts the parts that were believed to be held and were, FalseHits those that were not,
	// and Misses those that were held though that was not believed.
	Hits, FalseHits, Misses int
}

// Learn records the reply that a server holds a number of tokens of a prompt.
func (e *Estimator) Learn(now time.Time, k *Knowledge, key string, p *Prompt, rank, held int) Outcome {
	o := Outcome{Held: held}
	sum, expected := 0, 0.0
	e.visit(now, k, key, p, rank, func(part Part, probability float64, evidence *tally) {
		sum += part.Tokens
		expected += probability * float64(part.Tokens)
		isHeld := sum <= held
		switch {
		case probability >= believed && isHeld:
			o.Hits++
		case probability >= believed:
			o.FalseHits++
		case isHeld:
			o.Misses++
		}
		if evidence == nil {
			return
		}
		evidence.replies.Add(now, evidenceHalfLife, 1)
		if isHeld {
			evidence.held.Add(now, evidenceHalfLife, 1)
		}
	})
	o.BelievedTokens = int(expected + 0.5)
	e.heldTokens.Add(now, evidenceHalfLife, float64(held))
	e.promptTokens.Add(now, evidenceHalfLife, float64(sum))
	return o
}

// HeldShare returns the share of the prompt tokens that need no prefill. It is what a token in a full
// cache is worth: reading one more evicts one.
func (e *Estimator) HeldShare(now time.Time) float64 {
	if n := e.promptTokens.Value(now, evidenceHalfLife); n > 0 {
		return e.heldTokens.Value(now, evidenceHalfLife) / n
	}
	return 0
}
