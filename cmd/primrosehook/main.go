// Command primrosehook serves many models on few accelerators.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	_ "primrosehook/ignorer"
	_ "primrosehook/shrinker"
)

func main() {
	// By default SIGHUP terminates the process. It means "reload the settings" to the
	// entry command only, and may arrive before that command has subscribed to it. Builds
	// without cgo do not ignore it before this line.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	result := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(result))
}

// run executes one command line. Canceling ctx requests a planned stop.
func run(ctx context.Context, args []string, out, errs io.Writer) subcommands.ExitStatus {
	flags := flag.NewFlagSet("primrosehook", flag.ContinueOnError)
	flags.SetOutput(errs)
	showVersion := flags.Bool("version", false, "print the version and exit")
	c := subcommands.NewCommander(flags, "primrosehook")
	c.Output, c.Error = out, errs
	c.ImportantFlag("version")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&serve{out: out, errs: errs}, "instance")
	c.Register(&entry{out: out, errs: errs}, "instance")
	c.Register(&check{out: out, errs: errs}, "operators")
	c.Register(&publish{out: out, errs: errs}, "operators")
	c.Register(&status{out: out, errs: errs}, "operators")
	c.Register(&explain{out: out, errs: errs}, "operators")
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError
	}
	if *showVersion {
		_, _ = fmt.Fprintln(out, "primrosehook", version())
		return subcommands.ExitSuccess
	}
	return c.Execute(ctx)
}

// version returns the module's version and, if known, the first 12 characters of
// the commit that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			text += " " + s.Value[:12]
		}
	}
	return text
}
