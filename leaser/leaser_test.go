package leaser_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/leaser"
	"primrosehook/replayer"
)

var (
	start    = time.Unix(1_000_000, 0)
	settings = leaser.Settings{Term: 6 * time.Second, Margin: time.Second, RankDelay: time.Second}
)

func claimAfter(prev replayer.Position) leaser.Claim {
	return leaser.Claim{Prev: prev, Term: settings.Term}
}

var _ = Describe("State", func() {
	It("accepts the first of two claims that follow the same entry", func() {
		s := leaser.NewState()
		Expect(s.Claim(3, "b", claimAfter(leaser.None))).To(BeTrue())
		Expect(s.Claim(4, "c", claimAfter(leaser.None))).To(BeFalse())
		Expect(s.Holder).To(Equal("b"))
		Expect(s.Fence).To(BeEquivalentTo(3))
	})

	It("keeps the fencing token across renewals and changes it with the holder", func() {
		s := leaser.NewState()
		s.Claim(3, "b", claimAfter(leaser.None))
		Expect(s.Claim(5, "b", claimAfter(3))).To(BeTrue())
		Expect(s.Fence).To(BeEquivalentTo(3))
		Expect(s.Claim(9, "c", claimAfter(5))).To(BeTrue())
		Expect(s.Fence).To(BeEquivalentTo(9))
		Expect(s.Claim(10, "b", claimAfter(5))).To(BeFalse())
	})

	It("rejects a claim that arrives after a release and follows an older entry", func() {
		s := leaser.NewState()
		s.Claim(3, "b", claimAfter(leaser.None))
		Expect(s.Release(4, "c", leaser.Release{Prev: 3})).To(BeFalse())
		Expect(s.Release(5, "b", leaser.Release{Prev: 3})).To(BeTrue())
		Expect(s.Holder).To(BeEmpty())
		Expect(s.Claim(6, "c", claimAfter(leaser.None))).To(BeFalse())
		Expect(s.Claim(7, "c", claimAfter(5))).To(BeTrue())
	})

	DescribeTable("rejects a claim whose term is out of bounds",
		func(term time.Duration) {
			s := leaser.NewState()
			Expect(s.Claim(1, "b", leaser.Claim{Prev: leaser.None, Term: term})).To(BeFalse())
		},
		Entry("zero", time.Duration(0)),
		Entry("negative", -time.Second),
		Entry("above MaxTerm", leaser.MaxTerm+1),
	)
})

var _ = Describe("Elector", func() {
	var (
		state leaser.State
		next  replayer.Position
	)
	BeforeEach(func() {
		state = leaser.NewState()
		next = 0
	})
	appendClaim := func(instance string, c leaser.Claim) bool {
		next++
		return state.Claim(next, instance, c)
	}
	acquire := func(k *leaser.Elector, instance string, now time.Time) {
		k.Observe(now, state)
		c, due := k.Next(now, 0)
		Expect(due).To(BeTrue())
		accepted := appendClaim(instance, c)
		k.Observe(now, state)
		k.ClaimResolved(accepted)
	}

	It("counts the term from before the claim was sent", func() {
		k := leaser.NewElector("a", settings)
		k.Observe(start, state)
		c, _ := k.Next(start, 0)
		accepted := appendClaim("a", c)
		k.Observe(start.Add(5*time.Second), state)
		k.ClaimResolved(accepted)
		Expect(k.Valid(start.Add(6*time.Second - 1))).To(BeTrue())
		Expect(k.Valid(start.Add(6 * time.Second))).To(BeFalse())
	})

	It("is not valid after a claim with an unknown outcome, and renews it when it appears in the log", func() {
		k := leaser.NewElector("a", settings)
		k.Observe(start, state)
		c, _ := k.Next(start, 0)
		appendClaim("a", c)
		k.ClaimResolved(false)
		k.Observe(start, state)
		Expect(k.IsHolder()).To(BeTrue())
		Expect(k.Valid(start)).To(BeFalse())
		c, due := k.Next(start, 0)
		Expect(due).To(BeTrue())
		Expect(appendClaim("a", c)).To(BeTrue())
	})

	It("lets another instance claim only after the term and the margin since it read the claim", func() {
		a, b := leaser.NewElector("a", settings), leaser.NewElector("b", settings)
		acquire(a, "a", start)
		readAt := start.Add(3 * time.Second)
		b.Observe(readAt, state)
		_, due := b.Next(readAt.Add(7*time.Second-1), 0)
		Expect(due).To(BeFalse())
		_, due = b.Next(readAt.Add(7*time.Second), 1)
		Expect(due).To(BeFalse(), "the owner of rank 1 waits longer")
		_, due = b.Next(readAt.Add(7*time.Second), 0)
		Expect(due).To(BeTrue())
	})

	It("restarts the wait of other instances with each renewal", func() {
		a, b := leaser.NewElector("a", settings), leaser.NewElector("b", settings)
		acquire(a, "a", start)
		b.Observe(start, state)
		acquire(a, "a", start.Add(2*time.Second))
		b.Observe(start.Add(2*time.Second), state)
		_, due := b.Next(start.Add(8*time.Second), 0)
		Expect(due).To(BeFalse())
	})

	It("is not valid from its release on", func() {
		a, b := leaser.NewElector("a", settings), leaser.NewElector("b", settings)
		acquire(a, "a", start)
		r, ok := a.Release()
		Expect(ok).To(BeTrue())
		Expect(a.Valid(start)).To(BeFalse())
		next++
		Expect(state.Release(next, "a", r)).To(BeTrue())
		b.Observe(start, state)
		_, due := b.Next(start, 0)
		Expect(due).To(BeTrue(), "a released lease can be claimed at once")
	})
})
