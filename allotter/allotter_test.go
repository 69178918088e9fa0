package allotter_test

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"primrosehook/allotter"
)

// trouble draws what happens in a second of the model.
func trouble(w *world, event, victim int) {
	n := w.nodes[victim%len(w.nodes)]
	switch event {
	case 1:
		n.killed = true
	case 2:
		w.start(n)
	case 3:
		n.frozen = true
	case 4:
		n.frozen = false
	case 5: // a partition of any size
		for i, m := range w.nodes {
			m.group = 0
			if i <= victim%len(w.nodes) {
				m.group = 1
			}
		}
	case 6: // three sides
		for i, m := range w.nodes {
			m.group = (i + victim) % 3
		}
	case 7:
		for _, m := range w.nodes {
			m.group = 0
		}
	case 8: // the holder, whoever it is
		if w.holder != nil {
			w.holder.killed = true
		}
	case 9:
		if w.holder != nil {
			w.holder.frozen = true
		}
	case 10: // all at once
		for _, m := range w.nodes {
			w.start(m)
		}
	case 11:
		if w.up(n) {
			w.replace(n)
		}
	case 12, 13:
		w.away = event == 12
	case 14: // all that are up, and the holder after them
		w.restart()
	}
}

// hashOfA is the hash of the address "a" in entries of the lease.
var hashOfA = uint32(xxhash.Sum64String("a"))

// seedEntries returns a table's entries for the first seeds.
func seedEntries(n uint64) []TableEntry {
	var entries []TableEntry
	for seed := range n {
		entries = append(entries, Entry(fmt.Sprint("seed ", seed), seed))
	}
	return entries
}

// expectGranted checks that hardly any request is refused in the next two seconds, and that usage has always
// been within the cap.
func expectGranted(w *world) {
	GinkgoHelper()
	Expect(w.refusedShare(2 * time.Second)).To(BeNumerically("<", 0.1))
	Expect(w.most(time.Time{})).To(BeNumerically("<=", bound(w.rate, w.burst)))
}

