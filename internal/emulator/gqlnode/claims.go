package gqlnode

import (
	"encoding/json"
	"fmt"
)

// Execution is the statement of a response on whether a mutation was executed.
type Execution string

// Values of Execution.
const (
	Executed    Execution = "ran"
	NotExecuted Execution = "never"
	Unknown     Execution = "open" // the mutation may have been executed
)

// executionByCode maps each error code in the daemon's responses to the Execution that the code states.
var executionByCode = map[string]Execution{
	"REFUSED":      NotExecuted,
	"NOT_STARTED":  NotExecuted,
	"MAY_HAVE_RUN": Unknown,
	"EXECUTED":     Executed,
}

// Claim is the statement of a response on the execution of one mutation, which is identified by its token.
type Claim struct {
	Token     string
	Execution Execution
}

// Contradicts reports whether the claim contradicts the number of executions that the nodes counted. More than one
// execution contradicts any claim, since no mutation may be executed twice.
func (c Claim) Contradicts(executions int) bool {
	return executions > 1 ||
		c.Execution == Executed && executions != 1 ||
		c.Execution == NotExecuted && executions != 0
}

// response is a GraphQL response.
type response struct {
	Data   map[string]json.RawMessage `json:"Data"`
	Errors []responseError            `json:"Errors"`
}

// responseError is an error in a GraphQL response.
type responseError struct {
	Message    string `json:"Message"`
	Path       []any  `json:"Path"`
	Extensions struct {
		Code string `json:"Code"`
	} `json:"Extensions"`
}

// ReadClaims returns the claims of a response to one operation, one for each mutation. tokens has the tokens of the
// mutations, whose aliases are m0, m1 and so on. A mutation of which a response with errors states no Execution is
// Unknown. ReadClaims returns an error if the response is not valid, if it states several Executions of a mutation, or
// if it states none and has no errors.
func ReadClaims(body json.RawMessage, tokens []string) (claims []Claim, err error) {
	var r response
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Data == nil && len(r.Errors) == 0 {
		return nil, fmt.Errorf("response has neither data nor errors: %s", body)
	}
	for i, token := range tokens {
		alias := fmt.Sprint("m", i)
		execution, err := r.executionOf(alias)
		if err != nil {
			return nil, err
		}
		if execution == "" {
			if len(r.Errors) == 0 {
				return nil, fmt.Errorf("response states no result of mutation %s: %s", alias, body)
			}
			execution = Unknown // a node responded with null data
		}
		claims = append(claims, Claim{token, execution})
	}
	return claims, nil
}

// executionOf returns the Execution that the response states for the root field with the given alias, or "" if the
// response states none.
func (r response) executionOf(alias string) (execution Execution, err error) {
	if value, ok := r.Data[alias]; ok && string(value) != "null" {
		execution = Executed
	}
	for _, e := range r.Errors {
		if len(e.Path) == 0 || e.Path[0] != alias {
			continue
		}
		byCode := executionByCode[e.Extensions.Code]
		if byCode == "" {
			return "", fmt.Errorf("mutation %s has an error with the unknown code %q", alias, e.Extensions.Code)
		}
		if execution != "" {
			return "", fmt.Errorf("response states two results of mutation %s: %q and %q", alias, execution, byCode)
		}
		execution = byCode
	}
	return execution, nil
}
