package relayer_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/balancer"
	"primrosehook/connector"
	"primrosehook/pacer"
	"primrosehook/registrar"
	"primrosehook/relayer"
)

// withHeader adds a header to the answers of a handler.
func withHeader(name, value string, h handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(name, value)
		h(w, q)
	}
}

// slowDialer opens connections after a delay, but for the first one.
type slowDialer struct {
	dials atomic.Int64
	delay time.Duration
}

// Dial implements connector.Dialer.
func (d *slowDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.dials.Add(1) > 1 {
		time.Sleep(d.delay)
	}
	return connector.DirectDialer{}.Dial(ctx, address)
}

// queuedPacer lets the first request through at once and has the others wait.
type queuedPacer struct {
	mu    sync.Mutex
	calls int
}

func (p *queuedPacer) Reserve(context.Context, string, int, time.Duration, balancer.EngineLoad) (pacer.Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.calls == 1 {
		return pacer.Reservation{Reserved: true}, nil
	}
	return pacer.Reservation{Reserved: true, Wait: 300 * time.Millisecond}, nil
}

func (*queuedPacer) Release(string, pacer.Reservation) {}

var _ = Describe("A server that says that it leaves", func() {
	// Guards against sending requests to a server whose answers say that it leaves, while
	// its registration does not say so.
	DescribeTable("gets no further requests",
		func(method, path string, first handler) {
			w := startRelayer(withHeader("Leave", "1", first), first)
			code, _, err := w.send(method, path, "x")
			Expect([]any{code, err}).To(Equal([]any{200, nil}))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			for range 5 {
				code, _, _ = w.send(method, path, "x")
				Expect(code).To(Equal(200))
			}
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			// Its registration is read again, and expires for a while.
			w.fleet.Update(w.servers)
			w.fleet.Update(w.servers[1:])
			w.fleet.Update(w.servers)
			code, _, _ = w.send(method, path, "x")
			Expect(code).To(Equal(200))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			// It has started again.
			w.servers[0].Incarnation = "again"
			w.fleet.Update(w.servers[:1])
			code, _, _ = w.send(method, path, "x")
			Expect(code).To(Equal(200))
			Expect(w.requestCounts[0].Load()).To(Equal(int64(2)))
		},
		Entry("reads", "GET", "/read/1", signedAnswer("whole")),
		Entry("writes", "POST", "/write/1", signedAnswer("whole")),
		Entry("streams", "POST", "/chat/1", streamEvents(2, 0)),
	)

	It("is reported, so that its models are loaded elsewhere", func() {
		w := startRelayer(withHeader("Leave", "1", signedAnswer("whole")))
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.fleet.Unavailable()).To(ConsistOf("s0"))
		code, _, _ := w.send("GET", "/read/1", "")
		Expect(code).To(Equal(503))
	})

	It("is not the one that has got its address meanwhile", func() {
		w := startRelayer(withHeader("Leave", "1", statusOnly(421)), signedAnswer("whole"))
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.fleet.Unavailable()).To(BeEmpty())
	})
})

