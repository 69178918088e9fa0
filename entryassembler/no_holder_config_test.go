package entryassembler_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/platform"
)

var _ = Describe("An instance that the store rejects while there is no lease holder", func() {
	for _, link := range []float64{0, 1000} {
		// Guards against instances that know no peer to fetch a configuration from that is too large
		// for a reply.
		It(fmt.Sprint("gets the configuration from its peers, link ", link), func() {
			g := newCluster(0)
			g.link = link
			for range 3 {
				g.fixed = append(g.fixed, port())
			}
			g.rejects = func(i int, q *http.Request) bool { return i == 2 || q.URL.Query().Get("topic") == platform.TopicLeases }
			for i := range 3 {
				g.start(i)
			}
			for i := range 3 {
				Eventually(func() int { return g.ready(i) }, "12s", "50ms").Should(Equal(200), "instance %d", i)
				Eventually(func() int { code, _ := g.send(i, "/form/1", ""); return code }, "5s", "100ms").Should(Equal(200), "instance %d", i)
			}
		})
	}
})
