package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
)

// Only two functions, both in this file, decide that a request never ran, by the rules of the platform's protocol page:
// unsentResult, for a request that was not written completely, and resultFromResponse, for a response that says so.
// They also return results that do not prove this; balancer.Result.MayHaveRun returns true for these.

// unsentResult returns the result of an exchange whose request was not written completely. err is nil if the exchange
// was not allowed to start. NotSent and ConnectFailed prove that the request never ran. A cancelled exchange has
// the result Cancelled. For Cancelled, MayHaveRun returns true, although this request never ran; this errs on the safe
// side.
func (x *exchange) unsentResult(err error) balancer.Result {
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case err == nil || errors.Is(err, errConnLimit) || errors.Is(err, errReuseDelay) ||
		errors.Is(err, errUnwritableRequest):
		return balancer.NotSent // not the endpoint's fault
	}
	return balancer.ConnectFailed
}

// brokenResult returns the result of an exchange whose request was written and whose response is incomplete or
// unusable. It is Cancelled or Timeout if the context has ended, Reset if the connection has ended, and ServerError
// otherwise. It is Cancelled, too, if this process had no memory for the response, which is not the endpoint's fault. A
// response that arrived but is unusable comes from a live process. Counting it as ServerError prevents the
// process from being considered dead. Otherwise, a fault that corrupts the responses of all endpoints would make all of
// them appear dead.
func (x *exchange) brokenResult(err error) balancer.Result {
	if errors.Is(err, errNoMemory) {
		return balancer.Cancelled
	}
	switch x.ctx.Err() {
	case context.Canceled:
		return balancer.Cancelled
	case context.DeadlineExceeded:
		return balancer.Timeout
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return balancer.Reset
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && !opErr.Timeout() {
		return balancer.Reset
	}
	return balancer.ServerError
}

// outcomeFromResponse returns the outcome of an exchange whose response was read completely.
func (x *exchange) outcomeFromResponse(resp *http.Response, body []byte) engine.Outcome {
	response := &httpmsg.Response{
		Status: resp.StatusCode,
		Header: httpmsg.EndToEndHeaders(resp.Header),
		Body:   body,
		Memory: x.responseMemory,
	}
	outcome := engine.Outcome{Result: resultFromResponse(resp), Answer: response}
	if outcome.Result == balancer.OK && x.checkResponse != nil {
		if err := x.checkResponse(response); err != nil { // the request has run, but its response is unusable
			return engine.Outcome{Result: balancer.ServerError, Err: fmt.Errorf("invalid response: %w", err)}
		}
	}
	outcome.Final = outcome.Result == balancer.OK || httpmsg.IsRequestError(response.Status)
	if x.isProbe {
		outcome.Load = loadReportFromResponse(response)
	}
	return outcome
}

// resultFromResponse returns the result that a response's status and headers stand for:
//
//   - OK for status 200
//   - Overloaded for a 503 or 504 with the header X-Not-Run: 1, which proves that the request never ran
//   - NotSent for a status of httpmsg.IsRequestError: the request was sent, but the endpoint rejected it as invalid
//     without running it, as any other endpoint would
//   - ServerError for any other status: the request may have run
//
// A 503 without the header does not prove that the request never ran. If it counted as a rejection, a non-idempotent
// request could run twice.
func resultFromResponse(resp *http.Response) balancer.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(httpmsg.NotExecutedHeader) == "1" {
			return balancer.Overloaded
		}
	}
	if httpmsg.IsRequestError(resp.StatusCode) {
		return balancer.NotSent
	}
	return balancer.ServerError
}

// maxReportedInFlight is the highest number of requests in flight that a load report may contain. A report with a
// higher number is considered corrupt. With a higher limit, a corrupt report may keep requests away from a healthy
// endpoint.
const maxReportedInFlight = 10_000

// loadReportFromResponse returns the load report in the response to a probe. The number of requests in flight is the
// larger one of the values "inflight" and "queue". Reported is false if neither has a valid value.
func loadReportFromResponse(r *httpmsg.Response) balancer.LoadReport {
	if r == nil || r.Status != http.StatusOK {
		return balancer.LoadReport{}
	}
	text := r.Header.Get(httpmsg.LoadHeader)
	if text == "" {
		text = string(r.Body)
	}
	var report balancer.LoadReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if name = strings.TrimSpace(name); name != "inflight" && name != "queue" {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(number >= 0 && number <= maxReportedInFlight) { // both comparisons are false for NaN
			continue
		}
		report.Reported = true
		report.InFlight = max(report.InFlight, number)
	}
	return report
}
