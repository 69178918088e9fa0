package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
)

var _ = Describe("An answer to an upload that is still being written", func() {
	anyAnswer := func(http.Header, bool) bool { return true }
	// upload returns the body of an early answer that a server ends in some way.
	upload := func(answer string, end func(c *net.TCPConn)) (string, error) {
		u := listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}
			return false
		})
		p := connector.NewPool(u.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{})
		defer p.Close()
		q := connector.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20)}
		a, err := p.Do(context.Background(), q, anyAnswer)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(a.Body)
		a.Close(err == nil)
		return string(body), err
	}
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0) }
	finish := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(5 * time.Millisecond)
		reset(c)
	}

	// Guards against a part of an answer that clients get as all of it: the write of the upload
	// took the error of the reset, and the reader found the end of the connection.
	DescribeTable("is not complete if its server resets the connection",
		func(answer string) {
			for range 40 {
				_, err := upload(answer, reset)
				Expect(err).To(HaveOccurred())
			}
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\npart"),
		Entry("of events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n"),
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"),
	)

	// Guards against refusing an early answer whose end was sent before the reset.
	DescribeTable("is complete if its end was sent before",
		func(answer string, end func(c *net.TCPConn)) {
			for range 40 {
				Expect(upload(answer, end)).To(Equal("whole"))
			}
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\nwhole", finish),
		Entry("without a length, to a server that reads on", "HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}),
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", finish),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", finish),
	)
})
