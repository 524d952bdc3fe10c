// Package exec executes validated GraphQL documents on objects that resolve their own fields. The daemon uses it for
// introspection, and the emulator's nodes use it for all operations.
package exec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

const (
	skipDirective    = "skip"
	includeDirective = "include"
	typenameField    = "__typename"
)

// Object is a value of an object type, which resolves its own fields.
type Object interface {
	// Type returns the name of the object type.
	Type() string
	// Resolve returns the value of a field: nil, a string, bool, number or json.Number, an Object, or a []any of these.
	Resolve(field string, args map[string]any) (any, error)
}

// Error is the error of a field in a Result.
type Error struct {
	Message string `json:"message"`
	Path    []any  `json:"path"`
}

// Result is the result of an operation. Data is null if a non-null field has no value and its null propagates to the
// root.
type Result struct {
	Data   json.RawMessage `json:"data"`
	Errors []Error         `json:"errors,omitempty"`
}

// execution is the state of the execution of one operation.
type execution struct {
	schema *ast.Schema
	query  *ast.QueryDocument
	vars   map[string]any
	errors []Error
}

// Run executes an operation. vars are the coerced variables. The root fields are resolved one after the other, as the
// specification requires for mutations. Root fields after the first one that makes the data null are not resolved.
func Run(
	schema *ast.Schema, query *ast.QueryDocument, op *ast.OperationDefinition, vars map[string]any, root Object,
) Result {
	x := &execution{schema: schema, query: query, vars: vars}
	data, ok := x.executeSelectionSet(op.SelectionSet, root, nil)
	if !ok {
		data = json.RawMessage("null")
	}
	return Result{Data: data, Errors: x.errors}
}

// ResolveMetaField returns the value of __typename, __schema or __type on the root type of an operation. selections are
// all selections of the field that have the same response key. vars are the coerced variables.
func ResolveMetaField(
	schema *ast.Schema,
	query *ast.QueryDocument,
	operation ast.Operation,
	selections []*ast.Field,
	vars map[string]any,
) (json.RawMessage, error) {
	x := &execution{schema: schema, query: query, vars: vars}
	rootType := schema.Query
	if operation == ast.Mutation {
		rootType = schema.Mutation
	}
	value, ok := x.executeField(selections, metaRoot{schema, rootType.Name}, nil)
	if !ok || len(x.errors) > 0 {
		return nil, fmt.Errorf("introspection: %v", x.errors)
	}
	return value, nil
}

// executeSelectionSet executes a selection set on an object. It returns false if a non-null field has no value.
func (x *execution) executeSelectionSet(set ast.SelectionSet, object Object, path []any) (json.RawMessage, bool) {
	fields := &fieldCollector{
		execution:      x,
		object:         object,
		selections:     map[string][]*ast.Field{},
		visitedSpreads: map[string]bool{},
	}
	fields.collect(set)
	var encoded bytes.Buffer
	encoded.WriteByte('{')
	for i, key := range fields.responseKeys {
		value, ok := x.executeField(fields.selections[key], object, appendPath(path, key))
		if !ok {
			return nil, false
		}
		if i > 0 {
			encoded.WriteByte(',')
		}
		fmt.Fprintf(&encoded, "%q:", key)
		encoded.Write(value)
	}
	encoded.WriteByte('}')
	return encoded.Bytes(), true
}

// appendPath returns a copy of a path with one more element. It copies the path because all fields of a selection set
// extend the same prefix.
func appendPath(path []any, element any) []any {
	return append(path[:len(path):len(path)], element)
}

// fieldCollector collects the fields of an object's selection set (section 6.3.2 of the GraphQL specification).
type fieldCollector struct {
	execution      *execution
	object         Object
	responseKeys   []string                // keys in the order of their first selection
	selections     map[string][]*ast.Field // selections of fields, by response key
	visitedSpreads map[string]bool
}

func (c *fieldCollector) collect(set ast.SelectionSet) {
	for _, selection := range set {
		switch selection := selection.(type) {
		case *ast.Field:
			c.addField(selection)
		case *ast.InlineFragment:
			if c.execution.isIncluded(selection.Directives) && c.matchesObject(selection.TypeCondition) {
				c.collect(selection.SelectionSet)
			}
		case *ast.FragmentSpread:
			c.addSpread(selection)
		}
	}
}

func (c *fieldCollector) addField(f *ast.Field) {
	if !c.execution.isIncluded(f.Directives) {
		return
	}
	if c.selections[f.Alias] == nil {
		c.responseKeys = append(c.responseKeys, f.Alias)
	}
	c.selections[f.Alias] = append(c.selections[f.Alias], f)
}

