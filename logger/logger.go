// Package logger writes log lines without ever holding up whoever logs.
//
// Lines wait in a bounded queue for one goroutine that writes them. While the
// queue is full, or lines come faster than the rate allows, further lines are
// dropped and counted, and the count is logged.
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
	// queueLines bounds the lines that wait: some 300 bytes each.
	queueLines = 1024
	// lineRate and lineBurst bound the lines of a process a second. At 300
	// bytes a line the rate is 60 KB/s.
	lineRate  = 200
	lineBurst = 600
	// reportEvery is how often dropped lines are reported.
	reportEvery = time.Second
)

// Writer is the bounded way to an output. It implements zapcore.WriteSyncer.
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

// NewWriter returns a writer to an output. Run must be called.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	return &Writer{
		out: out, clock: clock, lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(lineRate, lineBurst), done: make(chan struct{}), stop: make(chan struct{}),
	}
}

// New returns a logger that writes JSON lines to a writer.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, level))
}

// Write takes one line. It never waits.
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

// Sync implements zapcore.WriteSyncer. Close is what waits for lines.
func (*Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Total returns how many lines were dropped in all.
func (w *Writer) Total() int64 { return w.total.Load() + w.dropped.Load() }

// Run writes lines until Close.
func (w *Writer) Run() { w.run() }

func (w *Writer) run() {
	defer close(w.done)
	t := w.clock.NewTicker(reportEvery)
	defer t.Stop()
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-t.Chan():
			w.report()
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
			w.put(line)
		default:
			w.report()
			return
		}
	}
}

func (w *Writer) put(line []byte) {
	// Where the log itself can't be written there is nowhere to say so.
	_, _ = w.out.Write(line)
}

func (w *Writer) report() {
	if n := w.dropped.Swap(0); n > 0 {
		w.total.Add(n)
		w.put([]byte(fmt.Sprintf("{\"level\":\"warn\",\"ts\":%.3f,\"msg\":\"log: lines were dropped\",\"count\":%d}\n",
			float64(w.clock.Now().UnixMilli())/1000, n)))
	}
}

// Close writes the lines that wait, as long as the context lasts.
func (w *Writer) Close(ctx context.Context) {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
