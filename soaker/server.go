package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"primrosehook/auditor"
	"primrosehook/faker"
	"primrosehook/platform"
)

// server is a model server or a plain one at an address, through all its lifetimes.
type server struct {
	world            *world
	service, address string
	number           int
	// busy is held by the fault that acts on the server.
	busy sync.Mutex
	// resets makes it reset connections in the middle of answers.
	resets atomic.Bool

	mu sync.Mutex
	// host and model are those of the current lifetime, nil if there is none.
	host      *http.Server
	model     *faker.ModelServer
	lifetimes int
	sequence  int
}

// start begins a lifetime with some models.
func (s *server) start(models ...string) error {
	l, err := listen(s.world.clock, s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lifetimes++
	id := fmt.Sprintf("s%d.%d", s.number, s.lifetimes)
	m := faker.NewModelServer(id, models...)
	m.LoadTime, m.MaxModels, m.WorkTime = loadTime, roomForModels, workTime
	m.Events, m.EventGap, m.Echo, m.Build = events, eventGap, true, build
	m.Ran = func(q *http.Request) {
		name, run := q.Header.Get(headerID), auditor.Run{Server: id, At: s.world.clock.Now()}
		s.world.record.Change(func() { s.world.record.Runs[name] = append(s.world.record.Runs[name], run) })
	}
	s.model, s.host = m, newHTTPServer(s.handler(m))
	go runServe(s.host, l)
	s.mu.Unlock()
	return nil
}

// kill ends the lifetime without a word, and returns the ID.
func (s *server) kill() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil {
		return ""
	}
	_ = s.host.Close() // what matters is that it is closed
	orders, _ := s.model.Accepted()
	orders = slices.DeleteFunc(orders, func(o string) bool { return !strings.HasPrefix(o, "load") })
	over := auditor.Server{ID: s.model.ID, Loads: len(orders), Overcommitted: s.model.Overcommitted()}
	s.world.record.Change(func() { s.world.record.Servers = append(s.world.record.Servers, over) })
	s.host, s.model = nil, nil
	return over.ID
}

// register writes the server's entry to the store.
func (s *server) register(ctx context.Context) error {
	s.mu.Lock()
	m := s.model
	s.sequence++
	n := s.sequence
	s.mu.Unlock()
	if m == nil {
		return nil
	}
	return s.world.store.put(ctx, platform.TopicServers, m.ID, m.Registration(s.service, s.address, zone(s.number), "ready", n))
}

// loopRegister registers the server until the context ends.
func (s *server) loopRegister(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.register(ctx); err != nil && ctx.Err() == nil {
			s.world.log.Warn("soak: server not registered", zap.String("address", s.address), zap.Error(err))
		}
		s.world.sleep(ctx, heartbeat)
	}
}

// runExpire removes the entry of a lifetime that has ended.
func (s *server) runExpire(ctx context.Context, id string) {
	s.world.sleep(ctx, expiry)
	if err := s.world.store.put(ctx, platform.TopicServers, id, nil); err != nil && ctx.Err() == nil {
		s.world.log.Warn("soak: entry not removed", zap.String("server", id), zap.Error(err))
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// handler serves a lifetime, and resets answers while that is set.
func (s *server) handler(m *faker.ModelServer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.resets.Load() && !strings.HasPrefix(q.URL.Path, "/-/") {
			left := 0
			if q.Header.Get(headerModel) != "" {
				left = events / 2
			}
			w = &resettingWriter{ResponseWriter: w, request: q, left: left}
		}
		m.ServeHTTP(w, q)
	})
}

// resettingWriter resets the connection in the middle of a write, after some whole ones.
type resettingWriter struct {
	http.ResponseWriter
	request *http.Request
	left    int
}

// Write implements io.Writer.
func (r *resettingWriter) Write(p []byte) (int, error) {
	if r.left > 0 {
		r.left--
		return r.ResponseWriter.Write(p)
	}
	_, _ = r.ResponseWriter.Write(p[:len(p)/2])              // the connection ends anyway
	_ = http.NewResponseController(r.ResponseWriter).Flush() // as above
	if c, ok := r.request.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // closing then resets
	}
	panic(http.ErrAbortHandler)
}

// Unwrap serves http.ResponseController.
func (r *resettingWriter) Unwrap() http.ResponseWriter { return r.ResponseWriter }
