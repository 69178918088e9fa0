package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/coordinator"
	"primrosehook/tailer"
)

// manualClock is a clock that the test sets.
type manualClock struct{ time.Time }

func (c *manualClock) Now() time.Time { return c.Time }

// memoryLog is a log in memory. A share lossRate of its appends returns an error;
// of these, half take effect at once and half when the test runs lateAppends.
type memoryLog struct {
	records     []coordinator.LogRecord
	lateAppends []func()
	random      *rand.Rand
	unavailable bool
	lossRate    float64
	calls       int
	// era counts how often the log has lost entries.
	era int64
	// first is the offset of the first entry that has not expired.
	first int64
}

// restore makes the log lose all but its first entries. Their offsets are given out
// again.
func (l *memoryLog) restore(count int) {
	l.records = l.records[:count]
	l.era++
}

var errUnavailable = errors.New("log is unavailable")

func (l *memoryLog) Read(_ context.Context, from int64, _ time.Duration) ([]coordinator.LogRecord, int64, error) {
	l.calls++
	if l.unavailable {
		return nil, from, errUnavailable
	}
	era, offset := tailer.SplitPosition(from)
	if era != l.era || offset > int64(len(l.records)) {
		offset = 0
	}
	list := slices.Clone(l.records[min(int(max(offset, l.first)), len(l.records)):])
	for i := range list {
		list[i].Offset = tailer.Position(l.era, list[i].Offset)
	}
	return list, tailer.Position(l.era, int64(len(l.records))), nil
}

func (l *memoryLog) Append(_ context.Context, value []byte, at int64) error {
	l.calls++
	if l.unavailable {
		return errUnavailable
	}
	if l.random.Float64() < l.lossRate {
		if l.random.IntN(2) == 0 {
			l.lateAppends = append(l.lateAppends, func() { _ = l.appendAt(value, at) })
		} else if err := l.appendAt(value, at); err != nil {
			return err
		}
		return errUnavailable
	}
	return l.appendAt(value, at)
}

func (l *memoryLog) appendAt(value []byte, at int64) error {
	// The log does not know the era that the writer has seen; the writer learns the
	// log's from the reply.
	era, offset := tailer.SplitPosition(at)
	if offset != int64(len(l.records)) {
		return coordinator.ErrOffsetMismatch
	}
	l.records = append(l.records, coordinator.LogRecord{Offset: offset, Value: value})
	if era != l.era {
		return errUnavailable
	}
	return nil
}

const orderGap = 3 * time.Second

