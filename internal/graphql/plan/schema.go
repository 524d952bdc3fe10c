package plan

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/gqlerror"
	"github.com/vektah/gqlparser/v2/validator"
	"github.com/vektah/gqlparser/v2/validator/rules"

	"hazelwing/balancer"
)

// Field says how a root field travels.
type FieldMapping struct {
	Class string
	// Key names the argument that holds the field's key, with dots into input objects: "input.idempotencyKey". Of a
	// mutation it tells repeats of one effect, of a query what it is about. Empty: there is none.
	KeyArgument  string
	Cost         int           // counted against Limits.Cost; 0: 1
	ExpectedWork time.Duration // expected, at a node; 0: unknown
	Deadline     time.Duration // shorter than the class's; 0: none
	Coalesce     bool          // identical parts in flight may share one execution; queries only
}

// Limits bound what is done for a request. All are above 0.
type Limits struct {
	MaxBytes      int // of a document
	MaxTokens     int // of a document
	MaxDepth      int // of nested fields
	MaxAliases    int // of an operation, expanded
	MaxRootFields int // root fields of an operation
	MaxFields     int // of an operation, expanded
	MaxCost       int // of an operation's root fields
}

// DefaultLimits are generous for what applications send.
var DefaultLimits = Limits{MaxBytes: 64 << 10, MaxTokens: 8000, MaxDepth: 15, MaxAliases: 100, MaxRootFields: 30, MaxFields: 2000, MaxCost: 100}

// Schema is what requests are planned with.
type Schema struct {
	ast           *ast.Schema
	fields        map[string]FieldMapping // by "Query.seats"
	classes       map[string]balancer.Class
	limits        Limits
	introspection bool
	rules         *rules.Rules
}

// Config is what a Schema is made of.
type Config struct {
	SchemaFile    string // of the file that SDL was read from, for errors
	SDL           string
	Fields        map[string]FieldMapping
	Classes       []balancer.Class // nil: they are not known yet, and not checked
	Limits        Limits
	Introspection bool // __schema and __type are answered
}

// FieldFault is what is wrong with the mapping of a root field.
type FieldMappingError struct {
	Field string
	Err   error
}

func (f FieldMappingError) Error() string { return f.Field + ": " + f.Err.Error() }

// New makes a Schema. Its error joins all faults, each on a line: those of the SDL, and of root fields without a class,
// with the place in the SDL; those of the mapping, each a FieldFault.
func New(c Config) (*Schema, error) {
	parsed, err := gqlparser.LoadSchema(&ast.Source{Name: c.SchemaFile, Input: c.SDL})
	if err != nil {
		var at *gqlerror.Error
		if errors.As(err, &at) && len(at.Locations) > 0 {
			return nil, fmt.Errorf("%s:%d:%d: %s", c.SchemaFile, at.Locations[0].Line, at.Locations[0].Column, at.Message)
		}
		return nil, fmt.Errorf("%s: %w", c.SchemaFile, err)
	}
	s := &Schema{ast: parsed, fields: map[string]FieldMapping{}, limits: c.Limits, introspection: c.Introspection, rules: rules.NewDefaultRules()}
	if !c.Introspection { // or errors would tell the schema: "Did you mean ..."
		for _, r := range []validator.Rule{rules.FieldsOnCorrectTypeRuleWithoutSuggestions, rules.KnownArgumentNamesRuleWithoutSuggestions,
			rules.KnownTypeNamesRuleWithoutSuggestions, rules.ScalarLeafsRuleWithoutSuggestions, rules.ValuesOfCorrectTypeRuleWithoutSuggestions} {
			s.rules.ReplaceRule(strings.TrimSuffix(r.Name, "WithoutSuggestions"), r.RuleFunc)
		}
	}
	if c.Classes != nil {
		s.classes = map[string]balancer.Class{}
		for _, k := range c.Classes {
			s.classes[k.Name] = k
		}
	}
	var faults []error
	for _, root := range []*ast.Definition{parsed.Query, parsed.Mutation} {
		if root == nil {
			continue
		}
		for _, f := range root.Fields {
			name := root.Name + "." + f.Name
			if strings.HasPrefix(f.Name, "__") {
				continue
			}
			m, ok := c.Fields[name]
			if !ok {
				faults = append(faults, fmt.Errorf("%s:%d:%d: %s has no class: no graphql.field.%q", c.SchemaFile, f.Position.Line, f.Position.Column, name, name))
				continue
			}
			s.fields[name] = m
			if err := s.check(root, f, m); err != nil {
				faults = append(faults, FieldMappingError{name, err})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Fields)) {
		if _, ok := s.fields[name]; !ok {
			faults = append(faults, FieldMappingError{name, errors.New("the schema has no such root field of Query or Mutation")})
		}
	}
	if parsed.Subscription != nil {
		p := parsed.Subscription.Position
		faults = append(faults, fmt.Errorf("%s:%d:%d: subscriptions are not carried", c.SchemaFile, p.Line, p.Column))
	}
	return s, errors.Join(faults...)
}

func (s *Schema) check(root *ast.Definition, f *ast.FieldDefinition, m FieldMapping) error {
	query := root == s.ast.Query
	class, known := s.classes[m.Class]
	switch {
	case m.Class == "":
		return errors.New("class is missing")
	case s.classes != nil && !known:
		return fmt.Errorf("class %q is none of the settings'", m.Class)
	case m.Cost < 0 || m.ExpectedWork < 0 || m.Deadline < 0:
		return errors.New("cost, work and deadline are not below 0")
	case m.Coalesce && !query:
		return errors.New("share goes with queries")
	case known && query && class.Effect != balancer.Idempotent:
		return fmt.Errorf("class %q is not safe to repeat, and a query has no effect", m.Class)
	}
	if m.KeyArgument == "" {
		return nil
	}
	args, place := f.Arguments, "the field"
	words := strings.Split(m.KeyArgument, ".")
	var of *ast.Type
	for i, word := range words {
		if i == 0 {
			a := args.ForName(word)
			if a == nil {
				return fmt.Errorf("key: %s has no argument %q", place, word)
			}
			of = a.Type
			continue
		}
		def := s.ast.Types[of.Name()]
		if def.Kind != ast.InputObject || of.Elem != nil {
			return fmt.Errorf("key: %q has no fields", strings.Join(words[:i], "."))
		}
		in := def.Fields.ForName(word)
		if in == nil {
			return fmt.Errorf("key: %s has no field %q", def.Name, word)
		}
		of = in.Type
	}
	if of.Elem != nil || s.ast.Types[of.Name()].Kind != ast.Scalar && s.ast.Types[of.Name()].Kind != ast.Enum {
		return fmt.Errorf("key: %q is no scalar", m.KeyArgument)
	}
	return nil
}

// AST is the parsed schema; nobody changes it.
func (s *Schema) AST() *ast.Schema { return s.ast }
