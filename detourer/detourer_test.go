package detourer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/connector"
	"primrosehook/detourer"
	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/messenger"
	"primrosehook/peeker"
	"primrosehook/resetter"
)

// links are an instance's links to servers: they work, refuse or hang.
type links struct {
	refuse, hang atomic.Bool
	// delay is how long a connection takes to open, in nanoseconds.
	delay atomic.Int64
	dials atomic.Int64
}

func (l *links) Dial(ctx context.Context, address string) (net.Conn, error) {
	l.dials.Add(1)
	time.Sleep(time.Duration(l.delay.Load()))
	switch {
	case l.refuse.Load():
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case l.hang.Load():
		select {
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
		return nil, errors.New("i/o timeout")
	}
	return connector.DirectDialer{}.Dial(ctx, address)
}

// instance is a detourer with its links and the server for its peers.
type instance struct {
	*detourer.Detourer
	links   *links
	counts  sync.Map
	address string
	kill    context.CancelFunc
}

// Add implements detourer.Meter.
func (i *instance) Add(name string, n int64) {
	c, _ := i.counts.LoadOrStore(name, &atomic.Int64{})
	c.(*atomic.Int64).Add(n)
}

func (i *instance) count(name string) int64 {
	c, ok := i.counts.Load(name)
	if !ok {
		return 0
	}
	return c.(*atomic.Int64).Load()
}

// newInstances starts instances that know each other.
func newInstances(count int, options ...detourer.Option) []*instance {
	var list []*instance
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		i := &instance{links: &links{}, address: l.Addr().String()}
		ctx, kill := context.WithCancel(context.Background())
		i.kill = kill
		DeferCleanup(kill)
		set := append([]detourer.Option{detourer.WithDirect(i.links), detourer.WithMeter(i)}, options...)
		i.Detourer = detourer.New(i.address, nil, func(string) bool { return true }, clockwork.NewRealClock(), zap.NewNop(), set...)
		s := messenger.NewServer(zap.NewNop())
		i.Serve(s)
		go func() { _ = s.Serve(ctx, l) }()
		go i.Run(ctx)
		list = append(list, i)
		addresses = append(addresses, i.address)
	}
	for _, i := range list {
		i.Update(addresses)
	}
	return list
}

// startServer starts a server that echoes lines. After "eof" it closes the connection, after
// "reset" it resets it.
func startServer() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					line, err := r.ReadString('\n')
					if err != nil || line == "eof\n" {
						return
					}
					if line == "reset\n" {
						_ = c.(*net.TCPConn).SetLinger(0)
						return
					}
					_, _ = io.WriteString(c, line)
				}
			}()
		}
	}()
	return l
}

// echo sends a line and returns what comes back.
func echo(c net.Conn, line string) (string, error) {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	return bufio.NewReader(c).ReadString('\n')
}

