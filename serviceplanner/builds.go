package serviceplanner

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// BuildKey names a model or adapter at the servers of one build.
type BuildKey struct{ Key, Build string }

// loadMissingAtBuilds loads what requests wait for at one build, if fewer than two servers of
// that build have it loaded: a single one is excluded, since it broke the stream, or it is
// down.
func (p *planner) loadMissingAtBuilds() {
	needs := slices.SortedFunc(maps.Keys(p.WaitingBuilds), func(a, b BuildKey) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Build, b.Build))
	})
	for _, n := range needs {
		model, adapter, _ := strings.Cut(n.Key, "/")
		if _, ok := p.Engine.Models[model]; !ok {
			continue
		}
		replicas, adapters := 0, 0
		for _, s := range p.servers {
			list, ok := s.planned[model]
			switch {
			case !ok || !s.runs(n.Build):
			case slices.Contains(list, adapter):
				adapters++
				replicas++
			default:
				replicas++
			}
		}
		switch {
		case replicas < 2 && p.addReplica(model, n.Build, "requests wait for the model at a build", (*planner).anyVictim):
		case adapter != "" && adapters < min(replicas, 2):
			p.loadAdapter(model, adapter, n.Build, true)
		}
	}
}

// runs reports whether a server runs a build, which is empty for any.
func (s *server) runs(build string) bool { return build == "" || s.Build == build }
