package coordinator_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/coordinator"
	"primrosehook/serviceplanner"
)

// trouble is what happens to the machines of a world, and how often.
type trouble struct {
	name string
	size worldSize
	// kills, outages of the log for the holder, late orders, late registrations and restarts of all
	// servers happen if set.
	kills, losesLease, lateOrders, lateRegistrations, restarts bool
}

// play lets the trouble happen to two machines, drawn by the world's seed.
func (c trouble) play(w *world) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	var mu sync.Mutex
	running := map[string]*worldInstance{}
	machines := []string{"1", "2"}
	for _, m := range machines {
		mu.Lock()
		running[m] = w.start(m, 0)
		mu.Unlock()
		work.Go(func() {
			w.demand(ctx, func() *worldInstance {
				mu.Lock()
				defer mu.Unlock()
				return running[m]
			})
		})
	}
	work.Go(func() { w.runBeats(ctx) })
	began := time.Now()
	for number := 1; time.Since(began) < worldFor; number++ {
		time.Sleep(2*time.Second + w.delay(5*time.Second))
		w.mu.Lock()
		w.lateShare, w.registryLag = 0, 300*time.Millisecond
		if c.lateOrders && w.random.IntN(2) == 0 {
			w.lateShare = []float64{0.5, 1}[w.random.IntN(2)]
		}
		if c.lateRegistrations && w.random.IntN(2) == 0 {
			w.registryLag = 5 * time.Second
		}
		restart := c.restarts && w.random.IntN(2) == 0
		kill := c.kills && w.random.IntN(3) > 0
		lose := c.losesLease && w.random.IntN(2) == 0
		both := w.random.IntN(2) == 0
		machine := machines[w.random.IntN(2)]
		down := time.Duration(w.random.Int64N(int64(time.Second)))
		w.mu.Unlock()
		if restart {
			w.restart()
		}
		if lose {
			w.log.mu.Lock()
			w.log.lostUntil[machine] = time.Now().Add(time.Second + 4*down)
			w.log.mu.Unlock()
		}
		if !kill {
			continue
		}
		for _, m := range machines {
			if !both && m != machine {
				continue
			}
			mu.Lock()
			i := running[m]
			running[m] = nil
			mu.Unlock()
			i.end()
		}
		w.mu.Lock()
		w.killedAt = time.Now()
		w.mu.Unlock()
		time.Sleep(down)
		for _, m := range machines {
			mu.Lock()
			if running[m] == nil {
				running[m] = w.start(m, number)
			}
			mu.Unlock()
		}
	}
	cancel()
	for _, i := range running {
		i.end()
	}
	work.Wait()
	// Late orders arrive.
	time.Sleep(15 * time.Second)
}

// Guards against orders that a server has no room for, and against more loads from the weight
// store than it allows, by what the lease holder believes after a start, a hand-over or a lapse.
func TestOrdersInTrouble(t *testing.T) {
	small := worldSize{serverCount: 6, models: 14, copies: 5, shift: 2 * time.Second}
	full := worldSize{serverCount: 30, models: 80, copies: 3, shift: time.Second}
	slow, scarce := full, full
	slow.transit, scarce.copies = 200*time.Millisecond, 2
	cases := []trouble{
		{name: "calm", size: small},
		{name: "processes are killed", size: small, kills: true},
		{name: "the lease is lost and taken again", size: small, losesLease: true},
		{name: "orders are late", size: small, lateOrders: true},
		{name: "registrations are late", size: small, lateRegistrations: true},
		{name: "all at once", size: small, kills: true, losesLease: true, lateOrders: true, lateRegistrations: true},
		{name: "the weight store has no more to give", size: full},
		{name: "orders to a full weight store are late", size: full, lateOrders: true},
		{name: "orders take long to arrive", size: slow},
		{name: "servers are restarted", size: scarce, restarts: true},
		{name: "all at once at a full weight store", size: full, kills: true, losesLease: true, lateOrders: true, lateRegistrations: true},
	}
	first, runs := 1, 6
	if s := os.Getenv("ORDERS_SEED"); s != "" {
		first, _ = strconv.Atoi(s)
	}
	if s := os.Getenv("ORDERS_RUNS"); s != "" {
		runs, _ = strconv.Atoi(s)
	}
	for _, c := range cases {
		runs := runs
		if c.size.serverCount > small.serverCount {
			runs = max(runs/2, 1)
		}
		t.Run(c.name, func(t *testing.T) {
			var orders, loads int
			var after time.Duration
			var terms int
			for seed := range runs {
				t.Run(fmt.Sprint("seed ", first+seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(c.size, uint64(first+seed))
						c.play(w)
						w.mu.Lock()
						defer w.mu.Unlock()
						orders, loads = orders+w.orders, loads+len(w.begun)
						for _, d := range w.firstOrders {
							after, terms = after+d, terms+1
						}
						NewWithT(t).Expect(w.broken).To(BeEmpty())
						NewWithT(t).Expect(w.orders).To(BeNumerically(">", 10))
					})
				})
			}
			t.Logf("%d orders, %d loads from the weight store, first order %v after a kill", orders, loads, after/time.Duration(max(terms, 1)))
		})
	}
}

