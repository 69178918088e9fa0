package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/sender"
)

var _ = Describe("An answer to an upload that is still being written", func() {
	// upload returns the body of an early answer without a length that a server ends in some way.
	upload := func(answer string, end func(c *net.TCPConn)) (string, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, answer)
			end(c.(*net.TCPConn))
		}()
		q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("x", 8<<20)))
		Expect(err).NotTo(HaveOccurred())
		p, err := sender.Do(sender.NewClient(), q, "c", "r")
		if err != nil {
			return "", err
		}
		defer p.Body.Close()
		body, err := io.ReadAll(p.Body)
		return string(body), err
	}

	// Guards against a part of an answer that is taken for all of it, since the write of the
	// upload took the error of the reset.
	It("is not complete if its server resets the connection", func() {
		for range 40 {
			_, err := upload("HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn) { _ = c.SetLinger(0) })
			Expect(err).To(HaveOccurred())
		}
	})

	It("is complete if its server ends the connection and reads on", func() {
		for range 40 {
			Expect(upload("HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			})).To(Equal("whole"))
		}
	})
})
