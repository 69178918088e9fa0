package balancer_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Interactive work beside batch work", func() {
	var (
		clock *clockwork.FakeClock
		fleet *balancer.Fleet
	)
	request := func(objective time.Duration) balancer.Request {
		now := clock.Now()
		return balancer.Request{Account: "a", Model: "m0", PromptTokens: 100, SharedTokens: 200, TargetTime: now.Add(objective), Deadline: now.Add(2 * objective), MaxWait: objective / 2}
	}
	// take takes a server at once, or none.
	take := func(objective time.Duration) *balancer.Assignment {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stop := make(chan struct{})
		close(stop)
		a, _ := fleet.Await(ctx, stop, "llm", request(objective))
		if a != nil {
			a.RecordFirstEvent()
		}
		return a
	}
	const urgent, batch = time.Second, 12 * time.Second
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		fleet = balancer.NewFleet("z1", 1, clock)
		s := server("a", "z1", "m0")
		s.Slots = 8
		fleet.Update([]registrar.Server{s})
	})
	// arrive lets urgent requests arrive, ten a second, for 10 s, each of which holds a slot for 200 ms.
	arrive := func() {
		for range 50 {
			a, b := take(urgent), take(urgent)
			clock.Advance(200 * time.Millisecond)
			a.Done(false)
			b.Done(false)
		}
	}
	takeBatch := func() (n int) {
		for range 10 {
			if take(batch) != nil {
				n++
			}
		}
		return n
	}

	// The load: ten urgent requests a second on a server with eight slots, then ten of batch work
	// at once. Guards against urgent requests that wait for batch work to end: before, that took
	// all eight slots.
	It("keeps slots free for urgent requests that lately arrived, and never all of them", func() {
		arrive()
		n := takeBatch()
		Expect(n).To(And(BeNumerically(">=", 4), BeNumerically("<", 8)))
		Expect(take(urgent)).NotTo(BeNil())
		Expect(take(urgent)).NotTo(BeNil())
	})

	It("keeps none free where none arrived, or none lately", func() {
		Expect(takeBatch()).To(Equal(8))
	})

	It("keeps none free any more once they have stopped arriving", func() {
		arrive()
		clock.Advance(time.Minute)
		Expect(takeBatch()).To(Equal(8))
	})

	// Guards against batch work that never starts beside steady urgent work.
	It("gives the slots to batch work whose target time comes near", func() {
		arrive()
		n := takeBatch()
		granted := make(chan *balancer.Assignment, 1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			a, _ := fleet.Await(ctx, nil, "llm", request(batch))
			granted <- a
		}()
		Eventually(fleet.QueueLen).Should(Equal(1))
		for range 8 - n - 1 {
			Expect(take(urgent)).NotTo(BeNil())
		}
		clock.Advance(9500 * time.Millisecond)
		fleet.UpdatePeers(nil, nil)
		Eventually(granted).Should(Receive(Not(BeNil())))
	})
})
