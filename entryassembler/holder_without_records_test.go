package entryassembler_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

var _ = Describe("A lease holder that the store gives no records", func() {
	// Guards against a lease holder that stays without what all its peers have, since it is fed by
	// nobody: it sends no orders, and models that no server has loaded are never served.
	DescribeTable("gets them from its peers, or leaves the lease to one that has them", func(topic string) {
		g := newCluster(0)
		g.link = 1000
		for range 3 {
			g.fixed = append(g.fixed, port())
		}
		g.rejects = func(i int, q *http.Request) bool { return i == 0 && q.URL.Query().Get("topic") == topic }
		g.start(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		time.Sleep(2 * time.Second)
		g.start(1)
		g.start(2)
		for i := 1; i < 3; i++ {
			Eventually(func() int { return g.ready(i) }, "10s").Should(Equal(200))
		}
		Eventually(func() int { return g.ready(0) }, "10s", "100ms").Should(Equal(200), "the holder")
	},
		Entry("no configuration", platform.TopicOperator),
		Entry("no registry", platform.TopicServers),
	)
	// Guards against models that are never loaded since the holder plans nothing.
	DescribeTable("sends orders all the same, or leaves the lease", func(topic string) {
		g := newCluster(0)
		g.link = 1000
		for range 3 {
			g.fixed = append(g.fixed, port())
		}
		g.rejects = func(i int, q *http.Request) bool { return i == 0 && q.URL.Query().Get("topic") == topic }
		g.start(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		time.Sleep(2 * time.Second)
		g.start(1)
		g.start(2)
		for i := 1; i < 3; i++ {
			Eventually(func() int { return g.ready(i) }, "10s").Should(Equal(200))
		}
		time.Sleep(time.Second)
		Eventually(func() int { code, _ := g.send(1, "/chat/1", "m1"); return code }, 15*time.Second, "100ms").Should(Equal(200), "a model that no server has loaded")
	},
		Entry("no configuration", platform.TopicOperator),
		Entry("no registry", platform.TopicServers),
	)
	// Guards against a lease that goes round among instances of which none can do more than the others.
	It("keeps the lease while no peer has them", func() {
		g := newCluster(0)
		g.link = 1000
		for range 3 {
			g.fixed = append(g.fixed, port())
		}
		g.rejects = func(_ int, q *http.Request) bool { return q.URL.Query().Get("topic") == platform.TopicOperator }
		g.start(0)
		Eventually(func() int { return g.metric(0, "lease_held") }, "10s").Should(Equal(1))
		g.start(1)
		g.start(2)
		for i := range g.fronts {
			Eventually(func() int { return g.metric(i, "instances") }, "10s").Should(Equal(3))
		}
		Consistently(func() int { return g.metric(0, "lease_held") }, "6s", "100ms").Should(Equal(1))
	})
})
