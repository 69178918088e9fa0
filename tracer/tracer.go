// Package tracer creates spans and propagates the W3C trace context over HTTP and in
// messages between instances.
//
// With tracing off no spans are recorded, but the trace context of a client's request
// is still propagated to engines and services, so that their spans join its trace.
package tracer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
)

// Values of Settings.Export.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

// Limits of the export. Spans are dropped while the queue is full, so that requests
// never wait for the exporter.
const (
	exportTimeout  = 5 * time.Second
	maxQueuedSpans = 4096
)

// scopeName is the instrumentation scope and the service name of all spans.
const scopeName = "primrosehook"

// Settings configures the export of spans and the instance that they are attributed
// to.
type Settings struct {
	// Export is one of the Export constants.
	Export string
	// Endpoint is the URL of the OTLP/HTTP collector.
	Endpoint string
	// SampleRatio is the share of requests without a trace context that start a
	// trace, from 0 to 1.
	SampleRatio float64
	Instance    string
	Zone        string
	Version     string
}

// Provider creates tracers and exports their spans. Its zero value records nothing.
type Provider struct {
	sdk *sdk.TracerProvider
}

// New returns a provider. With ExportStdout, spans are written to stdout. An empty
// Export means ExportNone.
func New(ctx context.Context, s Settings, stdout io.Writer) (*Provider, error) {
	var exporter sdk.SpanExporter
	var err error
	switch s.Export {
	case ExportNone, "":
		return &Provider{}, nil
	case ExportStdout:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case ExportOTLP:
		exporter, err = otlptracehttp.New(ctx,
			otlptracehttp.WithEndpointURL(s.Endpoint), otlptracehttp.WithTimeout(exportTimeout))
	default:
		return nil, eris.Errorf("trace export %q is unknown", s.Export)
	}
	if err != nil {
		return nil, eris.Wrap(err, "trace exporter")
	}
	return &Provider{sdk: sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithExportTimeout(exportTimeout)),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", scopeName),
			attribute.String("service.version", s.Version),
			attribute.String("service.instance.id", s.Instance),
			attribute.String("cloud.availability_zone", s.Zone),
		)),
	)}, nil
}

// LogErrors logs failures of the export. By default they go to standard error, where they
// block the export while nobody reads that.
func LogErrors(log *zap.Logger) {
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Warn("tracer: spans were not exported", zap.Error(err))
	}))
}

// Tracer returns a tracer. It records nothing if tracing is off.
func (p *Provider) Tracer() trace.Tracer {
	if p.sdk == nil {
		return NewNoop()
	}
	return p.sdk.Tracer(scopeName)
}

// Shutdown exports the remaining spans and stops the export. It gives up after
// exportTimeout, since standard output may have no reader.
func (p *Provider) Shutdown(ctx context.Context) error {
	if p.sdk == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	return eris.Wrap(p.sdk.Shutdown(ctx), "trace export")
}

// NewNoop returns a tracer that records nothing.
func NewNoop() trace.Tracer { return noop.NewTracerProvider().Tracer(scopeName) }

// propagator encodes and decodes trace contexts in the W3C format.
var propagator = propagation.TraceContext{}

// Extract returns ctx with the trace context in a request's headers, if there is one.
func Extract(ctx context.Context, h http.Header) context.Context {
	if h.Get("Traceparent") == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject adds the trace context of ctx to the headers of a request.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Traceparent returns the traceparent of ctx for a message to a peer, or "" if ctx
// has no trace context.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// WithTraceparent returns ctx with the trace context in a peer's traceparent. An empty
// traceparent leaves ctx unchanged.
func WithTraceparent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
}

// EndSpan ends a span. A non-nil error is recorded and marks the span as failed.
func EndSpan(span trace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Transport is an HTTP transport that adds the trace context to requests to engines.
// Requests to plain services get the header from their caller instead: package sender
// needs the underlying transport to tell which requests were not sent.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It adds headers to a clone, since the
// interface forbids modifying the request.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	if trace.SpanContextFromContext(q.Context()).IsValid() {
		q = q.Clone(q.Context())
		Inject(q.Context(), q.Header)
	}
	return t.Base.RoundTrip(q)
}

// Unwrap returns the underlying transport, which receives each request exactly once.
func (t *Transport) Unwrap() http.RoundTripper { return t.Base }
