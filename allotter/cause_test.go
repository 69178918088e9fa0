package allotter_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/allotter"
	"primrosehook/matcher"
)

// countingMeter keeps counts by name.
type countingMeter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (m *countingMeter) Add(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name] += n
}

// Guards against refusals that nobody can put down to usage above the cap or to a fault of the instances.
var _ = Describe("The cause of a refusal", func() {
	DescribeTable("is told by the arbiter", func(fraction float64, lowered bool, want allotter.Cause) {
		now := time.Unix(1000, 0)
		r := allotter.NewArbiter(exact)
		r.Delegate(now, "a", allotter.Entitlement{Fraction: fraction, Left: time.Hour})
		now = now.Add(5 * time.Second)
		item := allotter.Item{Account: "x", Version: 1, Rate: 1000, Burst: 1000, Need: fraction * 1000}
		r.Grant(now, "a", []allotter.Item{item})
		if lowered {
			item.Version, item.Rate, item.Burst = 2, 100, 100
		}
		g, _ := r.Grant(now, "a", []allotter.Item{item})
		Expect(g[0].Cause).To(Equal(want))
	},
		Entry("usage above the cap", 1.0, false, allotter.CauseOverCap),
		Entry("a lowered cap", 1.0, true, allotter.CauseCapLowered),
		Entry("a part that is missing", 0.5, false, allotter.CauseNoEntitlement),
	)

	It("travels in the reply, and is counted", func(ctx context.Context) {
		m := &countingMeter{counts: map[string]int64{}}
		account := &matcher.Account{Name: "x", RatePerSecond: 1000, Burst: 1000}
		a := newDelegating(&heldPeer{silent: true}, allotter.WithMeter(m))
		_, d, ok := a.Acquire(ctx, account, 1, 10)
		Expect(ok).To(BeFalse())
		Expect(d.Cause).To(Equal(allotter.CauseNoArbiter))
		Expect(m.counts).To(HaveKeyWithValue(allotter.MetricCause+"no_arbiter", BeEquivalentTo(1)))
		held := allotter.AllotRequest{Instance: "a.1", Items: []allotter.Item{{Account: "x", Rate: 1000, Burst: 1000, Need: 10}}}
		a.Reported("a.1", "self", allotter.Statement{Delegated: allotter.Entitlement{Fraction: 1, Left: time.Hour}}, false, 1)
		Expect(a.Grant(held).Causes).To(Equal([]allotter.Cause{allotter.CauseNoEntitlement}), "the bucket begins empty")
	}, NodeTimeout(10*time.Second))
})
