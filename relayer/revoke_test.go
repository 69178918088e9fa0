package relayer_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/matcher"
	"primrosehook/relayer"
)

// streamTable returns a table with a streaming route and a public one.
func streamTable(version int64, accounts map[string]string) *matcher.Table {
	digests := map[matcher.KeyDigest]*matcher.Account{}
	for key, name := range accounts {
		digests[matcher.DigestKey(key)] = &matcher.Account{Name: name}
	}
	route := matcher.Route{Host: "h", Prefix: "/chat/", Kind: matcher.Streaming, Resumable: true, Attempts: 2, Timeout: 5 * time.Second, LatencyTarget: 2 * time.Second, MaxEventGap: time.Second, Splits: []matcher.Split{{Service: "svc", Weight: 1}}}
	public := route
	public.Prefix, public.Public = "/open/", true
	return matcher.NewTable(version, []matcher.Route{route, public}, []matcher.Service{{Name: "svc"}}, matcher.Limits{MaxBodyBytes: 1 << 20}, matcher.WithAccounts(digests))
}

var _ = Describe("A stream whose key is revoked", func() {
	// begin begins a stream and returns its body after the first event.
	begin := func(w *fixture, path, key string) (*bufio.Reader, io.Closer) {
		q, err := http.NewRequest(http.MethodPost, w.proxy.URL+path, nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "1")
		q.Header.Set("Key", key)
		a, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.StatusCode).To(Equal(200))
		r := bufio.NewReader(a.Body)
		Expect(r.ReadString('\n')).To(Equal("id: 1\n"))
		return r, a.Body
	}

	// Guards against streams that go on with a revoked key, against the end of streams whose keys are
	// still configured, and against an ended stream that is resumed at another server or counts
	// against its server.
	DescribeTable("ends at once if the settings ask for it, and no other does", func(strict bool, path, key string, after map[string]string, ends bool) {
		w := startRelayerWith(newGuard(), []handler{pausedStream(3, 1, 800*time.Millisecond), pausedStream(3, 1, 800*time.Millisecond)}, relayer.WithStrictRevoke(strict))
		w.relay.SetTable(streamTable(2, map[string]string{"k1": "a", "k2": "b"}))
		r, body := begin(w, path, key)
		defer func() { _ = body.Close() }()
		changed := time.Now()
		w.relay.SetTable(streamTable(3, after))
		rest, err := io.ReadAll(r)
		if !ends {
			Expect(err).NotTo(HaveOccurred())
			Expect(string(rest)).To(ContainSubstring("id: 3"))
			return
		}
		Expect(err).To(HaveOccurred(), "an end that looks complete is taken for a whole answer")
		Expect(time.Since(changed)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(string(rest)).NotTo(ContainSubstring("id: 2"))
		Consistently(w.attemptCount, "300ms").Should(Equal(1))
	},
		Entry("revoked", true, "/chat/1", "k1", map[string]string{"k2": "b"}, true),
		Entry("revoked, with settings that let streams go on", false, "/chat/1", "k1", map[string]string{"k2": "b"}, false),
		Entry("another key is revoked", true, "/chat/1", "k2", map[string]string{"k2": "b"}, false),
		Entry("the key has another account", true, "/chat/1", "k1", map[string]string{"k1": "c"}, false),
		Entry("revoked, on a public route", true, "/open/1", "k1", map[string]string{"k2": "b"}, false),
		Entry("all keys are revoked", true, "/chat/1", "k2", nil, true),
	)

	// Guards against a request that is sent before its key is revoked and begins its stream later.
	It("ends if it has not begun, and is not sent to another server", func() {
		silent := pausedStream(3, 0, 800*time.Millisecond)
		w := startRelayerWith(newGuard(), []handler{silent, silent}, relayer.WithStrictRevoke(true))
		w.relay.SetTable(streamTable(2, map[string]string{"k1": "a"}))
		time.AfterFunc(200*time.Millisecond, func() { w.relay.SetTable(streamTable(3, nil)) })
		q, err := http.NewRequest(http.MethodPost, w.proxy.URL+"/chat/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "1")
		q.Header.Set("Key", "k1")
		sent := time.Now()
		_, err = http.DefaultClient.Do(q)
		Expect(err).To(HaveOccurred())
		Expect(time.Since(sent)).To(BeNumerically("<", 600*time.Millisecond))
		Consistently(w.attemptCount, "300ms").Should(Equal(1))
	})

	// Guards against a stream that is refused for its account's cap, and counted so, when its key is
	// revoked while it waits for credit.
	It("gets 401 if it waits for credit", func() {
		limit := &awaitedCap{waiting: make(chan struct{})}
		late := func(rw http.ResponseWriter, q *http.Request) {
			time.Sleep(1100 * time.Millisecond)
			refuseOnce(rw, q)
		}
		w := startRelayerWith(newGuard(), []handler{late, late}, relayer.WithStrictRevoke(true), relayer.WithAccounts(limit))
		table := streamTable(2, map[string]string{"k1": "a"})
		account, _ := table.Account("k1")
		account.RatePerSecond = 1
		w.relay.SetTable(table)
		go func() {
			<-limit.waiting
			w.relay.SetTable(streamTable(3, nil))
		}()
		q, err := http.NewRequest(http.MethodPost, w.proxy.URL+"/chat/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "1")
		q.Header.Set("Key", "k1")
		a, err := http.DefaultClient.Do(q)
		Expect(err).NotTo(HaveOccurred())
		_ = a.Body.Close()
		Expect(a.StatusCode).To(Equal(401))
	})

	// The load: a server that refuses and does not end its answer, and a second one that is silent.
	// Guards against 401, which says that nothing has run, while the second server may run the request.
	It("gets no answer if a second server may run it", func() {
		sent := make(chan struct{})
		refuse := func(rw http.ResponseWriter, q *http.Request) {
			refuseOnce(rw, q)
			_ = http.NewResponseController(rw).Flush()
			<-q.Context().Done()
		}
		silent := func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			close(sent)
			<-q.Context().Done()
		}
		var refused atomic.Bool
		either := func(rw http.ResponseWriter, q *http.Request) {
			if refused.CompareAndSwap(false, true) {
				refuse(rw, q)
				return
			}
			silent(rw, q)
		}
		w := startRelayerWith(newGuard(), []handler{either, either}, relayer.WithStrictRevoke(true))
		table := streamTable(2, map[string]string{"k1": "a"})
		route, _ := table.Match("h", "/chat/1")
		route.LatencyTarget, route.MaxEventGap = 200*time.Millisecond, 100*time.Millisecond
		w.relay.SetTable(table)
		go func() {
			<-sent
			w.relay.SetTable(streamTable(3, nil))
		}()
		q, err := http.NewRequest(http.MethodPost, w.proxy.URL+"/chat/1", nil)
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "1")
		q.Header.Set("Key", "k1")
		a, err := http.DefaultClient.Do(q)
		if err == nil {
			_ = a.Body.Close()
		}
		Expect(sent).To(BeClosed())
		Expect(err).To(HaveOccurred(), "an answer says that the request has not run")
	})
})

// awaitedCap is an Accounts that grants credit on arrival, and later none until the request ends.
type awaitedCap struct {
	waiting chan struct{}
	once    sync.Once
}

func (c *awaitedCap) Acquire(context.Context, *matcher.Account, int64, float64) (relayer.Credit, relayer.CapDenial, bool) {
	return c, relayer.CapDenial{}, true
}

func (c *awaitedCap) Renew(ctx context.Context) (relayer.CapDenial, bool) {
	c.once.Do(func() { close(c.waiting) })
	<-ctx.Done()
	return relayer.CapDenial{Cause: "late_credit"}, false
}

func (c *awaitedCap) Repeat(ctx context.Context) (relayer.CapDenial, bool) { return c.Renew(ctx) }

func (c *awaitedCap) Refund() {}
