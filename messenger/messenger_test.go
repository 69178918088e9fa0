package messenger_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/launcher"
	"primrosehook/messenger"
	"primrosehook/reserver"
)

// peer is a server with the message kinds that the tests use.
type peer struct {
	server  *messenger.Server
	addr    string
	ran     atomic.Int64
	release chan struct{}
	traced  chan string
	mu      sync.Mutex
	// texts counts how often "echo" ran with each text.
	texts map[string]int
}

func startPeer(set ...messenger.Option) *peer {
	p := &peer{
		server:  messenger.NewServer(zap.NewNop(), set...),
		release: make(chan struct{}),
		traced:  make(chan string, 1),
		texts:   map[string]int{},
	}
	p.server.Handle("echo", p.echo)
	p.server.Handle("wait", p.wait)
	p.server.Handle("trace", p.trace)
	p.server.Handle("refuse", p.refuse)
	p.server.Handle("large", p.large)
	p.server.Handle("short", p.echo, messenger.WithMaxBody(64))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go p.runServe(ctx, l)
	return p
}

func (p *peer) runServe(ctx context.Context, l net.Listener) { _ = p.server.Serve(ctx, l) }

func (p *peer) echo(_ context.Context, body msgpack.RawMessage) (any, error) {
	p.ran.Add(1)
	var text string
	err := msgpack.Unmarshal(body, &text)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.texts[text]++
	return text, err
}

func (p *peer) wait(ctx context.Context, body msgpack.RawMessage) (any, error) {
	p.ran.Add(1)
	select {
	case <-p.release:
	case <-ctx.Done():
	}
	var text string
	err := msgpack.Unmarshal(body, &text)
	return text, err
}

func (p *peer) trace(ctx context.Context, _ msgpack.RawMessage) (any, error) {
	p.traced <- trace.SpanContextFromContext(ctx).TraceID().String()
	return nil, nil
}

func (p *peer) refuse(context.Context, msgpack.RawMessage) (any, error) {
	return nil, judge.Unavailable("full", "no room", 3*time.Second)
}

func (p *peer) large(context.Context, msgpack.RawMessage) (any, error) {
	return make([]byte, framer.MaxFrame), nil
}

func startFaultProxy(p *peer) *launcher.FaultProxy {
	c, err := launcher.NewFaultProxy(p.addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// pendingCall is one call in flight.
type pendingCall struct {
	client *messenger.Client
	done   chan error
	text   string
}

func (c *pendingCall) run(ctx context.Context, addr, kind, text string) {
	c.done <- c.client.Call(ctx, addr, kind, text, &c.text)
}

func startCall(ctx context.Context, client *messenger.Client, addr, kind, text string) *pendingCall {
	c := &pendingCall{client: client, done: make(chan error, 1)}
	go c.run(ctx, addr, kind, text)
	return c
}

func newClient(set ...messenger.Option) *messenger.Client {
	c := messenger.NewClient(clockwork.NewRealClock(), set...)
	DeferCleanup(c.Close)
	return c
}

// dialRaw opens a TCP connection without a client.
func dialRaw(addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close() })
	return c
}

