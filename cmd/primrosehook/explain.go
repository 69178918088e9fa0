package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"primrosehook/explainer"
	"primrosehook/ruler"
)

// explain is the subcommand that explains decisions of instances.
type explain struct {
	out, errs io.Writer
	admin     adminClient
	file      string
	// log is the path of a file with log lines of instances. If it is empty, an
	// instance is queried instead.
	log string
	// seed selects the failures that are explained.
	seed uint64
}

func (*explain) Name() string { return "explain" }
func (*explain) Synopsis() string {
	return "say why a request, model, order or rule list does what it does"
}

func (*explain) Usage() string {
	return `primrosehook explain [-admin IP:PORT] request ID
primrosehook explain [-admin IP:PORT] requests [model=M] [class=C] [failed=1]
primrosehook explain [-admin IP:PORT] model NAME
primrosehook explain [-admin IP:PORT] order ID
primrosehook explain -log FILE request ID
primrosehook explain -log FILE [-seed N] failures
primrosehook explain -log FILE unserved
primrosehook explain [-admin IP:PORT] [-file LIST] rules kind=chat model=M hour=17 ...

request   with -log: the lines that instances on the platform wrote on it; else
          the rule that matched, the engines weighed, why each lost, each try
failures  three requests that failed, drawn from the log, each with its cause
unserved  models and adapters that were requested and never served, since when,
          and why they were not loaded
requests  the newest requests that this instance remembers
model     the rule that keeps it ready, its demand, copies and newest requests
order     why an order to an engine was given and how it ended
rules     what the list in force, or an unpublished one, makes of a situation

A request's id is in the header X-Request-Id of its answer. The instance that
answered remembers it.

`
}

func (e *explain) SetFlags(f *flag.FlagSet) {
	e.admin.register(f)
	f.StringVar(&e.log, "log", "", "file with the log lines of instances, - for standard input")
	f.Uint64Var(&e.seed, "seed", 1, "draws the failed requests that failures explains")
	f.StringVar(&e.file, "file", "", "rule list to ask in place of the one in force")
}

