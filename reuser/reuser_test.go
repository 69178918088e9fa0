package reuser_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/reuser"
)

// prompt returns a prompt of parts of 200, 100 and 1,000 tokens.
func prompt(model, adapter string, ids ...string) *reuser.Prompt {
	p := reuser.NewPrompt(model, adapter)
	for i, id := range ids {
		p.Add(id, []int{200, 100, 1000}[i])
	}
	return p
}

var _ = Describe("Cache", func() {
	const capacity = 3000
	var (
		c   *reuser.Cache
		now time.Time
	)
	held := func(p *reuser.Prompt) int {
		n, known := c.Held(now, p)
		Expect(known).To(BeTrue())
		return n
	}
	BeforeEach(func() {
		c, now = &reuser.Cache{}, time.Unix(1000, 0)
		c.AddUnnamed(now, 0, capacity)
		now = now.Add(4 * time.Second)
	})

	// Guards against counting a part that is held behind another beginning, or for other weights.
	It("holds a part for the same model, adapter and beginning only", func() {
		c.Add(now, prompt("m0", "", "a", "b", "x"), capacity)
		Expect(held(prompt("m0", "", "a", "b", "y"))).To(Equal(300))
		Expect(held(prompt("m0", "", "a", "c", "x"))).To(Equal(200))
		Expect(held(prompt("m0", "", "c", "b", "x"))).To(BeZero())
		Expect(held(prompt("m1", "", "a", "b", "x"))).To(BeZero())
		Expect(held(prompt("m0", "a1", "a", "b", "x"))).To(BeZero())
	})

	// Guards against a prompt that states many tokens for a part: others with this part would be taken
	// to need no prefill at all, and too many of them sent.
	It("counts no more tokens of a part than the prompt states", func() {
		large, small := reuser.NewPrompt("m0", ""), prompt("m0", "", "a", "b", "x")
		large.Add("a", 2500)
		c.Add(now, large, capacity)
		Expect(held(small)).To(Equal(200))
	})

	// The load: sessions that come once each. Guards against believing that a server holds more
	// than its capacity, and against evicting the beginning of a prompt before its end.
	It("evicts the parts of a long tail of sessions and keeps the part that all of them share", func() {
		for i := range 20 {
			c.Add(now, prompt("m0", "", "a", fmt.Sprint("s", i), fmt.Sprint("x", i)), capacity)
		}
		Expect(held(prompt("m0", "", "a", "s19", "new"))).To(Equal(300))
		Expect(held(prompt("m0", "", "a", "s5", "new"))).To(Equal(200))
		c.AddUnnamed(now, capacity, capacity)
		Expect(held(prompt("m0", "", "a", "s19", "new"))).To(BeZero())
	})

	// Guards against skipping the prefill of parts that went away with the weights.
	It("holds nothing for a model or an adapter after its unload", func() {
		c.Add(now, prompt("m0", "", "a", "b", "x"), capacity)
		c.Add(now, prompt("m0", "a1", "a", "b"), capacity)
		m0, _ := reuser.Weights("m0", "")
		c.Retain(func(model, adapter uint32) bool { return model == m0 && adapter == 0 })
		Expect([]int{held(prompt("m0", "a1", "a")), held(prompt("m0", "", "a"))}).To(Equal([]int{0, 200}))
		c.Retain(func(model, _ uint32) bool { return model != m0 })
		Expect(held(prompt("m0", "", "a"))).To(BeZero())
	})

	// Guards against an owner that takes over, or that prompts have passed by for a time, and whose
	// old belief would overload the server.
	It("says nothing before it has seen the prompts of three seconds, and after a pause of five", func() {
		p := prompt("m0", "", "a", "b", "x")
		c = &reuser.Cache{}
		c.Add(now, p, capacity)
		_, known := c.Held(now, p)
		Expect(known).To(BeFalse())
		now = now.Add(3 * time.Second)
		Expect(held(p)).To(Equal(1300))
		now = now.Add(6 * time.Second)
		tokens, known := c.Held(now, p)
		Expect([]any{tokens, known}).To(Equal([]any{0, false}))
	})

	// Guards against a peer's message that is cut off or has more parts than are kept.
	It("decodes what it encodes and rejects the rest", func() {
		p, out := prompt("m0", "a1", "a", "b", "x"), &reuser.Prompt{}
		raw, err := p.MarshalBinary()
		Expect(err).NotTo(HaveOccurred())
		Expect(raw).To(HaveLen(25))
		Expect(out.UnmarshalBinary(raw)).To(Succeed())
		Expect(out).To(Equal(p))
		Expect(out.UnmarshalBinary(raw[:len(raw)-1])).NotTo(Succeed())
		Expect(out.UnmarshalBinary(append(raw, make([]byte, 5*reuser.MaxParts)...))).NotTo(Succeed())
		Expect(out.UnmarshalBinary(nil)).NotTo(Succeed())
	})

	// Guards against a header with many parts that takes memory without bound.
	It("bounds the parts of a prompt and its own entries", func() {
		p := reuser.NewPrompt("m0", "")
		for i := range 100 {
			p.Add(fmt.Sprint(i), 1)
		}
		Expect(p.Parts).To(HaveLen(reuser.MaxParts))
		Expect(p.Tokens()).To(Equal(100))
		for i := range 2000 {
			c.AddUnnamed(now, 0, capacity+i)
		}
		c.Add(now, p, capacity)
		Expect(held(p)).To(Equal(100))
	})
})

