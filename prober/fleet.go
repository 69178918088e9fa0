package prober

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

// Node is one instance of a fleet. It is the instance's view of the members.
type Node struct {
	lister.Instance
	Log    *Client
	Peers  *messenger.Client
	Server *messenger.Server
	// Context ends with the instance.
	Context context.Context

	fleet    *Fleet
	alone    atomic.Bool
	listener net.Listener
	stop     context.CancelFunc
}

// Add adds an instance that listens on loopback.
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

// Kill ends the instance at once. It stays a member until it is removed, as
// in a list that lags.
func (n *Node) Kill() {
	n.stop()
	_ = n.listener.Close()
	n.Peers.Close()
	n.Log.SetDown(true)
}

// Remove takes an instance out of the members.
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

// SetAlone makes the instance take itself for the only home of everything, as
// when the views of the members disagree.
func (n *Node) SetAlone(alone bool) { n.alone.Store(alone) }

// Homes implements watcher.View.
func (n *Node) Homes(shard string, count int) []lister.Instance {
	if n.alone.Load() {
		return []lister.Instance{n.Instance}
	}
	all := n.Instances(lister.KindEntry)
	slices.SortFunc(all, func(a, b lister.Instance) int {
		return cmp.Compare(xxhash.Sum64String(shard+"/"+a.Name), xxhash.Sum64String(shard+"/"+b.Name))
	})
	return all[:min(count, len(all))]
}
