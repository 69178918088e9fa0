package detourer

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/confirmer"
	"primrosehook/judge"
	"primrosehook/messenger"
	"primrosehook/reserver"
	"primrosehook/resetter"
)

// kindDetour is the kind of the stream that a detourRequest opens.
const kindDetour = "detour"

const (
	// codeRefused is the code of a detour to a server that refuses connections, codeCut that of
	// one to a server that the peer can't reach, codeBusy that of a peer that serves no more.
	codeRefused = "detour-refused"
	codeCut     = "detour-cut"
	codeBusy    = "detour-busy"
	// bufferBytes is the size of the buffers of a served detour.
	bufferBytes = 4 << 10
	// quietTime is how long a detour has transferred nothing, the server's bytes last, when it
	// is taken for idle.
	quietTime = 2 * time.Second
	// watchInterval is the pause between checks whether the peer has closed a detour whose server
	// does not read.
	watchInterval = 100 * time.Millisecond
	// leaveInterval is the pause between checks whether detours are idle.
	leaveInterval = 50 * time.Millisecond
	// endTimeout is how long the peer may take to close a detour that the server has ended.
	endTimeout = 2 * time.Second
)

// errNoPeers means that there is no peer to open connections through.
var errNoPeers = errors.New("no peers")

// detourRequest asks a peer for a connection to a server.
type detourRequest struct {
	Address string `msgpack:"a"`
}

// detour opens a connection to a server through a peer. The error wraps ECONNREFUSED if a
// peer that can reach servers found that this one refuses connections.
func (d *Detourer) detour(ctx context.Context, address string) (net.Conn, error) {
	peers := d.rankedPeers()
	if len(peers) == 0 {
		return nil, errNoPeers
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	results := make(chan opened, len(peers))
	defer cancel()
	next, pending, refusals := 0, 0, 0
	err := errors.New("no peer reaches the server")
	for {
		if next < len(peers) {
			go d.runOpen(ctx, peers[next], address, results)
			next++
			pending++
		}
		var more <-chan time.Time
		if next < len(peers) {
			more = d.clock.After(peerDelay)
		} else if pending == 0 {
			return nil, err
		}
		select {
		case <-more:
		case o := <-results:
			pending--
			switch {
			case o.err == nil:
				go d.runDiscard(pending, results)
				d.meter.Add(MetricOpened, 1)
				return o.conn, nil
			case errors.Is(o.err, syscall.ECONNREFUSED):
				err = o.err
				if refusals++; refusals == maxRefusals {
					go d.runDiscard(pending, results)
					return nil, err
				}
			}
		}
	}
}

// opened is the outcome of opening a connection through one peer.
type opened struct {
	conn net.Conn
	err  error
}

// runDiscard closes the connections that are opened after another one is in use.
func (d *Detourer) runDiscard(pending int, results <-chan opened) {
	for range pending {
		if o := <-results; o.err == nil {
			_ = o.conn.Close()
		}
	}
}

// runOpen opens a connection to a server through one peer.
func (d *Detourer) runOpen(ctx context.Context, peer, address string, results chan<- opened) {
	c, err := d.open(ctx, peer, address)
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.markRefused(peer)
		}
		results <- opened{err: err}
		return
	}
	results <- opened{conn: c}
}

func (d *Detourer) open(ctx context.Context, peer, address string) (net.Conn, error) {
	c, err := d.peerDialer.Dial(ctx, peer)
	if err != nil {
		return nil, eris.Errorf("peer %s is not reached: %v", peer, err)
	}
	s, err := messenger.OpenStream(ctx, c, kindDetour, detourRequest{Address: address})
	if err != nil {
		if judge.As(err).Code == codeRefused {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return nil, eris.Wrapf(err, "detour through %s", peer)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer(peer).open++
	return &detourConn{Stream: s, detourer: d, peer: peer, address: address}, nil
}

// detourConn is a connection to a server through a peer.
type detourConn struct {
	*messenger.Stream
	detourer      *Detourer
	peer, address string
	once          sync.Once
}

// Via returns the address of the peer that the connection leads through.
func (c *detourConn) Via() string { return c.peer }

// Quiet reports whether the connection can be used for a further request. Once the direct path
// works it is not.
func (c *detourConn) Quiet() bool { return c.detourer.isBroken(c.address) && c.Stream.Quiet() }

// Close implements net.Conn.
func (c *detourConn) Close() error {
	c.once.Do(c.countClosed)
	return c.Stream.Close()
}

// Reset implements resetter.Resetter.
func (c *detourConn) Reset() error {
	c.once.Do(c.countClosed)
	return c.Stream.Reset()
}

// countClosed counts the detour as closed.
func (c *detourConn) countClosed() {
	d := c.detourer
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peer(c.peer).open--
}

// handleDetour opens a connection to a server for a peer.
func (d *Detourer) handleDetour(ctx context.Context, body msgpack.RawMessage) (func(context.Context, *messenger.Stream), error) {
	var q detourRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode detour")
	}
	if !d.known(q.Address) {
		return nil, refusal(codeCut, "server is not known here")
	}
	if d.isBroken(q.Address) {
		return nil, refusal(codeCut, "server is not reached directly here either")
	}
	t := &tunnel{detourer: d, address: q.Address}
	if !d.register(t) {
		return nil, refusal(codeBusy, "instance serves no more detours, or none to this server now")
	}
	c, err := d.direct.Dial(ctx, q.Address)
	if err != nil {
		d.unregister(t)
		code := codeCut
		if errors.Is(err, syscall.ECONNREFUSED) {
			code = codeRefused
		}
		r := refusal(code, "server takes no connection")
		r.Cause = err
		return nil, r
	}
	t.server = confirmer.Wrap(c)
	d.meter.Add(MetricServed, 1)
	return t.serve, nil
}

func refusal(code, reason string) *judge.Refusal {
	return &judge.Refusal{Verdict: judge.NotRun, Status: http.StatusServiceUnavailable, Code: code, Reason: reason}
}

// register counts a detour that is served, and reports false if there are too many.
func (d *Detourer) register(t *tunnel) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || len(d.served) >= d.maxServed || d.clock.Now().Before(d.pausedUntil[t.address]) {
		return false
	}
	if d.memory != nil {
		// Their number is bounded, and clients' connections must not take their place.
		t.held, _ = d.memory.Acquire(reserver.Detour, 0) // nothing always fits
		t.held.Force(2 * bufferBytes)
	}
	d.served[t] = true
	return true
}

