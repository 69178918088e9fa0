package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/judge"
	"primrosehook/launcher"
)

// waitViews waits until each instance sees the given number of live instances.
func (w *world) waitViews(want ...int) {
	for n, e := range w.entries {
		Eventually(func() int { return len(e.Status().Parts.Entries) }, waitLimit, pollInterval).Should(Equal(want[n]), "view of instance %d", n)
	}
}

// monitorLease polls the instances in turn for the fencing token of the lease that they
// hold. Once a token has been seen, no instance may hold a lease with an older token,
// and no other instance one with the same token.
func (w *world) monitorLease() *monitor {
	turn := 0
	return startMonitor(func() (int64, string) {
		turn++
		at := w.entries[turn%len(w.entries)]
		return at.Fence(), at.Addr
	})
}

// moveLease freezes the lease holder of the pool until another instance holds the
// lease.
func (w *world) moveLease() {
	var old *launcher.Process
	holds := func() bool {
		for _, e := range w.entries {
			if e != old && e.Fence() > 0 {
				old = e
				return true
			}
		}
		return false
	}
	Eventually(holds, waitLimit, pollInterval).Should(BeTrue())
	first := old
	Expect(first.Suspend()).To(Succeed())
	Eventually(holds, waitLimit, pollInterval).Should(BeTrue())
	Expect(first.Resume()).To(Succeed())
}

// call is one request with an idempotency key. Its answer is set once run returns.
type call struct {
	at     *launcher.Process
	path   string
	key    string
	body   string
	answer launcher.Answer
}

func (c *call) run(group *sync.WaitGroup) {
	defer group.Done()
	c.answer = launcher.Call(http.MethodPost, c.at.URL()+c.path, c.key, c.body)
}

// calls sends the same request to every instance concurrently.
func (w *world) calls(group *sync.WaitGroup, path, key, body string) []*call {
	var all []*call
	for _, e := range w.entries {
		c := &call{at: e, path: path, key: key, body: body}
		all = append(all, c)
		group.Add(1)
		go c.run(group)
	}
	return all
}

// workload records the answers that clients received, to compare them with what ran.
type workload struct {
	world    *world
	receipts []*call
	jobs     []*call
}

// runRound sends completions, keyed writes and jobs to all instances concurrently, and
// publishes a rule list meanwhile.
func (k *workload) runRound(name string) {
	w := k.world
	var group sync.WaitGroup
	crowd := w.startCallers(3, 2)
	for n := range 4 {
		key := fmt.Sprint(name, n)
		k.receipts = append(k.receipts, w.calls(&group, "/services/kiosk/receipts", key, "receipt "+key)...)
	}
	job := fmt.Sprintf(`{"url":"/v1/completions","body":{"model":"tiny","prompt":%q,"seed":1,"max_tokens":9}}`, name)
	k.jobs = append(k.jobs, w.calls(&group, "/v1/jobs", name, job)...)
	last := w.entries[len(w.entries)-1]
	version, status := last.Publish(last.RulesVersion(), rules)
	Expect(status).To(Equal(http.StatusOK))
	w.waitVersion(version, w.entries...)
	expectComplete(waitReplies(crowd))
	group.Wait()
}

// check compares the answers with what the service ran, and waits until every
// accepted job is done at every instance.
func (k *workload) check(service *launcher.Process) {
	var ran map[string]faker.Run
	Expect(launcher.Get(k.world.ctx, service.URL()+"/ran", &ran)).To(Succeed())
	told := map[string]map[judge.Verdict]int{}
	good := 0
	for _, c := range k.receipts {
		if told[c.key] == nil {
			told[c.key] = map[judge.Verdict]int{}
		}
		told[c.key][c.answer.Verdict]++
	}
	for key, counts := range told {
		most := min(counts[judge.Ran]+counts[judge.MayHaveRun], 1)
		least := min(counts[judge.Ran], 1)
		good += least
		Expect(ran[key].Count).To(And(BeNumerically(">=", least), BeNumerically("<=", most)), "%s was told %v", key, counts)
	}
	accepted := 0
	for _, c := range k.jobs {
		if c.answer.Status != http.StatusAccepted {
			continue
		}
		accepted++
		var job struct{ ID, Status string }
		Expect(json.Unmarshal(c.answer.Body, &job)).To(Succeed())
		for _, e := range k.world.entries {
			Eventually(func() string {
				_ = launcher.Get(k.world.ctx, e.URL()+"/v1/jobs/"+job.ID, &job)
				return job.Status
			}, waitLimit, pollInterval).Should(Equal("done"))
		}
	}
	AddReportEntry(fmt.Sprintf("%d of %d receipts told as run, %d of %d jobs accepted", good, len(told), accepted, len(k.jobs)))
	Expect(good).To(BeNumerically(">", 0))
	Expect(accepted).To(BeNumerically(">", 0))
}

