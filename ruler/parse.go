package ruler

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"time"
	// Embeds the time zone database, for machines that have none.
	_ "time/tzdata"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxBytes is the size limit of a rule list, in bytes.
const MaxBytes = 512 << 10

// Limits of a list.
const (
	maxModels         = 1024
	maxAdapters       = 512
	maxServices       = 64
	maxWrites         = 64
	maxRules          = 256
	maxPathBytes      = 256
	maxConditionBytes = 2048
	maxMemoryMB       = 64 << 20
)

// Ranges of the values that a rule sets.
const (
	maxPriority = 100
	maxReady    = 64
	minDeadline = time.Millisecond
	maxDeadline = time.Hour
	maxQueue    = time.Hour
	minWithin   = time.Second
	maxWithin   = 31 * 24 * time.Hour
)

// weightTolerance is how far the sum of the weights may be from 1.
const weightTolerance = 1e-6

// Parse reads and checks a rule list. The file name is used in error messages
// only. If the list is rejected, the error is of type Faults.
func Parse(file string, data []byte) (*List, error) {
	r := &reader{file: file}
	list := r.readList(data)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	list.Source, list.Warnings = bytes.Clone(data), r.warnings
	return list, nil
}

func (r *reader) readList(data []byte) *List {
	tokens, reason := tokenize(data)
	if reason != "" {
		r.addFault(nil, fieldPath{}, "%s", reason)
		return nil
	}
	tree, err := parser.Parse(tokens, 0)
	if err != nil {
		r.addSyntaxFault(err)
		return nil
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		r.addFault(nil, fieldPath{}, "rule list must be one YAML document")
		return nil
	}
	list := &List{Weights: Weights{Attainment: 0.5, Moves: 0.5}}
	body := tree.Docs[0].Body
	seen := r.mapping(body, fieldPath{}, fields{
		"name":     r.text(&list.Name, maxNameBytes),
		"timezone": func(n ast.Node, p fieldPath) { r.timezone(n, p, list) },
		"models":   func(n ast.Node, p fieldPath) { r.models(n, p, list) },
		"services": func(n ast.Node, p fieldPath) { r.services(n, p, list) },
		"weights":  func(n ast.Node, p fieldPath) { r.weights(n, p, &list.Weights) },
		"rules":    func(ast.Node, fieldPath) {},
	})
	// Rules are read last, since their conditions refer to models and services.
	if n := seen["rules"]; n != nil {
		r.rules(n, fieldPath{field: "rules"}, list)
		r.checkRules(n, list)
	}
	return list
}

// timezone reads an IANA zone name. The zone database is embedded in the
// binary, so that a list is not accepted on one machine and rejected on
// another. "Local" is rejected, because it means something else on each
// machine.
func (r *reader) timezone(n ast.Node, p fieldPath, list *List) {
	r.text(&list.Timezone, maxNameBytes)(n, p)
	location, err := time.LoadLocation(list.Timezone)
	if err != nil || location == time.Local {
		r.addFault(n, p, "%q is no time zone; an example is Europe/Amsterdam", truncate(list.Timezone))
		return
	}
	list.location = location
}

// addSyntaxFault records an error of the YAML parser, with its position if
// the parser gave one.
func (r *reader) addSyntaxFault(err error) {
	var positioned yaml.Error
	fault := Fault{File: r.file, Line: 1, Column: 1, Reason: "YAML: " + truncate(err.Error())}
	if errors.As(err, &positioned) {
		fault.Reason = "YAML: " + truncate(positioned.GetMessage())
		if t := positioned.GetToken(); t != nil && t.Position != nil {
			fault.Line, fault.Column = t.Position.Line, t.Position.Column
		}
	}
	r.faults = append(r.faults, fault)
}

func (r *reader) models(n ast.Node, p fieldPath, list *List) {
	r.sequence(n, p, maxModels, func(i int, n ast.Node) {
		var m Model
		at := fieldPath{item: fmt.Sprintf("model %d", i+1)}
		r.mapping(n, at, fields{
			"name":     r.name(&m.Name),
			"version":  r.name(&m.Version),
			"pool":     r.name(&m.Pool),
			"memory":   r.integer(&m.Memory, 1, maxMemoryMB),
			"adapters": func(n ast.Node, p fieldPath) { r.adapters(n, p, &m) },
		})
		at.item += fmt.Sprintf(" %q", m.Name)
		r.require(n, at, "name", m.Name != "")
		r.require(n, at, "pool", m.Pool != "")
		r.require(n, at, "memory", m.Memory > 0)
		if _, twice := list.Model(m.Name); twice && m.Name != "" {
			r.addFault(n, at, "model is listed twice")
		}
		list.Models = append(list.Models, m)
	})
}

func (r *reader) adapters(n ast.Node, p fieldPath, m *Model) {
	r.sequence(n, p, maxAdapters, func(i int, n ast.Node) {
		var a Adapter
		at := fieldPath{item: p.item, field: fmt.Sprintf("%s[%d]", p.field, i)}
		r.mapping(n, at, fields{
			"name":   r.name(&a.Name),
			"memory": r.integer(&a.Memory, 1, maxMemoryMB),
		})
		r.require(n, at, "name", a.Name != "")
		r.require(n, at, "memory", a.Memory > 0)
		if _, twice := m.Adapter(a.Name); twice && a.Name != "" {
			r.addFault(n, at, "adapter %q is listed twice", a.Name)
		}
		m.Adapters = append(m.Adapters, a)
	})
}

