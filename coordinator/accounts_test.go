package coordinator_test

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/allotter"
	"primrosehook/balancer"
	"primrosehook/clocker"
	"primrosehook/coordinator"
	"primrosehook/matcher"
	"primrosehook/messenger"
	"primrosehook/quarantiner"
	"primrosehook/tailer"
)

// reportAlone runs an instance that becomes the lease holder, and returns its allotter.
func reportAlone(table *matcher.Table) *allotter.Allotter {
	clock := clockwork.NewRealClock()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	peers := messenger.NewClient(clock)
	accounts := allotter.New("a", "127.0.0.1:1", peers, clock, clocker.SystemClock{}, zap.NewNop())
	stream := func() *tailer.Tailer {
		return tailer.New("stream", &countingSource{}, discard{}, clock, zap.NewNop(), tailer.WithInterval(func() time.Duration { return 100 * time.Millisecond }), tailer.WithFeedTTL(func() time.Duration { return 800 * time.Millisecond }))
	}
	c := coordinator.New(coordinator.Dependencies{
		Instance: "a", Machine: "a", Address: "127.0.0.1:1", LinkMbps: 1000, OrderGap: 300 * time.Millisecond, ColdLoadWindow: time.Second, ColdLoadOverage: 1,
		LeaseLog: &sharedLog{}, Fleet: balancer.NewFleet("z", 1, clock), Suspects: quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), Registry: stream(), Config: stream(),
		Table: func() *matcher.Table { return table }, Clock: clock, Boot: clocker.SystemClock{}, Log: zap.NewNop(), Meter: discard{}, Accounts: accounts,
		Peers: peers, OnMembers: func([]string) {},
	})
	go c.Run(ctx)
	Eventually(c.HoldsLease, "8s").Should(BeTrue())
	return accounts
}

var _ = Describe("A report", func() {
	// Guards against an instance that has just started and refuses requests inside their cap from
	// the reply that brings its configuration until its next report.
	It("states entitlements before the instance has a configuration", func() {
		accounts := reportAlone(nil)
		Eventually(func() string { return accounts.Status().Arbiter }, "3s").Should(Equal("127.0.0.1:1"))
		Expect(accounts.Status().Fraction).To(Equal(1.0))
	})

	It("states none if the configuration has no accounts", func() {
		accounts := reportAlone(matcher.NewTable(1, nil, nil, matcher.Limits{}))
		Consistently(func() string { return accounts.Status().Arbiter }, "1s").Should(BeEmpty())
	})
})
