package plan

import (
	"encoding/json"
	"errors"

	"github.com/vektah/gqlparser/v2/gqlerror"
)

// Codes of errors, in extensions.code.
const (
	// Of a field: see the package's comment.
	CodeRefused     = "REFUSED"
	CodeNotStarted  = "NOT_STARTED"
	CodeMayHaveRun  = "MAY_HAVE_RUN"
	CodeUnavailable = "UNAVAILABLE"
	// Rejected is of a field whose node turned the request down before it executed anything.
	CodeRejected = "REJECTED"
	// Executed is of a mutation that ran, and whose result is lost with the data: another field is null that cannot be.
	CodeExecuted = "EXECUTED"

	// Of a whole request, of which nothing was sent.
	CodeParseFailed           = "GRAPHQL_PARSE_FAILED"
	CodeValidationFailed      = "GRAPHQL_VALIDATION_FAILED"
	CodeBadInput              = "BAD_USER_INPUT"
	CodeLimitExceeded         = "LIMIT_EXCEEDED"
	CodeNotSupported          = "NOT_SUPPORTED"
	CodeIntrospectionDisabled = "INTROSPECTION_DISABLED"
	CodeKeyMissing            = "KEY_MISSING"
	CodeDuplicateKey          = "KEY_TWICE"
)

// Error is one of a response's.
type Error struct {
	Message    string              `json:"message"`
	Locations  []gqlerror.Location `json:"locations,omitempty"`
	Path       []any               `json:"path,omitempty"`
	Extensions map[string]any      `json:"extensions,omitempty"`
}

func (e *Error) Error() string { return e.Message }

// Code is its extensions.code.
func (e *Error) Code() string {
	code, _ := e.Extensions["code"].(string)
	return code
}

// NewError makes one.
func NewError(code, message string) *Error {
	return &Error{Message: message, Extensions: map[string]any{"code": code}}
}

// longestMessage bounds what an error quotes of a document.
const longestMessage = 500

// fromParser gives a parser's or validator's error a code.
func fromParser(err error, code string) *Error {
	var g *gqlerror.Error
	if !errors.As(err, &g) {
		return NewError(code, cut(err.Error()))
	}
	e := NewError(code, cut(g.Message))
	e.Locations = g.Locations
	return e
}

func cut(text string) string {
	if len(text) > longestMessage {
		return text[:longestMessage] + "..."
	}
	return text
}

// Failed is the response to a request that was not executed: it has errors and no data.
func ErrorResponse(errs ...*Error) []byte {
	text, err := json.Marshal(struct {
		Errors []*Error `json:"errors"`
	}{errs})
	if err != nil { // of strings and numbers
		panic(err)
	}
	return text
}
