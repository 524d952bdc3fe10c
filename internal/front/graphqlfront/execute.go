package graphqlfront

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/front/clientconn"
	"hazelwing/internal/graphql/plan"
	"hazelwing/internal/httpmsg"
)

// job is one HTTP request while it is carried out.
type job struct {
	s       *Server
	request *http.Request
	header  http.Header // that goes on to nodes
	expires time.Time
	left    func() bool // looks whether its client has gone, sooner than the request's context may tell
}

// carryOut plans all requests of a batch, carries them out at the same time, and answers.
func (s *Server) carryOut(r *http.Request, list []params, batch bool, kind string, expires time.Time) answer {
	client := clientconn.FromRequest(r)
	client.BeginRequest()
	j := &job{s: s, request: r, header: onward(r.Header), expires: expires, left: client.Disconnected}
	key := r.Header.Get(httpmsg.IdempotencyKeyHeader)
	plans := make([]*plan.Plan, len(list))
	faults := make([][]*plan.Error, len(list))
	effects := map[string]bool{}
	for i := range list {
		own := key
		if own != "" && batch {
			own += "/" + strconv.Itoa(i)
		}
		if plans[i], faults[i] = s.plan(r, &list[i], own); len(faults[i]) > 0 {
			continue
		}
		s.count.operations.Add(1)
		for _, p := range plans[i].Parts {
			effect := p.Class + " " + p.IdempotencyKey
			if p.Effect == balancer.Idempotent || p.IdempotencyKey == "" {
				continue
			}
			if effects[effect] {
				plans[i], faults[i] = nil, []*plan.Error{plan.NewError(plan.CodeDuplicateKey, "another request of the batch has the same key: only one could run")}
				break
			}
			effects[effect] = true
		}
	}
	responses := make([]plan.Response, len(list))
	var all sync.WaitGroup
	for i := range list {
		if plans[i] == nil {
			responses[i].Body = plan.ErrorResponse(faults[i]...)
			continue
		}
		all.Go(func() { responses[i] = j.run(plans[i]) })
	}
	all.Wait()
	if j.gone() {
		return answer{}
	}
	a := answer{status: http.StatusOK, media: kind, body: responses[0].Body}
	refused := true
	for _, x := range responses {
		refused = refused && x.Rejected
		a.retryIn = max(a.retryIn, x.RetryAfter)
	}
	switch {
	case refused: // nothing ran: trying again is harmless, and the status says so to all on the way
		a.status = http.StatusServiceUnavailable
	case !batch && plans[0] == nil:
		a.status = statusOf(kind, faults[0][0])
		if a.status == http.StatusMethodNotAllowed {
			a.allow = "POST"
		}
	}
	if batch {
		bodies := make([][]byte, len(list))
		for i, x := range responses {
			bodies[i] = x.Body
		}
		a.body = append(append([]byte{'['}, bytes.Join(bodies, []byte(","))...), ']')
	}
	return a
}

// own are headers that a part has of its own.
var own = []string{"Accept", "Accept-Encoding", "Content-Type", "Content-Length", httpmsg.RequestIDHeader, httpmsg.ClassHeader, httpmsg.IdempotencyKeyHeader, httpmsg.DeadlineHeader}

func onward(h http.Header) http.Header {
	out := httpmsg.EndToEndHeaders(h)
	for _, name := range own {
		out.Del(name)
	}
	return out
}

// gone says that the client has left, as far as can be told now.
func (j *job) gone() bool { return j.request.Context().Err() != nil || j.left() }

// run carries out a plan.
func (j *job) run(p *plan.Plan) plan.Response {
	outcomes := make([]plan.Outcome, len(p.Parts))
	if !p.Serial {
		var all sync.WaitGroup
		for i, part := range p.Parts {
			all.Go(func() { outcomes[i] = j.query(part) })
		}
		all.Wait()
		return p.Merge(outcomes)
	}
	goes := true
	for i, part := range p.Parts {
		if !goes || j.gone() || time.Until(j.expires) <= 0 {
			outcomes[i] = plan.Outcome{Kind: plan.OutcomeNotStarted, Reason: "not started: the mutation before it did not end well, or the time is up"}
			goes = false
			continue
		}
		outcomes[i], _ = j.part(part)
		goes = p.MayContinueAfter(outcomes[i])
	}
	return p.Merge(outcomes)
}

