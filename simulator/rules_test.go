package simulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/launcher"
	"primrosehook/server"
)

// publishFirst publishes a list and waits until it is in force on every entry
// instance.
func publishFirst(ctx context.Context, c *cluster) {
	GinkgoHelper()
	first := c.allEntries()[0]
	Eventually(func() int {
		return sendRequest(ctx, "POST", "http://"+first.OperatorAddr+"/admin/rules?base=0", "", ruleList("first"), 10*time.Second).status
	}, waitLimit, "100ms").Should(BeElementOf(http.StatusOK, http.StatusConflict))
	for _, p := range c.allEntries() {
		Eventually(func() int64 { v, _ := inForce(ctx, p); return v }, waitLimit, "50ms").Should(BeNumerically(">", 0))
	}
}

// inForce returns the version and the name of the list in force on an entry
// instance, or zero values if the instance does not answer.
func inForce(ctx context.Context, p *launcher.Process) (int64, string) {
	a := sendRequest(ctx, "GET", "http://"+p.OperatorAddr+"/admin/rules", "", "", 5*time.Second)
	if a.err != nil || a.status != http.StatusOK {
		return 0, ""
	}
	version, _ := strconv.ParseInt(a.header.Get(server.VersionHeader), 10, 64)
	first, _, _ := strings.Cut(a.body, "\n")
	return version, strings.TrimPrefix(first, "name: ")
}

// compareAndSwap is a publish in the linearizability model: a compare-and-swap
// of the lists' names.
type compareAndSwap struct{ base, next string }

// casRegister models the list in force as a compare-and-swap register.
var casRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{"first"} },
	Step: func(state, input, output any) []any {
		now, op, out := state.(string), input.(compareAndSwap), output.(response)
		switch {
		case out.status == http.StatusOK && op.base == now:
			return []any{op.next}
		case out.status == http.StatusOK:
			return nil
		case out.status == http.StatusConflict && op.base == now:
			return nil
		case out.verdict == judge.MayHaveRun && op.base == now:
			return []any{now, op.next}
		}
		return []any{now}
	},
}

// listPublisher publishes lists at random entry instances. Publishers race:
// several may publish with the same base version.
type listPublisher struct {
	cluster *cluster
	number  int
	start   time.Time
	group   *sync.WaitGroup
	// faults ends when no more faults are injected.
	faults context.Context
	ops    []porcupine.Operation
}

func (o *listPublisher) run(ctx context.Context) {
	defer o.group.Done()
	client := o.number
	for i := 0; i < 60 && o.faults.Err() == nil; i++ {
		time.Sleep(time.Duration(o.cluster.intn(100)) * time.Millisecond)
		entry := o.cluster.randomEntry()
		version, base := inForce(ctx, entry)
		if version == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		name := fmt.Sprintf("op%d-%d", o.number, i)
		call := time.Since(o.start)
		a := sendRequest(ctx, "POST", fmt.Sprintf("http://%s/admin/rules?base=%d", entry.OperatorAddr, version), "", ruleList(name), 4*time.Second)
		op := porcupine.Operation{
			ClientId: client, Input: compareAndSwap{base, name}, Output: a,
			Call: int64(call), Return: int64(time.Since(o.start)),
		}
		if a.verdict == judge.MayHaveRun {
			op.Return = int64(time.Hour)
			client += 1000
		}
		o.ops = append(o.ops, op)
	}
}

// versionWatcher polls the version in force on one entry instance.
type versionWatcher struct {
	process *launcher.Process
	group   *sync.WaitGroup
	// regression describes a decrease of the version, or is empty.
	regression string
}

func (w *versionWatcher) run(ctx context.Context) {
	defer w.group.Done()
	var newest int64
	for ctx.Err() == nil {
		version, _ := inForce(ctx, w.process)
		if version != 0 && version < newest {
			w.regression = fmt.Sprintf("%s went from version %d back to %d", w.process.Addr, newest, version)
		}
		newest = max(newest, version)
		time.Sleep(20 * time.Millisecond)
	}
}

var _ = Describe("rule lists published to real processes", func() {
	DescribeTable("behave as a compare-and-swap register whose version never decreases, under kills, freezes, log outages and lost replies",
		func(ctx context.Context, seed int64) {
			c := startCluster(ctx, programs, seed)
			publishFirst(ctx, c)
			startedAt := time.Now()
			var group, watching sync.WaitGroup
			var publishers []*listPublisher
			faults, stopFaults := context.WithCancel(ctx)
			defer stopFaults()
			for n := range 4 {
				o := &listPublisher{cluster: c, number: n, start: startedAt, group: &group, faults: faults}
				publishers = append(publishers, o)
				group.Add(1)
				go o.run(ctx)
			}
			polling, cancel := context.WithCancel(ctx)
			defer cancel()
			var watchers []*versionWatcher
			for _, p := range c.allEntries() {
				w := &versionWatcher{process: p, group: &watching}
				watchers = append(watchers, w)
				watching.Add(1)
				go w.run(polling)
			}
			for range 6 {
				c.injectFault(ctx)
			}
			stopFaults()
			group.Wait()
			c.clearFaults(ctx)

			var ops []porcupine.Operation
			accepted := 0
			for _, o := range publishers {
				ops = append(ops, o.ops...)
				for _, op := range o.ops {
					if op.Output.(response).status == http.StatusOK {
						accepted++
					}
				}
			}
			expectAgreement(ctx, c)
			cancel()
			watching.Wait()
			for _, w := range watchers {
				Expect(w.regression).To(BeEmpty(), "seed %d", seed)
			}
			Expect(porcupine.CheckOperationsTimeout(casRegister.ToModel(), ops, time.Minute)).To(Equal(porcupine.Ok), "seed %d", seed)
			AddReportEntry(fmt.Sprintf("seed %d: %d publishes, %d accepted", seed, len(ops), accepted))
			Expect(accepted).To(BeNumerically(">", 1))
		},
		Entry("seed 11", int64(11)),
		Entry("seed 12", int64(12)),
	)

	It("are received from peers by an instance that starts while the log is unavailable", func(ctx context.Context) {
		c := startCluster(ctx, programs, 21)
		publishFirst(ctx, c)
		want, _ := inForce(ctx, c.allEntries()[0])
		c.setLog(ctx, logHangs)
		c.addEntry(ctx)
		fresh := c.allEntries()[entries]
		Eventually(func() int64 { v, _ := inForce(ctx, fresh); return v }, waitLimit, "50ms").Should(Equal(want))
		c.clearFaults(ctx)
		expectAgreement(ctx, c)
	})
})

// expectAgreement publishes a list after all faults were cleared and waits
// until it is in force on every entry instance.
func expectAgreement(ctx context.Context, c *cluster) {
	GinkgoHelper()
	entry := c.allEntries()[0]
	var final int64
	Eventually(func() int {
		version, _ := inForce(ctx, entry)
		a := sendRequest(ctx, "POST", fmt.Sprintf("http://%s/admin/rules?base=%d", entry.OperatorAddr, version), "", ruleList("final"), 10*time.Second)
		var published struct{ Version int64 }
		_ = json.Unmarshal([]byte(a.body), &published)
		final = published.Version
		return a.status
	}, waitLimit, "200ms").Should(Equal(http.StatusOK))
	for _, p := range c.allEntries() {
		Eventually(func() int64 { v, _ := inForce(ctx, p); return v }, waitLimit, "50ms").Should(Equal(final))
	}
}