var _ = Describe("The usage cap of an account", func() {
	// The load: an account that asks for many times its cap. Guards against two arbiters that both
	// grant the whole cap: in partitions of any size, after kills, freezes, hand-overs, and when all
	// instances start at once.
	DescribeTable("is never exceeded by all instances together", func(instances int, seconds int) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{2700, 30000, 300000}).Draw(t, "rate")
			w := newWorld(rapid.Uint64().Draw(t, "seed"), instances, rate, rate, 5*rate)
			for second := range seconds {
				if second > 2 {
					trouble(w, rapid.IntRange(0, 30).Draw(t, "event"), rapid.IntRange(0, instances-1).Draw(t, "victim"))
				}
				for range int(time.Second / step) {
					w.step()
				}
			}
			if w.mostHeld > 1+1e-9 {
				t.Fatalf("the parts of all instances add up to %.6f", w.mostHeld)
			}
			if most := w.most(time.Time{}); most > bound(rate, rate) {
				t.Fatalf("%.0f in a window, %.0f are allowed", most, bound(rate, rate))
			}
		})
	}, Entry("6", 6, 40), Entry("80", 80, 20))

	DescribeTable("is used almost wholly when all is calm and demand is there", func(instances int, rate float64, few bool) {
		w := newWorld(1, instances, rate, rate, 3*rate)
		if few {
			for i, n := range w.nodes {
				if n.share = 0; i < 3 {
					n.share = 1.0 / 3
				}
			}
		}
		for range int(20 * time.Second / step) {
			w.step()
		}
		from := w.now.Add(-10 * time.Second)
		used := 0.0
		for _, at := range w.sent {
			if at.After(from) {
				used += usage
			}
		}
		Expect(used / 10).To(BeNumerically(">=", 0.95*rate))
		Expect(w.most(time.Time{})).To(BeNumerically("<=", bound(rate, rate)))
	},
		Entry("6 instances", 6, 30000.0, false), Entry("80 with a few requests each", 80, 30000.0, false),
		Entry("80 of a small account", 80, 5400.0, false), Entry("390", 390, 300000.0, false),
		Entry("80, of which clients use three", 80, 300000.0, true),
	)

	// The load: a usual one, at 0.55 of the cap.
	DescribeTable("refuses hardly any request inside it while all is calm", func(instances int, rate float64) {
		w := newWorld(2, instances, rate, rate, 0.55*rate)
		for range int(10 * time.Second / step) {
			w.step()
		}
		w.sent, w.refused = nil, 0
		for range int(20 * time.Second / step) {
			w.step()
		}
		Expect(float64(w.refused) / float64(w.refused+len(w.sent))).To(BeNumerically("<", 0.01))
	}, Entry("6 instances", 6, 100000.0), Entry("80", 80, 100000.0), Entry("390", 390, 300000.0))

	// Guards against callers that are refused while nobody holds the lease.
	It("is still granted by a deputy while there is no lease holder", func() {
		w := newWorld(3, 80, 100000, 100000, 55000)
		for range int(5 * time.Second / step) {
			w.step()
		}
		w.holder, w.nextAt = nil, w.now.Add(time.Hour)
		for range int(2 * time.Second / step) {
			w.step()
		}
		w.sent, w.refused = nil, 0
		for range int(3 * time.Second / step) {
			w.step()
		}
		Expect(float64(w.refused) / float64(w.refused+len(w.sent))).To(BeNumerically("<", 0.1))
	})

	// Guards against callers inside their caps that are refused for a whole term after all instances
	// have lost power.
	It("is granted again soon after all instances have started again", func() {
		w := newWorld(5, 80, 100000, 100000, 55000)
		for range int(10 * time.Second / step) {
			w.step()
		}
		for _, n := range w.nodes {
			w.start(n)
		}
		w.holder, w.nextAt = nil, w.now.Add(leaseGap)
		for range int((leaseGap + time.Second) / step) {
			w.step()
		}
		w.sent, w.refused = nil, 0
		for range int(2 * time.Second / step) {
			w.step()
		}
		Expect(float64(w.refused) / float64(w.refused+len(w.sent))).To(BeNumerically("<", 0.05))
		Expect(w.most(time.Time{})).To(BeNumerically("<=", bound(100000, 100000)))
	})

	// Guards against an incident (SHORT): after the loss of all instances every request was refused for a
	// window, because one instance had had almost nothing of the caps.
	DescribeTable("is granted again soon after all instances have started again, whatever parts they had", func(seed uint64) {
		w := newWorld(seed, 76, 100000, 100000, 55000)
		w.loseUnevenly()
		w.run(leaseGap + 1500*time.Millisecond)
		expectGranted(w)
	}, seedEntries(8))

	// Guards against an incident (SHORT): a holder that was lost before its wait was over made the
	// next one wait for a whole window, with every request refused.
	DescribeTable("is granted soon after holders that are lost one after the other", func(seed uint64) {
		w := newWorld(seed, 76, 100000, 100000, 55000)
		w.loseUnevenly()
		for range 3 {
			w.run(leaseGap + 2*time.Second)
			w.holder, w.nextAt = nil, w.now.Add(leaseGap)
		}
		w.run(leaseGap + 1500*time.Millisecond)
		expectGranted(w)
	}, seedEntries(8))

	// Guards against requests that are refused for a window more after the store was away for longer
	// than entitlements last.
	DescribeTable("is granted soon after the store has come back", func(seed uint64) {
		w := newWorld(seed, 76, 100000, 100000, 55000)
		w.run(10 * time.Second)
		w.away = true
		w.run(14 * time.Second)
		w.away = false
		w.run(1500 * time.Millisecond)
		expectGranted(w)
	}, seedEntries(4))

	It("that is lowered binds one window later", func() {
		w := newWorld(4, 80, 100000, 100000, 300000)
		for range int(12 * time.Second / step) {
			w.step()
		}
		w.version, w.rate, w.burst = 2, 10000, 10000
		changed := w.now
		for range int(20 * time.Second / step) {
			w.step()
		}
		Expect(w.most(changed.Add(window))).To(BeNumerically("<=", bound(10000, 10000)))
	})
})

