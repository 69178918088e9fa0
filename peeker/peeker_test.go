package peeker_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/peeker"
)

// pipe returns both ends of a TCP connection.
func pipe() (client, server *net.TCPConn) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	s, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

var _ = Describe("Closed", func() {
	DescribeTable("tells a connection that its peer has closed", func(leave func(c *net.TCPConn), unread string, expected bool) {
		c, s := pipe()
		_, err := c.Write([]byte(unread))
		Expect(err).NotTo(HaveOccurred())
		leave(c)
		time.Sleep(20 * time.Millisecond)
		for range 2 {
			Expect(peeker.Closed(s)).To(Equal(expected))
		}
	},
		Entry("open", func(*net.TCPConn) {}, "", false),
		Entry("open, with unread bytes", func(*net.TCPConn) {}, "GET", false),
		Entry("closed", func(c *net.TCPConn) { _ = c.Close() }, "", true),
		Entry("closed behind unread bytes", func(c *net.TCPConn) { _ = c.Close() }, "GET", true),
		Entry("reset", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, "", true),
		Entry("reset behind unread bytes", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }, "GET", true),
	)

	It("does not wait for a goroutine that reads", func() {
		c, s := pipe()
		go func() { _, _ = s.Read(make([]byte, 1)) }()
		time.Sleep(20 * time.Millisecond)
		Expect(peeker.Closed(s)).To(BeFalse())
		Expect(c.Close()).To(Succeed())
		Eventually(func() bool { return peeker.Closed(s) }).Should(BeTrue())
	})

	It("takes a connection that is closed on this side for closed", func() {
		_, s := pipe()
		Expect(s.Close()).To(Succeed())
		Expect(peeker.Closed(s)).To(BeTrue())
	})
})

var _ = Describe("ClientLeft", func() {
	// The request's context ends only after the handler has started.
	It("tells at the start of a handler that the client left before it was accepted", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		const clients = 50
		for range clients {
			c, err := net.Dial("tcp", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Close()).To(Succeed())
		}
		left := make(chan bool, clients)
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { left <- peeker.ClientLeft(q.Context()) }))
		Expect(s.Listener.Close()).To(Succeed())
		s.Listener, s.Config.ConnContext = l, peeker.WithClient
		s.Start()
		DeferCleanup(s.Close)
		for range clients {
			Eventually(left).Should(Receive(BeTrue()))
		}
	})

	It("reports the end of a context without a connection", func() {
		ctx, cancel := context.WithCancel(context.Background())
		Expect(peeker.ClientLeft(ctx)).To(BeFalse())
		cancel()
		Expect(peeker.ClientLeft(ctx)).To(BeTrue())
	})
})