var _ = Describe("A server that refuses a request and says for how long", func() {
	refuseFor := func(d time.Duration) handler {
		return withHeader("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64), statusOnly(503, "Refused"))
	}

	// Guards against sending requests to a server that has said that it wants none.
	It("gets no request until then", func() {
		w := startRelayer(refuseFor(1200*time.Millisecond), signedAnswer("whole"))
		start := time.Now()
		for time.Since(start) < time.Second {
			code, _, _ := w.send("GET", "/read/1", "")
			Expect(code).To(Equal(200))
			time.Sleep(20 * time.Millisecond)
		}
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
		w.fleet.Update(w.servers[:1])
		Eventually(func() int64 { _, _, _ = w.send("GET", "/read/1", ""); return w.requestCounts[0].Load() }, 2*time.Second).Should(BeNumerically(">", 1))
	})

	// Guards against forgetting the rest when the registration expires, or can't be read, and
	// comes back.
	It("gets no request until then, also after its registration was away", func() {
		w := startRelayer(refuseFor(5*time.Second), signedAnswer("whole"))
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
		w.fleet.Update(w.servers[1:])
		w.fleet.Update(w.servers)
		for range 5 {
			code, _, _ := w.send("GET", "/read/1", "")
			Expect(code).To(Equal(200))
		}
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
	})

	// Guards against forgetting a refusal that comes while the registration is away.
	It("gets no request until then, also if it refused while its registration was away", func() {
		var w *fixture
		refuse := refuseFor(5 * time.Second)
		w = startRelayer(func(rw http.ResponseWriter, q *http.Request) {
			w.fleet.Update(w.servers[1:])
			refuse(rw, q)
		}, signedAnswer("whole"))
		_, _, _ = w.send("GET", "/read/1", "")
		w.fleet.Update(w.servers)
		for range 5 {
			code, _, _ := w.send("GET", "/read/1", "")
			Expect(code).To(Equal(200))
		}
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
	})

	It("is what a client is told to wait for if no other server is left", func() {
		w := startRelayer(refuseFor(5 * time.Second))
		_, _, _ = w.send("GET", "/read/1", "")
		q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, w.proxy.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "q2")
		p, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Body.Close()).To(Succeed())
		Expect(p.StatusCode).To(Equal(503))
		seconds, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(seconds).To(BeNumerically(">", 3))
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
	})

	slowly := func(h handler) handler {
		return func(w http.ResponseWriter, q *http.Request) {
			time.Sleep(100 * time.Millisecond)
			h(w, q)
		}
	}

	// Guards against sending requests that were waiting for a connection to the server when it
	// said that it wants none.
	DescribeTable("gets none that waited for a connection",
		func(method, path string, first handler) {
			d := &slowDialer{delay: 400 * time.Millisecond}
			second := signedAnswer("whole")
			if method == "POST" && path == "/chat/1" {
				second = streamEvents(1, 0)
			}
			w := startRelayerDialing(d, first, second)
			w.fleet.Update(w.servers[:1])
			var clients sync.WaitGroup
			for i := range 4 {
				clients.Go(func() {
					defer GinkgoRecover()
					if i > 0 {
						time.Sleep(20 * time.Millisecond)
					}
					_, _, err := w.send(method, path, "")
					Expect(err).NotTo(HaveOccurred())
				})
			}
			time.Sleep(150 * time.Millisecond)
			w.fleet.Update(w.servers)
			clients.Wait()
			Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
			Expect(w.requestCounts[1].Load()).To(BeNumerically(">=", 3))
			Expect(w.logs.FilterMessage("relay: server does not answer a probe").Len()).To(BeZero())
		},
		Entry("a read, at a server that rests", "GET", "/read/1", slowly(refuseFor(5*time.Second))),
		Entry("a write, at a server that rests", "POST", "/write/1", slowly(refuseFor(5*time.Second))),
		Entry("a stream, at a server that rests", "POST", "/chat/1", slowly(refuseFor(5*time.Second))),
		Entry("a read, at a server that leaves", "GET", "/read/1", slowly(withHeader("Leave", "1", signedAnswer("whole")))),
	)

	It("gets none that waited for its turn when it refused", func() {
		w := startRelayerWith(newGuard(), []handler{refuseFor(5 * time.Second)}, relayer.WithPacer(&queuedPacer{}))
		w.servers[0].Loaded = []registrar.LoadedModel{{Model: "m", Version: 1}}
		w.fleet.Update(w.servers)
		var clients sync.WaitGroup
		for range 4 {
			clients.Go(func() {
				defer GinkgoRecover()
				code, _, _ := w.send("POST", "/chat/1", "x", "Model", "m")
				Expect(code).To(Equal(503))
			})
		}
		clients.Wait()
		Expect(w.requestCounts[0].Load()).To(Equal(int64(1)))
	})
})
