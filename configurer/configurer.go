// Package configurer reads and checks settings from flags and the environment.
//
// Every setting has a flag "-name" and an environment variable
// "PRIMROSEHOOK_NAME"; the flag takes precedence. All invalid settings are reported
// at once, each with its name, its value and the values that are allowed.
package configurer

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
)

// Prefix is the prefix of every environment variable, without the underscore.
const Prefix = "PRIMROSEHOOK"

// Settings is the configuration of an entry instance.
type Settings struct {
	// Name is unique to one incarnation of the instance. If it is empty, the serve
	// command derives it from the listen address and the start time.
	Name   string
	Region string
	Zone   string
	// Listen, Operate and Peer are the addresses for clients, operators and other
	// instances; each is "IP:port".
	Listen  string
	Operate string
	Peer    string
	// List, Log and Store are the URLs of the platform's services.
	List  string
	Log   string
	Store string

	// WriteShards and JobShards are the numbers of shards of idempotency keys and of
	// jobs. They must be the same on all instances.
	WriteShards int
	JobShards   int
	// Lease is how long the lease holder of a pool may act without reaching the log.
	Lease time.Duration
	// MaxMessageDelay is the longest time that a message to an engine can be in
	// transit.
	MaxMessageDelay time.Duration
	// AbsenceTimeout is how long an instance must be missing from the instance list
	// before its orders are assumed to have ended.
	AbsenceTimeout time.Duration
	// GroupWait is how long an append waits for others, to be written with them in one
	// record.
	GroupWait time.Duration

	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int
	// MemoryMB and Descriptors are the memory and the open files that the process may use; 0 stands
	// for its own limits.
	MemoryMB    int
	Descriptors int
	// MaxOpenRequests is the largest number of requests open at once.
	MaxOpenRequests int
	// MaxTokens is the largest number of tokens of an answer; DefaultMaxTokens is the
	// limit for a request that sets none.
	MaxTokens        int
	DefaultMaxTokens int
	// Timeouts: BodyTimeout is for receiving a request body, StallTimeout for the
	// longest pause between two events of an engine's stream, ServiceTimeout for
	// one attempt at a plain service, and WriteTimeout for one write to a slow
	// client.
	BodyTimeout    time.Duration
	StallTimeout   time.Duration
	ServiceTimeout time.Duration
	WriteTimeout   time.Duration
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts int
	// RetryBudgetRatio is the retry budget: the number of retries allowed per first
	// attempt.
	RetryBudgetRatio float64
	// QuarantineTerm is how long a request is quarantined that was the only one
	// present at two crashes.
	QuarantineTerm time.Duration

	// Linger is how long a leaving instance still accepts requests, so that the load
	// balancer can stop sending them. Drain limits the wait for requests in flight.
	Linger time.Duration
	Drain  time.Duration

	// LogLevel is a zap level; LogFormat is "console" or "json".
	LogLevel  string
	LogFormat string
	// Trace is "none", "stdout" or "otlp"; TraceURL is the URL of the OTLP collector.
	// TraceSampleRatio is the share of requests without a trace that start one,
	// from 0 to 1.
	Trace            string
	TraceURL         string
	TraceSampleRatio float64
	// DecisionsKept is how many decisions are kept for the explain command.
	DecisionsKept int
}

// Setting describes one setting for operators.
type Setting struct {
	// Name is the name of the flag; the environment variable is VariableName(Name).
	Name    string
	Default string
	// Allowed describes the allowed values.
	Allowed string
	Usage   string

	value *flagValue
}

