package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/tailer"
)

const (
	// kindConfig is the kind of the message that carries a ConfigQuery.
	kindConfig = "config"
	// maxStoreWait is how long an instance reads the store for a configuration that
	// its peers have: its longest read, and a margin for a large record.
	maxStoreWait = 1500 * time.Millisecond
	// announcementGap is the longest time between two announcements of the same
	// configuration.
	announcementGap = 2 * time.Second
	// configPartBytes is the size of a part of a configuration, some 50 ms on a
	// narrow link; configPartTimeout is the timeout of each part.
	configPartBytes   = 64 << 10
	configPartTimeout = time.Second
	// maxConfigPeers is how many peers are asked before the next reply that
	// announces the configuration.
	maxConfigPeers = 3
	// maxConfigRecord bounds a configuration that is fetched from a peer, in bytes.
	maxConfigRecord = 16 << 20
)

// noConfig is the version of an instance that has no configuration.
const noConfig = -1

// ConfigQuery asks a peer for a part of the newest configuration that it has.
type ConfigQuery struct {
	// Offset is the offset of the record that earlier parts belong to, From the
	// size of these. A peer that has another record sends its first part.
	Offset int64 `msgpack:"o"`
	From   int   `msgpack:"f"`
}

// ConfigPart is a part of a configuration.
type ConfigPart struct {
	// Version is the version of the configuration, noConfig if the peer has none. Earlier builds
	// then send 0 and no Key.
	Version int64 `msgpack:"v"`
	// Offset, Key and Size are those of the record, From is where in its value
	// Bytes begin.
	Offset int64  `msgpack:"o"`
	Key    string `msgpack:"k"`
	Size   int    `msgpack:"s"`
	From   int    `msgpack:"f"`
	Bytes  []byte `msgpack:"b"`
}

// loopConfig fetches configurations that are too large for a reply from peers
// if this instance does not get them from the store.
func (c *Coordinator) loopConfig(ctx context.Context) {
	// The instance has been without the announced configuration since behindSince.
	var behindSince, announcedAt time.Time
	version := int64(-1)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.configAnnounced:
		}
		now := c.Clock.Now()
		if own := c.configVersion(); own != version || now.Sub(announcedAt) > announcementGap {
			behindSince, version = now, own
		}
		announcedAt = now
		if c.Config.Age() > maxStoreWait || now.Sub(behindSince) > maxStoreWait {
			c.fetchConfig(ctx)
		}
	}
}

// fetchConfig fetches the newest configuration from a peer that has a newer one
// than this instance.
func (c *Coordinator) fetchConfig(ctx context.Context) {
	known := *c.peerAddresses.Load()
	if len(known) == 0 {
		// No lease holder has named the members yet.
		known = c.Seeds
	}
	peers := slices.DeleteFunc(slices.Clone(known), func(a string) bool { return a == c.Address })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, address := range peers[:min(maxConfigPeers, len(peers))] {
		record, version, err := c.fetchConfigFrom(ctx, address)
		if err != nil {
			c.Log.Info("coordinator: configuration can't be fetched", zap.String("peer", address), zap.Error(err))
			continue
		}
		if version > c.configVersion() {
			c.Log.Info("coordinator: configuration fetched", zap.String("peer", address), zap.Int64("version", version), zap.Int("bytes", len(record.Value)))
			c.Config.Offer(record)
			return
		}
	}
}

// fetchConfigFrom fetches the newest configuration that a peer has. The record is
// empty if it is not newer than that of this instance.
func (c *Coordinator) fetchConfigFrom(ctx context.Context, address string) (tailer.Record, int64, error) {
	q := ConfigQuery{Offset: -1}
	var value []byte
	for {
		var part ConfigPart
		callCtx, cancel := context.WithTimeout(ctx, configPartTimeout)
		err := c.Peers.Call(callCtx, address, kindConfig, q, &part)
		cancel()
		if err != nil {
			return tailer.Record{}, 0, eris.Wrap(err, "fetch a part of the configuration")
		}
		if part.Version <= c.configVersion() || part.Key == "" {
			return tailer.Record{}, noConfig, nil
		}
		if part.Offset != q.Offset {
			q.Offset, value = part.Offset, nil
		}
		if part.From != len(value) || part.Size > maxConfigRecord || len(part.Bytes) == 0 && part.Size > len(value) {
			return tailer.Record{}, 0, eris.New("parts of the configuration do not fit together")
		}
		value = append(value, part.Bytes...)
		if len(value) >= part.Size {
			return tailer.Record{Offset: part.Offset, Key: part.Key, Value: value}, part.Version, nil
		}
		q.From = len(value)
	}
}

// handleConfig sends a part of the newest configuration that this instance has.
func (c *Coordinator) handleConfig(_ context.Context, body msgpack.RawMessage) (any, error) {
	var q ConfigQuery
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, eris.Wrap(err, "decode query for the configuration")
	}
	return c.cluster.configPart(q), nil
}

// configPart returns the part of the newest configuration that a query asks for.
func (c *clusterState) configPart(q ConfigQuery) ConfigPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.configRecord
	if c.configVersion == noConfig {
		return ConfigPart{Version: noConfig}
	}
	from := 0
	if q.Offset == x.Offset && q.From >= 0 && q.From <= len(x.Value) {
		from = q.From
	}
	return ConfigPart{
		Version: c.configVersion, Offset: x.Offset, Key: x.Key, Size: len(x.Value), From: from,
		Bytes: x.Value[from:min(from+configPartBytes, len(x.Value))],
	}
}
