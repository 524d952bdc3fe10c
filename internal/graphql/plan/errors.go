package plan

import (
	"encoding/json"
	"errors"

	"github.com/vektah/gqlparser/v2/gqlerror"
)

// Values of extensions.code for errors of single fields. The package comment describes the guarantees of each code.
const (
	CodeRefused     = "REFUSED"
	CodeNotStarted  = "NOT_STARTED"
	CodeMayHaveRun  = "MAY_HAVE_RUN"
	CodeUnavailable = "UNAVAILABLE"
	// CodeRejected is the code of a field whose endpoint rejected the request before it executed anything.
	CodeRejected = "REJECTED"
	// CodeExecuted is the code of a mutation that ran, but whose result is lost because the whole data is null: another
	// field is non-null and has no value.
	CodeExecuted = "EXECUTED"
)

// Values of extensions.code for errors of whole requests. No part of such a request was sent.
const (
	CodeParseFailed           = "GRAPHQL_PARSE_FAILED"
	CodeValidationFailed      = "GRAPHQL_VALIDATION_FAILED"
	CodeBadInput              = "BAD_USER_INPUT"
	CodeLimitExceeded         = "LIMIT_EXCEEDED"
	CodeNotSupported          = "NOT_SUPPORTED"
	CodeIntrospectionDisabled = "INTROSPECTION_DISABLED"
	CodeKeyMissing            = "KEY_MISSING"
	CodeDuplicateKey          = "KEY_TWICE"
)

// maxQuotedText is the maximum length, in bytes, of a text in an error message that may contain parts of a client's
// request. Such a text is a name, or a message of the parser, the validator or encoding/json.
const maxQuotedText = 500

// Error is an entry of a response's errors (section 7.1.2 of the GraphQL specification).
type Error struct {
	Message    string              `json:"message"`
	Locations  []gqlerror.Location `json:"locations,omitempty"`
	Path       []any               `json:"path,omitempty"`
	Extensions map[string]any      `json:"extensions,omitempty"`
}

// NewError returns an error with the given extensions.code.
func NewError(code, message string) *Error {
	return &Error{Message: message, Extensions: map[string]any{"code": code}}
}

// newFieldError returns an error of the root field with the given response key.
func newFieldError(code, message, responseKey string) *Error {
	e := NewError(code, message)
	e.Path = []any{responseKey}
	return e
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Code returns extensions.code, or an empty string if there is none.
func (e *Error) Code() string {
	code, _ := e.Extensions["code"].(string)
	return code
}

// fromParserError converts an error of the parser or the validator.
func fromParserError(err error, code string) *Error {
	var parserError *gqlerror.Error
	if !errors.As(err, &parserError) {
		return NewError(code, truncate(err.Error()))
	}
	e := NewError(code, truncate(parserError.Message))
	e.Locations = parserError.Locations
	return e
}

func truncate(text string) string {
	if len(text) > maxQuotedText {
		return text[:maxQuotedText] + "..."
	}
	return text
}

// ErrorResponse returns the response to a request that was not executed: it has errors and no data.
func ErrorResponse(errs ...*Error) []byte {
	text, err := json.Marshal(struct {
		Errors []*Error `json:"errors"`
	}{errs})
	if err != nil { // cannot happen: errors hold strings and numbers only
		panic(err)
	}
	return text
}
