package sender_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
	"weak"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/sender"
)

// upstream counts requests and aborts their connections while cut is set.
type upstream struct {
	requests atomic.Int64
	mu       sync.Mutex
	cut      bool
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	u.requests.Add(1)
	u.mu.Lock()
	cut := u.cut
	u.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (u *upstream) setCut(cut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cut = cut
}

func request(method, url string, body io.Reader) *http.Request {
	q, err := http.NewRequestWithContext(context.Background(), method, url, body)
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("Idempotency-Key", "k")
	return q
}

var _ = Describe("Do", func() {
	var up *upstream
	var server *httptest.Server

	BeforeEach(func() {
		up = &upstream{}
		server = httptest.NewServer(up)
		DeferCleanup(server.Close)
	})

	// warm leaves an idle connection, which the next request reuses.
	warm := func(client *http.Client) {
		p, err := client.Do(request(http.MethodPost, server.URL, bytes.NewReader([]byte("x"))))
		Expect(err).NotTo(HaveOccurred())
		p.Body.Close()
		Expect(up.requests.Swap(0)).To(BeEquivalentTo(1))
	}

	for _, c := range []struct {
		name   string
		method string
		body   func() io.Reader
	}{
		{"a POST with a body", http.MethodPost, func() io.Reader { return bytes.NewReader([]byte("x")) }},
		{"a POST without a body", http.MethodPost, func() io.Reader { return http.NoBody }},
		{"a DELETE with nil body", http.MethodDelete, func() io.Reader { return nil }},
	} {
		It("sends "+c.name+" once, where a plain client repeats it", func() {
			plain := &http.Client{Transport: &http.Transport{}}
			warm(plain)
			up.setCut(true)
			_, err := plain.Do(request(c.method, server.URL, c.body()))
			Expect(err).To(HaveOccurred())
			Expect(up.requests.Swap(0)).To(BeNumerically(">", 1), "the plain client repeats the request, which Do prevents")

			up.setCut(false)
			client := sender.NewClient()
			warm(client)
			up.setCut(true)
			_, err = sender.Do(client, request(c.method, server.URL, c.body()), "up", "lost")
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
			Expect(up.requests.Load()).To(BeEquivalentTo(1))
		})
	}

	// Guards against requests that are written for clients that have left.
	It("sends nothing that is not wanted right before it is written", func() {
		client := sender.NewClient()
		warm(client)
		wanted := false
		q := request(http.MethodPost, server.URL, bytes.NewReader([]byte("x")))
		ctx := sender.WithWanted(q.Context(), func() bool { return wanted })
		_, err := sender.Do(client, q.WithContext(ctx), "up", "lost")
		Expect(err).To(MatchError(sender.ErrUnwanted))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(up.requests.Load()).To(BeZero())
		for _, ctx := range []context.Context{sender.WithWanted(ctx, nil), q.Context()} {
			p, err := sender.Do(client, request(http.MethodPost, server.URL, bytes.NewReader([]byte("x"))).WithContext(ctx), "up", "lost")
			Expect(err).NotTo(HaveOccurred())
			p.Body.Close()
		}
		Expect(up.requests.Load()).To(BeEquivalentTo(2))
	})

	It("returns verdict not run when nothing listens on the address", func() {
		server.Close()
		_, err := sender.Do(sender.NewClient(), request(http.MethodPost, server.URL, http.NoBody), "up", "lost")
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})

	It("returns verdict not run when the caller cancels before there is a connection", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		q := request(http.MethodPost, server.URL, http.NoBody).WithContext(ctx)
		_, err := sender.Do(sender.NewClient(), q, "up", "lost")
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(up.requests.Load()).To(BeZero())
	})

	It("returns verdict may have run when the response does not arrive in time", func() {
		release := make(chan struct{})
		slow := httptest.NewServer(&hangingHandler{release: release})
		DeferCleanup(func() { close(release); slow.Close() })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		q := request(http.MethodPost, slow.URL, http.NoBody).WithContext(ctx)
		_, err := sender.Do(sender.NewClient(), q, "up", "lost")
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})

	// The peer closes idle connections while the client reuses them. A request
	// that reached the peer must not get verdict not run, and none may reach it
	// twice.
	It("returns a correct verdict for reused connections that the peer closed", func() {
		client := sender.NewClient()
		notRun := 0
		for range 200 {
			warm(client)
			server.CloseClientConnections()
			p, err := sender.Do(client, request(http.MethodPost, server.URL, bytes.NewReader([]byte("x"))), "up", "lost")
			if err == nil {
				p.Body.Close()
			}
			ran := up.requests.Swap(0)
			Expect(ran).To(BeNumerically("<=", 1))
			if judge.Of(err) == judge.NotRun && err != nil {
				notRun++
				Expect(ran).To(BeZero())
			}
		}
		GinkgoWriter.Println("not run:", notRun)
	})

	It("lets go of a body that is sent while its answer is open", func() {
		release := make(chan struct{})
		slow := httptest.NewServer(&hangingHandler{release: release, flushFirst: true})
		DeferCleanup(func() { close(release); slow.Close() })
		post := func() (*http.Response, weak.Pointer[bytes.Reader]) {
			body := bytes.NewReader([]byte("x"))
			p, err := sender.Do(sender.NewClient(), request(http.MethodPost, slow.URL, body), "up", "lost")
			Expect(err).NotTo(HaveOccurred())
			return p, weak.Make(body)
		}
		p, body := post()
		// Eventually keeps the value of a poll reachable until the next one, so
		// the poll returns no pointer.
		Eventually(func() bool { runtime.GC(); return body.Value() == nil }).Should(BeTrue())
		p.Body.Close()
	})

	It("does not follow redirects", func() {
		moved := httptest.NewServer(http.RedirectHandler(server.URL, http.StatusTemporaryRedirect))
		DeferCleanup(moved.Close)
		p, err := sender.Do(sender.NewClient(), request(http.MethodPost, moved.URL, bytes.NewReader([]byte("x"))), "up", "lost")
		Expect(err).NotTo(HaveOccurred())
		p.Body.Close()
		Expect(p.StatusCode).To(Equal(http.StatusTemporaryRedirect))
		Expect(up.requests.Load()).To(BeZero())
	})

	It("tracks connections through a transport that wraps another one", func() {
		client := sender.NewClient()
		client.Transport = wrappingTransport{client.Transport}
		server.Close()
		_, err := sender.Do(client, request(http.MethodPost, server.URL, http.NoBody), "up", "lost")
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})

	It("returns verdict may have run for a transport that does not support traces", func() {
		client := &http.Client{Transport: untracedTransport{}}
		_, err := sender.Do(client, request(http.MethodPost, server.URL, http.NoBody), "up", "lost")
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
	})
})

// hangingHandler answers once it is released. With flushFirst it sends the
// headers first and ends the response on release.
type hangingHandler struct {
	release    chan struct{}
	flushFirst bool
}

func (h *hangingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if h.flushFirst {
		_ = http.NewResponseController(w).Flush()
	}
	<-h.release
}

// untracedTransport is a transport that calls no trace hooks.
type untracedTransport struct{}

func (untracedTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, net.ErrClosed }

// wrappingTransport forwards requests to another transport and hides the types
// of its errors.
type wrappingTransport struct{ base http.RoundTripper }

func (a wrappingTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	p, err := a.base.RoundTrip(q)
	if err != nil {
		return nil, errors.New("around: " + err.Error())
	}
	return p, nil
}
