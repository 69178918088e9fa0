package allotter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/allotter"
	"primrosehook/clocker"
	"primrosehook/matcher"
)

// lateArbiter answers some calls too late, as a process that is not scheduled for a while.
type lateArbiter struct {
	arbiter *allotter.Allotter
	share   float64
}

func (p *lateArbiter) Call(ctx context.Context, _, _ string, request, reply any) error {
	grants := p.arbiter.Grant(request.(allotter.AllotRequest))
	if rand.Float64() < p.share {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*allotter.AllotReply) = grants
	return nil
}

var _ = Describe("Instances whose calls are answered late now and then", func() {
	// The load: 12 instances of a fleet of 76, an account at 0.55 of its cap, reports every 304 ms.
	// Guards against requests inside the cap that are refused until the arbiter has answered the next
	// report: 2 in 100 late calls.
	DescribeTable("refuse hardly any request inside the cap", func(share float64, lateReports int) {
		const instances, rate = 12, 300000.0
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		account := &matcher.Account{Name: "x", RatePerSecond: rate, Burst: rate}
		arbiter := allotter.New("arbiter.1", "arbiter", nil, clockwork.NewRealClock(), clocker.SystemClock{}, zap.NewNop())
		arbiter.BeginTerm(false, allotter.Entitled{})
		var work sync.WaitGroup
		var asked, refused atomic.Int64
		causes := &countingMeter{counts: map[string]int64{}}
		for i := range instances {
			name := fmt.Sprint("i", i)
			a := allotter.New(name, name, &lateArbiter{arbiter, share}, clockwork.NewRealClock(), clocker.SystemClock{}, zap.NewNop(), allotter.WithMeter(causes))
			report := func() {
				sent := a.Now()
				e := arbiter.Reported(name, name, a.State("arbiter", 554*time.Millisecond), true, instances)
				a.Replied(sent, "arbiter", &e, true, 76)
			}
			report()
			work.Go(func() {
				for n := 1; ctx.Err() == nil; n++ {
					pause := 304 * time.Millisecond
					if lateReports > 0 && (n+i)%lateReports == 0 {
						pause += 350 * time.Millisecond
					}
					time.Sleep(pause)
					report()
				}
			})
			work.Go(func() {
				time.Sleep(1500 * time.Millisecond)
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rand.ExpFloat64() * instances * usage / (0.55 * rate) * float64(time.Second)))
					work.Go(func() {
						asked.Add(1)
						if _, _, ok := a.Acquire(context.Background(), account, 1, usage); !ok {
							refused.Add(1)
						}
					})
				}
			})
		}
		time.Sleep(5 * time.Second)
		cancel()
		work.Wait()
		part := float64(refused.Load()) / float64(asked.Load())
		AddReportEntry("refused", fmt.Sprintf("%d of %d, %v", refused.Load(), asked.Load(), causes.counts))
		Expect(part).To(BeNumerically("<", 0.01))
	},
		Entry("2 in 100 calls late", 0.02, 0),
		Entry("5 in 100 calls late", 0.05, 0), Entry("one report in 5 late by 350 ms", 0.0, 5))
})
