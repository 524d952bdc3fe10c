package plan

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/validator"
	"pgregory.net/rapid"

	"hazelwing/internal/graphql/exec"
)

// Cut up, executed in parts and put together, an operation gives what executing it whole on one node gives: for generated
// schemas, operations, variables, nulls and errors.
func TestPlanEqualsDirectExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerated(t)
		s, err := New(Config{SchemaFile: "generated", SDL: g.sdl, Fields: g.fields, Classes: classes,
			Limits: Limits{MaxBytes: 1 << 20, MaxTokens: 1 << 20, MaxDepth: 50, MaxAliases: 1 << 20, MaxRootFields: 100, MaxFields: 1 << 20, MaxCost: 1000}})
		if err != nil {
			t.Fatal(err, g.sdl)
		}
		text, vars := g.operation(t)
		d, errs := s.ParseDocument(text)
		if len(errs) > 0 {
			t.Fatalf("%s\n%s\n%s", errs[0].Message, text, g.sdl)
		}
		p, e := d.Plan("", vars, "k")
		if e != nil {
			t.Fatal(e, text)
		}
		node := func(text string, vars map[string]json.RawMessage) exec.Result {
			doc, errs := gqlparser.LoadQuery(s.ast, text)
			if len(errs) > 0 {
				t.Fatalf("%v\n%s", errs, text)
			}
			plain := map[string]any{}
			for name, v := range vars {
				var x any
				if err := json.Unmarshal(v, &x); err != nil {
					t.Fatal(err)
				}
				plain[name] = x
			}
			op := doc.Operations[0]
			coerced, err := validator.VariableValues(s.ast, op, plain)
			if err != nil {
				t.Fatal(err, text)
			}
			root := "Query"
			if op.Operation == ast.Mutation {
				root = "Mutation"
			}
			return exec.Run(s.ast, doc, op, coerced, thing{g, root, root})
		}
		var outcomes []Outcome
		goes := true
		for _, part := range p.Parts {
			if p.Serial && !goes {
				outcomes = append(outcomes, Outcome{Kind: OutcomeNotStarted})
				continue
			}
			var r request
			if err := json.Unmarshal(part.Body, &r); err != nil {
				t.Fatal(err)
			}
			body, err := json.Marshal(node(r.Query, r.Variables))
			if err != nil {
				t.Fatal(err)
			}
			a, err := part.ParseResponse(body)
			if err != nil {
				t.Fatalf("%v\n%s\n%s", err, r.Query, body)
			}
			o := Outcome{Kind: OutcomeExecuted, Response: a}
			goes = p.MayContinueAfter(o)
			outcomes = append(outcomes, o)
		}
		var got struct {
			Data   json.RawMessage
			Errors []Error
		}
		if err := json.Unmarshal(p.Merge(outcomes).Body, &got); err != nil {
			t.Fatal(err)
		}
		want := node(text, vars)
		if string(got.Data) != string(want.Data) {
			t.Fatalf("data %s\nwant %s\n%s\n%s", got.Data, want.Data, text, g.sdl)
		}
		seen := map[string]int{}
		for _, e := range got.Errors {
			if e.Code() != CodeNotStarted && e.Code() != CodeExecuted {
				seen[fmt.Sprint(e.Message, e.Path)]++
			}
		}
		for _, e := range want.Errors {
			seen[fmt.Sprint(e.Message, e.Path)]--
		}
		for e, n := range seen {
			if n < 0 || n > 0 && (p.Serial || string(want.Data) != "null") { // whole, a query ends at the first such null
				t.Fatalf("error %s: %+d\n%s", e, n, text)
			}
		}
	})
}

// generated is a schema of a few object types whose fields are scalars, objects and lists, some of them never null.
type generated struct {
	sdl    string
	fields map[string]FieldMapping
	types  map[string][]genField
	seed   uint32
	names  int
}

type genField struct{ name, arg, of, kind string } // of: the object type, or empty; arg: whether it takes one

