package httpfront

import (
	"net/http"
	"strconv"
	"time"

	"hazelwing/internal/engine"
	"hazelwing/internal/httpmsg"
)

// responseFromResult returns the response for the result of a call.
//
// Guard: prevents the empty 200 that net/http sends if a handler writes nothing. A client that has closed only its
// sending half would mistake it for a success. This holds because a call whose client has disconnected also gets a
// response, a 504.
func responseFromResult(r engine.Result) httpmsg.Response {
	switch r.Kind {
	case engine.Served:
		if response, ok := r.Answer.(*httpmsg.Response); ok {
			return *response
		}
	case engine.Rejected:
		return rejectedResponse(r.RetryAfter)
	case engine.Duplicate:
		return plainText(http.StatusBadRequest, "a request with this id is in hand")
	case engine.Disconnected:
		return failedResponse(true)
	}
	return failedResponse(r.TimedOut)
}

// rejectedResponse returns a response that tells the client that a retry is safe and, if retryAfter is positive, when
// to retry.
func rejectedResponse(retryAfter time.Duration) httpmsg.Response {
	response := plainText(http.StatusServiceUnavailable, "refused: try again later")
	if retryAfter > 0 {
		response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	return response
}

// failedResponse returns a response that does not tell whether a retry is safe. Both of its status codes differ from
// the status code of a rejection.
func failedResponse(timedOut bool) httpmsg.Response {
	if timedOut {
		return plainText(http.StatusGatewayTimeout, "no answer in time")
	}
	return plainText(http.StatusBadGateway, "no upstream served this")
}

// plainText returns a text response that the front itself generates.
func plainText(status int, text string) httpmsg.Response {
	return httpmsg.Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(text + "\n"),
	}
}
