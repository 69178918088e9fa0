package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/relayer"
	"primrosehook/sequencer"
)

// crashOn answers requests, but crashes its server at those with the path.
func crashOn(path string, otherwise handler) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == path {
			_ = q.Context().Value(http.ServerContextKey).(*http.Server).Close()
			panic(http.ErrAbortHandler)
		}
		otherwise(w, q)
	}
}

var _ = Describe("A request that crashes servers", func() {
	// Guards against taking a request for another one because its client changes the
	// query each time it sends it.
	DescribeTable("is recognized when it comes again with another query",
		func(method, path, other string) {
			crash := crashOn(path, streamEvents(1, 0))
			w := startRelayer(crash, crash)
			sent := 0
			for ; w.attemptsAt(path) < 2; sent++ {
				_, _, _ = w.send(method, fmt.Sprintf("%s?page=%d", path, sent), "x")
			}
			// Another request finds that both servers take no connections.
			code, _, _ := w.send(method, other, "y")
			Expect(code).To(Equal(503))
			w.addServers(crash)
			code, _, _ = w.send(method, fmt.Sprintf("%s?page=%d", path, sent), "x")
			Expect(code).To(Equal(503))
			Expect(w.attemptsAt(path)).To(Equal(2))
			code, _, _ = w.send(method, other, "y")
			Expect(code).To(Equal(200))
		},
		Entry("a read", "GET", "/read/1", "/read/2"),
		Entry("a write", "POST", "/write/1", "/write/2"),
		Entry("a stream", "POST", "/chat/1", "/chat/2"),
		Entry("a stream that can't be resumed", "POST", "/once/1", "/once/2"),
	)

	// Guards against taking a request for another one because it comes from another
	// address: through another gateway, or from another client with the same fault.
	It("is recognized when it comes from another address", func() {
		crash := crashOn("/read/1", signedAnswer("whole"))
		w := startRelayer(crash, crash)
		_, _, _ = w.send("GET", "/read/1", "")
		Eventually(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }).Should(Equal(2))
		w.addServers(crash)
		other := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).DialContext}}
		q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, w.proxy.URL+"/read/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "q2")
		p, err := other.Do(q)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Body.Close()).To(Succeed())
		Expect(p.StatusCode).To(Equal(503))
		Expect(w.attemptsAt("/read/1")).To(Equal(2))
	})

	// Guards against crashes by a request for a resource on one route of a service after
	// requests for it on another route have crashed servers.
	It("is recognized when it comes by another route of its service", func() {
		crash := func(rw http.ResponseWriter, q *http.Request) {
			crashOn("/read/1", crashOn("/write/1", signedAnswer("whole")))(rw, q)
		}
		w := startRelayer(crash, crash)
		_, _, _ = w.send("GET", "/read/1?page=1", "")
		Eventually(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }).Should(Equal(2))
		w.addServers(crash)
		code, _, _ := w.send("POST", "/write/1", "")
		Expect(code).To(Equal(503))
		Expect(w.attemptsAt("/write/1")).To(BeZero())
		code, _, _ = w.send("POST", "/write/2", "")
		Expect(code).To(Equal(200), "another resource")
		code, _, _ = w.send("POST", "/write/1", "with a body")
		Expect(code).To(Equal(503))
	})

	// Guards against refusing all requests for a resource that others use without harm.
	It("does not keep others from its resource while they complete", func() {
		fatal := func(rw http.ResponseWriter, q *http.Request) {
			if body, _ := io.ReadAll(q.Body); string(body) == "fatal" {
				crashOn(q.URL.Path, nil)(rw, q)
			}
			signedAnswer("whole")(rw, q)
		}
		w := startRelayer(fatal, fatal)
		code, _, _ := w.send("POST", "/write/1", "sound")
		Expect(code).To(Equal(200))
		for sent := range 2 {
			_, _, _ = w.send("POST", "/write/1", "fatal")
			Eventually(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }).Should(Equal(sent + 1))
		}
		w.addServers(fatal)
		code, _, _ = w.send("POST", "/write/1", "fatal")
		Expect(code).To(Equal(503))
		code, _, _ = w.send("POST", "/write/1", "sound, too")
		Expect(code).To(Equal(200))
	})

	// Guards against missing a crash that no other request happens to find: servers with
	// failures are avoided.
	It("is quarantined although no other request is sent to its servers", func() {
		crash := crashOn("/read/1", signedAnswer("whole"))
		w := startRelayer(crash, crash, crash)
		_, _, _ = w.send("GET", "/read/1", "")
		Expect(w.attemptsAt("/read/1")).To(Equal(2))
		Eventually(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }).Should(Equal(2))
		code, _, _ := w.send("GET", "/read/1", "")
		Expect(code).To(Equal(503))
		Expect(w.attemptsAt("/read/1")).To(Equal(2))
	})

	It("is not suspected of a crash if its server only closed the connection", func() {
		w := startRelayer(abortConnection, abortConnection, signedAnswer("whole"))
		for range 3 {
			_, _, _ = w.send("GET", "/read/1", "")
		}
		Consistently(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }, 200*time.Millisecond).Should(BeZero())
	})

	// Guards against missing the crashes of a server that had begun its answer.
	It("is suspected if a plain answer breaks off in its body", func() {
		breakOff := func(rw http.ResponseWriter, q *http.Request) {
			rw.Header().Set("Content-Length", "100")
			signedAnswer("part")(rw, q)
			_ = http.NewResponseController(rw).Flush()
			_ = q.Context().Value(http.ServerContextKey).(*http.Server).Close()
			panic(http.ErrAbortHandler)
		}
		w := startRelayer(breakOff, breakOff, signedAnswer("whole"))
		_, _, _ = w.send("GET", "/read/1", "")
		Eventually(func() int { return w.logs.FilterMessage("relay: server crashed").Len() }).Should(Equal(2))
	})

	// Guards against missing the crashes of servers that end without closing their
	// connections, which shows only when others have replaced them.
	DescribeTable("is suspected if its servers fell silent and were replaced",
		func(method, path string) {
			guard := newGuard()
			silent := delayedAnswer(3*time.Second, "late")
			w := startRelayerWith(guard, []handler{silent, silent, silent})
			code, _, _ := w.send(method, path, "x")
			Expect(code).To(BeNumerically(">=", 500))
			first := w.attemptCount()
			Expect(first).To(BeNumerically(">=", 1))
			if first == 1 {
				_, _, _ = w.send(method, path, "x")
			}
			suspects := 0
			for _, s := range w.servers {
				suspects += len(guard.EngineReplaced(s.Incarnation))
			}
			Expect(suspects).To(BeNumerically(">=", 2))
			w.addServers(signedAnswer("whole"))
			code, _, _ = w.send(method, path, "x")
			Expect(code).To(Equal(503))
		},
		Entry("a read", "GET", "/read/1"),
		Entry("a write", "POST", "/write/1"),
		Entry("a stream", "POST", "/chat/1"),
	)

	// Guards against two servers for each further try of a suspect that can't be told
	// from a bystander yet.
	It("is sent to one server only while it is a suspect", func() {
		w := startRelayerWith(suspectingGuard{newGuard()}, []handler{abortConnection, signedAnswer("whole")})
		code, _, err := w.send("GET", "/read/1", "")
		Expect([]any{code, err}).To(Equal([]any{502, nil}))
		Expect(w.attemptsAt("/read/1")).To(Equal(1))
	})

	// Guards against a server lost under each instance, or each client, that sends the same
	// suspect at the same time.
	It("is not sent while another one like it is in progress", func() {
		w := startRelayerWith(suspectingGuard{newGuard()}, []handler{delayedAnswer(300*time.Millisecond, "whole"), delayedAnswer(300*time.Millisecond, "whole")},
			relayer.WithSequencer(sequencer.New("self", nil, nil, clockwork.NewRealClock(), zap.NewNop())))
		var clients sync.WaitGroup
		var codes [4]int
		for i, path := range []string{"/read/1", "/read/1", "/write/1", "/read/2"} {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				codes[i], _, _ = w.send("GET", path, "")
			})
		}
		clients.Wait()
		Expect(codes).To(Equal([4]int{200, 503, 503, 200}))
		// It has completed, so that it is not what crashes servers.
		for range 2 {
			clients.Go(func() {
				defer GinkgoRecover()
				code, _, _ := w.send("GET", "/read/1", "")
				Expect(code).To(Equal(200))
			})
		}
		clients.Wait()
	})

	// Guards against a second server lost under a request whose first one is silent since it
	// has crashed, while the loss of others already has such requests sent one at a time.
	It("is not sent to a second server while the first one is silent and others were lost", func() {
		late := delayedAnswer(1200*time.Millisecond, "late")
		w := startRelayerWith(newGuard(), []handler{late, late, late})
		w.fleet.Update(w.servers[:2])
		code, body, err := w.send("GET", "/read/1", "")
		Expect([]any{code, body, err}).To(Equal([]any{200, "late", nil}))
		Expect(w.attemptsAt("/read/1")).To(Equal(1))
	})

	// Guards against sending a request on after its quarantine has begun, which may be
	// while it waits or is being repeated.
	Describe("whose quarantine begins while it is in progress", func() {
		var (
			guard      *switchedGuard
			quarantine = func(h handler) handler {
				return func(w http.ResponseWriter, q *http.Request) {
					guard.quarantined.Store(true)
					h(w, q)
				}
			}
		)
		BeforeEach(func() { guard = &switchedGuard{Guard: newGuard()} })

		It("is not sent to a second server after the first one broke off", func() {
			w := startRelayerWith(guard, []handler{quarantine(abortConnection), signedAnswer("whole")})
			code, _, err := w.send("GET", "/read/1", "")
			Expect([]any{code, err}).To(Equal([]any{502, nil}))
			Expect(w.attemptsAt("/read/1")).To(Equal(1))
		})

		It("is not sent to a second server while the first one is silent", func() {
			w := startRelayerWith(guard, []handler{quarantine(delayedAnswer(1200*time.Millisecond, "late")), signedAnswer("whole")})
			code, body, err := w.send("GET", "/read/1", "")
			Expect([]any{code, body, err}).To(Equal([]any{200, "late", nil}))
			Expect(w.attemptsAt("/read/1")).To(Equal(1))
		})

		It("is refused when its turn comes", func() {
			w := startRelayerWith(guard, []handler{signedAnswer("whole")})
			var client sync.WaitGroup
			var code int
			client.Go(func() { code, _, _ = w.send("POST", "/slow/1", "", "Model", "m") })
			Eventually(w.fleet.QueueLen).Should(Equal(1))
			guard.quarantined.Store(true)
			w.servers[0].Loaded = []registrar.LoadedModel{{Model: "m", Version: 1}}
			w.fleet.Update(w.servers)
			client.Wait()
			Expect(code).To(Equal(503))
			Expect(w.attemptsAt("/slow/1")).To(BeZero())
		})
	})
})

// suspectingGuard is a guard that counts crashes against all requests, which other
// requests explain.
type suspectingGuard struct{ *quarantiner.Guard }

func (suspectingGuard) Crashes(quarantiner.Identity) int { return 2 }

// switchedGuard is a guard that quarantines all requests once it is told to.
type switchedGuard struct {
	*quarantiner.Guard
	quarantined atomic.Bool
}

func (s *switchedGuard) Remaining(quarantiner.Identity) time.Duration {
	if s.quarantined.Load() {
		return time.Minute
	}
	return 0
}