func newGenerated(t *rapid.T) *generated {
	g := &generated{fields: map[string]FieldMapping{}, types: map[string][]genField{}, seed: rapid.Uint32().Draw(t, "seed")}
	objects := []string{"A", "B", "C"}
	var b strings.Builder
	for _, name := range append([]string{"Query", "Mutation"}, objects...) {
		fmt.Fprintf(&b, "type %s {\n", name)
		for i := range rapid.IntRange(1, 4).Draw(t, "fields") {
			f := genField{name: fmt.Sprintf("f%d", i), kind: rapid.SampledFrom([]string{"%s", "%s", "%s!", "[%s]", "[%s!]", "[%s!]!"}).Draw(t, "kind")}
			of := "Int"
			if rapid.Bool().Draw(t, "object") {
				f.of = rapid.SampledFrom(objects).Draw(t, "type")
				of = f.of
			}
			args := ""
			if rapid.Bool().Draw(t, "arg") {
				f.arg = "x"
				args = "(x: Int, y: Boolean = true)"
			}
			fmt.Fprintf(&b, "  %s%s: %s\n", f.name, args, fmt.Sprintf(f.kind, of))
			g.types[name] = append(g.types[name], f)
			switch name {
			case "Query":
				g.fields["Query."+f.name] = FieldMapping{Class: rapid.SampledFrom([]string{"search", "map"}).Draw(t, "class")}
			case "Mutation":
				g.fields["Mutation."+f.name] = FieldMapping{Class: rapid.SampledFrom([]string{"book", "pay", "map"}).Draw(t, "class")}
			}
		}
		b.WriteString("}\n")
	}
	g.sdl = b.String()
	return g
}

// operation draws one that is valid, and its variables.
func (g *generated) operation(t *rapid.T) (string, map[string]json.RawMessage) {
	root := rapid.SampledFrom([]string{"Query", "Mutation"}).Draw(t, "root")
	var fragments strings.Builder
	body := g.selection(t, root, 3, &fragments)
	text := strings.ToLower(root) + " ($v: Int, $b: Boolean! = false) {" + body + " v: __typename @include(if: $b) w: __typename}" + fragments.String()
	vars := map[string]json.RawMessage{}
	if rapid.Bool().Draw(t, "v") {
		vars["v"] = json.RawMessage(fmt.Sprint(rapid.IntRange(-5, 5).Draw(t, "value")))
	}
	if rapid.Bool().Draw(t, "b") {
		vars["b"] = json.RawMessage(fmt.Sprint(rapid.Bool().Draw(t, "value")))
	}
	if !strings.Contains(text, "$v)") && !strings.Contains(text, "$v,") {
		text = strings.Replace(text, "($v: Int, ", "(", 1)
		delete(vars, "v")
	}
	return text, vars
}

func (g *generated) selection(t *rapid.T, on string, depth int, fragments *strings.Builder) string {
	var b strings.Builder
	for range rapid.IntRange(1, 3).Draw(t, "selections") {
		when := rapid.SampledFrom([]string{"", "", "", " @skip(if: $b)", " @include(if: $b)", " @include(if: true)", " @skip(if: true)"}).Draw(t, "when")
		if depth > 0 && rapid.IntRange(0, 4).Draw(t, "fragment") == 0 {
			inner := g.selection(t, on, depth-1, fragments)
			if rapid.Bool().Draw(t, "inline") {
				fmt.Fprintf(&b, " ... on %s%s {%s}", on, when, inner)
			} else {
				g.names++
				fmt.Fprintf(&b, " ...F%d%s", g.names, when)
				fmt.Fprintf(fragments, " fragment F%d on %s {%s}", g.names, on, inner)
			}
			continue
		}
		f := rapid.SampledFrom(g.types[on]).Draw(t, "field")
		if f.of != "" && depth == 0 {
			b.WriteString(" t: __typename")
			continue
		}
		g.names++
		fmt.Fprintf(&b, " n%d: %s", g.names, f.name)
		if f.arg != "" {
			b.WriteString(rapid.SampledFrom([]string{"", "(x: 1)", "(x: $v)", "(x: $v, y: $b)", "(y: false)"}).Draw(t, "args"))
		}
		b.WriteString(when)
		if f.of != "" {
			b.WriteString(" {" + g.selection(t, f.of, depth-1, fragments) + "}")
		}
	}
	return b.String()
}

// thing resolves its fields by their place alone: what is null, fails or how long a list is, is the seed's.
type thing struct {
	g          *generated
	kind, path string
}

func (x thing) Type() string { return x.kind }

func (x thing) Resolve(name string, args map[string]any) (any, error) {
	path := fmt.Sprint(x.path, ".", name, args["x"], args["y"])
	h := fnv.New32a()
	fmt.Fprint(h, x.g.seed, path)
	n := h.Sum32()
	switch {
	case n%11 == 0:
		return nil, nil
	case n%11 == 1:
		return nil, errors.New("fails at " + path)
	}
	for _, f := range x.g.types[x.kind] {
		if f.name != name {
			continue
		}
		value := func(i int) any {
			if f.of == "" {
				return int(n%1000) + i
			}
			return thing{x.g, f.of, fmt.Sprint(path, i)}
		}
		if !strings.HasPrefix(f.kind, "[") {
			return value(0), nil
		}
		list := []any{}
		for i := range int(n/11) % 4 {
			if (n>>8+uint32(i))%9 == 0 {
				list = append(list, nil)
				continue
			}
			list = append(list, value(i))
		}
		return list, nil
	}
	return nil, errors.New("no such field")
}
