package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"primrosehook/acceptor"
	"primrosehook/reserver"
)

// ShutdownOptions configures a planned shutdown.
type ShutdownOptions struct {
	// Linger is how long the instance still accepts requests after it has
	// become not ready, until load balancers and readers of the instance list
	// have noticed.
	Linger time.Duration
	// Drain is the longest wait for requests in flight after that. Requests that arrive in this
	// time are refused, and those that last longer are answered answerMargin before its end.
	Drain time.Duration
	// OnLeaving is called once at the start of the shutdown, in its own
	// goroutine: the shutdown does not wait for it, since the platform may be
	// unavailable.
	OnLeaving func(ctx context.Context)
}

// runState is a server that runs on its listeners.
type runState struct {
	server         *Server
	options        ShutdownOptions
	clientServer   *http.Server
	operatorServer *http.Server
	clients        acceptor.Listener
	// drained is closed when the shutdown has completed.
	drained chan struct{}
}

// Run serves clients and operators until the context ends, and then shuts down
// without cutting requests: the instance becomes not ready, accepts requests
// for the linger time, refuses later ones, waits for the requests in flight, and closes
// connections once their last answer has been written. The shutdown needs nothing from the
// platform, so it works while the log is unavailable. Operators are served until the end.
//
// It returns nil if all requests in flight were finished.
func (s *Server) Run(ctx context.Context, clients, operators net.Listener, options ShutdownOptions) error {
	r := &runState{
		server: s, options: options,
		clientServer: s.NewHTTPServer(s.Handler()), operatorServer: s.NewHTTPServer(s.OperatorHandler()),
		drained: make(chan struct{}),
	}
	r.clients = s.track(clients)
	group, ended := errgroup.WithContext(ctx)
	group.Go(func() error { return r.serve(r.clientServer, r.clients) })
	group.Go(func() error { return r.serve(r.operatorServer, operators) })
	group.Go(func() error { return r.runShutdown(ctx, ended) })
	return group.Wait()
}

// track returns a listener whose connections can be closed behind their last answers. One that no
// acceptor limits gets one without limits.
func (s *Server) track(l net.Listener) acceptor.Listener {
	if tracked, ok := l.(acceptor.Listener); ok {
		return tracked
	}
	const unlimited = 1 << 40
	memory := reserver.New(unlimited, reserver.WithClock(s.clock))
	return acceptor.New("callers", unlimited, memory, new(acceptor.Counts), s.clock, s.log).Listen(l)
}

func (r *runState) serve(h *http.Server, l net.Listener) error {
	r.server.log.Info("server: listening", zap.Stringer("address", l.Addr()))
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) && !r.server.draining.Load() {
		return eris.Wrap(err, "server")
	}
	<-r.drained
	return nil
}

// runShutdown waits until the context ends or a listener fails, and shuts down.
func (r *runState) runShutdown(ctx, ended context.Context) error {
	<-ended.Done()
	s := r.server
	defer close(r.drained)
	s.StartLeaving()
	stopCtx := context.WithoutCancel(ctx)
	if ctx.Err() != nil {
		r.linger(stopCtx)
	}
	s.startDraining()
	givenUp := r.drain(stopCtx)
	var err error
	if givenUp > 0 {
		s.log.Warn("server: requests in flight were given up at the end of the drain", zap.Int64("open", givenUp))
		err = eris.Errorf("%d requests were given up at the end of the drain", givenUp)
	}
	_ = r.clientServer.Close()
	_ = r.operatorServer.Close()
	s.log.Info("server: stopped")
	return err
}

// drain waits until no request is open, gives up those that are left shortly before the end of the
// drain and returns how many, and closes the connections behind their last answers.
func (r *runState) drain(ctx context.Context) (givenUp int64) {
	s := r.server
	limit := max(r.options.Drain, answerMargin)
	ctx, cancel := clockwork.WithTimeout(ctx, s.clock, limit)
	defer cancel()
	waiting, cancelWait := clockwork.WithTimeout(ctx, s.clock, limit-answerMargin)
	defer cancelWait()
	for s.OpenRequests() > 0 && r.pause(waiting) {
	}
	givenUp = s.OpenRequests()
	_ = r.clients.Close()
	for r.clients.EndUnused() > 0 {
		if waiting.Err() != nil {
			// Also ends the reads of bodies of requests that are refused, which are not counted.
			s.endRequests()
		}
		if !r.pause(ctx) {
			break
		}
	}
	return givenUp
}

// pause waits for drainInterval, and reports false once the context has ended.
func (r *runState) pause(ctx context.Context) bool {
	select {
	case <-r.server.clock.After(drainInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

const (
	// answerMargin is how long before the end of the drain requests are given up, so that their
	// clients get an answer. A shorter drain lasts as long.
	answerMargin = 500 * time.Millisecond
	// drainInterval is the pause between checks whether requests and connections are open.
	drainInterval = 20 * time.Millisecond
)

// linger keeps accepting requests while others observe the shutdown.
func (r *runState) linger(ctx context.Context) {
	if r.options.OnLeaving != nil {
		go r.runLeaving(ctx)
	}
	<-r.server.clock.After(r.options.Linger)
}

func (r *runState) runLeaving(ctx context.Context) { r.options.OnLeaving(ctx) }
