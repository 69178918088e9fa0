package balancer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/registrar"
	"primrosehook/reuser"
)

var _ = Describe("A prompt with a prefix", func() {
	var (
		core *balancer.Core
		now  time.Time
		q    balancer.Request
		list []registrar.Server
	)
	choose := func(exclude ...string) string {
		r := q
		r.Exclude = exclude
		id, status := core.Choose(now, r)
		Expect(status).To(Equal(balancer.Found))
		return id
	}
	believed := func(id string) int { return core.ChoiceInputs(now, id, q).BelievedTokens }
	BeforeEach(func() {
		core, now, list = balancer.NewCore("z1", 1), time.Unix(1000, 0), nil
		q = balancer.Request{Model: "m0", PromptTokens: 1460, SharedTokens: 350, SessionHash: 7, Prompt: reuser.NewPrompt("m0", "")}
		for i, tokens := range []int{210, 140, 1110} {
			q.Prompt.Add(fmt.Sprint("p", i), tokens)
		}
		for i := range 5 {
			list = append(list, server(fmt.Sprint("s", i), "z1", "m0"))
		}
		core.Update(now, list)
		core.UpdatePeers(now, nil)
	})

	// Guards against spreading a hot prefix over all replicas once its server is full: the same second
	// one takes it.
	It("goes to the next server in the rendezvous order when the first one is full", func() {
		first := choose()
		second := choose(first)
		for range 20 {
			Expect([]string{choose(), choose(first)}).To(Equal([]string{first, second}))
		}
	})

	// Guards against believing in what a crash, a start under the same ID or an unload has dropped.
	It("is not believed to be held after a new start or an unload of the model", func() {
		first := choose()
		core.RecordSent(now, first, q)
		core.RecordHeld(now, first, q, 0, true)
		Expect(believed(first)).To(BeNumerically(">", 1000))
		core.MarkNotLoaded(now, first, "m0")
		now = now.Add(2 * time.Second)
		core.Update(now, list)
		Expect(believed(first)).To(BeZero())
		core.RecordHeld(now, first, q, 0, true)
		Expect(believed(first)).To(BeNumerically(">", 1000))
		for i := range list {
			if list[i].ID == first {
				list[i].Incarnation = "new"
			}
		}
		core.Update(now, list)
		Expect(believed(first)).To(BeZero())
	})

	// Guards against counts of waiting prompt tokens that drift, since a request is counted with one
	// number of tokens and removed with another.
	It("counts as what has to be prefilled once the owner has said what is held", func() {
		core.RecordSent(now, "s0", q)
		r, _ := core.RecordHeld(now, "s0", q, 350, true)
		f := core.OwnInFlight(now)["s0"]
		Expect([]int{f.PrefillTokens, f.RecentPromptTokens}).To(Equal([]int{1110, 1110}))
		core.RecordSent(now, "s0", q)
		core.RecordFirstEvent("s0", r, time.Second)
		Expect(core.OwnInFlight(now)["s0"].PrefillTokens).To(Equal(1460))
	})

	// Guards against the same where the request is cancelled or ends without a first event, and against
	// a reply that is counted twice.
	DescribeTable("leaves no tokens in flight", func(end func(balancer.Request)) {
		core.RecordSent(now, "s0", q)
		core.RecordSent(now, "s0", q)
		r, _ := core.RecordHeld(now, "s0", q, 350, true)
		r, _ = core.RecordHeld(now, "s0", r, 210, true)
		Expect(core.OwnInFlight(now)["s0"].PrefillTokens).To(Equal(1460 + 1250))
		end(r)
		core.Cancel("s0", q)
		f := core.OwnInFlight(now.Add(time.Minute))["s0"]
		Expect([]int{f.PrefillTokens, f.CacheTokens, f.Requests}).To(Equal([]int{0, 0, 0}))
		core.RecordSent(now, "s0", q)
		core.RecordSent(now, "s0", q)
		end(r)
		Expect(core.OwnInFlight(now)["s0"].PrefillTokens).To(Equal(2*1460 - 1250))
	},
		Entry("once it is cancelled", func(r balancer.Request) { core.Cancel("s0", r) }),
		Entry("once it has ended without an event", func(r balancer.Request) { core.RecordDone(now, "s0", r, false, true, time.Second) }),
	)
})
