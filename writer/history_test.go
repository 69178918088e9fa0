package writer_test

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/sharder"
	"primrosehook/simulator"
	"primrosehook/writer"
)

// operation and result are a write as porcupine sees it. A key is a register
// that is written once, with the name of the request that ran.
type operation struct{ key, name string }

type result struct {
	ran     string
	verdict judge.Verdict
}

// unresolved is the state of a key that stays claimed without an outcome,
// whether its write ran or not.
const unresolved = "stuck"

var model = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var all [][]porcupine.Operation
		for _, ops := range byKey {
			all = append(all, ops)
		}
		return all
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, op, out := state.(string), input.(operation), output.(result)
		switch out.verdict {
		case judge.NotRun:
			return []any{now}
		case judge.MayHaveRun:
			if now == "" {
				return []any{now, op.name, unresolved}
			}
			return []any{now}
		}
		if now == "" && out.ran == op.name {
			return []any{op.name}
		}
		if now == out.ran {
			return []any{now}
		}
		return nil
	},
}

// operations converts calls to a history. A call that may have run can take
// effect at any time after it began.
func operations(calls []*call) []porcupine.Operation {
	began := calls[0].startedAt
	for _, c := range calls {
		if c.startedAt.Before(began) {
			began = c.startedAt
		}
	}
	var ops []porcupine.Operation
	for i, c := range calls {
		op := porcupine.Operation{
			ClientId: i, Input: operation{c.key, c.name},
			Call: int64(c.startedAt.Sub(began)), Return: int64(c.endedAt.Sub(began)),
		}
		out := result{ran: string(c.response.Body), verdict: judge.Ran}
		if c.err != nil {
			out = result{verdict: judge.Of(c.err)}
		}
		if out.verdict == judge.MayHaveRun {
			op.Return = int64(time.Hour)
		}
		op.Output = out
		ops = append(ops, op)
	}
	return ops
}

func checkHistory(calls []*call) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations(calls), time.Minute)
}

// chaos is a seeded run: clients write a few keys at all instances while
// appends are lost, late, duplicated and refused, servers are unreachable or
// lose replies, connections to the log are cut, and one instance is killed.
type chaos struct {
	seed   int64
	random *rand.Rand
	mu     sync.Mutex
	fleet  *simulator.Fleet
	all    []*instance
	calls  []*call
}

func (c *chaos) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

// sendDelay returns how long a send takes: mostly short, at times longer than
// an owner's time limit and than a process waits before it withdraws a claim.
func (c *chaos) sendDelay() time.Duration {
	switch n := c.intn(40); {
	case n == 0:
		return 1200 * time.Millisecond
	case n < 10:
		return time.Duration(c.intn(150)) * time.Millisecond
	}
	return 0
}

func (c *chaos) run(s *simulator.Service) {
	s.SetBehavior(func() simulator.SendOutcome {
		if n := c.intn(8); n < 2 {
			return simulator.SendUnreachable
		} else if n == 2 {
			return simulator.SendReplyLost
		}
		return simulator.SendAnswered
	}, nil)
	for _, i := range c.all {
		// With every other seed all instances compete for the claims.
		i.node.SetSoleOwner(c.seed%2 == 0)
		i.node.Log.SetFaults(func() simulator.Fault {
			return simulator.Fault(max(0, c.intn(11)-5))
		})
	}
	var g sync.WaitGroup
	for round := range 6 {
		for i := range 16 {
			one := &call{
				at: c.all[c.intn(len(c.all))], key: fmt.Sprint("k", c.intn(10)), name: fmt.Sprint("r", round, "-", i),
				limit: time.Duration(100+c.intn(900)) * time.Millisecond, group: &g,
			}
			c.calls = append(c.calls, one)
			g.Add(1)
			go one.run()
		}
		victim := c.all[c.intn(len(c.all))]
		switch round {
		case 1, 3:
			victim.node.Log.SetUnreachable(true)
			time.Sleep(100 * time.Millisecond)
			victim.node.Log.SetUnreachable(false)
		case 4:
			victim.node.Kill()
			c.fleet.Remove(victim.node.Name)
			c.all = slices.DeleteFunc(c.all, func(i *instance) bool { return i == victim })
		}
		c.fleet.Log.ApplyDelayed()
		g.Wait()
	}
}

// replay writes every key again without faults, so that the history ends with
// the state of the log.
func (c *chaos) replay(s *simulator.Service) {
	s.SetBehavior(simulator.Always(simulator.SendAnswered), nil)
	for _, i := range c.all {
		i.node.Log.SetFaults(func() simulator.Fault { return simulator.NoFault })
	}
	c.fleet.Log.ApplyDelayed()
	var g sync.WaitGroup
	for k := range 10 {
		one := &call{at: c.all[0], key: fmt.Sprint("k", k), name: fmt.Sprint("last", k), limit: 10 * time.Second, group: &g}
		c.calls = append(c.calls, one)
		g.Add(1)
		go one.run()
	}
	g.Wait()
}

// verify checks the history, and that the runs of the service match the
// verdicts that the callers got.
func (c *chaos) verify(s *simulator.Service) {
	reported := map[string]judge.Verdict{}
	for _, one := range c.calls {
		reported[one.name] = judge.Ran
		if one.err != nil {
			reported[one.name] = judge.Of(one.err)
		}
	}
	for k := range 10 {
		runs := s.RequestsRun(fmt.Sprint("k", k))
		Expect(len(runs)).To(BeNumerically("<=", 1), "seed %d key %d ran %v", c.seed, k, runs)
		for _, name := range runs {
			Expect(reported[name]).NotTo(Equal(judge.NotRun), "seed %d: %s ran", c.seed, name)
		}
	}
	Expect(checkHistory(c.calls)).To(Equal(porcupine.Ok), "seed %d", c.seed)
}

var _ = Describe("history of concurrent writes", func() {
	It("is linearizable under seeded faults, with no key run twice", func() {
		counts := map[judge.Verdict]int{}
		for seed := int64(1); seed <= 16; seed++ {
			c := &chaos{seed: seed, random: rand.New(rand.NewSource(seed)), fleet: simulator.NewFleet()}
			s := simulator.NewService()
			s.DelayBeforeAnswer, s.DelayBeforeRun = c.sendDelay, c.sendDelay
			// Owners are given up early, so that several work on one key.
			set := []writer.Option{writer.WithSharding(sharder.WithOwnerTimeout(60 * time.Millisecond))}
			c.all = startWith(c.fleet, s, set, "a", "b", "c", "d")
			c.run(s)
			c.replay(s)
			c.verify(s)
			for _, op := range operations(c.calls) {
				counts[op.Output.(result).verdict]++
			}
		}
		AddReportEntry("writes by verdict", fmt.Sprint(counts))
		Expect(counts[judge.Ran]).To(BeNumerically(">", 200))
	})

	It("is not linearizable when two instances do not share one log", func() {
		s := simulator.NewService()
		a := start(simulator.NewFleet(), s, "a")[0]
		b := start(simulator.NewFleet(), s, "b")[0]
		var g sync.WaitGroup
		calls := []*call{
			{at: a, key: "k", name: "one", limit: longTimeout, group: &g},
			{at: b, key: "k", name: "two", limit: longTimeout, group: &g},
		}
		for _, c := range calls {
			g.Add(1)
			go c.run()
		}
		g.Wait()
		Expect(checkHistory(calls)).To(Equal(porcupine.Illegal))
	})
})
