package plan

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/balancer"
)

// FieldMapping configures how a root field is sent to endpoints.
type FieldMapping struct {
	Class string
	// KeyArgument is the name of the argument that holds the key of the root field, or a path to a field of an input
	// object, such as "input.idempotencyKey"; empty if no argument holds a key. The key is the idempotency key of a
	// mutation and the affinity key of a query.
	KeyArgument  string
	Cost         int           // counted against Limits.MaxCost; 0 counts as 1
	ExpectedWork time.Duration // expected work of the field at an endpoint; 0 if unknown
	Deadline     time.Duration // time limit of the part if shorter than the class's deadline; 0: no such limit
	Coalesce     bool          // whether identical parts in flight may share one execution; for queries only
}

// FieldMappingError is an error in the mapping of a root field.
type FieldMappingError struct {
	Field string // the schema coordinate, such as Query.seats
	Err   error
}

// Error returns the schema coordinate of the field and the error in its mapping.
func (e FieldMappingError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the error in the mapping, without the field.
func (e FieldMappingError) Unwrap() error { return e.Err }

// checkMapping checks the mapping of a root field against the schema, and against the classes if these are known.
func (s *Schema) checkMapping(rootType *ast.Definition, field *ast.FieldDefinition, mapping FieldMapping) error {
	isQuery := rootType == s.ast.Query
	class, known := s.classes[mapping.Class]
	switch {
	case mapping.Class == "":
		return errors.New("class is missing")
	case s.classes != nil && !known:
		return fmt.Errorf("class %q is not defined in the settings", mapping.Class)
	case mapping.Cost < 0:
		return fmt.Errorf("cost is %d, but must be at least 0", mapping.Cost)
	case mapping.ExpectedWork < 0:
		return fmt.Errorf("work is %v, but must be at least 0", mapping.ExpectedWork)
	case mapping.Deadline < 0:
		return fmt.Errorf("deadline is %v, but must be at least 0", mapping.Deadline)
	case mapping.Coalesce && !isQuery:
		return errors.New("share is true, but only fields of Query may be shared")
	case known && isQuery && class.Effect != balancer.Idempotent:
		const format = "class %q is not safe to repeat, but a field of Query needs a class that is safe to repeat"
		return fmt.Errorf(format, mapping.Class)
	}
	if mapping.KeyArgument == "" {
		return nil
	}
	return s.checkKeyArgument(field, mapping.KeyArgument)
}

// checkKeyArgument checks that a KeyArgument path leads from an argument of the field to a scalar or an enum.
func (s *Schema) checkKeyArgument(field *ast.FieldDefinition, path string) error {
	names := strings.Split(path, ".")
	argument := field.Arguments.ForName(names[0])
	if argument == nil {
		return fmt.Errorf("key: the field has no argument %q", names[0])
	}
	current := argument.Type
	for i, name := range names[1:] {
		definition := s.ast.Types[current.Name()]
		if current.Elem != nil {
			return fmt.Errorf("key: %q is a list, want an input object", strings.Join(names[:i+1], "."))
		}
		if definition.Kind != ast.InputObject {
			const format = "key: %q has type %s, want an input object"
			return fmt.Errorf(format, strings.Join(names[:i+1], "."), definition.Name)
		}
		input := definition.Fields.ForName(name)
		if input == nil {
			return fmt.Errorf("key: %s has no field %q", definition.Name, name)
		}
		current = input.Type
	}
	if current.Elem != nil {
		return fmt.Errorf("key: %q is a list, want a scalar or an enum", path)
	}
	if kind := s.ast.Types[current.Name()].Kind; kind != ast.Scalar && kind != ast.Enum {
		return fmt.Errorf("key: %q has type %s, want a scalar or an enum", path, current.Name())
	}
	return nil
}
