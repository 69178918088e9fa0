package composer

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"primrosehook/platform"
)

// settingsPace is how often the settings are read again without a signal, since
// the platform may change them silently: as often as its other slow checks.
const settingsPace = 5 * time.Second

// Source is where changed settings come from.
type Source struct {
	// Read reads the settings, Signals says that they have changed.
	Read    func() (platform.Settings, error)
	Signals <-chan os.Signal
}

// WithSource reads the settings again when they change. Without one those of
// the start stand.
func WithSource(s Source) Option { return func(o *options) { o.source = s } }

// now returns the settings in force.
func (e *Entry) now() platform.Settings { return *e.current.Load() }

// loopSettings reads the settings again, at signals and now and then.
func (e *Entry) loopSettings(ctx context.Context) {
	t := e.clock.NewTicker(settingsPace)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.source.Signals:
			e.reload(true)
		case <-t.Chan():
			e.reload(false)
		}
	}
}

// reload takes changed settings over. Bad ones leave the old ones in force.
func (e *Entry) reload(asked bool) {
	s, err := e.source.Read()
	if err != nil {
		if asked || e.refused != err.Error() {
			e.log.Warn("entry: settings are bad, the old ones stay in force", zap.Error(err))
		}
		e.refused = err.Error()
		return
	}
	e.refused = ""
	old := e.now()
	s.Metrics = old.Metrics
	live, later := changes(old, s)
	if len(live)+len(later) == 0 {
		if asked {
			e.log.Info("entry: settings read again, nothing has changed")
		}
		return
	}
	next := old
	next.Grace, next.Drain, next.Memory = s.Grace, s.Drain, s.Memory
	next.RetryRatio, next.RetrySlack = s.RetryRatio, s.RetrySlack
	e.current.Store(&next)
	debug.SetMemoryLimit(memoryLimit(next))
	e.budget()
	if len(later) > 0 && !slices.Equal(later, e.later) || len(live) > 0 || asked {
		e.log.Info("entry: settings have changed", zap.Strings("in_force", live), zap.Strings("at_next_start", later))
	}
	e.later = later
}

// changes names the settings that differ: those that take effect at once, and
// those that do with the next start.
func changes(a, b platform.Settings) (live, later []string) {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			continue
		}
		switch name := x.Type().Field(i).Name; name {
		case "Grace", "Drain", "Memory", "RetryRatio", "RetrySlack":
			live = append(live, name)
		case "Unused":
		default:
			later = append(later, name)
		}
	}
	return live, later
}

// memoryLimit is the collector's soft limit, in bytes.
func memoryLimit(s platform.Settings) int64 {
	return int64(float64(s.Memory) * memoryShare * (1 << 20))
}
