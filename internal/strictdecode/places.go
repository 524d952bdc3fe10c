package strictdecode

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Where says where each key and table of a text begins, by its dotted name.
type Where map[string]unstable.Position

// At is where a key stands, or its table where it is not there.
func (w Where) At(key string) unstable.Position {
	at, ok := w[key]
	if !ok {
		table, _, _ := strings.Cut(key, ".")
		at = w[table]
	}
	return at
}

// Places are where each key and table of a text begins, by its dotted name.
func Places(text []byte) Where {
	out := Where{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
			continue
		}
		var words []string
		var at unstable.Position
		for k := e.Key(); k.Next(); {
			if len(words) == 0 {
				at = p.Shape(k.Node().Raw).Start
			}
			words = append(words, string(k.Node().Data))
		}
		name := strings.Join(words, ".")
		if e.Kind == unstable.Table {
			table = name + "."
		} else {
			name = table + name
		}
		out[name] = at
	}
	return out
}
