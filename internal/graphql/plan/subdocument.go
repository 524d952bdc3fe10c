package plan

import (
	"strings"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/formatter"
)

// formatPart sets the text of a part and the names of its variables. The text is an operation with the part's root
// fields, and has only the fragments and variables that these root fields use.
func (d *Document) formatPart(op *ast.OperationDefinition, part *partTemplate) {
	used := &usage{query: d.query, variables: map[string]bool{}, fragments: map[string]bool{}}
	subdocument := &ast.QueryDocument{}
	operation := &ast.OperationDefinition{Operation: op.Operation, Name: op.Name, Directives: op.Directives}
	used.addDirectives(op.Directives)
	for _, field := range part.rootFields {
		for _, selection := range field.selections {
			operation.SelectionSet = append(operation.SelectionSet, selection)
			used.addField(selection)
		}
	}
	for _, definition := range op.VariableDefinitions {
		if used.variables[definition.Variable] {
			operation.VariableDefinitions = append(operation.VariableDefinitions, definition)
			part.variables = append(part.variables, definition.Variable)
		}
	}
	subdocument.Operations = ast.OperationList{operation}
	for _, fragment := range d.query.Fragments {
		if used.fragments[fragment.Name] {
			subdocument.Fragments = append(subdocument.Fragments, fragment)
		}
	}
	var text strings.Builder
	formatter.NewFormatter(&text, formatter.WithCompacted()).FormatQueryDocument(subdocument)
	part.text = text.String()
}

// usage collects the names of the variables and fragments that selections use, directly or through fragments.
type usage struct {
	query     *ast.QueryDocument
	variables map[string]bool
	fragments map[string]bool
}

func (u *usage) addSelectionSet(set ast.SelectionSet) {
	for _, selection := range set {
		switch selection := selection.(type) {
		case *ast.Field:
			u.addField(selection)
		case *ast.InlineFragment:
			u.addDirectives(selection.Directives)
			u.addSelectionSet(selection.SelectionSet)
		case *ast.FragmentSpread:
			u.addDirectives(selection.Directives)
			u.addFragment(selection.Name)
		}
	}
}

// addFragment adds a fragment, and the variables and fragments that it uses, unless it was added before.
func (u *usage) addFragment(name string) {
	fragment := u.query.Fragments.ForName(name)
	if fragment == nil || u.fragments[name] {
		return
	}
	u.fragments[name] = true
	u.addDirectives(fragment.Directives)
	u.addSelectionSet(fragment.SelectionSet)
}

func (u *usage) addField(f *ast.Field) {
	u.addDirectives(f.Directives)
	u.addArguments(f.Arguments)
	u.addSelectionSet(f.SelectionSet)
}

func (u *usage) addDirectives(directives ast.DirectiveList) {
	for _, directive := range directives {
		u.addArguments(directive.Arguments)
	}
}

func (u *usage) addArguments(arguments ast.ArgumentList) {
	for _, argument := range arguments {
		u.addValue(argument.Value)
	}
}

func (u *usage) addValue(value *ast.Value) {
	if value == nil {
		return
	}
	if value.Kind == ast.Variable {
		u.variables[value.Raw] = true
	}
	for _, child := range value.Children {
		u.addValue(child.Value)
	}
}
