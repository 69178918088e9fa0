package driver_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/judge"
	"primrosehook/sender"
)

// engine gives a fixed answer and counts orders and cancels.
type engine struct {
	status  int
	header  http.Header
	body    string
	cut     bool
	orders  atomic.Int64
	cancels atomic.Int64
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.Method {
	case http.MethodPost:
		e.orders.Add(1)
	case http.MethodDelete:
		e.cancels.Add(1)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	for name, values := range e.header {
		w.Header()[name] = values
	}
	w.WriteHeader(e.status)
	_, _ = io.WriteString(w, e.body)
	if e.cut {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func start(e *engine) *driver.Client {
	s := httptest.NewServer(e)
	DeferCleanup(s.Close)
	return driver.NewClient(strings.TrimPrefix(s.URL, "http://"), sender.NewClient())
}

const (
	first = `{"offset":0,"text":"a "}` + "\n"
	last  = `{"offset":1,"text":"b ","finish":"stop"}` + "\n"
)

var _ = Describe("Client", func() {
	verdict := func(v judge.Verdict) http.Header { return http.Header{judge.Header: {v.String()}} }

	DescribeTable("returns the verdict and retry time of a refusal", func(ctx context.Context, status int, header http.Header, want judge.Verdict, retry time.Duration) {
		client := start(&engine{status: status, header: header, body: " no \n"})
		_, err := client.Generate(ctx, driver.Request{ID: "a"})
		r := judge.As(err)
		Expect(r.Verdict).To(Equal(want))
		Expect(r.Status).To(Equal(status))
		Expect(r.Reason).To(Equal("no"))
		Expect(r.RetryAfter).To(Equal(retry))
		Expect(judge.Of(client.Order(ctx, driver.Order{ID: "1"}))).To(Equal(want))
	},
		Entry("with verdict not run", http.StatusServiceUnavailable, verdict(judge.NotRun), judge.NotRun, time.Second),
		Entry("with verdict ran", http.StatusInternalServerError, verdict(judge.Ran), judge.Ran, time.Second),
		Entry("without a verdict", http.StatusServiceUnavailable, nil, judge.MayHaveRun, time.Second),
		Entry("with an unknown verdict", http.StatusConflict, http.Header{judge.Header: {"maybe"}}, judge.MayHaveRun, time.Duration(0)),
		Entry("with a retry time", http.StatusTooManyRequests,
			http.Header{judge.Header: {"not-run"}, "Retry-After": {"7"}}, judge.NotRun, 7*time.Second),
		Entry("with a retry time over the limit", http.StatusTooManyRequests,
			http.Header{judge.Header: {"not-run"}, "Retry-After": {"999999"}}, judge.NotRun, time.Minute),
	)

	It("reads a stream to its last token and closes it without a cancel", func(ctx context.Context) {
		e := &engine{status: http.StatusOK, body: first + last}
		s, err := start(e).Generate(ctx, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		for _, want := range []string{"a ", "b "} {
			t, err := s.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(t.Text).To(Equal(want))
		}
		_, err = s.Next()
		Expect(errors.Is(err, io.EOF)).To(BeTrue())
		Expect(s.Close()).To(Succeed())
		Consistently(e.cancels.Load, "50ms").Should(BeZero())
	})

	DescribeTable("decodes each form of a line as encoding/json does", func(ctx context.Context, line string) {
		s, err := start(&engine{status: http.StatusOK, body: "\n \r\n" + line + "\n" + last}).Generate(ctx, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		var want driver.Token
		bad := json.Unmarshal([]byte(line), &want) != nil
		got, err := s.Next()
		Expect(err != nil).To(Equal(bad))
		if !bad {
			Expect(got).To(Equal(want))
		}
	},
		Entry("in the usual form", `{"offset":17,"text":"room "}`),
		Entry("with spaces", `{ "offset": 17, "text": "room " }`),
		Entry("with letters outside ASCII", `{"offset":0,"text":"één 房"}`),
		Entry("with a carriage return at its end", `{"offset":17,"text":"room "}`+"\r"),
		Entry("with invalid UTF-8", "{\"offset\":0,\"text\":\"\xff\"}"),
		Entry("with escapes", `{"offset":0,"text":"a\n\u00e9"}`),
		Entry("with a quote", `{"offset":0,"text":"a\"}"}`),
		Entry("with two texts", `{"offset":0,"text":"a","text":"b"}`),
		Entry("without text", `{"offset":3}`),
		Entry("with a load", `{"offset":3,"text":"a","load":{"running":2}}`),
		Entry("with a leading zero", `{"offset":03,"text":"a"}`),
		Entry("with a sign", `{"offset":-3,"text":"a"}`),
		Entry("with a number that overflows", `{"offset":99999999999999999999,"text":"a"}`),
		Entry("with a control character", "{\"offset\":0,\"text\":\"a\tb\"}"),
		Entry("with trailing data", `{"offset":0,"text":"a"}{"offset":1,"text":"a"}`),
		Entry("that is truncated", `{"offset":0,"text":"a`),
		Entry("that is long", `{"offset":0,"text":"`+strings.Repeat("a", 5000)+`"}`),
	)

	It("limits the length of a line", func(ctx context.Context) {
		s, err := start(&engine{status: http.StatusOK, body: strings.Repeat("a", 4<<20)}).Generate(ctx, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).To(MatchError(ContainSubstring("too long")))
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		Expect(s.Close()).To(Succeed())
	})

	It("is ready for a complete token but not for part of one", func(ctx context.Context) {
		s, err := start(&engine{status: http.StatusOK, body: first + first + "\n" + last[:20], cut: true}).Generate(ctx, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		for _, want := range []bool{true, false} {
			_, err = s.Next()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.Ready()).To(Equal(want))
		}
	})

	DescribeTable("reports a stream without its last token as cut and does not cancel it",
		func(ctx context.Context, e *engine) {
			s, err := start(e).Generate(ctx, driver.Request{ID: "a"})
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Next()
			Expect(err).NotTo(HaveOccurred())
			_, err = s.Next()
			Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
			Expect(errors.Is(err, io.EOF)).To(BeFalse(), "it must not look like a complete answer")
			Expect(s.Close()).To(Succeed())
			Consistently(e.cancels.Load, "50ms").Should(BeZero())
		},
		Entry("after a broken connection", &engine{status: http.StatusOK, body: first, cut: true}),
		Entry("after a clean end of the connection", &engine{status: http.StatusOK, body: first}),
		Entry("after a malformed line", &engine{status: http.StatusOK, body: first + "{]"}),
	)

	It("cancels a stream once when it is closed early", func(ctx context.Context) {
		e := &engine{status: http.StatusOK, body: first + last}
		s, err := start(e).Generate(ctx, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		Expect(s.Close()).To(Succeed())
		Eventually(e.cancels.Load, "10s").Should(BeEquivalentTo(1))
	})

	It("cancels a stream when it is closed after the caller has left", func(ctx context.Context) {
		e := &engine{status: http.StatusOK, body: first}
		left, leave := context.WithCancel(ctx)
		s, err := start(e).Generate(left, driver.Request{ID: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		leave()
		_, err = s.Next()
		Expect(err).To(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		Eventually(e.cancels.Load, "10s").Should(BeEquivalentTo(1))
	})

	It("sends an order once over a connection that breaks", func(ctx context.Context) {
		e := &engine{status: http.StatusAccepted}
		client := start(e)
		Expect(client.Order(ctx, driver.Order{ID: "1"})).To(Succeed())
		e.cut = true
		e.status = http.StatusOK
		e.body = "{"
		_, err := client.Report(ctx)
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		Expect(e.orders.Load()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("Prefixes", func() {
	It("returns equal hashes for two prompts up to the first block that differs", func() {
		one := strings.Repeat("a", driver.PrefixBlock) + strings.Repeat("b", driver.PrefixBlock)
		two := strings.Repeat("a", driver.PrefixBlock) + strings.Repeat("c", driver.PrefixBlock) + "rest"
		p, q := driver.Prefixes("m", one), driver.Prefixes("m", two)
		Expect(p).To(HaveLen(2))
		Expect(q).To(HaveLen(2))
		Expect(p[0]).To(Equal(q[0]))
		Expect(p[1]).NotTo(Equal(q[1]))
		Expect(driver.Prefixes("other", one)[0]).NotTo(Equal(p[0]))
		Expect(driver.Prefixes("m", "short")).To(BeEmpty())
	})
})