// closedByPeer returns a function that reports whether the other side has
// closed a connection.
func closedByPeer(c net.Conn) func() bool {
	return func() bool {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := io.Copy(io.Discard, c)
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

var _ = Describe("Call", func() {
	It("carries concurrent calls on one connection and matches each with its reply", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		first := startCall(ctx, client, p.addr, "wait", "first")
		Eventually(p.ran.Load, "10s").Should(BeEquivalentTo(1))
		for i := range 50 {
			var got string
			want := fmt.Sprint("text ", i)
			Expect(client.Call(ctx, p.addr, "echo", want, &got)).To(Succeed())
			Expect(got).To(Equal(want))
		}
		close(p.release)
		Eventually(first.done, "10s").Should(Receive(BeNil()))
		Expect(first.text).To(Equal("first"))
		Expect(client.Stats().Conns).To(BeEquivalentTo(1))
	})

	It("returns refusals, and unknown kinds as not run", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		r := judge.As(client.Call(ctx, p.addr, "refuse", "x", nil))
		Expect(r.Verdict).To(Equal(judge.NotRun))
		Expect(r.Code).To(Equal("full"))
		Expect(r.RetryAfter).To(Equal(3 * time.Second))
		r = judge.As(client.Call(ctx, p.addr, "nothing", "x", nil))
		Expect(r.Verdict).To(Equal(judge.NotRun))
		Expect(r.Code).To(Equal("kind"))
	})

	It("reports not run when the dial is refused", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		Expect(judge.Of(newClient().Call(ctx, l.Addr().String(), "echo", "x", nil))).To(Equal(judge.NotRun))
	})

	It("reports may have run when the connection is closed before the reply", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		c := startCall(ctx, client, p.addr, "wait", "x")
		Eventually(p.ran.Load, "10s").Should(BeEquivalentTo(1))
		client.Close()
		var err error
		Eventually(c.done, "10s").Should(Receive(&err))
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})

	It("drops a reply that arrives after the timeout", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		limit, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
		defer cancel()
		var late string
		Expect(judge.Of(client.Call(limit, p.addr, "wait", "late", &late))).To(Equal(judge.MayHaveRun))
		close(p.release)
		for range 20 {
			var got string
			Expect(client.Call(ctx, p.addr, "echo", "fresh", &got)).To(Succeed())
			Expect(got).To(Equal("fresh"))
		}
		Expect(late).To(BeEmpty())
		Expect(client.Stats().Conns).To(BeEquivalentTo(1), "the connection stays in use")
	})

	// A call on a connection that the peer closes at the same time may fail. If
	// it is reported as not run, it must not have run, and no call may run
	// twice.
	It("reports the right verdict when the peer closes the connection", func(ctx context.Context) {
		p := startPeer()
		proxy := startFaultProxy(p)
		client := newClient()
		verdicts := map[string]judge.Verdict{}
		for i := range 200 {
			text := fmt.Sprint(i)
			c := startCall(ctx, client, proxy.Addr(), "echo", text)
			proxy.SetFault(launcher.NetworkFault{Cut: true})
			proxy.SetFault(launcher.NetworkFault{})
			var err error
			Eventually(c.done, "10s").Should(Receive(&err))
			verdicts[text] = judge.Ran
			if err != nil {
				verdicts[text] = judge.Of(err)
			}
		}
		Expect(client.Call(ctx, p.addr, "echo", "last", nil)).To(Succeed())
		Eventually(func() int64 { return p.server.Stats().Conns }, "10s").Should(BeNumerically("<=", 2))
		p.mu.Lock()
		defer p.mu.Unlock()
		for text, v := range verdicts {
			switch v {
			case judge.NotRun:
				Expect(p.texts[text]).To(Equal(0), text)
			case judge.Ran:
				Expect(p.texts[text]).To(Equal(1), text)
			default:
				Expect(p.texts[text]).To(BeNumerically("<=", 1), text)
			}
		}
	})

	It("reports may have run when the network holds back the reply", func(ctx context.Context) {
		p := startPeer()
		proxy := startFaultProxy(p)
		client := newClient(messenger.WithMaxSilence(10 * time.Millisecond))
		Expect(client.Call(ctx, proxy.Addr(), "echo", "before", nil)).To(Succeed())
		proxy.SetFault(launcher.NetworkFault{StallDownstream: true})
		limit, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(judge.Of(client.Call(limit, proxy.Addr(), "echo", "held", nil))).To(Equal(judge.MayHaveRun))
		Expect(p.ran.Load()).To(BeEquivalentTo(2))
		proxy.SetFault(launcher.NetworkFault{})
		var got string
		Expect(client.Call(ctx, proxy.Addr(), "echo", "after", &got)).To(Succeed())
		Expect(got).To(Equal("after"))
	})

	It("passes the trace context to the handler", func(ctx context.Context) {
		p := startPeer()
		id := trace.TraceID{1, 2, 3}
		span := trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: trace.SpanID{1}})
		Expect(newClient().Call(trace.ContextWithSpanContext(ctx, span), p.addr, "trace", "x", nil)).To(Succeed())
		Expect(<-p.traced).To(Equal(id.String()))
	})

	It("refuses a message over the frame limit as not run", func(ctx context.Context) {
		p := startPeer()
		err := newClient().Call(ctx, p.addr, "echo", make([]byte, framer.MaxFrame), nil)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(p.ran.Load()).To(BeZero())
	})

	It("refuses a message over the size limit of its kind as not run", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		err := client.Call(ctx, p.addr, "short", strings.Repeat("x", 64), nil)
		Expect(judge.As(err)).To(And(HaveField("Verdict", judge.NotRun), HaveField("Code", "size")))
		Expect(p.ran.Load()).To(BeZero())
		Expect(client.Call(ctx, p.addr, "short", strings.Repeat("x", 32), nil)).To(Succeed())
	})

	It("reports ran when the reply is over the frame limit", func(ctx context.Context) {
		p := startPeer()
		Expect(judge.Of(newClient().Call(ctx, p.addr, "large", "x", nil))).To(Equal(judge.Ran))
	})

	It("counts messages and bytes", func(ctx context.Context) {
		p := startPeer()
		client := newClient()
		for range 3 {
			Expect(client.Call(ctx, p.addr, "echo", "text", nil)).To(Succeed())
		}
		// Each side counts a write slightly after the other side may have read it.
		Eventually(func(g Gomega) {
			mine, theirs := client.Stats(), p.server.Stats()
			g.Expect(mine.MessagesSent).To(BeEquivalentTo(3))
			g.Expect(mine.MessagesReceived).To(BeEquivalentTo(3))
			g.Expect(mine.BytesSent).To(Equal(theirs.BytesReceived))
			g.Expect(mine.BytesReceived).To(Equal(theirs.BytesSent))
			g.Expect(mine.Add(theirs).Conns).To(BeEquivalentTo(2))
		}, "10s").Should(Succeed())
	})
})

