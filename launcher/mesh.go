package launcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"primrosehook/framer"
)

// Mesh is a set of entry instances with a FaultProxy for each ordered pair, so that
// any two can be partitioned from each other, also in one direction only. A
// single FaultProxy in front of each instance could partition it only from all
// others at once.
//
// Each instance reads the instance list through its own proxy, which replaces
// the other instances' addresses by those of the proxies. Instances also send
// each other addresses, so the proxies replace those in the messages that they
// forward. All addresses have the same length, so that replacing one does not
// change the layout of a frame.
//
// Example: bytes from the first instance to the second are held back; those in
// the other direction are not.
//
//	m := launcher.NewMesh(cluster, 2)
//	first, err := m.Entry(ctx)
//	second, err := m.Entry(ctx)
//	m.SetFault(0, 1, launcher.NetworkFault{StallUpstream: true})
type Mesh struct {
	cluster *Cluster

	mu sync.Mutex
	// peerAddrs are the instances' own peer addresses. links[a][b] is the FaultProxy
	// for connections from a to b. Both links of a pair are created before the
	// later instance starts.
	peerAddrs []string
	links     [][]*FaultProxy
	proxies   []*http.Server
}

// NewMesh returns a mesh without instances for a cluster that has a platform.
func NewMesh(c *Cluster) *Mesh { return &Mesh{cluster: c} }

// Entry starts another entry instance. Instances are numbered from zero in the
// order of their start.
func (m *Mesh) Entry(ctx context.Context, flags ...string) (*Process, error) {
	addr, err := m.cluster.reserveAddr(1)
	if err != nil {
		return nil, err
	}
	n, err := m.addInstance(addr)
	if err != nil {
		return nil, err
	}
	proxy, err := m.startListProxy(n)
	if err != nil {
		return nil, err
	}
	p, err := m.cluster.Entry(ctx, append([]string{"-peer", addr, "-list", proxy}, flags...)...)
	if err != nil {
		return nil, err
	}
	p.PeerAddr = addr
	return p, nil
}

// SetFault replaces the fault between two instances. Up is the direction from a to
// b, whichever of the two opened the connection.
func (m *Mesh) SetFault(a, b int, t NetworkFault) {
	back := t
	back.StallUpstream, back.StallDownstream = t.StallDownstream, t.StallUpstream
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[a][b].SetFault(t)
	m.links[b][a].SetFault(back)
}

// SetAllFaults replaces the fault between all instances. Up is the direction from an
// earlier instance to a later one.
func (m *Mesh) SetAllFaults(t NetworkFault) {
	for b := range m.size() {
		for a := range b {
			m.SetFault(a, b, t)
		}
	}
}

// Close closes all proxies and proxies.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, row := range m.links {
		for b, c := range row {
			if a != b {
				c.Close()
			}
		}
	}
	for _, s := range m.proxies {
		_ = s.Close()
	}
}

func (m *Mesh) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peerAddrs)
}

// addInstance adds an instance with the links to and from all others, and
// returns its number.
func (m *Mesh) addInstance(addr string) (int, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.peerAddrs)
	m.peerAddrs = append(m.peerAddrs, addr)
	m.links = append(m.links, make([]*FaultProxy, n+1))
	for other := range n {
		there, err := m.newLink(n, other)
		if err != nil {
			return 0, err
		}
		back, err := m.newLink(other, n)
		if err != nil {
			return 0, err
		}
		m.links[n][other] = there
		m.links[other] = append(m.links[other], back)
	}
	return n, nil
}

// newLink returns a new FaultProxy from a to b that replaces addresses.
func (m *Mesh) newLink(a, b int) (*FaultProxy, error) {
	c, err := newFaultProxy(m.peerAddrs[b], func(targetConn, callerConn net.Conn) (net.Conn, net.Conn) {
		return &translatingConn{Conn: targetConn, reader: bufio.NewReader(targetConn), mesh: m, from: b, to: a},
			&translatingConn{Conn: callerConn, reader: bufio.NewReader(callerConn), mesh: m, from: a, to: b}
	})
	if err != nil {
		return nil, err
	}
	if len(c.Addr()) != len(m.peerAddrs[b]) {
		c.Close()
		return nil, eris.Errorf("addresses %s and %s differ in length", c.Addr(), m.peerAddrs[b])
	}
	return c, nil
}

// addr returns the address by which instance a reaches b.
func (m *Mesh) addr(a, b int) string {
	if a == b {
		return m.peerAddrs[b]
	}
	return m.links[a][b].Addr()
}

// translateMessage replaces the addresses that one instance uses for the others
// by those that another uses.
func (m *Mesh) translateMessage(text []byte, from, to int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := range m.peerAddrs {
		text = bytes.ReplaceAll(text, []byte(m.addr(from, n)), []byte(m.addr(to, n)))
	}
	return text
}

// translateList replaces the instances' own addresses by those that one of them
// uses.
func (m *Mesh) translateList(text []byte, to int) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, addr := range m.peerAddrs {
		text = bytes.ReplaceAll(text, []byte(addr), []byte(m.addr(to, n)))
	}
	return text
}

// startListProxy starts the n-th instance's proxy to the instance list and
// returns its URL.
func (m *Mesh) startListProxy(n int) (string, error) {
	target, err := url.Parse(m.cluster.PlatformURL())
	if err != nil {
		return "", eris.Wrap(err, "platform's URL is malformed")
	}
	l, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "no port is free")
	}
	p := httputil.NewSingleHostReverseProxy(target)
	p.ModifyResponse = (&listTranslator{mesh: m, reader: n}).modifyResponse
	p.ErrorHandler = abortConn
	s := &http.Server{Handler: p, ReadHeaderTimeout: readyTimeout}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proxies = append(m.proxies, s)
	go (&listProxy{server: s, listener: l}).run()
	return "http://" + l.Addr().String(), nil
}

// listProxy is a proxy that runs until the mesh is closed.
type listProxy struct {
	server   *http.Server
	listener net.Listener
}

func (p *listProxy) run() { _ = p.server.Serve(p.listener) }

// abortConn closes the client's connection when that to the platform failed.
func abortConn(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

// listTranslator translates the addresses in the instance list for one reader.
type listTranslator struct {
	mesh   *Mesh
	reader int
}

func (l *listTranslator) modifyResponse(p *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	if err != nil {
		return eris.Wrap(err, "instance list cannot be read")
	}
	_ = p.Body.Close()
	body = l.mesh.translateList(body, l.reader)
	p.Body = io.NopCloser(bytes.NewReader(body))
	p.ContentLength = int64(len(body))
	p.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

// translatingConn is a connection between instances that translates the
// addresses in messages to those of the receiver. It reads complete frames, so
// that no address is split.
type translatingConn struct {
	net.Conn
	reader *bufio.Reader
	mesh   *Mesh
	from   int
	to     int
	unread []byte
}

// Read implements net.Conn.
func (r *translatingConn) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		message, err := framer.Read(r.reader)
		if err != nil {
			return 0, err
		}
		message.Body = r.mesh.translateMessage(message.Body, r.from, r.to)
		if r.unread, err = framer.Encode(message); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}
