package entryassembler

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

// settingsInterval is the interval between reads of the settings without a
// signal, since the platform may change them without one. It is that of the
// platform's other slow checks.
const settingsInterval = 5 * time.Second

// SettingsSource is the source of changed settings.
type SettingsSource struct {
	// Read reads the settings. A value on Signals means that they have changed.
	Read    func() (platform.Settings, error)
	Signals <-chan os.Signal
}

// WithSettingsSource applies changed settings from a source. Without one, the settings
// at the start stay in effect.
func WithSettingsSource(s SettingsSource) Option { return func(o *options) { o.settingsSource = s } }

// currentSettings returns the settings in effect.
func (e *Entry) currentSettings() platform.Settings { return *e.current.Load() }

// loopSettings reads the settings again at signals and periodically.
func (e *Entry) loopSettings(ctx context.Context) {
	t := e.clock.NewTicker(settingsInterval)
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

// reload reads the settings and applies what has changed. If they are invalid,
// the old ones stay in effect. Without a signal, it logs only what is new.
func (e *Entry) reload(signaled bool) {
	s, err := e.source.Read()
	if err != nil {
		if signaled || e.settingsError != err.Error() {
			e.log.Warn("entry: settings are bad, the old ones stay in force", zap.Error(err))
		}
		e.settingsError = err.Error()
		return
	}
	e.settingsError = ""
	old := e.currentSettings()
	s.Metrics = old.Metrics
	live, later := changedFields(old, s)
	if len(live)+len(later) == 0 {
		if signaled {
			e.log.Info("entry: settings read again, nothing has changed")
		}
		return
	}
	next := old
	next.Grace, next.Drain, next.Memory = s.Grace, s.Drain, s.Memory
	next.RetryRatio, next.RetrySlack = s.RetryRatio, s.RetrySlack
	e.current.Store(&next)
	debug.SetMemoryLimit(machineOf(next).CollectorLimit())
	e.memory.Resize(machineOf(next).Budget())
	e.updateRetryShare()
	if len(later) > 0 && !slices.Equal(later, e.pendingSettings) || len(live) > 0 || signaled {
		e.log.Info("entry: settings have changed", zap.Strings("in_force", live), zap.Strings("at_next_start", later))
	}
	e.pendingSettings = later
}

// changedFields returns the names of the settings that differ: live ones take
// effect at once, later ones at the next start.
func changedFields(a, b platform.Settings) (live, later []string) {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			continue
		}
		switch name := x.Type().Field(i).Name; name {
		case "Grace", "Drain", "Memory", "RetryRatio", "RetrySlack":
			live = append(live, name)
		case "Unused", "Missing":
		default:
			later = append(later, name)
		}
	}
	return live, later
}
