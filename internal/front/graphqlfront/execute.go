package graphqlfront

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/vektah/gqlparser/v2/ast"

	"hazelwing/balancer"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

// execution is the state of an HTTP request while it is executed.
type execution struct {
	server    *Server
	host      string
	tenant    string
	header    http.Header // headers of the requests to endpoints, except partHeaders
	expiresAt time.Time
	// clientDisconnected reports whether the client has disconnected, or whether that cannot be determined. It may
	// detect this before the request's context ends.
	clientDisconnected func() bool
}

// plannedOperation is the plan of an operation, or the errors that prevent its execution.
type plannedOperation struct {
	plan *plan.Plan // nil if there are errors
	errs []*plan.Error
}

// execute plans all operations of a request, executes them concurrently, and returns the reply.
func (s *Server) execute(r *http.Request, parsed request, mediaType string) reply {
	client := clientconn.FromRequest(r)
	client.BeginRequest()
	x := &execution{
		server:             s,
		host:               r.Host,
		tenant:             r.Header.Get(httpmsg.TenantHeader),
		header:             forwardedHeader(r.Header),
		expiresAt:          parsed.expiresAt,
		clientDisconnected: client.MayHaveLeft,
	}
	operations := s.planOperations(r, parsed)
	if slices.ContainsFunc(operations, func(o plannedOperation) bool { return o.plan != nil }) {
		client.Forwarded()
	}
	responses := x.runOperations(r.Context(), operations)
	if r.Context().Err() != nil || client.Disconnected() {
		return reply{}
	}
	return newReply(mediaType, parsed.isBatch, operations, responses)
}

// partHeaders are the headers of a client's request that are not forwarded. They are set for each part separately, or
// are left out.
var partHeaders = []string{
	"Accept",
	"Accept-Encoding",
	"Content-Type",
	"Content-Length",
	httpmsg.RequestIDHeader,
	httpmsg.ClassHeader,
	httpmsg.IdempotencyKeyHeader,
	httpmsg.DeadlineHeader,
}

