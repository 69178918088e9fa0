package publisher

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/framer"
	"primrosehook/judge"
)

// maxListRequestBytes bounds the body of a list request.
const maxListRequestBytes = 1 << 10

// listRequest asks a peer for its list, if that is newer than version Have.
type listRequest struct {
	Have Version `msgpack:"h"`
	// Packed is set if the requester can read packed lists; older builds
	// cannot.
	Packed bool `msgpack:"z,omitempty"`
}

func (p *Publisher) handleListRequest(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q listRequest
	if err := framer.Decode(body, &q); err != nil {
		return nil, judge.Invalid("body", "message is malformed")
	}
	current, _ := p.Published()
	if current.Version <= q.Have {
		return AcceptedList{}, nil
	}
	if q.Packed {
		current.Publish = current.wireForm()
	} else {
		current.Publish = current.plainForm()
	}
	return current, nil
}

// OnPeerVersion handles a gossip report that the peer at addr has a version. If that
// version is newer than this instance's and does not arrive through the log,
// it is fetched from the peer. This is safe while the log is unavailable,
// since a peer has a version only after the log accepted it.
//
// Pings report a new version many times a second, often before this instance
// has read it from the log. Only one call at a time handles a version, and it
// first waits for the log, so that the text is transferred once.
func (p *Publisher) OnPeerVersion(ctx context.Context, addr string, version Version) error {
	if !p.beginCatchUp(version) {
		return nil
	}
	defer p.endCatchUp(version)
	if p.awaitLog(ctx, version) {
		return nil
	}
	return p.fetch(ctx, addr)
}

func (p *Publisher) beginCatchUp(version Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.current.Version || version <= p.catchingUp {
		return false
	}
	p.catchingUp = version
	return true
}

func (p *Publisher) endCatchUp(version Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.catchingUp == version {
		p.catchingUp = 0
	}
}

// awaitLog waits for a version as long as the log can be read, and reports
// whether it has arrived.
func (p *Publisher) awaitLog(ctx context.Context, version Version) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, p.options.clock, p.options.logWait)
	defer cancel()
	for {
		changed := p.Changed()
		if p.Version() >= version {
			return true
		}
		if s := p.follower.Status(); !s.Current || !s.Reachable {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.Version() >= version
		}
	}
}

// fetch requests a peer's list and puts it in force if it is newer.
func (p *Publisher) fetch(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var next AcceptedList
	if err := p.peers.Call(ctx, addr, kindRules, listRequest{Have: p.Version(), Packed: true}, &next); err != nil {
		return err
	}
	if next.Version == 0 {
		return nil
	}
	list, err := next.decode()
	if err != nil {
		return eris.Wrap(err, "rule list from a peer is invalid")
	}
	p.advance(next, list, addr)
	return nil
}

// runPull requests the list from peers until the log has been read to its
// end.
func (p *Publisher) runPull(ctx context.Context) {
	ticker := p.options.clock.NewTicker(p.options.pullInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !p.follower.Status().Current {
		for _, peer := range p.choosePeers() {
			if err := p.fetch(ctx, peer.PeerAddr); err != nil {
				p.options.log.Debug("publisher: peer did not return its rule list",
					zap.String("peer", peer.Name), zap.Error(err))
			}
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}
