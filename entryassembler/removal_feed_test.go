package entryassembler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

var _ = Describe("A server whose removal is deleted from the registry's stream before it is read", func() {
	// Guards against instances that keep a server for good since the instance that feeds them
	// learned of its removal from the newest records, and passes on the position but no removal.
	It("is dropped by instances that are fed", func() {
		g := newCluster(3)
		g.allReady()
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, "5s").Should(Equal(200))
		time.Sleep(time.Second)
		g.metadata.SetFaults(true, false)
		time.Sleep(300 * time.Millisecond)
		g.metadata.Put(platform.TopicServers, "i-2", nil)
		g.metadata.Trim(platform.TopicServers, 5)
		g.metadata.SetFaults(false, false)
		for i := range g.fronts {
			Eventually(func() int { code, _ := g.send(i, "/form/1", ""); return code }, "10s", "100ms").Should(Equal(503), "instance %d", i)
		}
	})
	// Guards against an instance that starts and is given a server that the others dropped.
	It("is not passed on to an instance that starts", func() {
		g := newCluster(0)
		g.seeded = true
		g.start(0)
		g.allReady()
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, "5s").Should(Equal(200))
		time.Sleep(3 * time.Second)
		g.metadata.SetFaults(true, false)
		time.Sleep(300 * time.Millisecond)
		g.metadata.Put(platform.TopicServers, "i-2", nil)
		g.metadata.Trim(platform.TopicServers, 5)
		g.metadata.SetFaults(false, false)
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, "10s", "100ms").Should(Equal(503))
		g.start(1)
		g.storeCut[1].Store(true)
		Eventually(func() int { return g.ready(1) }, "10s").Should(Equal(200))
		Eventually(func() int { code, _ := g.send(1, "/form/1", ""); return code }, "10s", "100ms").Should(Equal(503))
	})
})

var _ = Describe("A server that left before the instance that feeds others has started", func() {
	// Guards against instances that keep a server for good since the lease holder, which has read the
	// newest records only, passes on its position without the removal.
	It("is dropped by an instance that the store rejects", func() {
		g := newCluster(0)
		g.link = 1000
		for range 2 {
			g.fixed = append(g.fixed, port())
		}
		g.start(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		g.start(1)
		g.allMeet()
		Eventually(func() int { code, _ := g.send(1, "/form/1", ""); return code }, "5s").Should(Equal(200))
		g.storeCut[1].Store(true)
		g.stops[0]()
		<-g.ended[0]
		g.metadata.Put(platform.TopicServers, "i-2", nil)
		g.run(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		Eventually(func() int { return g.ready(0) }, "10s").Should(Equal(200))
		Eventually(func() int { code, _ := g.send(0, "/form/1", ""); return code }, "5s").Should(Equal(503))
		Eventually(func() int { code, _ := g.send(1, "/form/1", ""); return code }, "10s", "100ms").Should(Equal(503), "the instance that is fed")
	})
	// Guards against losing a removal that the holder has read itself.
	It("is dropped by an instance that the store rejects, control: the holder has read the removal", func() {
		g := newCluster(0)
		g.link = 1000
		for range 2 {
			g.fixed = append(g.fixed, port())
		}
		g.start(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		g.start(1)
		g.allMeet()
		g.storeCut[1].Store(true)
		time.Sleep(time.Second)
		g.metadata.Put(platform.TopicServers, "i-2", nil)
		Eventually(func() int { code, _ := g.send(1, "/form/1", ""); return code }, "10s", "100ms").Should(Equal(503), "the instance that is fed")
	})
})
