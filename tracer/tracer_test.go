package tracer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/tracer"
)

const (
	traceID        = "4bf92f3577b34da6a3ce929d0e0e4736"
	incomingParent = "00-" + traceID + "-00f067aa0ba902b7-01"
)

// incomingContext returns the context of a request with a traceparent header.
func incomingContext() context.Context {
	h := http.Header{}
	h.Set("Traceparent", incomingParent)
	return tracer.Extract(context.Background(), h)
}

var _ = Describe("traces", func() {
	It("continue the client's trace across hops", func(ctx context.Context) {
		var out bytes.Buffer
		p, err := tracer.New(ctx, tracer.Settings{Export: tracer.ExportStdout, SampleRatio: 1, Instance: "e1"}, &out)
		Expect(err).NotTo(HaveOccurred())
		c, span := p.Tracer().Start(incomingContext(), "request")
		sent := tracer.Traceparent(c)
		Expect(sent).To(HavePrefix("00-" + traceID))
		Expect(sent).NotTo(Equal(incomingParent))
		_, inner := p.Tracer().Start(tracer.WithTraceparent(ctx, sent), "peer")
		tracer.EndSpan(inner, errors.New("lost"))
		tracer.EndSpan(span, nil)
		Expect(p.Shutdown(ctx)).To(Succeed())
		Expect(out.String()).To(And(ContainSubstring(`"Name":"request"`), ContainSubstring(`"Name":"peer"`),
			ContainSubstring(traceID), ContainSubstring("lost"), ContainSubstring(`"e1"`)))
	})

	It("are exported to a collector over HTTP", func(ctx context.Context) {
		got := make(chan string, 1)
		collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			got <- q.URL.Path + string(body)
		}))
		DeferCleanup(collector.Close)
		p, err := tracer.New(ctx, tracer.Settings{Export: tracer.ExportOTLP, Endpoint: collector.URL + "/v1/traces", SampleRatio: 1}, nil)
		Expect(err).NotTo(HaveOccurred())
		_, span := p.Tracer().Start(ctx, "request")
		span.End()
		Expect(p.Shutdown(ctx)).To(Succeed())
		Expect(<-got).To(And(HavePrefix("/v1/traces"), ContainSubstring("request")))
	})

	It("are propagated to engines when recording is off", func(ctx context.Context) {
		seen := ""
		engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
			seen = q.Header.Get("Traceparent")
		}))
		DeferCleanup(engine.Close)
		client := &http.Client{Transport: &tracer.Transport{Base: http.DefaultTransport}}
		c, span := tracer.NewNoop().Start(incomingContext(), "request")
		defer span.End()
		q, _ := http.NewRequestWithContext(c, http.MethodGet, engine.URL, http.NoBody)
		p, err := client.Do(q)
		Expect(err).NotTo(HaveOccurred())
		p.Body.Close()
		Expect(seen).To(Equal(incomingParent))
		Expect(q.Header.Get("Traceparent")).To(BeEmpty(), "the caller's request must not be modified")
	})

	It("are rejected with an unknown exporter", func(ctx context.Context) {
		_, err := tracer.New(ctx, tracer.Settings{Export: "paper"}, nil)
		Expect(err).To(HaveOccurred())
	})
})

// BenchmarkOff measures the cost of a hop with tracing off.
func BenchmarkOff(b *testing.B) {
	t, h := tracer.NewNoop(), http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		ctx, span := t.Start(tracer.Extract(context.Background(), h), "request")
		_ = tracer.Traceparent(ctx)
		tracer.EndSpan(span, nil)
	}
}
