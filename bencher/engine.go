package bencher

import (
	"cmp"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"primrosehook/driver"
	"primrosehook/lister"
)

// Parameters of an engine's iterations. An iteration generates one token for each
// running request whose prompt is prefilled, and prefills up to prefillChunk bytes
// of the other prompts.
const (
	stepBase     = 18 * time.Millisecond
	stepRequest  = 600 * time.Microsecond
	prefillByte  = 30 * time.Microsecond
	prefillChunk = 4096
	// serviceStep is the iteration time of a plain service, which answers within
	// a few iterations.
	serviceStep = 4 * time.Millisecond
)

// job is a request inside an engine. prefill is the number of prompt bytes that are
// still to be prefilled, out the number of generated tokens.
type job struct {
	*call
	seq     int
	prefill int
	out     int
}

// engine simulates an engine with continuous batching by priority, a prefix cache
// with LRU eviction, and memory for weights. A plain engine simulates a server of a
// plain service.
type engine struct {
	lister.Instance
	boot    int
	total   int64
	reserve int64
	batch   int
	plain   bool
	up      bool
	// down is when the engine last went down.
	down      time.Duration
	residents map[driver.Weights]*driver.LoadedWeights
	order     []driver.Weights
	running   []*job
	waiting   jobHeap
	stepping  bool
	seq       int
	cache     cache
	busy      bool
	// overcommits counts the placements that overcommitted the memory.
	overcommits int
}

func (e *engine) load() driver.Load {
	return driver.Load{Running: len(e.running), Waiting: len(e.waiting), UsedMB: e.used()}
}

func (e *engine) used() int64 {
	sum := e.reserve
	for _, r := range e.residents {
		sum += r.MemoryMB
	}
	return sum
}

// place adds weights or changes the state of weights that are already there.
func (e *engine) place(w driver.Weights, memory int64, state string) {
	if _, ok := e.residents[w]; !ok {
		e.order = append(e.order, w)
	}
	e.residents[w] = &driver.LoadedWeights{Weights: w, State: state, MemoryMB: memory}
	if e.used() > e.total {
		e.overcommits++
	}
}

func (e *engine) drop(w driver.Weights) {
	delete(e.residents, w)
	e.order = slices.DeleteFunc(e.order, func(x driver.Weights) bool { return x == w })
}

func (e *engine) has(w driver.Weights) bool {
	r, ok := e.residents[w]
	return ok && r.State == driver.StateReady
}

// serves reports whether the weights of a request, and the model of an adapter, are
// ready.
func (e *engine) serves(w driver.Weights) bool {
	return e.has(w) && e.has(driver.Weights{Model: w.Model})
}

func (e *engine) report() driver.Report {
	r := driver.Report{
		Engine: e.Name, Load: e.load(), TotalMB: e.total, ReserveMB: e.reserve, MaxBatch: e.batch,
		Incarnation: string(rune('a' + e.boot%26)),
	}
	for _, w := range e.order {
		r.Loaded = append(r.Loaded, *e.residents[w])
	}
	return r
}

// iterate starts an iteration and returns its duration and the jobs that receive a
// token at its end.
func (e *engine) iterate() (time.Duration, []*job) {
	for len(e.running) < e.batch && len(e.waiting) > 0 {
		j := heap.Pop(&e.waiting).(*job)
		j.prefill = j.Prompt - e.cache.match(j.Prefixes)*driver.PrefixBlock
		j.prefill = max(j.prefill, driver.PrefixBlock)
		e.running = append(e.running, j)
	}
	budget := prefillChunk
	var tokens []*job
	for _, j := range e.running {
		if j.prefill > 0 {
			part := min(j.prefill, budget)
			j.prefill -= part
			budget -= part
		}
		if j.prefill == 0 {
			tokens = append(tokens, j)
		}
	}
	step := stepBase + time.Duration(len(e.running))*stepRequest + time.Duration(prefillChunk-budget)*prefillByte
	if e.plain {
		step = serviceStep
	}
	return step, tokens
}

// jobHeap orders the queued jobs by priority, then by arrival.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].Priority, h[i].Priority), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	*h = (*h)[:last]
	return j
}

// cache is an LRU set of prefix block hashes.
type cache struct {
	size    int
	entries map[uint64]*list.Element
	recent  *list.List
}

func newCache(size int) cache {
	return cache{size: size, entries: map[uint64]*list.Element{}, recent: list.New()}
}

// match returns the number of leading blocks of a prompt that are cached, and marks
// them as used.
func (c *cache) match(hashes []uint64) int {
	for i, h := range hashes {
		e, ok := c.entries[h]
		if !ok {
			return i
		}
		c.recent.MoveToFront(e)
	}
	return len(hashes)
}

// add caches a prompt's blocks and returns the hashes that were added and those
// that were evicted.
func (c *cache) add(hashes []uint64) (added, evicted []uint64) {
	for _, h := range hashes {
		if _, ok := c.entries[h]; ok {
			continue
		}
		c.entries[h] = c.recent.PushFront(h)
		added = append(added, h)
	}
	for c.recent.Len() > c.size {
		last := c.recent.Back()
		h := c.recent.Remove(last).(uint64)
		delete(c.entries, h)
		evicted = append(evicted, h)
	}
	return added, evicted
}
