package bencher

import (
	"cmp"
	"container/heap"
	"time"
)

// event is a function scheduled at a simulated time; seq orders events of the same
// time by when they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// at schedules a function at a time since the start of the run, or now if that time
// has passed.
func (w *world) at(at time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(at, w.now), seq: w.seq, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// every schedules a function at a first time and then at a fixed interval.
func (w *world) every(first, interval time.Duration, run func()) {
	w.at(first, func() {
		run()
		w.every(w.now+interval, interval, run)
	})
}