// forwardedHeader returns the headers of a request that are forwarded to endpoints.
func forwardedHeader(header http.Header) http.Header {
	forwarded := httpmsg.EndToEndHeaders(header)
	for _, name := range partHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// planOperations plans the operations of a request. Two parts of a batch that have an effect must not share their class
// and idempotency key, because the second would be treated as a duplicate of the first.
func (s *Server) planOperations(r *http.Request, parsed request) []plannedOperation {
	requestKey := r.Header.Get(httpmsg.IdempotencyKeyHeader)
	operations := make([]plannedOperation, len(parsed.operations))
	effects := map[string]bool{}
	for i := range parsed.operations {
		key := requestKey
		if key != "" && parsed.isBatch {
			key += "/" + strconv.Itoa(i)
		}
		p, errs := s.planOperation(r.Method, &parsed.operations[i], key)
		if len(errs) > 0 {
			operations[i].errs = errs
			continue
		}
		s.operations.Add(1)
		if !addEffects(effects, p) {
			const message = "another request of the batch has the same key: only one could run"
			operations[i].errs = []*plan.Error{plan.NewError(plan.CodeDuplicateKey, message)}
			continue
		}
		operations[i].plan = p
	}
	return operations
}

// addEffects adds the effects of a plan's parts to effects, and returns false at the first one that was already in
// effects. Parts that are idempotent or have no key are skipped. An effect is identified by the class and the
// idempotency key of the part.
func addEffects(effects map[string]bool, p *plan.Plan) bool {
	for _, part := range p.Parts {
		if part.Effect == balancer.Idempotent || part.IdempotencyKey == "" {
			continue
		}
		effect := part.Class + " " + part.IdempotencyKey
		if effects[effect] {
			return false
		}
		effects[effect] = true
	}
	return true
}

// planOperation plans one operation. Mutations are allowed only in POST requests.
func (s *Server) planOperation(method string, p *params, key string) (*plan.Plan, []*plan.Error) {
	document, errs := s.document(p)
	if len(errs) > 0 {
		return nil, errs
	}
	if method != http.MethodPost {
		operationType, err := document.OperationType(p.OperationName)
		if err == nil && operationType != ast.Query {
			err = plan.NewError(codeMethodNotAllowed, "a GET carries queries only")
		}
		if err != nil {
			return nil, []*plan.Error{err}
		}
	}
	planned, err := document.Plan(p.OperationName, p.Variables, key)
	if err != nil {
		return nil, []*plan.Error{err}
	}
	return planned, nil
}

// runOperations executes operations concurrently and returns their responses.
func (x *execution) runOperations(ctx context.Context, operations []plannedOperation) []plan.Response {
	responses := make([]plan.Response, len(operations))
	var running sync.WaitGroup
	for i, operation := range operations {
		if operation.plan == nil {
			responses[i].Body = plan.ErrorResponse(operation.errs...)
			continue
		}
		running.Go(func() { responses[i] = x.runPlan(ctx, operation.plan) })
	}
	running.Wait()
	return responses
}

// runPlan executes the parts of a plan, serially for a mutation and concurrently for a query.
func (x *execution) runPlan(ctx context.Context, p *plan.Plan) plan.Response {
	if p.Serial {
		return p.Merge(x.runSerially(ctx, p))
	}
	outcomes := make([]plan.Outcome, len(p.Parts))
	var running sync.WaitGroup
	for i, part := range p.Parts {
		running.Go(func() { outcomes[i] = x.runQueryPart(ctx, part) })
	}
	running.Wait()
	return p.Merge(outcomes)
}

// runSerially executes the parts of a mutation one after the other. A part starts only if the part before it ended
// well, the request has not expired and the client is connected.
//
// Guard: prevents a mutation from being sent for a client that disconnected during the mutation before it. The symptom
// is an effect that no client learns of. This holds because the connection itself is checked, not only the request's
// context.
func (x *execution) runSerially(ctx context.Context, p *plan.Plan) []plan.Outcome {
	outcomes := make([]plan.Outcome, len(p.Parts))
	mayContinue := true
	for i, part := range p.Parts {
		if !mayContinue || x.isDisconnected(ctx) || time.Until(x.expiresAt) <= 0 {
			outcomes[i] = plan.Outcome{
				Kind:   plan.OutcomeNotStarted,
				Reason: "not started: the mutation before it did not end well, or the time is up",
			}
			mayContinue = false
			continue
		}
		outcomes[i], _ = x.runPart(ctx, part)
		mayContinue = p.MayContinueAfter(outcomes[i])
	}
	return outcomes
}

// isDisconnected reports whether the client is known to have disconnected.
func (x *execution) isDisconnected(ctx context.Context) bool {
	return ctx.Err() != nil || x.clientDisconnected()
}

// newReply returns the reply that contains the responses to all operations.
func newReply(mediaType string, isBatch bool, operations []plannedOperation, responses []plan.Response) reply {
	r := reply{status: http.StatusOK, mediaType: mediaType, body: responses[0].Body}
	isRejected := true
	for _, response := range responses {
		isRejected = isRejected && response.Rejected
		r.retryAfter = max(r.retryAfter, response.RetryAfter)
	}
	switch {
	case isRejected:
		// No part ran, so a retry is safe. The status also tells this to the proxies between this front and the client.
		r.status = http.StatusServiceUnavailable
	case !isBatch && operations[0].plan == nil:
		r.status = errorStatus(mediaType, operations[0].errs[0])
		if r.status == http.StatusMethodNotAllowed {
			r.allow = http.MethodPost
		}
	}
	if isBatch {
		r.body = joinBatch(responses)
	}
	return r
}

// errorStatus returns the status of the response to an operation that was not executed. For application/json it is 200
// if the request could be read as a GraphQL request and its method was allowed.
func errorStatus(mediaType string, err *plan.Error) int {
	code := err.Code()
	if code == codeMethodNotAllowed {
		return http.StatusMethodNotAllowed
	}
	if mediaType == jsonMediaType {
		return http.StatusOK
	}
	switch code {
	case plan.CodeValidationFailed,
		plan.CodeBadInput,
		plan.CodeIntrospectionDisabled,
		plan.CodeKeyMissing,
		plan.CodeDuplicateKey:
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadRequest
}

// joinBatch returns a JSON array of responses.
func joinBatch(responses []plan.Response) []byte {
	bodies := make([][]byte, len(responses))
	for i, response := range responses {
		bodies[i] = response.Body
	}
	return append(append([]byte{'['}, bytes.Join(bodies, []byte(","))...), ']')
}
