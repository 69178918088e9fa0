package limiter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/limiter"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func item(name, client string, priority int, deadline time.Duration) *limiter.Item[string] {
	return &limiter.Item[string]{
		Group: "chat", Client: client, Priority: priority, Deadline: start.Add(deadline), Value: name,
	}
}

func deferred(name string, due time.Duration) *limiter.Item[string] {
	i := item(name, "hr", 0, time.Hour)
	i.Deferred, i.Due = true, start.Add(due)
	return i
}

// drain takes all items at the given time and returns their values in order.
func drain(q *limiter.Queue[string], now time.Time) []string {
	var order []string
	for i := q.Peek(now, "chat"); i != nil; i = q.Peek(now, "chat") {
		q.Dequeue(i)
		order = append(order, i.Value)
	}
	return order
}

var _ = Describe("Queue", func() {
	DescribeTable("orders items",
		func(order []string, items ...*limiter.Item[string]) {
			q := limiter.NewQueue[string](limiter.WithQuantum(1), limiter.WithUrgentPerDeferred(2))
			for _, i := range items {
				Expect(q.Push(i)).To(BeTrue())
			}
			Expect(drain(q, start)).To(Equal(order))
			Expect(q.Len()).To(BeZero())
		},
		Entry("by priority", []string{"b", "a"}, item("a", "x", 1, time.Second), item("b", "y", 2, time.Minute)),
		Entry("by deadline", []string{"b", "a"}, item("a", "x", 1, time.Minute), item("b", "y", 1, time.Second)),
		Entry("fairly among clients", []string{"a1", "b1", "a2", "a3"},
			item("a1", "a", 1, time.Second), item("a2", "a", 1, time.Second),
			item("a3", "a", 1, time.Second), item("b1", "b", 1, time.Minute)),
		Entry("with deferred items last", []string{"a", "d"}, deferred("d", time.Hour), item("a", "x", 0, time.Hour)),
		Entry("with due deferred items between urgent ones", []string{"a", "b", "d", "c"},
			deferred("d", 0), item("a", "x", 1, time.Second), item("b", "y", 1, 2*time.Second), item("c", "z", 1, 3*time.Second)),
	)

	It("rejects items beyond the limits in total and per client", func() {
		q := limiter.NewQueue[string](limiter.WithMaxItems(3), limiter.WithMaxPerClient(2), limiter.WithQuantum(1))
		Expect(q.Push(item("1", "a", 0, time.Second))).To(BeTrue())
		Expect(q.Push(item("2", "a", 0, time.Second))).To(BeTrue())
		Expect(q.Push(item("3", "a", 0, time.Second))).To(BeFalse())
		Expect(q.Push(item("4", "b", 0, time.Second))).To(BeTrue())
		Expect(q.Push(item("5", "c", 0, time.Second))).To(BeFalse())
	})

	It("expires urgent items at their deadline and keeps late deferred items", func() {
		q := limiter.NewQueue[string]()
		q.Push(item("a", "x", 0, time.Second))
		q.Push(deferred("d", 0))
		Expect(q.Expired(start.Add(time.Hour))).To(HaveLen(1))
		Expect(drain(q, start.Add(time.Hour))).To(Equal([]string{"d"}))
	})

	It("starves neither other clients nor due deferred items during a flood", func() {
		rapid.Check(GinkgoT(), checkStarvation)
	})

	It("never takes a later deadline before an earlier one of the same client and priority", func() {
		rapid.Check(GinkgoT(), checkDeadlines)
	})
})

// checkStarvation keeps adding items of flooding clients while it drains the
// queue. One item of a quiet client and one due deferred item must be taken
// within a bounded number of turns.
func checkStarvation(t *rapid.T) {
	q := limiter.NewQueue[string](limiter.WithMaxItems(10000), limiter.WithMaxPerClient(10000))
	floodingClients := rapid.IntRange(1, 8).Draw(t, "flooders")
	flood := func() {
		for f := range floodingClients {
			q.Push(item("flood", fmt.Sprint(f), 1, time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond))
		}
	}
	for range rapid.IntRange(1, 40).Draw(t, "backlog") {
		flood()
	}
	q.Push(item("quiet", "quiet", 1, time.Hour))
	q.Push(deferred("due", 0))
	// A round has a quantum of 4 for each client. The flood adds an item per
	// flooding client in each turn, which must not delay the quiet client.
	limit := 2 * 4 * (floodingClients + 2)
	seen := map[string]int{}
	for turn := 1; turn <= limit; turn++ {
		i := q.Peek(start, "chat")
		q.Dequeue(i)
		seen[i.Value] = turn
		flood()
	}
	if seen["quiet"] == 0 || seen["due"] == 0 {
		t.Fatalf("after %d turns: %v", limit, seen)
	}
}

func checkDeadlines(t *rapid.T) {
	q := limiter.NewQueue[string](limiter.WithQuantum(1 << 20))
	for range rapid.IntRange(0, 100).Draw(t, "count") {
		q.Push(item("x", "a", rapid.IntRange(0, 2).Draw(t, "priority"), time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "deadline"))))
	}
	var last *limiter.Item[string]
	for i := q.Peek(start, "chat"); i != nil; i = q.Peek(start, "chat") {
		q.Dequeue(i)
		if last != nil && (i.Priority > last.Priority || (i.Priority == last.Priority && i.Deadline.Before(last.Deadline))) {
			t.Fatalf("%v after %v", i, last)
		}
		last = i
	}
}

var _ = Describe("RetryBudget", func() {
	It("limits retries to a ratio of fresh requests plus a burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := limiter.NewRetryBudget(0.1, 5)
			fresh, retries := 0, 0
			for range rapid.IntRange(0, 500).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "fresh") {
					b.Fresh()
					fresh++
				} else if b.Retry() {
					retries++
				}
			}
			if float64(retries) > 0.1*float64(fresh)+5+1e-9 {
				t.Fatalf("%d retries for %d fresh requests", retries, fresh)
			}
		})
	})
})
