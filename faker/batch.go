package faker

import (
	"context"
	"sort"
	"strings"
	"time"

	"primrosehook/driver"
)

// generation is one request in an engine.
type generation struct {
	// life is that of the engine's boot.
	life    context.Context
	request driver.Request
	tokens  []driver.Token
	// produced tokens may be read.
	produced int
	// prefill is how many prompt tokens have not been worked on.
	prefill int
	// flight is the KV cache set aside, in KB.
	flight   int64
	prefixes []uint64
	// grown is closed when more can be read, and replaced.
	grown chan struct{}
	// lost is set once no more tokens will come before the last.
	lost bool
	// readers hold a connection; idle is when the last of them left.
	readers int
	idle    time.Time
}

func (g *generation) ended() bool { return g.produced == len(g.tokens) }

func (g *generation) wake() {
	close(g.grown)
	g.grown = make(chan struct{})
}

// enqueue puts a request among the waiting, behind those of its priority.
func (e *Engine) enqueue(g *generation) {
	e.known[g.request.ID] = g
	e.waiting = append(e.waiting, g)
	sort.SliceStable(e.waiting, func(i, j int) bool {
		return e.waiting[i].request.Priority > e.waiting[j].request.Priority
	})
	if !e.stepping {
		e.stepping = true
		go e.loopSteps(e.life)
	}
	e.changed()
}

// loopSteps runs the batch until there is nothing left to run.
func (e *Engine) loopSteps(life context.Context) {
	for {
		e.thaw(life)
		d, more := e.beginStep(life)
		if !more || sleep(life, e.clock, d) != nil {
			return
		}
		e.thaw(life)
		if !e.endStep(life) {
			return
		}
	}
}

// beginStep fills the batch and returns how long the step takes.
func (e *Engine) beginStep(life context.Context) (time.Duration, bool) {
	f := e.Faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return 0, false
	}
	e.dropIdle()
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	if e.poisoned(f.Poison) {
		// The lock is held, so a crash of the process loses nothing more.
		if e.crash != nil {
			e.crash()
		}
		e.restart()
		return 0, false
	}
	return e.stepTime(f.Factor), true
}

func (e *Engine) poisoned(text string) bool {
	for _, g := range e.running {
		if text != "" && strings.Contains(g.request.Prompt, text) {
			return true
		}
	}
	return false
}

// admit moves waiting requests into the batch while slots and memory last.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.Batch {
		g := e.waiting[0]
		if !e.makeRoom(g.flight) {
			return
		}
		e.waiting = e.waiting[1:]
		e.memory.flight += g.flight
		cached := e.cache.hit(g.request.Model, g.prefixes)
		g.prefill = max(promptTokens(g.request.Prompt)-cached, 1) + g.request.SkipTokens
		e.running = append(e.running, g)
		e.ran[g.request.ID]++
		e.journal.add(Line{Name: e.name, Request: g.request.ID})
		e.check("request " + g.request.ID)
		e.changed()
	}
}

// makeRoom evicts cached prefixes until some KB are free.
func (e *Engine) makeRoom(need int64) bool {
	for e.memory.room() < need {
		gone, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.lose(gone)
	}
	return true
}

func (e *Engine) lose(gone cacheEntry) {
	e.memory.cached -= gone.size
	e.events.add(gone.cacheKey, true, e.clock.Now().UnixNano(), e.Faults().EventGap)
}

func (e *Engine) forget(model string) {
	for _, gone := range e.cache.forget(model) {
		e.lose(gone)
	}
}

// stepTime works prompt tokens off, in the order of the batch, and returns
// how long the step takes. An engine for one half of the work does it in half
// the time and the other half in double.
func (e *Engine) stepTime(factor float64) time.Duration {
	left := e.settings.Chunk
	worked := 0
	for _, g := range e.running {
		n := min(g.prefill, left)
		g.prefill -= n
		left -= n
		worked += n
	}
	decode := e.settings.Step + time.Duration(len(e.running))*e.settings.StepEach
	prefill := time.Duration(worked) * e.settings.Prefill
	switch e.role {
	case driver.RolePrefill:
		decode *= 2
		prefill /= 2
	case driver.RoleDecode:
		decode /= 2
		prefill *= 2
	}
	d := decode + prefill
	if factor > 0 {
		d = time.Duration(float64(d) * factor)
	}
	return d
}

// endStep gives each running request its token.
func (e *Engine) endStep(life context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life.Err() != nil {
		return false
	}
	var rest []*generation
	for _, g := range e.running {
		if g.lost {
			continue
		}
		if g.prefill > 0 {
			rest = append(rest, g)
			continue
		}
		if g.produced == g.request.SkipTokens {
			e.remember(g)
		}
		g.produced++
		if !g.ended() {
			rest = append(rest, g)
			g.wake()
			continue
		}
		e.memory.flight -= g.flight
		g.idle = e.clock.Now()
		load := e.load()
		load.Running = len(e.running) - 1
		g.tokens[g.produced-1].Load = &load
		g.wake()
	}
	ended := len(rest) < len(e.running)
	e.running = rest
	if ended {
		e.changed()
	}
	return true
}

// remember caches the blocks of a prompt, the shortest prefix first.
func (e *Engine) remember(g *generation) {
	tokens := driver.PrefixBlock / bytesInToken
	size := int64(tokens) * e.settings.TokenKB
	for i, p := range g.prefixes {
		k := cacheKey{g.request.Model, p}
		if _, ok := e.cache.get(k); !ok && !e.makeRoom(size) {
			return
		}
		e.keep(cacheEntry{cacheKey: k, tokens: (i + 1) * tokens, size: size})
	}
}

func (e *Engine) keep(entry cacheEntry) {
	if !e.cache.add(entry) {
		return
	}
	e.memory.cached += entry.size
	e.events.add(entry.cacheKey, false, e.clock.Now().UnixNano(), e.Faults().EventGap)
}

// cancel ends a generation early.
func (e *Engine) cancel(g *generation) {
	if !g.ended() && !g.lost {
		g.lost = true
		e.release(g)
	}
	delete(e.known, g.request.ID)
	g.wake()
	e.changed()
}

// release takes a generation that has not ended out of the batch or queue.
func (e *Engine) release(g *generation) {
	for i, r := range e.running {
		if r == g {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.memory.flight -= g.flight
			return
		}
	}
	for i, w := range e.waiting {
		if w == g {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

// dropIdle ends the generations that nobody has read for too long. It looks
// at all of them, so it does that in every tenth of that time only.
func (e *Engine) dropIdle() {
	now := e.clock.Now()
	if now.Sub(e.dropped) < e.settings.Keep/10 {
		return
	}
	e.dropped = now
	oldest := now.Add(-e.settings.Keep)
	for _, g := range e.known {
		if g.readers == 0 && g.idle.Before(oldest) {
			e.cancel(g)
		}
	}
}
