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

// ShutdownOptions configures a planned shutdown.
type ShutdownOptions struct {
	// Linger is how long the instance still accepts requests after it has
	// become not ready, until load balancers and readers of the instance list
	// have noticed.
	Linger time.Duration
	// Drain is the longest wait for requests in flight after that.
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
func (s *Server) Run(ctx context.Context, clients, operators net.Listener, options ShutdownOptions) error {
	r := &runState{
		server: s, options: options,
		clientServer: s.NewHTTPServer(s.Handler()), operatorServer: s.NewHTTPServer(s.OperatorHandler()),
		drained: make(chan struct{}),
	}
	group, ended := errgroup.WithContext(ctx)
	group.Go(func() error { return r.serve(r.clientServer, clients) })
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
	s.StartLeaving()
	stopCtx := context.WithoutCancel(ctx)
	if ctx.Err() != nil {
		r.linger(stopCtx)
	}
	drainCtx, cancel := context.WithCancel(stopCtx)
	defer cancel()
	timer := s.clock.AfterFunc(r.options.Drain, cancel)
	defer timer.Stop()
	err := r.clientServer.Shutdown(drainCtx)
	if err != nil {
		s.log.Warn("server: requests in flight were cut at the end of the drain", zap.Int64("open", s.OpenRequests()))
		_ = r.clientServer.Close()
		err = eris.Errorf("%d requests were cut at the end of the drain", s.OpenRequests())
	}
	_ = r.operatorServer.Close()
	s.log.Info("server: stopped")
	return err
}

// linger keeps accepting requests while others observe the shutdown.
func (r *runState) linger(ctx context.Context) {
	if r.options.OnLeaving != nil {
		go r.runLeaving(ctx)
	}
	<-r.server.clock.After(r.options.Linger)
}

func (r *runState) runLeaving(ctx context.Context) { r.options.OnLeaving(ctx) }
