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

// status is the subcommand that shows the state that instances report.
type status struct {
	out, errs io.Writer
	admin     adminClient
	asJSON    bool
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
	f.BoolVar(&s.asJSON, "json", false, "print everything as JSON")
}

func (s *status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	states, result := map[string]server.State{}, subcommands.ExitSuccess
	for addr := range strings.SplitSeq(s.admin.addr, ",") {
		one := adminClient{addr: addr}
		var answer server.StatusResponse
		if err := one.get(ctx, "/admin/status?fleet=1", &answer); err != nil {
			_, _ = fmt.Fprintln(s.errs, err)
			result = subcommands.ExitFailure
			continue
		}
		states[instanceName(answer.State, addr)] = answer.State
		for name, value := range answer.Fleet {
			if state, ok := decodeState(value); ok {
				states[name] = state
			}
		}
	}
	if s.asJSON {
		printJSON(s.out, states)
		return result
	}
	s.instances(states)
	s.parts(states)
	return result
}

func instanceName(s server.State, addr string) string {
	if s.Instance.Name != "" {
		return s.Instance.Name
	}
	return addr
}

// decodeState converts a state that was decoded as generic JSON. It reports whether
// the value has the right types.
func decodeState(value any) (server.State, bool) {
	var state server.State
	data, err := json.Marshal(value)
	return state, err == nil && json.Unmarshal(data, &state) == nil
}

// instances prints a table with one row for each instance.
func (s *status) instances(states map[string]server.State) {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "INSTANCE\tZONE\tBUILD\tREADY\tRULES\tLIST\tOPEN\tNOTES")
	for _, name := range slices.Sorted(maps.Keys(states)) {
		v := states[name]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%d\t%s\t%d\t%s\n", name, v.Instance.Zone, v.Build, v.Ready,
			v.Rules.Version, v.Rules.Name, v.Open, strings.Join(v.Reasons, "; "))
	}
	_ = t.Flush()
}

// parts prints the state of each part of each instance, one line per value.
func (s *status) parts(states map[string]server.State) {
	for _, name := range slices.Sorted(maps.Keys(states)) {
		for _, part := range slices.Sorted(maps.Keys(states[name].Parts)) {
			_, _ = fmt.Fprintf(s.out, "\n%s: %s\n", name, part)
			t := tabwriter.NewWriter(s.out, 2, 0, 2, ' ', 0)
			printValue(t, "", states[name].Parts[part])
			_ = t.Flush()
		}
	}
}

// printValue prints a JSON value: a list of objects as a table, an object as one
// line with path and value for each field, recursively.
func printValue(w io.Writer, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			printValue(w, strings.TrimPrefix(path+"."+key, "."), v[key])
		}
	case []any:
		printTable(w, path, v)
	case nil:
	default:
		_, _ = fmt.Fprintf(w, "  %s\t%v\n", path, v)
	}
}

// printTable prints a list of objects as a table with one row per item and one
// column per field that has a value in any item. A list with other items is printed
// on one line.
func printTable(w io.Writer, path string, items []any) {
	if len(items) == 0 {
		return
	}
	columns := map[string]bool{}
	for _, item := range items {
		object, ok := item.(map[string]any)
		if !ok {
			_, _ = fmt.Fprintf(w, "  %s\t%s\n", path, cellText(items))
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
			cells = append(cells, cellText(object[name]))
		}
		_, _ = fmt.Fprintf(w, "  %s\n", strings.Join(cells, "\t"))
	}
}

// cellText formats a value for one table cell.
func cellText(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case []any:
		cells := make([]string, 0, len(v))
		for _, one := range v {
			cells = append(cells, cellText(one))
		}
		return strings.Join(cells, " ")
	case map[string]any:
		cells := make([]string, 0, len(v))
		for _, key := range slices.Sorted(maps.Keys(v)) {
			cells = append(cells, key+"="+cellText(v[key]))
		}
		return strings.Join(cells, ",")
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}
