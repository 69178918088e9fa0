package entryassembler_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A brittle server", func() {
	// Guards against a server that falls over since all instances together have it refuse more
	// requests than it bears.
	It("refuses no more requests in a second than it bears, of all instances together", func() {
		const bears, span = 8, 6 * time.Second
		g := newCluster(4)
		g.allMeet()
		server := g.engines[2]
		server.Capacity, server.WorkTime, server.Brittle = 3, 50*time.Millisecond, "8"
		begin := time.Now()
		var clients sync.WaitGroup
		for i := range g.fronts {
			for range 6 {
				clients.Go(func() {
					for time.Since(begin) < span {
						g.isServed(i, "/form/1", "")
						time.Sleep(100 * time.Millisecond)
					}
				})
			}
		}
		clients.Wait()
		refusals, answered := server.Refusals()
		var counted []time.Time
		for _, t := range refusals {
			if t.Sub(begin) > time.Second {
				counted = append(counted, t)
			}
		}
		Expect(most(counted, time.Second)).To(BeNumerically("<=", bears))
		Expect(answered).To(BeNumerically(">", int(0.5*60*span.Seconds())), "the server is used")
	})
})
