package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"primrosehook/connector"
	"primrosehook/judge"
)

// upstream calls script for the nth request of each connection, until it returns
// false.
type upstream struct {
	net.Listener
	script func(n int, c net.Conn, r *bufio.Reader) bool
}

func listen(script func(n int, c net.Conn, r *bufio.Reader) bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &upstream{Listener: l, script: script}
	go u.runAccept()
	DeferCleanup(func() { _ = l.Close() })
	return u
}

func (u *upstream) runAccept() {
	for {
		c, err := u.Accept()
		if err != nil {
			return
		}
		go u.runConnection(c)
	}
}

func (u *upstream) runConnection(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; u.script(n, c, r); n++ {
	}
}

func readRequest(r *bufio.Reader) bool {
	q, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, q.Body)
	return err == nil
}

func writeAnswer(c net.Conn, id, body string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: "+itoa(len(body))+"\r\n\r\n"+body)
	return err == nil
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

var _ = Describe("Pool", func() {
	var dials *connector.DialCounter
	BeforeEach(func() { dials = &connector.DialCounter{} })
	pool := func(u *upstream) *connector.Pool {
		p := connector.NewPool(u.Addr().String(), clockwork.NewRealClock(), dials)
		DeferCleanup(p.Close)
		return p
	}
	own := func(h http.Header, _ bool) bool { return h.Get("Id") == "q" }
	get := connector.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	fetch := func(p *connector.Pool, q connector.Request) (string, error) {
		a, err := p.Do(context.Background(), q, own)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(a.Body)
		a.Close(err == nil)
		return string(body), err
	}

	It("reuses a connection after a complete answer", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool { return readRequest(r) && writeAnswer(c, "q", "body") }))
		for range 3 {
			Expect(fetch(p, get)).To(Equal("body"))
		}
		Expect(dials.Count()).To(BeEquivalentTo(1))
	})

	It("does not reuse a connection on which bytes follow the answer", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			if !readRequest(r) {
				return false
			}
			both := "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 4\r\n\r\nbody"
			_, err := io.WriteString(c, both+both)
			return err == nil
		}))
		for range 3 {
			Expect(fetch(p, get)).To(Equal("body"))
		}
		Expect(dials.Count()).To(BeEquivalentTo(3))
	})

	It("skips a late answer to another request", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			return readRequest(r) && writeAnswer(c, "other", "wrong") && writeAnswer(c, "q", "body")
		}))
		Expect(fetch(p, get)).To(Equal("body"))
	})

	It("does not reuse a connection that the upstream closed while it was idle", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			return readRequest(r) && writeAnswer(c, "q", "body") && false
		}))
		Expect(fetch(p, get)).To(Equal("body"))
		time.Sleep(100 * time.Millisecond)
		Expect(fetch(p, get)).To(Equal("body"))
		Expect(dials.Count()).To(BeEquivalentTo(2))
	})

	It("reports that a request did not run when the upstream refuses the connection", func() {
		u := listen(func(int, net.Conn, *bufio.Reader) bool { return false })
		p := pool(u)
		Expect(u.Close()).To(Succeed())
		_, err := fetch(p, get)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})

	It("sends a request once and reports that it may have run when the connection breaks", func() {
		var sent atomic.Int64
		p := pool(listen(func(_ int, _ net.Conn, r *bufio.Reader) bool { sent.Add(1); readRequest(r); return false }))
		_, err := fetch(p, get)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		Expect(sent.Load()).To(BeEquivalentTo(1))
	})

	It("does not reuse a connection whose request was answered before its large body was written", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			if _, err := http.ReadRequest(r); err != nil {
				return false
			}
			writeAnswer(c, "q", "early")
			time.Sleep(50 * time.Millisecond)
			return false
		}))
		post := connector.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 16<<20))}
		Expect(fetch(p, post)).To(Equal("early"))
		_, _ = fetch(p, get)
		Expect(dials.Count()).To(BeEquivalentTo(2))
	})

	// A failed write of the body closed the connection before the answer was read.
	It("reads an answer whose upstream closed with the large body unread", func() {
		closed := make(chan struct{})
		signal := sync.OnceFunc(func() { close(closed) })
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			if _, err := http.ReadRequest(r); err != nil {
				return false
			}
			writeAnswer(c, "q", strings.Repeat("y", 8<<10))
			_ = c.Close()
			signal()
			return false
		}))
		post := connector.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 16<<20))}
		a, err := p.Do(context.Background(), post, func(h http.Header, reused bool) bool {
			<-closed
			time.Sleep(50 * time.Millisecond) // until the write has failed
			return own(h, reused)
		})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(a.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(8 << 10))
		a.Close(true)
		_, _ = fetch(p, get)
		Expect(dials.Count()).To(BeEquivalentTo(2))
	})

	It("closes the connection when the context ends", func() {
		gone := make(chan struct{})
		p := pool(listen(func(_ int, _ net.Conn, r *bufio.Reader) bool {
			readRequest(r)
			_, _ = r.ReadByte()
			close(gone)
			return false
		}))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { time.Sleep(20 * time.Millisecond); cancel() }()
		_, err := p.Do(ctx, get, own)
		Expect(err).To(HaveOccurred())
		Eventually(gone).Should(BeClosed())
	})

	It("reports an answer that ends early as broken", func() {
		p := pool(listen(func(_ int, c net.Conn, r *bufio.Reader) bool {
			readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 50\r\n\r\nhalf")
			return false
		}))
		_, err := fetch(p, get)
		Expect(connector.ClosedByPeer(err)).To(BeTrue())
	})
})

var _ = Describe("A connection to a server", func() {
	// Guards against closing connections to a sound server that is silent for a second or so:
	// TCP_USER_TIMEOUT, and not the number of probes, decides when keep-alive gives up.
	It("leaves a silent server time, and is closed before a partition counts", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		c, err := connector.DirectDialer{}.Dial(context.Background(), l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		raw, err := c.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		var userTimeout, idle int
		Expect(raw.Control(func(fd uintptr) {
			userTimeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		})).To(Succeed())
		Expect(userTimeout-1000*idle).To(BeNumerically(">=", 1500), "ms for the answer to a probe")
		Expect(userTimeout).To(BeNumerically("<", 3000), "ms")
	})
})

// slowDialer takes a time to open connections.
type slowDialer struct{ delay time.Duration }

func (d slowDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	time.Sleep(d.delay)
	return connector.DirectDialer{}.Dial(ctx, address)
}

var _ = Describe("A late header", func() {
	// Guards against telling servers of time that has passed while a connection was opened.
	It("is asked for when there is a connection", func() {
		heads := make(chan http.Header, 1)
		s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { heads <- q.Header })}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = s.Serve(l) }()
		defer s.Close()
		begin := time.Now()
		p := connector.NewPool(l.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{}, connector.WithDialer(slowDialer{300 * time.Millisecond}))
		a, err := p.Do(context.Background(), connector.Request{
			Method: "GET", Target: "/", Host: "h", Header: http.Header{"A": {"1"}},
			LateHeader: func() http.Header { return http.Header{"Passed": {time.Since(begin).String()}} },
		}, func(http.Header, bool) bool { return true })
		Expect(err).NotTo(HaveOccurred())
		a.Close(false)
		h := <-heads
		Expect(h.Get("A")).To(Equal("1"))
		passed, err := time.ParseDuration(h.Get("Passed"))
		Expect(err).NotTo(HaveOccurred())
		Expect(passed).To(BeNumerically(">=", 300*time.Millisecond))
	})
})
