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

// TestPlanEqualsDirectExecution splits an operation, executes its parts and merges the responses. It checks that the
// merged response is the same as when one endpoint executes the operation directly. Schemas, operations, variables,
// nulls and errors are generated.
func TestPlanEqualsDirectExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generated := newGeneratedSchema(t)
		s, err := New(Config{
			SchemaFile: "generated",
			SDL:        generated.sdl,
			Fields:     generated.mappings,
			Classes:    testClasses,
			Limits: Limits{
				MaxBytes:      1 << 20,
				MaxTokens:     1 << 20,
				MaxDepth:      50,
				MaxAliases:    1 << 20,
				MaxRootFields: 100,
				MaxFields:     1 << 20,
				MaxCost:       1000,
			},
		})
		if err != nil {
			t.Fatalf("New rejected the generated schema: %v\nschema %s", err, generated.sdl)
		}
		text, variables := generated.drawOperation(t)
		document, errs := s.ParseDocument(text)
		if len(errs) > 0 {
			t.Fatalf("generated document is invalid: %s\ndocument %s\nschema %s", errs[0].Message, text, generated.sdl)
		}
		p, e := document.Plan("", variables, "k")
		if e != nil {
			t.Fatalf("Plan rejected the generated operation: %v\noperation %s", e, text)
		}
		node := &testNode{schema: s.ast, generated: generated}
		var got mergedResponse
		if err := json.Unmarshal(p.Merge(node.executeParts(t, p)).Body, &got); err != nil {
			t.Fatal(err)
		}
		want := node.execute(t, text, variables)
		if string(got.Data) != string(want.Data) {
			t.Fatalf("merged data %s\nwant %s\noperation %s\nschema %s", got.Data, want.Data, text, generated.sdl)
		}
		// Direct execution of a query stops at the first null that makes the data null. In a split query, all parts are
		// executed, and may have more errors.
		mayHaveMore := !p.Serial && string(want.Data) == "null"
		for e, n := range errorDifference(got, want) {
			if n < 0 || n > 0 && !mayHaveMore {
				t.Fatalf("merged response has %+d errors %q compared with direct execution; want the same number"+
					"\noperation %s", n, e, text)
			}
		}
	})
}

// mergedResponse is a decoded Response.
type mergedResponse struct {
	Data   json.RawMessage
	Errors []Error
}

// errorDifference returns, by message and path, how many more errors got has than want. It ignores errors with the
// codes NOT_STARTED and EXECUTED, because only operations that are split into parts have them.
func errorDifference(got mergedResponse, want exec.Result) map[string]int {
	difference := map[string]int{}
	for _, e := range got.Errors {
		if e.Code() != CodeNotStarted && e.Code() != CodeExecuted {
			difference[fmt.Sprint(e.Message, e.Path)]++
		}
	}
	for _, e := range want.Errors {
		difference[fmt.Sprint(e.Message, e.Path)]--
	}
	return difference
}

// testNode executes documents on a generated schema.
type testNode struct {
	schema    *ast.Schema
	generated *generatedSchema
}

