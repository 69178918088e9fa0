package serveassembler

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/server"
)

// kindStatus is the kind of messages that request a peer's status.
const kindStatus = "status"

// Limits of collecting the statuses: the time for one peer's answer and how many
// peers are called at once.
const (
	statusTimeout      = 2 * time.Second
	maxConcurrentCalls = 16
)

// answerStatus answers a peer with this instance's status as JSON.
func (i *Instance) answerStatus(context.Context, msgpack.RawMessage) (any, error) {
	data, err := json.Marshal(i.server.State())
	if err != nil {
		return nil, judge.Invalid("encode", "status cannot be encoded")
	}
	return data, nil
}

// peerStatuses collects the status of all other live entry instances of the region.
// It leaves out those that do not answer in time.
func (i *Instance) peerStatuses(ctx context.Context) map[string]any {
	c := &statusCollection{instance: i, slots: make(chan struct{}, maxConcurrentCalls), states: map[string]any{}}
	for _, peer := range i.watcher.Instances(lister.KindEntry) {
		if peer.Name != i.self.Name {
			c.wait.Add(1)
			go c.run(ctx, peer)
		}
	}
	c.wait.Wait()
	return c.states
}

// statusCollection collects the peers' statuses for one request.
type statusCollection struct {
	instance *Instance
	slots    chan struct{}
	wait     sync.WaitGroup
	mu       sync.Mutex
	states   map[string]any
}

func (c *statusCollection) run(ctx context.Context, peer lister.Instance) {
	defer c.wait.Done()
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	ctx, cancel := clockwork.WithTimeout(ctx, c.instance.clock, statusTimeout)
	defer cancel()
	var data []byte
	if err := c.instance.peers.Call(ctx, peer.PeerAddr, kindStatus, struct{}{}, &data); err != nil {
		return
	}
	var state server.State
	if err := json.Unmarshal(data, &state); err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[peer.Name] = state
}
