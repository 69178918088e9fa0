package faker

import (
	"container/list"

	"primrosehook/driver"
)

// cacheKey identifies a cached prefix.
type cacheKey struct {
	model  string
	prefix uint64
}

// cacheEntry is one cached block and the prefix that ends with it.
type cacheEntry struct {
	cacheKey
	// tokens is the length of the whole prefix, size that of this block in KB.
	tokens int
	size   int64
}

// cache is an LRU cache of prefixes; order has the least recently used last.
type cache struct {
	order *list.List
	index map[cacheKey]*list.Element
	size  int64
}

func newCache() *cache {
	return &cache{order: list.New(), index: map[cacheKey]*list.Element{}}
}

// hit returns how many tokens of a prompt are cached, and marks its prefixes as
// used.
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

// add adds an entry, or marks it as used, and reports whether it is new.
func (c *cache) add(e cacheEntry) bool {
	if el, ok := c.index[e.cacheKey]; ok {
		c.order.MoveToFront(el)
		return false
	}
	c.index[e.cacheKey] = c.order.PushFront(&e)
	c.size += e.size
	return true
}

// evict removes the least recently used entry. It returns false if there is
// none.
func (c *cache) evict() (cacheEntry, bool) {
	el := c.order.Back()
	if el == nil {
		return cacheEntry{}, false
	}
	return c.remove(el), true
}

// removeModel removes all entries of a model and returns them.
func (c *cache) removeModel(model string) []cacheEntry {
	var removed []cacheEntry
	for el := c.order.Front(); el != nil; {
		next := el.Next()
		if el.Value.(*cacheEntry).model == model {
			removed = append(removed, c.remove(el))
		}
		el = next
	}
	return removed
}

func (c *cache) remove(el *list.Element) cacheEntry {
	e := c.order.Remove(el).(*cacheEntry)
	delete(c.index, e.cacheKey)
	c.size -= e.size
	return *e
}

// events are the recent cache events of an engine.
type events struct {
	seq    int64
	recent []timedEvent
}

type timedEvent struct {
	driver.CacheEvent
	// at is the time of the event by the engine's clock, in Unix nanoseconds.
	at int64
}

// maxEvents is how many events are kept.
const maxEvents = 4096

// add records an event. With a gap of n, every n-th event is dropped but uses
// up its sequence number; zero means no gap.
func (v *events) add(k cacheKey, evicted bool, at int64, gap int) {
	v.seq++
	if gap > 0 && v.seq%int64(gap) == 0 {
		return
	}
	e := driver.CacheEvent{Seq: v.seq, Prefix: k.prefix, Model: k.model, Evicted: evicted}
	v.recent = append(v.recent, timedEvent{CacheEvent: e, at: at})
	if len(v.recent) > maxEvents {
		v.recent = append([]timedEvent(nil), v.recent[maxEvents/4:]...)
	}
}

// after returns the events with a sequence number above seq that happened at
// or before a time in Unix nanoseconds.
func (v *events) after(seq, before int64) []driver.CacheEvent {
	out := []driver.CacheEvent{}
	for _, e := range v.recent {
		if e.Seq > seq && e.at <= before {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