var _ = Describe("entry instances that are partitioned from each other", func() {
	It("keep all invariants, also with one-way partitions and with delays", func(ctx context.Context) {
		w := newWorld(ctx)
		service, err := w.cluster.Service(w.ctx, "-pool", "kiosk")
		Expect(err).NotTo(HaveOccurred())
		for range 3 {
			w.engine()
			w.entry("-lease", "2s")
		}
		w.start()
		w.waitViews(3, 3, 3)
		watches := []*monitor{w.monitorLease()}
		for _, e := range w.entries {
			watches = append(watches, monitorVersion(e))
		}
		k := &workload{world: w}
		k.runRound("before ")
		// Every shard owner is cut off from all other instances.
		w.mesh.SetAllFaults(launcher.NetworkFault{Cut: true})
		k.runRound("cut now ")
		w.waitViews(1, 1, 1)
		k.runRound("cut ")
		w.moveLease()
		// Only messages from later instances to earlier ones arrive.
		w.mesh.SetAllFaults(launcher.NetworkFault{StallUpstream: true})
		w.waitViews(3, 2, 1)
		k.runRound("one way ")
		w.mesh.SetAllFaults(launcher.NetworkFault{Delay: 100 * time.Millisecond})
		w.waitViews(3, 3, 3)
		k.runRound("delayed ")
		w.mesh.SetAllFaults(launcher.NetworkFault{})
		k.runRound("healed ")
		for _, s := range watches {
			s.expectNoRegression()
		}
		Expect(watches[0].high).To(BeNumerically(">", 1), "the lease was passed on")
		k.check(service)
	})

	It("quarantine a request independently, and share the quarantine once they are connected again", func(ctx context.Context) {
		w := startWorld(ctx, 9, 3, "-poison", "boom")
		w.waitViews(3, 3, 3)
		w.mesh.SetAllFaults(launcher.NetworkFault{Cut: true})
		w.waitViews(1, 1, 1)
		poison := newQuestion(1)
		poison.Prompt = "please go boom"
		poisonStatus := func(at *launcher.Process) func() int {
			return func() int {
				r := w.send(at, poison)
				Expect(r.complete).To(BeFalse())
				return r.status
			}
		}
		// The third instance gets no such request. An instance is certain to
		// quarantine a request that was present at the loss of four engines. While cut
		// off, it doesn't know of engines lost through another instance.
		lost := 0
		for _, e := range w.entries[:2] {
			bystanders := w.startCallers(6, 6, e)
			Eventually(poisonStatus(e), waitLimit, pollInterval).Should(Equal(http.StatusUnprocessableEntity))
			more := w.lostEngines() - lost
			AddReportEntry(fmt.Sprintf("engines lost through one instance: %d", more))
			Expect(more).To(BeNumerically("<=", 4))
			lost += more
			expectComplete(waitReplies(bystanders))
		}
		w.mesh.SetAllFaults(launcher.NetworkFault{})
		Eventually(func() bool {
			// Bystanders are on the list as well, but are not quarantined.
			known := w.entries[2].Status().Parts.Quarantine
			return slices.ContainsFunc(known, func(s struct{ Held string }) bool { return s.Held != "0s" })
		}, waitLimit, pollInterval).Should(BeTrue())
		for _, e := range w.entries {
			Expect(poisonStatus(e)()).To(Equal(http.StatusUnprocessableEntity))
		}
		expectComplete(waitReplies(w.startCallers(6, 3)))
		Expect(w.lostEngines()).To(Equal(lost))
	})
})

