package balancer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Servers that join and fail", func() {
	var (
		core *balancer.Core
		now  time.Time
	)
	chat := balancer.Request{Model: "m", PromptTokens: 600, OutputTokens: 170}
	BeforeEach(func() {
		core = balancer.NewCore("z1", 1)
		now = time.Unix(1000, 0)
	})
	// sent sends a prompt every 50 ms for a time, which takes 200 ms to its first event, and counts
	// them by server.
	sent := func(d time.Duration) map[string]int {
		m := map[string]int{}
		var open []string
		for range d / (50 * time.Millisecond) {
			id, status := core.Choose(now, chat)
			Expect(status).To(Equal(balancer.Found))
			core.RecordSent(now, id, chat)
			m[id]++
			if open = append(open, id); len(open) > 4 {
				core.RecordFirstEvent(open[0], chat, 200*time.Millisecond)
				core.RecordDone(now, open[0], chat, true, false, 200*time.Millisecond)
				open = open[1:]
			}
			now = now.Add(50 * time.Millisecond)
		}
		return m
	}

	It("gives a server that has joined its share gradually, unless it is the only replica", func() {
		// The load: 20 prompts a second on three servers, the third of which joins. Guards against a
		// new server getting everything, since it is idle.
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("b", "z1", "m")})
		sent(2 * time.Second)
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("b", "z1", "m"), server("c", "z1", "m", "n")})
		first := sent(500 * time.Millisecond)["c"]
		later := sent(1500 * time.Millisecond)["c"]
		Expect(first).To(BeNumerically("<=", 1))
		Expect(sent(2 * time.Second)["c"]).To(And(BeNumerically(">=", 10), BeNumerically("<=", 16)))
		Expect(later).To(BeNumerically("<", 13))
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("d", "z1", "n")})
		id, _ := core.Choose(now, balancer.Request{Model: "n", PromptTokens: 600})
		Expect(id).To(Equal("d"))
	})

	It("does not take a server for new that the instance sees for the first time", func() {
		// Servers that were there when the instance started, and one whose registration comes back.
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("b", "z1", "m")})
		Expect(sent(time.Second)["b"]).To(BeNumerically(">", 5))
		back := server("c", "z1", "m")
		back.StartedAt = now.Add(-time.Minute)
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("b", "z1", "m"), back})
		Expect(sent(time.Second)["c"]).To(BeNumerically(">", 4))
	})

	DescribeTable("takes failing servers out only as far as the load allows",
		func(requests, wantUsed int, model string) {
			// The load: six servers of 64 slots with so many requests each, five of which fail.
			q := balancer.Request{Model: model, PromptTokens: 100}
			var list []registrar.Server
			peers := map[string]balancer.InFlight{}
			for i := range 6 {
				id := fmt.Sprint("s", i)
				list = append(list, server(id, "z1", "m"))
				peers[id] = balancer.InFlight{Requests: requests, RunningStreams: requests}
			}
			core.Update(now, list)
			core.UpdatePeers(now, peers)
			for i := range 5 {
				for range 2 + i {
					core.RecordDone(now, list[i].ID, q, false, true, time.Second)
				}
			}
			used := map[string]int{}
			for range 300 {
				id, status := core.Choose(now, q)
				Expect(status).To(Equal(balancer.Found))
				used[id]++
			}
			Expect(used).To(HaveLen(wantUsed))
		},
		Entry("one server can take all: the five are out", 8, 1, "m"),
		Entry("half of the servers are needed: three are out", 20, 3, "m"),
		Entry("all servers are needed", 52, 6, "m"),
		Entry("all servers of a plain service are needed", 52, 6, ""),
	)
})
