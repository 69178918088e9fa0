package ruler

import (
	"fmt"
	"strings"
)

// Fault is one error in a rule list.
type Fault struct {
	File   string
	Line   int
	Column int
	// Item names the rule, model or service, such as `rule 3 "digests"`.
	Item string
	// Field is the path of the field, such as "then.deadline"; empty if the
	// fault is not in one field.
	Field  string
	Reason string
}

// String returns the fault in the form "file:line:column: item: field: reason".
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Item != "" {
		text += f.Item + ": "
	}
	if f.Field != "" {
		text += f.Field + ": "
	}
	return text + f.Reason
}

// Faults is the error for a rejected list: its faults, up to a maximum of
// 100, in the order in which they were found.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}
