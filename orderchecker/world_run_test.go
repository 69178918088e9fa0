package orderchecker_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"primrosehook/simulator"
)

// defaultRuns is the number of schedules that CI runs; ORDERER_RUNS overrides it.
const defaultRuns = 400

// maxMutantRuns is the number of schedules within which a mutant must fail.
const maxMutantRuns = 400

// parallelRuns is how many schedules run at once.
const parallelRuns = 4

// runResult is the result of a number of schedules. Fault is empty if none failed;
// otherwise seed is the lowest seed that did.
type runResult struct {
	seed       uint64
	fault      string
	ordersDone int
}

// runSchedules runs schedules until one fails.
func runSchedules(first, runs uint64, mutant mutation) runResult {
	return runSchedulesWith(first, runs, mutant, func(*simulation) {})
}

// runSchedulesWith runs schedules until one fails and calls change on each
// simulation before it starts.
func runSchedulesWith(first, runs uint64, mutant mutation, change func(*simulation)) runResult {
	var out runResult
	for from := first; from < first+runs && out.fault == ""; from += parallelRuns {
		simulations := make([]*simulation, min(parallelRuns, first+runs-from))
		var group errgroup.Group
		for i := range simulations {
			simulations[i] = newSimulation(from+uint64(i), mutant)
			change(simulations[i])
			group.Go(func() error {
				simulations[i].run()
				return nil
			})
		}
		_ = group.Wait()
		for i, w := range simulations {
			out.ordersDone += w.ordersDone
			if w.fault != "" && out.fault == "" {
				out.seed, out.fault = from+uint64(i), w.fault
			}
		}
	}
	return out
}

var _ = Describe("Controllers under injected faults", func() {
	It("never overcommit an engine, never have two valid lease holders, and recover from every fault", func() {
		seeds := simulator.SeedsFromEnv("ORDERER", defaultRuns)
		runs := uint64(seeds.Count)
		v := runSchedules(uint64(seeds.First), runs, mutation{})
		Expect(v.fault).To(BeEmpty(), fmt.Sprintf("replay: ORDERER_SEED=%d ORDERER_RUNS=1 go test ./orderchecker", v.seed))
		Expect(v.ordersDone).To(BeNumerically(">", runs), "the engines must have run more orders than there were schedules")
		GinkgoWriter.Printf("%d schedules, %d orders run by engines\n", runs, v.ordersDone)
	})

	It("tolerate a platform list without paused instances if MinAbsence covers the longest pause", func() {
		v := runSchedulesWith(1, 100, mutation{listPausedAsGone: true}, func(w *simulation) {
			w.settings.MinAbsence = longestPause + maxDelay
			w.recoveryTicks = 2 * int(w.settings.MinAbsence/tick)
			w.startInstances()
		})
		Expect(v.fault).To(BeEmpty(), fmt.Sprintf("seed %d", v.seed))
	})

	It("produce the same log from the same seed", func() {
		a, b := newSimulation(5, mutation{}), newSimulation(5, mutation{})
		a.run()
		b.run()
		Expect(a.log).To(Equal(b.log))
	})

	DescribeTable("violate an invariant when a safeguard is removed",
		func(mutant mutation) {
			v := runSchedules(1, maxMutantRuns, mutant)
			GinkgoWriter.Printf("seed %d: %s\n", v.seed, v.fault)
			Expect(v.fault).To(Or(ContainSubstring("MB"), ContainSubstring("valid holders")))
		},
		Entry("an order is sent before its intent is confirmed", mutation{sendUnconfirmed: true}),
		Entry("an order is sent without the last check of the lease", mutation{skipLastCheck: true}),
		Entry("a new lease holder ignores older orders", mutation{dropOldOrders: true}),
		Entry("all engines are assumed to check fencing tokens", mutation{assumeFencing: true}),
		Entry("messages are assumed to arrive within 50 ms", mutation{shortDelay: true}),
		Entry("a paused instance is taken to be gone", mutation{listPausedAsGone: true}),
		Entry("a settled order is assumed to have no duplicate", mutation{ignoreDuplicates: true}),
		Entry("a restart is assumed to end all orders", mutation{closeOnRestart: true}),
		Entry("an outdated report is accepted", mutation{ignoreBasis: true}),
		Entry("a lease is taken over before it expires", mutation{takeOverAtOnce: true}),
	)
})
