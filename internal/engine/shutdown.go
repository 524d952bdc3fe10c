package engine

import "hazelwing/balancer"

// shutDown answers all calls in flight and waits for every exchange to end. It sets stopping first, after which the
// engine does not call the Balancer.
func (e *Engine) shutDown() {
	e.stopping = true
	e.watch.close()
	e.previousWatch.close()
	e.answerAllCalls()
	for e.exchangesInFlight > 0 {
		select {
		case <-e.updates:
		case v := <-e.events:
			v.handle(e)
		}
	}
}

// answerAllCalls decides the results of the calls in flight at shutdown. A call is Rejected, which promises that a
// retry is safe, only if no attempt was started by this call or by an earlier one for the same effect. Otherwise it is
// Failed, which does not promise that a retry is safe.
//
// Guard: prevents a client that retries after a rejection from causing its effect twice, if an earlier call with the
// same key has made attempts. With idempotency records, this holds because PriorAttempts lists all recorded attempts
// that may have run. Without them, PriorAttempts is empty, and a rejection means only that this call did not run.
func (e *Engine) answerAllCalls() {
	for _, c := range e.calls {
		result := Result{Kind: Failed, Answer: c.lastAnswer, Err: errClosed}
		if len(c.attempts) == 0 && len(c.PriorAttempts) == 0 {
			result = Result{Kind: Rejected, Err: errClosed}
		}
		e.reply(c, result, balancer.NoReason)
		c.cancelAttempts()
	}
}
