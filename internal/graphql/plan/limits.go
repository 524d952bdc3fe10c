package plan

import (
	"fmt"

	"github.com/vektah/gqlparser/v2/ast"
)

// Limits bound the work that a single request may cause. Each must be greater than 0.
type Limits struct {
	MaxBytes      int // maximum length of a document in bytes
	MaxTokens     int // maximum number of tokens in a document
	MaxDepth      int // maximum number of levels of nested fields
	MaxAliases    int // maximum number of aliases in an operation with its fragments expanded
	MaxRootFields int // maximum number of root fields in an operation
	MaxFields     int // maximum number of fields in an operation with its fragments expanded
	MaxCost       int // maximum sum of FieldMapping.Cost over the root fields of an operation
}

// DefaultLimits are generous for the documents that applications send. Higher values let a single request use more
// processing time and memory before it is rejected.
var DefaultLimits = Limits{
	MaxBytes:      64 << 10,
	MaxTokens:     8000,
	MaxDepth:      15,
	MaxAliases:    100,
	MaxRootFields: 30,
	MaxFields:     2000,
	MaxCost:       100,
}

// maxSum is the value at which sums saturate. Without it, sums could overflow, because a chain of fragments that each
// spread the next one twice has an exponential size.
const maxSum = 1 << 30

func saturatingAdd(a, b int) int { return min(a+b, maxSum) }

// selectionSize is the size of a selection set with its fragments expanded. Its sums saturate at maxSum.
type selectionSize struct {
	depth   int
	aliases int
	fields  int
}

func (s *selectionSize) add(other selectionSize) {
	s.depth = max(s.depth, other.depth)
	s.aliases = saturatingAdd(s.aliases, other.aliases)
	s.fields = saturatingAdd(s.fields, other.fields)
}

// sizer measures selection sets. It visits each fragment once, however often it is spread.
type sizer struct {
	query      *ast.QueryDocument
	measured   map[string]selectionSize
	inProgress map[string]bool // names of the fragments that are being measured
}

// selectionSet returns the size of a selection set, or an error if a fragment spreads itself.
func (z *sizer) selectionSet(set ast.SelectionSet) (selectionSize, *Error) {
	var total selectionSize
	for _, selection := range set {
		size, err := z.selection(selection)
		if err != nil {
			return total, err
		}
		total.add(size)
	}
	return total, nil
}

func (z *sizer) selection(selection ast.Selection) (selectionSize, *Error) {
	switch selection := selection.(type) {
	case *ast.Field:
		return z.field(selection)
	case *ast.InlineFragment:
		return z.selectionSet(selection.SelectionSet)
	case *ast.FragmentSpread:
		return z.fragment(selection.Name)
	}
	return selectionSize{}, nil
}

func (z *sizer) field(f *ast.Field) (selectionSize, *Error) {
	size, err := z.selectionSet(f.SelectionSet)
	if err != nil {
		return size, err
	}
	size.depth++
	size.fields = saturatingAdd(size.fields, 1)
	if f.Alias != f.Name {
		size.aliases = saturatingAdd(size.aliases, 1)
	}
	return size, nil
}

func (z *sizer) fragment(name string) (selectionSize, *Error) {
	if size, ok := z.measured[name]; ok {
		return size, nil
	}
	if z.inProgress[name] {
		message := fmt.Sprintf("Cannot spread fragment %q within itself.", truncate(name))
		return selectionSize{}, NewError(CodeValidationFailed, message)
	}
	definition := z.query.Fragments.ForName(name)
	if definition == nil {
		return selectionSize{}, nil // validation reports the undefined fragment
	}
	z.inProgress[name] = true
	size, err := z.selectionSet(definition.SelectionSet)
	z.inProgress[name] = false
	z.measured[name] = size
	return size, err
}

// checkDocument checks each operation and fragment of a parsed document against the limits. It is called before the
// document is validated.
func (l *Limits) checkDocument(query *ast.QueryDocument) *Error {
	z := &sizer{query: query, measured: map[string]selectionSize{}, inProgress: map[string]bool{}}
	for _, fragment := range query.Fragments { // unused fragments too, because validation visits them
		if err := l.checkSelectionSet(z, fragment.SelectionSet); err != nil {
			return err
		}
	}
	for _, op := range query.Operations {
		if err := l.checkSelectionSet(z, op.SelectionSet); err != nil {
			return err
		}
	}
	return nil
}

func (l *Limits) checkSelectionSet(z *sizer, set ast.SelectionSet) *Error {
	size, err := z.selectionSet(set)
	if err != nil {
		return err
	}
	for _, limit := range []struct {
		name  string
		size  int
		limit int
	}{
		{"levels of fields", size.depth, l.MaxDepth},
		{"aliases", size.aliases, l.MaxAliases},
		{"fields", size.fields, l.MaxFields},
	} {
		if limit.size > limit.limit {
			message := fmt.Sprintf("the operation has more than %d %s", limit.limit, limit.name)
			return NewError(CodeLimitExceeded, message)
		}
	}
	return nil
}
