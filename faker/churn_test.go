package faker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
)

// churner sends requests and gives some of them up half way.
type churner struct {
	bench  bench
	name   string
	random *rand.Rand
	wait   *sync.WaitGroup
	// whole are the answers that were read to their end.
	whole map[string]string
}

func (c *churner) run(ctx context.Context, count int) {
	defer GinkgoRecover()
	defer c.wait.Done()
	for i := range count {
		q := driver.Request{
			ID: fmt.Sprint(c.name, "-", i), Weights: tiny, Prompt: c.name, Seed: int64(i + 1),
			MaxTokens: 1 + c.random.IntN(20), Priority: c.random.IntN(3),
		}
		s, err := c.bench.client.Generate(ctx, q)
		if err != nil {
			continue
		}
		c.read(ctx, s, q)
	}
}

func (c *churner) read(ctx context.Context, s driver.Stream, q driver.Request) {
	text := ""
	stopAt := c.random.IntN(40)
	for n := 0; n < stopAt; n++ {
		t, err := s.Next()
		if err != nil {
			break
		}
		text += t.Text
		if t.Finish != "" {
			c.whole[q.ID] = text
			Expect(text).To(Equal(faker.Text(faker.Answer(q))))
			break
		}
	}
	if c.random.IntN(4) == 0 {
		Expect(c.bench.client.Cancel(ctx, q.ID)).To(Succeed())
	}
	Expect(s.Close()).To(Succeed())
}

var _ = Describe("Engine under churn", func() {
	// Whatever is given up, cancelled or finished at whatever moment: all its
	// memory and its place in the batch come back, and no answer is mixed up.
	It("gives back all memory and mixes up no answer", func(ctx context.Context) {
		settings := quick()
		settings.Batch = 4
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		var wait sync.WaitGroup
		all := make([]*churner, 8)
		for i := range all {
			all[i] = &churner{
				bench: b, name: fmt.Sprint("churner ", i), wait: &wait,
				random: rand.New(rand.NewPCG(1, uint64(i))), whole: map[string]string{},
			}
			wait.Add(1)
			go all[i].run(ctx, 25)
		}
		wait.Wait()
		whole := 0
		for _, c := range all {
			whole += len(c.whole)
		}
		Expect(whole).To(BeNumerically(">", 0))
		Eventually(func() driver.Load { return b.fake.Report().Load }, "20s").Should(Equal(driver.Load{UsedMB: 100}))
		Expect(b.fake.Violations()).To(BeEmpty())
		for id, n := range b.fake.Ran() {
			Expect(n).To(Equal(1), id)
		}
	})
})
