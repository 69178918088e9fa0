package faker

import (
	"container/list"

	"primrosehook/driver"
)

// cacheKey names one cached prefix.
type cacheKey struct {
	model  string
	prefix uint64
}

// cacheEntry is one cached block: the prefix that ends with it.
type cacheEntry struct {
	cacheKey
	// tokens is the length of the whole prefix, size the KB of this entry.
	tokens int
	size   int64
}

// cache holds prefixes, the least recently used last.
type cache struct {
	order *list.List
	index map[cacheKey]*list.Element
	size  int64
}

func newCache() *cache {
	return &cache{order: list.New(), index: map[cacheKey]*list.Element{}}
}

// hit returns how many tokens of a prompt are cached, and marks them as used.
func (c *cache) hit(model string, prefixes []uint64) int {
	tokens := 0
	for _, p := range prefixes {
		el, ok := c.index[cacheKey{model, p}]
		if !ok {
			continue
		}
		c.order.MoveToFront(el)
		tokens = max(tokens, el.Value.(*cacheEntry).tokens)
	}
	return tokens
}

func (c *cache) get(k cacheKey) (*cacheEntry, bool) {
	el, ok := c.index[k]
	if !ok {
		return nil, false
	}
	return el.Value.(*cacheEntry), true
}

// add puts an entry in front and reports whether it is new.
func (c *cache) add(e cacheEntry) bool {
	if el, ok := c.index[e.cacheKey]; ok {
		c.order.MoveToFront(el)
		return false
	}
	c.index[e.cacheKey] = c.order.PushFront(&e)
	c.size += e.size
	return true
}

// evict drops the least recently used entry.
func (c *cache) evict() (cacheEntry, bool) {
	el := c.order.Back()
	if el == nil {
		return cacheEntry{}, false
	}
	return c.remove(el), true
}

// forget drops all entries of a model.
func (c *cache) forget(model string) []cacheEntry {
	var gone []cacheEntry
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(*cacheEntry).model == model {
			gone = append(gone, c.remove(el))
		}
		el = next
	}
	return gone
}

func (c *cache) remove(el *list.Element) cacheEntry {
	e := c.order.Remove(el).(*cacheEntry)
	delete(c.index, e.cacheKey)
	c.size -= e.size
	return *e
}

// events are the cache events of an engine: late, and with gaps.
type events struct {
	seq  int64
	kept []timedEvent
}

type timedEvent struct {
	driver.CacheEvent
	// at is when it happened, in nanoseconds of the engine's clock.
	at int64
}

// maxEvents bounds the events that are kept.
const maxEvents = 4096

// add notes an event. With a gap of n, every n-th event is lost, though its
// number is used up.
func (v *events) add(k cacheKey, gone bool, at int64, gap int) {
	v.seq++
	if gap > 0 && v.seq%int64(gap) == 0 {
		return
	}
	e := driver.CacheEvent{Seq: v.seq, Prefix: k.prefix, Model: k.model, Evicted: gone}
	v.kept = append(v.kept, timedEvent{CacheEvent: e, at: at})
	if len(v.kept) > maxEvents {
		v.kept = append([]timedEvent(nil), v.kept[maxEvents/4:]...)
	}
}

// after returns the events after a number that happened before a time.
func (v *events) after(seq, before int64) []driver.CacheEvent {
	out := []driver.CacheEvent{}
	for _, e := range v.kept {
		if e.Seq > seq && e.at <= before {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
