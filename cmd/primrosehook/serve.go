package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"primrosehook/configurer"
	"primrosehook/logger"
	"primrosehook/serveassembler"
	"primrosehook/tracer"
)

// serve is the subcommand that runs an entry instance.
type serve struct {
	out, errs io.Writer
	settings  configurer.Settings
	table     []configurer.Setting
}

func (*serve) Name() string     { return "serve" }
func (*serve) Synopsis() string { return "run an entry instance until it is told to stop" }
func (*serve) Usage() string {
	return `primrosehook serve [flags]

Runs an entry instance. SIGTERM or an interrupt begins a planned stop: the
instance is not ready any more, goes on taking requests for -linger, lets those
in flight finish, and exits. Each flag may be given as an environment variable
instead, which its line names.

`
}

func (s *serve) SetFlags(f *flag.FlagSet) { s.table = configurer.Register(f, &s.settings) }

func (s *serve) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	surviveOutput()
	if f.NArg() > 0 {
		printError(s.errs, eris.Errorf("serve takes no argument: %q", f.Arg(0)))
		return subcommands.ExitUsageError
	}
	if err := configurer.Load(f, &s.settings, s.table, os.Environ()); err != nil {
		printError(s.errs, err)
		return subcommands.ExitUsageError
	}
	if s.settings.Name == "" {
		// The start time makes the name unique to this incarnation.
		s.settings.Name = fmt.Sprintf("%s.%x", s.settings.Listen, time.Now().UnixMicro())
	}
	lines := logger.NewWriter(s.errs, clockwork.NewRealClock(), logger.WithoutRateLimit())
	go lines.Run()
	defer closeLog(lines)
	log, err := configurer.NewLog(s.settings, lines)
	if err != nil {
		printError(s.errs, err)
		return subcommands.ExitUsageError
	}
	logger.RedirectStandard(log)
	tracer.LogErrors(log)
	if err := serveassembler.Run(ctx, s.settings, log, s.out, serveassembler.WithLinesDropped(lines.Total)); err != nil {
		log.Error("serve: instance failed", zap.Error(err))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
