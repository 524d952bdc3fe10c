package plan

import (
	"fmt"

	"github.com/vektah/gqlparser/v2/ast"
)

// rootField is a root field of an operation with all selections that have its response key.
type rootField struct {
	responseKey string
	coordinate  string // the schema coordinate, such as Query.seats
	selections  []*ast.Field
	nonNull     bool
	isMeta      bool // __typename, __schema or __type, which the balancer resolves itself
}

// layout is the division of an operation into parts, without the values of its variables.
type layout struct {
	rootFields []*rootField
	parts      []*partTemplate
	cost       int
}

// partTemplate is a part without the values of its variables.
type partTemplate struct {
	rootFields []*rootField
	class      string
	text       string   // text of the part's document
	variables  []string // names of the variables that the document uses
}

// layoutOf returns the layout of an operation, from the cache if it does not depend on variables. vars are the coerced
// variables.
func (d *Document) layoutOf(op *ast.OperationDefinition, vars map[string]any) (*layout, *Error) {
	d.mu.Lock()
	cached := d.layouts[op.Name]
	d.mu.Unlock()
	if cached != nil {
		return cached, nil
	}
	collector := newRootCollector(d, op, vars)
	if err := collector.collect(op.SelectionSet); err != nil {
		return nil, err
	}
	l, err := d.schema.newLayout(op.Operation, collector.rootFields)
	if err != nil {
		return nil, err
	}
	for _, part := range l.parts {
		d.formatPart(op, part)
	}
	if !collector.dependsOnVariables {
		d.mu.Lock()
		d.layouts[op.Name] = l
		d.mu.Unlock()
	}
	return l, nil
}

// newLayout assigns root fields to parts and checks the limits on root fields and cost.
func (s *Schema) newLayout(operation ast.Operation, rootFields []*rootField) (*layout, *Error) {
	if len(rootFields) > s.limits.MaxRootFields {
		message := fmt.Sprintf("the operation has more than %d root fields", s.limits.MaxRootFields)
		return nil, NewError(CodeLimitExceeded, message)
	}
	l := &layout{rootFields: rootFields}
	for _, field := range rootFields {
		if field.isMeta {
			continue
		}
		mapping := s.mappings[field.coordinate]
		l.cost = saturatingAdd(l.cost, max(mapping.Cost, 1))
		if operation == ast.Query {
			if part := l.compatiblePart(mapping, s.mappings); part != nil {
				part.rootFields = append(part.rootFields, field)
				continue
			}
		}
		l.parts = append(l.parts, &partTemplate{rootFields: []*rootField{field}, class: mapping.Class})
	}
	if l.cost > s.limits.MaxCost {
		return nil, NewError(CodeLimitExceeded, fmt.Sprintf("the operation costs more than %d", s.limits.MaxCost))
	}
	return l, nil
}

// compatiblePart returns the part that a query's field with this mapping may join, or nil if the layout has no such
// part. The mappings of all fields of a part have the same Class, Deadline and Coalesce.
func (l *layout) compatiblePart(mapping FieldMapping, mappings map[string]FieldMapping) *partTemplate {
	for _, part := range l.parts {
		first := mappings[part.rootFields[0].coordinate]
		sameClass := first.Class == mapping.Class
		if sameClass && first.Deadline == mapping.Deadline && first.Coalesce == mapping.Coalesce {
			return part
		}
	}
	return nil
}