func (c *fieldCollector) addSpread(spread *ast.FragmentSpread) {
	fragment := c.execution.query.Fragments.ForName(spread.Name)
	if fragment == nil || !c.execution.isIncluded(spread.Directives) || c.visitedSpreads[spread.Name] {
		return
	}
	c.visitedSpreads[spread.Name] = true
	if c.matchesObject(fragment.TypeCondition) {
		c.collect(fragment.SelectionSet)
	}
}

// matchesObject reports whether a fragment with the given type condition applies to the object.
func (c *fieldCollector) matchesObject(typeCondition string) bool {
	if typeCondition == "" || typeCondition == c.object.Type() {
		return true
	}
	schema := c.execution.schema
	for _, possible := range schema.GetPossibleTypes(schema.Types[typeCondition]) {
		if possible.Name == c.object.Type() {
			return true
		}
	}
	return false
}

// isIncluded evaluates @skip and @include, and reports whether a selection with these directives is included.
func (x *execution) isIncluded(directives ast.DirectiveList) bool {
	for _, name := range []string{skipDirective, includeDirective} {
		directive := directives.ForName(name)
		if directive == nil {
			continue
		}
		condition, _ := directive.ArgumentMap(x.vars)["if"].(bool)
		if condition == (name == skipDirective) {
			return false
		}
	}
	return true
}

// executeField resolves and completes a field. It returns false if the field is non-null and has no value.
func (x *execution) executeField(selections []*ast.Field, object Object, path []any) (json.RawMessage, bool) {
	field := selections[0]
	if field.Name == typenameField {
		name, _ := json.Marshal(object.Type()) // a string can always be encoded
		return name, true
	}
	definition := x.definitionOf(field, object)
	value, err := object.Resolve(field.Name, field.ArgumentMap(x.vars))
	if err != nil {
		x.addError(path, err.Error())
		return json.RawMessage("null"), !definition.Type.NonNull
	}
	return x.completeValue(definition.Type, selections, value, path)
}

// definitionOf returns the definition of a field in the object's own type. If the field is selected on an interface,
// field.Definition is the definition in the interface. The interface may declare the field as nullable although the
// object's type declares it as non-null.
func (x *execution) definitionOf(field *ast.Field, object Object) *ast.FieldDefinition {
	objectType := x.schema.Types[object.Type()]
	if objectType == nil || strings.HasPrefix(field.Name, "__") {
		return field.Definition
	}
	if definition := objectType.Fields.ForName(field.Name); definition != nil {
		return definition
	}
	return field.Definition
}

func (x *execution) addError(path []any, message string) {
	x.errors = append(x.errors, Error{Message: message, Path: append([]any{}, path...)})
}

// completeValue encodes a value of the given type (section 6.4.3 of the GraphQL specification). It returns false if the
// type is non-null and there is no value.
func (x *execution) completeValue(
	t *ast.Type, selections []*ast.Field, value any, path []any,
) (json.RawMessage, bool) {
	null := json.RawMessage("null")
	if value == nil {
		if t.NonNull {
			x.addError(path, "null for a field that cannot be")
		}
		return null, !t.NonNull
	}
	var encoded json.RawMessage
	var ok bool
	switch value := value.(type) {
	case []any:
		encoded, ok = x.completeList(t.Elem, selections, value, path)
	case Object:
		var set ast.SelectionSet
		for _, selection := range selections {
			set = append(set, selection.SelectionSet...)
		}
		encoded, ok = x.executeSelectionSet(set, value, path)
	default:
		encoded, ok = x.completeLeaf(value, path)
	}
	if !ok {
		return null, !t.NonNull
	}
	return encoded, true
}

// completeList encodes a list. It returns false if the type of its elements is non-null and an element has no value.
func (x *execution) completeList(
	elementType *ast.Type, selections []*ast.Field, values []any, path []any,
) (json.RawMessage, bool) {
	var encoded bytes.Buffer
	encoded.WriteByte('[')
	for i, value := range values {
		element, ok := x.completeValue(elementType, selections, value, appendPath(path, i))
		if !ok {
			return nil, false
		}
		if i > 0 {
			encoded.WriteByte(',')
		}
		encoded.Write(element)
	}
	encoded.WriteByte(']')
	return encoded.Bytes(), true
}

// completeLeaf encodes a scalar or an enum value. It returns false if the value cannot be encoded.
func (x *execution) completeLeaf(value any, path []any) (json.RawMessage, bool) {
	encoded, err := json.Marshal(value)
	if err != nil {
		x.addError(path, err.Error())
		return nil, false
	}
	return encoded, true
}
