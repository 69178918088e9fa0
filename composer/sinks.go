package composer

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

// configuration puts published configurations in force.
type configuration struct {
	relayer *relayer.Relayer
	log     *zap.Logger
	// published takes the record of each version that came into force.
	published func(x tailer.Record, version int64)
}

// Full implements tailer.Sink.
func (c *configuration) Full(list []tailer.Record, _ int64) { c.Apply(list) }

// Apply implements tailer.Sink. Of a series only the newest counts.
func (c *configuration) Apply(list []tailer.Record) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Key != platform.KeyConfig || list[i].Value == nil {
			continue
		}
		t, err := platform.DecodeConfig(list[i].Value)
		if err != nil {
			c.log.Warn("config: record can't be read, the last version stays", zap.Int64("offset", list[i].Offset), zap.Error(err))
			continue
		}
		if c.relayer.SetTable(t) {
			c.log.Info("config: in force", zap.Int64("version", t.Version))
			c.published(list[i], t.Version)
		}
		return
	}
}

// registry keeps the view of the servers.
type registry struct {
	fleet *balancer.Fleet
	clock clockwork.Clock
	log   *zap.Logger
	// registered takes the records read and the servers they make.
	registered func(list []tailer.Record, servers []registrar.Server)

	mu   sync.Mutex
	core *registrar.Core
	read bool
	// bad holds the offsets' keys that could not be decoded, so that each is
	// logged once.
	bad map[string]bool
}

// expiryCheckInterval is the interval between checks whether servers with an
// expired registration can be dropped.
const expiryCheckInterval = 250 * time.Millisecond

func newRegistry(fleet *balancer.Fleet, clock clockwork.Clock, log *zap.Logger) *registry {
	return &registry{
		fleet: fleet, clock: clock, log: log, bad: map[string]bool{},
		core: registrar.NewCore(registrar.DefaultSettings()),
	}
}

func (r *registry) known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Full implements tailer.Sink.
func (r *registry) Full(list []tailer.Record, next int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.read = true
	r.core.Read(now)
	shown := make(map[string]bool, len(list))
	for _, x := range list {
		shown[x.Key] = true
		r.put(now, x)
	}
	r.core.Retain(now, shown, next)
	r.pass(now, list)
}

// Apply implements tailer.Sink.
func (r *registry) Apply(list []tailer.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.core.Read(now)
	news := list[:0:0]
	for _, x := range list {
		if r.put(now, x) {
			news = append(news, x)
		}
	}
	r.read = r.read || len(list) > 0
	switch {
	case len(news) > 0:
		r.pass(now, news)
	case len(list) > 0:
		r.registered(nil, r.core.Servers(now))
	}
}

// pass hands the view on.
func (r *registry) pass(now time.Time, list []tailer.Record) {
	servers := r.core.Servers(now)
	r.fleet.Update(servers)
	r.registered(list, servers)
}

// put takes one record over and reports whether it says anything new.
func (r *registry) put(now time.Time, x tailer.Record) bool {
	if x.Value == nil {
		r.log.Info("registry: server left", zap.String("server", x.Key))
		return r.core.Remove(now, x.Key, x.Offset)
	}
	s, err := platform.DecodeServer(x.Key, x.Value)
	if err != nil {
		if !r.bad[x.Key] {
			r.bad[x.Key] = true
			r.log.Warn("registry: entry names no server", zap.String("key", x.Key), zap.Error(err))
		}
		return r.core.Remove(now, x.Key, x.Offset)
	}
	delete(r.bad, x.Key)
	if !r.core.Put(now, x.Offset, s) {
		return false
	}
	r.log.Info("registry: server registered", zap.String("server", s.ID), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.Bool("draining", s.Draining), zap.Int64("beat", s.Heartbeat), zap.Int64("offset", x.Offset), zap.Int("models", len(s.Loaded)))
	return true
}

// run drops servers with an expired registration once their grace period has
// ended.
func (r *registry) run(ctx context.Context) {
	t := r.clock.NewTicker(expiryCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			r.settle()
		}
	}
}

func (r *registry) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.HasExpired() {
		return
	}
	now := r.clock.Now()
	before := r.core.Changes()
	r.core.Servers(now)
	if r.core.Changes() != before {
		r.pass(now, nil)
	}
}
