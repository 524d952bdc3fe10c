package plan

import "time"

// OutcomeKind is how the request for a part ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	// OutcomeExecuted means that an endpoint responded and executed the part, whether or not its fields have errors.
	OutcomeExecuted OutcomeKind = iota
	// OutcomeEndpointRejected means that an endpoint responded and executed nothing.
	OutcomeEndpointRejected
	// OutcomeRejected means that the request was rejected before any endpoint executed it.
	OutcomeRejected
	// OutcomeNotStarted means that the request was not sent.
	OutcomeNotStarted
	// OutcomeUnknown means that the part may or may not have been executed.
	OutcomeUnknown
)

// Outcome is the result of the request for a part.
type Outcome struct {
	Kind       OutcomeKind
	Response   *EndpointResponse // set for OutcomeExecuted and OutcomeEndpointRejected
	RetryAfter time.Duration     // for OutcomeRejected: how long to wait before a retry; 0 if unknown
	Reason     string            // the error message for the client if there is no Response
}

// MayContinueAfter reports whether the next part may be sent after a part with the given outcome. The next part may be
// sent only if the outcome has a response whose data is not null. Such a response shows that the part was executed and
// that no null propagated to the root of its data.
func (p *Plan) MayContinueAfter(outcome Outcome) bool {
	return outcome.Kind == OutcomeExecuted && outcome.Response.values != nil
}