var _ = Describe("Estimator", func() {
	var (
		e   *reuser.Estimator
		k   *reuser.Knowledge
		now time.Time
		p   = prompt("m0", "", "a", "b", "x")
	)
	BeforeEach(func() {
		e, k, now = &reuser.Estimator{}, &reuser.Knowledge{}, time.Unix(1000, 0)
		k.UpdateLoaded(map[string]bool{"m0": true}, time.Time{})
	})

	// Guards against pulling requests to one server for a part that all servers hold, and against
	// a belief that stays though it is wrong.
	It("learns by level and rank how often a part is held", func() {
		Expect(e.Expected(now, k, "m0", p, 0)).To(BeNumerically(">", e.Expected(now, k, "m0", p, 3)))
		for range 200 {
			e.Learn(now, k, "m0", p, 0, 200)
			e.Learn(now, k, "m0", p, 3, 200)
		}
		Expect(e.Expected(now, k, "m0", p, 0)).To(BeNumerically("~", 200, 10))
		Expect(e.Expected(now, k, "m0", p, 0) - e.Expected(now, k, "m0", p, 3)).To(BeNumerically("<", 5))
		Expect(e.Learn(now, k, "m0", p, 0, 300)).To(Equal(reuser.Outcome{Held: 300, BelievedTokens: 200, Hits: 1, Misses: 1}))
	})

	// Guards against memory that grows with the servers: 512 parts for each of 2,300 servers take more
	// than 50 MB.
	It("forgets prompts that are too old to be used", func() {
		for i := range 100 {
			k.RecordSent(now, "m0", prompt("m0", "", "a", fmt.Sprint("s", i), fmt.Sprint("x", i)))
			now = now.Add(time.Second)
		}
		Expect(k.Size()).To(BeNumerically("<", 40))
	})

	// Guards against believing that a server holds what went away with its weights.
	It("believes nothing of a server that has just loaded the weights, until it was sent the prompt", func() {
		k.RecordSent(now, "m0", p)
		Expect(e.Expected(now, k, "m0", p, 3)).To(BeNumerically(">", 1000))
		k.UpdateLoaded(map[string]bool{}, now)
		Expect(e.Expected(now, k, "m0", p, 0)).To(BeZero())
		k.UpdateLoaded(map[string]bool{"m0": true}, now)
		Expect(e.Expected(now, k, "m0", p, 0)).To(BeZero())
		k.RecordSent(now, "m0", p)
		Expect(e.Expected(now, k, "m0", p, 0)).To(BeNumerically(">", 1000))
	})
})
