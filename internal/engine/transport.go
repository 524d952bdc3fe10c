package engine

import (
	"time"

	"hazelwing/balancer"
)

// Outcome is how an exchange ended.
type Outcome struct {
	// Result says whether the exchange may have run (see balancer.Result.MayHaveRun). Each transport lists what
	// proves to it that one did not.
	Result  balancer.Result
	Elapsed time.Duration // from when it was asked for to its end; of a stream, to its beginning
	Answer  any           // nil: nothing that a client could be given
	// Final says that Answer is for the client, whatever Result says of the endpoint. It is set where Result is OK.
	Final bool
	Load  balancer.LoadReport // that came with the answer
	Err   error               // why it ended so, if it was not served
}

// Exchange is one attempt or one probe.
type Exchange interface {
	// Run carries the exchange out and returns by its timeout, or soon after Cancel. The engine calls it once, in a
	// goroutine of its own. Of a stream, Run calls begin when its first part has come, and goes on only if begin
	// returns true: then the answer is the client's, the timeout no longer counts, and Run returns when the stream
	// has ended.
	Run(begin func(answer any) bool) Outcome
	// Cancel ends the exchange, whatever it is doing. It does not block. The engine may call it at any time and more
	// than once, from Run's goroutine.
	Cancel()
	// CancelUnsent ends the exchange if nothing of it has been written yet, and lets it go on otherwise. It does not
	// block. It prevents a connection that comes up after the call's result from being used for nothing.
	CancelUnsent()
}

// Transport reaches the endpoints. The engine calls it from Run's goroutine only; none of its methods may block.
type Transport interface {
	// Update follows the endpoint list: endpoints replace the known ones if complete, and change them otherwise.
	// notifiedAt is when the update came: an endpoint that is draining or removed is written nothing new from the
	// drain grace of the settings after it on, at the latest.
	Update(complete bool, endpoints []Endpoint, notifiedAt time.Time)
	// Attempt prepares an attempt of c; nil says that the endpoint is not known.
	Attempt(endpoint string, c *Call, timeout time.Duration) Exchange
	// Probe prepares a probe, whose Outcome has its Load; nil says that the endpoint is not known.
	Probe(endpoint string, timeout time.Duration) Exchange
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint string)
}