// VariableName returns the name of a setting's environment variable.
func VariableName(name string) string {
	return Prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// InvalidSetting is one invalid setting.
type InvalidSetting struct {
	Name    string
	Value   string
	Allowed string
}

// String returns one line for the operator.
func (f InvalidSetting) String() string {
	return fmt.Sprintf("-%s (%s): %q is not allowed; want %s", f.Name, VariableName(f.Name), f.Value, f.Allowed)
}

// InvalidSettings is the error that lists all invalid settings.
type InvalidSettings []InvalidSetting

// Error returns one line for each invalid setting.
func (f InvalidSettings) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// flagValue is a flag.Value that records whether it is invalid rather than failing:
// package flag stops at the first error, and would hide the others.
type flagValue struct {
	setting *Setting
	text    string
	set     func(text string) bool
	invalid bool
}

// String implements flag.Value.
func (v *flagValue) String() string { return v.text }

// Set implements flag.Value. It never fails.
func (v *flagValue) Set(text string) error {
	v.text = text
	v.invalid = !v.set(text)
	return nil
}

// Register adds the settings to a flag set and sets their defaults.
func Register(f *flag.FlagSet, s *Settings) []Setting {
	all := table(s)
	for i := range all {
		v := all[i].value
		v.setting = &all[i]
		_ = v.Set(all[i].Default)
		f.Var(v, all[i].Name, fmt.Sprintf("%s; %s [$%s]", all[i].Usage, all[i].Allowed, VariableName(all[i].Name)))
	}
	return all
}

// Load sets flags that are not on the command line from the process's environment,
// and validates all settings. The flag set must be parsed already. The list environ
// has the form of os.Environ and is searched for unknown variables. Invalid settings
// are returned as InvalidSettings.
func Load(f *flag.FlagSet, s *Settings, all []Setting, environ []string) error {
	if err := ff.Parse(f, f.Args(), ff.WithEnvVarPrefix(Prefix)); err != nil {
		return err
	}
	var faults InvalidSettings
	for _, one := range all {
		if one.value.invalid {
			faults = append(faults, InvalidSetting{Name: one.Name, Value: one.value.text, Allowed: one.Allowed})
		}
	}
	faults = append(faults, checkCombinations(s)...)
	faults = append(faults, unknownVariables(all, environ)...)
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// checkCombinations finds settings that conflict with each other.
func checkCombinations(s *Settings) InvalidSettings {
	var faults InvalidSettings
	if s.Listen != "" && s.Listen == s.Operate {
		faults = append(faults, InvalidSetting{"operate", s.Operate, "an address other than -listen"})
	}
	if s.Peer != "" && (s.Peer == s.Listen || s.Peer == s.Operate) {
		faults = append(faults, InvalidSetting{"peer", s.Peer, "an address other than -listen and -operate"})
	}
	if s.Trace == "otlp" && s.TraceURL == "" {
		faults = append(faults, InvalidSetting{"trace-url", "", "the collector's URL, since -trace is otlp"})
	}
	if s.AbsenceTimeout > 0 && s.AbsenceTimeout < s.MaxMessageDelay {
		faults = append(faults, InvalidSetting{"absence", s.AbsenceTimeout.String(), "at least -delay"})
	}
	if s.DefaultMaxTokens > s.MaxTokens && s.MaxTokens > 0 {
		faults = append(faults, InvalidSetting{"default-tokens", fmt.Sprint(s.DefaultMaxTokens), "at most -tokens"})
	}
	return faults
}

// unknownVariables finds environment variables that have the prefix but name no
// setting. A misspelled one would otherwise be ignored silently.
func unknownVariables(all []Setting, environ []string) InvalidSettings {
	known := map[string]bool{VariableName("admin"): true}
	for _, one := range all {
		known[VariableName(one.Name)] = true
	}
	var faults InvalidSettings
	for _, pair := range environ {
		name, text, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, Prefix+"_") && !known[name] {
			short := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, Prefix+"_"), "_", "-"))
			faults = append(faults, InvalidSetting{short, text, "a known setting; see primrosehook help serve"})
		}
	}
	slices.SortFunc(faults, func(a, b InvalidSetting) int { return strings.Compare(a.Name, b.Name) })
	return faults
}
