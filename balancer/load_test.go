package balancer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

var _ = Describe("Load that servers report", func() {
	var (
		core *balancer.Core
		now  time.Time
	)
	chat := balancer.Request{Model: "m", PromptTokens: 1460, OutputTokens: 170}
	BeforeEach(func() {
		core = balancer.NewCore("z1", 1)
		now = time.Unix(1000, 0)
		core.Update(now, []registrar.Server{server("a", "z1", "m"), server("b", "z1", "m")})
	})
	chosen := func(q balancer.Request) map[string]int {
		m := map[string]int{}
		for range 40 {
			id, _ := core.Choose(now, q)
			m[id]++
		}
		return m
	}

	It("counts requests that no instance accounts for, until peers do or the report is old", func() {
		// The load: a server reports 6 requests that wait, of which one is known. Guards against
		// sending to a server that others have filled within the age of the exchanged counts.
		core.RecordSent(now, "a", chat)
		core.RecordLoad(now, "a", balancer.LoadReport{Known: true, Running: 0, Waiting: 6})
		core.RecordSent(now, "b", chat)
		core.RecordSent(now, "b", chat)
		Expect(chosen(chat)).To(Equal(map[string]int{"b": 40}))
		Expect(core.ChoiceInputs(now, "a", chat).Excess).To(Equal(5))
		core.UpdatePeers(now, map[string]balancer.InFlight{"a": {Requests: 4, RunningStreams: 4}})
		Expect(core.ChoiceInputs(now, "a", chat).Excess).To(Equal(1))
		now = now.Add(300 * time.Millisecond)
		Expect(core.ChoiceInputs(now, "a", chat).Excess).To(BeZero())
	})

	It("counts a slowness as long as it is fresh, and only if the server is slower than usual", func() {
		// The load: two idle servers, one of which says that work takes 2.5 times as long.
		core.RecordLoad(now, "a", balancer.LoadReport{Slowness: 2.5})
		Expect(chosen(chat)).To(Equal(map[string]int{"b": 40}))
		now = now.Add(200 * time.Millisecond)
		Expect(core.ChoiceInputs(now, "a", chat).Slowdown).To(Equal(1.0))
		Expect(chosen(chat)).To(HaveLen(2))
		core.RecordLoad(now, "a", balancer.LoadReport{Slowness: 0.2})
		Expect(core.ChoiceInputs(now, "a", chat).Slowdown).To(Equal(1.0))
	})

	It("takes no notice of a figure that differs from the observed pace for good", func() {
		// The load: a server that always says 250, and is as fast as the others.
		for range 200 {
			core.RecordLoad(now, "a", balancer.LoadReport{Slowness: 2.5})
		}
		Expect(core.ChoiceInputs(now, "a", chat).Slowdown).To(BeNumerically("~", 1, 0.01))
		core.UpdateSpeeds(now, map[string]int{"b": 60})
		Expect(chosen(chat)).To(Equal(map[string]int{"a": 40}))
	})

	It("passes over a server that refused a request as full, for a moment", func() {
		core.MarkFull(now, "a")
		Expect(chosen(chat)).To(Equal(map[string]int{"b": 40}))
		core.MarkFull(now, "b")
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Full))
		Expect(chosen(balancer.Request{})).To(HaveLen(2), "requests that don't wait for a busy server are sent all the same")
		now = now.Add(40 * time.Millisecond)
		Expect(chosen(chat)).To(HaveLen(2))
	})

	It("does not send the requests of all instances to the server that reports the least", func() {
		// The load: 66 instances that read the same figures of six servers, five of which report two
		// unknown prompts that wait, and whose peers send 52 tokens a millisecond in all.
		count := map[string]int{}
		for i := range uint64(66) {
			c := balancer.NewCore("z1", i)
			var list []registrar.Server
			peers := map[string]balancer.InFlight{}
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				list = append(list, server(id, "z1", "m"))
				peers[id] = balancer.InFlight{RecentPromptTokens: 3000}
			}
			c.Update(now, list)
			c.UpdatePeers(now, peers)
			for _, s := range list[1:] {
				c.RecordLoad(now, s.ID, balancer.LoadReport{Known: true, Waiting: 2})
			}
			id, _ := c.Choose(now, chat)
			count[id]++
		}
		Expect(count).To(HaveLen(6))
		Expect(count["a"]).To(And(BeNumerically(">", 11), BeNumerically("<", 44)))
	})

	It("avoids a server on which the prompt stops running streams for longer than the objective", func() {
		// The load: a prompt of 5,000 tokens, which takes 0.23 s; two servers without a queue, one of
		// which runs eight streams, and the other 40 ms further away by its speed.
		core.UpdateSpeeds(now, map[string]int{"b": 85})
		core.UpdatePeers(now, map[string]balancer.InFlight{"a": {Requests: 8, RunningStreams: 8}})
		long := balancer.Request{Model: "m", PromptTokens: 5000, MaxEventGap: 300 * time.Millisecond}
		Expect(chosen(long)).To(Equal(map[string]int{"b": 40}))
		long.MaxEventGap = time.Second
		Expect(chosen(long)).To(Equal(map[string]int{"a": 40}))
	})

	It("takes the slots from the report if the registration names none", func() {
		// The load: a server with 3 slots that reports 3 running requests, two of them unknown here.
		s := server("a", "z1", "m")
		s.Slots = 0
		core.Update(now, []registrar.Server{s})
		core.RecordSent(now, "a", balancer.Request{Model: "m"})
		core.RecordLoad(now, "a", balancer.LoadReport{Known: true, Running: 3, Slots: 3})
		_, status := core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Full))
		now = now.Add(300 * time.Millisecond)
		_, status = core.Choose(now, chat)
		Expect(status).To(Equal(balancer.Found))
	})
})
