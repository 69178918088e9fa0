package router

import "primrosehook/lister"

// prefixes estimates which prompt prefixes an engine has cached. Cache events
// arrive late and some are lost, so entries must age out: hashes are kept in two
// generations, and a full young generation replaces the old one. An LRU list
// would cost two pointers per hash and be no more accurate, since the engine's
// own evictions are not all seen.
type prefixes struct {
	young map[uint64]struct{}
	old   map[uint64]struct{}
}

// maxGenerationSize is the maximum number of hashes in a generation.
const maxGenerationSize = 4096

func (p *prefixes) add(hashes []uint64) {
	if p.young == nil {
		p.young = map[uint64]struct{}{}
	}
	for _, h := range hashes {
		p.young[h] = struct{}{}
	}
	if len(p.young) >= maxGenerationSize {
		p.old = p.young
		p.young = map[uint64]struct{}{}
	}
}

func (p *prefixes) remove(hash uint64) {
	delete(p.young, hash)
	delete(p.old, hash)
}

func (p *prefixes) has(hash uint64) bool {
	if _, ok := p.young[hash]; ok {
		return true
	}
	_, ok := p.old[hash]
	return ok
}

// countCached returns how many of a prompt's prefixes are estimated to be cached.
// The hashes are ordered from the shortest prefix, so the longest match decides.
func (p *prefixes) countCached(hashes []uint64) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if p.has(hashes[i]) {
			return i + 1
		}
	}
	return 0
}

func (e *engine) isLeaving() bool { return e.State == lister.StateLeaving }
