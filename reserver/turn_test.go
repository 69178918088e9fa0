package reserver_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reserver"
)

var _ = Describe("Memory of answers", func() {
	const room, part = 3 << 20, 1 << 20
	var r *reserver.Reserver
	BeforeEach(func() { r = reserver.New(20 << 20) }) // 0.15 of it for answers
	answer := func() *reserver.Reservation {
		s, _ := r.Acquire(reserver.Answer, 0)
		return s
	}
	grow := func(s *reserver.Reservation, n int64) bool {
		ok, _ := s.GrowInTurn(n)
		return ok
	}

	// Guards against answers that together exceed the memory, and against ones that each hold a
	// part and wait for each other.
	It("goes to the oldest of many large answers at a time, the others wait", func() {
		a, b, c := answer(), answer(), answer()
		for _, s := range []*reserver.Reservation{a, b, c} {
			Expect(grow(s, part)).To(BeTrue())
		}
		Expect(grow(c, part)).To(BeFalse())
		_, changed := b.GrowInTurn(part)
		Expect(grow(a, 4*part)).To(BeTrue(), "the oldest is never held up")
		Expect(changed).NotTo(BeClosed())
		a.Release()
		Expect(changed).To(BeClosed())
		Expect(grow(c, part)).To(BeTrue())
		Expect(grow(b, 2*room)).To(BeTrue(), "it is the oldest now")
	})

	// Guards against an answer that is cut off since others hold the memory until its time is over.
	It("is held nevertheless by an answer whose time to wait is over", func() {
		a, b := answer(), answer()
		Expect(grow(a, room)).To(BeTrue())
		over, cancel := context.WithCancel(context.Background())
		cancel()
		b.AwaitTurn(over, part, nil)
		Expect(r.Held(reserver.Answer)).To(BeEquivalentTo(room + part))
	})

	// Guards against small answers that wait behind large ones.
	It("is held at once for small answers beside large ones", func() {
		a, b := answer(), answer()
		Expect(grow(a, room)).To(BeTrue())
		b.AwaitTurn(context.Background(), reserver.SmallBytes, nil)
		Expect(r.Held(reserver.Answer)).To(BeEquivalentTo(room + reserver.SmallBytes))
	})
})

// Guards against a peer that does not read, whose queue has the messages of all peers refused.
var _ = Describe("Memory of what waits for peers", func() {
	It("is missing to large bodies, not to messages of peers", func() {
		r := reserver.New(20 << 20)
		queue, _ := r.Acquire(reserver.Queue, 0)
		queue.Force(9 << 20)
		_, ok := r.Acquire(reserver.Message, 1<<20)
		Expect(ok).To(BeTrue())
		_, ok = r.Acquire(reserver.Body, 4<<20)
		Expect(ok).To(BeFalse())
		queue.Release()
		_, ok = r.Acquire(reserver.Body, 4<<20)
		Expect(ok).To(BeTrue())
	})
})
