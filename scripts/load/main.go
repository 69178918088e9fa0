// Command load runs both example deployments as real processes under a mixed
// workload and injects failures. It prints the share of each class of work that met
// the deadline of its rule, and checks the invariants: a write runs at most once and
// a confirmed one did run, each caller receives the answer to its own request,
// accepted jobs complete, and memory is not overcommitted.
//
// The bench (cmd/bench) compares policies in simulated time; this command runs
// the shipped programs in real time, over real connections.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/launcher"
)

// settings holds the values of the flags.
type settings struct {
	seed    uint64
	rate    float64
	length  time.Duration
	entries int
	faults  bool
	cold    bool
	only    string
	logs    string
}

func main() {
	var s settings
	flag.Uint64Var(&s.seed, "seed", 1, "random seed of the workload")
	flag.Float64Var(&s.rate, "rate", 40, "requests per second over all callers")
	flag.DurationVar(&s.length, "length", time.Minute, "how long requests arrive in each deployment")
	flag.IntVar(&s.entries, "entries", 6, "entry instances")
	flag.BoolVar(&s.faults, "faults", true, "inject faults: kill, stop and freeze processes, hang the log")
	flag.BoolVar(&s.cold, "cold", false, "do not wait until the models are loaded")
	flag.StringVar(&s.only, "only", "", "name of the only deployment to run")
	flag.StringVar(&s.logs, "logs", "", "file for the logs of all processes; if empty, logs are discarded")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := load(ctx, s)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

func load(ctx context.Context, s settings) error {
	return launcher.WithPrograms(ctx, s.logs, func(programs launcher.Programs, output io.Writer) error {
		var errs []error
		for _, d := range deployments() {
			if s.only != "" && s.only != d.name {
				continue
			}
			c := launcher.New(programs, output)
			err := d.run(ctx, s, c)
			c.Stop()
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", d.name, err))
			}
		}
		return errors.Join(errs...)
	})
}

func (d deployment) run(ctx context.Context, s settings, c *launcher.Cluster) error {
	f := &fleet{deployment: d, cluster: c, clock: clockwork.NewRealClock(), moves: map[string]int64{}}
	if err := f.start(ctx, s.entries, s.cold); err != nil {
		return err
	}
	fmt.Printf("\n== %s: %d engines, %d entry instances, %.0f requests/s for %v, seed %d, faults %v\n",
		d.name, f.size, s.entries, s.rate, s.length, s.seed, s.faults)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.runBalancer(watching)
	go f.runMoves(watching)
	if s.faults {
		go f.runFaults(watching, s.length)
	}
	t := f.generateLoad(ctx, s)
	if err := f.awaitJobs(ctx, t); err != nil {
		return err
	}
	t.print(os.Stdout)
	return f.check(ctx, t)
}
