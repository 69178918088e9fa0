package entryassembler_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/connector"
)

// cutKind is how an instance is partitioned from the servers.
type cutKind int

const (
	notCut cutKind = iota
	// hangs drops all packets, resets resets open connections and refuses new ones, and
	// refuses only refuses new ones.
	hangs
	resets
	refuses
)

// serverLinks are the links of an instance to the servers. It implements connector.Dialer.
type serverLinks struct {
	mu    sync.Mutex
	kind  cutKind
	conns map[*cutConn]bool
	// healed is closed when a cut ends.
	healed chan struct{}
}

// cut partitions the instance from the servers, or ends that.
func (l *serverLinks) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
	if kind == hangs {
		l.healed = make(chan struct{})
	}
	for c := range l.conns {
		switch kind {
		case resets:
			c.breakOff(syscall.ECONNRESET)
		case hangs:
			c.expire()
		default:
			c.flush()
		}
	}
}

func (l *serverLinks) state() (cutKind, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kind, l.healed
}

// Dial implements connector.Dialer.
func (l *serverLinks) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch kind, healed := l.state(); kind {
	case resets, refuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case hangs:
		select {
		case <-healed:
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
		return nil, errors.New("i/o timeout")
	}
	n, err := connector.DirectDialer{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{TCPConn: n.(*net.TCPConn), links: l, ended: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*cutConn]bool{}
	}
	l.conns[c] = true
	return c, nil
}

// hangTimeout is how long the kernel waits for an acknowledgement, of bytes or of keep-alive
// probes.
const hangTimeout = 2500 * time.Millisecond

// cutConn is a connection over the links. While they hang it transfers nothing, and breaks
// when the kernel has waited for hangTimeout.
type cutConn struct {
	*net.TCPConn
	links *serverLinks
	// ended is closed when the connection is closed or has broken, because of err.
	ended chan struct{}
	err   error
	// unsent is what was written while the links hang, timer breaks the connection.
	unsent []byte
	timer  *time.Timer
	// lingering is set while the connection is closed and the kernel still has to send unsent.
	lingering bool
}

// breakOff ends the connection with an error. The lock of the links must be held.
func (c *cutConn) breakOff(err error) {
	switch {
	case c.err == nil:
		c.err = err
		close(c.ended)
	case !c.lingering:
		return
	}
	c.lingering = false
	_ = c.TCPConn.Close()
	delete(c.links.conns, c)
	if c.timer != nil {
		c.timer.Stop()
	}
}

// expire breaks the connection after hangTimeout. The lock of the links must be held.
func (c *cutConn) expire() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = time.AfterFunc(hangTimeout, func() {
		c.links.mu.Lock()
		defer c.links.mu.Unlock()
		if c.links.kind == hangs {
			c.breakOff(syscall.ETIMEDOUT)
		}
	})
}

// flush sends what was written while the links hung. The lock of the links must be held.
func (c *cutConn) flush() {
	if c.timer != nil {
		c.timer.Stop()
	}
	if len(c.unsent) > 0 {
		_, _ = c.TCPConn.Write(c.unsent)
		c.unsent = nil
	}
	if c.lingering {
		c.breakOff(nil)
	}
}

func (c *cutConn) endError() error {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	return c.err
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if kind, healed := c.links.state(); kind == hangs {
		select {
		case <-healed:
		case <-c.ended:
		}
	}
	if ended := c.endError(); ended != nil {
		return 0, ended
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.links.kind != hangs {
		return c.TCPConn.Write(b)
	}
	if c.unsent == nil {
		// Probes are sent only while nothing is unacknowledged.
		c.expire()
	}
	c.unsent = append(c.unsent, b...)
	return len(b), nil
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	if c.err == nil && c.links.kind == hangs && len(c.unsent) > 0 {
		c.err, c.lingering = net.ErrClosed, true
		close(c.ended)
		return nil
	}
	c.breakOff(net.ErrClosed)
	return nil
}

// Reset implements resetter.Resetter.
func (c *cutConn) Reset() error {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	c.unsent = nil
	_ = c.SetLinger(0)
	c.breakOff(net.ErrClosed)
	return nil
}

// isServed sends a request to an instance and reports whether it gets a whole answer.
func (g *cluster) isServed(instance int, path, model string) bool {
	q, err := http.NewRequest(http.MethodPost, "http://"+g.fronts[instance]+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	q.Host = "h"
	q.Header.Set("Primrosehook-Request-Id", "q")
	q.Header.Set("Primrosehook-Request-Deadline", "4000")
	q.Header.Set("Primrosehook-Model", model)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer p.Body.Close()
	_, err = io.ReadAll(p.Body)
	return err == nil && p.StatusCode == http.StatusOK
}

// served returns the share of requests and streams that an instance serves at the first
// attempt.
func (g *cluster) served(instance, count int) float64 {
	var work sync.WaitGroup
	var mu sync.Mutex
	ok := 0
	for i := range count {
		work.Go(func() {
			defer GinkgoRecover()
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			path, model := "/form/1", ""
			if i%2 == 0 {
				path, model = "/chat/1", "m0"
			}
			if !g.isServed(instance, path, model) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ok++
		})
	}
	work.Wait()
	return float64(ok) / float64(count)
}

// expectServed expects that each instance serves a share of its callers' requests.
func (g *cluster) expectServed(share float64) {
	var work sync.WaitGroup
	served := make([]float64, len(g.fronts))
	for i := range g.fronts {
		work.Go(func() { served[i] = g.served(i, 25) })
	}
	work.Wait()
	Expect(served).To(HaveEach(BeNumerically(">=", share)))
}

var _ = Describe("An instance that is partitioned from the servers", func() {
	// Guards against refusing the callers of an instance without links to servers, while
	// other instances have theirs.
	DescribeTable("serves its callers as the other instances serve theirs",
		func(kind cutKind, cut ...int) {
			g := newCluster(4)
			g.allMeet()
			g.expectServed(1)
			for _, i := range cut {
				g.links[i].cut(kind)
			}
			time.Sleep(3 * time.Second)
			g.expectServed(0.96)
			for _, i := range cut {
				g.links[i].cut(notCut)
			}
			time.Sleep(2 * time.Second)
			g.expectServed(0.96)
		},
		Entry("whose links hang", hangs, 0),
		Entry("whose links are reset", resets, 0),
		Entry("whose open connections live on", refuses, 0),
		Entry("with most others, whose links hang", hangs, 0, 1, 2),
		Entry("with most others, whose links are reset", resets, 0, 1, 2),
		Entry("with most others, whose open connections live on", refuses, 0, 1, 2),
	)
})
