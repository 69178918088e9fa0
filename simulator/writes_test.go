package simulator_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/server"
)

// post is one receipt that is posted to a service.
type post struct {
	cluster  *cluster
	client   int
	key      string
	start    time.Time
	group    *sync.WaitGroup
	op       porcupine.Operation
	response response
}

// repeated reports whether the response is that of an earlier request.
func (p *post) repeated() bool { return p.response.header.Get(server.RepeatedHeader) != "" }

func (p *post) run(ctx context.Context) {
	defer p.group.Done()
	// Spread the posts of a round over the time of its faults.
	time.Sleep(time.Duration(p.cluster.intn(900)) * time.Millisecond)
	url := p.cluster.randomEntry().URL() + "/services/kiosk/receipts"
	call := time.Since(p.start)
	p.response = sendRequest(ctx, "POST", url, p.key, "receipt "+p.key, 30*time.Second)
	p.op = porcupine.Operation{
		ClientId: p.client, Input: p.key, Output: p,
		Call: int64(call), Return: int64(time.Since(p.start)),
	}
	if p.response.verdict == judge.MayHaveRun {
		p.op.Return = int64(time.Hour)
	}
}

// writeOnceRegister models a write-once register for each key. A response that
// is not marked as repeated must be the first for its key. A repeated one may
// be the first too: the request itself may have run at an owner on which the
// forwarding instance had given up.
var writeOnceRegister = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var all [][]porcupine.Operation
		for _, ops := range byKey {
			all = append(all, ops)
		}
		return all
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, p := state.(bool), output.(*post)
		switch {
		case p.response.verdict == judge.NotRun:
			return []any{ran}
		case p.response.verdict == judge.MayHaveRun:
			return []any{ran, true}
		case ran && !p.repeated():
			return nil
		}
		return []any{true}
	},
}

// postReceipts posts each key several times to random entry instances while
// faults are injected, then once more after they are cleared.
func postReceipts(ctx context.Context, c *cluster, keys, rounds, each int) []*post {
	startedAt := time.Now()
	var all []*post
	send := func(key string, g *sync.WaitGroup) {
		p := &post{cluster: c, client: len(all), key: key, start: startedAt, group: g}
		all = append(all, p)
		g.Add(1)
		go p.run(ctx)
	}
	for range rounds {
		var g sync.WaitGroup
		for range each {
			send(fmt.Sprint("k", c.intn(keys)), &g)
		}
		for range 1 + c.intn(2) {
			m := &faultInjection{cluster: c, group: &g}
			g.Add(1)
			go m.run(ctx)
		}
		g.Wait()
	}
	c.clearFaults(ctx)
	Eventually(func() judge.Verdict {
		return sendRequest(ctx, "POST", c.randomEntry().URL()+"/services/kiosk/receipts", "healed", "x", 20*time.Second).verdict
	}, waitLimit, "200ms").Should(Equal(judge.Ran))
	var g sync.WaitGroup
	for k := range keys {
		send(fmt.Sprint("k", k), &g)
	}
	g.Wait()
	return all
}

var _ = Describe("receipts posted to real processes", func() {
	DescribeTable("run at most once, with a linearizable history, under kills, freezes, log outages and lost replies",
		func(ctx context.Context, seed int64) {
			c := startCluster(ctx, programs, seed)
			publishFirst(ctx, c)
			all := postReceipts(ctx, c, 60, 10, 20)

			var ops []porcupine.Operation
			counts := map[judge.Verdict]int{}
			notRun := map[string]bool{}
			for _, p := range all {
				ops = append(ops, p.op)
				counts[p.response.verdict]++
				if _, seen := notRun[p.key]; !seen {
					notRun[p.key] = true
				}
				notRun[p.key] = notRun[p.key] && p.response.verdict == judge.NotRun
			}
			for key, count := range c.runCounts(ctx) {
				Expect(count).To(BeNumerically("<=", 1), "seed %d: %s", seed, key)
				Expect(notRun[key]).To(BeFalse(), "seed %d: every post of %s was reported as not run", seed, key)
			}
			Expect(porcupine.CheckOperationsTimeout(writeOnceRegister.ToModel(), ops, time.Minute)).To(Equal(porcupine.Ok), "seed %d", seed)
			AddReportEntry(fmt.Sprintf("seed %d, posts by verdict", seed), fmt.Sprint(counts))
			Expect(counts[judge.Ran]).To(BeNumerically(">", 10))
		},
		Entry("seed 1", int64(1)),
		Entry("seed 2", int64(2)),
		Entry("seed 3", int64(3)),
	)
})
