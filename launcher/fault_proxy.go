package launcher

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Buffer size in bytes and dial timeout of a FaultProxy.
const (
	copyBuffer  = 32 << 10
	dialTimeout = 5 * time.Second
)

// NetworkFault is the network fault that a FaultProxy applies to its connections.
type NetworkFault struct {
	// Cut closes open connections and refuses new ones.
	Cut bool
	// StallUpstream and StallDownstream hold back the bytes to the target and to
	// the caller without closing the connection, as a network partition does. The
	// bytes are sent when the fault ends.
	StallUpstream   bool
	StallDownstream bool
	// Delay is added to the bytes in each direction.
	Delay time.Duration
}

// FaultProxy is a TCP proxy between two processes. It forwards each connection to a
// target and can inject network faults.
type FaultProxy struct {
	listener net.Listener
	target   string
	clock    clockwork.Clock
	wrap     wrapConns

	mu      sync.Mutex
	fault   NetworkFault
	changed chan struct{}
	conns   map[net.Conn]bool
}

// wrapConns returns connections that change what is read from the target and
// from the caller.
type wrapConns func(targetConn, callerConn net.Conn) (net.Conn, net.Conn)

func noWrap(targetConn, callerConn net.Conn) (net.Conn, net.Conn) { return targetConn, callerConn }

// NewFaultProxy returns a FaultProxy in front of an address "IP:port".
func NewFaultProxy(target string) (*FaultProxy, error) { return newFaultProxy(target, noWrap) }

func newFaultProxy(target string, w wrapConns) (*FaultProxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	if err != nil {
		return nil, eris.Wrap(err, "no free port")
	}
	c := &FaultProxy{
		listener: l,
		target:   target,
		clock:    clockwork.NewRealClock(),
		wrap:     w,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]bool{},
	}
	go c.runAccept()
	return c, nil
}

// Addr returns the address that callers must use instead of the target's.
func (c *FaultProxy) Addr() string { return c.listener.Addr().String() }

// URL returns the address as a URL.
func (c *FaultProxy) URL() string { return "http://" + c.Addr() }

// SetFault replaces the fault; SetFault(NetworkFault{}) ends it.
func (c *FaultProxy) SetFault(t NetworkFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = t
	close(c.changed)
	c.changed = make(chan struct{})
	if !t.Cut {
		return
	}
	for conn := range c.conns {
		_ = conn.Close()
	}
}

// Close closes the listener and all connections.
func (c *FaultProxy) Close() {
	_ = c.listener.Close()
	c.SetFault(NetworkFault{Cut: true})
}

func (c *FaultProxy) current() (NetworkFault, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault, c.changed
}

func (c *FaultProxy) runAccept() {
	for {
		callerConn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.runConn(callerConn)
	}
}

func (c *FaultProxy) runConn(callerConn net.Conn) {
	if !c.track(callerConn) {
		return
	}
	defer c.untrack(callerConn)
	targetConn, err := net.DialTimeout("tcp", c.target, dialTimeout)
	if err != nil || !c.track(targetConn) {
		return
	}
	defer c.untrack(targetConn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fromTarget, fromCaller := c.wrap(targetConn, callerConn)
	up := &pipe{proxy: c, from: fromCaller, to: targetConn, isHeldBack: func(t NetworkFault) bool { return t.StallUpstream }, cancel: cancel}
	down := &pipe{proxy: c, from: fromTarget, to: callerConn, isHeldBack: func(t NetworkFault) bool { return t.StallDownstream }, cancel: cancel}
	go up.run(ctx)
	go down.run(ctx)
	<-ctx.Done()
}

// track registers a connection. If Cut is set, it closes the connection and
// returns false.
func (c *FaultProxy) track(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault.Cut {
		_ = conn.Close()
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *FaultProxy) untrack(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// pipe copies bytes in one direction.
type pipe struct {
	proxy      *FaultProxy
	from       net.Conn
	to         net.Conn
	isHeldBack func(NetworkFault) bool
	cancel     context.CancelFunc
}

func (p *pipe) run(ctx context.Context) {
	defer p.cancel()
	buffer := make([]byte, copyBuffer)
	for {
		n, err := p.from.Read(buffer)
		if n > 0 && !p.pass(ctx, buffer[:n]) {
			return
		}
		if err != nil {
			// The end of a stream is held back too.
			p.waitWhileHeldBack(ctx)
			return
		}
	}
}

func (p *pipe) pass(ctx context.Context, data []byte) bool {
	if t, _ := p.proxy.current(); t.Delay > 0 {
		select {
		case <-p.proxy.clock.After(t.Delay):
		case <-ctx.Done():
			return false
		}
	}
	if !p.waitWhileHeldBack(ctx) {
		return false
	}
	_, err := p.to.Write(data)
	return err == nil
}

// waitWhileHeldBack blocks while bytes in this direction are held back. It
// returns false if the connection is to be closed.
func (p *pipe) waitWhileHeldBack(ctx context.Context) bool {
	for {
		t, changed := p.proxy.current()
		if t.Cut {
			return false
		}
		if !p.isHeldBack(t) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
