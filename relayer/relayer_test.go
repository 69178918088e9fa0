package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"primrosehook/balancer"
	"primrosehook/connector"
	"primrosehook/matcher"
	"primrosehook/peeker"
	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/relayer"
)

// plainCodec is a Codec with short header names.
type plainCodec struct{}

func (plainCodec) Request(h http.Header) (relayer.Meta, bool) {
	meta := relayer.Meta{ID: h.Get("Id"), Key: h.Get("Key"), Model: h.Get("Model"), LastEvent: h.Get("Last"), Resumes: h.Get("Resumes")}
	if h.Get("Parts") != "" {
		meta.PromptTokens, meta.Parts = 1460, []relayer.Part{{ID: "f", Tokens: 210}, {ID: "s", Tokens: 140}, {ID: "own", Tokens: 1}}
		if n, err := strconv.Atoi(h.Get("Second-Part-Tokens")); err == nil {
			meta.Parts[1].Tokens = n
		}
	}
	return meta, meta.ID != ""
}

func (plainCodec) RequestHeader(h http.Header, s relayer.ForwardInfo) http.Header {
	out := http.Header{"Id": h["Id"], "Server": {s.Server}}
	if s.LastEvent != "" {
		out.Set("Last", s.LastEvent)
	}
	return out
}

func (plainCodec) TimeLeftHeader(left time.Duration) http.Header {
	return http.Header{"Left": {left.String()}}
}

func (plainCodec) ParseAnswer(status int, h http.Header) relayer.AnswerInfo {
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	running, _ := strconv.Atoi(h.Get("Running"))
	return relayer.AnswerInfo{Load: relayer.Load{Known: running > 0, Running: running}, Leaving: h.Get("Leave") != "", RetryAfter: time.Duration(seconds * float64(time.Second)), ID: h.Get("Id"), Signed: h.Get("Sign") != "", Refused: h.Get("Refused") != "" || status == 421, NotLoaded: status == 421, RateLimit: relayer.RateLimit{Named: h.Get("Limit") != "", PerSecond: 2}}
}

func (plainCodec) AnswerHeader(h http.Header) http.Header { return http.Header{"Sign": h["Sign"]} }

type handler = func(w http.ResponseWriter, q *http.Request)

func signedAnswer(body string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Sign", "s")
		_, _ = io.WriteString(w, body)
	}
}

func statusOnly(code int, set ...string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		for _, name := range set {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// streamEvents streams the events after the request's Last header up to last. It
// aborts the connection in the middle of the event after breakAfter, if that is
// not zero.
func streamEvents(last, breakAfter int) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		from := 0
		_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Sign", "s")
		for i := from + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if i == breakAfter {
				_, _ = io.WriteString(w, "id: 9\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// pausedStream streams events up to last, and pauses once after an event.
func pausedStream(last, pauseAfter int, pause time.Duration) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		first := streamEvents(pauseAfter, 0)
		first(w, q)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			return
		}
		for i := pauseAfter + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		}
	}
}

// delayedAnswer answers after a delay.
func delayedAnswer(delay time.Duration, body string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		select {
		case <-time.After(delay):
		case <-q.Context().Done():
			return
		}
		signedAnswer(body)(w, q)
	}
}

type fixture struct {
	proxy         *httptest.Server
	fleet         *balancer.Fleet
	relay         *relayer.Relayer
	servers       []registrar.Server
	requestCounts []*atomic.Int64
	// pathCounts counts the requests at all servers by path.
	pathCounts sync.Map
	logs       *observer.ObservedLogs
}

// startRelayer starts a relayer in front of upstreams. Routes: /read/ idempotent,
// /write/ not idempotent, /chat/ resumable stream, /slow/ the same with a
// long latency objective, /once/ stream.
func startRelayer(handlers ...handler) *fixture {
	return startRelayerWith(newGuard(), handlers)
}

func newGuard() *quarantiner.Guard {
	return quarantiner.NewGuard(clockwork.NewRealClock(), quarantiner.DefaultOptions())
}

// startRelayerDialing is startRelayer with a dialer for the connections to servers.
func startRelayerDialing(d connector.Dialer, handlers ...handler) *fixture {
	return startRelayerOn(balancer.NewFleet("z", 1, clockwork.NewRealClock(), balancer.WithDialer(d)), newGuard(), handlers)
}

