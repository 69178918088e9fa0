// Package ruler parses rule lists and evaluates them. It does no I/O.
//
// A rule list is one YAML document: models and services, and an ordered list
// of when-then rules. The first rule whose condition is true decides.
//
// Conditions are deterministic: their only input is a Situation, and they
// have no clock and no random source, so that every instance makes the same
// decision. A list is accepted or rejected as a whole; a rejection reports
// all its faults at once.
package ruler

import (
	"strings"
	"sync"
	"time"

	"github.com/expr-lang/expr/vm"
)

// The kinds of situations that rules are evaluated for.
const (
	// KindChat is a chat or completion request whose client waits for the
	// answer.
	KindChat = "chat"
	// KindCall is an idempotent request to a service.
	KindCall = "call"
	// KindWrite is a non-idempotent request to a service.
	KindWrite = "write"
	// KindJob is deferred work that was accepted earlier.
	KindJob = "job"
	// KindModel asks how many replicas a model should have, outside any
	// request.
	KindModel = "model"
)

// Adapter is a small set of weights that is applied on top of a model.
type Adapter struct {
	Name string `yaml:"name" json:"name"`
	// Memory is in MB.
	Memory int64 `yaml:"memory" json:"memory"`
}

// Model is one model of the catalogue.
type Model struct {
	Name    string `yaml:"name" json:"name"`
	Version string `yaml:"version" json:"version"`
	// Pool is the engine pool that serves the model.
	Pool string `yaml:"pool" json:"pool"`
	// Memory is in MB.
	Memory   int64     `yaml:"memory" json:"memory"`
	Adapters []Adapter `yaml:"adapters" json:"adapters,omitempty"`
}

// Service is a backend other than an engine, to which requests are routed.
type Service struct {
	Name string `yaml:"name" json:"name"`
	Pool string `yaml:"pool" json:"pool"`
	// Writes are the paths whose POST, PUT, PATCH and DELETE calls may run at
	// most once. All other calls count as idempotent.
	Writes []string `yaml:"writes" json:"writes"`
}

// Then is the decision of a rule.
type Then struct {
	// Class names the kind of work in reports, such as "urgent" or
	// "deferred".
	Class string `yaml:"class" json:"class"`
	// Priority orders queued work: a higher value goes first.
	Priority int `yaml:"priority" json:"priority"`
	// Deadline is the time within which the first byte must come; zero means
	// none.
	Deadline time.Duration `yaml:"deadline" json:"deadline_ns"`
	// Queue is how long the work may wait for an engine; zero means that it
	// is refused at once if none is free.
	Queue time.Duration `yaml:"queue" json:"queue_ns"`
	// Within is the time within which deferred work must be completed after
	// it was accepted.
	Within time.Duration `yaml:"within" json:"within_ns"`
	// Ready is how many replicas a model should have loaded.
	Ready int `yaml:"ready" json:"ready"`
	// Refuse rejects the request at once.
	Refuse bool `yaml:"refuse" json:"refuse"`
}

// Rule is one when-then rule.
type Rule struct {
	Name string `yaml:"name" json:"name"`
	When string `yaml:"when" json:"when"`
	Then Then   `yaml:"then" json:"then"`

	program *vm.Program
}

// Weights are the relative weights of the planning goals; they add up to 1.
type Weights struct {
	// Attainment weighs the share of work that meets its deadline.
	Attainment float64 `yaml:"attainment" json:"attainment"`
	// Moves weighs the cost of loads, unloads and moves between engines.
	Moves float64 `yaml:"moves" json:"moves"`
}

// List is a parsed rule list.
type List struct {
	Name string `yaml:"name"`
	// Timezone is the IANA name of the zone for the hour and the weekday in
	// conditions, such as Europe/Amsterdam. Empty means UTC.
	Timezone string    `yaml:"timezone"`
	Models   []Model   `yaml:"models"`
	Services []Service `yaml:"services"`
	Weights  Weights   `yaml:"weights"`
	Rules    []Rule    `yaml:"rules"`

	// Source is the text that the list was parsed from.
	Source []byte `yaml:"-"`
	// Warnings describe suspicious but valid parts of the list, one line
	// each.
	Warnings []string `yaml:"-"`

	location *time.Location
}

// WithTime returns s with the hour and weekday of now in the list's time zone. The
// zone is part of the list so that instances whose machines are set to
// different zones make the same decision: a machine set to UTC would apply an
// Amsterdam closing time two hours late in summer.
func (l *List) WithTime(now time.Time, s Situation) Situation {
	location := l.location
	if location == nil {
		location = time.UTC
	}
	now = now.In(location)
	s.Hour, s.Weekday = now.Hour(), int(now.Weekday())
	return s
}