var _ = Describe("Client with a faulty peer", func() {
	// startDeaf listens for connections and never reads from them.
	startDeaf := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		return l.Addr().String()
	}

	It("limits the bytes queued for a peer that does not read, and serves other peers", func(ctx context.Context) {
		client := newClient(messenger.WithMaxQueuedBytes(1 << 20))
		bad := startDeaf()
		limit, cancel := context.WithCancel(ctx)
		defer cancel()
		big := string(make([]byte, 8<<20))
		stuck := startCall(limit, client, bad, "echo", big)
		// Wait until the write of the large message has begun; it fills the
		// connection's buffers.
		Eventually(func() int64 { return client.Stats().BytesSent + client.Stats().Conns }, "10s").Should(BeNumerically(">", 0))
		var err error
		Eventually(func() string {
			short, done := context.WithTimeout(ctx, 5*time.Millisecond)
			defer done()
			err = client.Call(short, bad, "echo", big, nil)
			return judge.As(err).Reason
		}, "10s").Should(ContainSubstring("not written"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		good := startPeer()
		Expect(client.Call(ctx, good.addr, "echo", "x", nil)).To(Succeed())
		cancel()
		Eventually(stuck.done, "10s").Should(Receive(&err))
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})

	It("reports not run for a message still queued behind another", func(ctx context.Context) {
		client := newClient()
		bad := startDeaf()
		limit, cancel := context.WithCancel(ctx)
		defer cancel()
		startCall(limit, client, bad, "echo", string(make([]byte, 8<<20)))
		Eventually(func() judge.Verdict {
			short, done := context.WithTimeout(ctx, 20*time.Millisecond)
			defer done()
			return judge.Of(client.Call(short, bad, "echo", "behind", nil))
		}, "10s").Should(Equal(judge.NotRun))
	})

	It("closes the connection when a write times out", func(ctx context.Context) {
		clock := clockwork.NewFakeClock()
		client := messenger.NewClient(clock)
		DeferCleanup(client.Close)
		c := startCall(ctx, client, startDeaf(), "echo", string(make([]byte, 8<<20)))
		Eventually(func() int { clock.Advance(6 * time.Second); return len(c.done) }, "10s").Should(Equal(1))
		Expect(judge.Of(<-c.done)).To(BeElementOf(judge.NotRun, judge.MayHaveRun))
	})

	It("closes a connection on which no call is answered any more", func(ctx context.Context) {
		client := newClient(messenger.WithMaxSilence(20 * time.Millisecond))
		bad := startDeaf()
		for range 2 {
			limit, cancel := context.WithTimeout(ctx, 40*time.Millisecond)
			Expect(judge.Of(client.Call(limit, bad, "echo", "x", nil))).To(Equal(judge.MayHaveRun))
			cancel()
			Eventually(func() int64 { return client.Stats().Conns }, "10s").Should(BeZero())
		}
	})

	It("closes an idle connection before the server does", func(ctx context.Context) {
		clock := clockwork.NewFakeClock()
		client := messenger.NewClient(clock)
		DeferCleanup(client.Close)
		p := startPeer()
		Expect(client.Call(ctx, p.addr, "echo", "x", nil)).To(Succeed())
		Expect(client.Stats().Conns).To(BeEquivalentTo(1))
		clock.Advance(2 * time.Minute)
		Eventually(func() int64 { return client.Stats().Conns }, "10s").Should(BeZero())
		Expect(client.Call(ctx, p.addr, "echo", "x", nil)).To(Succeed())
	})
})

var _ = Describe("Server with a faulty peer", func() {
	works := func(p *peer) {
		GinkgoHelper()
		Expect(newClient().Call(context.Background(), p.addr, "echo", "x", nil)).To(Succeed())
	}

	DescribeTable("closes a connection that sends", func(data []byte) {
		p := startPeer()
		c := dialRaw(p.addr)
		_, err := c.Write(data)
		Expect(err).NotTo(HaveOccurred())
		Eventually(closedByPeer(c), "10s").Should(BeTrue())
		works(p)
	},
		Entry("a huge length", binary.BigEndian.AppendUint32(nil, framer.MaxFrame+1)),
		Entry("a negative length", binary.BigEndian.AppendUint32(nil, 1<<31)),
		Entry("a zero length", binary.BigEndian.AppendUint32(nil, 0)),
		Entry("a body that is not msgpack", append(binary.BigEndian.AppendUint32(nil, 1), 0xc1)),
	)

	It("replies to an unknown version and closes the connection", func() {
		p := startPeer()
		c := dialRaw(p.addr)
		body, err := msgpack.Marshal(framer.Message{Version: 99, ID: 5, Kind: "echo", Body: msgpack.RawMessage{0x80}})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
		Expect(err).NotTo(HaveOccurred())
		m, err := framer.Read(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.ID).To(BeEquivalentTo(5))
		Expect(string(m.Body)).To(ContainSubstring("version"))
		Eventually(closedByPeer(c), "10s").Should(BeTrue())
		Expect(p.ran.Load()).To(BeZero())
		works(p)
	})

	It("closes a connection that sends no complete message in time", func() {
		clock := clockwork.NewFakeClock()
		p := startPeer(messenger.WithClock(clock))
		c := dialRaw(p.addr)
		_, err := c.Write([]byte{0, 0, 1})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() bool { clock.Advance(time.Minute); return closedByPeer(c)() }, "10s").Should(BeTrue())
		works(p)
	})

	It("refuses a message over the concurrency limit as not run", func(ctx context.Context) {
		p := startPeer(messenger.WithMaxConcurrent(1))
		client := newClient()
		c := startCall(ctx, client, p.addr, "wait", "x")
		Eventually(p.ran.Load, "10s").Should(BeEquivalentTo(1))
		err := client.Call(ctx, p.addr, "echo", "x", nil)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(judge.As(err).Code).To(Equal("busy"))
		Expect(p.ran.Load()).To(BeEquivalentTo(1))
		works(p)
		close(p.release)
		Eventually(c.done, "10s").Should(Receive(BeNil()))
	})

	It("closes the connection of a peer that does not read its replies, and serves other peers", func() {
		p := startPeer(messenger.WithMaxQueuedBytes(1 << 20))
		c := dialRaw(p.addr)
		body, err := msgpack.Marshal(string(make([]byte, 512<<10)))
		Expect(err).NotTo(HaveOccurred())
		frame, err := framer.Encode(framer.Message{ID: 1, Kind: "echo", Body: body})
		Expect(err).NotTo(HaveOccurred())
		_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
		for range 200 {
			if _, err = c.Write(frame); err != nil {
				break
			}
		}
		Expect(err).To(HaveOccurred(), "the server closes the connection")
		works(p)
	})

	It("closes connections over its limit", func() {
		p := startPeer(messenger.WithMaxConns(1))
		first := dialRaw(p.addr)
		Eventually(func() int64 { return p.server.Stats().Conns }, "10s").Should(BeEquivalentTo(1))
		Eventually(closedByPeer(dialRaw(p.addr)), "10s").Should(BeTrue())
		Expect(first.Close()).To(Succeed())
		Eventually(func() int64 { return p.server.Stats().Conns }, "10s").Should(BeZero())
		works(p)
	})

	// Guards against messages that stop short and hold the memory of others, or of the process.
	It("closes a connection whose message stops short once there is no memory", func() {
		memory := reserver.New(20*1024*1024/10, reserver.WithStallTime(50*time.Millisecond)) // 200 KiB for messages
		p := startPeer(messenger.WithMemory(memory))
		short := dialRaw(p.addr)
		head := binary.BigEndian.AppendUint32(nil, 1<<20)
		_, err := short.Write(append(head, make([]byte, 190<<10)...))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return memory.Held(reserver.Message) }, "10s").Should(BeNumerically(">", 180<<10))
		time.Sleep(100 * time.Millisecond)
		_, _ = dialRaw(p.addr).Write(append(head, make([]byte, 64<<10)...)) // may be cut off
		Eventually(closedByPeer(short), "10s").Should(BeTrue())
		Eventually(func() int64 { return memory.Held(reserver.Message) }, "10s").Should(BeNumerically("<=", 128<<10))
		works(p)
	})

	// Guards against connections that send nothing and keep peers away.
	It("closes a connection that has sent nothing in favor of a peer", func() {
		p := startPeer(messenger.WithMaxConns(1))
		silent := dialRaw(p.addr)
		time.Sleep(1100 * time.Millisecond)
		works(p)
		Eventually(closedByPeer(silent), "10s").Should(BeTrue())
	})
})
