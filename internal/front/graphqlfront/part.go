package graphqlfront

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

// noResponseInTime is the reason that clients see if a part of an idempotent class got no usable response, whether none
// came in time or the part failed.
const noResponseInTime = "no node answered this in time"

// runQueryPart executes a part of a query. If the part may be coalesced and an identical part is in flight, it waits
// for the outcome of that part instead.
func (x *execution) runQueryPart(ctx context.Context, part *plan.Part) plan.Outcome {
	for part.Coalesce && !x.isDisconnected(ctx) {
		expiresAt := x.partExpiry(part)
		run := func(ctx context.Context, abandoned func() bool) (plan.Outcome, bool) {
			flightExecution := *x // a copy, because the flight must not end when only the first client disconnects
			flightExecution.clientDisconnected = abandoned
			return flightExecution.runPart(ctx, part)
		}
		key := flightKey(part, x.header)
		//nolint:contextcheck // a flight may outlive the request that starts it
		joined, isShared := x.server.flights.join(key, expiresAt, x.clientDisconnected, run)
		if joined == nil {
			break
		}
		if isShared {
			x.server.coalescedParts.Add(1)
		}
		if outcome, ok := joined.wait(ctx, expiresAt); ok {
			return outcome
		}
	}
	outcome, _ := x.runPart(ctx, part)
	return outcome
}

// partExpiry returns the time at which a part expires if it is sent now.
func (x *execution) partExpiry(part *plan.Part) time.Time {
	if part.Deadline > 0 {
		if expiresAt := time.Now().Add(part.Deadline); expiresAt.Before(x.expiresAt) {
			return expiresAt
		}
	}
	return x.expiresAt
}

// runPart executes a part as one call. disconnected reports whether the call ended because its client had disconnected.
func (x *execution) runPart(ctx context.Context, part *plan.Part) (outcome plan.Outcome, disconnected bool) {
	s := x.server
	select {
	case s.partSlots <- struct{}{}:
		defer func() { <-s.partSlots }()
	default:
		return x.outcomeWithoutSlot(part), false
	}
	s.parts.Add(1)
	result := s.config.Doer.Do(ctx, x.newCall(part))
	return s.outcomeOf(part, result), result.Kind == engine.Disconnected
}

// outcomeWithoutSlot returns the outcome of a part that is not executed because there are too many parts in flight.
func (x *execution) outcomeWithoutSlot(part *plan.Part) plan.Outcome {
	s := x.server
	if !engine.MayReject(s.config.Doer, x.newCall(part)) {
		s.unknownParts.Add(1)
		const reason = "too much is in hand; an earlier request with this key may have run"
		return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: reason}
	}
	s.rejectedParts.Add(1)
	const reason = "refused: too much is in hand; trying again is harmless"
	return plan.Outcome{Kind: plan.OutcomeRejected, Reason: reason}
}

// newCall returns the call for a part.
func (x *execution) newCall(part *plan.Part) *engine.Call {
	s := x.server
	id := s.requestIDPrefix + strconv.FormatUint(s.lastRequestID.Add(1), 36)
	header := x.header.Clone()
	header.Set("Content-Type", jsonMediaType)
	header.Set("Accept", graphqlMediaType+", "+jsonMediaType+";q=0.9")
	header.Set(httpmsg.RequestIDHeader, id)
	header.Set(httpmsg.ClassHeader, part.Class)
	if part.IdempotencyKey != "" {
		header.Set(httpmsg.IdempotencyKeyHeader, part.IdempotencyKey)
	}
	return &engine.Call{
		ID:             id,
		Class:          part.Class,
		Tenant:         x.tenant,
		AffinityKey:    part.AffinityKey,
		IdempotencyKey: part.IdempotencyKey,
		ExpectedWork:   part.ExpectedWork,
		ExpiresAt:      x.partExpiry(part),
		Disconnected:   x.clientDisconnected,
		Payload: &httpmsg.Request{
			Method: http.MethodPost,
			URI:    s.config.EndpointPath,
			Host:   x.host,
			Header: header,
			Body:   part.Body,
			// The transport calls Check for each response with status 200, so that an invalid response counts as a
			// fault of the endpoint.
			Check: func(response *httpmsg.Response) error {
				parsed, err := part.ParseResponse(response.Body)
				response.Value = parsed
				return err
			},
		},
	}
}

// outcomeOf returns the outcome of a part whose call had the given result.
func (s *Server) outcomeOf(part *plan.Part, result engine.Result) plan.Outcome {
	switch result.Kind {
	case engine.Served:
		if response, ok := result.Answer.(*httpmsg.Response); ok {
			if outcome, ok := outcomeOfResponse(part, response); ok {
				return outcome
			}
		}
	case engine.Rejected:
		s.rejectedParts.Add(1)
		return plan.Outcome{
			Kind:       plan.OutcomeRejected,
			RetryAfter: result.RetryAfter,
			Reason:     "refused: nothing ran; trying again is harmless",
		}
	}
	s.unknownParts.Add(1)
	if part.Effect == balancer.Idempotent {
		return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: noResponseInTime}
	}
	return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: "no answer: it may have run"}
}

// outcomeOfResponse returns the outcome of a part for which an endpoint sent the given response. It returns false if
// the response is invalid.
func outcomeOfResponse(part *plan.Part, response *httpmsg.Response) (plan.Outcome, bool) {
	parsed, isChecked := response.Value.(*plan.EndpointResponse)
	var err error
	if !isChecked { // Check is not called unless the status is 200
		parsed, err = part.ParseResponse(response.Body)
	}
	switch {
	case err == nil && parsed.Executed():
		return plan.Outcome{Kind: plan.OutcomeExecuted, Response: parsed}, true
	case err == nil:
		return plan.Outcome{Kind: plan.OutcomeEndpointRejected, Response: parsed}, true
	case response.Status != http.StatusOK: // rejected by the status instead of by a GraphQL error
		message := fmt.Sprintf("a node turned it down with status %d", response.Status)
		return plan.Outcome{Kind: plan.OutcomeEndpointRejected, Response: part.RejectedResponse(message)}, true
	}
	return plan.Outcome{}, false
}
