package bencher

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Print writes the rows as text tables, one for each deployment and shape.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	last := ""
	for _, r := range rows {
		if head := r.Deployment + ", " + r.Shape; head != last {
			last = head
			_, _ = fmt.Fprintf(t, "\n%s (bound %.3f, %d seeds)\n", head, r.Bound, r.Seeds)
			_, _ = fmt.Fprintln(t, "policy\turgent\tworst\tper engine\tdeferred\tservice\tmoves\tadapters\tfirst p50/95/99 ms\tbetween p50/95/99 ms\trejected\texpired\tlate\tfair\trecovery s\tunreachable s")
		}
		_, _ = fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.2f\t%.3f\t%.4f\t%.1f\t%.1f\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.3f\t%.0f\t%.0f\n",
			r.Policy, r.Urgent, r.Worst, r.PerEngine, r.Deferred, r.Service, r.Moves, r.Adapters,
			r.First, r.InterToken, r.Rejected, r.Expired, r.Late, r.Fairness, r.Recovery, r.Unreachable)
	}
	return eris.Wrap(t.Flush(), "write table")
}

// String formats the quantiles in milliseconds as P50/P95/P99.
func (q Quantiles) String() string { return fmt.Sprintf("%.0f/%.0f/%.0f", q.P50, q.P95, q.P99) }

// Write writes the results, the rows, the tables and the plots to a directory,
// which it creates if needed.
func Write(dir string, results []Result, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create output directory")
	}
	if err := writeJSON(filepath.Join(dir, "results.json"), results); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "rows.json"), rows); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "table.txt"))
	if err != nil {
		return eris.Wrap(err, "write table")
	}
	if err := errors.Join(Print(f, rows), PrintTargets(f, rows)); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return eris.Wrap(err, "write table")
	}
	return draw(dir, rows)
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(path, append(data, '\n'), 0o600), "write results")
}

// drawn is the set of policies that are plotted.
var drawn = map[string]bool{Own: true, "place:static": true, "place:greedy": true, "two+greedy+fifo": true, "least+lru+fifo": true}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// draw plots attainment over time for each deployment and shape.
func draw(dir string, rows []Row) error {
	lines := map[string][]any{}
	var order []string
	for _, r := range rows {
		if !drawn[r.Policy] {
			continue
		}
		name := r.Deployment + "-" + r.Shape
		if _, ok := lines[name]; !ok {
			order = append(order, name)
		}
		lines[name] = append(lines[name], r.Policy, points(r.Timeline))
	}
	for _, name := range order {
		if err := drawOne(filepath.Join(dir, name+".svg"), name, lines[name]); err != nil {
			return err
		}
	}
	return nil
}

func points(course []float64) plotter.XYs {
	all := make(plotter.XYs, len(course))
	for i, share := range course {
		all[i].X = (time.Duration(i) * courseStep).Seconds()
		all[i].Y = share
	}
	return all
}

func drawOne(path, title string, lines []any) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "urgent requests in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrapf(err, "plot %s", path)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}
