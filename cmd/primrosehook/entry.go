package main

import (
	"context"
	"flag"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/assumer"
	"primrosehook/entryassembler"
	"primrosehook/logger"
	"primrosehook/platform"
	"primrosehook/tracer"
)

// entry is the subcommand that runs an entry instance with a settings file of the
// platform.
type entry struct {
	out, errs io.Writer
	settings  string
	metrics   int
	traces    tracer.Settings
}

func (*entry) Name() string     { return "entry" }
func (*entry) Synopsis() string { return "run an entry instance on the platform" }
func (*entry) Usage() string {
	return `primrosehook entry [-settings PATH] [-metrics PORT] [-trace none|stdout|otlp]

Runs an entry instance with the platform's settings file. SIGTERM begins a
planned stop: the instance is not ready any more, finishes its requests and
exits. SIGHUP reads the settings again; bad ones leave the old ones in force, and
addresses take effect with the next start. Exit code 0 after a planned stop, 1 after a failure, 2 for bad settings.

`
}

func (e *entry) SetFlags(f *flag.FlagSet) {
	f.IntVar(&e.metrics, "metrics", 0, "port of the metrics on the instance's own address; 0 for none")
	f.StringVar(&e.traces.Export, "trace", tracer.ExportNone, "where spans go: none, stdout or otlp")
	f.StringVar(&e.traces.Endpoint, "trace-endpoint", "", "URL of the OTLP/HTTP collector")
	f.Float64Var(&e.traces.SampleRatio, "trace-share", 0.01, "share of the requests without a trace that start one")
	f.StringVar(&e.settings, "settings", os.Getenv(platform.SettingsVariable), "path of the platform's settings file ["+platform.SettingsVariable+"]")
}

func (e *entry) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	surviveOutput()
	settings, assumed, err := assumer.Read(e.settings)
	if err != nil {
		printError(e.errs, err)
		return subcommands.ExitUsageError
	}
	if e.metrics > 0 {
		settings.Metrics = net.JoinHostPort(settings.IP, strconv.Itoa(e.metrics))
	}
	clock := clockwork.NewRealClock()
	lines := logger.NewWriter(e.out, clock)
	go lines.Run()
	defer closeLog(lines)
	log := logger.New(lines, zapcore.InfoLevel)
	logger.RedirectStandard(log)
	tracer.LogErrors(log)
	if len(assumed) > 0 {
		log.Warn("entry: settings are missing, defaults are assumed", zap.Strings("assumed", assumed))
	}
	e.traces.Instance, e.traces.Zone = settings.Instance, settings.Zone
	traces, err := tracer.New(ctx, e.traces, e.out)
	if err != nil {
		printError(e.errs, err)
		return subcommands.ExitUsageError
	}
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	read := func() (platform.Settings, error) {
		s, _, err := assumer.Read(e.settings)
		return s, err
	}
	err = entryassembler.Run(ctx, settings, clock, log, entryassembler.WithTracer(traces.Tracer()),
		entryassembler.WithMetric("log_lines_dropped", lines.Total), entryassembler.WithSettingsSource(entryassembler.SettingsSource{Read: read, Signals: changed}))
	if err != nil {
		log.Error("entry: failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
