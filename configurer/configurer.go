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
	// Delay is the longest time that a message to an engine can be in transit.
	Delay time.Duration
	// Absence is how long an instance must be missing from the instance list before
	// its orders are assumed to have ended.
	Absence time.Duration
	// Group is how long an append waits for others, to be written with them in one
	// record.
	Group time.Duration

	// Body is the largest request body in bytes.
	Body int
	// Open is the largest number of requests open at once.
	Open int
	// Tokens is the largest number of tokens of an answer; DefaultTokens is the
	// limit for a request that sets none.
	Tokens        int
	DefaultTokens int
	// Timeouts: Upload is for receiving a request body, Stall for the longest pause
	// between two events of an engine's stream, Call for one attempt at a plain
	// service, and Send for one write to a slow client.
	Upload time.Duration
	Stall  time.Duration
	Call   time.Duration
	Send   time.Duration
	// Tries is the largest number of attempts of one request.
	Tries int
	// RetryShare is the retry budget: the number of retries allowed per first
	// attempt.
	RetryShare float64
	// Hold is how long a request is quarantined that was the only one present at
	// two crashes.
	Hold time.Duration

	// Linger is how long a leaving instance still accepts requests, so that the load
	// balancer can stop sending them. Drain limits the wait for requests in flight.
	Linger time.Duration
	Drain  time.Duration

	// LogLevel is a zap level; LogFormat is "console" or "json".
	LogLevel  string
	LogFormat string
	// Trace is "none", "stdout" or "otlp"; TraceURL is the URL of the OTLP collector.
	// TraceShare is the share of requests without a trace that start one, from 0 to 1.
	Trace      string
	TraceURL   string
	TraceShare float64
	// Recent is how many decisions are kept for the explain command.
	Recent int
}

// Setting describes one setting for operators.
type Setting struct {
	// Name is the name of the flag; the environment variable is Variable(Name).
	Name    string
	Default string
	// Allowed describes the allowed values.
	Allowed string
	Usage   string

	value *flagValue
}

// Variable returns the name of a setting's environment variable.
func Variable(name string) string {
	return Prefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Fault is one invalid setting.
type Fault struct {
	Name    string
	Value   string
	Allowed string
}

// String returns one line for the operator.
func (f Fault) String() string {
	return fmt.Sprintf("-%s (%s): %q is not allowed; want %s", f.Name, Variable(f.Name), f.Value, f.Allowed)
}

// Faults is the error that lists all invalid settings.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
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
		f.Var(v, all[i].Name, fmt.Sprintf("%s; %s [$%s]", all[i].Usage, all[i].Allowed, Variable(all[i].Name)))
	}
	return all
}

// Load sets flags that are not on the command line from the process's environment,
// and validates all settings. The flag set must be parsed already. The list environ
// has the form of os.Environ and is searched for unknown variables. Invalid settings
// are returned as Faults.
func Load(f *flag.FlagSet, s *Settings, all []Setting, environ []string) error {
	if err := ff.Parse(f, f.Args(), ff.WithEnvVarPrefix(Prefix)); err != nil {
		return err
	}
	var faults Faults
	for _, one := range all {
		if one.value.invalid {
			faults = append(faults, Fault{Name: one.Name, Value: one.value.text, Allowed: one.Allowed})
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
func checkCombinations(s *Settings) Faults {
	var faults Faults
	if s.Listen != "" && s.Listen == s.Operate {
		faults = append(faults, Fault{"operate", s.Operate, "an address other than -listen"})
	}
	if s.Peer != "" && (s.Peer == s.Listen || s.Peer == s.Operate) {
		faults = append(faults, Fault{"peer", s.Peer, "an address other than -listen and -operate"})
	}
	if s.Trace == "otlp" && s.TraceURL == "" {
		faults = append(faults, Fault{"trace-url", "", "the collector's URL, since -trace is otlp"})
	}
	if s.Absence > 0 && s.Absence < s.Delay {
		faults = append(faults, Fault{"absence", s.Absence.String(), "at least -delay"})
	}
	if s.DefaultTokens > s.Tokens && s.Tokens > 0 {
		faults = append(faults, Fault{"default-tokens", fmt.Sprint(s.DefaultTokens), "at most -tokens"})
	}
	return faults
}

// unknownVariables finds environment variables that have the prefix but name no
// setting. A misspelled one would otherwise be ignored silently.
func unknownVariables(all []Setting, environ []string) Faults {
	known := map[string]bool{Variable("admin"): true}
	for _, one := range all {
		known[Variable(one.Name)] = true
	}
	var faults Faults
	for _, pair := range environ {
		name, text, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, Prefix+"_") && !known[name] {
			short := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, Prefix+"_"), "_", "-"))
			faults = append(faults, Fault{short, text, "a known setting; see primrosehook help serve"})
		}
	}
	slices.SortFunc(faults, func(a, b Fault) int { return strings.Compare(a.Name, b.Name) })
	return faults
}
