package ruler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxFaults bounds the number of faults, and of warnings, reported for one
// list.
const maxFaults = 100

const maxNameBytes = 128

// reader walks the YAML tree and collects faults. It reads field by field
// instead of decoding into structs, since a decoder stops at the first error.
type reader struct {
	file     string
	faults   Faults
	warnings []string
}

// fieldPath identifies the field being read: the model, service or rule, and
// the path of the field in it.
type fieldPath struct {
	item  string
	field string
}

func (p fieldPath) child(field string) fieldPath {
	if p.field != "" {
		field = p.field + "." + field
	}
	return fieldPath{item: p.item, field: field}
}

func (r *reader) addFault(n ast.Node, p fieldPath, format string, args ...any) {
	if len(r.faults) >= maxFaults {
		return
	}
	line, column := position(n)
	r.faults = append(r.faults, Fault{
		File: r.file, Line: line, Column: column,
		Item: p.item, Field: p.field, Reason: fmt.Sprintf(format, args...),
	})
}

func (r *reader) addWarning(n ast.Node, p fieldPath, format string, args ...any) {
	if len(r.warnings) >= maxFaults {
		return
	}
	line, column := position(n)
	r.warnings = append(r.warnings, Fault{
		File: r.file, Line: line, Column: column,
		Item: p.item, Field: p.field, Reason: fmt.Sprintf(format, args...),
	}.String())
}

func position(n ast.Node) (line, column int) {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1, 1
	}
	p := n.GetToken().Position
	return p.Line, p.Column
}

// fields maps each known field of a mapping to the function that reads it.
type fields map[string]func(n ast.Node, p fieldPath)

// mapping reads a mapping and returns the node of each field that is present.
func (r *reader) mapping(n ast.Node, p fieldPath, known fields) map[string]ast.Node {
	seen := map[string]ast.Node{}
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		r.addFault(n, p, "must be a mapping of fields")
		return seen
	}
	for _, v := range values {
		name := v.Key.GetToken().Value
		read, ok := known[name]
		if !ok {
			r.addFault(v.Key, p, "field %q is unknown; there are %s", truncate(name), fieldNames(known))
			continue
		}
		if seen[name] != nil {
			r.addFault(v.Key, p.child(name), "is given twice")
			continue
		}
		seen[name] = v.Value
		read(v.Value, p.child(name))
	}
	return seen
}

func fieldNames(known fields) string {
	all := make([]string, 0, len(known))
	for name := range known {
		all = append(all, name)
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// truncate shortens text from the list for use in a message.
func truncate(text string) string {
	const maxBytes = 80
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}

// sequence reads each item of a list of at most maxItems items. A null value
// counts as an empty list.
func (r *reader) sequence(n ast.Node, p fieldPath, maxItems int, each func(i int, n ast.Node)) {
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addFault(n, p, "must be a list")
		return
	}
	if len(s.Values) > maxItems {
		r.addFault(n, p, "has %d items; at most %d are allowed", len(s.Values), maxItems)
		return
	}
	for i, v := range s.Values {
		each(i, v)
	}
}

// scalar returns the text of a scalar value.
func (r *reader) scalar(n ast.Node, p fieldPath) (string, bool) {
	switch v := n.(type) {
	case *ast.StringNode:
		return v.Value, true
	case *ast.LiteralNode:
		return v.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value, true
	}
	r.addFault(n, p, "must be a single value")
	return "", false
}

// name reads a name that is safe to use in URLs and log lines.
func (r *reader) name(into *string) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		text, ok := r.scalar(n, p)
		if !ok {
			return
		}
		if text == "" || len(text) > maxNameBytes || strings.ContainsFunc(text, invalidInName) {
			r.addFault(n, p, "%q must be 1 to %d letters, digits and any of . _ / -", truncate(text), maxNameBytes)
			return
		}
		*into = text
	}
}

// invalidInName reports whether a name must not contain the character.
func invalidInName(c rune) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
	return !letter && !strings.ContainsRune("._/-", c)
}

// text reads any text of at most maxBytes bytes.
func (r *reader) text(into *string, maxBytes int) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		text, ok := r.scalar(n, p)
		if !ok {
			return
		}
		if len(text) > maxBytes {
			r.addFault(n, p, "is over %d bytes", maxBytes)
			return
		}
		*into = text
	}
}

// integer reads a whole number in a range.
func (r *reader) integer(into *int64, minimum, maximum int64) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		text, ok := r.scalar(n, p)
		if !ok {
			return
		}
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value < minimum || value > maximum {
			r.addFault(n, p, "%q must be a whole number from %d to %d", truncate(text), minimum, maximum)
			return
		}
		*into = value
	}
}

// fraction reads a number from 0 to 1.
func (r *reader) fraction(into *float64) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		text, ok := r.scalar(n, p)
		if !ok {
			return
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= 1) {
			r.addFault(n, p, "%q must be a number from 0 to 1", truncate(text))
			return
		}
		*into = value
	}
}

// duration reads a duration in a range.
func (r *reader) duration(into *time.Duration, minimum, maximum time.Duration) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		text, ok := r.scalar(n, p)
		if !ok {
			return
		}
		value, err := time.ParseDuration(text)
		if err != nil || value < minimum || value > maximum {
			r.addFault(n, p, "%q must be a duration from %v to %v, such as 800ms or 2h", truncate(text), minimum, maximum)
			return
		}
		*into = value
	}
}

func (r *reader) boolean(into *bool) func(ast.Node, fieldPath) {
	return func(n ast.Node, p fieldPath) {
		b, ok := n.(*ast.BoolNode)
		if !ok {
			r.addFault(n, p, "must be true or false")
			return
		}
		*into = b.Value
	}
}
