package plan

import (
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
)

const (
	skipDirective    = "skip"
	includeDirective = "include"
	typenameField    = "__typename"
)

// rootCollector collects the root fields of an operation (section 6.3.2 of the GraphQL specification).
type rootCollector struct {
	document       *Document
	rootType       *ast.Definition
	vars           map[string]any
	rootFields     []*rootField // root fields in the order of their first selection
	byResponseKey  map[string]*rootField
	visitedSpreads map[string]bool
	// dependsOnVariables is true if a variable decides whether a root field is included.
	dependsOnVariables bool
}

// newRootCollector returns a collector for an operation. vars are the coerced variables.
func newRootCollector(d *Document, op *ast.OperationDefinition, vars map[string]any) *rootCollector {
	c := &rootCollector{
		document:       d,
		rootType:       d.schema.ast.Query,
		vars:           vars,
		byResponseKey:  map[string]*rootField{},
		visitedSpreads: map[string]bool{},
	}
	if op.Operation == ast.Mutation {
		c.rootType = d.schema.ast.Mutation
	}
	return c
}

// collect adds the fields of a selection set on the root type.
func (c *rootCollector) collect(set ast.SelectionSet) *Error {
	for _, selection := range set {
		if err := c.collectSelection(selection); err != nil {
			return err
		}
	}
	return nil
}

func (c *rootCollector) collectSelection(selection ast.Selection) *Error {
	switch selection := selection.(type) {
	case *ast.Field:
		if c.isIncluded(selection.Directives) {
			return c.addField(selection)
		}
	case *ast.InlineFragment:
		if c.isIncluded(selection.Directives) && c.matchesRootType(selection.TypeCondition) {
			return c.collect(selection.SelectionSet)
		}
	case *ast.FragmentSpread:
		if !c.isIncluded(selection.Directives) || c.visitedSpreads[selection.Name] {
			return nil
		}
		c.visitedSpreads[selection.Name] = true
		if f := selection.Definition; f != nil && c.matchesRootType(f.TypeCondition) {
			return c.collect(f.SelectionSet)
		}
	}
	return nil
}

// addField adds a selection to the root field that has its response key.
func (c *rootCollector) addField(f *ast.Field) *Error {
	field := c.byResponseKey[f.Alias]
	if field == nil {
		field = &rootField{
			responseKey: f.Alias,
			coordinate:  c.rootType.Name + "." + f.Name,
			nonNull:     f.Definition.Type.NonNull,
			isMeta:      strings.HasPrefix(f.Name, "__"),
		}
		if field.isMeta && f.Name != typenameField && !c.document.schema.introspection {
			return NewError(CodeIntrospectionDisabled, "introspection is off")
		}
		c.byResponseKey[f.Alias] = field
		c.rootFields = append(c.rootFields, field)
	}
	field.selections = append(field.selections, withoutConditions(f))
	return nil
}

// withoutConditions returns a copy of a field without @skip and @include, which the collector has already evaluated.
func withoutConditions(f *ast.Field) *ast.Field {
	unconditional := *f
	unconditional.Directives = nil
	for _, directive := range f.Directives {
		if directive.Name != skipDirective && directive.Name != includeDirective {
			unconditional.Directives = append(unconditional.Directives, directive)
		}
	}
	return &unconditional
}

// isIncluded evaluates @skip and @include, and reports whether a selection with these directives is included.
func (c *rootCollector) isIncluded(directives ast.DirectiveList) bool {
	for _, name := range []string{skipDirective, includeDirective} {
		directive := directives.ForName(name)
		if directive == nil {
			continue
		}
		argument := directive.Arguments.ForName("if")
		if argument.Value.Kind == ast.Variable {
			c.dependsOnVariables = true
		}
		value, err := argument.Value.Value(c.vars)
		condition, ok := value.(bool)
		if err != nil || !ok || condition == (name == skipDirective) {
			return false
		}
	}
	return true
}

// matchesRootType reports whether a fragment with the given type condition applies to the root type.
func (c *rootCollector) matchesRootType(typeCondition string) bool {
	if typeCondition == "" || typeCondition == c.rootType.Name {
		return true
	}
	definition := c.document.schema.ast.Types[typeCondition]
	for _, possible := range c.document.schema.ast.GetPossibleTypes(definition) {
		if possible == c.rootType {
			return true
		}
	}
	return false
}
