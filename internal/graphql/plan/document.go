package plan

import (
	"fmt"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/formatter"
	"github.com/vektah/gqlparser/v2/parser"
	"github.com/vektah/gqlparser/v2/validator"
)

// Document is a text that is valid for its schema.
type Document struct {
	schema *Schema
	doc    *ast.QueryDocument

	mu     sync.Mutex
	frames map[string]*frame // by operation, of those that depend on no variables
}

// Document parses a text and validates it. Its errors are the request's.
func (s *Schema) ParseDocument(text string) (*Document, []*Error) {
	fail := func(e *Error) (*Document, []*Error) { return nil, []*Error{e} }
	if len(text) > s.limits.MaxBytes {
		return fail(NewError(CodeLimitExceeded, fmt.Sprintf("the document is longer than %d bytes", s.limits.MaxBytes)))
	}
	if !utf8.ValidString(text) {
		return fail(NewError(CodeParseFailed, "the document is not UTF-8"))
	}
	doc, err := parser.ParseQueryWithTokenLimit(&ast.Source{Input: text}, s.limits.MaxTokens)
	if err != nil {
		return fail(fromParser(err, CodeParseFailed))
	}
	if len(doc.Operations) == 0 {
		return fail(NewError(CodeParseFailed, "the document has no operation"))
	}
	if e := s.limits.within(doc); e != nil {
		return fail(e)
	}
	if list := validator.ValidateWithRules(s.ast, doc, s.rules); len(list) > 0 {
		const mostErrors = 10
		var errs []*Error
		for _, e := range list[:min(len(list), mostErrors)] {
			errs = append(errs, fromParser(e, CodeValidationFailed))
		}
		return nil, errs
	}
	return &Document{schema: s, doc: doc, frames: map[string]*frame{}}, nil
}

// operation finds one by its name, which may be empty where there is only one.
func (d *Document) operation(name string) (*ast.OperationDefinition, *Error) {
	if name == "" {
		if len(d.doc.Operations) == 1 {
			return d.doc.Operations[0], nil
		}
		return nil, NewError(CodeBadInput, "the document has several operations, and operationName names none")
	}
	if op := d.doc.Operations.ForName(name); op != nil {
		return op, nil
	}
	return nil, NewError(CodeBadInput, fmt.Sprintf("the document has no operation %q", cut(name)))
}

// Operation says of which type the operation of a name is.
func (d *Document) OperationType(name string) (ast.Operation, *Error) {
	op, err := d.operation(name)
	if err != nil {
		return "", err
	}
	return op.Operation, nil
}

// root is a root field: all selections with one response key.
type root struct {
	key     string
	name    string // Query.seats
	nodes   []*ast.Field
	nonNull bool
	local   bool // answered here: __typename, __schema, __type
}

// frame is what an operation comes to but for the values of its variables.
type frame struct {
	op    *ast.OperationDefinition
	roots []*root
	parts []*piece
	cost  int
}

// piece is a part's text, and what it needs.
type piece struct {
	roots     []*root
	class     string
	text      string
	variables []string
}

// frame collects the root fields (section 6.3.2 of the specification) and cuts the operation up. vars are coerced.
func (d *Document) frame(op *ast.OperationDefinition, vars map[string]any) (*frame, *Error) {
	d.mu.Lock()
	f := d.frames[op.Name]
	d.mu.Unlock()
	if f != nil {
		return f, nil
	}
	c := &collector{doc: d, root: d.schema.ast.Query, vars: vars, byKey: map[string]*root{}, spread: map[string]bool{}}
	if op.Operation == ast.Mutation {
		c.root = d.schema.ast.Mutation
	}
	if err := c.collect(op.SelectionSet); err != nil {
		return nil, err
	}
	f = &frame{op: op, roots: c.list}
	if n := len(f.roots); n > d.schema.limits.MaxRootFields {
		return nil, NewError(CodeLimitExceeded, fmt.Sprintf("the operation has more than %d root fields", d.schema.limits.MaxRootFields))
	}
	for _, r := range f.roots {
		if r.local {
			continue
		}
		m := d.schema.fields[r.name]
		f.cost = plus(f.cost, max(m.Cost, 1))
		if op.Operation == ast.Query {
			if p := f.piece(m, d.schema.fields); p != nil {
				p.roots = append(p.roots, r)
				continue
			}
		}
		f.parts = append(f.parts, &piece{roots: []*root{r}, class: m.Class})
	}
	if f.cost > d.schema.limits.MaxCost {
		return nil, NewError(CodeLimitExceeded, fmt.Sprintf("the operation costs more than %d", d.schema.limits.MaxCost))
	}
	for _, p := range f.parts {
		d.write(op, p)
	}
	if !c.depends {
		d.mu.Lock()
		d.frames[op.Name] = f
		d.mu.Unlock()
	}
	return f, nil
}

// piece is the part that a query's field travels with.
func (f *frame) piece(m FieldMapping, fields map[string]FieldMapping) *piece {
	for _, p := range f.parts {
		o := fields[p.roots[0].name]
		if o.Class == m.Class && o.Deadline == m.Deadline && o.Coalesce == m.Coalesce {
			return p
		}
	}
	return nil
}

