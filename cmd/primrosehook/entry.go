package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/composer"
	"primrosehook/platform"
)

// entry runs an entry instance on the platform.
type entry struct {
	out, errs io.Writer
	settings  string
}

func (*entry) Name() string     { return "entry" }
func (*entry) Synopsis() string { return "run an entry instance on the platform" }
func (*entry) Usage() string {
	return `primrosehook entry [-settings PATH]

Runs an entry instance with the platform's settings file. SIGTERM begins a
planned stop: the instance is not ready any more, finishes its requests and
exits. Exit code 0 after a planned stop, 1 after a failure, 2 for bad settings.

`
}

func (e *entry) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file ["+platform.SettingsVariable+"]")
}

func (e *entry) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := platform.ReadSettings(e.settings)
	if err != nil {
		_, _ = fmt.Fprintln(e.errs, err)
		return subcommands.ExitUsageError
	}
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(e.out), zap.InfoLevel))
	if err := composer.Run(ctx, settings, clockwork.NewRealClock(), log); err != nil {
		log.Error("entry: failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