// Model returns the model with the name.
func (l *List) Model(name string) (Model, bool) {
	for i := range l.Models {
		if l.Models[i].Name == name {
			return l.Models[i], true
		}
	}
	return Model{}, false
}

// Adapter returns the adapter with the name.
func (m Model) Adapter(name string) (Adapter, bool) {
	for _, a := range m.Adapters {
		if a.Name == name {
			return a, true
		}
	}
	return Adapter{}, false
}

// Service returns the service with the name.
func (l *List) Service(name string) (Service, bool) {
	for i := range l.Services {
		if l.Services[i].Name == name {
			return l.Services[i], true
		}
	}
	return Service{}, false
}

// IsWrite reports whether a call may run at most once. A path in Writes also
// covers everything below it: "/receipts" covers "/receipts/2026".
func (v Service) IsWrite(method, path string) bool {
	switch method {
	case "POST", "PUT", "PATCH", "DELETE":
	default:
		return false
	}
	for _, w := range v.Writes {
		if path == w || strings.HasPrefix(path, strings.TrimSuffix(w, "/")+"/") {
			return true
		}
	}
	return false
}

// Situation is the input of the conditions. Its tags are the names that
// conditions use.
type Situation struct {
	Kind    string `expr:"kind"`
	Model   string `expr:"model"`
	Adapter string `expr:"adapter"`
	Service string `expr:"service"`
	Method  string `expr:"method"`
	Path    string `expr:"path"`
	// Caller is the branch or member that sends the request, taken from its
	// header.
	Caller string `expr:"caller"`
	// Hour is 0 to 23 and Weekday 0 (Sunday) to 6, in the list's time zone.
	Hour    int `expr:"hour"`
	Weekday int `expr:"weekday"`
	// Prompt is the length of the prompt in bytes.
	Prompt int `expr:"prompt"`
	// Demand is the model's recent demand in requests per second.
	Demand float64 `expr:"demand"`
	// Copies is how many engines have the model loaded.
	Copies int `expr:"copies"`
}

// Decision is the result of evaluating a list for one situation.
type Decision struct {
	// Rule is the index of the rule that matched, or -1 if none did.
	Rule int
	Name string
	Then Then
}

// evaluator evaluates conditions. Evaluators are pooled, since allocating one
// costs more than evaluating a condition.
type evaluator struct {
	vm.VM
	variables map[string]any
}

var evaluators = sync.Pool{New: func() any { return new(evaluator) }}

// Decide returns the decision of the first rule that matches, or the zero
// Then if none does. A condition whose evaluation fails does not match.
func (l *List) Decide(s Situation) Decision {
	e, _ := evaluators.Get().(*evaluator)
	defer evaluators.Put(e)
	e.variables = s.variables(e.variables)
	for i := range l.Rules {
		r := &l.Rules[i]
		if holds, _ := r.matches(e); holds {
			return Decision{Rule: i, Name: r.Name, Then: r.Then}
		}
	}
	return Decision{Rule: -1}
}

// matches evaluates the rule's condition.
func (r *Rule) matches(e *evaluator) (bool, error) {
	if r.program == nil {
		return false, nil
	}
	out, err := e.Run(r.program, e.variables)
	holds, ok := out.(bool)
	return ok && holds, err
}

// Outcome is the result of evaluating one rule for a situation.
type Outcome struct {
	Rule string `json:"rule"`
	When string `json:"when"`
	// Matched is set for the first rule whose condition is true, which
	// decides; Holds for every such rule.
	Matched bool   `json:"matched"`
	Holds   bool   `json:"holds"`
	Fault   string `json:"fault,omitempty"`
	Then    Then   `json:"then"`
}

// Explain evaluates every rule, so that an operator sees which one decides
// and which later ones would also have matched.
func (l *List) Explain(s Situation) []Outcome {
	outcomes := make([]Outcome, 0, len(l.Rules))
	matched := false
	for i := range l.Rules {
		r := &l.Rules[i]
		holds, err := r.matches(&evaluator{variables: s.variables(nil)})
		o := Outcome{Rule: r.Name, When: r.When, Holds: holds, Then: r.Then}
		o.Matched = holds && !matched
		matched = matched || holds
		if err != nil {
			o.Fault = err.Error()
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}
