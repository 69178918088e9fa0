package reuser

import (
	"container/list"
	"time"
)

const (
	// minObserved is for how long an owner must have seen the prompts of a server before it states
	// what the server holds. In that time a server that reads five prompts a second evicts what is
	// not used again.
	minObserved = 3 * time.Second
	// maxIdle is the longest time between two prompts after which what was seen before still
	// counts. The prompts may have been reserved with another owner meanwhile.
	maxIdle = 5 * time.Second
	// maxEntries bounds the memory of a Cache to about 150 KB. A cache of 80,000 tokens holds some
	// 300 parts of the usual sizes.
	maxEntries = 1024
)

// entry is a part that the server holds together with all parts before it.
type entry struct {
	chain          uint64
	model, adapter uint32
	tokens         int
}

// Cache is what one incarnation of a server holds, by the prompts that were sent to it. The zero
// value is an empty cache that has seen no prompts.
type Cache struct {
	// order has the most recently used entry in front.
	order      list.List
	index      map[uint64]*list.Element
	tokens     int
	since      time.Time
	lastPrompt time.Time
	unnamed    uint64
	capacity   int
}

// Held returns how many tokens of a prompt need no prefill. It reports false, and no tokens, if the
// prompts to the server have not been seen for long enough.
func (c *Cache) Held(now time.Time, p *Prompt) (tokens int, known bool) {
	if c.since.IsZero() || c.Idle(now) || now.Sub(c.since) < minObserved {
		return 0, false
	}
	chain := p.root()
	for _, part := range p.Parts {
		chain = next(chain, part.Hash)
		element, ok := c.index[chain]
		if !ok {
			break
		}
		// Another prompt may have stated another number of tokens for the part.
		tokens += min(element.Value.(*entry).tokens, max(part.Tokens, 0))
	}
	return tokens, true
}

// Add records that a prompt is sent to the server, which then holds its parts and evicts the least
// recently used ones beyond a capacity in tokens.
func (c *Cache) Add(now time.Time, p *Prompt, capacity int) {
	c.observe(now)
	chain := p.root()
	var chains [MaxParts]uint64
	parts := p.Parts[:min(len(p.Parts), MaxParts)]
	for i, part := range parts {
		chain = next(chain, part.Hash)
		chains[i] = chain
	}
	// A part is of no use without those before it, so these are evicted after it.
	for i := len(parts) - 1; i >= 0; i-- {
		c.use(entry{chain: chains[i], model: p.Model, adapter: p.Adapter, tokens: max(parts[i].Tokens, 0)})
	}
	c.evict(capacity)
}

// AddUnnamed records that a prompt whose parts are not known is sent to the server.
func (c *Cache) AddUnnamed(now time.Time, tokens, capacity int) {
	c.observe(now)
	c.unnamed++
	c.use(entry{chain: c.unnamed, tokens: max(tokens, 0)})
	c.evict(capacity)
}

// Capacity returns the capacity as of the latest prompt.
func (c *Cache) Capacity() int { return c.capacity }

// Idle reports whether what was seen does not count any more.
func (c *Cache) Idle(now time.Time) bool { return now.Sub(c.lastPrompt) > maxIdle }

// Retain drops the parts that are held for models and adapters that are not loaded.
func (c *Cache) Retain(loaded func(model, adapter uint32) bool) {
	c.remove(func(e *entry) bool { return e.model != 0 && !loaded(e.model, e.adapter) })
}

// Weights returns the hashes of a model and an adapter, as Retain passes them.
func Weights(model, adapter string) (m, a uint32) { return hash(model), hash(adapter) }

// observe records that a prompt is seen. What was seen before a pause of more than maxIdle is
// dropped.
func (c *Cache) observe(now time.Time) {
	if c.since.IsZero() || c.Idle(now) {
		c.since, c.tokens, c.index = now, 0, map[uint64]*list.Element{}
		c.order.Init()
	}
	c.lastPrompt = now
}

func (c *Cache) use(e entry) {
	if element, ok := c.index[e.chain]; ok {
		held := element.Value.(*entry)
		c.tokens += e.tokens - held.tokens
		held.tokens = e.tokens
		c.order.MoveToFront(element)
		return
	}
	c.index[e.chain] = c.order.PushFront(&e)
	c.tokens += e.tokens
}

func (c *Cache) evict(capacity int) {
	c.capacity = capacity
	for c.order.Len() > 0 && (c.tokens > capacity || c.order.Len() > maxEntries) {
		c.drop(c.order.Back())
	}
}

func (c *Cache) remove(gone func(*entry) bool) {
	for element := c.order.Front(); element != nil; {
		following := element.Next()
		if gone(element.Value.(*entry)) {
			c.drop(element)
		}
		element = following
	}
}

func (c *Cache) drop(element *list.Element) {
	e := c.order.Remove(element).(*entry)
	delete(c.index, e.chain)
	c.tokens -= e.tokens
}
