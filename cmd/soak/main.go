// Command soak plays faults from outside against real entry processes, and checks what the system
// promises. See docs/design/SOAK.md.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primrosehook/auditor"
	"primrosehook/launcher"
	"primrosehook/soaker"
)

// Exit codes.
const (
	exitKept, exitBroken, exitBadInput = 0, 1, 2
)

func main() {
	ends := []os.Signal{os.Interrupt, syscall.SIGTERM, syscall.SIGHUP}
	if signal.Ignored(syscall.SIGHUP) {
		// Processes inherit an ignored signal, but not one that is caught.
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
		ends = ends[:2]
	}
	ctx, stop := signal.NotifyContext(context.Background(), ends...)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

type flags struct {
	options soaker.Options
	faults  string
	keep    string
	json    string
}

func usage(out io.Writer, set *flag.FlagSet) {
	_, _ = fmt.Fprint(out, `soak [flags]

Starts entry instances as processes beside stand-ins of the store and the servers, sends requests, plays
faults, and checks what the system promises. Progress goes to standard error, the result to standard
output. An interrupt ends all processes and prints the result so far. Times are in Go's notation (75s).
Exit code 0 if all promises were kept, 1 if one was broken, 2 if the soak could not be played.
Each flag can also be set by an environment variable: SOAK_ and its name in upper case.

`)
	set.SetOutput(out)
	set.PrintDefaults()
	_, _ = fmt.Fprint(out, "\nFaults; \"default\" stands for those without a star, \"all\" for all:\n")
	for _, f := range soaker.Faults() {
		star := " "
		if !slices.Contains(soaker.Names(false), f.Name) {
			star = "*"
		}
		_, _ = fmt.Fprintf(out, " %s %-15s %s\n", star, f.Name, f.Text)
	}
}

func parse(args []string, out io.Writer) (flags, error) {
	var f flags
	set := flag.NewFlagSet("soak", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.Uint64Var(&f.options.Seed, "seed", 1, "seed of the faults and the requests")
	set.DurationVar(&f.options.Length, "for", 75*time.Second, "length, from the start of the instances on")
	set.IntVar(&f.options.Instances, "instances", 6, "number of entry instances")
	set.IntVar(&f.options.Servers, "servers", 9, "number of model servers")
	set.IntVar(&f.options.Rate, "rate", 60, "requests a second")
	set.StringVar(&f.faults, "faults", "default", "comma-separated faults to draw from")
	set.StringVar(&f.options.Program, "program", "", "path of primrosehook; it is built if that is empty")
	set.StringVar(&f.keep, "keep", "", "directory for logs, settings and the record; they are deleted if that is empty")
	set.StringVar(&f.json, "json", "", "file for the result as JSON")
	err := ff.Parse(set, args, ff.WithEnvVarPrefix("SOAK"))
	if errors.Is(err, flag.ErrHelp) {
		usage(out, set)
	}
	if err == nil && set.NArg() > 0 {
		err = eris.Errorf("unexpected argument %q", set.Arg(0))
	}
	switch f.faults {
	case "default":
		f.options.Faults = soaker.Names(false)
	case "all":
		f.options.Faults = soaker.Names(true)
	case "":
	default:
		f.options.Faults = strings.Split(f.faults, ",")
	}
	return f, err
}

func run(ctx context.Context, args []string, out, errs io.Writer) int {
	f, err := parse(args, out)
	if errors.Is(err, flag.ErrHelp) {
		return exitKept
	}
	kept := false
	if err == nil {
		kept, err = f.play(ctx, out, errs)
	}
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(errs, "soak:", err)
		return exitBadInput
	case !kept:
		return exitBroken
	}
	return exitKept
}

// play plays the soak and writes its result. It reports whether all promises were kept.
func (f *flags) play(ctx context.Context, out, errs io.Writer) (bool, error) {
	temporary, err := os.MkdirTemp("", "soak")
	if err != nil {
		return false, eris.Wrap(err, "temporary directory")
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	f.options.Dir = temporary
	if f.keep != "" {
		if err := os.MkdirAll(f.keep, 0o755); err != nil {
			return false, eris.Wrap(err, "directory of the logs")
		}
		f.options.Dir = f.keep
	}
	if f.options.Program == "" {
		programs, err := launcher.Build(ctx, temporary)
		if err != nil {
			return false, err
		}
		f.options.Program = programs.Primrosehook
	}
	config := zap.NewDevelopmentEncoderConfig()
	config.CallerKey = zapcore.OmitKey
	log := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(config), zapcore.AddSync(errs), zapcore.InfoLevel))
	record, err := soaker.Run(ctx, f.options, clockwork.NewRealClock(), log)
	if record == nil {
		return false, err
	}
	results := auditor.Audit(record, auditor.Checks())
	if page := auditor.WritePage(out, record, results); page != nil {
		return false, page
	}
	if f.json != "" {
		result := map[string]any{"seed": record.Seed, "faults": record.Played(), "requests": record.Outcomes(), "promises": results, "interrupted": record.Interrupted}
		if err := writeJSON(f.json, result); err != nil {
			return false, err
		}
	}
	if f.keep != "" {
		if err := writeJSON(filepath.Join(f.keep, "record.json"), record); err != nil {
			return false, err
		}
	}
	return auditor.Held(results), err
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode the result")
	}
	return eris.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write the result")
}
