package resetter_test

import (
	"io"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/resetter"
)

// wrapped is a connection that passes a reset on.
type wrapped struct{ net.Conn }

// Reset implements resetter.Resetter.
func (w wrapped) Reset() error { return resetter.Reset(w.Conn) }

var _ = Describe("Reset", func() {
	DescribeTable("ends a connection for its peer with a reset", func(wrap func(net.Conn) net.Conn) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		s, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Expect(resetter.Reset(wrap(c))).To(Succeed())
		_, err = s.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	},
		Entry("of TCP", func(c net.Conn) net.Conn { return c }),
		Entry("that is wrapped", func(c net.Conn) net.Conn { return wrapped{c} }),
	)

	It("closes a connection that has no reset", func() {
		a, b := net.Pipe()
		Expect(resetter.Reset(a)).To(Succeed())
		_, err := b.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})
