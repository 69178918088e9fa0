package ruler

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// Limits that bound the cost of parsing. Every valid list can be written
// within them.
const (
	maxLineBytes = 4096
	// maxDepth is how deep brackets, or sequence dashes on one line, may be
	// nested.
	maxDepth = 32
	// maxMappingKeys is how many fields one mapping may have. The YAML
	// parser's time grows with the square of that number: 40,000 keys take
	// seconds.
	maxMappingKeys = 64
)

// tokenize splits the text into YAML tokens, and rejects text that would be
// expensive to parse by looking at its bytes and tokens alone. It returns
// either the tokens or the reason for the rejection.
func tokenize(data []byte) (tokens token.Tokens, reason string) {
	if len(data) > MaxBytes {
		return nil, fmt.Sprintf("rule list is over %d bytes", MaxBytes)
	}
	line := 0
	for _, c := range data {
		line++
		switch {
		case c == '\n':
			line = 0
		case c == 0:
			return nil, "rule list must be text"
		case line > maxLineBytes:
			return nil, fmt.Sprintf("rule list has a line over %d bytes", maxLineBytes)
		}
	}
	tokens = lexer.Tokenize(string(data))
	g := &limitChecker{blockKeys: map[int]int{}}
	for _, t := range tokens {
		if reason := g.check(t); reason != "" {
			return nil, fmt.Sprintf("line %d: %s", t.Position.Line, reason)
		}
	}
	return tokens, ""
}

// limitChecker tracks the nesting depth and the number of keys of the open
// mappings.
type limitChecker struct {
	// flowKeys has the key count of each open bracket, blockKeys that of the
	// block mapping that starts at each column.
	flowKeys  []int
	blockKeys map[int]int
	// lineDashes is the number of sequence entries that start on the current
	// line.
	lineDashes int
	line       int
}

// check processes the next token. It returns the reason for rejecting the
// list, or "".
func (g *limitChecker) check(t *token.Token) string {
	if t.Position.Line != g.line {
		g.line, g.lineDashes = t.Position.Line, 0
	}
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType:
		return "anchors, aliases, tags and merged keys are not allowed"
	case token.SequenceStartType, token.MappingStartType:
		g.flowKeys = append(g.flowKeys, 0)
	case token.SequenceEndType, token.MappingEndType:
		g.flowKeys = g.flowKeys[:max(len(g.flowKeys)-1, 0)]
	case token.SequenceEntryType:
		g.lineDashes++
		g.closeRightOf(t.Position.Column)
	case token.MappingValueType:
		return g.countKey(t)
	}
	if len(g.flowKeys) > maxDepth || g.lineDashes > maxDepth {
		return fmt.Sprintf("nested over %d deep", maxDepth)
	}
	return ""
}

// countKey counts a field of the innermost open mapping.
func (g *limitChecker) countKey(t *token.Token) string {
	count := 0
	if last := len(g.flowKeys) - 1; last >= 0 {
		g.flowKeys[last]++
		count = g.flowKeys[last]
	} else {
		column := t.Position.Column
		if t.Prev != nil {
			column = t.Prev.Position.Column
		}
		g.closeRightOf(column)
		g.blockKeys[column]++
		count = g.blockKeys[column]
	}
	if count > maxMappingKeys {
		return fmt.Sprintf("mapping has over %d fields", maxMappingKeys)
	}
	return ""
}

// closeRightOf ends the block mappings that start to the right of the column.
func (g *limitChecker) closeRightOf(column int) {
	for c := range g.blockKeys {
		if c > column {
			delete(g.blockKeys, c)
		}
	}
}
