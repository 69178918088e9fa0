package relayer_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/relayer"
	"primrosehook/reserver"
)

var _ = Describe("A client whose body is refused", func() {
	var w *fixture
	BeforeEach(func() {
		memory := reserver.New(2 << 20) // 1 MiB for large bodies
		w = startRelayerWith(newGuard(), []handler{digestAnswer}, relayer.WithMemory(memory))
		held, ok := memory.Acquire(reserver.Body, 1<<20)
		Expect(ok).To(BeTrue())
		DeferCleanup(held.Release)
	})

	// The load: a body of 1 MiB, of which 64 KiB are sent each 100 ms, and a client that reads only
	// then. Guards against a reset in place of the refusal, after half a second.
	It("finds the refusal after it has sent all of the body", func() {
		c, err := net.Dial("tcp", w.proxy.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
		Expect(err).NotTo(HaveOccurred())
		for range 16 {
			_, err = c.Write(make([]byte, 64<<10))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(100 * time.Millisecond)
		}
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(p.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// The load: a client that sends 1 KiB of such a body each 100 ms, and would for 100 s. Guards against
	// connections that refused clients keep.
	It("is disconnected if it sends slowly", func() {
		c, err := net.Dial("tcp", w.proxy.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: %d\r\n\r\n", 1<<20)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			_, err := c.Write(make([]byte, 1<<10))
			return err
		}, "20s", "100ms").Should(HaveOccurred())
	})
})
