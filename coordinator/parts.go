package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/quarantiner"
)

const (
	// kindQuarantines is the kind of the message that asks a peer for its quarantines.
	kindQuarantines = "quarantines"
	// quarantinesInterval is the pause between two such questions, quarantinesTimeout
	// limits the wait for the reply.
	quarantinesInterval = 300 * time.Millisecond
	quarantinesTimeout  = 300 * time.Millisecond
)

// reportParts returns what to report about parts of prompts to an instance, all of it
// if the last report went to another one.
func (c *Coordinator) reportParts(address string) quarantiner.PartReport {
	if address != c.partsReceiver {
		c.partsReceiver = address
		c.Parts.Resend()
	}
	return c.Parts.Report()
}

// loopQuarantines asks peers for their quarantines while neither the lease holder nor a
// deputy replies. An instance that has just started may know neither while there is no
// lease.
func (c *Coordinator) loopQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.Clock.After(quarantinesInterval):
		}
		if c.Parts.Alone() {
			c.askQuarantines(ctx)
		}
	}
}

// askQuarantines asks one of the known peers.
func (c *Coordinator) askQuarantines(ctx context.Context) {
	peers := slices.DeleteFunc(slices.Concat(c.Seeds, *c.peerAddresses.Load()), func(address string) bool { return address == c.Address })
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quarantinesTimeout)
	defer cancel()
	var reply quarantiner.PartReply
	if err := c.Peers.Call(ctx, peers[rand.IntN(len(peers))], kindQuarantines, struct{}{}, &reply); err != nil {
		// Another peer is asked next.
		return
	}
	c.Parts.MergeQuarantines(reply)
}

func (c *Coordinator) handleQuarantines(context.Context, msgpack.RawMessage) (any, error) {
	return c.Parts.Quarantines(), nil
}
