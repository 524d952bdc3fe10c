package plan

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vektah/gqlparser/v2"
	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/gqlerror"
	"github.com/vektah/gqlparser/v2/validator"
	"github.com/vektah/gqlparser/v2/validator/rules"

	"hazelwing/balancer"
)

// Config is the configuration of a Schema.
type Config struct {
	SchemaFile    string // name of the file from which SDL was read, for error messages
	SDL           string // schema in the schema definition language
	Fields        map[string]FieldMapping
	Classes       []balancer.Class // request classes; if nil, the classes in Fields are not checked
	Limits        Limits
	Introspection bool // whether __schema and __type are resolved
}

// Schema parses and plans operations.
type Schema struct {
	ast           *ast.Schema
	mappings      map[string]FieldMapping   // mappings of root fields, by schema coordinate such as Query.seats
	classes       map[string]balancer.Class // classes by name; nil if the classes are not known
	limits        Limits
	introspection bool
	rules         *rules.Rules
}

// New returns a Schema. If the SDL is invalid, the error reports only that. Otherwise it joins all problems in the
// configuration. A problem in the SDL and a root field without a mapping are reported with the position in the SDL. A
// problem in a mapping is a FieldMappingError.
func New(config Config) (*Schema, error) {
	parsed, err := parseSDL(config)
	if err != nil {
		return nil, err
	}
	s := &Schema{
		ast:           parsed,
		mappings:      map[string]FieldMapping{},
		limits:        config.Limits,
		introspection: config.Introspection,
		rules:         validationRules(config.Introspection),
	}
	if config.Classes != nil {
		s.classes = map[string]balancer.Class{}
		for _, class := range config.Classes {
			s.classes[class.Name] = class
		}
	}
	var problems []error
	for _, rootType := range []*ast.Definition{parsed.Query, parsed.Mutation} {
		if rootType != nil {
			problems = append(problems, s.mapRootFields(rootType, config)...)
		}
	}
	for _, coordinate := range slices.Sorted(maps.Keys(config.Fields)) {
		if _, ok := s.mappings[coordinate]; !ok {
			err := errors.New("the schema has no such root field of Query or Mutation")
			problems = append(problems, FieldMappingError{Field: coordinate, Err: err})
		}
	}
	if parsed.Subscription != nil {
		position := parsed.Subscription.Position
		const format = "%s:%d:%d: the schema has a subscription type, but subscriptions are not supported"
		problems = append(problems, fmt.Errorf(format, config.SchemaFile, position.Line, position.Column))
	}
	return s, errors.Join(problems...)
}

// AST returns the parsed schema, which must not be changed.
func (s *Schema) AST() *ast.Schema { return s.ast }

// parseSDL parses the schema. Its error begins with the position, if the parser gives one.
func parseSDL(config Config) (*ast.Schema, error) {
	parsed, err := gqlparser.LoadSchema(&ast.Source{Name: config.SchemaFile, Input: config.SDL})
	if err == nil {
		return parsed, nil
	}
	var located *gqlerror.Error
	if errors.As(err, &located) && len(located.Locations) > 0 {
		location := located.Locations[0]
		return nil, fmt.Errorf("%s:%d:%d: %s", config.SchemaFile, location.Line, location.Column, located.Message)
	}
	return nil, fmt.Errorf("%s: %w", config.SchemaFile, err)
}

// validationRules returns the rules for validating documents. Without introspection, errors have no suggestions
// such as "Did you mean ...", which would disclose the schema.
func validationRules(introspection bool) *rules.Rules {
	all := rules.NewDefaultRules()
	if introspection {
		return all
	}
	for _, rule := range []validator.Rule{
		rules.FieldsOnCorrectTypeRuleWithoutSuggestions,
		rules.KnownArgumentNamesRuleWithoutSuggestions,
		rules.KnownTypeNamesRuleWithoutSuggestions,
		rules.ScalarLeafsRuleWithoutSuggestions,
		rules.ValuesOfCorrectTypeRuleWithoutSuggestions,
	} {
		all.ReplaceRule(strings.TrimSuffix(rule.Name, "WithoutSuggestions"), rule.RuleFunc)
	}
	return all
}

// mapRootFields stores the mappings of a root type's fields and returns the errors in them.
func (s *Schema) mapRootFields(rootType *ast.Definition, config Config) []error {
	var problems []error
	for _, field := range rootType.Fields {
		if strings.HasPrefix(field.Name, "__") {
			continue
		}
		coordinate := rootType.Name + "." + field.Name
		mapping, ok := config.Fields[coordinate]
		if !ok {
			at := field.Position
			const format = "%s:%d:%d: %s has no class: the settings have no table graphql.field.%q"
			err := fmt.Errorf(format, config.SchemaFile, at.Line, at.Column, coordinate, coordinate)
			problems = append(problems, err)
			continue
		}
		s.mappings[coordinate] = mapping
		if err := s.checkMapping(rootType, field, mapping); err != nil {
			problems = append(problems, FieldMappingError{Field: coordinate, Err: err})
		}
	}
	return problems
}