// startRelayerWith is startRelayer with a search of its own for requests that crash
// servers, and further options.
func startRelayerWith(suspects relayer.Suspects, handlers []handler, options ...relayer.Option) *fixture {
	return startRelayerOn(balancer.NewFleet("z", 1, clockwork.NewRealClock()), suspects, handlers, options...)
}

// startRelayerOn is startRelayerWith on a fleet.
func startRelayerOn(fleet *balancer.Fleet, suspects relayer.Suspects, handlers []handler, options ...relayer.Option) *fixture {
	clock := clockwork.NewRealClock()
	core, logs := observer.New(zap.InfoLevel)
	w := &fixture{fleet: fleet, logs: logs}
	w.addServers(handlers...)
	w.relay = relayer.New(plainCodec{}, w.fleet, suspects, clock, zap.New(core), append(options, relayer.WithRetries(10*time.Second, 0.2, 10))...)
	route := func(prefix string, kind matcher.Kind, attempts int, resumable bool) matcher.Route {
		return matcher.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Attempts: attempts, Resumable: resumable,
			Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxEventGap: 100 * time.Millisecond, Splits: []matcher.Split{{Service: "svc", Weight: 1}},
		}
	}
	slow := route("/slow/", matcher.Streaming, 2, true)
	slow.Timeout, slow.LatencyTarget = 5*time.Second, time.Second
	w.relay.SetTable(matcher.NewTable(1, []matcher.Route{
		slow,
		route("/read/", matcher.Idempotent, 2, false), route("/write/", matcher.NonIdempotent, 2, false),
		route("/chat/", matcher.Streaming, 2, true), route("/once/", matcher.Streaming, 2, false),
	}, []matcher.Service{{Name: "svc"}}, matcher.Limits{MaxBodyBytes: 1 << 20}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	w.proxy = w.serve(l)
	return w
}

// serve accepts clients on a listener.
func (w *fixture) serve(l net.Listener) *httptest.Server {
	s := httptest.NewUnstartedServer(w.relay)
	Expect(s.Listener.Close()).To(Succeed())
	s.Listener, s.Config.ConnContext = l, peeker.WithClient
	s.Start()
	DeferCleanup(s.Close)
	return s
}

// addServers starts upstreams and registers them. The first one of all is in the
// instance's zone, so that it is tried first.
func (w *fixture) addServers(handlers ...handler) {
	for _, h := range handlers {
		n := &atomic.Int64{}
		w.requestCounts = append(w.requestCounts, n)
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) {
			n.Add(1)
			w.countPath(q.URL.Path)
			h(rw, q)
		}))
		DeferCleanup(s.Close)
		id, zone := fmt.Sprintf("s%d", len(w.servers)), fmt.Sprintf("z%d", len(w.servers))
		if len(w.servers) == 0 {
			zone = "z"
		}
		w.servers = append(w.servers, registrar.Server{ID: id, Incarnation: id, Service: "svc", Address: s.Listener.Addr().String(), Zone: zone, Slots: 8})
	}
	w.fleet.Update(w.servers)
}

func (w *fixture) send(method, path, body string, set ...string) (int, string, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, w.proxy.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Id", "q1")
	for i := 0; i+1 < len(set); i += 2 {
		q.Header.Set(set[i], set[i+1])
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer p.Body.Close()
	raw, err := io.ReadAll(p.Body)
	return p.StatusCode, string(raw), err
}

func (w *fixture) countPath(path string) {
	n, _ := w.pathCounts.LoadOrStore(path, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
}

// attemptsAt returns how many requests with a path reached servers.
func (w *fixture) attemptsAt(path string) int {
	n, ok := w.pathCounts.Load(path)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int64).Load())
}

func (w *fixture) attemptCount() int {
	n := 0
	for _, c := range w.requestCounts {
		n += int(c.Load())
	}
	return n
}