var _ = Describe("Shares", func() {
	// Guards against a sum above one while a lower fraction is not known to have arrived.
	It("count a fraction that was lowered until the instance reports the lower one", func() {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, false, allotter.Entitled{})
		a := s.Assign(now, "a", allotter.Entitlement{}, 1)
		Expect(a.Fraction).To(Equal(1.0))
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(BeZero())
		Expect(s.Assign(now, "a", a, 2).Fraction).To(Equal(0.5))
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(BeZero(), "the reply to a may be lost")
		s.Assign(now, "a", allotter.Entitlement{Fraction: 0.5, Left: term}, 2)
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(Equal(0.5))
	})

	It("of a new holder leave what former ones assigned to those that have not reported", func() {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, true, allotter.Entitled{})
		Expect(s.Assign(now, "new", allotter.Entitlement{}, 4).Fraction).To(BeZero())
		Expect(s.Assign(now, "old", allotter.Entitlement{Fraction: 0.6, Left: term}, 4).Fraction).To(Equal(0.25))
		Expect(s.Assign(now.Add(term), "new", allotter.Entitlement{}, 4).Fraction).To(Equal(0.25))
	})

	// Guards against a sum above one after a hand-over: the next holder takes for free what the last
	// entry says that restarted instances had, so it must not have been assigned to others since.
	It("reserve what the last entry of the lease names", func() {
		now := time.Unix(1000, 0)
		held := func(f float64) allotter.Entitlement { return allotter.Entitlement{Fraction: f, Left: term} }
		s := allotter.NewShares(term)
		s.Begin(now, false, allotter.Entitled{})
		s.Assign(now, "a", allotter.Entitlement{}, 1)
		first := s.Entitled(now)
		s.Entered()
		s.Assign(now, "a", held(1), 2)
		s.Assign(now, "a", held(0.5), 2)
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(BeZero(), "the entry names a with 1")
		s.Entitled(now)
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(BeZero(), "the next one may not be in the log")
		s.Entered()
		Expect(s.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(Equal(0.5))

		expired := now.Add(term)
		Expect(s.Assign(expired, "b", held(0.5), 1).Fraction).To(Equal(0.5), "an entry names a with 0.5")
		s.Entitled(expired)
		s.Entered()
		Expect(s.Assign(expired, "b", held(0.5), 1).Fraction).To(Equal(1.0))

		next := allotter.NewShares(term)
		next.Begin(now, true, first)
		Expect(next.Assign(now, "a", allotter.Entitlement{}, 2).Fraction).To(Equal(0.5))
		Expect(next.Assign(now, "b", allotter.Entitlement{}, 2).Fraction).To(BeZero(), "the entry of the term before names a with 1")
	})

	// Guards against a wait for what the holder before had not assigned either.
	It("of a holder that follows another one soon are those of the holder before", func() {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, false, allotter.Entitled{})
		for _, address := range []string{"a", "b", "c", "d", "a"} {
			s.Assign(now, address, allotter.Entitlement{}, 4)
		}
		entry := s.Entitled(now)
		for range 3 {
			now = now.Add(term / 2)
			s = allotter.NewShares(term)
			s.Begin(now, true, entry)
			Expect(s.Assign(now, "b", allotter.Entitlement{}, 1).Fraction).To(BeNumerically("~", 0.25, 1e-5))
			entry = s.Entitled(now)
		}
		Expect(s.Assign(now, "a", allotter.Entitlement{}, 4).Fraction).To(BeNumerically("~", 0.25, 1e-5))
		Expect(s.Unknown(now)).To(BeNumerically("~", 0.5, 1e-4))
	})

	DescribeTable("take an entry that can't be right for one that names nobody", func(former allotter.Entitled) {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, true, former)
		Expect(s.Assign(now, "a", allotter.Entitlement{}, 4).Fraction).To(BeZero())
		Expect(s.Unknown(now)).To(Equal(1.0))
	},
		Entry("no part", allotter.Entitled{Addresses: []uint32{hashOfA}}),
		Entry("a part that is no number", allotter.Entitled{Addresses: []uint32{hashOfA}, Part: math.NaN()}),
		Entry("fewer fractions than instances", allotter.Entitled{Addresses: []uint32{hashOfA, 1}, Part: 0.1, Parts: []uint32{1 << 17}}),
		Entry("a sum above one", allotter.Entitled{Addresses: []uint32{hashOfA, 1}, Part: 0.6}),
		Entry("two instances with the same hash", allotter.Entitled{Addresses: []uint32{hashOfA, hashOfA}, Part: 0.25}),
	)

	DescribeTable("and arbiters pass over what another build or a faulty one states", func(e allotter.Entitlement) {
		now := time.Unix(1000, 0)
		s := allotter.NewShares(term)
		s.Begin(now, false, allotter.Entitled{})
		Expect(s.Assign(now, "a", e, 4).Fraction).To(Equal(0.25))
		r := allotter.NewArbiter(counted)
		r.Delegate(now, "a", e)
		_, sum := r.Members(now)
		Expect(sum).To(BeNumerically("<=", 1))
	},
		Entry("a negative fraction", allotter.Entitlement{Fraction: -1, Left: time.Second}),
		Entry("one above the whole", allotter.Entitlement{Fraction: 7, Left: time.Second}),
		Entry("a negative time", allotter.Entitlement{Fraction: 0.5, Left: -1}),
	)
})

var _ = Describe("An entitlement", func() {
	// Guards against a fraction that two arbiters use at the same time.
	It("is delegated to another arbiter only once the delegation to the former one has lapsed", func() {
		now := time.Unix(1000, 0)
		h := allotter.Holding{}
		h.Assigned(now, allotter.Entitlement{Fraction: 0.5, Left: term})
		Expect(h.Delegate(now, "a", time.Second).Fraction).To(Equal(0.5))
		Expect(h.Delegate(now.Add(time.Second), "b", time.Second)).To(Equal(allotter.Entitlement{}))
		Expect(h.Own(now.Add(time.Second))).To(Equal(allotter.Entitlement{}))
		Expect(h.Own(now.Add(1300 * time.Millisecond)).Fraction).To(Equal(0.5))
		Expect(h.Delegate(now.Add(1300*time.Millisecond), "b", time.Second).Fraction).To(Equal(0.5))
		Expect(h.Own(now.Add(9*time.Second)).Fraction).To(BeZero(), "it has expired")
	})
})

