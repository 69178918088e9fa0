package coordinator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"primrosehook/balancer"
)

// Guards against loads beyond the rate of the weight store by a lease holder that gets its
// configuration after it has taken the lease: it does not count those of the holder before.
func TestLoadsOfAHolderWithALateConfiguration(t *testing.T) {
	for _, delay := range []time.Duration{0, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint("configuration after ", delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(worldSize{serverCount: 30, models: 110, copies: 3, resident: 2}, 1)
				w.removeAdapters()
				request := func(i *worldInstance, d time.Duration) {
					for began := time.Now(); time.Since(began) < d; time.Sleep(50 * time.Millisecond) {
						for m := 60; m < 110; m++ {
							i.fleet.RecordArrival("llm", balancer.Request{Model: fmt.Sprint("m", m)})
						}
					}
				}
				i := w.start("1", 0)
				request(i, 4*time.Second)
				i.end()
				w.configDelay = delay
				i = w.start("1", 1)
				defer i.end()
				request(i, 10*time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				NewWithT(t).Expect(w.broken).To(BeEmpty())
				NewWithT(t).Expect(len(w.begun)).To(BeNumerically(">", 5))
			})
		})
	}
}
