// Package messenger carries requests between the system's own processes over
// TCP, one msgpack frame each way, many at once on one connection.
//
// A peer that is slow or hostile costs others nothing: what waits to be
// written to it is bounded in bytes, what it may have in work is bounded in
// number, and one that neither reads nor writes for too long is cut off.
package messenger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
)

// Defaults of the options.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// clientIdle is shorter than serverIdle, so that the client closes first:
	// a message that meets a close of the server would be in doubt.
	clientIdle = time.Minute
	serverIdle = 3 * time.Minute
	// maxSilence is how long a peer may leave all calls unanswered before a
	// call that gives up closes the connection.
	maxSilence = 5 * time.Second
	maxQueued  = 32 << 20
	maxServing = 4096
	maxOfLink  = 512
	maxLinks   = 1024
	acceptWait = 50 * time.Millisecond
)

type options struct {
	clock        clockwork.Clock
	writeTimeout time.Duration
	idle         time.Duration
	silence      time.Duration
	queued       int
	ofLink       int
	links        int
}

// Option sets one option of a Client or a Server.
type Option func(*options)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithWriteTimeout sets how long one write may take.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// WithIdle sets how long a connection may be without a whole message read.
func WithIdle(d time.Duration) Option { return func(o *options) { o.idle = d } }

// WithSilence sets how long a peer may leave all calls unanswered before a call
// that gives up closes the connection.
func WithSilence(d time.Duration) Option { return func(o *options) { o.silence = d } }

// WithQueue sets how many bytes may wait to be written to one peer, and be in
// work for it.
func WithQueue(bytes int) Option { return func(o *options) { o.queued = bytes } }

// WithServing sets how many messages of one connection a Server works on.
func WithServing(messages int) Option { return func(o *options) { o.ofLink = messages } }

// WithLinks sets how many connections a Server keeps.
func WithLinks(count int) Option { return func(o *options) { o.links = count } }

func newOptions(idle time.Duration, set []Option) options {
	o := options{
		clock:        clockwork.NewRealClock(),
		writeTimeout: writeTimeout,
		idle:         idle,
		silence:      maxSilence,
		queued:       maxQueued,
		ofLink:       maxOfLink,
		links:        maxLinks,
	}
	for _, f := range set {
		f(&o)
	}
	return o
}

// Stats counts the traffic of a Client or a Server since its start.
type Stats struct {
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	// Links is how many connections are open.
	Links int64 `json:"links"`
}

// Add returns the sum of two counts.
func (s Stats) Add(t Stats) Stats {
	return Stats{
		MessagesSent:     s.MessagesSent + t.MessagesSent,
		MessagesReceived: s.MessagesReceived + t.MessagesReceived,
		BytesSent:        s.BytesSent + t.BytesSent,
		BytesReceived:    s.BytesReceived + t.BytesReceived,
		Links:            s.Links + t.Links,
	}
}

// counters are Stats while they grow.
type counters struct {
	messagesSent, messagesReceived, bytesSent, bytesReceived, links atomic.Int64
}

func (c *counters) stats() Stats {
	return Stats{
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		Links:            c.links.Load(),
	}
}

// metered counts the bytes of a connection.
type metered struct {
	net.Conn
	counters *counters
}

// Read implements net.Conn.
func (m *metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.counters.bytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (m *metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.counters.bytesSent.Add(int64(n))
	return n, err
}

// traceKey is the header of a W3C trace context.
const traceKey = "traceparent"

// traceOf returns the trace context to send along.
func traceOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceKey]
}

// withTrace puts a trace context that came along into a context.
func withTrace(ctx context.Context, trace string) context.Context {
	if trace == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceKey: trace})
}

// reply is the body of an answer.
type reply struct {
	Verdict int                `msgpack:"v"`
	Status  int                `msgpack:"s"`
	Code    string             `msgpack:"c,omitempty"`
	Reason  string             `msgpack:"e,omitempty"`
	Retry   time.Duration      `msgpack:"r,omitempty"`
	Body    msgpack.RawMessage `msgpack:"b,omitempty"`
}

// kindReply is the kind of an answer's frame.
const kindReply = "reply"

// maxReason bounds the reason in an answer, in bytes.
const maxReason = 1 << 10

func refused(r *judge.Refusal) reply {
	status := r.Status
	if status == 0 {
		status = http.StatusBadGateway
	}
	code := r.Code
	if code == "" {
		code = "refused"
	}
	reason := r.Reason[:min(len(r.Reason), maxReason)]
	return reply{Verdict: int(r.Verdict), Status: status, Code: code, Reason: reason, Retry: r.RetryAfter}
}

// Handler answers one kind of message. What it returns is encoded as reply.
type Handler func(ctx context.Context, body msgpack.RawMessage) (any, error)

// handling is how one kind of message is answered.
type handling struct {
	handler Handler
	// limit is the largest body in bytes.
	limit int
}

// HandleOption sets one option of a kind of message.
type HandleOption func(*handling)

// UpTo bounds the body of a kind of message, in bytes. A larger one is refused
// as not run before it is decoded. Example: a ping is under 1 KB, but a frame
// may be 16 MB, and what a ping holds is kept.
func UpTo(limit int) HandleOption { return func(h *handling) { h.limit = limit } }

// Server answers messages.
type Server struct {
	log      *zap.Logger
	options  options
	counters counters
	serving  chan struct{}

	mu       sync.Mutex
	handlers map[string]handling
}

// NewServer returns a server without handlers.
func NewServer(log *zap.Logger, set ...Option) *Server {
	return &Server{
		log:      log,
		options:  newOptions(serverIdle, set),
		serving:  make(chan struct{}, maxServing),
		handlers: map[string]handling{},
	}
}

// Handle sets the handler of a kind.
func (s *Server) Handle(kind string, h Handler, set ...HandleOption) {
	one := handling{handler: h, limit: framer.MaxFrame}
	for _, f := range set {
		f(&one)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = one
}

// Stats returns the counts.
func (s *Server) Stats() Stats { return s.counters.stats() }

func (s *Server) handler(kind string) (handling, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handlers[kind]
	return h, ok
}