var _ = Describe("A detour", func() {
	ctx := context.Background()

	DescribeTable("leads to a server that the instance can't reach, and ends when it can",
		func(breakLinks func(l *links, broken bool)) {
			s, list := startServer(), newInstances(4)
			breakLinks(list[0].links, true)
			c, err := list[0].Dial(ctx, s.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			Expect(echo(c, "hello")).To(Equal("hello\n"))
			Expect(list[0].BrokenPaths()).To(Equal(1))
			Expect(c.(interface{ Quiet() bool }).Quiet()).To(BeTrue())
			breakLinks(list[0].links, false)
			Eventually(list[0].BrokenPaths, "4s").Should(BeZero())
			Expect(c.(interface{ Quiet() bool }).Quiet()).To(BeFalse())
		},
		Entry("refused", func(l *links, broken bool) { l.refuse.Store(broken) }),
		Entry("hanging", func(l *links, broken bool) { l.hang.Store(broken) }),
	)

	// Guards against taking the loss of the peer for the end of the server's answer, or the
	// server's reset for one.
	It("ends as the server's connection does, and not as that of a lost peer", func() {
		s, list := startServer(), newInstances(2)
		list[0].links.refuse.Store(true)
		open := func() net.Conn {
			c, err := list[0].Dial(ctx, s.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			Expect(echo(c, "hello")).To(Equal("hello\n"))
			return c
		}
		read := func(line string) error {
			c := open()
			_, err := io.WriteString(c, line+"\n")
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Read(make([]byte, 10))
			return err
		}
		Expect(read("eof")).To(MatchError(io.EOF))
		Expect(read("reset")).To(MatchError(syscall.ECONNRESET))
		c := open()
		list[1].kill()
		_, err := c.Read(make([]byte, 10))
		Expect(err).To(MatchError(messenger.ErrStreamBroken))
		Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		Expect(connector.ClosedByPeer(err)).To(BeFalse())
	})

	// Guards against servers at work for clients that have left.
	It("is closed at the server when the instance closes it", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		list := newInstances(2)
		list[0].links.refuse.Store(true)
		c, err := list[0].Dial(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		at, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		Expect(c.Close()).To(Succeed())
		Expect(at.SetReadDeadline(time.Now().Add(200 * time.Millisecond))).To(Succeed())
		_, err = at.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against requests that lie at the peer, whose process or path is slow, and reach the
	// server after the instance has given them up.
	DescribeTable("passes on no bytes once the instance has closed it", func(leave func(c *net.TCPConn)) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		peer := newInstances(1)[0]
		peer.links.delay.Store(int64(100 * time.Millisecond))
		c, err := net.Dial("tcp", peer.address)
		Expect(err).NotTo(HaveOccurred())
		for _, m := range []struct {
			kind string
			body any
		}{{"detour", map[string]string{"a": l.Addr().String()}}, {"data", []byte("GET / HTTP/1.1\r\n\r\n")}} {
			body, err := msgpack.Marshal(m.body)
			Expect(err).NotTo(HaveOccurred())
			Expect(framer.Write(c, framer.Message{ID: 1, Kind: m.kind, Body: body})).To(Succeed())
		}
		leave(c.(*net.TCPConn))
		at, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		Expect(at.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		got, err := io.ReadAll(at)
		Expect(got).To(BeEmpty())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	},
		Entry("with a close", func(c *net.TCPConn) { _ = c.Close() }),
		Entry("with a reset", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }),
	)

	// Guards against requests that the peer has written and the server has not got, which the
	// peer's kernel would deliver once the path works again.
	It("takes back at the peer what the server has not got of a request", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		list := newInstances(2)
		list[0].links.refuse.Store(true)
		c, err := list[0].Dial(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		at, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Expect(resetter.Reset(c)).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		_, err = io.ReadAll(at)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	// Guards against a process that hangs: whoever answers whether a server is known may wait
	// for a goroutine that closes a connection.
	It("can be closed while it is asked whether its server is known", func() {
		s, list := startServer(), newInstances(2)
		var open atomic.Pointer[net.Conn]
		closed := make(chan bool, 1)
		known := func(string) bool {
			c := open.Swap(nil)
			if c == nil {
				return true
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = (*c).Close()
			}()
			select {
			case <-done:
				closed <- true
			case <-time.After(2 * time.Second):
				closed <- false
			}
			return true
		}
		asks := detourer.New("127.0.0.1:1", []string{list[1].address}, known, clockwork.NewRealClock(), zap.NewNop(), detourer.WithDirect(list[0].links))
		list[0].links.refuse.Store(true)
		c, err := asks.Dial(ctx, s.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		open.Store(&c)
		running, stop := context.WithCancel(ctx)
		defer stop()
		go asks.Run(running)
		Eventually(closed, "4s").Should(Receive(BeTrue()))
	})

	// Guards against a peer that does not see the close since it waits for a server that does not
	// read a long body.
	It("ends at a server that does not read once the instance has closed it", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		list := newInstances(2)
		list[0].links.refuse.Store(true)
		c, err := list[0].Dial(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		at, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer at.Close()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = c.Write(make([]byte, 64<<20))
		}()
		Consistently(ended, "300ms").ShouldNot(BeClosed())
		Expect(resetter.Reset(c)).To(Succeed())
		Eventually(func() bool { return peeker.Closed(at) }).Should(BeTrue())
	})

	// Guards against answers that look whole although their server stopped in their head.
	DescribeTable("carries no answer whose head broke off as a whole one", func(framing string, reset bool) {
		const body = "0123456789"
		head := "HTTP/1.1 200 OK\r\nId: q\r\n" + framing + "\r\n"
		whole := head + body
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		var length atomic.Int64
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, whole[:length.Load()])
					if reset {
						// The bytes must arrive before the reset.
						time.Sleep(5 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				}()
			}
		}()
		list := newInstances(2)
		list[0].links.refuse.Store(true)
		p := connector.NewPool(l.Addr().String(), clockwork.NewRealClock(), &connector.DialCounter{}, connector.WithDialer(list[0]))
		defer p.Close()
		get := connector.Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
		for n := range len(head) {
			length.Store(int64(n))
			_, err := p.Do(ctx, get, func(http.Header, bool) bool { return true })
			Expect(err).To(HaveOccurred(), "%q", whole[:n])
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun), "%q", whole[:n])
		}
	},
		Entry("closed", "Content-Length: 10\r\n", false),
		Entry("reset", "Content-Length: 10\r\n", true),
		Entry("closed, a body in chunks", "Transfer-Encoding: chunked\r\n", false),
		Entry("closed, a body that ends with the connection", "Connection: close\r\n", false),
	)

	// Guards against circles, and against taking a partition of all instances for crashes of
	// all servers.
	It("is opened by no peer that can't reach the server itself", func() {
		s, list := startServer(), newInstances(4)
		for _, i := range list {
			i.links.hang.Store(true)
		}
		_, err := list[0].Dial(ctx, s.Addr().String())
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, syscall.ECONNREFUSED)).To(BeFalse())
		for _, i := range list {
			Expect(i.count(detourer.MetricServed)).To(BeZero())
			Expect(i.links.dials.Load()).To(BeNumerically("<=", 2))
		}
	})

	// Guards against asking peers again and again for servers that are down.
	It("is not opened to a server that is down, which counts as refusing connections", func() {
		s, list := startServer(), newInstances(8)
		Expect(s.Close()).To(Succeed())
		for range 20 {
			_, err := list[0].Dial(ctx, s.Addr().String())
			Expect(err).To(MatchError(syscall.ECONNREFUSED))
		}
		total := int64(0)
		for _, i := range list {
			total += i.links.dials.Load()
		}
		Expect(total).To(BeNumerically("<=", 1+7))
		Expect(list[0].BrokenPaths()).To(BeZero())
	})

	// Guards against missing the crash of a server that was reached through peers, which they
	// find to refuse connections as well.
	It("does not hide that a server which was reached through peers refuses connections now", func() {
		s, list := startServer(), newInstances(4)
		list[0].links.refuse.Store(true)
		c, err := list[0].Dial(ctx, s.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(list[0].BrokenPaths()).To(Equal(1))
		Expect(s.Close()).To(Succeed())
		_, err = list[0].Dial(ctx, s.Addr().String())
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	// Guards against detours for a server that is silent for a second, through peers for which
	// it is silent as well.
	It("is not opened while the server takes no connections for a second from anyone", func() {
		s, list := startServer(), newInstances(3)
		for _, i := range list {
			i.links.hang.Store(true)
		}
		time.AfterFunc(400*time.Millisecond, func() {
			for _, i := range list {
				i.links.hang.Store(false)
			}
		})
		var c net.Conn
		Eventually(func() error {
			var err error
			c, err = list[0].Dial(ctx, s.Addr().String())
			return err
		}, "5s").Should(Succeed())
		Expect(echo(c, "hello")).To(Equal("hello\n"))
		Expect(c.Close()).To(Succeed())
	})

	It("is spread evenly over the peers that can reach the server, within the limit of each", func() {
		s, list := startServer(), newInstances(6, detourer.WithMaxServed(10))
		for _, i := range list[:3] {
			i.links.refuse.Store(true)
		}
		var mu sync.Mutex
		var open []net.Conn
		var work sync.WaitGroup
		for n := range 24 {
			work.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				c, err := list[n%3].Dial(ctx, s.Addr().String())
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				open = append(open, c)
			})
		}
		work.Wait()
		Expect(len(open)).To(BeNumerically(">=", 22))
		for _, i := range list[:3] {
			Expect(i.count(detourer.MetricServed)).To(BeZero())
		}
		for _, i := range list[3:] {
			Expect(i.count(detourer.MetricServed)).To(BeNumerically("~", 8, 5))
		}
		for _, c := range open {
			Expect(c.Close()).To(Succeed())
		}
	})

	// Guards against requests on detours of a peer that ends soon, and against ending under
	// those that are at work.
	It("is used no further once its peer leaves, which waits for the work on it", func() {
		s, list := startServer(), newInstances(3)
		list[0].links.refuse.Store(true)
		list[1].Leave(ctx)
		for range 4 {
			c, err := list[0].Dial(ctx, s.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(echo(c, "hello")).To(Equal("hello\n"))
			defer c.Close()
		}
		Expect(list[1].count(detourer.MetricServed)).To(BeZero())
		c, err := list[0].Dial(ctx, s.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(c, "half a line")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		left := make(chan struct{})
		go func() {
			defer close(left)
			leaving, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			list[2].Leave(leaving)
		}()
		Consistently(left, "300ms").ShouldNot(BeClosed())
		Expect(echo(c, "")).To(Equal("half a line\n"))
		Expect(c.(interface{ Quiet() bool }).Quiet()).To(BeFalse())
		Expect(c.Close()).To(Succeed())
		Eventually(left, "4s").Should(BeClosed())
	})
})
