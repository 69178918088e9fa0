package detourer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
	"primrosehook/peeker"
)

var _ = Describe("An answer through a peer to an upload that is still being written", func() {
	// upload returns the body of an early answer that a server ends in some way.
	upload := func(answer string, end func(c *net.TCPConn, r io.Reader)) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, answer)
			end(c.(*net.TCPConn), r)
		}()
		list := newInstances(2)
		list[0].links.refuse.Store(true)
		p := connector.NewPool(l.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{}, connector.WithDialer(list[0]))
		defer p.Close()
		q := connector.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20)}
		a, err := p.Do(context.Background(), q, func(http.Header, bool) bool { return true })
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(a.Body)
		a.Close(err == nil)
		return string(body), err
	}
	reset := func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }
	resetAfterEnd := func(c *net.TCPConn, r io.Reader) {
		_ = c.CloseWrite()
		for peeker.Unreceived(c) > 0 {
			time.Sleep(time.Millisecond)
		}
		reset(c, r)
	}

	// Guards against a peer that takes the server's reset for the end of its answer, since its
	// write of the upload took the error, or that closes the server's connection with its answer
	// unread when the upload can't be written any more.
	DescribeTable("is complete if its end was sent before a reset",
		func(head string, end func(c *net.TCPConn, r io.Reader), complete bool) {
			whole := strings.Repeat("x", 256<<10)
			for range 40 {
				body, err := upload("HTTP/1.1 200 OK\r\n"+head+"\r\n"+whole, end)
				Expect(err == nil).To(Equal(complete), "%d bytes, %v", len(body), err)
				if complete {
					Expect(body).To(HaveLen(len(whole)))
				}
			}
		},
		Entry("ended, then reset", "", resetAfterEnd, true),
		Entry("ended by a server that reads on", "", func(c *net.TCPConn, r io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
		}, true),
		Entry("ended, with a length", "Content-Length: 262144\r\n", resetAfterEnd, true),
		Entry("reset", "", func(c *net.TCPConn, r io.Reader) {
			_, _ = io.CopyN(io.Discard, r, 1<<20)
			reset(c, r)
		}, false),
	)
})
