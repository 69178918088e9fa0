package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
	"primrosehook/reserver"
)

// Serve accepts connections until the listener closes or the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The error may be temporary, such as too many open files.
			s.log.Warn("messenger: connection not accepted", zap.Error(err))
			s.options.clock.Sleep(acceptRetryDelay)
			continue
		}
		if s.counters.conns.Add(1) > int64(s.options.conns) {
			closesOne := s.closeSilent()
			if n, ok := s.lines.Sample(s.options.clock); ok {
				s.log.Warn("messenger: too many connections", zap.Stringer("peer", c.RemoteAddr()), zap.Bool("closes_silent_one", closesOne), zap.Int("since_last_line", n))
			}
			if !closesOne {
				s.counters.conns.Add(-1)
				_ = c.Close()
				continue
			}
		}
		conn := &countingConn{Conn: c, counters: &s.counters}
		accepted := &serverConn{
			server: s,
			conn:   conn,
			out:    newOutbox(conn, s.options, &s.counters),
			slots:  make(chan struct{}, s.options.concurrentPerConn),
		}
		s.mu.Lock()
		s.silent[accepted] = s.options.clock.Now()
		s.mu.Unlock()
		go accepted.out.loopWrite()
		go accepted.run(ctx)
	}
}

// closeSilent closes the oldest connection that has brought no message for some time after it
// was accepted. It reports whether there was one. Peers send at once, and no message is lost.
func (s *Server) closeSilent() bool {
	s.mu.Lock()
	var oldest *serverConn
	for l, since := range s.silent {
		if oldest == nil || since.Before(s.silent[oldest]) {
			oldest = l
		}
	}
	if oldest == nil || s.options.clock.Since(s.silent[oldest]) < maxFirstSilence {
		s.mu.Unlock()
		return false
	}
	delete(s.silent, oldest)
	s.mu.Unlock()
	oldest.out.closeConn()
	return true
}

// heard records that a connection has brought a message, or has ended.
func (s *Server) heard(l *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silent, l)
}

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	conn   net.Conn
	out    *outbox
	// slots holds an element for each message being handled; activeBytes is the
	// total size of their bodies.
	slots       chan struct{}
	activeBytes atomic.Int64
}

func (l *serverConn) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.server.counters.conns.Add(-1)
	defer l.out.close()
	defer l.server.heard(l)
	stop := context.AfterFunc(ctx, l.out.close)
	defer stop()
	idle := l.server.options.clock.AfterFunc(l.server.options.idle, l.out.closeConn)
	defer idle.Stop()
	r := bufio.NewReader(l.conn)
	for {
		var held *reserver.Reservation
		m, err := framer.ReadCharged(r, func(n int) bool { return l.charge(&held, n) })
		if err != nil || !held.Keep() {
			held.Release()
		}
		if errors.Is(err, framer.ErrVersion) {
			l.refuseVersion(m)
			return
		}
		if err != nil || held.Ended() {
			l.server.log.Debug("messenger: connection ended", zap.Error(err))
			return
		}
		l.server.heard(l)
		idle.Reset(l.server.options.idle)
		l.server.counters.messagesReceived.Add(1)
		if h, ok := l.server.streamHandler(m.Kind); ok {
			idle.Stop()
			held.Release()
			l.serveStream(ctx, r, m, h)
			return
		}
		l.dispatch(ctx, m, held)
	}
}

// charge reserves n more bytes for a message that is read, and reports false if there is no
// memory for them. A message that stops arriving has not run, so its connection may be closed.
func (l *serverConn) charge(held **reserver.Reservation, n int) bool {
	if *held != nil || l.server.options.memory == nil {
		(*held).Progress(n)
		return (*held).Grow(int64(n))
	}
	first, ok := l.server.options.memory.Acquire(reserver.Message, int64(n))
	first.OnReclaim(l.out.closeConn)
	*held = first
	return ok
}

