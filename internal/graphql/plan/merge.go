package plan

import (
	"bytes"
	"encoding/json"
	"time"
)

// Response is the response to the client.
type Response struct {
	Body []byte
	// Rejected is true if no part of the operation ran: each part was rejected before any endpoint executed it, or was
	// not sent. It is false if an endpoint responded to a part, even if it executed nothing, and if there are no parts.
	Rejected bool
	// RetryAfter is how long the client of a rejected operation should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
}

// Merge builds the response: data in the order of the operation, with nulls propagated as section 6.4.4 of the GraphQL
// specification requires, and all errors. outcomes has one outcome for each of Parts, in the same order.
func (p *Plan) Merge(outcomes []Outcome) Response {
	response := Response{Rejected: len(outcomes) > 0}
	var errs encodedErrors
	for i, outcome := range outcomes {
		response.addOutcome(outcome)
		p.appendErrors(&errs, p.Parts[i], outcome)
	}
	data, isNull := p.mergeData(outcomes)
	if isNull {
		data = []byte("null")
		p.appendLostResults(&errs, outcomes)
	}
	response.Body = encodeResponse(errs, data, extensionsOf(outcomes))
	return response
}

// addOutcome updates Rejected and RetryAfter for the outcome of one part.
func (r *Response) addOutcome(outcome Outcome) {
	switch outcome.Kind {
	case OutcomeRejected:
		r.RetryAfter = max(r.RetryAfter, outcome.RetryAfter)
	case OutcomeNotStarted:
		// The part did not run, so the operation may still count as rejected.
	case OutcomeExecuted, OutcomeEndpointRejected, OutcomeUnknown:
		r.Rejected = false
	}
}

// encodedErrors are the encoded entries of a response's errors.
type encodedErrors [][]byte

// add adds a *Error or a nodeError.
func (e *encodedErrors) add(entry any) {
	text, err := json.Marshal(entry)
	if err != nil { // cannot happen: entries hold strings, numbers and JSON that was parsed
		panic(err)
	}
	*e = append(*e, text)
}

// appendErrors adds the errors of a part.
func (p *Plan) appendErrors(errs *encodedErrors, part *Part, outcome Outcome) {
	switch outcome.Kind {
	case OutcomeExecuted:
		for _, e := range outcome.Response.errors {
			errs.add(e)
		}
	case OutcomeEndpointRejected:
		for _, e := range outcome.Response.errors {
			for _, key := range part.ResponseKeys {
				errs.add(newFieldError(CodeRejected, e.Message, key))
			}
		}
	case OutcomeRejected, OutcomeNotStarted, OutcomeUnknown:
		for _, key := range part.ResponseKeys {
			e := newFieldError(p.failureCode(outcome.Kind), outcome.Reason, key)
			if outcome.Kind == OutcomeRejected && outcome.RetryAfter > 0 {
				e.Extensions["retryAfterMs"] = outcome.RetryAfter.Milliseconds()
			}
			errs.add(e)
		}
	}
}

// failureCode returns the error code of a field whose part has no response.
func (p *Plan) failureCode(kind OutcomeKind) string {
	switch {
	case kind == OutcomeRejected:
		return CodeRefused
	case kind == OutcomeNotStarted:
		return CodeNotStarted
	case p.Serial:
		return CodeMayHaveRun
	}
	return CodeUnavailable // a query has no effect, so it does not matter whether it ran
}

// appendLostResults adds an error for each mutation that ran and whose result is lost because the data is null. Without
// these errors, the client could not tell which mutations ran.
func (p *Plan) appendLostResults(errs *encodedErrors, outcomes []Outcome) {
	if !p.Serial {
		return
	}
	const message = "it ran; its result is lost with the data, in which another field cannot be null"
	for i, outcome := range outcomes {
		if outcome.Kind == OutcomeExecuted && outcome.Response.values != nil {
			errs.add(newFieldError(CodeExecuted, message, p.Parts[i].ResponseKeys[0]))
		}
	}
}

// mergeData builds the response's data. isNull reports whether the whole data is null because a non-null root field has
// no value.
func (p *Plan) mergeData(outcomes []Outcome) (data []byte, isNull bool) {
	var merged bytes.Buffer
	merged.WriteByte('{')
	for i, field := range p.rootFields {
		value := p.value(field, outcomes)
		if len(value) == 0 || string(value) == "null" {
			if field.nonNull {
				return nil, true
			}
			value = json.RawMessage("null")
		}
		if i > 0 {
			merged.WriteByte(',')
		}
		key, _ := json.Marshal(field.responseKey) // a string can always be encoded
		merged.Write(key)
		merged.WriteByte(':')
		merged.Write(value)
	}
	merged.WriteByte('}')
	return merged.Bytes(), false
}

// value returns the value of a root field, or nil if it has none.
func (p *Plan) value(field *rootField, outcomes []Outcome) json.RawMessage {
	if value, ok := p.metaValues[field.responseKey]; ok {
		return value
	}
	response := outcomes[p.partIndex[field.responseKey]].Response
	if response == nil {
		return nil
	}
	return response.values[field.responseKey]
}

// extensionsOf returns the extensions of the endpoint's response if there is a single part. The extensions of several
// parts are dropped, because there is no rule for merging them.
func extensionsOf(outcomes []Outcome) json.RawMessage {
	if len(outcomes) != 1 || outcomes[0].Response == nil {
		return nil
	}
	return outcomes[0].Response.extensions
}

func encodeResponse(errs encodedErrors, data []byte, extensions json.RawMessage) []byte {
	var body bytes.Buffer
	body.WriteByte('{')
	if len(errs) > 0 {
		body.WriteString(`"errors":[`)
		body.Write(bytes.Join(errs, []byte(",")))
		body.WriteString("],")
	}
	body.WriteString(`"data":`)
	body.Write(data)
	if len(extensions) > 0 {
		body.WriteString(`,"extensions":`)
		body.Write(extensions)
	}
	body.WriteByte('}')
	return body.Bytes()
}
