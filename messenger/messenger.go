// Package messenger sends requests between the system's own processes over TCP.
// Each request and each reply is one msgpack frame, and one connection carries
// many requests concurrently.
//
// A slow or hostile peer does not affect the others: the bytes queued for it
// and the requests running for it are limited, and its connection is closed if
// reads or writes make no progress for too long.
package messenger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"go.opentelemetry.io/otel/propagation"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/reserver"
	"primrosehook/resetter"
)

// Defaults of the options, and fixed limits.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// clientIdle is shorter than serverIdle, so that the client closes first.
	// If the server closed an idle connection, the outcome of a message sent at
	// that moment would be unknown.
	clientIdle = time.Minute
	serverIdle = 3 * time.Minute
	// maxSilence is how long a peer may leave all calls unanswered before a
	// call that times out closes the connection.
	maxSilence           = 5 * time.Second
	maxQueuedBytes       = 32 << 20
	maxConcurrent        = 4096
	maxConcurrentPerConn = 512
	maxConns             = 1024
	acceptRetryDelay     = 50 * time.Millisecond
	// maxFirstSilence is after how long without a first message a connection may be closed in
	// favor of another one.
	maxFirstSilence = time.Second
)

type options struct {
	clock             clockwork.Clock
	dialer            Dialer
	writeTimeout      time.Duration
	idle              time.Duration
	maxSilence        time.Duration
	queuedBytes       int
	concurrentPerConn int
	conns             int
	memory            *reserver.Reserver
	guard             func(kind string, f func()) bool
}

// Option sets one option of a Client or a Server.
type Option func(*options)

