package serviceplanner

import (
	"maps"
	"slices"
	"strings"
)

// Why a model or adapter in demand that no server has loaded is not ordered.
const (
	ReasonUnderWay = "load under way"
	// ReasonColdLoads: only servers without a copy of the weights take orders, and no further load
	// from the weight store may start.
	ReasonColdLoads = "no load from the weight store may start"
	// ReasonBusy, ReasonLate and ReasonFailed say why no suited server takes an order: the first of
	// them that applies to any of these servers.
	ReasonBusy    = "servers carry out other orders"
	ReasonLate    = "orders to former processes of the servers may still be executed"
	ReasonFailed  = "orders to the servers failed a moment ago"
	ReasonNoRoom  = "no replica may make room"
	ReasonNoModel = "its model is not loaded"
	ReasonNoSlot  = "adapters in as much demand take all slots"
)

// Option configures Plan.
type Option func(*planner)

// WithAbsent makes Plan call a function with each model and adapter in demand that no server has
// loaded, and the reason why it is not.
func WithAbsent(report func(key, reason string)) Option {
	return func(p *planner) { p.reportAbsent = report }
}

// explainAbsent reports what is in demand and not loaded.
func (p *planner) explainAbsent() {
	if p.reportAbsent == nil {
		return
	}
	keys := map[string]bool{}
	for key, d := range p.Demand {
		keys[key] = d > 0
	}
	for key, n := range p.Waiting {
		keys[key] = keys[key] || n > 0
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		model, adapter, _ := strings.Cut(key, "/")
		if keys[key] && !slices.ContainsFunc(p.servers, func(s *server) bool { return has(s.Loaded, model, adapter) }) {
			p.reportAbsent(key, p.reasonAbsent(model, adapter))
		}
	}
}

// has reports whether a model, and unless it is empty an adapter, is among those loaded.
func has(loaded map[string][]string, model, adapter string) bool {
	adapters, ok := loaded[model]
	return ok && (adapter == "" || slices.Contains(adapters, adapter))
}

// reasonAbsent returns why a model or adapter is not loaded.
func (p *planner) reasonAbsent(model, adapter string) string {
	suited, idle, warm := false, false, false
	busy := ReasonFailed
	for _, s := range p.servers {
		if has(s.planned, model, adapter) {
			return ReasonUnderWay
		}
		if adapter != "" && !has(s.planned, model, "") {
			continue
		}
		suited = true
		switch {
		case !s.Late && !s.Failed:
			busy = ReasonBusy
		case s.Late && busy != ReasonBusy:
			busy = ReasonLate
		}
		// s.Busy is also set for servers that this plan gives an order.
		idle = idle || !s.Busy
		warm = warm || !s.Busy && s.Warm[model]
	}
	switch {
	case !suited && adapter != "":
		return ReasonNoModel
	case !idle:
		return busy
	case adapter != "":
		return ReasonNoSlot
	case !warm && p.ColdLoads <= 0:
		return ReasonColdLoads
	}
	return ReasonNoRoom
}
