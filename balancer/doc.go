// Package balancer makes the decisions of a client-side load balancer that runs as a sidecar.
//
// The interface is in api.go: Settings, events in, actions out. A sidecar calls New once, then Handle for each event,
// and carries out the returned actions in order. The package does no I/O and reads no clock: events carry the time,
// and random numbers come from the seed that New is given. A Balancer is not safe for concurrent use; package engine
// calls it from one goroutine.
//
// # The rules
//
// Each rule has its own file. The file begins with a comment on what the rule decides, from which inputs in which
// units, and why; it also holds the constants of the rule. These files are the policy that deploy/balancer.toml names.
//
//	request.go          what happens next to a request: attempt, wait, final answer
//	deadline.go         objective and deadline of a request
//	firstattempt.go     which requests are client retries
//	weight.go           weight of a request by class, work and tenant
//	admission.go        which requests are shed on arrival
//	pressure.go         how close the requests in flight are to the limit
//	admissionlimits.go  adaptation of admission to late requests
//	pairadmission.go    which requests are shed because of the load of a probed pair
//	pick.go             which endpoint an attempt is sent to: the better of two random ones
//	load.go             measure by which endpoints are compared
//	zone.go             whether an attempt stays in the home zone
//	affinity.go         endpoints that serve an affinity key
//	probe.go            probes for the load of endpoints
//	subset.go           endpoints from which one sidecar draws pairs
//	retry.go            conditions for any attempt; budget of retries and hedges
//	idempotency.go      prevention of second effects; which requests may be rejected
//	hedge.go            when an attempt is overdue, and hedges
//	ejection.go         exclusion of failing endpoints
//	slowstart.go        load of endpoints that have just started
//	endpoints.go        the endpoint list
//	subscription.go     when to subscribe to the endpoint list
//	connections.go      when idle connections are closed
//	estimate.go         estimates of latencies and work from outcomes
//	balancer.go         the state, and the dispatch of events to the rules
//
// Latencies are in seconds. A normalized latency is divided by the expected work of the request relative to the mean
// request. All other files hold mechanisms that the rules use: timers, statistics, hashing, and the validation and
// replacement of settings.
//
// # Invariants
//
//   - Each request gets exactly one final answer in time: every request has a deadline timer (handleRequest, giveUp).
//   - No effect happens twice: every attempt passes mayAttempt, and every rejection passes mayReject.
//   - Draining endpoints get no new attempts, and endpoints that are warming up get no more than they can serve:
//     mayAttempt excludes endpoints that are not listed as active or whose budget is spent.
//   - Decisions do not depend on the names of zones, kinds, classes and tenants, only on whether names are equal.
package balancer
