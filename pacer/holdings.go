package pacer

import (
	"time"

	"primrosehook/balancer"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

// holdings is what a server holds of prompts, as far as its prompts were reserved here.
type holdings struct {
	cache reuser.Cache
	// server is the latest registration, without an ID until there is one.
	server registrar.Server
}

// UpdateServers replaces the registrations of all servers. What was held by servers that are gone or
// have started again is dropped, and what was held for weights that are not loaded any more.
func (p *Pacer) UpdateServers(list []registrar.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.holdings) == 0 {
		return
	}
	registered := make(map[string]bool, len(p.holdings))
	for _, s := range list {
		h, ok := p.holdings[s.Incarnation]
		if !ok || h.server.ID != "" && balancer.StartedAgain(h.server, s) {
			continue
		}
		registered[s.Incarnation] = true
		h.retainLoaded(s)
		h.server = s
	}
	for incarnation := range p.holdings {
		if !registered[incarnation] {
			delete(p.holdings, incarnation)
		}
	}
}

// retainLoaded drops what is held for weights that a registration does not list, or lists in another
// version than the registration before: the model was unloaded in between.
func (h *holdings) retainLoaded(s registrar.Server) {
	versions := map[string]int64{}
	for _, l := range h.server.Loaded {
		versions[l.Model] = l.Version
	}
	type weights struct{ model, adapter uint32 }
	loaded := map[weights]bool{}
	for _, l := range s.Loaded {
		if version, ok := versions[l.Model]; ok && version != l.Version {
			continue
		}
		m, _ := reuser.Weights(l.Model, "")
		loaded[weights{m, 0}] = true
		for _, name := range l.Adapters {
			_, a := reuser.Weights(l.Model, name)
			loaded[weights{m, a}] = true
		}
	}
	h.cache.Retain(func(model, adapter uint32) bool { return loaded[weights{model, adapter}] })
}

// prefillTokens returns how many tokens of a prompt have to be prefilled, by the sender's estimate if
// the parts or the capacity of the server's cache are not known. stated is Reservation.StatedHeld. p.mu
// must be held.
func (p *Pacer) prefillTokens(now time.Time, q reserveRequest) (tokens, stated int) {
	if q.Prompt == nil || q.FreeCache <= 0 {
		return q.Tokens, 0
	}
	tokens = q.Prompt.Tokens()
	h, ok := p.holdings[q.Incarnation]
	if !ok {
		return tokens, 0
	}
	held, known := h.cache.Held(now, q.Prompt)
	if !known {
		return tokens, 0
	}
	return tokens - held, held + 1
}

// recordPrompt records that a prompt is sent to a server, which evicts others for it. Prompts without
// a prefix are recorded only for servers that get others, too. p.mu must be held.
func (p *Pacer) recordPrompt(now time.Time, q reserveRequest) {
	h, ok := p.holdings[q.Incarnation]
	if q.Prompt == nil {
		if ok {
			h.cache.AddUnnamed(now, q.Tokens, h.freeCache(q))
		}
		return
	}
	if !ok {
		p.dropOldHoldings(now)
		h = &holdings{}
		p.holdings[q.Incarnation] = h
	}
	h.cache.Add(now, q.Prompt, h.freeCache(q))
}

// freeCache returns the capacity for held parts that a request states, and the one before if it
// states none.
func (h *holdings) freeCache(q reserveRequest) int {
	if q.FreeCache > 0 {
		return q.FreeCache
	}
	return h.cache.Capacity()
}

// dropOldHoldings drops the holdings of servers without recent prompts if there are maxSchedules or
// more.
func (p *Pacer) dropOldHoldings(now time.Time) {
	if len(p.holdings) < maxSchedules {
		return
	}
	for incarnation, h := range p.holdings {
		if h.cache.Idle(now) {
			delete(p.holdings, incarnation)
		}
	}
}
