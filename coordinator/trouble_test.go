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
)

// trouble is what happens to the machines of a world, and how often.
type trouble struct {
	name string
	size worldSize
	// kills, outages of the log for the holder, late orders and late registrations happen if set.
	kills, losesLease, lateOrders, lateRegistrations bool
}

// play lets the trouble happen to two machines, drawn by the world's seed.
func (c trouble) play(w *world) {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	var mu sync.Mutex
	running := map[string]*worldInstance{}
	machines := []string{"1", "2"}
	for _, m := range machines {
		running[m] = w.start(m, 0)
		work.Go(func() {
			w.demand(ctx, func() *worldInstance {
				mu.Lock()
				defer mu.Unlock()
				return running[m]
			})
		})
	}
	work.Go(func() { w.runBeats(ctx) })
	for number := 1; time.Since(worldStart(w)) < worldFor; number++ {
		time.Sleep(2*time.Second + w.delay(5*time.Second))
		w.mu.Lock()
		w.lateShare, w.registryLag = 0, 300*time.Millisecond
		if c.lateOrders && w.random.IntN(2) == 0 {
			w.lateShare = 0.5
		}
		if c.lateRegistrations && w.random.IntN(2) == 0 {
			w.registryLag = 5 * time.Second
		}
		kill := c.kills && w.random.IntN(3) > 0
		lose := c.losesLease && w.random.IntN(2) == 0
		both := w.random.IntN(2) == 0
		machine := machines[w.random.IntN(2)]
		down := time.Duration(w.random.Int64N(int64(time.Second)))
		w.mu.Unlock()
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
			i.stop()
			i.ended.Wait()
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
		i.stop()
		i.ended.Wait()
	}
	work.Wait()
	// Late orders arrive.
	time.Sleep(15 * time.Second)
}

// worldStart returns when the world began.
func worldStart(w *world) time.Time { return w.servers["s0"].history[0].at }

// Guards against orders that a server has no room for, and against more loads from the weight
// store than it allows, by what the lease holder believes after a start, a hand-over or a lapse.
func TestOrdersInTrouble(t *testing.T) {
	small := worldSize{serverCount: 6, models: 14, copies: 5, shift: 2 * time.Second}
	full := worldSize{serverCount: 30, models: 80, copies: 3, shift: time.Second}
	cases := []trouble{
		{name: "calm", size: small},
		{name: "processes are killed", size: small, kills: true},
		{name: "the lease is lost and taken again", size: small, losesLease: true},
		{name: "orders are late", size: small, lateOrders: true},
		{name: "registrations are late", size: small, lateRegistrations: true},
		{name: "all at once", size: small, kills: true, losesLease: true, lateOrders: true, lateRegistrations: true},
		{name: "the weight store has no more to give", size: full},
		{name: "orders to a full weight store are late", size: full, lateOrders: true},
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
		t.Run(c.name, func(t *testing.T) {
			var orders, loads int
			var after time.Duration
			var terms int
			for seed := range runs {
				t.Run(fmt.Sprint("seed ", first+seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(t, c.size, uint64(first+seed))
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
