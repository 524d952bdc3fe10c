package wire

import (
	"encoding/json"
	"fmt"

	"hazelwing/balancer"
)

// translate converts an event of the wire protocol to a balancer event. It returns nil if the verb or scope is unknown.
func (h *host) translate(e *event) balancer.Event {
	switch e.Verb {
	case verbEndpointUpdate:
		return h.endpointUpdate(e)
	case verbRequest:
		return request(e)
	case verbFirstByte:
		return balancer.FirstByte{ID: e.ID, Attempt: e.Attempt}
	case verbOutcome:
		return balancer.Outcome{
			ID:       e.ID,
			Attempt:  e.Attempt,
			Result:   result(e.Result),
			Elapsed:  Duration(e.ElapsedMs),
			Finished: e.Finished,
		}
	case verbClientDisconnected:
		return balancer.ClientDisconnected{ID: e.ID}
	case verbTimerFired:
		return balancer.TimerFired{}
	case verbProbeResult:
		return balancer.ProbeResult{
			Endpoint: e.Upstream,
			Result:   result(e.Result),
			Elapsed:  Duration(e.ElapsedMs),
			Load:     loadReport(e.Load),
		}
	case verbPeerMessage:
		return balancer.PeerMessage{From: e.From, Message: e.Message}
	}
	return nil
}

func (h *host) endpointUpdate(e *event) balancer.Event {
	switch e.Scope {
	case scopeDelta:
		return balancer.EndpointUpdate{Kind: balancer.Delta, Endpoints: h.tables[e.Table]}
	case scopeCompleteList:
		return balancer.EndpointUpdate{Kind: balancer.CompleteList, Endpoints: h.tables[e.Table]}
	case scopeCachedList:
		return balancer.EndpointUpdate{Kind: balancer.CachedList, Endpoints: h.tables[e.Table]}
	case scopeWatchFailed:
		return balancer.EndpointUpdate{Kind: balancer.WatchFailed}
	}
	return nil
}

func request(e *event) balancer.Request {
	r := balancer.Request{
		ID:          e.ID,
		Class:       e.Class,
		AffinityKey: e.AffinityKey,
		ExpiresAt:   Duration(e.ExpiresAtMs),
	}
	r.Tenant, _ = e.Tenant.(string)
	if e.Flags&flagExpectedWork != 0 {
		r.ExpectedWork = Duration(e.ExpectedWorkMs)
	}
	return r
}

// result converts a result code of the wire protocol. An unknown code counts as an error response, because the endpoint
// may have processed the request.
func result(code int) balancer.Result {
	switch code {
	case resultOK:
		return balancer.OK
	case resultOverloaded:
		return balancer.Overloaded
	case resultTimeout:
		return balancer.Timeout
	case resultConnectFailed:
		return balancer.ConnectFailed
	case resultReset:
		return balancer.Reset
	case resultCancelled:
		return balancer.Cancelled
	case resultNotSent:
		return balancer.NotSent
	}
	return balancer.ServerError
}

// loadReport converts a load report. If it has both keys for the requests in flight, the higher value counts.
func loadReport(values map[string]float64) balancer.LoadReport {
	inFlight, hasInFlight := values[reportInFlight]
	queueDepth, hasQueueDepth := values[reportQueueDepth]
	return balancer.LoadReport{
		Reported: hasInFlight || hasQueueDepth,
		InFlight: max(inFlight, queueDepth),
	}
}

func endpointsFrom(entries []entry) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, len(entries))
	for i, e := range entries {
		endpoints[i] = balancer.Endpoint{
			ID:        e.ID,
			Zone:      e.Zone,
			Kind:      e.Kind,
			Cell:      e.Cell,
			State:     endpointState(e.State),
			StartedAt: Duration(e.StartedAtMs),
		}
	}
	return endpoints
}

func endpointState(name string) balancer.EndpointState {
	switch name {
	case stateDraining:
		return balancer.Draining
	case stateRemoved:
		return balancer.Removed
	}
	return balancer.Active
}

// seedFrom converts a seed of the wire protocol, a signed or unsigned integer. For an integer that is out of range, it
// uses the nearest int64. It returns 0 if there is no seed.
func seedFrom(number json.Number) uint64 {
	var seed uint64
	if _, err := fmt.Sscan(number.String(), &seed); err == nil {
		return seed
	}
	signed, _ := number.Int64() // the nearest representable integer, or 0
	return uint64(signed)
}

// encode converts an action of an instance to the wire protocol.
func encode(instance int, a *balancer.Action) action {
	switch a.Kind {
	case balancer.Send:
		return action{
			Verb: verbSend, Instance: instance, ID: a.ID, Upstream: a.Endpoint, TimeoutMs: milliseconds(a.Timeout),
		}
	case balancer.Cancel:
		attempt := a.Attempt
		return action{Verb: verbCancel, Instance: instance, ID: a.ID, Attempt: &attempt}
	case balancer.Reject:
		return action{Verb: verbReject, Instance: instance, ID: a.ID, RetryAfterMs: milliseconds(a.RetryAfter)}
	case balancer.Fail:
		return action{Verb: verbFail, Instance: instance, ID: a.ID}
	case balancer.SetTimer:
		return action{Verb: verbSetTimer, Instance: instance, AtMs: milliseconds(a.At), Cookie: timerCookie}
	case balancer.Subscribe:
		return action{Verb: verbSubscribe, Instance: instance, Enable: true}
	case balancer.Probe:
		return action{Verb: verbProbe, Instance: instance, Upstream: a.Endpoint}
	case balancer.CloseIdle:
		return action{Verb: verbCloseIdle, Instance: instance, Upstream: a.Endpoint}
	case balancer.Log:
		return action{Verb: verbLog, Instance: instance, Text: logLine(a)}
	}
	panic(fmt.Sprintf("no wire form for action kind %d", a.Kind))
}

// logLine formats the text of a Log action, followed by its attributes.
func logLine(a *balancer.Action) string {
	line := a.Text
	for _, attribute := range a.Attributes {
		line += fmt.Sprintf(" %s=%v", attribute.Key, attribute.Value)
	}
	return line
}
