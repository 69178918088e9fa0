package balancer_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/registrar"
)

var _ = Describe("Queues of all instances", func() {
	It("are summed, and the sum is as before once an instance's are removed", func() {
		a := []balancer.Queue{{Service: "llm", Key: "m0", Waiting: []int{1, 0, 2}, Granted: 1.5}}
		b := []balancer.Queue{{Service: "llm", Key: "m0", Waiting: []int{0, 1}, Granted: 0.5}, {Service: "llm", Key: "m1", Granted: 3}}
		sum := balancer.Queues{}
		sum.Add(a)
		sum.Add(b)
		Expect(sum.List()).To(ConsistOf(balancer.Queue{Service: "llm", Key: "m0", Waiting: []int{1, 1, 2}, Granted: 2}))
		Expect(sum.Without(b).List()).To(ConsistOf(balancer.Queue{Service: "llm", Key: "m0", Waiting: []int{1, 0, 2}, Granted: 1.5}))
		sum.Remove(a)
		sum.Remove(b)
		Expect(sum).To(BeEmpty())
	})

	// One model takes all: each of two hundred instances has one request for it, which is the
	// first in its own queue. Guards against all of them waiting until their time is over.
	It("make an instance refuse at once what would come too late behind its peers' requests", func() {
		clock := clockwork.NewFakeClock()
		fleet := balancer.NewFleet("z1", 1, clock)
		s := server("a", "z1", "m0")
		s.Slots = 1
		fleet.Update([]registrar.Server{s})
		q := balancer.Request{Model: "m0", Priority: 2, PromptTokens: 100, MaxWait: 400 * time.Millisecond, TargetTime: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second)}
		_, status := fleet.Take("llm", q)
		Expect(status).To(Equal(balancer.Found))
		fleet.UpdatePeerQueues([]balancer.Queue{{Service: "llm", Key: "m0", Waiting: []int{0, 0, 200}, Granted: 8}})
		_, status = fleet.Await(context.Background(), nil, "llm", q)
		Expect(status).To(Equal(balancer.Full))
		Expect(fleet.RetryDelay("llm", q, balancer.Full)).To(Equal(24600 * time.Millisecond))
		// More urgent ones do not wait for these.
		q.Priority = 1
		Expect(fleet.RetryDelay("llm", q, balancer.Full)).To(BeZero())
		// Counts that are too old do not matter.
		clock.Advance(4 * time.Second)
		q.Priority = 2
		Expect(fleet.RetryDelay("llm", q, balancer.Full)).To(BeZero())
	})
})

var _ = Describe("A model that no server has loaded", func() {
	// Guards against requests that wait in vain until their time is over, and come back too early.
	DescribeTable("is waited for only if its load is completed in time", func(inMemory bool, want time.Duration) {
		clock := clockwork.NewFakeClock()
		fleet := balancer.NewFleet("z1", 1, clock)
		s := server("a", "z1", "m1")
		if inMemory {
			s.InMemory = []string{"m0"}
		}
		fleet.Update([]registrar.Server{s})
		fleet.SetModels("llm", map[string]matcher.Model{"m0": {Name: "m0", ColdLoadTime: 4 * time.Second, HostLoadTime: 600 * time.Millisecond}})
		request := func() balancer.Request {
			return balancer.Request{Model: "m0", PromptTokens: 100, TargetTime: clock.Now().Add(time.Second), Deadline: clock.Now().Add(2 * time.Second)}
		}
		refused := make(chan string, 1)
		go func() {
			_, status := fleet.Await(context.Background(), nil, "llm", request())
			refused <- fmt.Sprint(status)
		}()
		if want == 0 {
			Consistently(refused, "50ms").ShouldNot(Receive())
			return
		}
		Eventually(refused).Should(Receive(Equal("absent")))
		Expect(fleet.RetryDelay("llm", request(), balancer.NotLoaded)).To(Equal(want))
		Expect(fleet.TakeDemand()).To(ContainElement(balancer.Demand{Service: "llm", Key: "m0", Waiting: 1}), "it counts as demand")
		clock.Advance(3 * time.Second)
		Expect(fleet.RetryDelay("llm", request(), balancer.NotLoaded)).To(Equal(want-3*time.Second), "the load is under way")
	},
		Entry("from memory", true, time.Duration(0)),
		Entry("from the weight store", false, 4700*time.Millisecond),
	)
})
