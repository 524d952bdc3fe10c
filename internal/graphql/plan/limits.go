package plan

import (
	"fmt"

	"github.com/vektah/gqlparser/v2/ast"
)

// size is what a selection comes to with its fragments expanded. Sums stop at most.
type size struct{ depth, aliases, fields int }

const most = 1 << 30

func plus(a, b int) int { return min(a+b, most) }

func (s *size) add(o size) {
	s.depth = max(s.depth, o.depth)
	s.aliases, s.fields = plus(s.aliases, o.aliases), plus(s.fields, o.fields)
}

// measure adds up sizes. Each fragment is measured once, whatever spreads it.
type measure struct {
	doc   *ast.QueryDocument
	known map[string]size
	open  map[string]bool
}

// of is a selection's size; an error is a fragment that spreads itself.
func (m *measure) of(set ast.SelectionSet) (total size, err *Error) {
	for _, sel := range set {
		var s size
		switch sel := sel.(type) {
		case *ast.Field:
			if s, err = m.of(sel.SelectionSet); err != nil {
				return total, err
			}
			s.depth++
			s.fields = plus(s.fields, 1)
			if sel.Alias != sel.Name {
				s.aliases = plus(s.aliases, 1)
			}
		case *ast.InlineFragment:
			s, err = m.of(sel.SelectionSet)
		case *ast.FragmentSpread:
			s, err = m.fragment(sel)
		}
		if err != nil {
			return total, err
		}
		total.add(s)
	}
	return total, nil
}

func (m *measure) fragment(sel *ast.FragmentSpread) (size, *Error) {
	if s, ok := m.known[sel.Name]; ok {
		return s, nil
	}
	if m.open[sel.Name] {
		e := NewError(CodeValidationFailed, fmt.Sprintf("Cannot spread fragment %q within itself.", cut(sel.Name)))
		return size{}, e
	}
	f := m.doc.Fragments.ForName(sel.Name)
	if f == nil {
		return size{}, nil // validation says so
	}
	m.open[sel.Name] = true
	s, err := m.of(f.SelectionSet)
	m.open[sel.Name] = false
	m.known[sel.Name] = s
	return s, err
}

// within checks a parsed document, each operation by itself, before it is validated.
func (l *Limits) within(doc *ast.QueryDocument) *Error {
	m := &measure{doc: doc, known: map[string]size{}, open: map[string]bool{}}
	for _, f := range doc.Fragments { // also those that nothing spreads: validation goes through them
		s, err := m.of(f.SelectionSet)
		if err == nil {
			err = l.allow(s)
		}
		if err != nil {
			return err
		}
	}
	for _, op := range doc.Operations {
		s, err := m.of(op.SelectionSet)
		if err == nil {
			err = l.allow(s)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *Limits) allow(s size) *Error {
	for _, x := range []struct {
		what      string
		got, most int
	}{{"levels of fields", s.depth, l.MaxDepth}, {"aliases", s.aliases, l.MaxAliases}, {"fields", s.fields, l.MaxFields}} {
		if x.got > x.most {
			return NewError(CodeLimitExceeded, fmt.Sprintf("the operation has more than %d %s", x.most, x.what))
		}
	}
	return nil
}
