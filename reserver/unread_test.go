package reserver_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reserver"
)

var _ = Describe("The memory of an answer that is sent to its client", func() {
	const room = 3 << 20
	// await lets an answer wait for memory that another one holds, for 6 s, and reports whether that
	// one was ended. Each 600 ms its client accepts a number of bytes.
	await := func(accepted int) bool {
		clock := clockwork.NewFakeClock()
		r := reserver.New(20<<20, reserver.WithClock(clock)) // 0.15 of it for answers
		sent, _ := r.Acquire(reserver.Answer, 0)
		sent.GrowInTurn(room)
		sent.OnUnread(sent.Release)
		other, _ := r.Acquire(reserver.Answer, 0)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan bool, 1)
		go func() { done <- other.TryTurn(ctx, room, nil) }()
		for range 10 {
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(600 * time.Millisecond)
			sent.Progress(accepted)
			time.Sleep(10 * time.Millisecond)
			if sent.Ended() {
				Eventually(done).Should(Receive(BeTrue()))
				return true
			}
		}
		return false
	}

	// Guards against a client that does not read and holds memory that others wait for.
	It("is ended for others if the client accepts nothing for 3 s", func() { Expect(await(0)).To(BeTrue()) })

	// Guards against a slow client whose answer is cut off.
	It("is kept if the client accepts 4 KiB in that time", func() { Expect(await(1 << 10)).To(BeFalse()) })
})
