package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"primrosehook/balancer"
	"primrosehook/matcher"
	"primrosehook/quarantiner"
	"primrosehook/registrar"
	"primrosehook/relayer"
)

// codec speaks plain headers of its own.
type codec struct{}

func (codec) Request(h http.Header) (relayer.Meta, bool) {
	return relayer.Meta{ID: h.Get("Id"), Model: h.Get("Model"), LastEvent: h.Get("Last")}, h.Get("Id") != ""
}

func (codec) Forward(h http.Header, s relayer.Send) http.Header {
	out := http.Header{"Id": h["Id"], "Left": {s.Left.String()}, "Server": {s.Server}}
	if s.LastEvent != "" {
		out.Set("Last", s.LastEvent)
	}
	return out
}

func (codec) Answer(status int, h http.Header) relayer.Facts {
	return relayer.Facts{ID: h.Get("Id"), Signed: h.Get("Sign") != "", Refused: h.Get("Refused") != "" || status == 421, Absent: status == 421}
}

func (codec) Back(h http.Header) http.Header { return http.Header{"Sign": h["Sign"]} }

type handler = func(w http.ResponseWriter, q *http.Request)

func good(body string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Sign", "s")
		_, _ = io.WriteString(w, body)
	}
}

func status(code int, set ...string) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		for _, name := range set {
			w.Header().Set(name, "1")
		}
		w.WriteHeader(code)
	}
}

func reset(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events streams events from the one after Last to the last, and breaks off
// after some, if that is set.
func events(last, broken int) handler {
	return func(w http.ResponseWriter, q *http.Request) {
		from := 0
		_, _ = fmt.Sscan(q.Header.Get("Last"), &from)
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Sign", "s")
		for i := from + 1; i <= last; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if i == broken {
				_, _ = io.WriteString(w, "id: 9\nda")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}
	}
}

type world struct {
	front  *httptest.Server
	fleet  *balancer.Fleet
	relay  *relayer.Relayer
	counts []*atomic.Int64
	logs   *observer.ObservedLogs
}

// serve starts a relayer before upstreams. Routes: /read/ idempotent, /write/
// nonidempotent, /chat/ resumable stream, /once/ stream.
func serve(handlers ...handler) *world {
	clock := clockwork.NewRealClock()
	core, logs := observer.New(zap.InfoLevel)
	w := &world{fleet: balancer.NewFleet("z", 1, clock), logs: logs}
	var list []registrar.Server
	for i, h := range handlers {
		n := &atomic.Int64{}
		w.counts = append(w.counts, n)
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, q *http.Request) { n.Add(1); h(rw, q) }))
		DeferCleanup(s.Close)
		id := fmt.Sprintf("s%d", i)
		list = append(list, registrar.Server{ID: id, Life: id, Service: "svc", Address: s.Listener.Addr().String(), Zone: fmt.Sprintf("z%d", i), Slots: 8})
	}
	// The first upstream is in the instance's zone, so that it is tried first.
	if len(list) > 0 {
		list[0].Zone = "z"
	}
	w.fleet.Update(list)
	w.relay = relayer.New(codec{}, w.fleet, quarantiner.NewGuard(clock, quarantiner.Standard()), clock, zap.New(core), relayer.WithRetries(10*time.Second, 0.2, 10))
	route := func(prefix string, kind matcher.Kind, attempts int, resumable bool) matcher.Route {
		return matcher.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Attempts: attempts, Resumable: resumable,
			Timeout: 2 * time.Second, Target: 200 * time.Millisecond, Gap: 100 * time.Millisecond, Splits: []matcher.Split{{Service: "svc", Weight: 1}},
		}
	}
	w.relay.Use(matcher.NewTable(1, []matcher.Route{
		route("/read/", matcher.Idempotent, 2, false), route("/write/", matcher.NonIdempotent, 2, false),
		route("/chat/", matcher.Streaming, 2, true), route("/once/", matcher.Streaming, 2, false),
	}, []matcher.Service{{Name: "svc"}}, matcher.Limits{Body: 1 << 20}))
	w.front = httptest.NewServer(w.relay)
	DeferCleanup(w.front.Close)
	return w
}

func (w *world) send(method, path, body string, set ...string) (int, string, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, w.front.URL+path, strings.NewReader(body))
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

func (w *world) tried() int {
	n := 0
	for _, c := range w.counts {
		n += int(c.Load())
	}
	return n
}