var _ = Describe("Lease", func() {
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
	stepFor := func(d time.Duration, list ...*coordinator.Lease) {
		for end := clock.Add(d); clock.Before(end); clock.Time = clock.Add(50 * time.Millisecond) {
			for _, l := range list {
				l.Step(context.Background())
			}
		}
	}

	// Guards against two holders, or two terms with one fencing token, when the log has
	// lost the last claims and gives their offsets out again.
	It("ends when the log has lost entries, and is claimed again a term later with a higher fencing token", func() {
		a, b := lease("a"), lease("b")
		stepFor(time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
		fence := a.Fence()
		stepFor(5*time.Second, a, b)
		Expect(a.Valid()).To(BeTrue())
		store.restore(0)
		lost := clock.Now()
		stepFor(time.Second, a, b)
		Expect(a.Valid() || b.Valid()).To(BeFalse(), "the log may have had a claim of another instance")
		stepFor(6*time.Second, a, b)
		Expect(a.Valid() != b.Valid()).To(BeTrue())
		Expect(a.Fence()).To(Equal(b.Fence()))
		Expect(a.Fence()).To(BeNumerically(">", fence))
		Expect(clock.Sub(lost)).To(BeNumerically(">", 2*time.Second))
	})

	DescribeTable("has one holder at a time while the log loses entries", func(keep int, first, seeds uint64) {
		for seed := first; seed < first+seeds; seed++ {
			clock.Time = time.Unix(1000, 0)
			store = &memoryLog{random: rand.New(rand.NewPCG(seed, 2)), lossRate: 0.1}
			all := []*coordinator.Lease{lease("a"), lease("b"), lease("c")}
			highest := int64(0)
			for range 400 {
				clock.Time = clock.Add(50 * time.Millisecond)
				valid := 0
				for _, l := range all {
					if store.random.IntN(4) > 0 {
						l.Step(context.Background())
					}
					if l.Valid() {
						valid++
					}
					if l.MayOrder() {
						Expect(l.Fence()).To(BeNumerically(">=", highest), "seed %d", seed)
						highest = max(highest, l.Fence())
					}
				}
				Expect(valid).To(BeNumerically("<=", 1), "seed %d", seed)
				if store.random.IntN(60) == 0 {
					store.restore(max(len(store.records)-1-store.random.IntN(keep), 0))
				}
				if store.random.IntN(20) == 0 && len(store.lateAppends) > 0 {
					store.lateAppends[0]()
					store.lateAppends = store.lateAppends[1:]
				}
			}
		}
	},
		Entry("the newest ones", 4, uint64(0), uint64(100)),
		Entry("many", 40, uint64(0), uint64(100)),
		// Failed while a claim from before the loss that arrived after it was valid.
		Entry("and a claim arrives late", 4, uint64(225), uint64(1)),
	)

	It("has one holder at a time, which may send orders at once if it is the first", func() {
		a, b := lease("a"), lease("b")
		stepFor(time.Second, a, b)
		Expect(a.MayOrder() != b.MayOrder()).To(BeTrue())
		Expect(a.Holder()).To(Equal(b.Holder()))
	})

	// Guards against peers relying on a deputy that is stopping or has not read the
	// log: no instance would claim the lease.
	It("watches the log while it reads it, but not once it is stopping", func() {
		a := lease("a")
		Expect(a.WatchesLog(600 * time.Millisecond)).To(BeFalse())
		stepFor(time.Second, lease("b"))
		stepFor(100*time.Millisecond, a)
		Expect(a.WatchesLog(600 * time.Millisecond)).To(BeTrue())
		store.unavailable = true
		stepFor(time.Second, a)
		Expect(a.WatchesLog(600 * time.Millisecond)).To(BeFalse())
		store.unavailable = false
		stepFor(time.Second, a)
		a.Release(context.Background())
		Expect(a.WatchesLog(600 * time.Millisecond)).To(BeFalse())
	})

	// Guards against five seconds without orders after all instances were restarted: the machine
	// that held the lease need not wait for itself.
	It("succeeds the process before at its address at once, which was free to send orders", func() {
		a, b := lease("a"), lease("b")
		stepFor(time.Second, a)
		a.Release(context.Background())
		for !b.MayOrder() {
			stepFor(50*time.Millisecond, b)
		}
		stepFor(time.Second, b)
		restarted := coordinator.NewLease(coordinator.Entry{Instance: "b2", Machine: "b", Address: "b"}, orderGap, store, clock,
			clockwork.NewFakeClock(), zap.NewNop(), func(coordinator.Handover) {}, func() time.Duration { return 700 * time.Millisecond })
		other := lease("c")
		stepFor(100*time.Millisecond, other, restarted)
		Expect(restarted.MayOrder()).To(BeTrue())
		Expect(other.Valid()).To(BeFalse())
	})

	It("waits for the term of a process of its machine at another address", func() {
		stepFor(time.Second, lease("b"))
		moved := coordinator.NewLease(coordinator.Entry{Instance: "b2", Machine: "b", Address: "b'"}, orderGap, store, clock,
			clockwork.NewFakeClock(), zap.NewNop(), func(coordinator.Handover) {}, func() time.Duration { return 700 * time.Millisecond })
		stepFor(1500*time.Millisecond, moved)
		Expect(moved.Valid()).To(BeFalse())
	})

	// Guards against a restarted instance that takes the lease and may send no orders for
	// seconds, while others have watched the log for long.
	DescribeTable("is taken by an instance that may send orders, not by one that has just started", func(name string) {
		stepFor(time.Second, lease("a"))
		watching := lease(name)
		stepFor(500*time.Millisecond, watching)
		store.unavailable = true
		stepFor(6*time.Second, watching)
		store.unavailable = false
		var started []*coordinator.Lease
		for i := range 6 {
			started = append(started, lease(fmt.Sprint("new", i)))
		}
		stepFor(4*time.Second, append(started, watching)...)
		Expect(watching.MayOrder()).To(BeTrue())
	},
		Entry("b", "b"), Entry("c", "c"), Entry("d", "d"), Entry("e", "e"), Entry("f", "f"),
	)

	It("tells the holder of a new term how long ago others may have sent orders", func() {
		var handover coordinator.Handover
		b := coordinator.NewLease(coordinator.Entry{Instance: "b", Machine: "b", Address: "b"}, orderGap, store, clock,
			clockwork.NewFakeClock(), zap.NewNop(), func(h coordinator.Handover) { handover = h }, func() time.Duration { return 700 * time.Millisecond })
		a := lease("a")
		stepFor(time.Second, a)
		stepFor(time.Second, a, b)
		store.unavailable = true
		stepFor(10*time.Second, b)
		store.unavailable = false
		stepFor(time.Second, b)
		Expect(b.MayOrder()).To(BeTrue())
		Expect(handover.HadHolder).To(BeTrue())
		Expect(handover.Elapsed).To(And(BeNumerically(">", 7*time.Second), BeNumerically("<", 9*time.Second)))
	})

	It("claims after the other instances if it yields", func() {
		a, b := lease("a"), lease("b")
		a.Yield()
		for range 12 {
			stepFor(50*time.Millisecond, a, b)
		}
		Expect(b.MayOrder()).To(BeTrue())
	})

	It("lets a successor send orders only after the holder's term and the order gap", func() {
		a, b := lease("a"), lease("b")
		stepFor(time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
		stepFor(time.Second, a, b)
		stopped := clock.Time
		for !b.MayOrder() {
			stepFor(50*time.Millisecond, b)
		}
		Expect(clock.Sub(stopped)).To(And(BeNumerically(">", 4*time.Second), BeNumerically("<", 7*time.Second)))
		Expect(a.MayOrder()).To(BeFalse())
	})

	It("lets a successor send orders after a planned stop without the term, but after the order gap", func() {
		a, b := lease("a"), lease("b")
		stepFor(time.Second, a)
		a.Release(context.Background())
		Expect(a.MayOrder()).To(BeFalse())
		stopped := clock.Time
		for !b.MayOrder() {
			stepFor(50*time.Millisecond, b)
		}
		Expect(clock.Sub(stopped)).To(And(BeNumerically(">", orderGap), BeNumerically("<", orderGap+time.Second)))
	})

	It("sends no orders while the log is unavailable for longer than the term", func() {
		a := lease("a")
		stepFor(time.Second, a)
		store.unavailable = true
		stepFor(2500*time.Millisecond, a)
		Expect(a.MayOrder()).To(BeFalse())
		store.unavailable = false
		stepFor(time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	// Guards against calling the store too often while it replies with 503 at once,
	// to every instance, for eight seconds.
	It("rarely calls an unavailable log, and renews the lease soon after the log returns", func() {
		a := lease("a")
		stepFor(time.Second, a)
		store.unavailable, store.calls = true, 0
		stepFor(8*time.Second, a)
		Expect(store.calls).To(BeNumerically("<", 20))
		store.unavailable = false
		stepFor(1500*time.Millisecond, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	It("waits for the term of an unreadable entry to expire", func() {
		Expect(store.appendAt([]byte{0xc1}, 0)).To(Succeed())
		a := lease("a")
		stepFor(time.Second, a)
		Expect(a.MayOrder()).To(BeFalse())
		stepFor(7*time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	// Instances freeze, some are restarted, and the log becomes unavailable, loses replies and
	// executes appends late. An instance may send orders only if none of another machine could
	// within the order gap.
	DescribeTable("never lets two machines send orders within the order gap", func(restarts, leaves bool) {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 2))
			clock = &manualClock{time.Unix(1000, 0)}
			store = &memoryLog{random: random, lossRate: 0.2}
			leases := []*coordinator.Lease{lease("a"), lease("b"), lease("c")}
			frozenUntil := make([]time.Time, len(leases))
			last := map[int]time.Time{}
			orders := 0
			for range 1200 {
				clock.Time = clock.Add(time.Duration(20+random.IntN(80)) * time.Millisecond)
				if random.IntN(60) == 0 {
					store.unavailable = !store.unavailable
				}
				if random.IntN(20) == 0 && len(store.lateAppends) > 0 {
					store.lateAppends[0]()
					store.lateAppends = store.lateAppends[1:]
				}
				for i, l := range leases {
					if restarts && random.IntN(100) == 0 {
						name := string(rune('a' + i))
						l = coordinator.NewLease(coordinator.Entry{Instance: fmt.Sprint(name, clock.UnixNano()), Machine: name, Address: name}, orderGap, store, clock,
							clockwork.NewFakeClock(), zap.NewNop(), func(coordinator.Handover) {}, func() time.Duration { return 700 * time.Millisecond })
						leases[i], frozenUntil[i] = l, clock.Add(time.Duration(300+random.IntN(3000))*time.Millisecond)
					}
					if random.IntN(150) == 0 {
						frozenUntil[i] = clock.Add(time.Duration(random.IntN(6000)) * time.Millisecond)
					}
					if clock.Before(frozenUntil[i]) {
						continue
					}
					if leaves && random.IntN(30) == 0 {
						l.Leave()
					}
					// An instance that was frozen may send orders before its next step.
					if l.MayOrder() {
						orders++
						for other, at := range last {
							if other != i {
								Expect(clock.Sub(at)).To(BeNumerically(">=", orderGap), fmt.Sprintf("seed %d: %d after %d", seed, i, other))
							}
						}
						last[i] = clock.Time
					}
					l.Step(context.Background())
				}
			}
			Expect(orders).To(BeNumerically(">", 0))
		}
	},
		Entry("that freeze", false, false),
		Entry("that freeze and are restarted", true, false),
		Entry("that freeze, are restarted and leave the lease", true, true),
	)
})
