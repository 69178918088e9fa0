package pacer_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/messenger"
	"primrosehook/pacer"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

var _ = Describe("Reservations of prompts with prefixes", func() {
	var (
		clock *clockwork.FakeClock
		p     *pacer.Pacer
	)
	reserve := func(model string) pacer.Reservation {
		prompt := reuser.NewPrompt(model, "")
		prompt.Add("first", 400)
		prompt.Add("own", 600)
		r, err := p.Reserve(context.Background(), "s-a", 800, 300*time.Millisecond, balancer.EngineLoad{EventTokens: 4, Prompt: prompt, FreeCache: 23000})
		Expect(err).NotTo(HaveOccurred())
		return r
	}
	heldBy := func(r pacer.Reservation) int {
		held, known := r.Held()
		Expect(known).To(BeTrue())
		return held
	}
	registration := func(heartbeat int64, models ...string) []registrar.Server {
		s := registrar.Server{ID: "s", Incarnation: "s-a", Heartbeat: heartbeat}
		for _, m := range models {
			s.Loaded = append(s.Loaded, registrar.LoadedModel{Model: m})
		}
		return []registrar.Server{s}
	}
	BeforeEach(func() {
		clock = clockwork.NewFakeClock()
		p = pacer.New("self", nil, messenger.NewClient(clock), clock, zap.NewNop())
		_, known := reserve("m0").Held()
		Expect(known).To(BeFalse())
		clock.Advance(4 * time.Second)
		Expect(heldBy(reserve("m0"))).To(Equal(1000))
	})

	// Guards against delaying prompts for tokens that need no prefill. Within 300 ms the server
	// prefills some 5,400 tokens: five whole prompts.
	It("count only the tokens that have to be prefilled", func() {
		p.UpdateServers(registration(1, "m0"))
		for range 30 {
			Expect(reserve("m0").Wait).To(BeZero())
		}
		waits := time.Duration(0)
		for range 6 {
			waits += reserve("m1").Wait
			p.UpdateServers(registration(2, "m0"))
		}
		Expect(waits).To(BeNumerically(">", 0))
	})

	// Guards against counting whole prompts, and so delaying them, where the configuration does not
	// state the capacity of caches.
	It("count by the sender's estimate if the capacity of the cache is not known", func() {
		prompt := reuser.NewPrompt("m0", "")
		prompt.Add("first", 3000)
		prompt.Add("own", 3000)
		for range 5 {
			r, err := p.Reserve(context.Background(), "s-b", 800, 300*time.Millisecond, balancer.EngineLoad{EventTokens: 4, Prompt: prompt})
			Expect(err).NotTo(HaveOccurred())
			Expect(r).To(Equal(pacer.Reservation{Reserved: true}))
		}
	})

	// Guards against a false header that closes the server's schedule for days and takes an entry for
	// each window of them.
	It("count a prompt as no more tokens than servers' caches hold", func() {
		for _, prompt := range []*reuser.Prompt{nil, reuser.NewPrompt("m0", "")} {
			if prompt != nil {
				for i := range 16 {
					prompt.Add(string(rune('a'+i)), 1<<30)
				}
			}
			_, err := p.Reserve(context.Background(), "s-a", 1<<34, 300*time.Millisecond, balancer.EngineLoad{EventTokens: 4, Prompt: prompt, FreeCache: 23000})
			Expect(err).NotTo(HaveOccurred())
			clock.Advance(2 * time.Minute)
			Expect(reserve("m0")).To(Equal(pacer.Reservation{Reserved: true}))
			clock.Advance(time.Second)
		}
	})

	// Guards against believing that a server holds what a crash, a start under the same incarnation
	// or an unload has dropped.
	DescribeTable("know nothing held any more after",
		func(list func() []registrar.Server, statesNothing bool) {
			p.UpdateServers(registration(7, "m0"))
			p.UpdateServers(list())
			held, known := reserve("m0").Held()
			Expect(held).To(BeZero())
			Expect(known).To(Equal(statesNothing))
		},
		Entry("a crash", func() []registrar.Server { return nil }, false),
		Entry("a start with a lower sequence", func() []registrar.Server { return registration(1, "m0") }, false),
		Entry("an unload", func() []registrar.Server { return registration(8, "m1") }, true),
		Entry("an unload and a load of another version between two registrations", func() []registrar.Server {
			list := registration(8, "m0")
			list[0].Loaded[0].Version = 2
			return list
		}, true),
	)
})
