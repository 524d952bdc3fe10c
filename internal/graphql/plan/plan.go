package plan

import (
	"encoding/json"
	"fmt"

	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/balancer"
	"hazelwing/internal/graphql/exec"
)

// Plan is the execution plan of one operation with its variables.
type Plan struct {
	// Serial is true if the parts are sent one after the other, each only if MayContinueAfter returns true for the
	// outcome of its predecessor.
	Serial bool
	Parts  []*Part

	rootFields []*rootField
	metaValues map[string]json.RawMessage // values of the meta fields, by response key
	// partIndex maps the response key of each root field to the index in Parts of the part that contains the field.
	// Meta fields belong to no part and have no entry.
	partIndex map[string]int
}

// Plan plans an operation of the document. The operation's name may be empty if there is only one. requestKey is the
// client's idempotency key for the whole request, or empty if there is none. If a mutation has no key argument or the
// argument is empty, its idempotency key is derived from requestKey and its response key. An error applies to the whole
// request, and no part of the operation may be sent.
func (d *Document) Plan(
	operationName string, variables map[string]json.RawMessage, requestKey string,
) (*Plan, *Error) {
	op, err := d.operation(operationName)
	if err != nil {
		return nil, err
	}
	if op.Operation == ast.Subscription {
		return nil, NewError(CodeNotSupported, "subscriptions are not carried")
	}
	vars, err := d.schema.coerceVariables(op, variables)
	if err != nil {
		return nil, err
	}
	l, err := d.layoutOf(op, vars)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Serial:     op.Operation == ast.Mutation,
		rootFields: l.rootFields,
		metaValues: map[string]json.RawMessage{},
		partIndex:  map[string]int{},
	}
	if err := p.resolveMetaFields(d, op, vars); err != nil {
		return nil, err
	}
	builder := &partBuilder{
		schema:       d.schema,
		operation:    op,
		vars:         vars,
		rawVariables: variables,
		requestKey:   requestKey,
	}
	if err := p.addParts(l.parts, builder); err != nil {
		return nil, err
	}
	return p, nil
}

// resolveMetaFields resolves the meta fields __typename, __schema and __type.
func (p *Plan) resolveMetaFields(d *Document, op *ast.OperationDefinition, vars map[string]any) *Error {
	for _, field := range p.rootFields {
		if !field.isMeta {
			continue
		}
		value, err := exec.ResolveMetaField(d.schema.ast, d.query, op.Operation, field.selections, vars)
		if err != nil {
			return NewError(CodeValidationFailed, err.Error())
		}
		p.metaValues[field.responseKey] = value
	}
	return nil
}

// addParts builds the parts from their templates. It returns an error if two parts of a class that is not idempotent
// have the same idempotency key: the second part would be treated as a retry of the first.
func (p *Plan) addParts(templates []*partTemplate, builder *partBuilder) *Error {
	seen := map[string]bool{}
	for i, template := range templates {
		part, err := builder.build(template)
		if err != nil {
			return err
		}
		if part.Effect != balancer.Idempotent && part.IdempotencyKey != "" {
			effect := part.Class + " " + part.IdempotencyKey
			if seen[effect] {
				const format = "two mutations of class %s have the same key: only one could run"
				message := fmt.Sprintf(format, part.Class)
				return newFieldError(CodeDuplicateKey, message, part.ResponseKeys[0])
			}
			seen[effect] = true
		}
		p.Parts = append(p.Parts, part)
		for _, field := range template.rootFields {
			p.partIndex[field.responseKey] = i
		}
	}
	return nil
}