func (d *Detourer) unregister(t *tunnel) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.served, t)
	t.held.Release()
}

// Pause serves no further detours to a server until a time, and has peers use those that are
// open no further: it wants no requests of this instance, for which it takes theirs.
func (d *Detourer) Pause(address string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	maps.DeleteFunc(d.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if !until.After(d.pausedUntil[address]) {
		return
	}
	d.pausedUntil[address] = until
	for t := range d.served {
		if t.address == address {
			go t.runLeave()
		}
	}
}

// Leave serves no further detours, and waits until those that are served are idle or closed,
// or the context ends.
func (d *Detourer) Leave(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	for t := range d.served {
		go t.runLeave()
	}
	d.mu.Unlock()
	for d.busy() {
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(leaveInterval):
		}
	}
}

// busy reports whether a detour that is served is in use.
func (d *Detourer) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for t := range d.served {
		if !t.idle() {
			return true
		}
	}
	return false
}

// tunnel is a detour that is served for a peer.
type tunnel struct {
	detourer *Detourer
	address  string
	server   net.Conn
	// held is the memory of the buffers.
	held   *reserver.Reservation
	stream atomic.Pointer[messenger.Stream]
	// sentAt is when the server last sent bytes, in nanoseconds since 1970, zero if the peer
	// has sent some since.
	sentAt atomic.Int64
	// unanswered is set while the peer's bytes are the last ones.
	unanswered atomic.Bool
}

// idle reports whether the detour seems to be between two requests.
func (t *tunnel) idle() bool {
	at := t.sentAt.Load()
	return at > 0 && t.detourer.clock.Since(time.Unix(0, at)) >= quietTime
}

// runLeave asks the peer to use the detour no further.
func (t *tunnel) runLeave() {
	if s := t.stream.Load(); s != nil {
		if err := s.Leave(); err != nil {
			t.detourer.log.Debug("detour: peer is gone", zap.Error(err))
		}
	}
}

// serve transfers bytes both ways until either side ends. The server's end is that of its
// answer, so its connection is read until then even if it takes no bytes any more.
func (t *tunnel) serve(ctx context.Context, s *messenger.Stream) {
	defer t.detourer.unregister(t)
	defer t.closeServer()
	t.stream.Store(s)
	stop := context.AfterFunc(ctx, t.closeServer)
	defer stop()
	ended := make(chan struct{})
	go t.runUp(s, ended)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := t.server.Read(buffer)
		if n > 0 {
			t.sentAt.Store(t.detourer.clock.Now().UnixNano())
			t.unanswered.Store(false)
			if _, writeErr := s.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if endErr := s.End(err); endErr != nil {
				t.detourer.log.Debug("detour: peer is gone", zap.Error(endErr))
				return
			}
			t.closeServer()
			select {
			case <-ended:
			case <-t.detourer.clock.After(endTimeout):
			case <-ctx.Done():
			}
			return
		}
	}
}

// closeServer ends what the server does for the peer, and drops what it has not got of a
// request. Closing twice is harmless.
func (t *tunnel) closeServer() {
	if t.unanswered.Load() {
		_ = resetter.Reset(t.server)
		return
	}
	_ = t.server.Close()
}

// runUp transfers bytes from the peer to the server. When the peer closes the detour, the
// connection to the server is closed. Bytes that are read after that are not passed on: the
// request that they belong to is given up. Nor are those that follow a failed write, whose
// error the reader of the server's bytes gets where it matters. ended is closed in the end.
func (t *tunnel) runUp(s *messenger.Stream, ended chan<- struct{}) {
	defer close(ended)
	defer t.closeServer()
	buffer := make([]byte, bufferBytes)
	for failed := false; ; {
		n, err := s.Read(buffer)
		if n > 0 && !failed {
			if s.Closed() {
				return
			}
			t.sentAt.Store(0)
			t.unanswered.Store(true)
			failed = t.pass(s, buffer[:n]) != nil
		}
		if err != nil {
			return
		}
	}
}

// pass writes bytes from the peer to the server. A write of many waits for a server that does
// not read them, and the peer's closing is looked for meanwhile.
func (t *tunnel) pass(s *messenger.Stream, b []byte) error {
	if len(b) == bufferBytes {
		done := make(chan struct{})
		defer close(done)
		go t.loopWatch(s, done)
	}
	_, err := t.server.Write(b)
	return err
}

// loopWatch ends the detour if the peer closes it before done is closed.
func (t *tunnel) loopWatch(s *messenger.Stream, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-t.detourer.clock.After(watchInterval):
			if s.Closed() {
				t.closeServer()
				return
			}
		}
	}
}
