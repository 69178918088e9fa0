package soaker

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"primrosehook/auditor"
	"primrosehook/platform"
)

// runPlan plays a plan and waits until its faults have ended.
func (w *world) runPlan(ctx context.Context, steps []step) {
	var played sync.WaitGroup
	for _, s := range steps {
		played.Go(func() {
			w.sleep(ctx, s.at-w.clock.Since(w.record.Begin))
			if ctx.Err() == nil {
				w.play(ctx, s)
			}
		})
	}
	played.Wait()
}

// play plays one fault. It waits for those before it that act on the same instances, servers or store.
func (w *world) play(ctx context.Context, s step) {
	for _, busy := range w.locks(s) {
		busy.Lock()
		defer busy.Unlock()
	}
	f := &auditor.Fault{Kind: s.Name, Instances: s.on, Store: s.store, Planned: s.planned, Begin: w.clock.Now()}
	if s.start {
		f.Begin = w.record.Begin
	}
	w.record.Change(func() { w.record.Faults = append(w.record.Faults, f) })
	w.log.Info("soak: fault begins", zap.String("fault", s.Name), zap.Ints("instances", s.on), zap.Ints("servers", s.servers), zap.String("store", s.mode), zap.Duration("length", s.length))
	err := w.act(ctx, s)
	w.record.Change(func() { f.End = w.clock.Now() })
	if err != nil && ctx.Err() == nil {
		w.log.Error("soak: fault failed", zap.String("fault", s.Name), zap.Error(err))
		w.fail(err)
		return
	}
	w.log.Info("soak: fault ends", zap.String("fault", s.Name), zap.Duration("after", f.End.Sub(f.Begin)))
}

// locks returns what a fault holds, always in the same order.
func (w *world) locks(s step) []*sync.Mutex {
	var list []*sync.Mutex
	if s.store {
		list = append(list, &w.store.busy)
	}
	for _, i := range s.on {
		list = append(list, &w.instances[i].busy)
	}
	for _, n := range s.servers {
		list = append(list, &w.servers[n].busy)
	}
	return list
}

// storeModes are the modes of the faults of the store.
var storeModes = map[string]string{"store-away": modeAway, "store-refusing": modeRefusing, "store-hanging": modeHanging, "store-slow": modeSlow}

func (w *world) act(ctx context.Context, s step) error {
	if mode, ok := storeModes[s.Name]; ok {
		if err := w.store.set(mode); err != nil {
			return err
		}
		w.sleep(ctx, s.length)
		return w.store.set(modeServing)
	}
	switch s.Name {
	case "store-late", "config-late":
		// It has begun before the instances' start.
		w.sleep(ctx, s.length)
		if err := w.store.set(modeServing); err != nil {
			return err
		}
		if s.Name == "config-late" {
			return w.configure(ctx)
		}
		return nil
	case auditor.KindChange:
		err := w.configure(ctx)
		w.sleep(ctx, s.length)
		return err
	case "server-kill", "server-reset":
		return w.actOnServer(ctx, s)
	}
	var group errgroup.Group
	for _, n := range s.on {
		group.Go(func() error { return w.instances[n].act(ctx, s) })
	}
	return group.Wait()
}

func (w *world) actOnServer(ctx context.Context, s step) error {
	server := w.servers[s.servers[0]]
	if s.Name == "server-reset" {
		server.resets.Store(true)
		defer server.resets.Store(false)
		w.sleep(ctx, s.length)
		return nil
	}
	go server.runExpire(ctx, server.kill())
	w.sleep(ctx, s.length)
	if err := server.start(); err != nil {
		return err
	}
	return server.register(ctx)
}

// act plays a fault on one instance.
func (i *instance) act(ctx context.Context, s step) error {
	p, _, log := i.current()
	switch s.Name {
	case "stop", "stop-several", "stop-unread", "reload-stop":
		if s.Name == "reload-stop" {
			if err := p.Reload(); err != nil {
				return err
			}
			time.AfterFunc(s.delay*4, func() { _ = p.Reload() }) // it may have ended
		}
		if s.Name == "stop-unread" {
			log.gate.Lock()
		}
		err := i.terminate()
		if s.Name == "stop-unread" {
			log.gate.Unlock()
		}
		if err != nil {
			return err
		}
		return i.start(ctx)
	case "kill", "kill-several", "kill-all", "reload-early":
		if err := i.kill(); err != nil {
			return err
		}
		if err := i.start(ctx); err != nil || s.Name != "reload-early" {
			return err
		}
		i.world.sleep(ctx, s.delay)
		p, _, _ = i.current()
		return p.Reload()
	case auditor.KindReload:
		return p.Reload()
	case "freeze":
		if err := p.Suspend(); err != nil && p.Ending() == "" {
			return err
		}
		i.world.sleep(ctx, s.length)
		return p.Resume()
	case "reader-stops":
		log.gate.Lock()
		defer log.gate.Unlock()
		i.world.sleep(ctx, s.length)
	case "reader-ends":
		_ = log.read.Close() // it may have ended with its process
		i.world.sleep(ctx, s.length)
	}
	return nil
}

// configure writes the next version of the configuration.
func (w *world) configure(ctx context.Context) error {
	w.mu.Lock()
	w.version += 1 + w.version%3
	version := w.version
	w.mu.Unlock()
	if err := w.store.put(ctx, platform.TopicOperator, platform.KeyConfig, configuration(version, w.models)); err != nil {
		return err
	}
	at := w.clock.Now()
	w.record.Change(func() { w.record.Configs = append(w.record.Configs, auditor.Config{Version: version, At: at}) })
	w.mu.Lock()
	w.configured = at
	w.mu.Unlock()
	w.log.Info("soak: configuration acknowledged", zap.Int("version", version))
	return nil
}

// newest returns the newest configuration after the first one and when it was acknowledged.
func (w *world) newest() (int, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.version == firstVersion || w.configured.IsZero() {
		return 0, w.configured
	}
	return w.version, w.configured
}
