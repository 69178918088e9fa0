// Placement plays days of an emulated fleet with the planner of this tree, and prints for each seed how
// many models and adapters were never served, and why they were not loaded.
package main

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"primrosehook/emulator"
)

func main() {
	seeds := flag.Uint64("seeds", 10, "number of seeds, from 1 on")
	flag.Parse()
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SEED\tREQUESTED\tNEVER SERVED\tSERVED\tMOVES\tNOT LOADED (plans)")
	never, served := 0, 0.0
	for seed := uint64(1); seed <= *seeds; seed++ {
		r := emulator.LargeFleet(seed).Play(emulator.CrashesBesideLostHolders())
		never, served = never+len(r.Never), served+r.Served
		_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%.3f\t%d\t%s\n", seed, r.Requested, len(r.Never), r.Served, r.Moves, reasons(r.Absent))
	}
	_, _ = fmt.Fprintf(t, "mean\t\t%.1f\t%.3f\n", float64(never)/float64(*seeds), served/float64(*seeds))
	if err := t.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// reasons returns counts by reason, the largest first.
func reasons(counts map[string]int) string {
	list := slices.SortedFunc(maps.Keys(counts), func(a, b string) int { return counts[b] - counts[a] })
	text := ""
	for _, r := range list {
		text += fmt.Sprintf("%s %d; ", r, counts[r])
	}
	return text
}
