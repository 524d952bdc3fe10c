package engine

import (
	"time"

	"hazelwing/balancer"
)

// Outcome describes how an exchange ended.
type Outcome struct {
	// Result also determines whether the exchange may have run (see balancer.Result.MayHaveRun). Each transport
	// documents how it can tell that an exchange did not run.
	Result  balancer.Result
	Elapsed time.Duration // from the creation of the exchange to its end, or to the first part of a stream
	Answer  any           // answer for the client; nil if there is none
	// Final reports whether Answer is delivered to the client regardless of Result. It is set whenever Result is OK.
	Final bool
	Load  balancer.LoadReport // load report that came with the answer
	Err   error               // cause of the failure, if the exchange failed
	// Expired means that the Result is ConnectFailed because the exchange's timeout has ended.
	Expired bool
	// Refused means that the Result is ConnectFailed because nothing listens at the endpoint's address.
	Refused bool
}

// Exchange is one attempt or one probe.
type Exchange interface {
	// Run performs the exchange. It returns by its timeout, or soon after Cancel. The engine calls Run once, in its own
	// goroutine. For a stream, Run calls begin when the first part has arrived, and continues only if begin returns
	// true. The stream is then delivered to the client, the timeout no longer applies, and Run returns when the stream
	// has ended.
	Run(begin func(answer any) bool) Outcome
	// Cancel ends the exchange in any state. It does not block. The engine calls it from Run's goroutine, at any time
	// and possibly more than once.
	Cancel()
	// CancelUnsent ends the exchange if nothing has been written yet, and otherwise has no effect. It does not block.
	// It prevents an exchange from using a connection that is established after the call has its result.
	CancelUnsent()
}

// Transport communicates with the endpoints. The engine calls it from Run's goroutine only; none of its methods may
// block.
type Transport interface {
	// Update applies an update of the endpoint list: endpoints replace all known endpoints if complete is true, and are
	// merged into them otherwise. notifiedAt is when the update arrived. The transport starts no new write to a
	// draining or removed endpoint later than notifiedAt plus the drain grace of the settings.
	Update(complete bool, endpoints []Endpoint, notifiedAt time.Time)
	// Attempt prepares an attempt of c. It returns nil if the endpoint is unknown.
	Attempt(endpoint string, c *Call, timeout time.Duration) Exchange
	// Probe prepares a probe, whose Outcome includes a load report. It returns nil if the endpoint is unknown.
	Probe(endpoint string, timeout time.Duration) Exchange
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint string)
}
