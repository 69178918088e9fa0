package relayer_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// breakOff sends the first bytes of an answer and ends the connection.
func breakOff(part string, reset bool) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, part)
		if reset {
			// The bytes must arrive before the reset.
			time.Sleep(5 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

var _ = Describe("An answer whose head broke off", func() {
	// Guards against a 200 with an empty or short body that is framed as whole.
	DescribeTable("is not passed on, at whatever byte",
		func(method, path, framing string, reset bool) {
			head := "HTTP/1.1 200 OK\r\nId: q1\r\nSign: s\r\n" + framing + "\r\n"
			var all sync.WaitGroup
			for n := range len(head) {
				w := startRelayer(breakOff(head[:n], reset))
				all.Go(func() {
					defer GinkgoRecover()
					code, body, err := w.send(method, path, "")
					Expect(code).NotTo(Equal(200), "%q: body %q, %v", head[:n], body, err)
					Expect(w.attemptCount()).To(Equal(1), "%q", head[:n])
				})
			}
			all.Wait()
		},
		Entry("read, closed", "GET", "/read/1", "Content-Length: 10\r\n", false),
		Entry("read, reset", "GET", "/read/1", "Content-Length: 10\r\n", true),
		Entry("write, closed", "POST", "/write/1", "Content-Length: 10\r\n", false),
		Entry("write, closed, ends with the connection", "POST", "/write/1", "", false),
		Entry("stream, closed", "POST", "/chat/1", "Transfer-Encoding: chunked\r\n", false),
		Entry("stream, reset", "POST", "/once/1", "Transfer-Encoding: chunked\r\n", true),
	)
})