// WithClock sets the clock; the default is the real one.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// Dialer opens connections to peers.
type Dialer interface {
	// Dial opens a connection to an address "IP:port".
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// WithDialer sets how a Client opens connections; the default is TCP.
func WithDialer(d Dialer) Option { return func(o *options) { o.dialer = d } }

// tcpDialer is the default Dialer.
type tcpDialer struct{}

// Dial implements Dialer.
func (tcpDialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// WithWriteTimeout sets the time limit of one write to a connection.
func WithWriteTimeout(d time.Duration) Option { return func(o *options) { o.writeTimeout = d } }

// WithIdle sets how long a connection may stay open without receiving a
// complete message.
func WithIdle(d time.Duration) Option { return func(o *options) { o.idle = d } }

// WithMaxSilence sets how long a peer may leave all calls unanswered before a call
// that times out closes the connection.
func WithMaxSilence(d time.Duration) Option { return func(o *options) { o.maxSilence = d } }

// WithMaxQueuedBytes limits the bytes queued for writing to one peer, and
// separately the bytes of the messages that a Server is handling for it.
func WithMaxQueuedBytes(bytes int) Option { return func(o *options) { o.queuedBytes = bytes } }

// WithMaxConcurrent limits the messages of one connection that a Server handles
// concurrently.
func WithMaxConcurrent(messages int) Option {
	return func(o *options) { o.concurrentPerConn = messages }
}

// WithMemory sets the budget that messages are charged to: those that a Server receives until they
// are handled, and those that wait to be written. Without one they are bounded by connection only.
func WithMemory(m *reserver.Reserver) Option { return func(o *options) { o.memory = m } }

// WithGuard sets what calls the handlers of a Server, by default directly. It reports whether
// f returned; a message whose handler did not is answered as one that may have run.
func WithGuard(call func(kind string, f func()) bool) Option {
	return func(o *options) { o.guard = call }
}

// WithMaxConns limits the open connections of a Server.
func WithMaxConns(count int) Option { return func(o *options) { o.conns = count } }

func newOptions(idle time.Duration, set []Option) options {
	o := options{
		clock:             clockwork.NewRealClock(),
		dialer:            tcpDialer{},
		writeTimeout:      writeTimeout,
		idle:              idle,
		maxSilence:        maxSilence,
		queuedBytes:       maxQueuedBytes,
		concurrentPerConn: maxConcurrentPerConn,
		conns:             maxConns,
	}
	for _, f := range set {
		f(&o)
	}
	return o
}

// Stats holds the traffic counts of a Client or a Server since it was created.
type Stats struct {
	MessagesSent     int64 `json:"messages_sent"`
	MessagesReceived int64 `json:"messages_received"`
	BytesSent        int64 `json:"bytes_sent"`
	BytesReceived    int64 `json:"bytes_received"`
	// Conns is the number of open connections.
	Conns int64 `json:"links"`
}

// Add returns the sum of s and t.
func (s Stats) Add(t Stats) Stats {
	return Stats{
		MessagesSent:     s.MessagesSent + t.MessagesSent,
		MessagesReceived: s.MessagesReceived + t.MessagesReceived,
		BytesSent:        s.BytesSent + t.BytesSent,
		BytesReceived:    s.BytesReceived + t.BytesReceived,
		Conns:            s.Conns + t.Conns,
	}
}

// counters holds the live counts behind Stats.
type counters struct {
	messagesSent, messagesReceived, bytesSent, bytesReceived, conns atomic.Int64
}

func (c *counters) stats() Stats {
	return Stats{
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		Conns:            c.conns.Load(),
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	counters *counters
	// clock tells when bytes are read, nil if nobody asks. readAt is when the last ones
	// were, in nanoseconds since 1970.
	clock  clockwork.Clock
	readAt atomic.Int64
}

// lastRead returns when bytes were read last.
func (m *countingConn) lastRead() time.Time { return time.Unix(0, m.readAt.Load()) }

// Read implements net.Conn.
func (m *countingConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.counters.bytesReceived.Add(int64(n))
	if m.clock != nil && n > 0 {
		m.readAt.Store(m.clock.Now().UnixNano())
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (m *countingConn) SyscallConn() (syscall.RawConn, error) {
	c, ok := m.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return c.SyscallConn()
}

// Reset implements resetter.Resetter.
func (m *countingConn) Reset() error { return resetter.Reset(m.Conn) }

// Write implements net.Conn.
func (m *countingConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.counters.bytesSent.Add(int64(n))
	return n, err
}

// traceKey is the header name of a W3C trace context.
const traceKey = "traceparent"

// injectTrace returns the traceparent of a context's span, or "".
func injectTrace(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceKey]
}

// extractTrace adds a received traceparent to a context.
func extractTrace(ctx context.Context, trace string) context.Context {
	if trace == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceKey: trace})
}

// reply is the body of a reply frame. Code is empty if the call succeeded.
type reply struct {
	Verdict int                `msgpack:"v"`
	Status  int                `msgpack:"s"`
	Code    string             `msgpack:"c,omitempty"`
	Reason  string             `msgpack:"e,omitempty"`
	Retry   time.Duration      `msgpack:"r,omitempty"`
	Body    msgpack.RawMessage `msgpack:"b,omitempty"`
}

// kindReply is the message kind of a reply frame.
const kindReply = "reply"

// maxReason limits the reason in a reply, in bytes.
const maxReason = 1 << 10

// refusalReply returns the reply for a refused message.
func refusalReply(r *judge.Refusal) reply {
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

// Handler handles one kind of message. Its result is encoded as the reply.
type Handler func(ctx context.Context, body msgpack.RawMessage) (any, error)

// registeredHandler is the handler of one kind of message with its options.
type registeredHandler struct {
	handler Handler
	// limit is the largest accepted body in bytes.
	limit int
}

// HandleOption sets one option of a message kind.
type HandleOption func(*registeredHandler)

// WithMaxBody limits the body of a message kind, in bytes. A larger one is refused as
// not run before it is decoded. A frame may have 16 MB, which is far too much
// for a kind whose decoded content is kept: a ping, for example, is under 1 KB.
func WithMaxBody(limit int) HandleOption { return func(h *registeredHandler) { h.limit = limit } }

// Server accepts connections and handles messages.
type Server struct {
	log      *zap.Logger
	options  options
	counters counters
	slots    chan struct{}

	mu       sync.Mutex
	handlers map[string]registeredHandler
	streams  map[string]StreamHandler
	// silent are the connections that have brought no message yet, with when they were accepted.
	silent map[*serverConn]time.Time
	lines  reserver.Sampler
}

// NewServer returns a server without handlers.
func NewServer(log *zap.Logger, set ...Option) *Server {
	return &Server{
		log:      log,
		options:  newOptions(serverIdle, set),
		slots:    make(chan struct{}, maxConcurrent),
		handlers: map[string]registeredHandler{},
		streams:  map[string]StreamHandler{},
		silent:   map[*serverConn]time.Time{},
	}
}

// Handle sets the handler of a message kind.
func (s *Server) Handle(kind string, h Handler, set ...HandleOption) {
	one := registeredHandler{handler: h, limit: framer.MaxFrame}
	for _, f := range set {
		f(&one)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = one
}

// Stats returns the traffic counts.
func (s *Server) Stats() Stats { return s.counters.stats() }

func (s *Server) handler(kind string) (registeredHandler, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handlers[kind]
	return h, ok
}
