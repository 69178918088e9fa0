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

// churnClient sends requests and abandons or cancels some of them midway.
type churnClient struct {
	engine testEngine
	name   string
	random *rand.Rand
	wait   *sync.WaitGroup
	// complete are the answers that were read to their end, by request ID.
	complete map[string]string
}

func (c *churnClient) run(ctx context.Context, count int) {
	defer GinkgoRecover()
	defer c.wait.Done()
	for i := range count {
		q := driver.Request{
			ID: fmt.Sprint(c.name, "-", i), Weights: tiny, Prompt: c.name, Seed: int64(i + 1),
			MaxTokens: 1 + c.random.IntN(20), Priority: c.random.IntN(3),
		}
		s, err := c.engine.client.Generate(ctx, q)
		if err != nil {
			continue
		}
		c.read(ctx, s, q)
	}
}

func (c *churnClient) read(ctx context.Context, s driver.Stream, q driver.Request) {
	text := ""
	stopAt := c.random.IntN(40)
	for n := 0; n < stopAt; n++ {
		t, err := s.Next()
		if err != nil {
			break
		}
		text += t.Text
		if t.Finish != "" {
			c.complete[q.ID] = text
			Expect(text).To(Equal(faker.Text(faker.Answer(q))))
			break
		}
	}
	if c.random.IntN(4) == 0 {
		Expect(c.engine.client.Cancel(ctx, q.ID)).To(Succeed())
	}
	Expect(s.Close()).To(Succeed())
}

var _ = Describe("Engine under churn", func() {
	// Requests are abandoned, canceled or completed at random points. The engine
	// must release their memory and batch slots, and must not mix up answers.
	It("releases all memory and does not mix up answers", func(ctx context.Context) {
		settings := smallEngine()
		settings.MaxRunning = 4
		b := startEngine(settings)
		b.fake.Preload(tiny, 100)
		var wait sync.WaitGroup
		all := make([]*churnClient, 8)
		for i := range all {
			all[i] = &churnClient{
				engine: b, name: fmt.Sprint("churner ", i), wait: &wait,
				random: rand.New(rand.NewPCG(1, uint64(i))), complete: map[string]string{},
			}
			wait.Add(1)
			go all[i].run(ctx, 25)
		}
		wait.Wait()
		completed := 0
		for _, c := range all {
			completed += len(c.complete)
		}
		Expect(completed).To(BeNumerically(">", 0))
		Eventually(func() driver.Load { return b.fake.Report().Load }, "20s").Should(Equal(driver.Load{UsedMB: 100}))
		Expect(b.fake.Violations()).To(BeEmpty())
		for id, n := range b.fake.Ran() {
			Expect(n).To(Equal(1), id)
		}
	})
})
