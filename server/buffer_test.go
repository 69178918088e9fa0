package server_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/server"
)

// Guards against buffers for bodies that take a multiple of what is charged for them: many at a time
// took a process beyond its memory.
var _ = Describe("The buffer for a body of unknown length", func() {
	It("is no larger than the largest body, beside the one that it is copied from", func() {
		limits := server.DefaultLimits()
		c := newHarness(server.WithLimits(limits))
		DeferCleanup(c.close)
		send := func() {
			body := io.LimitReader(strings.NewReader(strings.Repeat(" ", int(limits.MaxBodyBytes)+1)), limits.MaxBodyBytes+1)
			p, err := http.Post(c.callers.URL+"/v1/chat/completions", "application/json", body)
			Expect(err).NotTo(HaveOccurred())
			Expect(p.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(p.Body.Close()).To(Succeed())
		}
		send()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range 10 {
			send()
		}
		runtime.ReadMemStats(&after)
		// One is the text that is sent. All buffers together are twice the last one.
		Expect((after.TotalAlloc-before.TotalAlloc)/10).To(BeNumerically("<", 7*limits.MaxBodyBytes/2), "bytes allocated for a request")
	})
})
