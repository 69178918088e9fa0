package entryassembler_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

var _ = Describe("A store that comes back from an older copy", func() {
	// Guards against readers that go on at an offset that the store gives out again:
	// what was written again below it is never read.
	It("does not keep instances from a configuration or a server that is written again", func() {
		g := newCluster(3)
		g.allReady()
		put := func(version int, prefix string) {
			g.metadata.Put(platform.TopicOperator, platform.KeyConfig, []byte(fmt.Sprintf(config, version, prefix)))
		}
		served := func(path string) func() int {
			return func() int {
				ok := 0
				for i := range g.fronts {
					if code, _ := g.send(i, path, ""); code == http.StatusOK {
						ok++
					}
				}
				return ok
			}
		}
		snapshot := g.metadata.Snapshot()
		put(4, "lost")
		api := g.engines[2]
		for sequence := range 5 {
			g.metadata.Put(platform.TopicServers, api.ID, api.Registration("api", g.addresses[2], "z1", "ready", 2+sequence))
		}
		Eventually(served("/lost/1"), "3s").Should(Equal(3))
		g.metadata.Restore(snapshot)
		// The offsets of what was lost are given out again, and more.
		put(5, "again")
		g.metadata.Put(platform.TopicServers, "other", api.Registration("other", g.addresses[2], "z1", "ready", 1))
		g.metadata.Put(platform.TopicServers, api.ID, api.Registration("api", g.addresses[2], "z1", "draining", 9))
		for range 6 {
			g.metadata.Put(platform.TopicServers, "other", api.Registration("other", g.addresses[2], "z1", "ready", 2))
			g.metadata.Put(platform.TopicOperator, "unrelated", []byte("x"))
		}
		Eventually(func() int {
			gone := 0
			for i := range g.fronts {
				if code, _ := g.send(i, "/again/1", ""); code == http.StatusServiceUnavailable {
					gone++
				}
			}
			return gone
		}, "3s", 100*time.Millisecond).Should(Equal(3), "the version is in force, and its server is draining")
	})
})
