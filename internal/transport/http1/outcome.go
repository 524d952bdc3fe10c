package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
)

// What proves that a request never ran (the platform's protocol page) is all in this file: unsentResult, for a request
// that was not written completely, and resultFromResponse, for a response that says so.

// unsentResult is the result of an exchange whose request was not written completely; err is nil where it was not
// allowed to start.
func (x *exchange) unsentResult(err error) balancer.Result {
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return balancer.Cancelled
	case err == nil || errors.Is(err, errConnLimit) || errors.Is(err, errUnwritableRequest):
		return balancer.NotSent // not the upstream's fault
	}
	return balancer.ConnectFailed
}

// brokenResult is the result of an exchange whose request was written and whose response is incomplete or unusable. A
// response that came and cannot be used is an error of a process that is alive. This prevents such a process from being
// taken for dead: what corrupts its responses may do so with those of all upstreams.
func (x *exchange) brokenResult(err error) balancer.Result {
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

// outcomeFromResponse is the outcome of an exchange whose response was read completely.
func (x *exchange) outcomeFromResponse(resp *http.Response, body []byte) engine.Outcome {
	response := &httpmsg.Response{Status: resp.StatusCode, Header: httpmsg.EndToEndHeaders(resp.Header), Body: body}
	outcome := engine.Outcome{Result: resultFromResponse(resp), Answer: response}
	if outcome.Result == balancer.OK && x.checkResponse != nil {
		if err := x.checkResponse(response); err != nil { // the request has run, and its response is of no use
			return engine.Outcome{Result: balancer.ServerError, Err: err}
		}
	}
	outcome.Final = outcome.Result == balancer.OK || httpmsg.IsRequestError(response.Status)
	if x.isProbe {
		outcome.Load = loadReportFromResponse(response)
	}
	return outcome
}

// resultFromResponse is the result that a response's status and headers stand for.
func resultFromResponse(resp *http.Response) balancer.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(httpmsg.NotRunHeader) == "1" {
			return balancer.Overloaded
		}
	}
	if httpmsg.IsRequestError(resp.StatusCode) {
		return balancer.NotSent
	}
	return balancer.ServerError
}

// loadReportFromResponse reads the number of requests in an upstream from the response to a probe: the larger one of
// "inflight" and "queue". Reported is false where there is neither.
func loadReportFromResponse(r *httpmsg.Response) balancer.LoadReport {
	if r == nil || r.Status != http.StatusOK {
		return balancer.LoadReport{}
	}
	text := r.Header.Get(httpmsg.LoadHeader)
	if text == "" {
		text = string(r.Body)
	}
	const maxInFlight = 10000 // no upstream has more: a report that says so is corrupt
	var report balancer.LoadReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if name = strings.TrimSpace(name); name != "inflight" && name != "queue" {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(number >= 0 && number <= maxInFlight) { // not a number included
			continue
		}
		report.Reported = true
		report.InFlight = max(report.InFlight, number)
	}
	return report
}
