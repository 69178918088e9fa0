// Package acceptor limits the connections to a port of an HTTP server, and charges them and the
// heads of their requests to a memory budget.
package acceptor

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/reserver"
)

const (
	// connectionBytes is charged for each connection: its goroutine and its buffers.
	connectionBytes = 8 << 10
	// freeHeadBytes is what a head may have before it is charged by itself: the connection's
	// buffer has room for it.
	freeHeadBytes = 4 << 10
	// headPatience is for how long a head is incomplete before its connection may be closed
	// in favor of another one.
	headPatience = time.Second
	// admitInterval is how often a connection that waits for room looks for one that may be
	// closed.
	admitInterval = 50 * time.Millisecond
)

// errHeadMemory ends a connection for whose head there is no memory.
var errHeadMemory = errors.New("no memory for the head of a request")

// slot is what an acceptor knows of a connection. Only busy is used without the acceptor's lock.
type slot struct {
	// busy is set while a request is handled.
	busy atomic.Bool
	// active is set while a request is read or handled, since is when that last changed.
	active bool
	since  time.Time
	held   *reserver.Reservation
	head   *reserver.Reservation
	// headBytes is the size of the present head so far, headSince when its first bytes came.
	headBytes int64
	headSince time.Time
	// ended is set while reads are made to fail since no request was read.
	ended bool
	// answeredAt is when the handler returned, zero while there is no answered request whose rest
	// is awaited.
	answeredAt time.Time
}

// Acceptor limits the connections to a port. At the limit the one that has been idle for longest is
// closed for a new one, then one whose head is overdue, then one whose body makes no progress.
// If there is none no further connection is accepted until one ends; the kernel's queue holds
// those that wait.
type Acceptor struct {
	name   string
	max    int
	memory *reserver.Reserver
	clock  clockwork.Clock
	log    *zap.Logger
	counts *Counts
	lines  reserver.Sampler
	// writeTimeout is how long a client may take for each writePiece of an answer.
	writeTimeout time.Duration

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// freed gets an element when a connection ends.
	freed chan struct{}
}

// Counts are the counts of connections closed for others: idle ones, those with an overdue head,
// and those with a head for which there was no memory.
type Counts struct{ Idle, Heads, HeadMemory atomic.Int64 }

// Option sets an option of an Acceptor.
type Option func(*Acceptor)

// WithWriteTimeout sets how long a client may take for each 64 KiB of an answer.
func WithWriteTimeout(d time.Duration) Option { return func(a *Acceptor) { a.writeTimeout = d } }

// New returns an acceptor for a port with a name, in log lines, and a limit of connections.
func New(name string, limit int, memory *reserver.Reserver, counts *Counts, clock clockwork.Clock, log *zap.Logger, set ...Option) *Acceptor {
	a := &Acceptor{
		name: name, max: limit, memory: memory, clock: clock, log: log, counts: counts, writeTimeout: writeTimeout,
		conns: map[*Conn]struct{}{}, freed: make(chan struct{}, 1),
	}
	for _, f := range set {
		f(a)
	}
	return a
}

// listener accepts connections as Conn.
type listener struct {
	net.Listener
	acceptor *Acceptor
	closed   chan struct{}
	once     *sync.Once
}

// Listener is a listener whose connections an Acceptor limits.
type Listener interface {
	net.Listener
	// EndUnused is Acceptor.EndUnused.
	EndUnused() int
}

// EndUnused implements Listener.
func (l listener) EndUnused() int { return l.acceptor.EndUnused() }

