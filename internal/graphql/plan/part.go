package plan

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/balancer"
)

// Part is a request to an endpoint for some of an operation's root fields.
type Part struct {
	Class          string
	Effect         balancer.Effect
	IdempotencyKey string        // key of a mutation, the same in all attempts and retries; empty if there is none
	AffinityKey    string        // key of a query; empty if its fields have no key argument or different keys
	ExpectedWork   time.Duration // sum of the expected work of the root fields; 0 if unknown
	Deadline       time.Duration // time limit, counted from the sending of the part; 0 if there is none
	Coalesce       bool          // whether identical parts in flight may share one execution
	ResponseKeys   []string      // response keys of the root fields, in the operation's order
	Body           []byte        // body of the request, application/json

	nonNull bool // whether one of the root fields is non-null
}

// request is the JSON body of the request for a part.
type request struct {
	Query         string                     `json:"query"`
	OperationName string                     `json:"operationName,omitempty"`
	Variables     map[string]json.RawMessage `json:"variables,omitempty"`
}

// partBuilder builds the parts of one operation with its variables.
type partBuilder struct {
	schema       *Schema
	operation    *ast.OperationDefinition
	vars         map[string]any             // the coerced variables
	rawVariables map[string]json.RawMessage // the variables as the client sent them
	requestKey   string
}

func (b *partBuilder) build(template *partTemplate) (*Part, *Error) {
	part := &Part{Class: template.class, Coalesce: b.operation.Operation == ast.Query}
	if class, known := b.schema.classes[template.class]; known {
		part.Effect = class.Effect
		part.Deadline = class.Deadline
	}
	key := b.applyMappings(part, template)
	if b.operation.Operation == ast.Mutation {
		if err := b.setIdempotencyKey(part, key, template.rootFields[0].coordinate); err != nil {
			return nil, err
		}
	} else {
		part.AffinityKey = key
	}
	body, err := b.encodeBody(template)
	if err != nil {
		return nil, err
	}
	part.Body = body
	return part, nil
}

// applyMappings applies the mappings of a part's root fields. It returns the value of the fields' key arguments, or an
// empty string if no field has a key argument or the values differ.
func (b *partBuilder) applyMappings(part *Part, template *partTemplate) string {
	keys := map[string]bool{}
	for _, field := range template.rootFields {
		mapping := b.schema.mappings[field.coordinate]
		part.ResponseKeys = append(part.ResponseKeys, field.responseKey)
		part.nonNull = part.nonNull || field.nonNull
		part.ExpectedWork += mapping.ExpectedWork
		part.Coalesce = part.Coalesce && mapping.Coalesce
		if mapping.Deadline > 0 && (part.Deadline == 0 || mapping.Deadline < part.Deadline) {
			part.Deadline = mapping.Deadline
		}
		if mapping.KeyArgument != "" {
			arguments := field.selections[0].ArgumentMap(b.vars)
			keys[argumentKey(arguments, mapping.KeyArgument)] = true
		}
	}
	if len(keys) != 1 {
		return ""
	}
	var key string
	for key = range keys {
		break
	}
	return key
}

// setIdempotencyKey sets the idempotency key of a mutation to argumentValue, the value of the mutation's key argument.
// If argumentValue is empty, the idempotency key is derived from the request's key. setIdempotencyKey returns an error
// if both keys are empty and the class needs a key.
func (b *partBuilder) setIdempotencyKey(part *Part, argumentValue, coordinate string) *Error {
	responseKey := part.ResponseKeys[0]
	part.IdempotencyKey = argumentValue
	if part.IdempotencyKey == "" && b.requestKey != "" {
		part.IdempotencyKey = headerSafeKey(b.requestKey + ":" + responseKey)
	}
	if part.Effect == balancer.Keyed && part.IdempotencyKey == "" {
		message := fmt.Sprintf("%s: no key: neither its argument nor the request has one", coordinate)
		return newFieldError(CodeKeyMissing, message, responseKey)
	}
	return nil
}

// encodeBody encodes a part's request. The variables that the part uses are encoded as the client sent them.
func (b *partBuilder) encodeBody(template *partTemplate) ([]byte, *Error) {
	body := request{
		Query:         template.text,
		OperationName: b.operation.Name,
		Variables:     map[string]json.RawMessage{},
	}
	for _, name := range template.variables {
		if value, ok := b.rawVariables[name]; ok {
			body.Variables[name] = value
		}
	}
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return nil, NewError(CodeBadInput, truncate(err.Error()))
	}
	return bytes.TrimSuffix(encoded.Bytes(), []byte("\n")), nil
}
