package registrar

import "time"

// replacementTTL is how long a server that is not registered any more is remembered.
const replacementTTL = time.Minute

// Replacements finds the incarnations of servers that have ended without a word: another
// one is registered with their ID or at their address. The zero value is not valid. It is
// not safe for concurrent use.
type Replacements struct {
	byAddress, byID map[string]seenServer
}

// seenServer is a server that is or was registered.
type seenServer struct {
	incarnation string
	startedAt   time.Time
	draining    bool
	at          time.Time
}

// NewReplacements returns a Replacements that knows no servers.
func NewReplacements() *Replacements {
	return &Replacements{byAddress: map[string]seenServer{}, byID: map[string]seenServer{}}
}

// Update takes the registered servers and returns the incarnations that have been replaced
// since the last call. Those that were draining are left out: they ended as planned.
func (r *Replacements) Update(now time.Time, servers []Server) []string {
	var replaced []string
	for _, s := range servers {
		seen := seenServer{incarnation: s.Incarnation, startedAt: s.StartedAt, draining: s.Draining, at: now}
		byAddress := replace(r.byAddress, s.Address, seen)
		byID := replace(r.byID, s.ID, seen)
		if byAddress != "" {
			replaced = append(replaced, byAddress)
		}
		if byID != "" && byID != byAddress {
			replaced = append(replaced, byID)
		}
	}
	for _, m := range []map[string]seenServer{r.byAddress, r.byID} {
		for key, s := range m {
			if now.Sub(s.at) >= replacementTTL {
				delete(m, key)
			}
		}
	}
	return replaced
}

// replace records a server under a key, unless the one there started later. It returns the
// incarnation that it has replaced, empty if there is none, or if that was draining or did
// not start earlier as far as is known.
func replace(m map[string]seenServer, key string, s seenServer) string {
	old, ok := m[key]
	if ok && s.startedAt.Before(old.startedAt) {
		return ""
	}
	m[key] = s
	if !ok || old.draining || !s.startedAt.After(old.startedAt) {
		return ""
	}
	return old.incarnation
}
