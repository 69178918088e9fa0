// Package simulator provides in-memory stand-ins for what shared state depends on,
// for tests: a log with faults that a test sets, a fleet of instances that share it,
// a service and an engine that record what they ran, a fake clock that a test
// advances fast, and the seeds of randomized tests.
package simulator

import (
	"context"
	"sync"
	"time"

	"primrosehook/judge"
	"primrosehook/recorder"
)

// Fault is what happens to one append to the log.
type Fault int

// Faults of an append.
const (
	// NoFault appends and replies.
	NoFault Fault = iota
	// LoseReply appends, but the reply is lost.
	LoseReply
	// LoseAppend loses the append before it takes effect.
	LoseAppend
	// DelayAppend delays the append until ApplyDelayed is called. The caller gets
	// no reply.
	DelayAppend
	// RefuseAppend replies that the log accepts no appends.
	RefuseAppend
	// AppendTwice appends the record twice, as a client that retries would.
	AppendTwice
)

// Log is an in-memory log service. Use NewLog to create one.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	delayed []delayedRecord
	appends int
}

type stream struct {
	// first is the offset of the oldest retained record.
	first   int64
	records []recorder.Record
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

// delayedRecord is an append that takes effect when ApplyDelayed is called.
type delayedRecord struct {
	stream string
	data   []byte
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: map[string]*stream{}} }

// LogClient is one instance's connection to the log. It has its own faults.
type LogClient struct {
	log *Log
	mu  sync.Mutex
	// down makes every call block until its context ends, as an unreachable
	// network does.
	down   bool
	faults func() Fault
}

// Client returns a connection without faults.
func (l *Log) Client() *LogClient {
	return &LogClient{log: l, faults: func() Fault { return NoFault }}
}

// SetUnreachable disconnects or reconnects the client.
func (c *LogClient) SetUnreachable(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetFaults sets the function that returns the fault of each append. Calls to
// it are serialized.
func (c *LogClient) SetFaults(faults func() Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// nextFault returns whether the client is disconnected, and the fault of the
// next append if it is not.
func (c *LogClient) nextFault() (bool, Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return true, NoFault
	}
	return false, c.faults()
}

// Append implements recorder.Log.
func (c *LogClient) Append(ctx context.Context, name string, data []byte) (int64, error) {
	down, fault := c.nextFault()
	if down {
		<-ctx.Done()
		return 0, judge.Unknown("log", "append was not answered", ctx.Err())
	}
	lost := judge.Unknown("log", "append was not answered", nil)
	switch fault {
	case RefuseAppend:
		return 0, judge.Unavailable("log", "log takes no appends now", time.Second)
	case LoseAppend:
		return 0, lost
	case DelayAppend:
		c.log.mu.Lock()
		c.log.delayed = append(c.log.delayed, delayedRecord{name, data})
		c.log.mu.Unlock()
		return 0, lost
	}
	offset := c.log.add(name, data)
	switch fault {
	case LoseReply:
		return 0, lost
	case AppendTwice:
		c.log.add(name, data)
	}
	return offset, nil
}

// Read implements recorder.Log.
func (c *LogClient) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (recorder.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if c.isDown() {
			<-ctx.Done()
			return recorder.Batch{}, ctx.Err()
		}
		batch, grown := c.log.batch(name, from, limit)
		if len(batch.Records) > 0 {
			return batch, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (c *LogClient) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) add(name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	offset := s.first + int64(len(s.records))
	s.records = append(s.records, recorder.Record{Offset: offset, Data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// batch returns records from an offset on, and a channel that is closed at the
// next append.
func (l *Log) batch(name string, from int64, limit int) (recorder.Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	next := s.first + int64(len(s.records))
	start := max(from, s.first)
	batch := recorder.Batch{First: s.first, Next: next}
	if end := min(next, start+int64(limit)); start < end {
		batch.Records = append(batch.Records, s.records[start-s.first:end-s.first]...)
	}
	return batch, s.appended
}

// Trim drops all but the newest records of a stream.
func (l *Log) Trim(name string, newest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	drop := max(0, len(s.records)-newest)
	s.first += int64(drop)
	s.records = s.records[drop:]
}

// ApplyDelayed applies all delayed appends.
func (l *Log) ApplyDelayed() {
	l.mu.Lock()
	delayed := l.delayed
	l.delayed = nil
	l.mu.Unlock()
	for _, r := range delayed {
		l.add(r.stream, r.data)
	}
}

// AppendCount returns how many records were appended, over all streams.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
