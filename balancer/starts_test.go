package balancer_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
)

// Guards against what is known of an earlier start of a server being used for the present one: a new
// server that counts as full, slow, failing, paused or without a model gets no requests.
var _ = Describe("Server that starts again under its ID", func() {
	var (
		fleet *balancer.Fleet
		clock *clockwork.FakeClock
	)
	chat := balancer.Request{Model: "m", PromptTokens: 1460, OutputTokens: 170}
	started := func(incarnation string, heartbeat int64) registrar.Server {
		s := server("a", "z1", "m")
		s.Incarnation, s.Heartbeat = incarnation, heartbeat
		return s
	}
	take := func() *balancer.Assignment {
		a, status := fleet.Take("llm", chat)
		ExpectWithOffset(1, status).To(Equal(balancer.Found))
		return a
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		fleet = balancer.NewFleet("z1", 1, clock)
		fleet.Update([]registrar.Server{started("a@1", 9)})
	})

	DescribeTable("keeps nothing of the earlier start",
		func(again registrar.Server, before, after func(a *balancer.Assignment)) {
			// The load: one request at the earlier start, and one at the present start.
			old := take()
			before(old)
			fleet.Update([]registrar.Server{again})
			current := take()
			after(old)
			Expect(fleet.OwnInFlight()["a"].Requests).To(Equal(1))
			current.Cancel()
			next := take()
			Expect(next.Inputs.InFlight.Requests).To(BeZero())
			Expect(next.Inputs.InFlight.RunningStreams).To(BeZero())
			Expect(next.Inputs.Speed).To(Equal(1.0))
			Expect(next.Inputs.Slowdown).To(Equal(1.0))
			Expect(next.Inputs.Excess).To(BeZero())
			Expect(next.EngineLoad().RunningStreams).To(BeZero())
		},
		Entry("its in-flight counts", started("a@2", 1), func(*balancer.Assignment) {}, func(a *balancer.Assignment) { a.Cancel() }),
		Entry("its streams", started("a@2", 1), func(a *balancer.Assignment) { a.RecordFirstEvent() }, func(a *balancer.Assignment) { a.Done(true) }),
		Entry("first events that come late", started("a@2", 1), func(*balancer.Assignment) {}, func(a *balancer.Assignment) { a.RecordFirstEvent(); a.RecordPace(40) }),
		Entry("its speed", started("a@2", 1), func(*balancer.Assignment) { fleet.UpdateSpeeds(map[string]int{"a": 50}, nil) },
			func(*balancer.Assignment) { fleet.UpdateSpeeds(map[string]int{"a": 50}, nil) }),
		Entry("its load", started("a@2", 1),
			func(a *balancer.Assignment) {
				a.RecordLoad(balancer.LoadReport{Known: true, Running: 9, Slowness: 3})
			},
			func(a *balancer.Assignment) {
				a.RecordLoad(balancer.LoadReport{Known: true, Running: 9, Slowness: 3})
			}),
		Entry("that it was full", started("a@2", 1), func(a *balancer.Assignment) { a.MarkFull() }, func(a *balancer.Assignment) { a.MarkFull() }),
		Entry("its reservation", started("a@2", 1), func(a *balancer.Assignment) { a.RecordReservation(time.Second) }, func(a *balancer.Assignment) { a.Postpone(time.Second) }),
		Entry("its rate limit", started("a@2", 1), func(*balancer.Assignment) {}, func(a *balancer.Assignment) { a.RateLimit(time.Second) }),
		Entry("its pause", started("a@2", 1), func(a *balancer.Assignment) { a.MarkResting(time.Second) }, func(a *balancer.Assignment) { a.MarkResting(time.Second) }),
		Entry("its departure", started("a@2", 1), func(a *balancer.Assignment) { a.MarkLeaving() }, func(a *balancer.Assignment) { a.MarkLeaving() }),
		Entry("its overlay", started("a@2", 1), func(a *balancer.Assignment) { a.MarkNotLoaded() }, func(a *balancer.Assignment) { a.MarkNotLoaded() }),
		Entry("that it took no connections", started("a@2", 1), func(a *balancer.Assignment) { a.MarkUnreachable() }, func(a *balancer.Assignment) { a.MarkUnreachable() }),
		Entry("anything if only the sequence shows the start", started("a@1", 1), func(a *balancer.Assignment) { a.MarkFull() }, func(a *balancer.Assignment) { a.MarkFull() }),
	)

	It("gets no counts of peers of its earlier start, and those of the present one", func() {
		counts := map[string]balancer.InFlight{"a": {Requests: 30, RunningStreams: 30}}
		known := func(with balancer.Starts) int {
			fleet.UpdatePeers(counts, with)
			a := take()
			defer a.Cancel()
			return a.Inputs.InFlight.Requests
		}
		Expect(known(nil)).To(Equal(30))
		Expect(fleet.Starts()).To(BeEmpty())
		fleet.Update([]registrar.Server{started("a@2", 1)})
		Expect(known(nil)).To(BeZero())
		Expect(known(balancer.Starts{"a": balancer.Hash("a@1")})).To(BeZero())
		Expect(known(balancer.Starts{"a": balancer.Hash("a@2")})).To(Equal(30))
		Expect(fleet.Starts()).To(Equal(balancer.Starts{"a": balancer.Hash("a@2")}))
		clock.Advance(10 * time.Second)
		Expect(known(nil)).To(Equal(30), "all peers know of the start by now")
		clock.Advance(20 * time.Second)
		Expect(fleet.Starts()).To(BeEmpty())
	})
})
