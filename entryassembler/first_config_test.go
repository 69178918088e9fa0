package entryassembler_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// catchUpTime is how long instances may take to catch up with a store that has become available:
// contact-ms, config-ms and outer-ms of the deployments.
const catchUpTime = (3 + 2 + 5) * time.Second

var _ = Describe("Instances that start while the store is unavailable", func() {
	// Guards against instances that stay without a configuration for good, and refuse all
	// requests, since a peer without one gave them a position in its stream.
	DescribeTable("get the first configuration once it is available", func(away time.Duration) {
		g := newCluster(0)
		g.seeded = true
		g.metadata.SetFaults(true, false)
		for i := range 3 {
			g.start(i)
		}
		time.Sleep(away)
		g.metadata.SetFaults(false, false)
		for i := range 3 {
			Eventually(func() int { return g.ready(i) }, catchUpTime, 50*time.Millisecond).Should(Equal(http.StatusOK), "instance %d", i)
		}
	},
		Entry("after 200 ms", 200*time.Millisecond),
		Entry("after 3 s", 3*time.Second),
	)
})