var _ = Describe("an upstream that is leaving", func() {
	DescribeTable("finishes its requests and receives no new ones once all instances see it leaving",
		func(ctx context.Context, known bool, injectFault func(w *world)) {
			w := startWorld(ctx, 3, 3)
			w.waitViews(3, 3, 3)
			before := w.startCallers(6, 10)
			w.waitBusy(w.engines[0])
			injectFault(w)
			// The first engine exits; the second only leaves, and can be queried
			// afterwards.
			Expect(w.engines[0].Terminate()).To(Succeed())
			stays := w.engines[1]
			notice := time.Now()
			Expect(launcher.Put(w.ctx, stays.URL()+"/faults", faker.EngineFaults{Leaving: true})).To(Succeed())
			if known {
				w.waitLeaving(stays, w.entries[:2]...)
			}
			Expect(w.entries[2].Resume()).To(Succeed())
			got := waitReplies(before)
			expectComplete(got)
			if known {
				w.waitLeaving(stays, w.entries...)
			}
			count := w.refusals(notice, stays)
			after := waitReplies(w.startCallers(4, 5))
			expectComplete(after)
			if known {
				Expect(w.refusals(notice, stays)).To(Equal(count))
			}
			w.checkNotRun(append(got, after...))
		},
		Entry("without faults", true, func(*world) {}),
		Entry("while the list lags by two seconds", true, func(w *world) {
			w.fault("/faults/list", faker.ListFaults{Lag: 2 * time.Second})
		}),
		Entry("while the log hangs", true, func(w *world) { w.setOutages(hangs, healthy) }),
		Entry("while one instance is frozen", true, func(w *world) { Expect(w.entries[2].Suspend()).To(Succeed()) }),
		Entry("while all instances are partitioned from each other", true, func(w *world) { w.mesh.SetAllFaults(launcher.NetworkFault{Cut: true}) }),
		// No instance can see then that it is leaving; the engine itself rejects the
		// requests that still arrive.
		Entry("or rejects them, while the list is down", false, func(w *world) { w.setOutages(healthy, drops) }),
	)
})

// waitLeaving waits until instances show an engine as leaving.
func (w *world) waitLeaving(engine *launcher.Process, entries ...*launcher.Process) {
	for _, e := range entries {
		Eventually(func() string {
			for _, one := range e.Status().Parts.Engines {
				if strings.Contains(one.Engine, engine.Addr) {
					return one.State
				}
			}
			return ""
		}, waitLimit, pollInterval).Should(Equal("leaving"))
	}
}

// refusals returns how many new requests a leaving engine has rejected, and reports
// how long after the notice the last one came; no test asserts this time.
func (w *world) refusals(notice time.Time, engine *launcher.Process) int {
	var r faker.Refusals
	Expect(launcher.Get(w.ctx, engine.URL()+"/refused", &r)).To(Succeed())
	AddReportEntry(fmt.Sprintf("%d refused, the last %v after the notice", r.Count, r.Last.Sub(notice)))
	return r.Count
}

var _ = Describe("zones and regions", func() {
	It("keep serving when a zone is lost and the other region is cut off", func(ctx context.Context) {
		w := newWorld(ctx)
		far, err := launcher.NewFaultProxy(w.platform.Addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(far.Close)
		for _, region := range []string{"seq", "ams"} {
			if region == "ams" {
				w.cluster.SetPlatform(far.URL())
			}
			for _, zone := range []string{"a", "b"} {
				for range 2 {
					w.engine("-region", region, "-zone", zone)
					w.entry("-region", region, "-zone", zone)
				}
			}
		}
		w.start()
		// The log and the list are in the first region.
		far.SetFault(launcher.NetworkFault{Cut: true})
		all := append(w.startCallers(12, 8, w.entries[2:4]...), w.startCallers(6, 8, w.entries[4:]...)...)
		w.waitBusy(w.engines[:4]...)
		w.waitBusy(w.engines[4:]...)
		version, status := w.entries[0].Publish(w.entries[0].RulesVersion(), rules)
		Expect(status).To(Equal(http.StatusOK))
		w.waitVersion(version, w.entries[:4]...)
		Expect(w.entries[4].RulesVersion()).To(BeNumerically("<", version), "the other region is cut off")
		// Zone a of the first region is lost entirely.
		for _, p := range slices.Concat(w.engines[:2], w.entries[:2]) {
			Expect(p.Kill()).To(Succeed())
		}
		got := waitReplies(all)
		expectComplete(got)
		w.checkNotRun(got)
		far.SetFault(launcher.NetworkFault{})
		w.waitVersion(version, w.entries[2:]...)
	})
})
