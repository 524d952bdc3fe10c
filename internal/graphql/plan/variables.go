package plan

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/vektah/gqlparser/v2/ast"
	"github.com/vektah/gqlparser/v2/validator"
)

// coerceVariables checks the variables of a request and converts them to the types that the operation declares (section
// 6.1.2 of the GraphQL specification). Variables that the operation does not declare are ignored.
func (s *Schema) coerceVariables(
	op *ast.OperationDefinition, encoded map[string]json.RawMessage,
) (map[string]any, *Error) {
	decoded := map[string]any{}
	for _, definition := range op.VariableDefinitions {
		text, ok := encoded[definition.Variable]
		if !ok {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.UseNumber()
		var value any
		if err := decoder.Decode(&value); err != nil {
			message := fmt.Sprintf("variable %s: %s", definition.Variable, truncate(err.Error()))
			return nil, NewError(CodeBadInput, message)
		}
		decoded[definition.Variable] = value
	}
	vars, err := validator.VariableValues(s.ast, op, decoded)
	if err != nil {
		return nil, fromParserError(err, CodeBadInput)
	}
	for _, definition := range op.VariableDefinitions {
		if !s.intsInRange(definition.Type, decoded[definition.Variable]) {
			message := fmt.Sprintf("variable %s: an Int is a 32-bit signed integer", definition.Variable)
			return nil, NewError(CodeBadInput, message)
		}
	}
	return vars, nil
}

// intsInRange reports whether all Int values in a value of the given type are 32-bit signed integers. The validator
// accepts integers of any size.
func (s *Schema) intsInRange(t *ast.Type, value any) bool {
	switch value := value.(type) {
	case json.Number:
		return t.Name() != "Int" || isInt32(value) // t may be a list type: a single value is coerced to a list
	case []any:
		element := cmp.Or(t.Elem, t) // t.Elem is nil if the list is the value of a custom scalar
		return !slices.ContainsFunc(value, func(item any) bool { return !s.intsInRange(element, item) })
	case map[string]any:
		definition := s.ast.Types[t.Name()]
		for name, item := range value {
			if f := definition.Fields.ForName(name); f != nil && !s.intsInRange(f.Type, item) {
				return false
			}
		}
	}
	return true
}

func isInt32(number json.Number) bool {
	n, err := strconv.ParseFloat(number.String(), 64)
	return err == nil && n == math.Trunc(n) && n >= math.MinInt32 && n <= math.MaxInt32
}