var _ = Describe("Relayer", func() {
	It("forwards an answer unchanged", func() {
		code, body, err := startRelayer(signedAnswer("body")).send("POST", "/write/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "body", nil}))
	})

	It("answers 404 without a route, 400 without an id, 413 to a body over the limit", func() {
		w := startRelayer(signedAnswer("body"))
		code, _, _ := w.send("GET", "/none/1", "")
		Expect(code).To(Equal(404))
		code, _, _ = w.send("GET", "/read/1", "", "Id", "")
		Expect(code).To(Equal(400))
		code, _, _ = w.send("POST", "/write/1", strings.Repeat("x", 1<<20+1))
		Expect(code).To(Equal(413))
		Expect(w.attemptCount()).To(BeZero())
	})

	It("refuses with Retry-After until it has a table", func() {
		clock := clockwork.NewRealClock()
		r := relayer.New(plainCodec{}, balancer.NewFleet("z", 1, clock), quarantiner.NewGuard(clock, quarantiner.DefaultOptions()), clock, zap.NewNop())
		rec := httptest.NewRecorder()
		r.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/read/1", nil))
		Expect(rec.Code).To(Equal(503))
		Expect(rec.Header().Get("Retry-After")).NotTo(BeEmpty())
	})

	It("ignores a table that is not newer", func() {
		w := startRelayer(signedAnswer("body"))
		Expect(w.relay.SetTable(matcher.NewTable(1, nil, nil, matcher.Limits{}))).To(BeFalse())
		Expect(w.relay.SetTable(matcher.NewTable(2, nil, nil, matcher.Limits{}))).To(BeTrue())
	})

	DescribeTable("decides from the server's answer whether a request is retried",
		func(first handler, method, path string, code, tried int) {
			w := startRelayer(first, signedAnswer("id: 1\ndata: second\n\n"))
			got, _, err := w.send(method, path, "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(code))
			Expect(w.attemptCount()).To(Equal(tried))
		},
		Entry("a write refused as not run is retried", statusOnly(503, "Refused"), "POST", "/write/1", 200, 2),
		Entry("a write at the wrong server is retried", statusOnly(421), "POST", "/write/1", 200, 2),
		Entry("a write whose connection broke is not retried, and not reported as not run", abortConnection, "POST", "/write/1", 502, 1),
		Entry("a write answered 503 without a refusal header may have run", statusOnly(503, "Sign"), "POST", "/write/1", 502, 1),
		Entry("a signed 500 to a write is forwarded", statusOnly(500, "Sign"), "POST", "/write/1", 500, 1),
		Entry("an unsigned 200 to a write is not forwarded", statusOnly(200), "POST", "/write/1", 502, 1),
		Entry("a read whose connection broke is retried", abortConnection, "GET", "/read/1", 200, 2),
		Entry("a read answered 500 is retried", statusOnly(500, "Sign"), "GET", "/read/1", 200, 2),
		Entry("a resumable stream whose connection broke before the first event is retried", abortConnection, "POST", "/chat/1", 200, 2),
		Entry("a stream that is not resumable is not retried", abortConnection, "POST", "/once/1", 502, 1),
	)

	It("refuses a write that every server refused", func() {
		w := startRelayer(statusOnly(503, "Refused"), statusOnly(503, "Refused"))
		code, _, _ := w.send("POST", "/write/1", "x")
		Expect(code).To(Equal(503))
		Expect(w.attemptCount()).To(Equal(2))
	})

	It("logs the state that a refusal was based on", func() {
		w := startRelayer(statusOnly(503, "Refused"), statusOnly(503, "Refused"))
		_, _, _ = w.send("POST", "/write/1", "x")
		Expect(w.logs.FilterMessage("relay: gave up").All()).To(HaveLen(1))
		none := startRelayer()
		_, _, _ = none.send("POST", "/write/1", "x")
		fields := none.logs.FilterMessage("relay: gave up").All()[0].ContextMap()
		Expect(fields).To(And(HaveKeyWithValue("status", "empty"), HaveKeyWithValue("holders", int64(0)), HaveKey("predicted_wait"), HaveKey("others_age_ms")))
	})

	It("resumes a broken stream without missing or repeated events", func() {
		w := startRelayer(streamEvents(5, 3), streamEvents(5, 0))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(200))
		Expect(body).To(Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"))
	})

	It("aborts a broken stream that is not resumable, so that it does not look complete", func() {
		_, body, err := startRelayer(streamEvents(5, 3), streamEvents(5, 0)).send("POST", "/once/1", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(HaveSuffix("data: 3\n\n"))
	})

	It("logs a stream as late after a long pause between events", func() {
		w := startRelayer(func(rw http.ResponseWriter, q *http.Request) {
			streamEvents(2, 0)(rw, q)
			time.Sleep(150 * time.Millisecond)
			_, _ = io.WriteString(rw, "id: 3\ndata: 3\n\n")
		})
		code, _, err := w.send("POST", "/once/1", "x")
		Expect([]any{code, err}).To(Equal([]any{200, nil}))
		Eventually(func() []observer.LoggedEntry { return w.logs.FilterMessage("relay: answered").All() }).Should(HaveLen(1))
		fields := w.logs.FilterMessage("relay: answered").All()[0].ContextMap()
		Expect(fields).To(HaveKeyWithValue("late", true))
		Expect(fields["pause"]).To(BeNumerically(">", 100*time.Millisecond))
	})

	It("moves a request from a silent server to another one", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		hang := func(_ http.ResponseWriter, q *http.Request) {
			select {
			case <-stop:
			case <-q.Context().Done():
			}
		}
		w := startRelayer(hang, signedAnswer("second"))
		code, body, err := w.send("GET", "/read/1", "")
		Expect([]any{code, body, err}).To(Equal([]any{200, "second", nil}))
	})

	// Guards against ending an answer that is in progress when the server that was to
	// take over refuses the request.
	DescribeTable("keeps a silent server's answer until another server has accepted the request",
		func(method, path string, slow handler, want string) {
			w := startRelayer(slow, statusOnly(503, "Refused"))
			code, body, err := w.send(method, path, "")
			Expect([]any{code, body, err}).To(Equal([]any{200, want, nil}))
			Expect(w.requestCounts[1].Load()).To(Equal(int64(1)))
		},
		Entry("in the middle of a stream", "POST", "/chat/1", pausedStream(3, 1, 1750*time.Millisecond), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"),
		Entry("before the first event of a stream", "POST", "/chat/1", pausedStream(2, 0, 1700*time.Millisecond), "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"),
		Entry("before a plain answer", "GET", "/read/1", delayedAnswer(1200*time.Millisecond, "late"), "late"),
	)

	It("continues a stream at another server that accepts it while the first one is silent", func() {
		w := startRelayer(pausedStream(3, 1, 5*time.Second), streamEvents(3, 0))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", nil}))
		Expect(w.attemptCount()).To(Equal(2))
	})

	It("drops the other server when the silent one sends again", func() {
		dropped := make(chan struct{})
		hang := func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			close(dropped)
		}
		w := startRelayer(pausedStream(3, 1, 1750*time.Millisecond), hang)
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", nil}))
		Expect(w.requestCounts[1].Load()).To(Equal(int64(1)))
		Eventually(dropped).Should(BeClosed())
	})

	It("waits for the other server when the silent one breaks off", func() {
		breakOff := func(rw http.ResponseWriter, q *http.Request) {
			streamEvents(1, 0)(rw, q)
			time.Sleep(1750 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		slow := func(rw http.ResponseWriter, q *http.Request) {
			time.Sleep(300 * time.Millisecond)
			streamEvents(3, 0)(rw, q)
		}
		w := startRelayer(breakOff, slow)
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", nil}))
		Expect(w.requestCounts[1].Load()).To(Equal(int64(1)))
	})

	// Guards against repeating requests elsewhere when it is the instance that receives
	// nothing: its own link is full, or its process did not run.
	It("does not take a server for silent while no server is heard", func() {
		w := startRelayer(pausedStream(3, 1, 2400*time.Millisecond), signedAnswer("unused"))
		code, body, err := w.send("POST", "/slow/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", nil}))
		Expect(w.requestCounts[1].Load()).To(BeZero())
	})

	It("waits for a silent server when there is no other one", func() {
		w := startRelayer(func(rw http.ResponseWriter, q *http.Request) {
			time.Sleep(1200 * time.Millisecond)
			signedAnswer("late")(rw, q)
		})
		code, body, _ := w.send("GET", "/read/1", "")
		Expect([]any{code, body}).To(Equal([]any{200, "late"}))
	})

	It("cancels the request at the server when the client disconnects", func() {
		gone := make(chan struct{})
		w := startRelayer(func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			close(gone)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, w.proxy.URL+"/chat/1", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "q1")
		_, err = http.DefaultClient.Do(q)
		Expect(err).To(HaveOccurred())
		Eventually(gone).Should(BeClosed())
	})

	It("retries within its budget", func() {
		w := startRelayer(abortConnection, abortConnection)
		for range 30 {
			_, _, _ = w.send("GET", "/read/1", "")
		}
		Expect(w.attemptCount()).To(BeNumerically("<=", 30+10+6))
	})
})
