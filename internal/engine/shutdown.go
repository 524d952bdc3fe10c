package engine

// shutDown answers all calls in flight and waits for every exchange to end. From then on, the engine does not call the
// Balancer.
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
// Failed, which promises nothing.
//
// Guard: prevents a client that retries after a rejection from causing its effect twice, if an earlier call with the
// same key has made attempts. With a ledger, this holds because PriorAttempts lists all attempts that the ledger knows
// and that may have run. Without a ledger, PriorAttempts is empty, and a rejection means only that this call did not
// run.
func (e *Engine) answerAllCalls() {
	for _, c := range e.calls {
		result := Result{Kind: Failed, Answer: c.lastAnswer, Err: errClosed}
		if len(c.attempts) == 0 && len(c.PriorAttempts) == 0 {
			result = Result{Kind: Rejected, Err: errClosed}
		}
		e.reply(c, result)
		c.cancelAttempts()
	}
}
