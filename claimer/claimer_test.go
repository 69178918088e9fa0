package claimer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/claimer"
	"primrosehook/judge"
	"primrosehook/replayer"
	"primrosehook/simulator"
)

// runSchedule runs one seeded schedule and returns the first rule that it broke,
// or "", and the world that it ran in.
func runSchedule(seed int64, m mutant) (string, *world) {
	w := newWorld(seed, m)
	steps := 300
	if w.limits != unlimited {
		steps = 600
	}
	for range steps {
		w.step()
	}
	w.endFaults()
	return w.violation, w
}

// firstFailure returns the first seed whose schedule breaks a rule with the
// mutant, and that rule.
func firstFailure(m mutant) (int64, string) {
	for seed := int64(1); seed <= 4000; seed++ {
		if broken, _ := runSchedule(seed, m); broken != "" {
			return seed, broken
		}
	}
	return 0, ""
}

func applyEntry(m *claimer.Machine, kind string, body any) claimer.Result {
	e := claimEntry(body)
	e.Kind = kind
	return m.Apply(0, e)
}

// claimEntry returns a claim entry with this body.
func claimEntry(body any) replayer.Entry {
	data, err := msgpack.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	return replayer.Entry{Kind: claimer.KindClaim, Body: data}
}

func newClaim(key string, attempt uint64, time int64) claimer.Claim {
	return claimer.Claim{Key: key, Digest: claimer.DigestOf([]byte(key)), Owner: claimer.Owner{Instance: "a", Attempt: attempt}, Time: time, Now: time}
}

var _ = Describe("the write claim", func() {
	It("runs the write of each key at most once, and replies NotRun only if it did not run", func() {
		replies, resets, full := 0, 0, 0
		seeds := simulator.SeedsFromEnv("CLAIMER", 4000)
		for seed := seeds.First; seed < seeds.End(); seed++ {
			broken, w := runSchedule(seed, sound)
			if broken != "" {
				Fail(fmt.Sprintf("replay: CLAIMER_SEED=%d CLAIMER_RUNS=1 go test ./claimer: %s", seed, broken))
			}
			replies += w.replies
			resets += w.resets
			full += w.full
		}
		AddReportEntry("schedules; replies, resets, full", fmt.Sprint(seeds.Count, replies, resets, full))
		Expect(seeds.TooFewForCounts() || replies > int(10*seeds.Count)).To(BeTrue())
		Expect(seeds.TooFewForCounts() || min(resets, full) > int(seeds.Count/4)).To(BeTrue())
	})

	DescribeTable("breaks a rule without", func(m mutant) {
		seed, broken := firstFailure(m)
		AddReportEntry(fmt.Sprintf("refuted at seed %d: %s", seed, broken))
		Expect(broken).NotTo(BeEmpty())
	},
		Entry("waiting until the claim is read back before sending", sendsOnAppend),
		Entry("never sending after a claim was given up", sendsLate),
		Entry("the rule never to send again after a send that may have run", resends),
		Entry("keeping the claims of lost processes", stealsClaims),
		Entry("withdrawing only claims without a running attempt", staleWithdraw),
		Entry("keeping each key for Limits.Remember", forgetsEarly),
		Entry("a second clock that confirms the time", oneClock),
		Entry("notifying the machine of a reset", ignoresReset),
		Entry("giving up a write whose process was paused before the send", sendsPaused),
	)
})

