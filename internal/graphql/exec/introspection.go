package exec

import (
	"maps"
	"slices"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

// This file implements introspection (section 4.2 of the GraphQL specification) for a parsed schema. Each object of the
// introspection schema resolves its fields with a resolver.

const (
	schemaField           = "__schema"
	deprecatedDirective   = "deprecated"
	defaultReason         = "No longer supported" // default of @deprecated's argument reason, from the specification
	specifiedByDirective  = "specifiedBy"
	oneOfDirective        = "oneOf"
	includeDeprecatedFlag = "includeDeprecated"
)

// resolver is a function that returns the value of a field.
type resolver func(field string, args map[string]any) any

// introspectionObject is an object of an introspection type.
type introspectionObject struct {
	typeName string
	resolve  resolver
}

// Type implements Object.
func (o introspectionObject) Type() string { return o.typeName }

// Resolve implements Object. It never fails.
func (o introspectionObject) Resolve(field string, args map[string]any) (any, error) {
	return o.resolve(field, args), nil
}

// metaRoot is a root object that resolves __schema and __type.
type metaRoot struct {
	schema   *ast.Schema
	typeName string
}

// Type implements Object.
func (m metaRoot) Type() string { return m.typeName }

// Resolve implements Object. It never fails.
func (m metaRoot) Resolve(field string, args map[string]any) (any, error) {
	if field == schemaField {
		return m.schemaObject(), nil
	}
	name, _ := args["name"].(string)
	if definition := m.schema.Types[name]; definition != nil {
		return m.namedType(definition), nil
	}
	return nil, nil
}

func (m metaRoot) schemaObject() introspectionObject {
	return introspectionObject{"__Schema", func(field string, _ map[string]any) any {
		switch field {
		case "types":
			return mapList(slices.Sorted(maps.Keys(m.schema.Types)), m.typeByName)
		case "queryType":
			return m.namedType(m.schema.Query)
		case "mutationType":
			return m.namedType(m.schema.Mutation)
		case "subscriptionType":
			return m.namedType(m.schema.Subscription)
		case "directives":
			return mapList(slices.Sorted(maps.Keys(m.schema.Directives)), m.directiveByName)
		case "description":
			return nullIfEmpty(m.schema.Description)
		}
		return nil
	}}
}

// mapList returns the result of convert for each element. It never returns nil, so that an empty list is not encoded as
// null.
func mapList[T any](list []T, convert func(T) any) []any {
	converted := []any{}
	for _, element := range list {
		converted = append(converted, convert(element))
	}
	return converted
}

func nullIfEmpty(text string) any {
	if text == "" {
		return nil
	}
	return text
}

func (m metaRoot) typeByName(name string) any { return m.namedType(m.schema.Types[name]) }

func (m metaRoot) directiveByName(name string) any {
	definition := m.schema.Directives[name]
	return introspectionObject{"__Directive", func(field string, args map[string]any) any {
		switch field {
		case "name":
			return definition.Name
		case "description":
			return nullIfEmpty(definition.Description)
		case "isRepeatable":
			return definition.IsRepeatable
		case "locations":
			return mapList(definition.Locations, func(l ast.DirectiveLocation) any { return string(l) })
		case "args":
			return m.arguments(definition.Arguments, args)
		}
		return nil
	}}
}

// deprecation reports whether an element of the schema is deprecated, and why.
func deprecation(directives ast.DirectiveList) (reason any, isDeprecated bool) {
	directive := directives.ForName(deprecatedDirective)
	if directive == nil {
		return nil, false
	}
	if argument := directive.Arguments.ForName("reason"); argument != nil {
		return argument.Value.Raw, true
	}
	return defaultReason, true
}

// isListed reports whether introspection lists an element of the schema. Deprecated elements are listed only if the
// argument includeDeprecated is true.
func isListed(args map[string]any, directives ast.DirectiveList) bool {
	includeDeprecated, _ := args[includeDeprecatedFlag].(bool)
	_, isDeprecated := deprecation(directives)
	return includeDeprecated || !isDeprecated
}

// describedObject returns an object that has a name, a description and deprecation fields. rest resolves its other
// fields.
func describedObject(typeName, name, description string, directives ast.DirectiveList, rest resolver) any {
	return introspectionObject{typeName, func(field string, args map[string]any) any {
		switch field {
		case "name":
			return name
		case "description":
			return nullIfEmpty(description)
		case "isDeprecated":
			_, isDeprecated := deprecation(directives)
			return isDeprecated
		case "deprecationReason":
			reason, _ := deprecation(directives)
			return reason
		}
		return rest(field, args)
	}}
}

func (m metaRoot) arguments(definitions ast.ArgumentDefinitionList, args map[string]any) []any {
	list := []any{}
	for _, d := range definitions {
		if isListed(args, d.Directives) {
			list = append(list, m.inputValue(d.Name, d.Description, d.Type, d.DefaultValue, d.Directives))
		}
	}
	return list
}

func (m metaRoot) inputValue(
	name, description string, t *ast.Type, defaultValue *ast.Value, directives ast.DirectiveList,
) any {
	return describedObject("__InputValue", name, description, directives, func(field string, _ map[string]any) any {
		switch {
		case field == "type":
			return m.typeReference(t)
		case field == "defaultValue" && defaultValue != nil:
			return defaultValue.String()
		}
		return nil
	})
}

// typeReference returns the introspection object of a type, wrapped in objects for its list and non-null modifiers.
func (m metaRoot) typeReference(t *ast.Type) any {
	switch {
	case t.NonNull:
		nullable := *t
		nullable.NonNull = false
		return wrappingType("NON_NULL", func() any { return m.typeReference(&nullable) })
	case t.Elem != nil:
		return wrappingType("LIST", func() any { return m.typeReference(t.Elem) })
	}
	return m.typeByName(t.NamedType)
}

func wrappingType(kind string, ofType func() any) any {
	return introspectionObject{"__Type", func(field string, _ map[string]any) any {
		switch field {
		case "kind":
			return kind
		case "ofType":
			return ofType()
		}
		return nil
	}}
}

// namedType returns the introspection object of a type definition, or nil if the definition is nil.
func (m metaRoot) namedType(definition *ast.Definition) any {
	if definition == nil {
		return nil
	}
	return introspectionObject{"__Type", func(field string, args map[string]any) any {
		switch field {
		case "kind":
			return string(definition.Kind)
		case "name":
			return definition.Name
		case "description":
			return nullIfEmpty(definition.Description)
		case "specifiedByURL":
			return specifiedByURL(definition)
		case "fields":
			return m.fields(definition, args)
		case "interfaces":
			return m.interfaces(definition)
		case "possibleTypes":
			return m.possibleTypes(definition)
		case "enumValues":
			return m.enumValues(definition, args)
		case "inputFields":
			return m.inputFields(definition, args)
		case "isOneOf":
			return isOneOf(definition)
		}
		return nil
	}}
}

func specifiedByURL(definition *ast.Definition) any {
	directive := definition.Directives.ForName(specifiedByDirective)
	if directive == nil {
		return nil
	}
	return directive.Arguments.ForName("url").Value.Raw
}

func isOneOf(definition *ast.Definition) any {
	if definition.Kind != ast.InputObject {
		return nil
	}
	return definition.Directives.ForName(oneOfDirective) != nil
}

func (m metaRoot) interfaces(definition *ast.Definition) any {
	if definition.Kind != ast.Object && definition.Kind != ast.Interface {
		return nil
	}
	return mapList(definition.Interfaces, m.typeByName)
}

func (m metaRoot) possibleTypes(definition *ast.Definition) any {
	if definition.Kind != ast.Union && definition.Kind != ast.Interface {
		return nil
	}
	return mapList(m.schema.GetPossibleTypes(definition), m.namedType)
}

func (m metaRoot) inputFields(definition *ast.Definition, args map[string]any) any {
	if definition.Kind != ast.InputObject {
		return nil
	}
	list := []any{}
	for _, f := range definition.Fields {
		if isListed(args, f.Directives) {
			list = append(list, m.inputValue(f.Name, f.Description, f.Type, f.DefaultValue, f.Directives))
		}
	}
	return list
}

func (m metaRoot) fields(definition *ast.Definition, args map[string]any) any {
	if definition.Kind != ast.Object && definition.Kind != ast.Interface {
		return nil
	}
	list := []any{}
	for _, f := range definition.Fields {
		if strings.HasPrefix(f.Name, "__") || !isListed(args, f.Directives) {
			continue
		}
		rest := func(field string, args map[string]any) any {
			switch field {
			case "args":
				return m.arguments(f.Arguments, args)
			case "type":
				return m.typeReference(f.Type)
			}
			return nil
		}
		list = append(list, describedObject("__Field", f.Name, f.Description, f.Directives, rest))
	}
	return list
}

func (m metaRoot) enumValues(definition *ast.Definition, args map[string]any) any {
	if definition.Kind != ast.Enum {
		return nil
	}
	noMoreFields := func(string, map[string]any) any { return nil }
	list := []any{}
	for _, v := range definition.EnumValues {
		if isListed(args, v.Directives) {
			list = append(list, describedObject("__EnumValue", v.Name, v.Description, v.Directives, noMoreFields))
		}
	}
	return list
}