func (r *reader) services(n ast.Node, p fieldPath, list *List) {
	r.sequence(n, p, maxServices, func(i int, n ast.Node) {
		var v Service
		at := fieldPath{item: fmt.Sprintf("service %d", i+1)}
		r.mapping(n, at, fields{
			"name":   r.name(&v.Name),
			"pool":   r.name(&v.Pool),
			"writes": func(n ast.Node, p fieldPath) { r.writes(n, p, &v) },
		})
		at.item += fmt.Sprintf(" %q", v.Name)
		r.require(n, at, "name", v.Name != "")
		r.require(n, at, "pool", v.Pool != "")
		if _, twice := list.Service(v.Name); twice && v.Name != "" {
			r.addFault(n, at, "service is listed twice")
		}
		list.Services = append(list.Services, v)
	})
}

func (r *reader) writes(n ast.Node, p fieldPath, v *Service) {
	r.sequence(n, p, maxWrites, func(i int, n ast.Node) {
		path := ""
		at := fieldPath{item: p.item, field: fmt.Sprintf("%s[%d]", p.field, i)}
		r.text(&path, maxPathBytes)(n, at)
		if path == "" || path[0] != '/' {
			r.addFault(n, at, "%q must be a path that starts with a slash", truncate(path))
		}
		v.Writes = append(v.Writes, path)
	})
}

func (r *reader) weights(n ast.Node, p fieldPath, w *Weights) {
	*w = Weights{}
	r.mapping(n, p, fields{"attainment": r.fraction(&w.Attainment), "moves": r.fraction(&w.Moves)})
	if sum := w.Attainment + w.Moves; math.Abs(sum-1) > weightTolerance {
		r.addFault(n, p, "attainment and moves must add up to 1, not %g", sum)
	}
}

func (r *reader) rules(n ast.Node, p fieldPath, list *List) {
	r.sequence(n, p, maxRules, func(i int, n ast.Node) {
		rule := Rule{Name: fmt.Sprintf("rule %d", i+1)}
		at := fieldPath{item: fmt.Sprintf("rule %d", i+1)}
		if name := ruleName(n); name != "" {
			at.item += fmt.Sprintf(" %q", truncate(name))
		}
		var when ast.Node
		seen := r.mapping(n, at, fields{
			"name": r.text(&rule.Name, maxNameBytes),
			"when": func(n ast.Node, p fieldPath) {
				when = n
				r.text(&rule.When, maxConditionBytes)(n, p)
			},
			"then": func(n ast.Node, p fieldPath) { r.then(n, p, &rule.Then) },
		})
		r.require(n, at, "when", when != nil)
		r.require(n, at, "then", seen["then"] != nil)
		if when != nil && rule.When != "" {
			rule.program = r.compile(when, at.child("when"), rule.When, list)
		} else if when != nil {
			r.addFault(when, at.child("when"), "must be a condition; true matches always")
		}
		list.Rules = append(list.Rules, rule)
	})
}

// ruleName returns the name of a rule before its fields are read, so that
// each of its faults can include it.
func ruleName(n ast.Node) string {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		return ""
	}
	for _, v := range m.Values {
		if s, ok := v.Value.(*ast.StringNode); ok && v.Key.GetToken().Value == "name" {
			return s.Value
		}
	}
	return ""
}

func (r *reader) then(n ast.Node, p fieldPath, t *Then) {
	priority, ready := int64(0), int64(0)
	r.mapping(n, p, fields{
		"class":    r.name(&t.Class),
		"priority": r.integer(&priority, -maxPriority, maxPriority),
		"deadline": r.duration(&t.Deadline, minDeadline, maxDeadline),
		"queue":    r.duration(&t.Queue, 0, maxQueue),
		"within":   r.duration(&t.Within, minWithin, maxWithin),
		"ready":    r.integer(&ready, 0, maxReady),
		"refuse":   r.boolean(&t.Refuse),
	})
	t.Priority, t.Ready = int(priority), int(ready)
}

// require records a fault if a required field is missing.
func (r *reader) require(n ast.Node, p fieldPath, field string, ok bool) {
	if ok {
		return
	}
	// A field that is present but invalid already has a fault.
	line, _ := position(n)
	for _, f := range r.faults {
		if f.Line >= line && f.Field == p.child(field).field {
			return
		}
	}
	r.addFault(n, p.child(field), "is missing")
}

// checkRules reports duplicate names, and warns of rules that can never
// match.
func (r *reader) checkRules(n ast.Node, list *List) {
	names, conditions := map[string]int{}, map[string]int{}
	always := -1
	for i, rule := range list.Rules {
		at := fieldPath{item: fmt.Sprintf("rule %d %q", i+1, truncate(rule.Name))}
		node := ruleNode(n, i)
		if first, twice := names[rule.Name]; twice {
			r.addFault(node, at, "has the name of rule %d", first+1)
		}
		names[rule.Name] = i
		if first, twice := conditions[rule.When]; twice {
			r.addWarning(node, at, "is never reached: rule %d has the same condition", first+1)
		} else if always >= 0 {
			r.addWarning(node, at, "is never reached: rule %d matches always", always+1)
		}
		conditions[rule.When] = i
		if rule.When == "true" && always < 0 {
			always = i
		}
	}
}

// ruleNode returns the node of rule i, for its position.
func ruleNode(n ast.Node, i int) ast.Node {
	if s, ok := n.(*ast.SequenceNode); ok && i < len(s.Values) {
		return s.Values[i]
	}
	return n
}
