package bencher

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Target is a required figure of the project's policy and its measured value.
type Target struct {
	Name     string
	Met      bool
	Measured string
}

// Thresholds of the targets.
const (
	lightShare  = 0.99
	heavyShare  = 0.95
	engineRatio = 1.3
	movesRatio  = 0.5
	// equalShare is the largest difference in attainment that counts as equal.
	equalShare   = 0.002
	recoverySpan = 30
)

// Targets compares the rows of the project's policy with the targets.
func Targets(rows []Row) []Target {
	var all []Target
	for _, r := range rows {
		if r.Policy != Own {
			continue
		}
		name := r.Deployment + " " + r.Shape
		all = append(all, attainment(name, r),
			Target{name + ": deferred work done by its bound", r.Deferred >= 1, fmt.Sprintf("%.4f", r.Deferred)},
			Target{name + ": no model unreachable", r.Unreachable == 0, fmt.Sprintf("%.0f model-seconds", r.Unreachable)},
			Target{name + ": back within 30 s of the fault", r.Recovery <= recoverySpan, fmt.Sprintf("%.0f s", r.Recovery)},
			Target{name + ": memory never overcommitted", r.Over == 0, fmt.Sprint(r.Over)},
		)
	}
	totals := Totals(rows)
	for _, own := range totals {
		if own.Policy == Own {
			all = append(all, compare(own, totals))
		}
	}
	return all
}

func attainment(name string, r Row) Target {
	heavy := slices.ContainsFunc(Shapes(), func(s Shape) bool { return s.Name == r.Shape && s.Heavy })
	if heavy {
		return Target{
			name + ": urgent at least 95% of the bound", r.Urgent >= heavyShare*r.Bound,
			fmt.Sprintf("%.4f of %.4f", r.Urgent, r.Bound),
		}
	}
	return Target{name + ": urgent at least 99%", r.Urgent >= lightShare, fmt.Sprintf("%.4f", r.Urgent)}
}

// Total aggregates one policy on one deployment over all shapes.
type Total struct {
	Deployment  string
	Policy      string
	ReplacesAll bool
	// Urgent and PerEngine are means over the shapes, Moves and Adapters sums.
	Urgent    float64
	PerEngine float64
	Moves     float64
	Adapters  float64
}

// Totals aggregates the rows by deployment and policy.
func Totals(rows []Row) []Total {
	var all []Total
	counts := map[int]int{}
	for _, r := range rows {
		i := slices.IndexFunc(all, func(t Total) bool { return t.Deployment == r.Deployment && t.Policy == r.Policy })
		if i < 0 {
			i = len(all)
			whole := slices.ContainsFunc(Policies(), func(p Policy) bool { return p.Name == r.Policy && p.ReplacesAll })
			all = append(all, Total{Deployment: r.Deployment, Policy: r.Policy, ReplacesAll: whole})
		}
		t := &all[i]
		t.Urgent += r.Urgent
		t.PerEngine += r.PerEngine
		t.Moves += r.Moves
		t.Adapters += r.Adapters
		counts[i]++
	}
	for i := range all {
		all[i].Urgent /= float64(counts[i])
		all[i].PerEngine /= float64(counts[i])
	}
	return all
}

// compare compares a deployment's total with the baselines that replace all
// decisions: Bunya, which weighs moves more, by moves at equal attainment, any
// other deployment by attainment per engine.
func compare(own Total, totals []Total) Target {
	baselines := slices.DeleteFunc(slices.Clone(totals), func(t Total) bool {
		return !t.ReplacesAll || t.Deployment != own.Deployment
	})
	if own.Deployment == Bunya().Name {
		return compareMoves(own, baselines)
	}
	best := Total{Policy: "none"}
	for _, t := range baselines {
		if t.PerEngine > best.PerEngine {
			best = t
		}
	}
	if best.Policy == "none" {
		return Target{own.Deployment + ": no whole baseline was run", false, "not run"}
	}
	return Target{
		own.Deployment + ": 1.3x per engine of the best whole baseline, no more moves",
		own.PerEngine >= engineRatio*best.PerEngine && own.Moves <= best.Moves,
		fmt.Sprintf("%.3fx of %s, moves %.1f against %.1f", own.PerEngine/best.PerEngine, best.Policy, own.Moves, best.Moves),
	}
}

func compareMoves(own Total, baselines []Total) Target {
	name := own.Deployment + ": half the moves of a whole baseline of equal attainment"
	fewest := Total{Policy: "none"}
	for _, t := range baselines {
		if t.Urgent >= own.Urgent-equalShare && (fewest.Policy == "none" || t.Moves < fewest.Moves) {
			fewest = t
		}
	}
	if len(baselines) == 0 {
		return Target{own.Deployment + ": no whole baseline was run", false, "not run"}
	}
	if fewest.Policy == "none" {
		return Target{name, true, fmt.Sprintf("no whole baseline attains %.4f; moves %.1f", own.Urgent, own.Moves)}
	}
	return Target{
		name, own.Moves <= movesRatio*fewest.Moves,
		fmt.Sprintf("moves %.1f against %.1f of %s", own.Moves, fewest.Moves, fewest.Policy),
	}
}

// PrintTargets writes the totals, and the targets with whether they were met.
func PrintTargets(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nall shapes\ndeployment\tpolicy\turgent\tper engine\tmoves\tadapters")
	for _, x := range Totals(rows) {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4f\t%.3f\t%.1f\t%.1f\n", x.Deployment, x.Policy, x.Urgent, x.PerEngine, x.Moves, x.Adapters)
	}
	_, _ = fmt.Fprintln(t, "\ntarget\tmeasured\tverdict")
	for _, x := range Targets(rows) {
		verdict := "met"
		if !x.Met {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", x.Name, x.Measured, verdict)
	}
	return eris.Wrap(t.Flush(), "write targets")
}