// query carries out a part of a query, or takes the answer of one like it that is in flight.
func (j *job) query(p *plan.Part) plan.Outcome {
	for p.Coalesce && !j.gone() {
		expires := j.partExpires(p)
		x, shared := j.s.flights.join(flightKey(p, j.header), expires, j.left, func(ctx context.Context, left func() bool) (plan.Outcome, bool) {
			all := *j // whoever asked first may leave: the others wait for it
			all.request, all.left = j.request.WithContext(ctx), left
			return all.part(p)
		})
		if x == nil {
			break
		}
		if shared {
			j.s.count.shared.Add(1)
		}
		if outcome, ok := x.wait(j.request.Context(), expires); ok {
			return outcome
		}
	}
	outcome, _ := j.part(p)
	return outcome
}

// partExpires is when a part's answer is of no more use.
func (j *job) partExpires(p *plan.Part) time.Time {
	if p.Deadline > 0 {
		if t := time.Now().Add(p.Deadline); t.Before(j.expires) {
			return t
		}
	}
	return j.expires
}

// part makes one call of a part; left says that it ended since its client had left.
func (j *job) part(p *plan.Part) (outcome plan.Outcome, left bool) {
	s := j.s
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		s.count.refused.Add(1)
		return plan.Outcome{Kind: plan.OutcomeRejected, Reason: "refused: too much is in hand; trying again is harmless"}, false
	}
	s.count.parts.Add(1)
	id := s.prefix + strconv.FormatUint(s.last.Add(1), 36)
	header := j.header.Clone()
	header.Set("Content-Type", jsonMedia)
	header.Set("Accept", respMedia+", "+jsonMedia+";q=0.9")
	header.Set(httpmsg.RequestIDHeader, id)
	header.Set(httpmsg.ClassHeader, p.Class)
	if p.IdempotencyKey != "" {
		header.Set(httpmsg.IdempotencyKeyHeader, p.IdempotencyKey)
	}
	c := &engine.Call{ID: id, Class: p.Class, Tenant: j.request.Header.Get(httpmsg.TenantHeader), AffinityKey: p.AffinityKey, IdempotencyKey: p.IdempotencyKey, ExpectedWork: p.ExpectedWork,
		ExpiresAt: j.partExpires(p), Disconnected: j.left,
		Payload: &httpmsg.Request{Method: http.MethodPost, URI: s.cfg.Node, Host: j.request.Host, Header: header, Body: p.Body,
			Check: func(a *httpmsg.Response) error {
				read, err := p.ParseResponse(a.Body)
				a.Value = read
				return err
			}}}
	r := s.cfg.Doer.Do(j.request.Context(), c)
	return s.outcome(p, r), r.Kind == engine.Disconnected
}

// outcome says what a result means for a part.
func (s *Server) outcome(p *plan.Part, r engine.Result) plan.Outcome {
	switch r.Kind {
	case engine.Served:
		a := r.Answer.(*httpmsg.Response)
		read, ok := a.Value.(*plan.NodeResponse)
		var err error
		if !ok { // only answers with status 200 are checked
			read, err = p.ParseResponse(a.Body)
		}
		switch {
		case err == nil && read.Executed():
			return plan.Outcome{Kind: plan.OutcomeExecuted, Response: read}
		case err == nil:
			return plan.Outcome{Kind: plan.OutcomeNodeRejected, Response: read}
		case a.Status != http.StatusOK: // it blames the request, in words that are not GraphQL's
			return plan.Outcome{Kind: plan.OutcomeNodeRejected, Response: p.RejectedResponse(fmt.Sprintf("a node turned it down with status %d", a.Status))}
		}
	case engine.Rejected:
		s.count.refused.Add(1)
		return plan.Outcome{Kind: plan.OutcomeRejected, RetryAfter: r.RetryAfter, Reason: "refused: nothing ran; trying again is harmless"}
	}
	s.count.mayHaveRun.Add(1)
	if p.Effect == balancer.Idempotent {
		return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: "no node answered this in time"}
	}
	return plan.Outcome{Kind: plan.OutcomeUnknown, Reason: "no answer: it may have run"}
}
