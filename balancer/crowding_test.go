package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Core for a service without models", func() {
	var (
		core  *balancer.Core
		now   time.Time
		plain balancer.Request
	)
	BeforeEach(func() {
		core = balancer.NewCore("z1", 1)
		now = time.Unix(1000, 0)
		a, b, c := server("a", "z1"), server("b", "z2"), server("c", "z3")
		a.Slots, b.Slots, c.Slots = 6, 6, 6
		core.Update(now, []registrar.Server{a, b, c})
		for range 40 {
			for id, latency := range map[string]time.Duration{"a": 8, "b": 60, "c": 60} {
				core.RecordSent(now, id, plain)
				core.RecordDone(now, id, plain, false, false, latency*time.Millisecond)
			}
		}
	})
	send := func(n int) map[string]int {
		m := map[string]int{}
		for range n {
			id, status := core.Choose(now, plain)
			Expect(status).To(Equal(balancer.Found))
			core.RecordSent(now, id, plain)
			m[id]++
		}
		return m
	}

	// The load: bursts of 48 requests on three servers with 6 slots and a queue of 24 each, one of
	// them quick. Guards against a server that refuses requests while those of other zones have
	// places: by its latency alone it would get 42 of the 48, and has room for 30.
	It("spreads a burst over the zones before the queue of the quickest server is full", func() {
		Expect(send(5)).To(Equal(map[string]int{"a": 5}), "while it has free slots")
		Expect(send(43)).To(HaveEach(BeNumerically("<=", 18)))
	})

	// Guards against repeating requests at a full server, whose latency does not tell.
	It("avoids a server for a short time after it refused a request as full", func() {
		core.MarkFull(now, "a")
		Expect(send(4)).NotTo(HaveKey("a"))
		core.MarkFull(now, "b")
		core.MarkFull(now, "c")
		send(1)
		now = now.Add(100 * time.Millisecond)
		Expect(send(1)).To(HaveKey("a"))
	})
})
