package plan

import (
	"fmt"
	"sync"
	"unicode/utf8"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/parser"
	"github.com/vektah/gqlparser/v2/validator"
)

// maxValidationErrors limits how many validation errors of one document are reported.
const maxValidationErrors = 10

// Document is a parsed document that is valid for its schema.
type Document struct {
	schema *Schema
	query  *ast.QueryDocument

	mu sync.Mutex
	// layouts caches, by operation name, the layouts that do not depend on variables.
	layouts map[string]*layout
}

// ParseDocument parses a text, checks it against the limits and validates it. Its errors apply to the whole request:
// no part of the request may be sent.
func (s *Schema) ParseDocument(text string) (*Document, []*Error) {
	query, err := s.parseQuery(text)
	if err != nil {
		return nil, []*Error{err}
	}
	invalid := validator.ValidateWithRules(s.ast, query, s.rules)
	if len(invalid) > 0 {
		var errs []*Error
		for _, e := range invalid[:min(len(invalid), maxValidationErrors)] {
			errs = append(errs, fromParserError(e, CodeValidationFailed))
		}
		return nil, errs
	}
	return &Document{schema: s, query: query, layouts: map[string]*layout{}}, nil
}

// parseQuery parses a text and checks it against all limits that apply before validation.
func (s *Schema) parseQuery(text string) (*ast.QueryDocument, *Error) {
	if len(text) > s.limits.MaxBytes {
		message := fmt.Sprintf("the document is longer than %d bytes", s.limits.MaxBytes)
		return nil, NewError(CodeLimitExceeded, message)
	}
	if !utf8.ValidString(text) {
		return nil, NewError(CodeParseFailed, "the document is not UTF-8")
	}
	query, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, s.limits.MaxTokens)
	if err != nil {
		return nil, fromParserError(err, CodeParseFailed)
	}
	if len(query.Operations) == 0 {
		return nil, NewError(CodeParseFailed, "the document has no operation")
	}
	if err := s.limits.checkDocument(query); err != nil {
		return nil, err
	}
	return query, nil
}

// operation returns the operation with the given name, which may be empty if the document has only one.
func (d *Document) operation(name string) (*ast.OperationDefinition, *Error) {
	if name == "" {
		if len(d.query.Operations) == 1 {
			return d.query.Operations[0], nil
		}
		return nil, NewError(CodeBadInput, "the document has several operations, and operationName names none")
	}
	if op := d.query.Operations.ForName(name); op != nil {
		return op, nil
	}
	return nil, NewError(CodeBadInput, fmt.Sprintf("the document has no operation %q", truncate(name)))
}

// OperationType returns the type of the operation with the given name, which may be empty if the document has only one.
func (d *Document) OperationType(name string) (ast.Operation, *Error) {
	op, err := d.operation(name)
	if err != nil {
		return "", err
	}
	return op.Operation, nil
}
