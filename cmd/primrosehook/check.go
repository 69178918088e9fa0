package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"primrosehook/assumer"
	"primrosehook/configurer"
	"primrosehook/ruler"
)

// check is the subcommand that validates settings and rule lists without an
// instance.
type check struct {
	out, errs io.Writer
	settings  configurer.Settings
	table     []configurer.Setting
	// platform and routes are paths of the platform's settings file and of its
	// routing configuration; empty means not to check it.
	platform, routes string
	// against is the path of the configuration in force; empty means not to compare.
	against string
	// largest is the number of tokens of the largest request; zero if unknown.
	largest float64
	json    bool
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check settings, rule lists and configurations offline" }
func (*check) Usage() string {
	return `primrosehook check [flags of serve] [FILE...]
primrosehook check -platform SETTINGS
primrosehook check -routes CONFIGURATION [-platform SETTINGS] [-against CONFIGURATION] [-json]

Checks the settings that serve would take, from the flags and the environment,
and each rule list. All faults are printed, with file, line, rule and field.

With -routes, checks a configuration of the platform before it is sent. Exit
codes: 0 for no findings or only notes, 1 for warnings, 2 for errors, 3 if a file
can't be read.

`
}

func (c *check) SetFlags(f *flag.FlagSet) {
	c.table = configurer.Register(f, &c.settings)
	f.StringVar(&c.platform, "platform", "", "settings file of the platform to check, as entry takes it")
	f.StringVar(&c.routes, "routes", "", "configuration of the platform to check")
	f.StringVar(&c.against, "against", "", "configuration in force, to print what -routes changes")
	f.Float64Var(&c.largest, "largest-request", 0, "tokens of the largest request, to compare with the caps of accounts; 0 if unknown")
	f.BoolVar(&c.json, "json", false, "print the findings of -routes as JSON")
}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch {
	case c.routes != "":
		return c.checkConfiguration()
	case c.against != "" || c.json || c.largest != 0:
		_, _ = fmt.Fprintln(c.errs, "-against, -json and -largest-request need -routes")
		return subcommands.ExitUsageError
	case c.platform != "":
		return c.checkSettings()
	}
	files := f.Args()
	result := subcommands.ExitSuccess
	if err := configurer.Load(f, &c.settings, c.table, os.Environ()); err != nil {
		_, _ = fmt.Fprintln(c.errs, err)
		result = subcommands.ExitFailure
	}
	for _, file := range files {
		if !c.checkRuleList(file) {
			result = subcommands.ExitFailure
		}
	}
	return result
}

// checkSettings validates the settings file that the entry command would load.
func (c *check) checkSettings() subcommands.ExitStatus {
	s, assumed, err := assumer.Read(c.platform)
	if err != nil {
		_, _ = fmt.Fprintln(c.errs, err)
		return subcommands.ExitFailure
	}
	_, _ = fmt.Fprintf(c.out, "%s: settings of %s are good\n", c.platform, s.Instance)
	if len(assumed) > 0 {
		_, _ = fmt.Fprintf(c.errs, "warning: fields that are missing, with what is assumed: %s\n", strings.Join(assumed, " "))
	}
	if len(s.Unused) > 0 {
		_, _ = fmt.Fprintf(c.errs, "warning: fields that are not used: %s\n", strings.Join(s.Unused, " "))
	}
	return subcommands.ExitSuccess
}

// checkRuleList validates one rule list and reports whether it can be published.
func (c *check) checkRuleList(file string) bool {
	data, err := os.ReadFile(file)
	if err != nil {
		_, _ = fmt.Fprintln(c.errs, err)
		return false
	}
	list, err := ruler.Parse(file, data)
	if err != nil {
		_, _ = fmt.Fprintln(c.errs, err)
		return false
	}
	for _, w := range list.Warnings {
		_, _ = fmt.Fprintln(c.errs, "warning:", w)
	}
	adapters := 0
	for _, m := range list.Models {
		adapters += len(m.Adapters)
	}
	_, _ = fmt.Fprintf(c.out, "%s: %q is good: %d models, %d adapters, %d services, %d rules\n",
		file, list.Name, len(list.Models), adapters, len(list.Services), len(list.Rules))
	return true
}
