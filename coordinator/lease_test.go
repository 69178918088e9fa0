package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/coordinator"
)

// now is a clock that the test sets.
type now struct{ time.Time }

func (n *now) Now() time.Time { return n.Time }

// log is a log in memory. Late appends are carried out when told.
type log struct {
	records []coordinator.LogRecord
	late    []func()
	random  *rand.Rand
	down    bool
	lose    float64
	calls   int
}

var errDown = errors.New("down")

func (l *log) Read(_ context.Context, from int64, _ time.Duration) ([]coordinator.LogRecord, int64, error) {
	l.calls++
	if l.down {
		return nil, from, errDown
	}
	return l.records[min(int(from), len(l.records)):], int64(len(l.records)), nil
}

func (l *log) Append(_ context.Context, value []byte, at int64) error {
	l.calls++
	if l.down {
		return errDown
	}
	if l.random.Float64() < l.lose {
		if l.random.IntN(2) == 0 {
			l.late = append(l.late, func() { _ = l.put(value, at) })
		} else if err := l.put(value, at); err != nil {
			return err
		}
		return errDown
	}
	return l.put(value, at)
}

func (l *log) put(value []byte, at int64) error {
	if at != int64(len(l.records)) {
		return coordinator.ErrMoved
	}
	l.records = append(l.records, coordinator.LogRecord{Offset: at, Value: value})
	return nil
}

const apart = 3 * time.Second

var _ = Describe("Lease", func() {
	var (
		clock *now
		store *log
	)
	BeforeEach(func() {
		clock = &now{time.Unix(1000, 0)}
		store = &log{random: rand.New(rand.NewPCG(1, 1))}
	})
	lease := func(name string) *coordinator.Lease {
		return coordinator.NewLease(coordinator.Entry{Instance: name, Machine: name, Address: name}, apart, store, clock,
			clockwork.NewFakeClock(), zap.NewNop(), func(bool) {}, func() time.Duration { return 700 * time.Millisecond })
	}
	steps := func(d time.Duration, list ...*coordinator.Lease) {
		for end := clock.Add(d); clock.Before(end); clock.Time = clock.Add(50 * time.Millisecond) {
			for _, l := range list {
				l.Step(context.Background())
			}
		}
	}

	It("has one holder at a time, which may order at once if it is the first", func() {
		a, b := lease("a"), lease("b")
		steps(time.Second, a, b)
		Expect(a.MayOrder() != b.MayOrder()).To(BeTrue())
		Expect(a.Holder()).To(Equal(b.Holder()))
	})

	// Others that rely on an instance to claim would wait in vain for one that
	// stops, or that has not read the log.
	It("attends to the lease while it reads the log, and not while it stops", func() {
		a := lease("a")
		Expect(a.Attends(600 * time.Millisecond)).To(BeFalse())
		steps(time.Second, lease("b"))
		steps(100*time.Millisecond, a)
		Expect(a.Attends(600 * time.Millisecond)).To(BeTrue())
		store.down = true
		steps(time.Second, a)
		Expect(a.Attends(600 * time.Millisecond)).To(BeFalse())
		store.down = false
		steps(time.Second, a)
		a.Release(context.Background())
		Expect(a.Attends(600 * time.Millisecond)).To(BeFalse())
	})

	It("claims after the others if it yields", func() {
		a, b := lease("a"), lease("b")
		a.Yield()
		for range 12 {
			steps(50*time.Millisecond, a, b)
		}
		Expect(b.MayOrder()).To(BeTrue())
	})

	It("lets a successor order only after the holder's lease and the time apart", func() {
		a, b := lease("a"), lease("b")
		steps(time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
		steps(time.Second, a, b)
		stopped := clock.Time
		for !b.MayOrder() {
			steps(50*time.Millisecond, b)
		}
		Expect(clock.Sub(stopped)).To(And(BeNumerically(">", 4*time.Second), BeNumerically("<", 7*time.Second)))
		Expect(a.MayOrder()).To(BeFalse())
	})

	It("hands over at a planned stop without waiting for the term, but for the time apart", func() {
		a, b := lease("a"), lease("b")
		steps(time.Second, a)
		a.Release(context.Background())
		Expect(a.MayOrder()).To(BeFalse())
		stopped := clock.Time
		for !b.MayOrder() {
			steps(50*time.Millisecond, b)
		}
		Expect(clock.Sub(stopped)).To(And(BeNumerically(">", apart), BeNumerically("<", apart+time.Second)))
	})

	It("does not order while the log is away longer than the term", func() {
		a := lease("a")
		steps(time.Second, a)
		store.down = true
		steps(2500*time.Millisecond, a)
		Expect(a.MayOrder()).To(BeFalse())
		store.down = false
		steps(time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	// Load: the store answers 503 at once, to every instance, for eight seconds.
	It("leaves a log that is away alone, and is back soon after it", func() {
		a := lease("a")
		steps(time.Second, a)
		store.down, store.calls = true, 0
		steps(8*time.Second, a)
		Expect(store.calls).To(BeNumerically("<", 20))
		store.down = false
		steps(1500*time.Millisecond, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	It("leaves an entry that can't be read to lapse", func() {
		Expect(store.put([]byte{0xc1}, 0)).To(Succeed())
		a := lease("a")
		steps(time.Second, a)
		Expect(a.MayOrder()).To(BeFalse())
		steps(7*time.Second, a)
		Expect(a.MayOrder()).To(BeTrue())
	})

	// Instances freeze, the log goes away, loses answers and carries appends
	// out late: whoever may order, nobody else did within the time apart.
	It("never lets two instances order within the time apart", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 2))
			clock = &now{time.Unix(1000, 0)}
			store = &log{random: random, lose: 0.2}
			leases := []*coordinator.Lease{lease("a"), lease("b"), lease("c")}
			frozen := make([]time.Time, len(leases))
			last := map[int]time.Time{}
			orders := 0
			for range 1200 {
				clock.Time = clock.Add(time.Duration(20+random.IntN(80)) * time.Millisecond)
				if random.IntN(60) == 0 {
					store.down = !store.down
				}
				if random.IntN(20) == 0 && len(store.late) > 0 {
					store.late[0]()
					store.late = store.late[1:]
				}
				for i, l := range leases {
					if random.IntN(150) == 0 {
						frozen[i] = clock.Add(time.Duration(random.IntN(6000)) * time.Millisecond)
					}
					if clock.Before(frozen[i]) {
						continue
					}
					// A thawed instance may order before it steps.
					if l.MayOrder() {
						orders++
						for other, at := range last {
							if other != i {
								Expect(clock.Sub(at)).To(BeNumerically(">=", apart), fmt.Sprintf("seed %d: %d after %d", seed, i, other))
							}
						}
						last[i] = clock.Time
					}
					l.Step(context.Background())
				}
			}
			Expect(orders).To(BeNumerically(">", 0))
		}
	})
})
