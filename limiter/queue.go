// Package limiter queues work that waits for an engine, and limits queue sizes,
// retries and concurrency. It does no I/O, reads no clock and is not safe for
// concurrent use.
package limiter

import (
	"container/heap"
	"time"
)

// Item is a unit of queued work.
type Item[T any] struct {
	// Group names the weights that the work needs. Groups are ordered
	// independently.
	Group string
	// Client names the client. Clients of equal priority share a group fairly.
	Client   string
	Priority int
	// Deadline is when the work must have started; zero means none.
	Deadline time.Time
	// QueueDeadline is when the work has reached its maximum queueing time; zero
	// means never.
	QueueDeadline time.Time
	// Deferred work uses spare capacity until it is due.
	Deferred bool
	// Due is when deferred work starts to count as urgent; zero means never.
	Due   time.Time
	Value T

	startTag float64
	seq      uint64
	index    int
	group    *group[T]
	// expiresAt is when the item leaves the queue unserved; zero means never.
	// expiryIndex is its index in Queue.expiries, or -1.
	expiresAt   time.Time
	expiryIndex int
}

// ExpiresAt returns when the item leaves the queue unserved; zero means never.
func (i *Item[T]) ExpiresAt() time.Time { return i.expiresAt }

// Waiting reports whether the item is still in the queue.
func (i *Item[T]) Waiting() bool { return i.group != nil }

type group[T any] struct {
	urgent   itemHeap[T]
	deferred itemHeap[T]
	// The group uses start-time fair queueing, with the deadline deciding
	// within a round: virtualTime is the highest start tag taken so far, and
	// nextTags holds the next start tag of each client.
	virtualTime float64
	nextTags    map[string]float64
	// urgentSinceDeferred counts the urgent items taken since the last deferred
	// one.
	urgentSinceDeferred int
}

// Queue holds waiting work, ordered within each group.
type Queue[T any] struct {
	options
	groups   map[string]*group[T]
	expiries expiryHeap[T]
	seq      uint64
	size     int
	deferred int
}

type options struct {
	maxItems          int
	quantum           float64
	urgentPerDeferred int
	fifo              bool
	maxPerClient      int
}

// Option configures a Queue.
type Option func(*options)

// WithMaxItems sets the maximum number of items in the queue.
func WithMaxItems(count int) Option { return func(o *options) { o.maxItems = count } }

// WithMaxPerClient sets the maximum number of items of one client in a group.
func WithMaxPerClient(count int) Option { return func(o *options) { o.maxPerClient = count } }

// WithQuantum sets how many items of one client share a round. Within a round
// the earliest deadline goes first.
func WithQuantum(count int) Option { return func(o *options) { o.quantum = float64(count) } }

// WithUrgentPerDeferred sets how many urgent items are taken between two due
// deferred ones while urgent ones wait.
func WithUrgentPerDeferred(count int) Option { return func(o *options) { o.urgentPerDeferred = count } }

// WithFIFO orders items by arrival alone, as a baseline for benchmarks.
func WithFIFO() Option { return func(o *options) { o.fifo = true } }