var _ = Describe("An arbiter", func() {
	now := time.Unix(1000, 0)
	grant := func(r *allotter.Arbiter, i allotter.Item) allotter.Grant {
		g, ok := r.Grant(now, "a", []allotter.Item{i})
		Expect(ok).To(BeTrue())
		return g[0]
	}

	It("grants nothing to instances that do not delegate to it", func() {
		r := allotter.NewArbiter(counted)
		_, ok := r.Grant(now, "a", []allotter.Item{{Account: "x", Rate: 1, Need: 1}})
		Expect(ok).To(BeFalse())
	})

	It("grants a request that is larger than the capacity, and makes later ones wait for it", func() {
		r := allotter.NewArbiter(exact)
		r.Delegate(now, "a", allotter.Entitlement{Fraction: 1, Left: time.Hour})
		now = now.Add(2 * time.Second)
		item := allotter.Item{Account: "x", Version: 1, Rate: 100, Burst: 50, Need: 300}
		Expect(grant(r, item).Amount).To(Equal(300.0))
		refused := grant(r, item)
		Expect(refused.Amount).To(BeZero())
		Expect(refused.Wait).To(BeNumerically(">=", 3*time.Second))
	})

	// Guards against an account whose requests are all refused.
	It("grants requests of a cap without a burst at its rate", func() {
		r := allotter.NewArbiter(exact)
		r.Delegate(now, "a", allotter.Entitlement{Fraction: 1, Left: time.Hour})
		now = now.Add(time.Second)
		item := allotter.Item{Account: "x", Version: 1, Rate: 1000, Need: 50}
		granted := 0.0
		for range 10 {
			granted += grant(r, item).Amount
		}
		Expect(granted).To(Equal(200.0), "at once, of a capacity of 0.03 of 8 s")
	})

	// The load: an account that asks for more than its cap for a long time. Guards against refusals while
	// its usage in the window is below what the window allows.
	It("grants what the window allows under sustained overload", func() {
		r := allotter.NewArbiter(counted)
		item := allotter.Item{Account: "x", Version: 1, Rate: 36000, Burst: 144000, Need: 2000}
		var usage []float64
		at := now
		for i := range 3000 {
			if i%10 == 0 {
				r.Delegate(at, "a", allotter.Entitlement{Fraction: 1, Left: time.Second})
			}
			at = at.Add(10 * time.Millisecond)
			g, _ := r.Grant(at, "a", []allotter.Item{item})
			usage = append(usage, g[0].Amount)
		}
		allowed, windows := 36000.0*8+144000, int(window/(10*time.Millisecond))
		for end := windows; end <= len(usage); end += 50 {
			sum := 0.0
			for _, u := range usage[end-windows : end] {
				sum += u
			}
			Expect(sum).To(BeNumerically("<=", bound(36000, 144000)))
			if end >= 2*windows {
				Expect(sum).To(BeNumerically(">=", 0.98*allowed))
			}
		}
	})

	// The load: a few requests of a small account that arrive together. Guards against refusals of
	// requests that the slack of the caps allows.
	It("grants several requests of a small cap at once", func() {
		r := allotter.NewArbiter(counted)
		r.Delegate(now, "a", allotter.Entitlement{Fraction: 1, Left: time.Hour})
		now = now.Add(5 * time.Second)
		granted := 0
		for range 20 {
			if grant(r, allotter.Item{Account: "x", Version: 1, Rate: 2700, Burst: 2700, Need: 1632}).Amount > 0 {
				granted++
			}
		}
		Expect(granted).To(Equal(3), "of a capacity of 0.03 of the window and half of the slack")
	})

	DescribeTable("refuses what can't be reckoned with", func(i allotter.Item) {
		r := allotter.NewArbiter(exact)
		r.Delegate(now, "a", allotter.Entitlement{Fraction: 1, Left: time.Hour})
		now = now.Add(10 * time.Second)
		i.Account = "x"
		Expect(grant(r, i).Amount).To(BeZero())
		Expect(grant(r, allotter.Item{Account: "y", Rate: 10, Burst: 10, Need: 1}).Amount).To(Equal(1.0), fmt.Sprint(i))
	},
		Entry("a negative need", allotter.Item{Rate: 10, Burst: 10, Need: -5}),
		Entry("more given back than there is, from nowhere", allotter.Item{Rate: 10, Burst: 10, Need: 20000, Back: -1}),
		Entry("no rate", allotter.Item{Burst: 10, Need: 1}),
	)
})
