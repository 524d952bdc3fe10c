// Package engine runs one balancer.Balancer. The engine owns the Balancer's clock and timer, the calls in flight and
// their attempts. It does no network I/O itself.
//
// The engine connects three kinds of components, each through a type or an interface of this package:
//
//   - a front passes a Call to Do and receives exactly one Result;
//   - a Transport prepares attempts and probes, each of which the engine runs as an Exchange;
//   - a Source delivers the endpoint list and its changes.
//
// A single goroutine, the one that calls Run, handles all events and never waits for a socket. Other goroutines queue
// events for it. The engine carries out the Balancer's actions in order and runs each exchange in its own goroutine.
// The engine guarantees to every front:
//
//   - Each Call gets exactly one Result, even if its attempts fail, its client disconnects or the engine stops.
//   - After a Call has its Result, no further attempt of the Call begins to write.
//   - Updates of the endpoint list are handled before all other queued events.
//   - A stall of this process is not mistaken for unresponsive endpoints.
//
// The endpoint list is called pushed if the engine watches it from the start, instead of from the Balancer's first
// Subscribe action on (see Config.Source).
//
// The Balancer decides which endpoint receives an attempt, whether to retry, and which calls to reject. The engine
// makes only the following decisions, each in one place:
//
//   - immediateResult (admission.go): which calls get their result without the Balancer
//   - Call.MayStart (call.go): whether an attempt that is ready to be written may still start
//   - awaitFirstUpdate (startup.go): how long the first calls wait for a pushed endpoint list
//   - handleWatchFailed (watch.go): when the engine reopens a failed watch of a pushed list
//   - keepDrains, applyFromPrevious and applyFromReplaced (sourcechange.go): which part of an update is applied while a
//     source or a watch is being replaced
//   - stalls (stall.go): how an outcome is attributed to its endpoint, and when timers fire, after a stall of this
//     process
//   - answerAllCalls (shutdown.go): which results the calls in flight get at shutdown
//
// A program creates an Engine with New, calls Run in a goroutine, and stops the engine by cancelling Run's context.
// Engines share no state.
package engine