// Listen returns a listener that accepts the connections that fit.
func (a *Acceptor) Listen(l net.Listener) Listener {
	return listener{Listener: l, acceptor: a, closed: make(chan struct{}), once: &sync.Once{}}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: c, acceptor: l.acceptor}
	for !l.acceptor.admit(conn) {
		select {
		case <-l.acceptor.freed:
		case <-l.acceptor.clock.After(admitInterval):
		case <-l.closed:
			_ = c.Close()
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// Close implements net.Listener.
func (l listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit adds a connection if there is room, or makes room if it can.
func (a *Acceptor) admit(c *Conn) bool {
	a.mu.Lock()
	now := a.clock.Now()
	full := len(a.conns) >= a.max
	if !full {
		var ok bool
		c.held, ok = a.memory.Acquire(reserver.Connection, connectionBytes)
		full = !ok
	}
	if !full {
		c.since = now
		a.conns[c] = struct{}{}
		a.mu.Unlock()
		return true
	}
	victim := a.victim(now)
	open := len(a.conns)
	a.mu.Unlock()
	if n, ok := a.lines.Sample(a.clock); ok {
		a.log.Info("acceptor: port is full", zap.String("port", a.name), zap.Int("open", open), zap.Int("limit", a.max), zap.Bool("closes_one", victim != nil), zap.Int("since_last_line", n))
	}
	if victim == nil {
		a.memory.EndStalled(reserver.Body)
		return false
	}
	_ = victim.Close() // its reader reports it
	return false
}

// victim returns the connection that is to be closed for another one, nil for none: the one
// that has been idle for longest, or else the one whose head is overdue for longest.
func (a *Acceptor) victim(now time.Time) *Conn {
	var idle, head *Conn
	for c := range a.conns {
		switch {
		case !c.active && (idle == nil || c.since.Before(idle.since)):
			idle = c
		case c.active && !c.busy.Load() && now.Sub(c.since) >= headPatience && (head == nil || c.since.Before(head.since)):
			head = c
		}
	}
	if idle != nil {
		// From now on no request of it is handled.
		idle.closed.Store(true)
		a.counts.Idle.Add(1)
		return idle
	}
	if head != nil {
		head.closed.Store(true)
		a.counts.Heads.Add(1)
	}
	return head
}

// begin marks a connection as one whose request is handled. It reports false if the connection
// is closed on this side.
func (a *Acceptor) begin(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.busy.Store(true)
	c.answeredAt = time.Time{}
	return !c.closed.Load()
}

// finish records that the request of a connection has been answered.
func (a *Acceptor) finish(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.answeredAt = a.clock.Now()
}

// Observe is the ConnState hook of an HTTP server.
func Observe(c net.Conn, state http.ConnState) {
	if client, ok := c.(*Conn); ok {
		client.acceptor.observe(client, state)
	}
}

func (a *Acceptor) observe(client *Conn, state http.ConnState) {
	switch state {
	case http.StateActive, http.StateIdle:
		a.mu.Lock()
		defer a.mu.Unlock()
		client.active, client.since = state == http.StateActive, a.clock.Now()
		if state == http.StateIdle {
			client.busy.Store(false)
			client.answeredAt = time.Time{}
			client.headBytes = 0
			client.head.Release()
			client.head = nil
		}
	case http.StateClosed, http.StateHijacked:
		a.remove(client)
	}
}

// EndUnused makes the HTTP server close the connections from which no byte of a request was read,
// those whose head is overdue and those whose client does not send the rest of a body that was
// answered, and returns how many connections are open. Their reads fail
// at once. Closing them instead would drop a request that a read has just returned. The HTTP
// server sets deadlines of its own, so this has to be called until no connection is open.
func (a *Acceptor) EndUnused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	for c := range a.conns {
		switch {
		case !c.answeredAt.IsZero() && now.Sub(c.answeredAt) >= stopRestTime:
			_ = c.SetReadDeadline(now)
		case !c.active && (c.headBytes == 0 || now.Sub(c.headSince) >= headPatience):
			c.ended = true
			_ = c.SetReadDeadline(now)
		}
	}
	return len(a.conns)
}

// remove frees what a connection holds. Removing twice is harmless.
func (a *Acceptor) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
	c.held.Release()
	c.head.Release()
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// chargeHead charges n more bytes of a head, and reports false if there is no memory for them.
func (a *Acceptor) chargeHead(c *Conn, n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.headBytes == 0 {
		c.headSince = a.clock.Now()
	}
	if c.ended {
		// These bytes were read as EndUnused was called: the rest of the head is awaited.
		c.ended = false
		_ = c.SetReadDeadline(c.headSince.Add(headPatience))
	}
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += int64(n)
	more := c.headBytes - before
	if more <= 0 {
		return true
	}
	if c.head == nil {
		c.head, _ = a.memory.Acquire(reserver.Head, 0) // nothing always fits
	}
	if !c.head.Grow(more) {
		a.counts.HeadMemory.Add(1)
		return false
	}
	return true
}
