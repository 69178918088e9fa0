package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/matcher"
	"primrosehook/relayer"
)

// countedCap is an Accounts that lets a number of requests through.
type countedCap struct{ left, refunded, renewed, repeated atomic.Int64 }

func (c *countedCap) Acquire(context.Context, *matcher.Account, int64, float64) (relayer.Credit, relayer.CapDenial, bool) {
	if c.left.Add(-1) < 0 {
		return nil, relayer.CapDenial{Wait: 2 * time.Second, Cause: "over_cap"}, false
	}
	return countedCredit{c}, relayer.CapDenial{}, true
}

type countedCredit struct{ cap *countedCap }

func (c countedCredit) Renew(context.Context) (relayer.CapDenial, bool) {
	c.cap.renewed.Add(1)
	return relayer.CapDenial{}, true
}

func (c countedCredit) Repeat(context.Context) (relayer.CapDenial, bool) {
	c.cap.repeated.Add(1)
	return relayer.CapDenial{}, c.cap.left.Add(-1) >= 0
}
func (c countedCredit) Refund() { c.cap.refunded.Add(1) }

// abortAnswer closes the connection once it has the request.
func abortAnswer(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// refuseOnce refuses a request, which has not run.
func refuseOnce(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Id", q.Header.Get("Id"))
	w.Header().Set("Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// accountTable returns a table whose accounts have the keys, each named after its key.
func accountTable(version int64, keys ...string) *matcher.Table {
	accounts := map[matcher.KeyDigest]*matcher.Account{}
	for _, k := range keys {
		accounts[matcher.DigestKey(k)] = &matcher.Account{Name: "account-" + k, RatePerSecond: 10}
	}
	route := matcher.Route{Host: "h", Prefix: "/read/", Kind: matcher.Idempotent, Attempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Splits: []matcher.Split{{Service: "svc", Weight: 1}}}
	public := route
	public.Prefix, public.Public = "/open/", true
	return matcher.NewTable(version, []matcher.Route{route, public}, []matcher.Service{{Name: "svc"}}, matcher.Limits{MaxBodyBytes: 1 << 20}, matcher.WithAccounts(accounts))
}

var _ = Describe("Requests of client accounts", func() {
	get := func(w *fixture, path, key string) *http.Response {
		q, err := http.NewRequest(http.MethodGet, w.proxy.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "1")
		if key != "" {
			q.Header.Set("Key", key)
		}
		a, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		_ = a.Body.Close()
		return a
	}

	It("need a known key unless their route is public, from the version in force on", func() {
		w := startRelayer(signedAnswer("x"))
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "").StatusCode).To(Equal(401))
		Expect(get(w, "/read/1", "k2").StatusCode).To(Equal(401))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(200))
		Expect(get(w, "/open/1", "").StatusCode).To(Equal(200))
		Expect(get(w, "/none/1", "").StatusCode).To(Equal(404))
		w.relay.SetTable(accountTable(3, "k2"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(401))
		Expect(get(w, "/read/1", "k2").StatusCode).To(Equal(200))
		// An older version that arrives late does not bring the key back.
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(401))
	})

	// Guards against a body that is read, or awaited, although the request is refused.
	It("are refused before their body is read", func() {
		w := startRelayer(signedAnswer("x"))
		w.relay.SetTable(accountTable(2, "k1"))
		c, err := net.Dial("tcp", w.proxy.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprint(c, "POST /read/1 HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: wrong\r\nContent-Length: 900000\r\n\r\nbeginning")
		a, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(401))
	})

	It("over the cap get 429 with the time until they are inside it, and do not run", func() {
		limit := &countedCap{}
		limit.left.Store(1)
		w := startRelayerWith(newGuard(), []handler{signedAnswer("x")}, relayer.WithAccounts(limit))
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(200))
		a := get(w, "/read/1", "k1")
		Expect(a.StatusCode).To(Equal(429))
		Expect(a.Header.Get("Retry-After")).To(MatchRegexp(`^2\.\d+$`))
		Expect(w.requestCounts[0].Load()).To(BeEquivalentTo(1))
		Expect(limit.refunded.Load()).To(BeZero())
	})

	It("that have certainly not run give their credit back", func() {
		limit := &countedCap{}
		limit.left.Store(5)
		refuse := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Id", q.Header.Get("Id"))
			w.Header().Set("Refused", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		w := startRelayerWith(newGuard(), []handler{refuse}, relayer.WithAccounts(limit))
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(503))
		Eventually(limit.refunded.Load).Should(BeEquivalentTo(1))
	})

	// Guards against repeats that use servers beyond the cap, and against requests that count twice
	// though their first server refused them.
	DescribeTable("count once for each server that may run them", func(first handler, left, status, repeated, refunded int) {
		limit := &countedCap{}
		limit.left.Store(int64(left))
		w := startRelayerWith(newGuard(), []handler{first, first}, relayer.WithAccounts(limit))
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(status))
		Eventually(limit.refunded.Load).Should(BeEquivalentTo(refunded))
		Expect(limit.repeated.Load()).To(BeEquivalentTo(repeated))
	},
		Entry("that breaks off", abortAnswer, 5, 502, 1, 0),
		Entry("that breaks off when the cap is used up", abortAnswer, 1, 502, 1, 0),
		Entry("that refuses them", refuseOnce, 5, 503, 0, 1),
	)

	// The load: a server that is silent. Guards against repeats at a second server that are not
	// counted, and that are sent beyond the cap.
	DescribeTable("count again when their server is silent", func(left, status, sends int) {
		limit := &countedCap{}
		limit.left.Store(int64(left))
		silent := delayedAnswer(1500*time.Millisecond, "late")
		w := startRelayerWith(newGuard(), []handler{silent, silent}, relayer.WithAccounts(limit))
		w.relay.SetTable(accountTable(2, "k1"))
		Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(status))
		Expect(w.attemptsAt("/read/1")).To(Equal(sends))
		Expect(limit.refunded.Load()).To(BeZero())
	}, Entry("and the cap allows it", 2, 200, 2), Entry("and the cap is used up", 1, 200, 1))

	// The load: clients that disconnect while the answer's body is on its way. Guards against an
	// account that uses servers beyond its cap since requests that ran give their credit back.
	It("whose clients leave while they run do not give their credit back", func() {
		limit := &countedCap{}
		limit.left.Store(5)
		begun := make(chan struct{})
		slow := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Id", q.Header.Get("Id"))
			w.Header().Set("Sign", "s")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-q.Context().Done()
		}
		w := startRelayerWith(newGuard(), []handler{slow}, relayer.WithAccounts(limit))
		w.relay.SetTable(accountTable(2, "k1"))
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			q, err := http.NewRequestWithContext(ctx, http.MethodGet, w.proxy.URL+"/read/1", nil)
			Expect(err).NotTo(HaveOccurred())
			q.Host = "h"
			q.Header.Set("Id", "1")
			q.Header.Set("Key", "k1")
			_, err = http.DefaultClient.Do(q)
			Expect(err).To(HaveOccurred())
		}()
		Eventually(begun).Should(BeClosed())
		time.Sleep(50 * time.Millisecond)
		leave()
		Eventually(done).Should(BeClosed())
		Eventually(func() int { return w.logs.FilterMessage("relay: gave up").Len() }, "3s").Should(Equal(1))
		Consistently(limit.refunded.Load, "100ms").Should(BeZero())
	})

	// The load: an instance at its bound of requests in flight. Guards against requests over the
	// cap that are told to come back to another instance, and against credit that is kept for
	// requests that were refused.
	It("are refused for the cap before the instance's own bound, which gives their credit back", func() {
		limit := &countedCap{}
		limit.left.Store(2)
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		held := func(w http.ResponseWriter, q *http.Request) {
			<-released
			signedAnswer("x")(w, q)
		}
		w := startRelayerWith(newGuard(), []handler{held}, relayer.WithAccounts(limit), relayer.WithMaxInFlight(1))
		DeferCleanup(release)
		w.relay.SetTable(accountTable(2, "k1"))
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			Expect(get(w, "/read/1", "k1").StatusCode).To(Equal(200))
		}()
		Eventually(func() int { return w.attemptsAt("/read/1") }).Should(Equal(1))
		Expect(get(w, "/read/2", "k1").StatusCode).To(Equal(503))
		Eventually(limit.refunded.Load).Should(BeEquivalentTo(1))
		Expect(get(w, "/read/3", "k1").StatusCode).To(Equal(429))
		release()
		Eventually(done).Should(BeClosed())
	})

	It("without accounts in the configuration need no key", func() {
		w := startRelayer(signedAnswer("x"))
		a := get(w, "/read/1", "")
		Expect(a.StatusCode).To(Equal(200))
		_, _ = io.Copy(io.Discard, a.Body)
	})
})
