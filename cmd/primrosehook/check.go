package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"

	"primrosehook/configurer"
	"primrosehook/matcher"
	"primrosehook/platform"
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
}

func (*check) Name() string     { return "check" }
func (*check) Synopsis() string { return "check settings and rule lists offline" }
func (*check) Usage() string {
	return `primrosehook check [flags of serve] [FILE...]
primrosehook check -platform SETTINGS | -routes CONFIGURATION

Checks the settings that serve would take, from the flags and the environment,
and each rule list. All faults are printed, with file, line, rule and field.

`
}

func (c *check) SetFlags(f *flag.FlagSet) {
	c.table = configurer.Register(f, &c.settings)
	f.StringVar(&c.platform, "platform", "", "settings file of the platform to check, as entry takes it")
	f.StringVar(&c.routes, "routes", "", "configuration of the platform to check")
}

func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.platform != "" || c.routes != "" {
		return c.checkPlatformFiles()
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

// checkPlatformFiles validates the files that the entry command would load.
func (c *check) checkPlatformFiles() subcommands.ExitStatus {
	result := subcommands.ExitSuccess
	if c.platform != "" {
		if s, err := platform.ReadSettings(c.platform); err != nil {
			_, _ = fmt.Fprintln(c.errs, err)
			result = subcommands.ExitFailure
		} else {
			_, _ = fmt.Fprintf(c.out, "%s: settings of %s are good\n", c.platform, s.Instance)
			if len(s.Unused) > 0 {
				_, _ = fmt.Fprintf(c.errs, "warning: fields that are not used: %s\n", strings.Join(s.Unused, " "))
			}
		}
	}
	if c.routes == "" {
		return result
	}
	raw, err := os.ReadFile(c.routes)
	if err == nil {
		var t *matcher.Table
		var rejections []platform.Rejection
		if t, rejections, err = platform.DecodeConfig(raw); err == nil {
			for _, r := range rejections {
				_, _ = fmt.Fprintf(c.errs, "warning: %s is left out: %s\n", r.Entry, r.Reason)
			}
			_, _ = fmt.Fprintf(c.out, "%s: version %d is good: %d services\n", c.routes, t.Version, len(t.Services))
			return result
		}
	}
	_, _ = fmt.Fprintln(c.errs, err)
	return subcommands.ExitFailure
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
