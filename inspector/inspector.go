// Package inspector finds faults of a configuration of the platform before it is sent:
// entries that are refused, that can never match, or whose limits contradict each other, and
// what differs from the version in force. It does no I/O.
package inspector

import (
	"fmt"
	"slices"
	"strings"

	"primrosehook/platform"
)

// Severity says what a finding means for requests.
type Severity string

// The severities of a finding.
const (
	// Error is for an entry that is refused or whose requests fail.
	Error Severity = "error"
	// Warning is for an entry without effect and for limits that contradict each other.
	Warning Severity = "warning"
	// Note is for what may be meant so.
	Note Severity = "note"
)

// Finding is one finding.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the entry and its field, such as routes[3] "name", path-prefix.
	Place string `json:"place"`
	Text  string `json:"text"`
	// Remedy is what to do, empty for differences from the version in force.
	Remedy string `json:"remedy,omitempty"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	line := fmt.Sprintf("%s: %s: %s", f.Severity, f.Place, f.Text)
	if f.Remedy != "" {
		line += "; " + f.Remedy
	}
	return line
}

// Option sets what a configuration is checked against.
type Option func(*inspection)

// WithSettings checks the configuration against the settings of an instance, too.
func WithSettings(s platform.Settings) Option {
	return func(x *inspection) { x.settings = &s }
}

// WithVersionInForce adds what differs from the version in force.
func WithVersionInForce(e *platform.Entries) Option {
	return func(x *inspection) { x.former = e }
}

// WithLargestRequest compares the caps of accounts with the usage of the largest request,
// in tokens.
func WithLargestRequest(tokens float64) Option {
	return func(x *inspection) { x.largest = tokens }
}

// Inspect returns the findings of a configuration, in the order of its entries.
func Inspect(e *platform.Entries, options ...Option) []Finding {
	x := &inspection{Entries: e}
	for _, o := range options {
		o(x)
	}
	x.inspectRoutes()
	x.inspectServices()
	x.inspectAccounts()
	x.inspectLimits()
	if x.former != nil {
		x.compare()
	}
	return x.findings
}

// Worst returns the highest severity of findings, Note if there are none.
func Worst(findings []Finding) Severity {
	worst := Note
	for _, f := range findings {
		if f.Severity == Error {
			return Error
		}
		if f.Severity == Warning {
			worst = Warning
		}
	}
	return worst
}

type inspection struct {
	*platform.Entries
	settings *platform.Settings
	former   *platform.Entries
	largest  float64
	findings []Finding
}

func (x *inspection) add(s Severity, place, text, remedy string) {
	x.findings = append(x.findings, Finding{Severity: s, Place: place, Text: text, Remedy: remedy})
}

// place returns the place of an entry of a list, or of one of its fields.
func place(list string, i int, name, field string) string {
	p := fmt.Sprintf("%s[%d] %q", list, i, name)
	if field != "" {
		p += ", " + field
	}
	return p
}

// hostKey returns what routes have in common that compete for the same requests.
func hostKey(r platform.RouteEntry) string { return strings.ToLower(r.Host) + " " + r.Prefix }

// isDefined reports whether the configuration has a service.
func (x *inspection) isDefined(service string) bool {
	return slices.ContainsFunc(x.Services, func(s platform.ServiceEntry) bool { return s.Name == service })
}
