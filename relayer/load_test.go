package relayer_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
)

var _ = Describe("Load that a server reports with an answer", func() {
	// The load: one request after the other at a server that says that it runs nine. Guards against
	// the figures being read and not used.
	It("counts in the next choice", func() {
		w := startRelayer(func(rw http.ResponseWriter, q *http.Request) {
			rw.Header().Set("Running", "9")
			signedAnswer("done")(rw, q)
		})
		Eventually(func() int {
			code, _, err := w.send("GET", "/read/1", "")
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(200))
			a, status := w.fleet.Take("svc", balancer.Request{})
			Expect(status).To(Equal(balancer.Found))
			defer a.Cancel()
			return a.Inputs.Excess
		}, "5s").Should(Equal(8))
	})
})
