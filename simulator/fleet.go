package simulator

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/lister"
	"primrosehook/messenger"
)

// Fleet is a set of entry instances in one process that share a log.
type Fleet struct {
	Log *Log

	mu      sync.Mutex
	members []lister.Instance
}

// NewFleet returns a fleet without members.
func NewFleet() *Fleet { return &Fleet{Log: NewLog()} }

// Node is one instance of a fleet. It implements watcher.View.
type Node struct {
	lister.Instance
	Log    *LogClient
	Peers  *messenger.Client
	Server *messenger.Server
	// Context ends when the instance is killed.
	Context context.Context

	fleet     *Fleet
	soleOwner atomic.Bool
	listener  net.Listener
	stop      context.CancelFunc
}

// Add starts an instance that listens on a loopback address.
func (f *Fleet) Add(name string) (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		Instance: lister.Instance{
			Name: name, Kind: lister.KindEntry, PeerAddr: l.Addr().String(), State: lister.StateLive,
		},
		Log:      f.Log.Client(),
		Peers:    messenger.NewClient(clockwork.NewRealClock()),
		Server:   messenger.NewServer(zap.NewNop()),
		Context:  ctx,
		fleet:    f,
		listener: l,
		stop:     stop,
	}
	f.mu.Lock()
	f.members = append(f.members, n.Instance)
	f.mu.Unlock()
	go n.runServe()
	return n, nil
}

func (n *Node) runServe() { _ = n.Server.Serve(n.Context, n.listener) }

// Kill stops the instance immediately. It stays a member until Remove is
// called, as a crashed instance does in a delayed instance list.
func (n *Node) Kill() {
	n.stop()
	_ = n.listener.Close()
	n.Peers.Close()
	n.Log.SetUnreachable(true)
}

// Remove removes an instance from the members.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(i lister.Instance) bool { return i.Name == name })
}

// Self implements watcher.View.
func (n *Node) Self() lister.Instance { return n.Instance }

// Instances implements watcher.View.
func (n *Node) Instances(kind string) []lister.Instance {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var found []lister.Instance
	for _, i := range n.fleet.members {
		if i.Kind == kind {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b lister.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// SetSoleOwner makes the instance's view name itself as the only owner of every
// shard, to simulate views that disagree.
func (n *Node) SetSoleOwner(alone bool) { n.soleOwner.Store(alone) }

// Owners implements watcher.View.
func (n *Node) Owners(shard string, count int) []lister.Instance {
	if n.soleOwner.Load() {
		return []lister.Instance{n.Instance}
	}
	all := n.Instances(lister.KindEntry)
	slices.SortFunc(all, func(a, b lister.Instance) int {
		return cmp.Compare(xxhash.Sum64String(shard+"/"+a.Name), xxhash.Sum64String(shard+"/"+b.Name))
	})
	return all[:min(count, len(all))]
}
