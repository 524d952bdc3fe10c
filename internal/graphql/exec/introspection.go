package exec

import (
	"maps"
	"slices"
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

// The introspection schema (section 4.2 of the specification), on a parsed schema. Each object is a function from a field
// to its value.

// object is one of the introspection types'.
type object struct {
	name string
	get  func(field string, args map[string]any) any
}

func (o object) Type() string { return o.name }

func (o object) Resolve(field string, args map[string]any) (any, error) {
	return o.get(field, args), nil
}

// metaRoot resolves the meta fields of a root type.
type metaRoot struct {
	schema *ast.Schema
	name   string
}

func (m metaRoot) Type() string { return m.name }

func (m metaRoot) Resolve(field string, args map[string]any) (any, error) {
	if field == "__schema" {
		return m.whole(), nil
	}
	name, _ := args["name"].(string)
	if t := m.schema.Types[name]; t != nil {
		return m.named(t), nil
	}
	return nil, nil
}

func (m metaRoot) whole() object {
	return object{"__Schema", func(field string, _ map[string]any) any {
		switch field {
		case "types":
			return list(slices.Sorted(maps.Keys(m.schema.Types)), func(name string) any { return m.named(m.schema.Types[name]) })
		case "queryType":
			return m.named(m.schema.Query)
		case "mutationType":
			return m.named(m.schema.Mutation)
		case "subscriptionType":
			return m.named(m.schema.Subscription)
		case "directives":
			return list(slices.Sorted(maps.Keys(m.schema.Directives)), func(name string) any { return m.directive(m.schema.Directives[name]) })
		case "description":
			return text(m.schema.Description)
		}
		return nil
	}}
}

func list[T any](in []T, of func(T) any) []any {
	out := []any{}
	for _, x := range in {
		out = append(out, of(x))
	}
	return out
}

// text is null where it is empty.
func text(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func (m metaRoot) directive(d *ast.DirectiveDefinition) any {
	return object{"__Directive", func(field string, args map[string]any) any {
		switch field {
		case "name":
			return d.Name
		case "description":
			return text(d.Description)
		case "isRepeatable":
			return d.IsRepeatable
		case "locations":
			return list(d.Locations, func(l ast.DirectiveLocation) any { return string(l) })
		case "args":
			return m.inputs(d.Arguments, args)
		}
		return nil
	}}
}

// deprecated says whether something is, and why.
func deprecated(list ast.DirectiveList) (reason any, is bool) {
	d := list.ForName("deprecated")
	if d == nil {
		return nil, false
	}
	if a := d.Arguments.ForName("reason"); a != nil {
		return a.Value.Raw, true
	}
	return "No longer supported", true
}

// shown leaves deprecated ones out unless includeDeprecated asks for them.
func shown(args map[string]any, directives ast.DirectiveList) bool {
	all, _ := args["includeDeprecated"].(bool)
	_, is := deprecated(directives)
	return all || !is
}

func (m metaRoot) inputs(list ast.ArgumentDefinitionList, args map[string]any) []any {
	out := []any{}
	for _, a := range list {
		if shown(args, a.Directives) {
			out = append(out, m.input(a.Name, a.Description, a.Type, a.DefaultValue, a.Directives))
		}
	}
	return out
}

// described is an object with a name, a description and perhaps a deprecation; more resolves its other fields.
func described(kind, name, description string, directives ast.DirectiveList, more func(field string, args map[string]any) any) any {
	return object{kind, func(field string, args map[string]any) any {
		switch field {
		case "name":
			return name
		case "description":
			return text(description)
		case "isDeprecated":
			_, is := deprecated(directives)
			return is
		case "deprecationReason":
			reason, _ := deprecated(directives)
			return reason
		}
		return more(field, args)
	}}
}

func (m metaRoot) input(name, description string, t *ast.Type, def *ast.Value, directives ast.DirectiveList) any {
	return described("__InputValue", name, description, directives, func(field string, _ map[string]any) any {
		switch {
		case field == "type":
			return m.wrapped(t)
		case field == "defaultValue" && def != nil:
			return def.String()
		}
		return nil
	})
}

// wrapped is a type with its lists and non-nulls.
func (m metaRoot) wrapped(t *ast.Type) any {
	switch {
	case t.NonNull:
		inner := *t
		inner.NonNull = false
		return wrapper("NON_NULL", func() any { return m.wrapped(&inner) })
	case t.Elem != nil:
		return wrapper("LIST", func() any { return m.wrapped(t.Elem) })
	}
	return m.named(m.schema.Types[t.NamedType])
}

func wrapper(kind string, of func() any) any {
	return object{"__Type", func(field string, _ map[string]any) any {
		switch field {
		case "kind":
			return kind
		case "ofType":
			return of()
		}
		return nil
	}}
}

func (m metaRoot) named(t *ast.Definition) any {
	if t == nil {
		return nil
	}
	return object{"__Type", func(field string, args map[string]any) any {
		switch field {
		case "kind":
			return string(t.Kind)
		case "name":
			return t.Name
		case "description":
			return text(t.Description)
		case "specifiedByURL":
			if d := t.Directives.ForName("specifiedBy"); d != nil {
				return d.Arguments.ForName("url").Value.Raw
			}
		case "fields":
			return m.fields(t, args)
		case "interfaces":
			if t.Kind == ast.Object || t.Kind == ast.Interface {
				return list(t.Interfaces, func(name string) any { return m.named(m.schema.Types[name]) })
			}
		case "possibleTypes":
			if t.Kind == ast.Union || t.Kind == ast.Interface {
				return list(m.schema.GetPossibleTypes(t), m.named)
			}
		case "enumValues":
			return m.enum(t, args)
		case "inputFields":
			if t.Kind == ast.InputObject {
				out := []any{}
				for _, f := range t.Fields {
					if shown(args, f.Directives) {
						out = append(out, m.input(f.Name, f.Description, f.Type, f.DefaultValue, f.Directives))
					}
				}
				return out
			}
		case "isOneOf":
			if t.Kind == ast.InputObject {
				return t.Directives.ForName("oneOf") != nil
			}
		}
		return nil
	}}
}

func (m metaRoot) fields(t *ast.Definition, args map[string]any) any {
	if t.Kind != ast.Object && t.Kind != ast.Interface {
		return nil
	}
	out := []any{}
	for _, f := range t.Fields {
		if strings.HasPrefix(f.Name, "__") || !shown(args, f.Directives) {
			continue
		}
		out = append(out, described("__Field", f.Name, f.Description, f.Directives, func(field string, args map[string]any) any {
			switch field {
			case "args":
				return m.inputs(f.Arguments, args)
			case "type":
				return m.wrapped(f.Type)
			}
			return nil
		}))
	}
	return out
}

func (m metaRoot) enum(t *ast.Definition, args map[string]any) any {
	if t.Kind != ast.Enum {
		return nil
	}
	out := []any{}
	for _, v := range t.EnumValues {
		if !shown(args, v.Directives) {
			continue
		}
		out = append(out, described("__EnumValue", v.Name, v.Description, v.Directives, func(string, map[string]any) any { return nil }))
	}
	return out
}
