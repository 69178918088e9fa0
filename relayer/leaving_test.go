package relayer_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// withHeader adds a header to the answers of a handler.
func withHeader(name, value string, h handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(name, value)
		h(w, q)
	}
}

var _ = Describe("A server that says that it leaves", func() {
	// Guards against sending requests to a server whose answers say that it leaves, while
	// its registration does not say so.
	DescribeTable("gets no further requests",
		func(method, path string, first handler) {
			w := startRelayer(withHeader("Leave", "1", first), first)
			code, _, err := w.send(method, path, "x")
			Expect([]any{code, err}).To(Equal([]any{200, nil}))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			for range 5 {
				code, _, _ = w.send(method, path, "x")
				Expect(code).To(Equal(200))
			}
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			// Its registration is read again, and expires for a while.
			w.fleet.Update(w.servers)
			w.fleet.Update(w.servers[1:])
			w.fleet.Update(w.servers)
			code, _, _ = w.send(method, path, "x")
			Expect(code).To(Equal(200))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			// It has started again.
			w.servers[0].Incarnation = "again"
			w.fleet.Update(w.servers[:1])
			code, _, _ = w.send(method, path, "x")
			Expect(code).To(Equal(200))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(2)))
		},
		Entry("reads", "GET", "/read/1", signedAnswer("whole")),
		Entry("writes", "POST", "/write/1", signedAnswer("whole")),
		Entry("streams", "POST", "/chat/1", streamEvents(2, 0)),
	)

	It("is reported, so that its models are loaded elsewhere", func() {
		w := startRelayer(withHeader("Leave", "1", signedAnswer("whole")))
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.fleet.Unavailable()).To(ConsistOf("s0"))
		code, _, _ := w.send("GET", "/read/1", "")
		Expect(code).To(Equal(503))
	})

	It("is not the one that has got its address meanwhile", func() {
		w := startRelayer(withHeader("Leave", "1", statusOnly(421)), signedAnswer("whole"))
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.fleet.Unavailable()).To(BeEmpty())
	})
})