// executeParts executes the parts of a plan in the same way as the GraphQL front.
func (n *testNode) executeParts(t *rapid.T, p *Plan) []Outcome {
	t.Helper()
	var outcomes []Outcome
	mayContinue := true
	for _, part := range p.Parts {
		if p.Serial && !mayContinue {
			outcomes = append(outcomes, Outcome{Kind: OutcomeNotStarted})
			continue
		}
		var r request
		if err := json.Unmarshal(part.Body, &r); err != nil {
			t.Fatal(err)
		}
		body, err := json.Marshal(n.execute(t, r.Query, r.Variables))
		if err != nil {
			t.Fatal(err)
		}
		response, err := part.ParseResponse(body)
		if err != nil {
			t.Fatalf("the node's response is invalid: %v\ndocument %s\nresponse %s", err, r.Query, body)
		}
		outcome := Outcome{Kind: OutcomeExecuted, Response: response}
		mayContinue = p.MayContinueAfter(outcome)
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// execute executes a document directly.
func (n *testNode) execute(t *rapid.T, text string, variables map[string]json.RawMessage) exec.Result {
	t.Helper()
	query, errs := gqlparser.LoadQueryWithRules(n.schema, text, nil)
	if len(errs) > 0 {
		t.Fatalf("document is invalid: %v\ndocument %s", errs, text)
	}
	decoded := map[string]any{}
	for name, encoded := range variables {
		var value any
		if err := json.Unmarshal(encoded, &value); err != nil {
			t.Fatal(err)
		}
		decoded[name] = value
	}
	op := query.Operations[0]
	vars, err := validator.VariableValues(n.schema, op, decoded)
	if err != nil {
		t.Fatalf("VariableValues rejected the generated variables: %v\noperation %s", err, text)
	}
	root := "Query"
	if op.Operation == ast.Mutation {
		root = "Mutation"
	}
	return exec.Run(n.schema, query, op, vars, generatedObject{n.generated, root, root})
}

// generatedSchema is a schema of a few object types whose fields are scalars, objects and lists, some of them non-null.
type generatedSchema struct {
	sdl       string
	mappings  map[string]FieldMapping
	types     map[string][]generatedField
	seed      uint32
	nameCount int // how many names have been generated
}

type generatedField struct {
	name        string
	hasArgument bool
	objectType  string // empty if the field's type is Int
	typeFormat  string // fmt format of the type, with %s for the type's name, such as "[%s!]"
}

func newGeneratedSchema(t *rapid.T) *generatedSchema {
	g := &generatedSchema{
		mappings: map[string]FieldMapping{},
		types:    map[string][]generatedField{},
		seed:     rapid.Uint32().Draw(t, "seed"),
	}
	objectTypes := []string{"A", "B", "C"}
	var b strings.Builder
	for _, typeName := range append([]string{"Query", "Mutation"}, objectTypes...) {
		fmt.Fprintf(&b, "type %s {\n", typeName)
		for i := range rapid.IntRange(1, 4).Draw(t, "fields") {
			typeFormats := []string{"%s", "%s", "%s!", "[%s]", "[%s!]", "[%s!]!"}
			f := generatedField{
				name:       fmt.Sprintf("f%d", i),
				typeFormat: rapid.SampledFrom(typeFormats).Draw(t, "kind"),
			}
			valueType := "Int"
			if rapid.Bool().Draw(t, "object") {
				f.objectType = rapid.SampledFrom(objectTypes).Draw(t, "type")
				valueType = f.objectType
			}
			arguments := ""
			if rapid.Bool().Draw(t, "arg") {
				f.hasArgument = true
				arguments = "(x: Int, y: Boolean = true)"
			}
			fmt.Fprintf(&b, "  %s%s: %s\n", f.name, arguments, fmt.Sprintf(f.typeFormat, valueType))
			g.types[typeName] = append(g.types[typeName], f)
			switch typeName {
			case "Query":
				g.drawMapping(t, "Query."+f.name, "search", "map")
			case "Mutation":
				g.drawMapping(t, "Mutation."+f.name, "book", "pay", "map")
			}
		}
		b.WriteString("}\n")
	}
	g.sdl = b.String()
	return g
}

func (g *generatedSchema) drawMapping(t *rapid.T, coordinate string, classes ...string) {
	g.mappings[coordinate] = FieldMapping{Class: rapid.SampledFrom(classes).Draw(t, "class")}
}

// drawOperation draws a valid operation and its variables.
func (g *generatedSchema) drawOperation(t *rapid.T) (string, map[string]json.RawMessage) {
	root := rapid.SampledFrom([]string{"Query", "Mutation"}).Draw(t, "root")
	var fragments strings.Builder
	body := g.drawSelectionSet(t, root, 3, &fragments)
	text := strings.ToLower(root) + " ($v: Int, $b: Boolean! = false) {" + body +
		" v: __typename @include(if: $b) w: __typename}" + fragments.String()
	variables := map[string]json.RawMessage{}
	if rapid.Bool().Draw(t, "v") {
		variables["v"] = json.RawMessage(fmt.Sprint(rapid.IntRange(-5, 5).Draw(t, "value")))
	}
	if rapid.Bool().Draw(t, "b") {
		variables["b"] = json.RawMessage(fmt.Sprint(rapid.Bool().Draw(t, "value")))
	}
	if !strings.Contains(text, "$v)") && !strings.Contains(text, "$v,") {
		text = strings.Replace(text, "($v: Int, ", "(", 1)
		delete(variables, "v")
	}
	return text, variables
}

// drawSelectionSet draws selections on a type and adds the fragments that they spread.
func (g *generatedSchema) drawSelectionSet(
	t *rapid.T, typeName string, depth int, fragments *strings.Builder,
) string {
	conditions := []string{
		"", "", "",
		" @skip(if: $b)", " @include(if: $b)", " @include(if: true)", " @skip(if: true)",
	}
	argumentLists := []string{"", "(x: 1)", "(x: $v)", "(x: $v, y: $b)", "(y: false)"}
	var b strings.Builder
	for range rapid.IntRange(1, 3).Draw(t, "selections") {
		condition := rapid.SampledFrom(conditions).Draw(t, "when")
		if depth > 0 && rapid.IntRange(0, 4).Draw(t, "fragment") == 0 {
			inner := g.drawSelectionSet(t, typeName, depth-1, fragments)
			if rapid.Bool().Draw(t, "inline") {
				fmt.Fprintf(&b, " ... on %s%s {%s}", typeName, condition, inner)
			} else {
				g.nameCount++
				fmt.Fprintf(&b, " ...F%d%s", g.nameCount, condition)
				fmt.Fprintf(fragments, " fragment F%d on %s {%s}", g.nameCount, typeName, inner)
			}
			continue
		}
		f := rapid.SampledFrom(g.types[typeName]).Draw(t, "field")
		if f.objectType != "" && depth == 0 {
			b.WriteString(" t: __typename")
			continue
		}
		g.nameCount++
		fmt.Fprintf(&b, " n%d: %s", g.nameCount, f.name)
		if f.hasArgument {
			b.WriteString(rapid.SampledFrom(argumentLists).Draw(t, "args"))
		}
		b.WriteString(condition)
		if f.objectType != "" {
			b.WriteString(" {" + g.drawSelectionSet(t, f.objectType, depth-1, fragments) + "}")
		}
	}
	return b.String()
}

// generatedObject derives the values of its fields from their paths, their arguments and the schema's seed. These also
// determine whether a field is null or fails, and how long a list is.
type generatedObject struct {
	schema   *generatedSchema
	typeName string
	path     string
}

func (o generatedObject) Type() string { return o.typeName }

func (o generatedObject) Resolve(name string, args map[string]any) (any, error) {
	path := fmt.Sprint(o.path, ".", name, args["x"], args["y"])
	hash := fnv.New32a()
	_, _ = fmt.Fprint(hash, o.schema.seed, path) // a hash never fails
	n := hash.Sum32()
	switch n % 11 {
	case 0:
		return nil, nil
	case 1:
		return nil, errors.New("fails at " + path)
	}
	for _, f := range o.schema.types[o.typeName] {
		if f.name == name {
			return o.value(f, n, path), nil
		}
	}
	return nil, fmt.Errorf("type %s has no field %q", o.typeName, name)
}

// value returns the value of a field that neither is null nor fails.
func (o generatedObject) value(f generatedField, n uint32, path string) any {
	element := func(i int) any {
		if f.objectType == "" {
			return int(n%1000) + i
		}
		return generatedObject{o.schema, f.objectType, fmt.Sprint(path, i)}
	}
	if !strings.HasPrefix(f.typeFormat, "[") {
		return element(0)
	}
	list := []any{}
	for i := range int(n/11) % 4 {
		if (n>>8+uint32(i))%9 == 0 {
			list = append(list, nil)
			continue
		}
		list = append(list, element(i))
	}
	return list
}
