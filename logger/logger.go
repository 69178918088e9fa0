// Package logger writes log lines without ever blocking the caller.
//
// Lines wait in a bounded queue for one goroutine that writes them. Lines are dropped
// while the queue is full or the rate limit is exceeded, and lost if the output fails.
// They are counted, and the count is logged.
package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue. A line has about 300 bytes.
	queueLines = 1024
	// lineRate is the rate limit of a process in lines per second, and lineBurst its
	// burst in lines. At 300 bytes a line the rate is 60 KB/s.
	lineRate  = 200
	lineBurst = 600
	// reportInterval is the interval at which the number of dropped lines is logged.
	reportInterval = time.Second
)

// Writer writes lines to an output through a bounded queue. It implements
// zapcore.WriteSyncer and is safe for concurrent use.
type Writer struct {
	out     io.Writer
	clock   clockwork.Clock
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// Option configures a writer.
type Option func(*Writer)

// WithoutRateLimit drops lines only while the queue is full.
func WithoutRateLimit() Option { return func(w *Writer) { w.limit.SetLimit(rate.Inf) } }

// NewWriter returns a writer to an output. The caller must call Run in a goroutine of
// its own.
func NewWriter(out io.Writer, clock clockwork.Clock, set ...Option) *Writer {
	w := &Writer{
		out: out, clock: clock, lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(lineRate, lineBurst), done: make(chan struct{}), stop: make(chan struct{}),
	}
	for _, f := range set {
		f(w)
	}
	return w
}

// New returns a logger that writes JSON lines to a writer.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, level))
}

// Write queues one line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.AllowN(w.clock.Now(), 1) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: only Close waits for queued
// lines.
func (*Writer) Sync() error { return nil }

// Dropped returns the number of dropped and lost lines that have not been reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Total returns the number of lines dropped or lost since the start.
func (w *Writer) Total() int64 { return w.total.Load() + w.dropped.Load() }

// Run writes lines until Close.
func (w *Writer) Run() { w.run() }

func (w *Writer) run() {
	defer close(w.done)
	t := w.clock.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-t.Chan():
			w.reportDropped()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	// An error of the log's own output can't be logged anywhere.
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

func (w *Writer) reportDropped() {
	n := w.dropped.Load()
	if n == 0 {
		return
	}
	_, err := fmt.Fprintf(w.out, "{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"log: lines were dropped\",\"count\":%d}\n",
		float64(w.clock.Now().UnixMilli())/1000, n)
	if err != nil {
		return // reported once the output works again
	}
	w.dropped.Add(-n)
	w.total.Add(n)
}

// Close stops the writer and waits until the queued lines are written or ctx ends.
func (w *Writer) Close(ctx context.Context) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
