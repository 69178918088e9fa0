package faker

import (
	"context"
	"sort"
	"strings"
	"time"

	"primrosehook/driver"
)

// generation is one request at an engine with the tokens of its answer.
type generation struct {
	// bootCtx is canceled when the engine's boot ends.
	bootCtx context.Context
	request driver.Request
	tokens  []driver.Token
	// produced is how many of the tokens may be read.
	produced int
	// prefill is how many prompt tokens are still to be prefilled.
	prefill int
	// cacheKB is the KV cache that the request takes from the reserve.
	cacheKB  int64
	prefixes []uint64
	// updated is closed and replaced when there are new tokens to read or the
	// generation is canceled.
	updated chan struct{}
	// canceled says that no more tokens are produced although the last was not.
	canceled bool
	// readers is how many connections read the stream. idleSince is when the
	// last of them left.
	readers   int
	idleSince time.Time
}

func (g *generation) ended() bool { return g.produced == len(g.tokens) }

func (g *generation) notify() {
	close(g.updated)
	g.updated = make(chan struct{})
}

// enqueue queues a request behind those of the same or a higher priority, and
// starts the batch loop if it is not running.
func (e *Engine) enqueue(g *generation) {
	e.generations[g.request.ID] = g
	e.waiting = append(e.waiting, g)
	sort.SliceStable(e.waiting, func(i, j int) bool {
		return e.waiting[i].request.Priority > e.waiting[j].request.Priority
	})
	if !e.stepping {
		e.stepping = true
		go e.loopSteps(e.bootCtx)
	}
	e.recordReport()
}

// loopSteps runs steps until no request is left or the boot ends.
func (e *Engine) loopSteps(bootCtx context.Context) {
	for {
		e.waitWhileFrozen(bootCtx)
		d, more := e.beginStep(bootCtx)
		if !more || sleep(bootCtx, e.clock, d) != nil {
			return
		}
		e.waitWhileFrozen(bootCtx)
		if !e.endStep(bootCtx) {
			return
		}
	}
}

// beginStep fills the batch and returns the duration of the step. It returns
// false if there is nothing to run or the boot has ended.
func (e *Engine) beginStep(bootCtx context.Context) (time.Duration, bool) {
	f := e.Faults()
	e.mu.Lock()
	defer e.mu.Unlock()
	if bootCtx.Err() != nil {
		return 0, false
	}
	e.dropIdle()
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return 0, false
	}
	if e.poisoned(f.Poison) {
		// mu is held, so a crash of the process loses no other change.
		if e.crash != nil {
			e.crash()
		}
		e.restart()
		return 0, false
	}
	return e.stepTime(f.SlowdownFactor), true
}

func (e *Engine) poisoned(text string) bool {
	for _, g := range e.running {
		if text != "" && strings.Contains(g.request.Prompt, text) {
			return true
		}
	}
	return false
}

// admit moves queued requests into the batch while it has slots and memory.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxRunning {
		g := e.waiting[0]
		if !e.makeRoom(g.cacheKB) {
			return
		}
		e.waiting = e.waiting[1:]
		e.memory.inFlight += g.cacheKB
		cached := e.cache.hit(g.request.Model, g.prefixes)
		g.prefill = max(promptTokens(g.request.Prompt)-cached, 1) + g.request.SkipTokens
		e.running = append(e.running, g)
		e.ran[g.request.ID]++
		e.journal.add(Line{Name: e.name, Request: g.request.ID})
		e.checkMemory("request " + g.request.ID)
		e.recordReport()
	}
}

// makeRoom evicts cached prefixes until need KB of the reserve are free. It
// returns false if that is not possible.
func (e *Engine) makeRoom(need int64) bool {
	for e.memory.freeReserve() < need {
		evicted, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.recordEviction(evicted)
	}
	return true
}

func (e *Engine) recordEviction(entry cacheEntry) {
	e.memory.cached -= entry.size
	e.events.add(entry.cacheKey, true, e.clock.Now().UnixNano(), e.Faults().DropEveryNthEvent)
}

func (e *Engine) evictModel(model string) {
	for _, removed := range e.cache.removeModel(model) {
		e.recordEviction(removed)
	}
}

// stepTime prefills prompt tokens, in the order of the batch, and returns the
// duration of the step. An engine with the prefill or the decode role does its
// own kind of work in half the time and the other in twice the time.
func (e *Engine) stepTime(factor float64) time.Duration {
	left := e.settings.PrefillTokensPerStep
	worked := 0
	for _, g := range e.running {
		n := min(g.prefill, left)
		g.prefill -= n
		left -= n
		worked += n
	}
	decode := e.settings.StepTime + time.Duration(len(e.running))*e.settings.StepTimePerRequest
	prefill := time.Duration(worked) * e.settings.PrefillTimePerToken
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

// endStep produces a token for each running request that is prefilled. It
// returns false if the boot has ended.
func (e *Engine) endStep(bootCtx context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if bootCtx.Err() != nil {
		return false
	}
	var rest []*generation
	for _, g := range e.running {
		if g.canceled {
			continue
		}
		if g.prefill > 0 {
			rest = append(rest, g)
			continue
		}
		if g.produced == g.request.SkipTokens {
			e.cachePrompt(g)
		}
		g.produced++
		if !g.ended() {
			rest = append(rest, g)
			g.notify()
			continue
		}
		e.memory.inFlight -= g.cacheKB
		g.idleSince = e.clock.Now()
		load := e.load()
		load.Running = len(e.running) - 1
		g.tokens[g.produced-1].Load = &load
		g.notify()
	}
	ended := len(rest) < len(e.running)
	e.running = rest
	if ended {
		e.recordReport()
	}
	return true
}

// cachePrompt caches the prefixes of a prompt, the shortest first, while there
// is room.
func (e *Engine) cachePrompt(g *generation) {
	tokens := driver.PrefixBlock / bytesPerToken
	size := int64(tokens) * e.settings.TokenKB
	for i, p := range g.prefixes {
		k := cacheKey{g.request.Model, p}
		if _, ok := e.cache.get(k); !ok && !e.makeRoom(size) {
			return
		}
		e.addCacheEntry(cacheEntry{cacheKey: k, tokens: (i + 1) * tokens, size: size})
	}
}

func (e *Engine) addCacheEntry(entry cacheEntry) {
	if !e.cache.add(entry) {
		return
	}
	e.memory.cached += entry.size
	e.events.add(entry.cacheKey, false, e.clock.Now().UnixNano(), e.Faults().DropEveryNthEvent)
}

// cancel ends a generation early and removes it.
func (e *Engine) cancel(g *generation) {
	if !g.ended() && !g.canceled {
		g.canceled = true
		e.release(g)
	}
	delete(e.generations, g.request.ID)
	g.notify()
	e.recordReport()
}

// release removes a generation that has not ended from the batch or the queue.
func (e *Engine) release(g *generation) {
	for i, r := range e.running {
		if r == g {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			e.memory.inFlight -= g.cacheKB
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

// dropIdle cancels the generations that had no reader for longer than ResumeTimeout. It
// iterates over all of them, so it does this only once every tenth of ResumeTimeout.
func (e *Engine) dropIdle() {
	now := e.clock.Now()
	if now.Sub(e.lastIdleCheck) < e.settings.ResumeTimeout/10 {
		return
	}
	e.lastIdleCheck = now
	oldest := now.Add(-e.settings.ResumeTimeout)
	for _, g := range e.generations {
		if g.readers == 0 && g.idleSince.Before(oldest) {
			e.cancel(g)
		}
	}
}
