// Command bench compares the project's policy with baseline policies on seeded,
// simulated workloads, and prints one table for each deployment and shape.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"primrosehook/bencher"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	deployments := flags.String("deployments", "", "comma-separated deployments to run; vertrekpunt and bunya if empty")
	shapes := flags.String("shapes", "", "comma-separated shapes to run; all if empty")
	policies := flags.String("policies", "", "comma-separated policies to run; all if empty")
	first := flags.Uint64("seed", 101, "first seed")
	seeds := flags.Int("seeds", 5, "number of seeds")
	length := flags.Duration("length", 6*time.Minute, "simulated time during which requests arrive")
	engines := flags.Int("engines", 0, "number of engines in each deployment, at unchanged demand; 0 keeps the deployment's number")
	workers := flags.Int("workers", max(runtime.NumCPU()/3, 1), "number of concurrent runs")
	out := flags.String("out", "out/bench", "directory for the results, the table and the plots")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("BENCH")); err != nil {
		return err
	}
	fleets := []bencher.Deployment{bencher.Vertrekpunt(), bencher.Bunya()}
	if *deployments != "" {
		fleets = append(fleets, bencher.Region())
	}
	for i := range fleets {
		if *engines > 0 {
			fleets[i].SizedFor, fleets[i].Engines = fleets[i].Engines, *engines
		}
	}
	m := bencher.Matrix{
		Deployments: pick(fleets, *deployments, func(d bencher.Deployment) string { return d.Name }),
		Shapes:      pick(bencher.Shapes(), *shapes, func(s bencher.Shape) string { return s.Name }),
		Policies:    pick(bencher.Policies(), *policies, func(p bencher.Policy) string { return p.Name }),
		Length:      *length,
		Workers:     *workers,
	}
	for i := range *seeds {
		m.Seeds = append(m.Seeds, *first+uint64(i))
	}
	results := m.Do()
	rows := bencher.Rows(results)
	if err := bencher.Print(os.Stdout, rows); err != nil {
		return err
	}
	if err := bencher.PrintTargets(os.Stdout, rows); err != nil {
		return err
	}
	return bencher.Write(*out, results, rows)
}

// pick returns the items whose names are in a comma-separated list, or all items
// if the list is empty.
func pick[T any](all []T, names string, name func(T) string) []T {
	if names == "" {
		return all
	}
	wanted := strings.Split(names, ",")
	return slices.DeleteFunc(all, func(x T) bool { return !slices.Contains(wanted, name(x)) })
}
