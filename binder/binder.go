// Package binder opens the addresses that a process listens on, and waits for those that
// can't be opened yet.
package binder

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// Patience is how long all addresses of a process may take together.
	Patience = 30 * time.Second
	// firstPause and maxPause are the bounds of the pause between attempts, which doubles.
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Address is a TCP address to listen on.
type Address struct {
	// Name says in log lines and errors what the address is for.
	Name    string
	Address string
	// Config has the options of the socket.
	Config net.ListenConfig
}

// Binder opens addresses.
type Binder struct {
	clock clockwork.Clock
	log   *zap.Logger
}

// New returns a binder.
func New(clock clockwork.Clock, log *zap.Logger) *Binder { return &Binder{clock: clock, log: log} }

// Open opens addresses in their order. It waits up to Patience for ports that are taken and
// for addresses that the machine does not have yet, and no longer than until the context ends.
// After an error, which is the context's if that has ended, none of them is open.
func (b *Binder) Open(ctx context.Context, addresses ...Address) ([]net.Listener, error) {
	deadline := b.clock.Now().Add(Patience)
	var open []net.Listener
	for i := range addresses {
		l, err := b.open(ctx, &addresses[i], deadline)
		if err != nil {
			for _, l := range open {
				// What was opened has not been used.
				_ = l.Close()
			}
			return nil, err
		}
		open = append(open, l)
	}
	return open, nil
}

func (b *Binder) open(ctx context.Context, a *Address, deadline time.Time) (net.Listener, error) {
	start := b.clock.Now()
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		l, err := a.Config.Listen(ctx, "tcp", a.Address)
		waited := b.clock.Since(start)
		switch {
		case err == nil:
			if pause > firstPause {
				b.log.Info("listen: address is open now", zap.String("for", a.Name), zap.String("address", a.Address), zap.Duration("waited", waited))
			}
			return l, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case !mayPass(err) || !b.clock.Now().Before(deadline):
			return nil, eris.Wrapf(err, "listen for %s", a.Name)
		case pause == firstPause:
			b.log.Warn("listen: address can't be opened yet", zap.String("for", a.Name), zap.String("address", a.Address), zap.Duration("patience", deadline.Sub(b.clock.Now())), zap.Error(err))
		}
		select {
		case <-b.clock.After(pause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// mayPass reports whether an address may be opened later: its port is taken, or no interface of
// the machine has it.
func mayPass(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}