// NewQueue returns an empty queue.
func NewQueue[T any](opts ...Option) *Queue[T] {
	o := options{maxItems: 4096, maxPerClient: 1024, quantum: 4, urgentPerDeferred: 3}
	for _, option := range opts {
		option(&o)
	}
	return &Queue[T]{options: o, groups: map[string]*group[T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// Deferred returns the number of waiting deferred items.
func (q *Queue[T]) Deferred() int { return q.deferred }

// GroupLen returns the numbers of urgent and deferred items in a group.
func (q *Queue[T]) GroupLen(name string) (urgent, deferred int) {
	g, ok := q.groups[name]
	if !ok {
		return 0, 0
	}
	return len(g.urgent.items), len(g.deferred.items)
}

// Groups returns the names of the non-empty groups, in no particular order.
func (q *Queue[T]) Groups() []string {
	names := make([]string, 0, len(q.groups))
	for name := range q.groups {
		names = append(names, name)
	}
	return names
}

// CountAhead returns how many urgent items of a group have a higher priority than
// the given one, or the same and no later deadline. It ignores fair queueing.
func (q *Queue[T]) CountAhead(name string, priority int, deadline time.Time) int {
	g, ok := q.groups[name]
	if !ok {
		return 0
	}
	count := 0
	for _, i := range g.urgent.items {
		if i.Priority > priority || (i.Priority == priority && !i.Deadline.After(deadline)) {
			count++
		}
	}
	return count
}

// Push adds an item. It returns false if the queue is full or the client has too
// many items in the group.
func (q *Queue[T]) Push(i *Item[T]) bool {
	if q.size >= q.maxItems {
		return false
	}
	g, ok := q.groups[i.Group]
	if !ok {
		g = &group[T]{nextTags: map[string]float64{}, urgent: itemHeap[T]{fifo: q.fifo}, deferred: itemHeap[T]{fifo: q.fifo}}
		q.groups[i.Group] = g
	}
	start := max(g.virtualTime, g.nextTags[i.Client])
	if start-g.virtualTime >= float64(q.maxPerClient)/q.quantum {
		return false
	}
	g.nextTags[i.Client] = start + 1/q.quantum
	i.startTag = float64(int(start))
	q.seq++
	i.seq = q.seq
	i.group = g
	heap.Push(g.heapFor(i), i)
	i.expiresAt = i.QueueDeadline
	if !i.Deferred {
		// Deferred work stays queued past its deadline: its result is still
		// needed.
		i.expiresAt = earliest(i.Deadline, i.QueueDeadline)
	}
	i.expiryIndex = -1
	if !i.expiresAt.IsZero() {
		heap.Push(&q.expiries, i)
	}
	q.addToCounts(i, 1)
	return true
}

func (g *group[T]) heapFor(i *Item[T]) *itemHeap[T] {
	if i.Deferred {
		return &g.deferred
	}
	return &g.urgent
}

func (q *Queue[T]) addToCounts(i *Item[T], delta int) {
	q.size += delta
	if i.Deferred {
		q.deferred += delta
	}
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Peek returns the next item of a group, or nil if it is empty. A due deferred
// item goes before urgent ones, but only after every few of them, so that a
// backlog of due deferred work cannot starve urgent work.
func (q *Queue[T]) Peek(now time.Time, name string) *Item[T] {
	g, ok := q.groups[name]
	if !ok {
		return nil
	}
	urgent, deferred := g.urgent.peek(), g.deferred.peek()
	switch {
	case urgent == nil:
		return deferred
	case deferred == nil:
		return urgent
	case deferred.IsDue(now) && g.urgentSinceDeferred >= q.urgentPerDeferred:
		return deferred
	}
	return urgent
}

// IsDue reports whether a deferred item is past its due time and counts as
// urgent.
func (i *Item[T]) IsDue(now time.Time) bool {
	return i.Deferred && !i.Due.IsZero() && !now.Before(i.Due)
}

// Dequeue removes an item for dispatch, and advances the group's virtual time. It
// does nothing if the item is not queued.
func (q *Queue[T]) Dequeue(i *Item[T]) {
	g := i.group
	if g == nil {
		return
	}
	g.virtualTime = max(g.virtualTime, i.startTag)
	if i.Deferred {
		g.urgentSinceDeferred = 0
	} else {
		g.urgentSinceDeferred++
	}
	q.Remove(i)
}

// Remove removes an item without dispatching it. It does nothing if the item is
// not queued.
func (q *Queue[T]) Remove(i *Item[T]) {
	g := i.group
	if g == nil {
		return
	}
	heap.Remove(g.heapFor(i), i.index)
	if i.expiryIndex >= 0 {
		heap.Remove(&q.expiries, i.expiryIndex)
	}
	i.group = nil
	q.addToCounts(i, -1)
	if len(g.urgent.items)+len(g.deferred.items) == 0 {
		delete(q.groups, i.Group)
	}
}

// Expired removes and returns the items whose expiry time has passed.
func (q *Queue[T]) Expired(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for len(q.expiries) > 0 && !q.expiries[0].expiresAt.After(now) {
		i := q.expiries[0]
		q.Remove(i)
		expired = append(expired, i)
	}
	return expired
}
