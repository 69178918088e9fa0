package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
	"primrosehook/judge"
)

var _ = Describe("A request that is given up", func() {
	anyAnswer := func(http.Header, bool) bool { return true }
	get := connector.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	// startCounting returns a pool with an idle connection to an upstream that counts requests.
	startCounting := func() (*connector.Pool, *atomic.Int64) {
		requests := &atomic.Int64{}
		u := listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			if !readRequest(r) {
				return false
			}
			requests.Add(1)
			return writeAnswer(c, "q", "body")
		})
		p := connector.NewPool(u.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{})
		DeferCleanup(p.Close)
		a, err := p.Do(context.Background(), get, anyAnswer)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		a.Close(true)
		return p, requests
	}
	settle := func() { time.Sleep(100 * time.Millisecond) }

	// An idle connection is there at once, so the end of the context was noticed only after the
	// request had been written.
	It("is not sent once its context has ended", func() {
		p, requests := startCounting()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for range 200 {
			_, err := p.Do(ctx, get, anyAnswer)
			Expect(err).To(MatchError(connector.ErrGivenUp))
			Expect(judge.Of(err)).To(Equal(judge.NotRun))
		}
		settle()
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	It("is not sent if its context ends while it waits for a connection", func() {
		p, requests := startCounting()
		ctx, cancel := context.WithCancel(context.Background())
		q := get
		q.Proceed = func() error { cancel(); return nil }
		_, err := p.Do(ctx, q, anyAnswer)
		Expect(err).To(MatchError(connector.ErrGivenUp))
		settle()
		Expect(requests.Load()).To(BeEquivalentTo(1))
	})

	It("is not sent if it is not wanted right before it is written, and leaves its connection to others", func() {
		p, requests := startCounting()
		q := get
		var order []string
		q.Proceed = func() error { order = append(order, "proceed"); return nil }
		q.LateHeader = func() http.Header { order = append(order, "header"); return nil }
		q.Wanted = func() bool { order = append(order, "wanted"); return false }
		_, err := p.Do(context.Background(), q, anyAnswer)
		Expect(err).To(MatchError(connector.ErrGivenUp))
		Expect(order).To(Equal([]string{"proceed", "header", "wanted"}))
		settle()
		Expect(requests.Load()).To(BeEquivalentTo(1))
		_, err = p.Do(context.Background(), get, anyAnswer)
		Expect(err).NotTo(HaveOccurred())
	})

	// startStalled returns a pool to an upstream that accepts a connection, which it passes on,
	// and reads nothing.
	startStalled := func() (*connector.Pool, <-chan *net.TCPConn) {
		accepted := make(chan *net.TCPConn, 1)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err == nil {
				accepted <- c.(*net.TCPConn)
			}
		}()
		p := connector.NewPool(l.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{})
		DeferCleanup(p.Close)
		return p, accepted
	}
	large := connector.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 32<<20))}

	// The kernel goes on to send what was written before a plain close, whenever the path to
	// the upstream works again.
	It("takes back what has not reached the upstream", func() {
		p, accepted := startStalled()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := p.Do(ctx, large, anyAnswer)
			ended <- err
		}()
		var c *net.TCPConn
		Eventually(accepted).Should(Receive(&c))
		defer c.Close()
		settle()
		cancel()
		Eventually(ended).Should(Receive(HaveOccurred()))
		settle()
		got, err := io.Copy(io.Discard, c)
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v after %d bytes", err, got)
	})

	It("is written no further once it is not wanted", func() {
		p, accepted := startStalled()
		var asked atomic.Int64
		q := large
		q.Wanted = func() bool { return asked.Add(1) <= 2 }
		ended := make(chan error, 1)
		go func() {
			_, err := p.Do(context.Background(), q, anyAnswer)
			ended <- err
		}()
		var c *net.TCPConn
		Eventually(accepted).Should(Receive(&c))
		defer c.Close()
		got, _ := io.Copy(io.Discard, c)
		Expect(got).To(BeNumerically("<", 256<<10))
		Eventually(ended).Should(Receive(HaveOccurred()))
	})
})
