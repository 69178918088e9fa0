package relayer_test

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const bareRefusal = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"

// repeatsRefusal refuses the first request of a connection, and writes that refusal once more
// before it answers the second one. It counts the requests that it runs. Its refusals have the
// ID of their request or none.
func repeatsRefusal(named bool, ran *atomic.Int64) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		refusal := bareRefusal
		if named {
			refusal = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nId: " + q.Header.Get("Id") + "\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = io.WriteString(c, refusal)
		next, err := http.ReadRequest(bufio.NewReader(rw))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		ran.Add(1)
		_, _ = io.WriteString(c, refusal)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+next.Header.Get("Id")+"\r\nSign: s\r\nContent-Length: 4\r\n\r\ndone")
	}
}

var _ = Describe("An earlier refusal on a kept connection", func() {
	// Guards against telling a client that a request did not run, or running it at a second
	// server, because of a refusal of another request.
	DescribeTable("is not taken for the answer to a later request", func(named bool) {
		var ran atomic.Int64
		w := startRelayer(repeatsRefusal(named, &ran))
		code, _, err := w.send("POST", "/write/1", "x")
		Expect([]any{code, err}).To(Equal([]any{503, nil}))
		code, body, err := w.send("POST", "/write/2", "x", "Id", "q2")
		Expect([]any{code, body, err}).To(Equal([]any{200, "done", nil}))
		Expect(ran.Load()).To(BeEquivalentTo(1))
	},
		Entry("with the ID of its request", true),
		Entry("without an ID", false),
	)

	It("without an ID lets a client know that its request may have run", func() {
		w := startRelayer(func(w http.ResponseWriter, _ *http.Request) {
			c, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, bareRefusal)
			if _, err := http.ReadRequest(bufio.NewReader(rw)); err == nil {
				_, _ = io.WriteString(c, bareRefusal)
			}
		})
		code, _, err := w.send("POST", "/write/1", "x")
		Expect([]any{code, err}).To(Equal([]any{503, nil}))
		code, _, err = w.send("POST", "/write/2", "x", "Id", "q2")
		Expect([]any{code, err}).To(Equal([]any{502, nil}))
	})
})
