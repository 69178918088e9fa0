package limiter

// itemHeap is a heap of waiting items in dispatch order.
type itemHeap[T any] struct {
	items []*Item[T]
	fifo  bool
}

func (h *itemHeap[T]) peek() *Item[T] {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// Len implements heap.Interface.
func (h *itemHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface: by priority, fair-queueing round, deadline and
// arrival. Items without a deadline come after those with one.
func (h *itemHeap[T]) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.fifo {
		return a.seq < b.seq
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	if !a.Deadline.Equal(b.Deadline) {
		return b.Deadline.IsZero() || (!a.Deadline.IsZero() && a.Deadline.Before(b.Deadline))
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h *itemHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i
	h.items[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	i := x.(*Item[T])
	i.index = len(h.items)
	h.items = append(h.items, i)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	last := len(h.items) - 1
	i := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return i
}

// expiryHeap is a heap of waiting items by expiry time.
type expiryHeap[T any] []*Item[T]

// Len implements heap.Interface.
func (h expiryHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap[T]) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }

// Swap implements heap.Interface.
func (h expiryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap[T]) Push(x any) {
	i := x.(*Item[T])
	i.expiryIndex = len(*h)
	*h = append(*h, i)
}

// Pop implements heap.Interface.
func (h *expiryHeap[T]) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}
