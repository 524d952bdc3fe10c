// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar.
//
// The interface is in api.go: Settings, events in, actions out. A sidecar calls New once, then Handle for each event,
// and carries out the returned actions in order. The package does no I/O and reads no clock: events carry the time,
// and random numbers come from the seed that New is given. A Balancer is not safe for concurrent use; package engine
// calls it from one goroutine.
//
// # The path of a request
//
// Admission control may reject a request (admission.go). Otherwise the picker takes the one with the lower load of
// two random ready endpoints, where the load is peak-EWMA latency × (outstanding attempts + 1) (pick.go, probe.go,
// subset.go), and an attempt is sent (request.go). An outcome, a timer or a hedge moves the request on (retry.go,
// hedge.go); an answer, or giveUp, ends it. Endpoints that fail are ejected (ejection.go), those that have just
// started are spared (slowstart.go), and the endpoint list decides which exist (endpoints.go). What outcomes teach is
// in estimate.go. Latencies are in seconds and normalized: divided by the work that is expected of the request,
// relative to the mean request.
//
// These files are the policy that deploy/balancer.toml names. State, statistics, timers and the validation of
// settings are in files of their own.
//
// # Invariants
//
//   - Each request gets one final answer in time: every request has a deadline timer (handleRequest, giveUp).
//   - No effect happens twice: every attempt passes mayAttempt, and every rejection passes mayReject.
//   - Draining endpoints get no new attempts, and endpoints that are warming up no more than they can serve:
//     mayAttempt turns down endpoints that the list does not show as active or whose budget is spent.
//   - Decisions do not depend on names, only on their equality.
package balancer
