// Package exec executes GraphQL documents that were validated, on objects that resolve their own fields. The daemon
// answers introspection with it; the stand-in nodes execute a whole schema.
package exec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

// Object resolves fields. Type is the name of its object type.
type Object interface {
	Type() string
	// Resolve returns a field's value: nil, a string, bool, number or json.Number, an Object, or a []any of these.
	Resolve(field string, args map[string]any) (any, error)
}

// Error is one of a field's.
type Error struct {
	Message string `json:"message"`
	Path    []any  `json:"path"`
}

// Result is an operation's: its data, null where a field is that cannot be.
type Result struct {
	Data   json.RawMessage `json:"data"`
	Errors []Error         `json:"errors,omitempty"`
}

type execution struct {
	schema *ast.Schema
	doc    *ast.QueryDocument
	vars   map[string]any
	errors []Error
}

// Run executes an operation whose variables were coerced. Of a mutation the fields are resolved one after the other, up to
// one that makes the data null.
func Run(schema *ast.Schema, doc *ast.QueryDocument, op *ast.OperationDefinition, vars map[string]any, root Object) Result {
	x := &execution{schema: schema, doc: doc, vars: vars}
	data, ok := x.object(op.SelectionSet, root, nil)
	if !ok {
		data = json.RawMessage("null")
	}
	return Result{Data: data, Errors: x.errors}
}

// Meta answers selections of one response key of __typename, __schema or __type.
func Meta(schema *ast.Schema, doc *ast.QueryDocument, operation ast.Operation, nodes []*ast.Field, vars map[string]any) (json.RawMessage, error) {
	x := &execution{schema: schema, doc: doc, vars: vars}
	root := schema.Query
	if operation == ast.Mutation {
		root = schema.Mutation
	}
	text, ok := x.field(nodes, metaRoot{schema, root.Name}, nil)
	if !ok || len(x.errors) > 0 {
		return nil, fmt.Errorf("introspection: %v", x.errors)
	}
	return text, nil
}

// object executes a selection on an object; false: one of its fields cannot be null and is.
func (x *execution) object(set ast.SelectionSet, o Object, path []any) (json.RawMessage, bool) {
	var order []string
	fields := map[string][]*ast.Field{}
	x.collect(set, o, &order, fields, map[string]bool{})
	var b bytes.Buffer
	b.WriteByte('{')
	for i, key := range order {
		v, ok := x.field(fields[key], o, append(path[:len(path):len(path)], key))
		if !ok {
			return nil, false
		}
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%q:", key)
		b.Write(v)
	}
	b.WriteByte('}')
	return b.Bytes(), true
}

func (x *execution) collect(set ast.SelectionSet, o Object, order *[]string, fields map[string][]*ast.Field, spread map[string]bool) {
	for _, sel := range set {
		switch sel := sel.(type) {
		case *ast.Field:
			if x.included(sel.Directives) {
				if fields[sel.Alias] == nil {
					*order = append(*order, sel.Alias)
				}
				fields[sel.Alias] = append(fields[sel.Alias], sel)
			}
		case *ast.InlineFragment:
			if x.included(sel.Directives) && x.applies(sel.TypeCondition, o) {
				x.collect(sel.SelectionSet, o, order, fields, spread)
			}
		case *ast.FragmentSpread:
			if f := x.doc.Fragments.ForName(sel.Name); f != nil && x.included(sel.Directives) && !spread[sel.Name] {
				spread[sel.Name] = true
				if x.applies(f.TypeCondition, o) {
					x.collect(f.SelectionSet, o, order, fields, spread)
				}
			}
		}
	}
}

func (x *execution) included(list ast.DirectiveList) bool {
	for _, name := range []string{"skip", "include"} {
		if d := list.ForName(name); d != nil {
			if on, _ := d.ArgumentMap(x.vars)["if"].(bool); on == (name == "skip") {
				return false
			}
		}
	}
	return true
}

func (x *execution) applies(condition string, o Object) bool {
	if condition == "" || condition == o.Type() {
		return true
	}
	for _, t := range x.schema.GetPossibleTypes(x.schema.Types[condition]) {
		if t.Name == o.Type() {
			return true
		}
	}
	return false
}

// field resolves and completes one; false: it is null and cannot be.
func (x *execution) field(nodes []*ast.Field, o Object, path []any) (json.RawMessage, bool) {
	f := nodes[0]
	if f.Name == "__typename" {
		text, _ := json.Marshal(o.Type())
		return text, true
	}
	def := f.Definition
	if named := x.schema.Types[o.Type()]; named != nil && !strings.HasPrefix(f.Name, "__") {
		if d := named.Fields.ForName(f.Name); d != nil {
			def = d
		}
	}
	v, err := o.Resolve(f.Name, f.ArgumentMap(x.vars))
	if err != nil {
		x.fault(path, err.Error())
		return json.RawMessage("null"), !def.Type.NonNull
	}
	return x.complete(def.Type, nodes, v, path)
}

func (x *execution) fault(path []any, text string) {
	x.errors = append(x.errors, Error{Message: text, Path: append([]any{}, path...)})
}

func (x *execution) complete(t *ast.Type, nodes []*ast.Field, v any, path []any) (json.RawMessage, bool) {
	null := json.RawMessage("null")
	if v == nil {
		if t.NonNull {
			x.fault(path, "null for a field that cannot be")
		}
		return null, !t.NonNull
	}
	var text json.RawMessage
	ok := true
	switch v := v.(type) {
	case []any:
		var b bytes.Buffer
		b.WriteByte('[')
		for i, e := range v {
			item, good := x.complete(t.Elem, nodes, e, append(path[:len(path):len(path)], i))
			if !good {
				ok = false
				break
			}
			if i > 0 {
				b.WriteByte(',')
			}
			b.Write(item)
		}
		b.WriteByte(']')
		text = b.Bytes()
	case Object:
		var set ast.SelectionSet
		for _, n := range nodes {
			set = append(set, n.SelectionSet...)
		}
		text, ok = x.object(set, v, path)
	default:
		var err error
		if text, err = json.Marshal(v); err != nil {
			x.fault(path, err.Error())
			ok = false
		}
	}
	if !ok {
		return null, !t.NonNull
	}
	return text, true
}
