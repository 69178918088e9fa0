package entryassembler

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/detourer"
	"primrosehook/messenger"
)

const (
	// kindPause is the kind of the message that tells an instance what a server has said in
	// an answer that came through it.
	kindPause = "pause"
	// pauseTimeout bounds a message, leavingTime is how long no detours are served to a
	// server that leaves.
	pauseTimeout = 300 * time.Millisecond
	leavingTime  = time.Minute
)

// pauses spreads what servers say of leaving and rest. A server takes a request that comes
// through another instance for that one's, and so means that one. It implements
// relayer.Pauses.
type pauses struct {
	fleet    *balancer.Fleet
	detourer *detourer.Detourer
	peers    *messenger.Client
	clock    clockwork.Clock
	log      *zap.Logger
}

// Serve registers the handler for the messages of peers.
func (p *pauses) Serve(s *messenger.Server) { s.Handle(kindPause, p.handlePause) }

// Spread implements relayer.Pauses.
func (p *pauses) Spread(said balancer.Pause, via string) {
	if via == "" {
		p.pauseDetours(said)
		return
	}
	go p.runTell(said, via)
}

// runTell tells an instance what a server has said to it.
func (p *pauses) runTell(said balancer.Pause, via string) {
	ctx, cancel := context.WithTimeout(context.Background(), pauseTimeout)
	defer cancel()
	if err := p.peers.Call(ctx, via, kindPause, said, nil); err != nil {
		p.log.Info("detour: instance is not told what a server has said", zap.String("member", via), zap.String("incarnation", said.Incarnation), zap.Error(err))
	}
}

// pauseDetours serves no detours to a server that wants no requests of this instance.
func (p *pauses) pauseDetours(said balancer.Pause) {
	length := said.Rest
	if said.Leaving {
		length = leavingTime
	}
	p.detourer.Pause(said.Address, p.clock.Now().Add(length))
}

func (p *pauses) handlePause(_ context.Context, body msgpack.RawMessage) (any, error) {
	var said balancer.Pause
	if err := msgpack.Unmarshal(body, &said); err != nil {
		return nil, eris.Wrap(err, "decode what a server has said")
	}
	p.fleet.ApplyPause(said)
	p.pauseDetours(said)
	return true, nil
}
