package relayer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/pacer"
	"primrosehook/registrar"
	"primrosehook/relayer"
	"primrosehook/sequencer"
	"primrosehook/sparer"
)

// connectClient opens a connection and sends a request on it.
func connectClient(address, method, path, body string) *net.TCPConn {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nModel: m\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// loadModel registers the servers with the model that clients ask for.
func (w *fixture) loadModel() {
	for i := range w.servers {
		w.servers[i].Loaded = []registrar.LoadedModel{{Model: "m", Version: 1}}
	}
	w.fleet.Update(w.servers)
}

// endedWait grants everything, but from the second request on only once the request's context
// has ended.
type endedWait struct {
	requests atomic.Int64
	reached  chan struct{}
}

func newEndedWait() *endedWait { return &endedWait{reached: make(chan struct{})} }

func (e *endedWait) await(ctx context.Context) {
	switch e.requests.Add(1) {
	case 1:
		return
	case 2:
		close(e.reached)
	}
	select {
	case <-ctx.Done():
	case <-time.After(3 * time.Second):
	}
}

func (e *endedWait) Reserve(ctx context.Context, _ string, _ int, _ time.Duration, _ balancer.EngineLoad) (pacer.Reservation, error) {
	e.await(ctx)
	return pacer.Reservation{Reserved: true}, nil
}

func (*endedWait) Release(string, pacer.Reservation) {}

// waitingPacer reserves slots that are far ahead, and records those that are given back.
type waitingPacer struct {
	asked    chan struct{}
	released chan pacer.Reservation
}

func (p *waitingPacer) Reserve(context.Context, string, int, time.Duration, balancer.EngineLoad) (pacer.Reservation, error) {
	p.asked <- struct{}{}
	return pacer.Reservation{Reserved: true, Wait: time.Minute}, nil
}
func (p *waitingPacer) Release(_ string, r pacer.Reservation) { p.released <- r }

type endedThrottler struct{ *endedWait }

func (endedThrottler) Observe(string, float64, bool) {}
func (endedThrottler) Limited(string) bool           { return false }
func (e endedThrottler) Acquire(ctx context.Context, _ string) (time.Duration, bool) {
	e.await(ctx)
	return 0, true
}

type endedSparer struct{ *endedWait }

func (endedSparer) Observe(string, int, bool) {}
func (endedSparer) Brittle(string) bool       { return false }
func (e endedSparer) Admit(ctx context.Context, _, _ string) (*sparer.Pass, time.Duration, bool) {
	e.await(ctx)
	return nil, 0, true
}

type endedSequencer struct{ *endedWait }

func (e endedSequencer) Acquire(ctx context.Context, _ uint64) (*sequencer.Turn, time.Duration, bool) {
	e.await(ctx)
	return nil, 0, true
}

var _ = Describe("A request whose client has left", func() {
	const settled = 200 * time.Millisecond

	// Guards against work for clients that gave up since their connections were not accepted
	// in time: the request's context has not ended yet when its handler starts.
	DescribeTable("is not sent to a server if the client left before it was accepted",
		func(method string, leave func(c *net.TCPConn)) {
			w := startRelayer(signedAnswer("body"))
			w.loadModel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			for range 100 {
				leave(connectClient(l.Addr().String(), method, "/read/1", "body"))
			}
			w.serve(l)
			time.Sleep(settled)
			Expect(w.attemptCount()).To(BeZero())
			stays := connectClient(l.Addr().String(), method, "/read/1", "body")
			Eventually(w.attemptCount, "10s").Should(Equal(1))
			Expect(stays.Close()).To(Succeed())
		},
		Entry("GET, closed", "GET", func(c *net.TCPConn) { _ = c.Close() }),
		Entry("POST, closed", "POST", func(c *net.TCPConn) { _ = c.Close() }),
		Entry("POST, reset", "POST", func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }),
	)

	// Guards against waits that end since the client has left and let its request go on.
	DescribeTable("is not sent to a server after a wait",
		func(path string, answer handler, set func(e *endedWait) relayer.Option) {
			e := newEndedWait()
			w := startRelayerWith(newGuard(), []handler{answer}, set(e))
			w.loadModel()
			// Leaves an idle connection to the server, on which a request can be written at once.
			code, _, _ := w.send("POST", path, "body", "Model", "m")
			Expect(code).To(Equal(200))
			c := connectClient(w.proxy.Listener.Addr().String(), "POST", path, "body")
			Eventually(e.reached, "10s").Should(BeClosed())
			Expect(c.Close()).To(Succeed())
			time.Sleep(settled)
			Expect(w.attemptCount()).To(Equal(1))
			Expect(w.fleet.OwnInFlight()["s0"].Requests).To(BeZero())
		},
		Entry("for a slot", "/chat/1", streamEvents(1, 0), func(e *endedWait) relayer.Option { return relayer.WithPacer(e) }),
		Entry("for its turn at a rate limit", "/read/1", signedAnswer("body"), func(e *endedWait) relayer.Option { return relayer.WithThrottler(endedThrottler{e}) }),
		Entry("to be admitted to a brittle server", "/read/1", signedAnswer("body"), func(e *endedWait) relayer.Option { return relayer.WithSparer(endedSparer{e}) }),
	)

	// Guards against a slot that stays reserved for nobody.
	It("gives back the slot that it waits for", func() {
		p := &waitingPacer{asked: make(chan struct{}, 1), released: make(chan pacer.Reservation, 1)}
		w := startRelayerWith(newGuard(), []handler{streamEvents(1, 0)}, relayer.WithPacer(p))
		w.loadModel()
		c := connectClient(w.proxy.Listener.Addr().String(), "POST", "/chat/1", "body")
		Eventually(p.asked, "10s").Should(Receive())
		Consistently(p.released, settled).ShouldNot(Receive())
		Expect(c.Close()).To(Succeed())
		Eventually(p.released, "2s").Should(Receive(Equal(pacer.Reservation{Reserved: true, Wait: time.Minute})))
	})

	It("is not sent to a server after a wait for others that may crash it", func() {
		e := newEndedWait()
		e.requests.Add(1)
		w := startRelayerWith(newGuard(), []handler{abortConnection, signedAnswer("body")}, relayer.WithSequencer(endedSequencer{e}))
		w.loadModel()
		c := connectClient(w.proxy.Listener.Addr().String(), "GET", "/read/1", "")
		Eventually(e.reached, "10s").Should(BeClosed())
		// Leaves an idle connection to the second server.
		code, _, _ := w.send("POST", "/write/1", "body", "Model", "m")
		Expect(code).To(Equal(200))
		Expect(c.Close()).To(Succeed())
		time.Sleep(settled)
		Expect(w.attemptsAt("/read/1")).To(Equal(1))
	})

	// Guards against taking a server for unreachable or failed since the client has left.
	It("says nothing of its server", func() {
		w := startRelayer(delayedAnswer(100*time.Millisecond, "body"))
		w.loadModel()
		for range 20 {
			c := connectClient(w.proxy.Listener.Addr().String(), "POST", "/write/1", "body")
			time.Sleep(10 * time.Millisecond)
			Expect(c.Close()).To(Succeed())
		}
		time.Sleep(settled)
		Expect(w.fleet.Unavailable()).To(BeEmpty())
		Expect(w.fleet.OwnInFlight()["s0"].Requests).To(BeZero())
		code, body, err := w.send("POST", "/write/1", "body", "Model", "m")
		Expect([]any{code, body, err}).To(Equal([]any{200, "body", nil}))
	})
})