// refuseVersion replies to a peer with an unsupported message version and then
// closes the connection.
func (l *serverConn) refuseVersion(m framer.Message) {
	l.server.log.Warn("messenger: peer speaks another version", zap.Int("version", m.Version))
	l.send(m.ID, reply{
		Verdict: int(judge.NotRun), Status: http.StatusNotImplemented,
		Code: "version", Reason: "peer message version is unknown here",
	})
	l.out.finish()
}

// dispatch handles a message on its own goroutine, or refuses it if a limit is
// reached.
func (l *serverConn) dispatch(ctx context.Context, m framer.Message, held *reserver.Reservation) {
	size := int64(len(m.Body))
	active := l.activeBytes.Load()
	if active > 0 && active+size > int64(l.server.options.queuedBytes) {
		held.Release()
		l.send(m.ID, busyReply())
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		held.Release()
		l.send(m.ID, busyReply())
		return
	}
	select {
	case l.server.slots <- struct{}{}:
		l.activeBytes.Add(size)
		work := &handlerCall{conn: l, message: m, held: held}
		go work.run(ctx)
	default:
		<-l.slots
		held.Release()
		l.send(m.ID, busyReply())
	}
}

func busyReply() reply {
	return refusalReply(judge.Unavailable("busy", "peer serves too many messages", time.Second))
}

// send queues a reply. If it cannot be queued, the connection is closed: the
// peer has no other way to learn that a reply is missing.
func (l *serverConn) send(id uint64, r reply) {
	body, err := msgpack.Marshal(r)
	if err != nil {
		l.out.closeConn()
		return
	}
	_, err = l.out.put(framer.Message{ID: id, Kind: kindReply, Body: body})
	if errors.Is(err, framer.ErrLength) {
		l.send(id, refusalReply(&judge.Refusal{
			Verdict: judge.Ran, Status: http.StatusInternalServerError,
			Code: "size", Reason: "reply is over the frame limit",
		}))
		return
	}
	if err != nil {
		l.server.log.Warn("messenger: peer does not read its replies", zap.Error(err))
		l.out.closeConn()
	}
}

// handlerCall is one message being handled.
type handlerCall struct {
	conn    *serverConn
	message framer.Message
	held    *reserver.Reservation
}

func (a *handlerCall) run(ctx context.Context) {
	defer func() { <-a.conn.server.slots }()
	defer func() { <-a.conn.slots }()
	defer a.held.Release()
	defer a.conn.activeBytes.Add(-int64(len(a.message.Body)))
	h, ok := a.conn.server.handler(a.message.Kind)
	if !ok {
		a.conn.send(a.message.ID, reply{
			Verdict: int(judge.NotRun), Status: http.StatusNotImplemented,
			Code: codeUnknownKind, Reason: "peer does not know this message",
		})
		return
	}
	if len(a.message.Body) > h.limit {
		a.conn.send(a.message.ID, reply{
			Verdict: int(judge.NotRun), Status: http.StatusRequestEntityTooLarge,
			Code: "size", Reason: "message is over the bound of its kind",
		})
		return
	}
	var out any
	var err error
	if !a.conn.server.options.call(a.message.Kind, func() {
		out, err = h.handler(extractTrace(ctx, a.message.Trace), a.message.Body)
	}) {
		err = &judge.Refusal{Verdict: judge.MayHaveRun, Status: http.StatusInternalServerError, Code: "internal", Reason: "the message was not handled to its end"}
	}
	if err != nil {
		a.conn.send(a.message.ID, refusalReply(judge.As(err)))
		return
	}
	body, err := msgpack.Marshal(out)
	if err != nil {
		r := judge.As(err)
		r.Verdict = judge.Ran
		a.conn.send(a.message.ID, refusalReply(r))
		return
	}
	a.conn.send(a.message.ID, reply{Body: body})
}

// call calls a handler.
func (o *options) call(kind string, f func()) bool {
	if o.guard != nil {
		return o.guard(kind, f)
	}
	f()
	return true
}
