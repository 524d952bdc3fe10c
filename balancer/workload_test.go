package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// respondFunc returns the result of an attempt on an endpoint and the time until the result arrives. A negative time
// means that the endpoint never responds.
type respondFunc func(endpoint string) (Result, time.Duration)

// workload sends requests at a constant rate to endpoints with scripted responses. The responses do not depend on the
// load.
type workload struct {
	*harness
	respond   respondFunc
	inFlight  []scriptedAttempt
	attempts  map[string]int     // number of attempts by endpoint
	answers   map[ActionKind]int // number of rejections and failures by kind
	succeeded int
	requests  int
}

// scriptedAttempt is an attempt in flight, with its result and the time at which the result is reported.
type scriptedAttempt struct {
	action     Action
	attempt    int
	sentAt     time.Duration
	finishesAt time.Duration
	result     Result
}

func newWorkload(t *testing.T, s Settings, respond respondFunc) *workload {
	t.Helper()
	return &workload{
		harness:  newHarness(t, s),
		respond:  respond,
		attempts: map[string]int{},
		answers:  map[ActionKind]int{},
	}
}

// carryOut performs the balancer's actions; attemptsOf counts the attempts of each request.
func (w *workload) carryOut(actions []Action, attemptsOf map[string]int) {
	for _, a := range actions {
		switch a.Kind {
		case Send:
			w.send(a, attemptsOf[a.ID])
			attemptsOf[a.ID]++
		case Cancel:
			w.cancel(a)
		case Reject, Fail:
			w.answers[a.Kind]++
		}
	}
}

func (w *workload) send(a Action, attempt int) {
	result, latency := w.respond(a.Endpoint)
	sent := scriptedAttempt{
		action:     a,
		attempt:    attempt,
		sentAt:     w.now,
		finishesAt: w.now + latency,
		result:     result,
	}
	if latency < 0 || latency > a.Timeout {
		sent.finishesAt, sent.result = w.now+a.Timeout, Timeout
	}
	w.attempts[a.Endpoint]++
	w.inFlight = append(w.inFlight, sent)
}

func (w *workload) cancel(a Action) {
	for i := range w.inFlight {
		if w.inFlight[i].action.ID == a.ID && w.inFlight[i].attempt == a.Attempt {
			w.inFlight[i].finishesAt, w.inFlight[i].result = w.now, Cancelled
		}
	}
}

// run sends requestsPerSecond, evenly spaced, for the duration d.
func (w *workload) run(d time.Duration, requestsPerSecond int) {
	attemptsOf := map[string]int{}
	class := w.b.settings.Classes[0]
	tick := w.b.settings.Tick
	due := 0.0
	for end := w.now + d; w.now < end; {
		w.now += tick
		w.carryOut(w.handle(TimerFired{}), attemptsOf)
		for due += float64(requestsPerSecond) * tick.Seconds(); due >= 1; due-- {
			w.requests++
			request := Request{
				ID:        fmt.Sprint("r", w.requests),
				Class:     class.Name,
				ExpiresAt: w.now + class.Deadline,
			}
			w.carryOut(w.handle(request), attemptsOf)
		}
		w.reportFinished(attemptsOf)
	}
}

// reportFinished reports the outcomes that are due. New attempts that follow from these outcomes are appended to
// inFlight and checked in the same call.
func (w *workload) reportFinished(attemptsOf map[string]int) {
	for i := 0; i < len(w.inFlight); i++ {
		finished := w.inFlight[i]
		if finished.finishesAt > w.now {
			continue
		}
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
		i--
		if finished.result == OK {
			w.succeeded++
		}
		outcome := Outcome{
			ID:       finished.action.ID,
			Attempt:  finished.attempt,
			Result:   finished.result,
			Elapsed:  w.now - finished.sentAt,
			Finished: finished.result == OK,
		}
		w.carryOut(w.handle(outcome), attemptsOf)
	}
}

func (w *workload) logged(text string) bool {
	return slices.ContainsFunc(w.logLines, func(line string) bool { return strings.Contains(line, text) })
}

func (w *workload) totalAttempts() (total int) {
	for _, n := range w.attempts {
		total += n
	}
	return total
}

// respondOK returns the response of a healthy endpoint.
func respondOK(string) (Result, time.Duration) { return OK, 20 * ms }