// Guards against loads beyond the rate of the weight store that an earlier term of the lease holder
// has planned, while the loads of the holder between count.
func TestOrdersOfAnEarlierTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(worldSize{serverCount: 6, models: 14, copies: 3}, 1)
		w.unloadTime = 4 * time.Second
		i := w.start("1", 0)
		defer i.end()
		time.Sleep(1500 * time.Millisecond)
		for !w.unloading() {
			i.fleet.RecordArrival("llm", balancer.Request{Model: "m5"})
			time.Sleep(10 * time.Millisecond)
		}
		other := coordinator.Entry{Instance: "2-0", Machine: "2", Address: "127.0.0.1:2"}
		g.Expect(w.log.add(other)).To(Succeed())
		time.Sleep(time.Second)
		other.Release, other.Clear = true, true
		g.Expect(w.log.add(other)).To(Succeed())
		time.Sleep(worldWindow - 10*time.Millisecond)
		g.Expect(w.loads()).To(BeZero())
		// They may be planned again.
		for began := time.Now(); w.loads() == 0 && time.Since(began) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
			i.fleet.RecordArrival("llm", balancer.Request{Model: "m5"})
		}
		g.Expect(w.loads()).ToNot(BeZero())
	})
}

// Guards against loads beyond the rate of the weight store, when those whose orders got no answer
// begin after they have ceased to count.
func TestLateLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(worldSize{serverCount: 14, models: 60, copies: 3, resident: 2}, 1)
		w.engine.ColdLoadsPerSecond = 0.4
		w.removeAdapters()
		w.lateShare, w.lateBy = 1, 11*time.Second
		i := w.start("1", 0)
		defer i.end()
		for began := time.Now(); time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
			for m := 43; m < 60; m++ {
				i.fleet.RecordArrival("llm", balancer.Request{Model: fmt.Sprint("m", m)})
			}
			if time.Since(began) > 6*time.Second {
				w.answerAll()
				// The servers whose orders are late are busier than the others.
				for _, m := range []string{"m0", "m3", "m30", "m33"} {
					i.fleet.RecordArrival("llm", balancer.Request{Model: m})
				}
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(w.broken).To(BeEmpty())
		NewWithT(t).Expect(len(w.begun)).To(BeNumerically(">", 5))
	})
}

// Guards against loads beyond the rate of the weight store that begin late, after the holder that
// ordered them has been killed: its successor does not know of them.
func TestLateLoadsOfAFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(worldSize{serverCount: 30, models: 110, copies: 3, resident: 2}, 1)
		w.removeAdapters()
		w.lateShare, w.lateBy = 1, 7*time.Second
		i := w.start("1", 0)
		time.Sleep(2 * time.Second)
		i.end()
		w.answerAll()
		i = w.start("1", 1)
		defer i.end()
		for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
			for m := 91; m < 110; m++ {
				i.fleet.RecordArrival("llm", balancer.Request{Model: fmt.Sprint("m", m)})
			}
			// The servers whose orders are late are busier than the others.
			for _, server := range []int{0, 1, 2, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19} {
				i.fleet.RecordArrival("llm", balancer.Request{Model: fmt.Sprint("m", 3*server)})
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		NewWithT(t).Expect(w.broken).To(BeEmpty())
	})
}

// Guards against an order to a former process of a server that arrives late at the next one, and
// loads more than that has room for: both have accepted as many orders.
func TestLateOrderToAFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(worldSize{serverCount: 1, models: 4, copies: 4, resident: 2}, 1)
		w.removeAdapters()
		w.lateShare, w.lateBy = 1, time.Minute
		i := w.start("1", 0)
		defer i.end()
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		old := w.servers["s0"]
		delete(w.servers, "s0")
		w.mu.Unlock()
		lost := time.Now()
		time.Sleep(time.Second)
		w.mu.Lock()
		w.lateShare = 0
		w.add(&worldServer{id: "s0", loaded: map[string][]string{}, copies: old.copies, onDisk: old.onDisk})
		w.mu.Unlock()
		time.Sleep(11*time.Second - time.Since(lost))
		late := coordinator.Order{Order: serviceplanner.Order{Op: serviceplanner.Load, Model: "m3"}, ExpectedOrders: 3}
		w.accept(w.server("s0"), late)
		time.Sleep(15 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.broken).To(BeEmpty())
		g.Expect(w.servers["s0"].loaded).To(HaveLen(3))
	})
}
