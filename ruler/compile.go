package ruler

import (
	"errors"

	"github.com/expr-lang/expr"
	condition "github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
	"github.com/goccy/go-yaml/ast"
)

// maxConditionNodes bounds the syntax tree of one condition.
const maxConditionNodes = 256

// compile checks and compiles a condition; it returns nil after recording a
// fault. Builtin functions other than len are disabled: some read the clock,
// and those that loop could make a single evaluation expensive. Operators
// such as in, contains, startsWith and matches stay available.
func (r *reader) compile(n ast.Node, p fieldPath, when string, list *List) *vm.Program {
	checker := &conditionChecker{list: list}
	program, err := expr.Compile(when,
		expr.Env(Situation{}.variables(nil)), expr.AsBool(), expr.DisableAllBuiltins(), expr.EnableBuiltin("len"),
		expr.MaxNodes(maxConditionNodes), expr.Patch(checker))
	if err != nil {
		var positioned *file.Error
		if errors.As(err, &positioned) {
			r.addFault(n, p, "at character %d: %s", positioned.Column+1, positioned.Message)
		} else {
			r.addFault(n, p, "%s", truncate(err.Error()))
		}
		return nil
	}
	if checker.forbidden != "" {
		r.addFault(n, p, "%s is not allowed; compare with ==, <, >, in, contains, startsWith or matches", checker.forbidden)
		return nil
	}
	for _, name := range checker.unknownNames {
		r.addWarning(n, p, "names %q, which the list doesn't hold", name)
	}
	return program
}

// conditionChecker visits the syntax tree of a condition and notes expensive
// constructs and names that the list does not define. It changes nothing.
type conditionChecker struct {
	list *List
	// forbidden describes a construct that could make one evaluation
	// expensive; empty if there is none.
	forbidden string
	// unknownNames are names of models, services and kinds that do not exist.
	unknownNames []string
}

// Visit implements ast.Visitor of the expression library.
func (c *conditionChecker) Visit(n *condition.Node) {
	if f, ok := (*n).(*condition.BuiltinNode); ok && f.Name != "len" {
		c.forbidden = "function " + f.Name
	}
	b, ok := (*n).(*condition.BinaryNode)
	if !ok {
		return
	}
	if b.Operator == ".." && c.forbidden == "" {
		c.forbidden = "a range"
	}
	left, ok := b.Left.(*condition.IdentifierNode)
	if !ok {
		return
	}
	switch right := b.Right.(type) {
	case *condition.StringNode:
		if b.Operator == "==" || b.Operator == "!=" {
			c.checkName(left.Value, right.Value)
		}
	case *condition.ArrayNode:
		for _, item := range right.Nodes {
			if s, ok := item.(*condition.StringNode); ok && b.Operator == "in" {
				c.checkName(left.Value, s.Value)
			}
		}
	}
}

// checkName notes a model or service that the list does not define, or a kind
// that does not exist.
func (c *conditionChecker) checkName(variable, name string) {
	known := true
	switch variable {
	case "model":
		_, known = c.list.Model(name)
	case "service":
		_, known = c.list.Service(name)
	case "kind":
		known = name == KindChat || name == KindCall || name == KindWrite || name == KindJob || name == KindModel
	}
	if !known {
		c.unknownNames = append(c.unknownNames, name)
	}
}
