package reserver_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reserver"
)

var _ = Describe("A memory budget", func() {
	const total, large = 4 << 20, 1 << 20 // 2 MiB for large bodies, 1 MiB for small ones
	var (
		clock *clockwork.FakeClock
		r     *reserver.Reserver
		ended []string
	)
	BeforeEach(func() {
		clock, ended = clockwork.NewFakeClock(), nil
		r = reserver.New(total, reserver.WithClock(clock))
	})
	acquire := func(name string, n int64) *reserver.Reservation {
		GinkgoHelper()
		s, ok := r.Acquire(reserver.Body, n)
		Expect(ok).To(BeTrue())
		s.OnReclaim(func() { ended = append(ended, name) })
		return s
	}

	// Guards against many large bodies that take the room of requests with small ones.
	It("keeps room for small bodies beside many large bodies", func() {
		acquire("a", large)
		acquire("b", large)
		_, ok := r.Acquire(reserver.Body, large)
		Expect(ok).To(BeFalse())
		_, ok = r.Acquire(reserver.Body, reserver.SmallBytes)
		Expect(ok).To(BeTrue())
		Expect(ended).To(BeEmpty(), "both have only just begun")
	})

	// Guards against bodies that stop short of their end and hold memory for good, and against
	// ending those that arrive.
	It("ends bodies that stop short: the longest without progress, then the oldest, then the largest", func() {
		r = reserver.New(8<<20, reserver.WithClock(clock))
		older := acquire("older", large)
		clock.Advance(time.Millisecond)
		acquire("small", large/2)
		acquire("large", large)
		arriving := acquire("arriving", large/2)
		older.Progress(8 << 10)
		clock.Advance(2 * time.Second)
		arriving.Progress(8 << 10)
		_, ok := r.Acquire(reserver.Body, 2*large)
		Expect(ok).To(BeFalse())
		Expect(ended).To(Equal([]string{"older"}))
		_, _ = r.Acquire(reserver.Body, 2*large)
		Expect(ended).To(HaveLen(1), "what is ending counts as free already")
		_, _ = r.Acquire(reserver.Body, 4*large)
		Expect(ended).To(Equal([]string{"older", "large", "small"}))
		Expect(older.Keep()).To(BeFalse())
		Expect(arriving.Keep()).To(BeTrue())
		older.Release()
		older.Release()
		_, ok = r.Acquire(reserver.Body, 2*large)
		Expect(ok).To(BeTrue())
	})

	// Guards against clients that keep memory by sending a byte now and then.
	It("ends bodies in very small pieces", func() {
		s := acquire("trickle", 2*large)
		for range 30 {
			clock.Advance(100 * time.Millisecond)
			s.Progress(16)
		}
		_, _ = r.Acquire(reserver.Body, large)
		Expect(ended).To(Equal([]string{"trickle"}))
	})

	// Guards against requests that stop short and hold places or connections, not memory.
	It("ends one body at a time when something else than memory is short", func() {
		_, ok := r.Acquire(reserver.Message, 1)
		Expect(ok).To(BeTrue())
		clock.Advance(time.Millisecond)
		acquire("first", 1)
		clock.Advance(time.Millisecond)
		acquire("second", 1)
		clock.Advance(time.Minute)
		r.EndStalled(reserver.Body)
		r.EndStalled(reserver.Body)
		Expect(ended).To(Equal([]string{"first"}))
	})

	It("never ends what was passed on", func() {
		Expect(acquire("passed on", 2*large).Keep()).To(BeTrue())
		clock.Advance(time.Hour)
		_, ok := r.Acquire(reserver.Body, large)
		Expect(ok).To(BeFalse())
		Expect(ended).To(BeEmpty())
	})

	// Guards against chunked bodies that grow past 64 KiB and keep the room for small ones.
	It("moves chunked bodies to the room for large ones once they are", func() {
		acquire("a", large)
		s := acquire("chunked", reserver.SmallBytes)
		Expect(s.Grow(2 * large)).To(BeFalse())
		Expect(r.Held(reserver.Body)).To(BeEquivalentTo(large + reserver.SmallBytes))
		Expect(s.Grow(large - reserver.SmallBytes)).To(BeTrue())
		for range large / reserver.SmallBytes {
			acquire("small", reserver.SmallBytes)
		}
		s.Release()
		Expect(s.Grow(1)).To(BeFalse())
		Expect(r.Held(reserver.Body)).To(BeEquivalentTo(2 * large))
	})

	It("charges answers that do not fit to later bodies", func() {
		s, _ := r.Acquire(reserver.Answer, 0)
		s.Force(3 * large)
		_, ok := r.Acquire(reserver.Body, large)
		Expect(ok).To(BeFalse())
		s.Release()
		Expect(r.Held(reserver.Answer)).To(BeZero())
		acquire("after", large)
	})
})