type collector struct {
	doc     *Document
	root    *ast.Definition
	vars    map[string]any
	list    []*root
	byKey   map[string]*root
	spread  map[string]bool
	depends bool // on variables
}

func (c *collector) collect(set ast.SelectionSet) *Error {
	for _, sel := range set {
		switch sel := sel.(type) {
		case *ast.Field:
			if !c.included(sel.Directives) {
				continue
			}
			if err := c.field(sel); err != nil {
				return err
			}
		case *ast.InlineFragment:
			if c.included(sel.Directives) && c.applies(sel.TypeCondition) {
				if err := c.collect(sel.SelectionSet); err != nil {
					return err
				}
			}
		case *ast.FragmentSpread:
			if !c.included(sel.Directives) || c.spread[sel.Name] {
				continue
			}
			c.spread[sel.Name] = true
			if f := sel.Definition; f != nil && c.applies(f.TypeCondition) {
				if err := c.collect(f.SelectionSet); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *collector) field(f *ast.Field) *Error {
	r := c.byKey[f.Alias]
	if r == nil {
		r = &root{key: f.Alias, name: c.root.Name + "." + f.Name, nonNull: f.Definition.Type.NonNull, local: strings.HasPrefix(f.Name, "__")}
		if r.local && f.Name != "__typename" && !c.doc.schema.introspection {
			return NewError(CodeIntrospectionDisabled, "introspection is off")
		}
		c.byKey[f.Alias] = r
		c.list = append(c.list, r)
	}
	bare := *f // whether it is there is decided
	bare.Directives = nil
	for _, d := range f.Directives {
		if d.Name != "skip" && d.Name != "include" {
			bare.Directives = append(bare.Directives, d)
		}
	}
	r.nodes = append(r.nodes, &bare)
	return nil
}

// included evaluates @skip and @include.
func (c *collector) included(list ast.DirectiveList) bool {
	for _, name := range []string{"skip", "include"} {
		d := list.ForName(name)
		if d == nil {
			continue
		}
		a := d.Arguments.ForName("if")
		if a.Value.Kind == ast.Variable {
			c.depends = true
		}
		v, err := a.Value.Value(c.vars)
		if on, ok := v.(bool); err != nil || !ok || on == (name == "skip") {
			return false
		}
	}
	return true
}

// applies says whether a fragment on a type is one on the root.
func (c *collector) applies(condition string) bool {
	if condition == "" || condition == c.root.Name {
		return true
	}
	def := c.doc.schema.ast.Types[condition]
	for _, t := range c.doc.schema.ast.GetPossibleTypes(def) {
		if t == c.root {
			return true
		}
	}
	return false
}

// write makes a part's document: an operation with its fields, the fragments and the variables that these use.
func (d *Document) write(op *ast.OperationDefinition, p *piece) {
	u := &uses{doc: d.doc, variables: map[string]bool{}, fragments: map[string]bool{}}
	out := &ast.QueryDocument{}
	cutOut := &ast.OperationDefinition{Operation: op.Operation, Name: op.Name, Directives: op.Directives}
	u.directives(op.Directives)
	for _, r := range p.roots {
		for _, f := range r.nodes {
			cutOut.SelectionSet = append(cutOut.SelectionSet, f)
			u.field(f)
		}
	}
	for _, v := range op.VariableDefinitions {
		if u.variables[v.Variable] {
			cutOut.VariableDefinitions = append(cutOut.VariableDefinitions, v)
			p.variables = append(p.variables, v.Variable)
		}
	}
	out.Operations = ast.OperationList{cutOut}
	for _, f := range d.doc.Fragments {
		if u.fragments[f.Name] {
			out.Fragments = append(out.Fragments, f)
		}
	}
	var b strings.Builder
	formatter.NewFormatter(&b, formatter.WithCompacted()).FormatQueryDocument(out)
	p.text = b.String()
}

// uses finds what selections use.
type uses struct {
	doc                  *ast.QueryDocument
	variables, fragments map[string]bool
}

func (u *uses) selection(set ast.SelectionSet) {
	for _, sel := range set {
		switch sel := sel.(type) {
		case *ast.Field:
			u.field(sel)
		case *ast.InlineFragment:
			u.directives(sel.Directives)
			u.selection(sel.SelectionSet)
		case *ast.FragmentSpread:
			u.directives(sel.Directives)
			if f := u.doc.Fragments.ForName(sel.Name); f != nil && !u.fragments[sel.Name] {
				u.fragments[sel.Name] = true
				u.directives(f.Directives)
				u.selection(f.SelectionSet)
			}
		}
	}
}

func (u *uses) field(f *ast.Field) {
	u.directives(f.Directives)
	u.arguments(f.Arguments)
	u.selection(f.SelectionSet)
}

func (u *uses) directives(list ast.DirectiveList) {
	for _, d := range list {
		u.arguments(d.Arguments)
	}
}

func (u *uses) arguments(list ast.ArgumentList) {
	for _, a := range list {
		u.value(a.Value)
	}
}

func (u *uses) value(v *ast.Value) {
	if v == nil {
		return
	}
	if v.Kind == ast.Variable {
		u.variables[v.Raw] = true
	}
	for _, c := range v.Children {
		u.value(c.Value)
	}
}
