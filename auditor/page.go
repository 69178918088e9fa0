package auditor

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// shownCases is how many cases of a broken promise the page shows.
const shownCases = 5

// Outcomes counts the requests by kind and outcome: served, served on a retry, refused, failed.
func (r *Record) Outcomes() map[string]map[string]int {
	all := map[string]map[string]int{}
	for _, q := range r.Requests {
		if len(q.Attempts) == 0 {
			continue
		}
		last, outcome := q.Attempts[len(q.Attempts)-1], "failed"
		switch {
		case q.Served && len(q.Attempts) == 1:
			outcome = "served"
		case q.Served:
			outcome = "served on a retry"
		case refused(last.Status):
			outcome = "refused"
		}
		if all[q.Kind] == nil {
			all[q.Kind] = map[string]int{}
		}
		all[q.Kind][outcome]++
	}
	return all
}

// Played counts the faults by kind.
func (r *Record) Played() map[string]int {
	all := map[string]int{}
	for _, f := range r.Faults {
		all[f.Kind]++
	}
	return all
}

// WritePage writes the result of a soak as text.
func WritePage(w io.Writer, r *Record, results []Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, "soak: seed %d, %.0f s, %d processes\n", r.Seed, r.End.Sub(r.Begin).Seconds(), len(r.Processes))
	if r.Interrupted {
		b.WriteString("interrupted: what follows is the part until then\n")
	}
	b.WriteString("faults:")
	played := r.Played()
	for _, kind := range slices.Sorted(maps.Keys(played)) {
		fmt.Fprintf(&b, " %s %d", kind, played[kind])
	}
	b.WriteString("\nrequests:\n")
	outcomes := r.Outcomes()
	for _, kind := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(&b, "  %-8s", kind)
		for _, outcome := range []string{"served", "served on a retry", "refused", "failed"} {
			fmt.Fprintf(&b, " %s %d", outcome, outcomes[kind][outcome])
		}
		b.WriteString("\n")
	}
	b.WriteString("promises:\n")
	for _, c := range results {
		verdict := fmt.Sprintf("kept %d times", c.Times)
		switch {
		case len(c.Broken) > 0:
			verdict = fmt.Sprintf("BROKEN %d times of %d", len(c.Broken), c.Times)
		case c.Times == 0:
			verdict = "not exercised"
		}
		fmt.Fprintf(&b, "  %-14s %s. %s\n", c.Name, verdict, c.Promise)
		for i, one := range c.Broken {
			if i == shownCases {
				fmt.Fprintf(&b, "    and %d more\n", len(c.Broken)-i)
				break
			}
			r.writeCase(&b, one)
		}
	}
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write the page")
}

func (r *Record) writeCase(b *strings.Builder, one Broken) {
	at := "?"
	if !one.At.IsZero() {
		at = r.since(one.At) + " s (" + one.At.UTC().Format(time.RFC3339Nano) + ")"
	}
	fmt.Fprintf(b, "    at %s", at)
	if one.Request != "" {
		fmt.Fprintf(b, ", request %s", one.Request)
	}
	fmt.Fprintf(b, ": %s\n", one.Text)
	for _, line := range one.Log {
		fmt.Fprintf(b, "      | %s\n", line)
	}
}