var _ = Describe("Relayer", func() {
	It("passes an answer on unchanged", func() {
		code, body, err := serve(good("body")).send("POST", "/write/1", "x")
		Expect([]any{code, body, err}).To(Equal([]any{200, "body", nil}))
	})

	It("answers 404 without a route, 400 without an id, 413 to a body over the limit", func() {
		w := serve(good("body"))
		code, _, _ := w.send("GET", "/none/1", "")
		Expect(code).To(Equal(404))
		code, _, _ = w.send("GET", "/read/1", "", "Id", "")
		Expect(code).To(Equal(400))
		code, _, _ = w.send("POST", "/write/1", strings.Repeat("x", 1<<20+1))
		Expect(code).To(Equal(413))
		Expect(w.tried()).To(BeZero())
	})

	It("refuses with a time to come back while no table is known", func() {
		clock := clockwork.NewRealClock()
		r := relayer.New(codec{}, balancer.NewFleet("z", 1, clock), quarantiner.NewGuard(clock, quarantiner.Standard()), clock, zap.NewNop())
		rec := httptest.NewRecorder()
		r.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/read/1", nil))
		Expect(rec.Code).To(Equal(503))
		Expect(rec.Header().Get("Retry-After")).NotTo(BeEmpty())
	})

	It("does not go back to an older table", func() {
		w := serve(good("body"))
		Expect(w.relay.Use(matcher.NewTable(1, nil, nil, matcher.Limits{}))).To(BeFalse())
		Expect(w.relay.Use(matcher.NewTable(2, nil, nil, matcher.Limits{}))).To(BeTrue())
	})

	DescribeTable("decides from what the server said whether a request may go on",
		func(first handler, method, path string, code, tried int) {
			w := serve(first, good("second"))
			got, _, err := w.send(method, path, "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(code))
			Expect(w.tried()).To(Equal(tried))
		},
		Entry("a write that was refused as not run goes on", status(503, "Refused"), "POST", "/write/1", 200, 2),
		Entry("a write at the wrong server goes on", status(421), "POST", "/write/1", 200, 2),
		Entry("a write whose connection broke does not, and is not called not run", reset, "POST", "/write/1", 502, 1),
		Entry("a 503 that does not say so may have run", status(503, "Sign"), "POST", "/write/1", 502, 1),
		Entry("a write that failed is passed on as it is", status(500, "Sign"), "POST", "/write/1", 500, 1),
		Entry("an unsigned success is none", status(200), "POST", "/write/1", 502, 1),
		Entry("a read whose connection broke goes on", reset, "GET", "/read/1", 200, 2),
		Entry("a read that failed goes on", status(500, "Sign"), "GET", "/read/1", 200, 2),
		Entry("a stream that broke before its first event goes on if it can be resumed", reset, "POST", "/chat/1", 200, 2),
		Entry("a stream that can't be resumed does not", reset, "POST", "/once/1", 502, 1),
	)

	It("refuses a write that no server took, and says when to come back", func() {
		w := serve(status(503, "Refused"), status(503, "Refused"))
		code, _, _ := w.send("POST", "/write/1", "x")
		Expect(code).To(Equal(503))
		Expect(w.tried()).To(Equal(2))
	})

	It("logs what a refusal was made from", func() {
		w := serve(status(503, "Refused"), status(503, "Refused"))
		_, _, _ = w.send("POST", "/write/1", "x")
		Expect(w.logs.FilterMessage("relay: gave up").All()).To(HaveLen(1))
		none := serve()
		_, _, _ = none.send("POST", "/write/1", "x")
		fields := none.logs.FilterMessage("relay: gave up").All()[0].ContextMap()
		Expect(fields).To(And(HaveKeyWithValue("status", "empty"), HaveKeyWithValue("holders", int64(0)), HaveKey("predicted_wait"), HaveKey("others_age_ms")))
	})

	It("resumes a stream that broke off, without a gap or a repeat", func() {
		w := serve(events(5, 3), events(5, 0))
		code, body, err := w.send("POST", "/chat/1", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(200))
		Expect(body).To(Equal("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"))
	})

	It("cuts a stream that can't be resumed, so that it does not look whole", func() {
		_, body, err := serve(events(5, 3), events(5, 0)).send("POST", "/once/1", "x")
		Expect(err).To(HaveOccurred())
		Expect(body).To(HaveSuffix("data: 3\n\n"))
	})

	It("logs a stream that was late by a pause between events", func() {
		w := serve(func(rw http.ResponseWriter, q *http.Request) {
			events(2, 0)(rw, q)
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

	It("leaves a silent server for another one", func() {
		stop := make(chan struct{})
		DeferCleanup(func() { close(stop) })
		hang := func(_ http.ResponseWriter, q *http.Request) {
			select {
			case <-stop:
			case <-q.Context().Done():
			}
		}
		w := serve(hang, good("second"))
		code, body, err := w.send("GET", "/read/1", "")
		Expect([]any{code, body, err}).To(Equal([]any{200, "second", nil}))
	})

	It("waits for a silent server to the end when there is no other one", func() {
		w := serve(func(rw http.ResponseWriter, q *http.Request) {
			time.Sleep(1200 * time.Millisecond)
			good("late")(rw, q)
		})
		code, body, _ := w.send("GET", "/read/1", "")
		Expect([]any{code, body}).To(Equal([]any{200, "late"}))
	})

	It("stops work at the server when the client leaves", func() {
		gone := make(chan struct{})
		w := serve(func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
			close(gone)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/chat/1", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		q.Host = "h"
		q.Header.Set("Id", "q1")
		_, err = http.DefaultClient.Do(q)
		Expect(err).To(HaveOccurred())
		Eventually(gone).Should(BeClosed())
	})

	It("retries no more than its share", func() {
		w := serve(reset, reset)
		for range 30 {
			_, _, _ = w.send("GET", "/read/1", "")
		}
		Expect(w.tried()).To(BeNumerically("<=", 30+10+6))
	})
})
