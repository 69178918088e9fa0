package main_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/launcher"
)

var _ = Describe("serve while the log can't be reached", func() {
	// Guards against instances that stay without a rule list for good since they took a position
	// in its log from each other, before any of them had read it.
	It("gets the published rule list once the log is reachable", func() {
		platform, first, operators := freeAddr(), freeAddr(), freeAddr()
		start(standinPath, "platform", "-listen", platform)
		reachable(platform)
		publisher := start(hookPath, "serve", "-listen", first, "-operate", operators, "-peer", freeAddr(), "-list", "http://"+platform, "-log", "http://"+platform)
		reachable(operators)
		runCommand(0, "publish", "-admin", operators, "-base", "0", writeTempFile(rules))
		publisher.Kill().Wait()

		proxy, err := launcher.NewFaultProxy(platform)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(proxy.Close)
		proxy.SetFault(launcher.NetworkFault{Cut: true})
		var fronts []string
		for range 3 {
			front := freeAddr()
			fronts = append(fronts, front)
			start(hookPath, "serve", "-listen", front, "-operate", freeAddr(), "-peer", freeAddr(), "-list", "http://"+platform, "-log", proxy.URL())
			reachable(front)
		}
		time.Sleep(3 * time.Second)
		proxy.SetFault(launcher.NetworkFault{})
		for i, front := range fronts {
			Eventually(func() int {
				p, err := http.Get("http://" + front + "/readyz")
				if err != nil {
					return 0
				}
				defer p.Body.Close()
				return p.StatusCode
			}, "20s", "50ms").Should(Equal(http.StatusOK), fmt.Sprint("instance ", i))
		}
	})
})
