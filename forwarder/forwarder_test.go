package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/faker"
	"primrosehook/forwarder"
	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/sender"
)

func newCall(key string) forwarder.Call {
	return forwarder.Call{
		Method: http.MethodPost, Path: "/receipts", Query: "branch=7",
		Header: http.Header{faker.KeyHeader: {key}}, Body: []byte("receipt"),
	}
}

var _ = Describe("Client", func() {
	var fake *faker.Service
	var server *httptest.Server
	var client *forwarder.Client

	start := func(h http.Handler) {
		server = httptest.NewServer(h)
		DeferCleanup(server.Close)
		client = forwarder.NewClient(strings.TrimPrefix(server.URL, "http://"), sender.NewClient())
	}

	BeforeEach(func() {
		fake = faker.NewService("s", faker.ServiceSettings{Slots: 4})
		start(fake.Handler())
	})

	It("forwards a call and returns its answer", func(ctx context.Context) {
		a, err := client.Call(ctx, newCall("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusCreated))
		Expect(a.Header.Get("Content-Type")).To(Equal("application/json"))
		Expect(string(a.Body)).To(ContainSubstring(`"path":"/receipts?branch=7"`))
		Expect(fake.Runs()["k"].Count).To(Equal(1))
		load, err := client.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(load).To(Equal(forwarder.Load{Slots: 4}))
	})

	// Guards against memory that is held for a body that answers to HEAD only declare, and against
	// charges of an answer that was cut, which another attempt with the same reservation adds to.
	It("charges nothing for bodies that it does not have", func(ctx context.Context) {
		start(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(1<<20))
			if q.Method != http.MethodHead {
				_, _ = w.Write([]byte("cut"))
			}
		}))
		memory := reserver.New(100 << 20)
		for _, method := range []string{http.MethodHead, http.MethodPut} {
			held, _ := memory.Acquire(reserver.Answer, 0)
			_, err := client.Call(ctx, forwarder.Call{Method: method, Path: "/", Held: held})
			Expect(err == nil).To(Equal(method == http.MethodHead))
			Expect(memory.Held(reserver.Answer)).To(BeZero(), method)
			held.Release()
		}
	})

	// Each entry gives a fault, the verdict that the call must get, and how
	// often it ran.
	DescribeTable("returns the verdict that fits the fault", func(ctx context.Context, faults faker.ServiceFaults, verdict judge.Verdict, runs int) {
		// The first call leaves an idle connection that the second one reuses.
		_, err := client.Call(ctx, newCall("first"))
		Expect(err).NotTo(HaveOccurred())
		fake.SetFaults(faults)
		limit, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = client.Call(limit, newCall("k"))
		Expect(err).To(HaveOccurred())
		Expect(judge.Of(err)).To(Equal(verdict))
		// Checked before the fault is cleared, since a hanging call may still
		// run after that.
		Expect(fake.Runs()["k"].Count).To(Equal(runs))
		fake.SetFaults(faker.ServiceFaults{})
	},
		Entry("for a refusal", faker.ServiceFaults{Faults: faker.Faults{Outage: faker.OutageRefuse}}, judge.NotRun, 0),
		Entry("for a service that is stopping", faker.ServiceFaults{Leaving: true}, judge.NotRun, 0),
		Entry("for a dropped connection", faker.ServiceFaults{Faults: faker.Faults{Outage: faker.OutageDrop}}, judge.MayHaveRun, 0),
		Entry("for a service that hangs", faker.ServiceFaults{Faults: faker.Faults{Outage: faker.OutageHang}}, judge.MayHaveRun, 0),
		Entry("for a lost reply", faker.ServiceFaults{Faults: faker.Faults{LoseReplies: faker.All}}, judge.MayHaveRun, 1),
		Entry("for a crash during the call", faker.ServiceFaults{CrashCalls: faker.All}, judge.MayHaveRun, 1),
	)

	It("returns verdict not run if the service does not listen", func(ctx context.Context) {
		server.Close()
		_, err := client.Call(ctx, newCall("k"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		_, err = client.Load(ctx)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})

	It("removes hop-by-hop headers in both directions", func(ctx context.Context) {
		seen := make(chan http.Header, 1)
		start(&headerRecorder{headers: seen})
		call := newCall("k")
		for name, value := range map[string]string{
			"Connection": "close, X-Mine", "X-Mine": "1", "Te": "trailers", "Upgrade": "h2c",
			"Proxy-Authorization": "x", "Expect": "100-continue", "X-Kept": "1", "Content-Length": "999",
		} {
			call.Header.Set(name, value)
		}
		a, err := client.Call(ctx, call)
		Expect(err).NotTo(HaveOccurred())
		got := <-seen
		Expect(got).To(HaveKey("X-Kept"))
		Expect(got).To(HaveKey(faker.KeyHeader))
		for _, name := range []string{"Connection", "X-Mine", "Te", "Upgrade", "Proxy-Authorization", "Expect"} {
			Expect(got).NotTo(HaveKey(name))
		}
		Expect(got.Get("Content-Length")).To(Equal("7"))
		Expect(a.Header).To(HaveKey("X-Kept"))
		Expect(a.Header).NotTo(HaveKey("X-Mine"))
		Expect(call.Header).To(HaveKey("X-Mine"), "the header of the caller is not changed")
	})

	DescribeTable("refuses a malformed call as not run", func(ctx context.Context, change func(*forwarder.Call)) {
		call := newCall("k")
		change(&call)
		_, err := client.Call(ctx, call)
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
		Expect(fake.Runs()).To(BeEmpty())
	},
		Entry("a body that is too large", func(c *forwarder.Call) { c.Body = make([]byte, forwarder.MaxBody+1) }),
		Entry("a path that changes the host", func(c *forwarder.Call) { c.Path = "@127.0.0.9/x" }),
		Entry("a path without a leading slash", func(c *forwarder.Call) { c.Path = "x" }),
		Entry("a path with a bad escape", func(c *forwarder.Call) { c.Path = "/%zz" }),
		Entry("a bad method", func(c *forwarder.Call) { c.Method = "PO ST" }),
	)

	It("returns verdict ran if the answer is too large", func(ctx context.Context) {
		start(&largeAnswer{size: forwarder.MaxBody + 1})
		_, err := client.Call(ctx, newCall("k"))
		Expect(judge.Of(err)).To(Equal(judge.Ran))
	})

	It("returns error statuses of the service as answers", func(ctx context.Context) {
		start(http.NotFoundHandler())
		a, err := client.Call(ctx, newCall("k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusNotFound))
	})
})

// headerRecorder sends the headers of each request to a channel.
type headerRecorder struct{ headers chan http.Header }

func (s *headerRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.headers <- r.Header.Clone()
	w.Header().Set("Connection", "X-Mine")
	w.Header().Set("X-Mine", "1")
	w.Header().Set("X-Kept", "1")
}

// largeAnswer answers with a body of size bytes.
type largeAnswer struct{ size int }

func (l *largeAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, l.size))
}
