package quarantiner_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/quarantiner"
)

var _ = Describe("ConnectionBreaks", func() {
	now := time.Unix(1000, 0)

	It("returns each request whose connection broke shortly before the loss once", func() {
		l := quarantiner.NewConnectionBreaks()
		l.Record(now, quarantiner.Identity{Digest: 1}, "a")
		l.Record(now.Add(time.Millisecond), quarantiner.Identity{Digest: 1}, "a")
		l.Record(now, quarantiner.Identity{Digest: 2}, "a")
		l.Record(now, quarantiner.Identity{Digest: 3}, "b")
		Expect(l.EngineLost(now.Add(time.Second), "a", 3*time.Second)).To(ConsistOf(quarantiner.ConnectionBreak{At: now, Identity: quarantiner.Identity{Digest: 1}}, quarantiner.ConnectionBreak{At: now, Identity: quarantiner.Identity{Digest: 2}}))
		Expect(l.EngineLost(now.Add(time.Second), "a", 3*time.Second)).To(BeEmpty())
	})

	It("returns no request whose connection broke long before the loss", func() {
		l := quarantiner.NewConnectionBreaks()
		l.Record(now, quarantiner.Identity{Digest: 1}, "a")
		Expect(l.EngineLost(now.Add(10*time.Second), "a", 3*time.Second)).To(BeEmpty())
	})

	// Guards against a mark that is newer than the completion of its request, which
	// would stay valid.
	It("marks requests at the time at which their connection broke", func() {
		clock := clockwork.NewFakeClock()
		g := quarantiner.NewGuard(clock, quarantiner.DefaultOptions())
		for _, engine := range []string{"a", "b"} {
			g.ConnectionBroke(quarantiner.Identity{Digest: 1}, engine)
			clock.Advance(100 * time.Millisecond)
			g.RequestCompleted(quarantiner.Identity{Digest: 1})
			g.ConnectionBroke(quarantiner.Identity{Digest: 2}, engine)
			clock.Advance(100 * time.Millisecond)
			g.EngineLost(engine)
			g.RequestCompleted(quarantiner.Identity{Digest: 2})
			clock.Advance(time.Second)
		}
		Expect(g.Remaining(quarantiner.Identity{Digest: 1})).To(BeZero())
		g.ConnectionBroke(quarantiner.Identity{Digest: 1}, "c")
		g.EngineLost("c")
		Expect(g.Remaining(quarantiner.Identity{Digest: 1})).To(BeZero(), "both earlier marks are void")
	})

	// Guards against a quarantine of what many clients ask for, when several engines that
	// have it in progress are lost at the same moment.
	It("suspects no request that others like it complete", func() {
		clock := clockwork.NewFakeClock()
		g := quarantiner.NewGuard(clock, quarantiner.DefaultOptions())
		lose := func(engines ...string) {
			for _, engine := range engines {
				g.ConnectionBroke(quarantiner.Identity{Digest: 1}, engine)
				g.EngineLost(engine)
			}
		}
		g.RequestCompleted(quarantiner.Identity{Digest: 1})
		clock.Advance(5 * time.Second)
		lose("a", "b", "c", "d", "e")
		Expect(g.Export()).To(BeEmpty())
		clock.Advance(20 * time.Second)
		lose("f", "g")
		Expect(g.Remaining(quarantiner.Identity{Digest: 1})).To(BeNumerically(">", 0), "none has completed for long")
	})
})

var _ = Describe("A loss of an engine that no probe confirms", func() {
	var (
		clock *clockwork.FakeClock
		g     *quarantiner.Guard
		id    = quarantiner.Identity{Digest: 1}
	)
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		g = quarantiner.NewGuard(clock, quarantiner.DefaultOptions())
	})

	// Guards against missing crashes while no peer can confirm that a server refuses
	// connections.
	It("counts once another incarnation has replaced the engine", func() {
		for _, engine := range []string{"a", "b"} {
			g.ConnectionBroke(id, engine)
			clock.Advance(5 * time.Second)
			g.EngineReplaced(engine)
		}
		Expect(g.Remaining(id)).To(BeNumerically(">", 0))
	})

	// Guards against missing the crashes of servers that end without closing their
	// connections: a request to one is given up after the server is back.
	It("counts if the request is given up after that", func() {
		for _, engine := range []string{"a", "b"} {
			g.EngineReplaced(engine)
			clock.Advance(5 * time.Second)
			g.ConnectionBroke(id, engine)
		}
		Expect(g.Remaining(id)).To(BeNumerically(">", 0))
	})

	It("does not count for a connection that broke long before", func() {
		for _, engine := range []string{"a", "b"} {
			g.ConnectionBroke(id, engine)
			clock.Advance(time.Minute)
			g.EngineReplaced(engine)
		}
		Expect(g.Remaining(id)).To(BeZero())
	})
})
