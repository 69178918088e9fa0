package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"

	"github.com/google/subcommands"

	"primrosehook/assumer"
	"primrosehook/inspector"
	"primrosehook/platform"
)

// The exit codes of the check of a configuration. Findings that are only notes exit with
// subcommands.ExitSuccess.
const (
	exitWarnings   subcommands.ExitStatus = 1
	exitErrors     subcommands.ExitStatus = 2
	exitUnreadable subcommands.ExitStatus = 3
)

// checkConfiguration prints the findings of a configuration of the platform. Files that can't
// be read are named on the error output.
func (c *check) checkConfiguration() subcommands.ExitStatus {
	findings := []inspector.Finding{}
	fault := func(place string, err error) {
		findings = append(findings, inspector.Finding{Severity: inspector.Error, Place: place, Text: err.Error(), Remedy: "correct the file"})
	}
	var options []inspector.Option
	if c.platform != "" {
		s, _, err := assumer.Read(c.platform)
		var unreadable *fs.PathError
		switch {
		case errors.As(err, &unreadable):
			return c.reportUnreadable(err)
		case err != nil:
			fault("settings "+c.platform, err)
		default:
			options = append(options, inspector.WithSettings(s))
		}
		if len(s.Unused) > 0 {
			findings = append(findings, inspector.Finding{
				Severity: inspector.Note, Place: "settings " + c.platform,
				Text: "fields that are not used: " + strings.Join(s.Unused, " "), Remedy: "remove them or correct their names",
			})
		}
	}
	// decode returns nil for a file that can't be decoded.
	decode := func(path string) (*platform.Entries, error) {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		e, err := platform.DecodeEntries(raw)
		var syntax *platform.SyntaxError
		switch {
		case errors.As(err, &syntax):
			fault(fmt.Sprintf("%s:%d:%d", path, syntax.Line, syntax.Column), errors.New(syntax.Reason))
		case err != nil:
			fault(path, err)
		}
		return e, nil
	}
	e, err := decode(c.routes)
	if err != nil {
		return c.reportUnreadable(err)
	}
	if c.against != "" {
		former, err := decode(c.against)
		if err != nil {
			return c.reportUnreadable(err)
		}
		if former != nil {
			options = append(options, inspector.WithVersionInForce(former))
		}
	}
	if e != nil {
		options = append(options, inspector.WithLargestRequest(c.largest))
		findings = append(findings, inspector.Inspect(e, options...)...)
	}
	return c.reportFindings(e, findings)
}

func (c *check) reportUnreadable(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(c.errs, err)
	return exitUnreadable
}

// reportFindings prints findings and returns the exit code for the worst of them.
func (c *check) reportFindings(e *platform.Entries, findings []inspector.Finding) subcommands.ExitStatus {
	worst := inspector.Worst(findings)
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(findings); err != nil {
			return c.reportUnreadable(err)
		}
	} else {
		for _, f := range findings {
			_, _ = fmt.Fprintln(c.out, f)
		}
		if worst != inspector.Error {
			_, _ = fmt.Fprintf(c.out, "%s: version %d is good: %d services\n", c.routes, e.Version, len(e.Services))
		}
	}
	switch worst {
	case inspector.Error:
		return exitErrors
	case inspector.Warning:
		return exitWarnings
	default:
		return subcommands.ExitSuccess
	}
}
