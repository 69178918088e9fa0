package main_test

import (
	"net/http"
	"os/exec"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var _ = Describe("An instance with limits of its process", func() {
	// Guards against threads that exhaust a limit on data or address space: under load, or at the
	// start, the process ended.
	DescribeTable("serves under load", func(limit string) {
		p := newEntryProcess()
		_, store := newConfiguredStore()
		s, err := gexec.Start(exec.Command("sh", "-c", limit+` exec "$0" entry -settings "$1"`, hookPath, writeSettings(store, p)), GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { s.Kill().Wait() })
		Eventually(func() int { return p.ask("kept") }, "15s", "50ms").Should(Equal(http.StatusOK))
		var clients sync.WaitGroup
		var served atomic.Int64
		for range 64 {
			clients.Go(func() {
				defer GinkgoRecover()
				for range 200 {
					if p.ask("kept") == http.StatusOK {
						served.Add(1)
					}
				}
			})
		}
		clients.Wait()
		Expect(s.ExitCode()).To(Equal(-1), "ended")
		Expect(served.Load()).To(BeNumerically(">", 0))
	},
		Entry("284 MB of data beside 64 cores", "ulimit -d 290816; GOMAXPROCS=64"),
		Entry("144 MB of data", "ulimit -d 147456;"),
		Entry("1 GB of address space", "ulimit -v 1000000;"))
})