var _ = Describe("Machine", func() {
	It("refuses a key that was used for another write", func() {
		m := claimer.NewMachine(claimer.DefaultLimits())
		Expect(applyEntry(m, claimer.KindClaim, newClaim("k", 1, 0)).Answer).To(Equal(claimer.Accepted))
		other := newClaim("k", 2, 0)
		other.Digest = claimer.DigestOf([]byte("other"))
		Expect(applyEntry(m, claimer.KindClaim, other).Answer).To(Equal(claimer.Mismatch))
		step := claimer.NewAttempt(other).Claimed(claimer.Result{Answer: claimer.Mismatch, State: claimer.KeyState{Claim: newClaim("k", 1, 0)}})
		Expect(step.Refusal.Status).To(Equal(422))
		Expect(step.Refusal.Verdict).To(Equal(judge.NotRun))
	})

	It("does not let a late withdrawal free a later claim of the same process", func() {
		m := claimer.NewMachine(claimer.DefaultLimits())
		applyEntry(m, claimer.KindClaim, newClaim("k", 1, 0))
		old := claimer.Withdraw{Key: "k", Owner: claimer.Owner{Instance: "a", Attempt: 1}}
		Expect(applyEntry(m, claimer.KindWithdraw, old).Answer).To(Equal(claimer.Accepted))
		applyEntry(m, claimer.KindClaim, newClaim("k", 2, 0))
		Expect(applyEntry(m, claimer.KindWithdraw, old).Answer).To(Equal(claimer.Ignored))
		_, known := m.Lookup("k")
		Expect(known).To(BeTrue())
	})

	It("keeps within its limits, and refuses a key that was issued before the forgotten keys", func() {
		m := claimer.NewMachine(claimer.Limits{Keys: 10, Answers: 10, Bytes: 1000, Remember: 100 * time.Second})
		for i := range 30 {
			key := fmt.Sprint("k", i)
			applyEntry(m, claimer.KindClaim, newClaim(key, uint64(i), int64(1000+i*100)))
			applyEntry(m, claimer.KindOutcome, claimer.Record{
				Key: key, Owner: claimer.Owner{Instance: "a", Attempt: uint64(i)},
				Outcome: claimer.Outcome{Status: 200, Body: make([]byte, 300)},
			})
		}
		Expect(m.Len()).To(Equal(10))
		keyState, _ := m.Lookup("k20")
		Expect(keyState.Outcome.BodyDropped).To(BeTrue())
		Expect(keyState.Outcome.Status).To(Equal(200))
		keyState, _ = m.Lookup("k29")
		Expect(keyState.Outcome.BodyDropped).To(BeFalse())

		repeat := newClaim("k3", 99, 4000)
		repeat.Issued = 1290
		Expect(applyEntry(m, claimer.KindClaim, repeat).Answer).To(Equal(claimer.Expired))
		fresh := newClaim("new", 100, 4000)
		fresh.Issued = 3990
		Expect(applyEntry(m, claimer.KindClaim, fresh).Answer).To(Equal(claimer.Accepted))
	})

	It("refuses new keys while it is full of young ones, and still reports that the compacted ones ran", func() {
		m := claimer.NewMachine(claimer.Limits{Keys: 4, Answers: 2, Bytes: 1000, Remember: time.Hour})
		for i := range 4 {
			key := fmt.Sprint("k", i)
			applyEntry(m, claimer.KindClaim, newClaim(key, uint64(i), 1000))
			applyEntry(m, claimer.KindOutcome, claimer.Record{
				Key: key, Owner: claimer.Owner{Instance: "a", Attempt: uint64(i)}, Outcome: claimer.Outcome{Status: 201},
			})
		}
		refused := applyEntry(m, claimer.KindClaim, newClaim("new", 9, 4000))
		Expect(refused.Answer).To(Equal(claimer.Full))
		step := claimer.NewAttempt(newClaim("new", 9, 4000)).Claimed(refused)
		Expect(step.Refusal.Verdict).To(Equal(judge.NotRun))
		Expect(step.Refusal.RetryAfter).To(BeNumerically(">", 0))
		repeat := applyEntry(m, claimer.KindClaim, newClaim("k0", 9, 4000))
		Expect(repeat.State.Outcome).To(Equal(&claimer.Outcome{Status: 201, BodyDropped: true}))
		Expect(claimer.NewAttempt(newClaim("k0", 9, 4000)).Claimed(repeat).Refusal.Verdict).To(Equal(judge.Ran))
		other := newClaim("k0", 9, 4000)
		other.Digest = claimer.DigestOf([]byte("other"))
		Expect(applyEntry(m, claimer.KindClaim, other).Answer).To(Equal(claimer.Mismatch))
		Expect(applyEntry(m, claimer.KindClaim, newClaim("new", 9, 4900)).Answer).To(Equal(claimer.Accepted))
		Expect(m.Len()).To(Equal(4))
	})

	It("never accepts a claim that is applied again after a reset, and after it accepts only keys that are certainly new", func() {
		m := claimer.NewMachine(claimer.DefaultLimits())
		m.Reset(replayer.At(9, 0))
		again := applyEntry(m, claimer.KindClaim, newClaim("k", 1, 1000))
		Expect(again.Answer).To(Equal(claimer.Lost))
		a := claimer.NewAttempt(newClaim("k", 1, 1000))
		Expect(a.Claimed(again).Refusal.Verdict).To(Equal(judge.NotRun))
		Expect(a.Abandoned()).To(BeTrue())
		_, known := m.Lookup("k")
		Expect(known).To(BeTrue(), "another process may have sent the write")
		after := func(c claimer.Claim) claimer.Answer { return m.Apply(replayer.At(10, 0), claimEntry(c)).Answer }
		Expect(after(newClaim("unknown", 2, 2000))).To(Equal(claimer.Lost))
		fresh := newClaim("fresh", 3, 2000)
		fresh.Issued = 1999
		Expect(after(fresh)).To(Equal(claimer.Accepted))
		fresh.Key, fresh.Issued = "old", 900
		Expect(after(fresh)).To(Equal(claimer.Expired))
		Expect(after(newClaim("unknown", 4, 1000+25*3600))).To(Equal(claimer.Accepted))
	})

	It("has the same state after a snapshot and a restore", func() {
		limits := claimer.DefaultLimits()
		limits.Answers = 2
		m := claimer.NewMachine(limits)
		for i := range 5 {
			applyEntry(m, claimer.KindClaim, newClaim(fmt.Sprint("k", i), uint64(i), int64(i)))
		}
		data, err := m.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		n := claimer.NewMachine(limits)
		Expect(n.Restore(data)).To(Succeed())
		again, err := n.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data))
	})
})