func (e *explain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var err error
	switch args := f.Args(); {
	case len(args) == 2 && args[0] == "request" && e.log != "":
		err = e.printLogLines(args[1])
	case len(args) == 1 && args[0] == "failures" && e.log != "":
		err = e.failures()
	case len(args) == 1 && args[0] == "unserved" && e.log != "":
		err = e.printUnserved()
	case len(args) == 2 && args[0] == "request":
		err = e.request(ctx, args[1])
	case len(args) >= 1 && args[0] == "requests":
		err = e.requests(ctx, args[1:])
	case len(args) == 2 && args[0] == "model":
		err = e.printAnswer(ctx, "/admin/explain/models/"+url.PathEscape(args[1]))
	case len(args) == 2 && args[0] == "order":
		err = e.printAnswer(ctx, "/admin/explain/orders/"+url.PathEscape(args[1]))
	case len(args) >= 1 && args[0] == "rules":
		err = e.rules(ctx, args[1:])
	default:
		f.Usage()
		return subcommands.ExitUsageError
	}
	if err != nil {
		_, _ = fmt.Fprintln(e.errs, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (e *explain) request(ctx context.Context, id string) error {
	id = strings.TrimPrefix(strings.TrimPrefix(id, "chatcmpl-"), "cmpl-")
	var d explainer.Decision
	if err := e.admin.get(ctx, "/admin/explain/requests/"+url.PathEscape(id), &d); err != nil {
		return err
	}
	e.printDecision(d)
	return nil
}

// printDecision prints a decision as text.
func (e *explain) printDecision(d explainer.Decision) {
	_, _ = fmt.Fprintf(e.out, "request %s at %s\n", d.ID, d.At.Format(time.RFC3339Nano))
	_, _ = fmt.Fprintf(e.out, "  %s of %q by %q\n", d.Kind, d.Model+d.Service, d.Client)
	rule := fmt.Sprintf("rule %q", d.Rule)
	if d.Rule == "" {
		rule = "no rule"
	}
	_, _ = fmt.Fprintf(e.out, "  %s of version %d matched: class %q, priority %d, deadline %v, queue %v\n",
		rule, d.RulesVersion, d.Class, d.Priority, d.Deadline, d.MaxWait)
	for i, t := range d.Attempts {
		_, _ = fmt.Fprintf(e.out, "  try %d from token %d: %s\n", i+1, t.Offset, targetText(t))
		for _, c := range t.Candidates {
			_, _ = fmt.Fprintf(e.out, "    %s scored %.3g: %s\n", c.Engine, c.Score, c.Why)
		}
		if t.Code != "" {
			_, _ = fmt.Fprintf(e.out, "    failed with %s (%s): %s\n", t.Code, t.Verdict, t.Reason)
		}
	}
	if d.Code != "" {
		_, _ = fmt.Fprintf(e.out, "  ended with %s (%s): %s\n", d.Code, d.Verdict, d.Reason)
		return
	}
	_, _ = fmt.Fprintf(e.out, "  answered: %d tokens, the first after %v, all after %v\n", d.Tokens, d.FirstToken, d.Total)
}

func targetText(t explainer.Attempt) string {
	if t.Target == "" {
		return "no place was given"
	}
	return t.Target
}

func (e *explain) requests(ctx context.Context, filters []string) error {
	query, err := parseFilters(filters)
	if err != nil {
		return err
	}
	var all []explainer.Decision
	if err := e.admin.get(ctx, "/admin/explain/requests?"+query.Encode(), &all); err != nil {
		return err
	}
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "REQUEST\tKIND\tOF\tCLASS\tRULE\tTRIES\tFIRST\tTOTAL\tEND")
	for _, d := range all {
		end := "answered"
		if d.Code != "" {
			end = d.Code
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%v\t%v\t%s\n",
			d.ID, d.Kind, d.Model+d.Service, d.Class, d.Rule, len(d.Attempts), d.FirstToken, d.Total, end)
	}
	return t.Flush()
}

// parseFilters parses arguments of the form name=value into a URL query.
func parseFilters(args []string) (url.Values, error) {
	query := url.Values{}
	for _, arg := range args {
		name, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("%q must have the form name=value", arg)
		}
		query.Set(name, text)
	}
	return query, nil
}

// printAnswer prints the JSON that an instance returns for a path.
func (e *explain) printAnswer(ctx context.Context, path string) error {
	var answer any
	if err := e.admin.get(ctx, path, &answer); err != nil {
		return err
	}
	printJSON(e.out, answer)
	return nil
}

// rules evaluates a situation against the rule list in force, or one from a file,
// and prints the outcome of each rule.
func (e *explain) rules(ctx context.Context, args []string) error {
	query, err := parseFilters(args)
	if err != nil {
		return err
	}
	outcomes, err := e.outcomes(ctx, query)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "RULE\tHOLDS\tDECIDES\tWHEN")
	for _, o := range outcomes {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%v\t%s\n", o.Rule, o.Holds, o.Matched, o.When)
	}
	return t.Flush()
}

func (e *explain) outcomes(ctx context.Context, query url.Values) ([]ruler.Outcome, error) {
	var outcomes []ruler.Outcome
	if e.file == "" {
		err := e.admin.get(ctx, "/admin/explain/rules?"+query.Encode(), &outcomes)
		return outcomes, err
	}
	source, err := os.ReadFile(e.file)
	if err != nil {
		return nil, err
	}
	list, err := ruler.Parse(e.file, source)
	if err != nil {
		return nil, err
	}
	var at ruler.Situation
	for name := range query {
		if err := at.Set(name, query.Get(name)); err != nil {
			return nil, err
		}
	}
	return list.Explain(at), nil
}
