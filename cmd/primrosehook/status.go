package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"primrosehook/server"
)

// status shows what the instances say of themselves.
type status struct {
	out, errs io.Writer
	admin     admin
	whole     bool
}

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show rule lists, residency, queues and holders" }
func (*status) Usage() string {
	return `primrosehook status [-admin IP:PORT[,IP:PORT...]] [-json]

Shows for each entry instance which rule list is in force, whether it is ready,
and what its parts hold. Asked at one address, it shows all instances that this
one reaches.

`
}

func (s *status) SetFlags(f *flag.FlagSet) {
	s.admin.register(f)
	f.BoolVar(&s.whole, "json", false, "print everything as JSON")
}

func (s *status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	states, result := map[string]server.State{}, subcommands.ExitSuccess
	for addr := range strings.SplitSeq(s.admin.addr, ",") {
		one := admin{addr: addr}
		var answer server.StatusResponse
		if err := one.get(ctx, "/admin/status?fleet=1", &answer); err != nil {
			_, _ = fmt.Fprintln(s.errs, err)
			result = subcommands.ExitFailure
			continue
		}
		states[named(answer.State, addr)] = answer.State
		for name, value := range answer.Fleet {
			if state, ok := stateOf(value); ok {
				states[name] = state
			}
		}
	}
	if s.whole {
		show(s.out, states)
		return result
	}
	s.instances(states)
	s.parts(states)
	return result
}

func named(s server.State, addr string) string {
	if s.Instance.Name != "" {
		return s.Instance.Name
	}
	return addr
}

// stateOf reads a state that came as plain JSON.
func stateOf(value any) (server.State, bool) {
	var state server.State
	data, err := json.Marshal(value)
	return state, err == nil && json.Unmarshal(data, &state) == nil
}

// instances prints one line for each instance.
func (s *status) instances(states map[string]server.State) {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCE\tZONE\tREADY\tRULES\tLIST\tOPEN\tNOTES")
	for _, name := range slices.Sorted(maps.Keys(states)) {
		v := states[name]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%v\t%d\t%s\t%d\t%s\n", name, v.Instance.Zone, v.Ready,
			v.Rules.Version, v.Rules.Name, v.Open, strings.Join(v.Reasons, "; "))
	}
	_ = t.Flush()
}

// parts prints what the parts of each instance hold, one line for each value.
func (s *status) parts(states map[string]server.State) {
	for _, name := range slices.Sorted(maps.Keys(states)) {
		for _, part := range slices.Sorted(maps.Keys(states[name].Parts)) {
			_, _ = fmt.Fprintf(s.out, "\n%s: %s\n", name, part)
			t := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', 0)
			lines(t, "", states[name].Parts[part])
			_ = t.Flush()
		}
	}
}

// lines prints a JSON value: a list of objects as a table, an object as lines
// of path and value.
func lines(w io.Writer, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			lines(w, strings.TrimPrefix(path+"."+key, "."), v[key])
		}
	case []any:
		rows(w, path, v)
	case nil:
	default:
		_, _ = fmt.Fprintf(w, "  %s\t%v\n", path, v)
	}
}

// rows prints a list, one row for each item and one column for each field that
// any of them has.
func rows(w io.Writer, path string, items []any) {
	if len(items) == 0 {
		return
	}
	columns := map[string]bool{}
	for _, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			_, _ = fmt.Fprintf(w, "  %s\t%s\n", path, brief(items))
			return
		}
		for key, value := range object {
			columns[key] = columns[key] || value != nil
		}
	}
	maps.DeleteFunc(columns, func(_ string, used bool) bool { return !used })
	names := slices.Sorted(maps.Keys(columns))
	if path != "" {
		_, _ = fmt.Fprintf(w, "  %s\n", path)
	}
	_, _ = fmt.Fprintf(w, "  %s\n", strings.ToUpper(strings.Join(names, "\t")))
	for _, item := range items {
		object, _ := item.(map[string]any)
		cells := make([]string, 0, len(names))
		for _, name := range names {
			cells = append(cells, brief(object[name]))
		}
		_, _ = fmt.Fprintf(w, "  %s\n", strings.Join(cells, "\t"))
	}
}

// brief returns a value in one cell: what it holds, without its names.
func brief(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case []any:
		cells := make([]string, 0, len(v))
		for _, one := range v {
			cells = append(cells, brief(one))
		}
		return strings.Join(cells, " ")
	case map[string]any:
		cells := make([]string, 0, len(v))
		for _, key := range slices.Sorted(maps.Keys(v)) {
			cells = append(cells, key+"="+brief(v[key]))
		}
		return strings.Join(cells, ",")
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}
