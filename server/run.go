package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Stop configures a planned shutdown.
type Stop struct {
	// Linger is how long the instance still accepts requests after it has
	// become not ready, until load balancers and readers of the instance list
	// have noticed.
	Linger time.Duration
	// Drain is the longest wait for requests in flight after that.
	Drain time.Duration
	// Leaving is called once at the start of the shutdown, in its own
	// goroutine: the shutdown does not wait for it, since the platform may be
	// unavailable.
	Leaving func(ctx context.Context)
}

// runState is a server that runs on its listeners.
type runState struct {
	server         *Server
	stop           Stop
	clientServer   *http.Server
	operatorServer *http.Server
	// drained is closed when the shutdown has completed.
	drained chan struct{}
}

// Run serves clients and operators until the context ends, and then shuts down
// without cutting requests: the instance becomes not ready, accepts requests
// for the linger time, closes its listeners, and waits for the requests in
// flight. The shutdown needs nothing from the platform, so it works while the
// log is unavailable. Operators are served until the end.
//
// It returns nil if no request was cut.
func (s *Server) Run(ctx context.Context, callers, operators net.Listener, stop Stop) error {
	r := &runState{
		server: s, stop: stop,
		clientServer: s.Listener(s.Handler()), operatorServer: s.Listener(s.Operators()),
		drained: make(chan struct{}),
	}
	group, ended := errgroup.WithContext(ctx)
	group.Go(func() error { return r.serve(r.clientServer, callers) })
	group.Go(func() error { return r.serve(r.operatorServer, operators) })
	group.Go(func() error { return r.runShutdown(ctx, ended) })
	return group.Wait()
}

func (r *runState) serve(h *http.Server, l net.Listener) error {
	r.server.log.Info("server: listening", zap.Stringer("address", l.Addr()))
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
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
	s.Leave()
	stopCtx := context.WithoutCancel(ctx)
	if ctx.Err() != nil {
		r.linger(stopCtx)
	}
	drainCtx, cancel := context.WithCancel(stopCtx)
	defer cancel()
	timer := s.clock.AfterFunc(r.stop.Drain, cancel)
	defer timer.Stop()
	err := r.clientServer.Shutdown(drainCtx)
	if err != nil {
		s.log.Warn("server: requests in flight were cut at the end of the drain", zap.Int64("open", s.Open()))
		_ = r.clientServer.Close()
		err = eris.Errorf("%d requests were cut at the end of the drain", s.Open())
	}
	_ = r.operatorServer.Close()
	s.log.Info("server: stopped")
	return err
}

// linger keeps accepting requests while others observe the shutdown.
func (r *runState) linger(ctx context.Context) {
	if r.stop.Leaving != nil {
		go r.runLeaving(ctx)
	}
	<-r.server.clock.After(r.stop.Linger)
}

func (r *runState) runLeaving(ctx context.Context) { r.stop.Leaving(ctx) }
