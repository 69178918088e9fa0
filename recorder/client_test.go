package recorder_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/recorder"
	"primrosehook/sender"
)

// fakeLog gives a fixed answer and counts the requests.
type fakeLog struct {
	status  int
	verdict string
	body    string
	cut     atomic.Bool
	appends atomic.Int64
}

func (l *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	l.appends.Add(1)
	if l.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	if l.verdict != "" {
		w.Header().Set(judge.Header, l.verdict)
	}
	w.WriteHeader(l.status)
	_, _ = io.WriteString(w, l.body)
}

func start(l *fakeLog) (*recorder.Client, *httptest.Server) {
	s := httptest.NewServer(l)
	DeferCleanup(s.Close)
	return recorder.NewClient(s.URL, sender.NewClient()), s
}

// Package faker tests the faults of a complete log service with this client.
var _ = Describe("Append", func() {
	DescribeTable("returns the verdict that fits the response", func(ctx context.Context, l *fakeLog, want judge.Verdict) {
		client, _ := start(l)
		_, err := client.Append(ctx, "a", []byte("x"))
		Expect(err).To(HaveOccurred())
		Expect(judge.Of(err)).To(Equal(want))
	},
		Entry("for a refusal with a verdict", &fakeLog{status: http.StatusServiceUnavailable, verdict: "not-run"}, judge.NotRun),
		Entry("for a refusal without a verdict", &fakeLog{status: http.StatusServiceUnavailable}, judge.MayHaveRun),
		Entry("for a rate limit", &fakeLog{status: http.StatusTooManyRequests}, judge.NotRun),
		Entry("for an internal error", &fakeLog{status: http.StatusInternalServerError}, judge.MayHaveRun),
		Entry("for a response that was cut", &fakeLog{status: http.StatusOK, body: `{"offset":`}, judge.MayHaveRun),
		Entry("for a response without an offset", &fakeLog{status: http.StatusOK, body: `{}`}, judge.MayHaveRun),
	)

	It("accepts offset 0", func(ctx context.Context) {
		client, _ := start(&fakeLog{status: http.StatusOK, body: `{"offset":0}`})
		offset, err := client.Append(ctx, "a/b", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(offset).To(BeZero())
	})

	It("sends a record once over a reused connection that breaks", func(ctx context.Context) {
		l := &fakeLog{status: http.StatusOK, body: `{"offset":1}`}
		client, _ := start(l)
		_, err := client.Append(ctx, "a", []byte("x"))
		Expect(err).NotTo(HaveOccurred())
		l.cut.Store(true)
		_, err = client.Append(ctx, "a", []byte("y"))
		Expect(judge.Of(err)).To(Equal(judge.MayHaveRun))
		Expect(l.appends.Load()).To(BeEquivalentTo(2))
	})

	It("returns verdict not run if the log service does not listen", func(ctx context.Context) {
		client, s := start(&fakeLog{})
		s.Close()
		_, err := client.Append(ctx, "a", []byte("x"))
		Expect(judge.Of(err)).To(Equal(judge.NotRun))
	})
})

var _ = Describe("Read", func() {
	It("fails on a response that was cut", func(ctx context.Context) {
		client, _ := start(&fakeLog{status: http.StatusOK, body: `{"first":0,"records":[{`})
		_, err := client.Read(ctx, "a", 0, 10, time.Second)
		Expect(err).To(HaveOccurred())
	})

	// Guards against a sequence of records, each within its limit, that can never be read.
	It("reads fewer records if they are too large together", func(ctx context.Context) {
		one := `{"offset":0,"data":"` + base64.StdEncoding.EncodeToString(make([]byte, 1<<20)) + `"}`
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			limit, _ := strconv.Atoi(q.FormValue("max"))
			_, _ = fmt.Fprintf(w, `{"first":0,"next":32,"records":[%s%s]}`, one, strings.Repeat(","+one, limit-1))
		}))
		DeferCleanup(s.Close)
		batch, err := recorder.NewClient(s.URL, sender.NewClient()).Read(ctx, "s", 0, 32, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(1))
		Expect(batch.Records[0].Data).To(HaveLen(1 << 20))
	})

	It("fails on a refusal", func(ctx context.Context) {
		client, _ := start(&fakeLog{status: http.StatusServiceUnavailable})
		_, err := client.Read(ctx, "a", 0, 10, time.Second)
		Expect(err).To(HaveOccurred())
	})
})
