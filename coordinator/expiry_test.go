package coordinator_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/coordinator"
)

var _ = Describe("A lease whose entries have expired", func() {
	var (
		clock *manualClock
		store *memoryLog
	)
	BeforeEach(func() {
		clock = &manualClock{time.Unix(1000, 0)}
		store = &memoryLog{random: rand.New(rand.NewPCG(1, 1))}
	})
	lease := func(name string) *coordinator.Lease {
		return coordinator.NewLease(coordinator.Entry{Instance: name, Machine: name, Address: name}, orderGap, store, clock,
			clockwork.NewFakeClock(), zap.NewNop(), func(coordinator.Handover) {}, func() time.Duration { return 700 * time.Millisecond })
	}
	stepUntil := func(l *coordinator.Lease, done func() bool) time.Duration {
		began := clock.Time
		for !done() && clock.Sub(began) < 20*time.Second {
			l.Step(context.Background())
			clock.Time = clock.Add(50 * time.Millisecond)
		}
		return clock.Sub(began)
	}
	expireAll := func() { store.first = int64(len(store.records)) }

	// Guards against a lease that nobody claims after all instances were down for longer than the
	// store keeps records, and against a second holder beside one that is within its term.
	DescribeTable("is taken after the term of a holder that may be left, and orders wait as for lost entries", func(era int64) {
		store.era = era
		a, b := lease("a"), lease("b")
		stepUntil(a, a.Valid)
		fence := a.Fence()
		expireAll()
		Expect(stepUntil(b, b.Valid)).To(And(BeNumerically(">", 2200*time.Millisecond), BeNumerically("<", 4*time.Second)))
		Expect(a.Valid()).To(BeFalse())
		Expect(b.Fence()).To(BeNumerically(">", fence))
		Expect(b.MayOrder()).To(BeFalse())
		Expect(stepUntil(b, b.MayOrder)).To(And(BeNumerically(">", 2*time.Second), BeNumerically("<", 4*time.Second)))
	},
		Entry("in the first era", int64(0)),
		Entry("in a later era", int64(3)),
	)

	// Guards against an instance that was frozen and claims beside a holder whose entries it has
	// not seen: all it knows is older.
	It("is not taken within the term of a holder whose entries an instance has missed", func() {
		a, b, c := lease("a"), lease("b"), lease("c")
		stepUntil(a, a.Valid)
		b.Step(context.Background())
		clock.Time = clock.Add(10 * time.Second) // a and b are frozen
		stepUntil(c, c.MayOrder)
		expireAll()
		Expect(stepUntil(b, b.Valid)).To(BeNumerically(">", 2200*time.Millisecond))
		Expect(c.Valid()).To(BeFalse())
	})

	// Guards against a former holder that renews its term, with its old fencing token, after one
	// whose entries have expired.
	It("is claimed anew by a former holder that has missed entries", func() {
		a, c := lease("a"), lease("c")
		stepUntil(a, a.Valid)
		clock.Time = clock.Add(10 * time.Second) // a is frozen
		stepUntil(c, c.MayOrder)
		fence := c.Fence()
		expireAll()
		Expect(stepUntil(a, a.Valid)).To(BeNumerically(">", 2200*time.Millisecond))
		Expect(c.Valid()).To(BeFalse())
		Expect(a.Fence()).To(BeNumerically(">", fence))
	})

	// Guards against older state and against fencing tokens that are given out again, when a store
	// that names no eras comes back from an older copy.
	It("is claimed with a higher fencing token if offsets go back within an era", func() {
		a, b := lease("a"), lease("b")
		for range 3 {
			stepUntil(a, a.Valid)
			a.Step(context.Background())
			clock.Time = clock.Add(3 * time.Second)
		}
		stepUntil(b, b.Valid)
		fence := b.Fence()
		clock.Time = clock.Add(3 * time.Second)
		store.records = store.records[:1]
		Expect(stepUntil(b, b.Valid)).To(BeNumerically(">", 2200*time.Millisecond))
		Expect(b.Fence()).To(BeNumerically(">", fence))
		fence = b.Fence()
		Expect(stepUntil(a, a.Valid)).To(BeNumerically(">", 2200*time.Millisecond))
		Expect(b.Valid()).To(BeFalse())
		Expect(a.Fence()).To(BeNumerically(">", fence))
	})

	// Guards against two holders when instances freeze, entries expire before all have read them,
	// and the log loses replies and comes back from older copies.
	It("has one holder at a time, with rising fencing tokens", func() {
		for seed := range uint64(300) {
			clock.Time = time.Unix(1000, 0)
			random := rand.New(rand.NewPCG(seed, 3))
			store = &memoryLog{random: random, lossRate: 0.1}
			all := []*coordinator.Lease{lease("a"), lease("b"), lease("c")}
			frozenUntil := make([]time.Time, len(all))
			highest, held := int64(0), 0
			for range 600 {
				clock.Time = clock.Add(50 * time.Millisecond)
				valid := 0
				for i, l := range all {
					if random.IntN(100) == 0 {
						frozenUntil[i] = clock.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
					}
					if !clock.Before(frozenUntil[i]) {
						l.Step(context.Background())
					}
					if l.Valid() {
						valid++
						Expect(l.Fence()).To(BeNumerically(">=", highest), "seed %d", seed)
						highest = l.Fence()
					}
				}
				held += valid
				Expect(valid).To(BeNumerically("<=", 1), "seed %d", seed)
				switch random.IntN(120) {
				case 0:
					expireAll()
				case 1:
					store.restore(max(len(store.records)-random.IntN(6), 0))
					store.first = min(store.first, int64(len(store.records)))
				}
			}
			Expect(held).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})
})
