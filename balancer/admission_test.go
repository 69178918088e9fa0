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

var _ = Describe("Admission to busy servers", func() {
	var (
		clock *clockwork.FakeClock
		fleet *balancer.Fleet
		ended context.Context
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		fleet = balancer.NewFleet("z1", 1, clock)
		s := server("a", "z1", "m0")
		s.Slots = 4
		fleet.Update([]registrar.Server{s})
		var end context.CancelFunc
		ended, end = context.WithCancel(context.Background())
		DeferCleanup(end)
	})
	request := func() balancer.Request {
		now := clock.Now()
		return balancer.Request{Account: "a", Model: "m0", PromptTokens: 100, MaxWait: 100 * time.Millisecond, TargetTime: now.Add(150 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
	}
	// serve has the server finish four requests at a time, which hold its slots for 200 ms, with a
	// pause, for 20 s.
	serve := func(pause time.Duration) {
		for range int(20 * time.Second / (200*time.Millisecond + pause)) {
			var assigned []*balancer.Assignment
			for range 4 {
				a, status := fleet.Await(context.Background(), nil, "llm", request())
				Expect(status).To(Equal(balancer.Found))
				a.RecordFirstEvent()
				assigned = append(assigned, a)
			}
			clock.Advance(200 * time.Millisecond)
			for _, a := range assigned {
				a.Done(false)
			}
			clock.Advance(pause)
		}
	}
	fill := func() []*balancer.Assignment {
		var assigned []*balancer.Assignment
		for range 4 {
			a, status := fleet.Take("llm", request())
			Expect(status).To(Equal(balancer.Found))
			assigned = append(assigned, a)
		}
		return assigned
	}
	await := func(n int) <-chan balancer.Status {
		got := make(chan balancer.Status, n)
		for range n {
			go func() {
				_, status := fleet.Await(ended, nil, "llm", request())
				got <- status
			}()
		}
		return got
	}

	// The load: a burst of eight on a server that was a quarter used, whose objective is 150 ms and
	// whose clients bear 2 s. Before, all but the first three were refused, though it could serve
	// twenty a second.
	It("lets requests wait beyond their objective for capacity that none on time needs", func() {
		serve(600 * time.Millisecond)
		fill()
		got := await(8)
		Eventually(fleet.QueueLen).Should(Equal(8))
		Consistently(got, "30ms").ShouldNot(Receive())
		Expect(fleet.OwnQueues()).To(ContainElement(HaveField("Waiting", HaveLen(11))), "late ones are told apart")
	})

	// The load: the same burst where requests on time take all that the server can. Guards against
	// requests that are held for nothing, and that come back all at once.
	It("refuses them at once otherwise, to come back one after the other", func() {
		serve(0)
		fill()
		got := await(8)
		for range 4 {
			Eventually(got).Should(Receive(Equal(balancer.Full)))
		}
		Eventually(fleet.QueueLen).Should(BeNumerically("<=", 4))
		first := fleet.RetryDelay("llm", request(), balancer.Full)
		second := fleet.RetryDelay("llm", request(), balancer.Full)
		Expect(second - first).To(BeNumerically("~", 100*time.Millisecond, 60*time.Millisecond))
	})

	// Guards against holding a request until its client leaves once its turn is too far off.
	It("refuses a waiting request as soon as others on time need the capacity", func() {
		serve(600 * time.Millisecond)
		assigned := fill()
		got := await(8)
		Eventually(fleet.QueueLen).Should(Equal(8))
		clock.Advance(time.Second)
		fleet.UpdatePeerQueues([]balancer.Queue{{Service: "llm", Key: "m0", Waiting: []int{60}, Granted: 40}})
		assigned[0].Done(false)
		Eventually(got).Should(Receive(Equal(balancer.Full)))
		Expect(fleet.Congestion("llm", request()).Reviewed).To(BeNumerically(">", 0))
	})
})
