package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/admitter"
)

var _ = Describe("Decide", func() {
	// An objective of 0.5 s and a client that leaves after 2.5 s.
	q := admitter.Request{OnTimeWait: 350 * time.Millisecond, LongestWait: 2 * time.Second}
	DescribeTable("lets a request wait only for capacity that it is likely to get", func(l admitter.Load, want admitter.Verdict) {
		Expect(admitter.Decide(q, l).Verdict).To(Equal(want))
	},
		Entry("a short queue", admitter.Load{Ahead: 3, LateAhead: 3, Rate: 10, OnTimeRate: 10}, admitter.OnTime),
		// A burst of ten on servers that are half used: refused before, though it is served in 1 s.
		Entry("a burst, and free capacity", admitter.Load{Ahead: 10, LateAhead: 10, Rate: 10, Capacity: 20, OnTimeRate: 10}, admitter.Late),
		// Guards against requests that are held until their clients leave.
		Entry("a queue of requests on time that fills the capacity", admitter.Load{Ahead: 10, LateAhead: 10, Rate: 10, Capacity: 10, OnTimeRate: 10}, admitter.NoCapacity),
		Entry("many late ones before it", admitter.Load{Ahead: 10, LateAhead: 40, Rate: 10, Capacity: 20, OnTimeRate: 10}, admitter.TooLong),
		Entry("capacity that is not known", admitter.Load{Ahead: 10, LateAhead: 10, Rate: 10}, admitter.NoCapacity),
		Entry("no rate", admitter.Load{Ahead: 1, LateAhead: 1}, admitter.NoCapacity),
	)

	It("admits no request beyond what its client bears, nor a late one without capacity to spare", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			number := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
			l := admitter.Load{Ahead: number("ahead", 100), Rate: number("rate", 50), Capacity: number("capacity", 50), OnTimeRate: number("on time", 50)}
			l.LateAhead = l.Ahead + number("late", 100)
			d := admitter.Decide(q, l)
			if d.Verdict == admitter.Late && (d.Wait > q.LongestWait || l.OnTimeRate >= l.Capacity) || d.Verdict == admitter.OnTime && d.Wait > q.OnTimeWait {
				t.Fatalf("%v for %+v", d, l)
			}
			if !d.Verdict.Waits() && d.RetryAfter <= 0 {
				t.Fatalf("refused without a time to come back: %v for %+v", d, l)
			}
		})
	})
})

var _ = Describe("Returns", func() {
	now := time.Unix(1000, 0)

	// The load: 40 requests are refused at once at an instance that serves 10 a second. Guards
	// against all of them coming back when there is room for one.
	It("spreads refused requests at a part of the rate at which they can be served", func() {
		var r admitter.Returns
		for i := range 40 {
			Expect(r.Reserve(now, time.Second, 10)).To(Equal(time.Second + time.Duration(i)*200*time.Millisecond))
		}
		Expect(r.Reserve(now, 0, 10)).To(BeZero(), "one that is admitted before them need not wait for them")
		Expect(r.Reserve(now.Add(time.Minute), time.Second, 10)).To(Equal(time.Second), "those that came back do not count")
	})

	It("bounds the time", func() {
		var r admitter.Returns
		for range 3000 {
			Expect(r.Reserve(now, 0, 4)).To(BeNumerically("<=", 20*time.Second))
		}
		Expect(r.Reserve(now, 25*time.Second, 0)).To(BeNumerically(">=", 25*time.Second), "but not below the load that is known")
	})
})
