package gqlnode

import (
	"encoding/json"
	"fmt"
)

// Execution is what a response says about the execution of a mutation.
type Execution string

// The values of Execution.
const (
	Executed    Execution = "ran"
	NotExecuted Execution = "never"
	Unknown     Execution = "open" // it may have been executed
)

// executionByCode maps the codes of errors in a response of the daemon.
var executionByCode = map[string]Execution{
	"REFUSED":      NotExecuted,
	"NOT_STARTED":  NotExecuted,
	"MAY_HAVE_RUN": Unknown,
	"EXECUTED":     Executed,
}

// Claim is what a response says about the mutation with a token.
type Claim struct {
	Token     string
	Execution Execution
}

// Contradicts reports whether the number of executions that the nodes counted contradicts the claim, or is more than
// any mutation may have.
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

// ReadClaims returns what a response says about each mutation of one operation. It returns an error if the response is
// not valid, or says nothing or several things about a mutation.
func ReadClaims(body json.RawMessage, tokens []string) (claims []Claim, err error) {
	var r response
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if r.Data == nil && len(r.Errors) == 0 {
		return nil, fmt.Errorf("neither data nor errors: %s", body)
	}
	for i, token := range tokens {
		alias := fmt.Sprint("m", i)
		execution, err := r.executionOf(alias)
		if err != nil {
			return nil, err
		}
		if execution == "" {
			if len(r.Errors) == 0 {
				return nil, fmt.Errorf("%s: nothing is said of it: %s", alias, body)
			}
			execution = Unknown // a node responded with null data
		}
		claims = append(claims, Claim{token, execution})
	}
	return claims, nil
}

// executionOf returns what the response says about the root field with an alias, or "" if it says nothing.
func (r response) executionOf(alias string) (execution Execution, err error) {
	if value, ok := r.Data[alias]; ok && string(value) != "null" {
		execution = Executed
	}
	for _, e := range r.Errors {
		if len(e.Path) == 0 || e.Path[0] != alias {
			continue
		}
		byCode := executionByCode[e.Extensions.Code]
		if byCode == "" || execution != "" {
			return "", fmt.Errorf("%s: %q after %q", alias, byCode, execution)
		}
		execution = byCode
	}
	return execution, nil
}
