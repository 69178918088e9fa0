package entryassembler

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"primrosehook/reserver"
)

// unreadiness is why an instance is not ready, empty if it is.
type unreadiness string

const (
	stoppingUnready unreadiness = "stopping"
	configUnread    unreadiness = "no configuration"
	registryUnread  unreadiness = "registry not read"
)

// readinessLogInterval is the interval between checks whether the readiness has changed, for the
// log.
const readinessLogInterval = time.Second

// unready returns why the instance is not ready. It is once it has a configuration and the
// registry.
func (e *Entry) unready() unreadiness {
	switch {
	case e.stopping.Load():
		return stoppingUnready
	case e.relayer.Table() == nil:
		return configUnread
	case !e.registry.isSynced():
		return registryUnread
	}
	return ""
}

// ready handles the platform's readiness checks.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	// These take the locks on the path of each request: an instance that hangs there does not
	// answer, and gets no clients any more.
	e.fleet.QueueLen()
	e.detourer.BrokenPaths()
	if e.unready() != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// loopReadinessLog logs changes of the readiness, and what an instance that is not ready has read
// of the store.
func (e *Entry) loopReadinessLog(ctx context.Context) {
	t := e.clock.NewTicker(readinessLogInterval)
	defer t.Stop()
	last := unreadiness("not logged yet")
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
		}
		reason := e.unready()
		if reason == last {
			continue
		}
		last = reason
		if reason == "" {
			e.log.Info("entry: ready", zap.Int64("config", e.configVersion()))
			continue
		}
		e.log.Info("entry: not ready", zap.String("reason", string(reason)), zap.Int64("config_next", e.tails.config.Next()), zap.Duration("config_age", e.tails.config.Age()),
			zap.Int64("registry_next", e.tails.registry.Next()), zap.Duration("registry_age", e.tails.registry.Age()))
	}
}

// takeLocks takes and releases locks that a handler may hold.
func (e *Entry) takeLocks() {
	for _, read := range e.values() {
		read()
	}
	for _, kind := range reserver.Kinds() {
		e.memory.Held(kind)
	}
	e.throttler.Retain(func(string) bool { return true })
}
