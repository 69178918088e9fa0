package entryassembler

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/platform"
	"primrosehook/reserver"
)

const (
	// budgetShare is the part of the process's memory that is held for clients and servers.
	// With memoryLimitShare it leaves as much again for the garbage of the collector, and the
	// rest for the program itself (19 MiB of an idle instance with 64 MB).
	budgetShare = 0.35
	// smallestMemory is assumed of settings that name no memory, in MB: that of the smallest
	// instances.
	smallestMemory = 144
	// connectionBytes is charged for each connection: its goroutine and its buffers.
	connectionBytes = 8 << 10
	// minConnections is the least limit of clients' connections. maxCheckConnections limits
	// those to the port for readiness checks, and to that for metrics.
	minConnections      = 100
	maxCheckConnections = 64
	// checkBudget is the budget of each of these ports, apart from that of clients: an instance
	// that is short of memory still answers there. 0.15 of it is for connections and heads.
	checkBudget         = 8 << 20
	maxCheckHeaderBytes = 8 << 10
	// descriptorsPerPeer and minPeerConnections limit connections of peers: twice as many as
	// detours may be served. peerQueueShare is the part of the memory that may be queued for one
	// peer, or be in work for it.
	descriptorsPerPeer, minPeerConnections = 4, 128
	peerQueueShare                         = 16
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

// memoryBudget returns the size of the budget in bytes.
func memoryBudget(s platform.Settings) int64 {
	return int64(budgetShare * float64(memoryBytesOf(s)))
}

// memoryBytesOf returns the memory of the process in bytes.
func memoryBytesOf(s platform.Settings) int64 {
	if s.Memory <= 0 {
		return smallestMemory << 20
	}
	return int64(s.Memory) << 20
}

// maxPeerConnections returns how many connections of peers may be open, detours among them.
func maxPeerConnections(s platform.Settings) int {
	return max((s.Descriptors-reservedDescriptors)/descriptorsPerPeer, minPeerConnections)
}

// maxConnections returns how many connections of clients may be open. The other half of the
// descriptors is for servers and peers.
func maxConnections(s platform.Settings) int {
	return max((s.Descriptors-reservedDescriptors)/2, minConnections)
}

// slot is what a gate knows of a connection. Only busy is used without the gate's lock.
type slot struct {
	// busy is set while a request is handled.
	busy atomic.Bool
	// active is set while a request is read or handled, since is when that last changed.
	active bool
	since  time.Time
	held   *reserver.Reservation
	head   *reserver.Reservation
	// headBytes is the size of the present head so far.
	headBytes int64
}

// gate limits the connections to a port. At the limit the one that has been idle for longest is
// closed for a new one, then one whose head is overdue, then one whose body makes no progress.
// If there is none no further connection is accepted until one ends; the kernel's queue holds
// those that wait.
type gate struct {
	name   string
	max    int
	memory *reserver.Reserver
	clock  clockwork.Clock
	log    *zap.Logger
	// ended counts closed connections by reason.
	meter *atomicCounts
	lines reserver.Sampler

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	// freed gets an element when a connection ends.
	freed chan struct{}
}

// atomicCounts are the counts of closed connections.
type atomicCounts struct{ idle, heads, headMemory atomic.Int64 }

func newGate(name string, limit int, memory *reserver.Reserver, counts *atomicCounts, clock clockwork.Clock, log *zap.Logger) *gate {
	return &gate{name: name, max: limit, memory: memory, clock: clock, log: log, meter: counts, conns: map[*clientConn]struct{}{}, freed: make(chan struct{}, 1)}
}

// gatedListener accepts client connections as clientConn.
type gatedListener struct {
	net.Listener
	gate   *gate
	closed chan struct{}
	once   *sync.Once
}

func (g *gate) listen(l net.Listener) net.Listener {
	return gatedListener{Listener: l, gate: g, closed: make(chan struct{}), once: &sync.Once{}}
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: c, gate: l.gate}
	for !l.gate.admit(conn) {
		select {
		case <-l.gate.freed:
		case <-l.gate.clock.After(admitInterval):
		case <-l.closed:
			_ = c.Close()
			return nil, net.ErrClosed
		}
	}
	return conn, nil
}

// Close implements net.Listener.
func (l gatedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// admit adds a connection if there is room, or makes room if it can.
func (g *gate) admit(c *clientConn) bool {
	g.mu.Lock()
	now := g.clock.Now()
	full := len(g.conns) >= g.max
	if !full {
		var ok bool
		c.held, ok = g.memory.Acquire(reserver.Connection, connectionBytes)
		full = !ok
	}
	if !full {
		c.since = now
		g.conns[c] = struct{}{}
		g.mu.Unlock()
		return true
	}
	victim := g.victim(now)
	open := len(g.conns)
	g.mu.Unlock()
	if n, ok := g.lines.Sample(g.clock); ok {
		g.log.Info("entry: port is full", zap.String("port", g.name), zap.Int("open", open), zap.Int("limit", g.max), zap.Bool("closes_one", victim != nil), zap.Int("since_last_line", n))
	}
	if victim == nil {
		g.memory.EndStalled(reserver.Body)
		return false
	}
	_ = victim.Close() // its reader reports it
	return false
}

// victim returns the connection that is to be closed for another one, nil for none: the one
// that has been idle for longest, or else the one whose head is overdue for longest.
func (g *gate) victim(now time.Time) *clientConn {
	var idle, head *clientConn
	for c := range g.conns {
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
		g.meter.idle.Add(1)
		return idle
	}
	if head != nil {
		head.closed.Store(true)
		g.meter.heads.Add(1)
	}
	return head
}

// begin marks a connection as one whose request is handled. It reports false if the connection
// is closed on this side.
func (g *gate) begin(c *clientConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.busy.Store(true)
	return !c.closed.Load()
}

// observe is the ConnState hook of the HTTP server.
func (g *gate) observe(c net.Conn, state http.ConnState) {
	client := c.(*clientConn)
	switch state {
	case http.StateActive, http.StateIdle:
		g.mu.Lock()
		defer g.mu.Unlock()
		client.active, client.since = state == http.StateActive, g.clock.Now()
		if state == http.StateIdle {
			client.busy.Store(false)
			client.headBytes = 0
			client.head.Release()
			client.head = nil
		}
	case http.StateClosed, http.StateHijacked:
		g.remove(client)
	}
}

// remove frees what a connection holds. Removing twice is harmless.
func (g *gate) remove(c *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	c.held.Release()
	c.head.Release()
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

// chargeHead charges n more bytes of a head, and reports false if there is no memory for them.
func (g *gate) chargeHead(c *clientConn, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += int64(n)
	more := c.headBytes - before
	if more <= 0 {
		return true
	}
	if c.head == nil {
		c.head, _ = g.memory.Acquire(reserver.Head, 0) // nothing always fits
	}
	if !c.head.Grow(more) {
		g.meter.headMemory.Add(1)
		return false
	}
	return true
}
