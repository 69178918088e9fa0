package entryassembler

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"primrosehook/balancer"
	"primrosehook/platform"
	"primrosehook/registrar"
	"primrosehook/relayer"
	"primrosehook/tailer"
)

// configuration applies published configurations to the relayer.
type configuration struct {
	relayer *relayer.Relayer
	log     *zap.Logger
	// onConfig is called with the record of each version that takes effect.
	onConfig func(x tailer.Record, version int64)
}

// Full implements tailer.Sink.
func (c *configuration) Full(list []tailer.Record, _ int64) { c.Apply(list) }

// Apply implements tailer.Sink. It applies only the newest valid configuration.
func (c *configuration) Apply(list []tailer.Record) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Key != platform.KeyConfig || list[i].Value == nil {
			continue
		}
		t, rejections, err := platform.DecodeConfig(list[i].Value)
		if err != nil {
			c.log.Warn("config: record can't be read, the last version stays", zap.Int64("offset", list[i].Offset), zap.Error(err))
			continue
		}
		if c.relayer.SetTable(t) {
			for _, x := range rejections {
				c.log.Warn("config: entry is left out", zap.Int64("version", t.Version), zap.String("entry", x.Entry), zap.String("reason", x.Reason))
			}
			c.log.Info("config: in force", zap.Int64("version", t.Version), zap.Int("bytes", len(list[i].Value)))
			c.onConfig(list[i], t.Version)
		}
		return
	}
}

// registry maintains the known servers from the records of the registry.
type registry struct {
	fleet *balancer.Fleet
	clock clockwork.Clock
	log   *zap.Logger
	// onFull is called with the newest record of each key, and onRecords with the records read and the
	// resulting servers.
	onFull    func(list []tailer.Record, next int64)
	onRecords func(list []tailer.Record, servers []registrar.Server)

	mu   sync.Mutex
	core *registrar.Core
	// synced is set once the registry has been read.
	synced bool
	// undecodable has the keys whose records could not be decoded, so that each
	// key is logged once.
	undecodable map[string]bool
}

// expiryCheckInterval is the interval between checks whether servers with an
// expired registration can be dropped.
const expiryCheckInterval = 250 * time.Millisecond

func newRegistry(fleet *balancer.Fleet, clock clockwork.Clock, log *zap.Logger) *registry {
	return &registry{
		fleet: fleet, clock: clock, log: log, undecodable: map[string]bool{},
		core: registrar.NewCore(registrar.DefaultSettings()),
	}
}

// isSynced reports whether the registry has been read.
func (r *registry) isSynced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Full implements tailer.Sink.
func (r *registry) Full(list []tailer.Record, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.synced = true
	r.core.Read(now)
	present := make(map[string]bool, len(list))
	for _, x := range list {
		present[x.Key] = true
		r.applyRecord(now, x)
	}
	r.core.Retain(now, present, next)
	r.onFull(list, next)
	r.publish(now, list)
}

// Apply implements tailer.Sink.
func (r *registry) Apply(list []tailer.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.core.Read(now)
	changed := list[:0:0]
	for _, x := range list {
		if r.applyRecord(now, x) {
			changed = append(changed, x)
		}
	}
	r.synced = r.synced || len(list) > 0
	switch {
	case len(changed) > 0:
		r.publish(now, changed)
	case len(list) > 0:
		r.onRecords(nil, r.core.Servers(now))
	}
}

// publish sends the servers to the fleet and to onRecords.
func (r *registry) publish(now time.Time, list []tailer.Record) {
	servers := r.core.Servers(now)
	r.fleet.Update(servers)
	r.onRecords(list, servers)
}

// applyRecord applies one record and reports whether it changes anything.
func (r *registry) applyRecord(now time.Time, x tailer.Record) bool {
	if x.Value == nil {
		r.log.Info("registry: server left", zap.String("server", x.Key))
		return r.core.Remove(now, x.Key, x.Offset)
	}
	s, err := platform.DecodeServer(x.Key, x.Value)
	if err != nil {
		if !r.undecodable[x.Key] {
			r.undecodable[x.Key] = true
			r.log.Warn("registry: entry names no server", zap.String("key", x.Key), zap.Error(err))
		}
		return r.core.Remove(now, x.Key, x.Offset)
	}
	delete(r.undecodable, x.Key)
	if !r.core.Put(now, x.Offset, s) {
		return false
	}
	r.log.Info("registry: server registered", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address), zap.String("build", s.Build),
		zap.Bool("draining", s.Draining), zap.Int64("beat", s.Heartbeat), zap.Int64("offset", x.Offset), zap.Int("models", len(s.Loaded)))
	return true
}

// loopExpiry drops servers with an expired registration once their grace period
// has ended.
func (r *registry) loopExpiry(ctx context.Context) {
	t := r.clock.NewTicker(expiryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			r.dropExpired()
		}
	}
}

// dropExpired drops the servers whose grace period has ended.
func (r *registry) dropExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.HasExpired() {
		return
	}
	now := r.clock.Now()
	before := r.core.Changes()
	r.core.Servers(now)
	if r.core.Changes() != before {
		r.publish(now, nil)
	}
}
