package strictdecode

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions maps the dotted name of each key and table in a text to the position at which it begins.
type Positions map[string]unstable.Position

// FindPositions returns the positions of the keys and tables in a text that Decode accepts. It skips the headers of
// arrays of tables, such as [[peers]], and records the keys below them under the table that precedes them. It does not
// record the keys in inline tables.
func FindPositions(text []byte) Positions {
	positions := Positions{}
	var parser unstable.Parser
	parser.Reset(text)
	table := "" // name of the current table with a dot at the end; empty before the first table
	for parser.NextExpression() {
		expression := parser.Expression()
		if expression.Kind != unstable.Table && expression.Kind != unstable.KeyValue {
			continue
		}
		name, start := expressionName(&parser, expression)
		if expression.Kind == unstable.Table {
			table = name + "."
		} else {
			name = table + name
		}
		positions[name] = start
	}
	return positions
}

// expressionName returns the dotted name of a table or key, and the position at which it begins.
func expressionName(parser *unstable.Parser, expression *unstable.Node) (string, unstable.Position) {
	var parts []string
	var start unstable.Position
	for key := expression.Key(); key.Next(); {
		if len(parts) == 0 {
			start = parser.Shape(key.Node().Raw).Start
		}
		parts = append(parts, string(key.Node().Data))
	}
	return strings.Join(parts, "."), start
}

// Of returns the position of a key, or the position of its top-level table if the text does not have the key.
func (p Positions) Of(key string) unstable.Position {
	if position, ok := p[key]; ok {
		return position
	}
	table, _, _ := strings.Cut(key, ".")
	return p[table]
}

// Errorf returns an error about a key, at the position that Of returns. Line and column are 0 if the text has neither
// the key nor its top-level table.
func (p Positions) Errorf(key, format string, args ...any) *DecodeError {
	position := p.Of(key)
	return &DecodeError{
		Line:   position.Line,
		Column: position.Column,
		Key:    key,
		Reason: fmt.Sprintf(format, args...),
	}
}
