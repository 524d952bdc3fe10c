package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"hazelwing/internal/httpmsg"
)

// endpointURL is the URL of all requests before their path is set. Its host name is never resolved; it is the Host
// header of probes.
const endpointURL = "http://upstream.internal"

// forwardedRequest returns a client's request as it is forwarded to an endpoint. Its deadline header is set to
// timeLeft.
func forwardedRequest(r *httpmsg.Request, timeLeft time.Duration) *http.Request {
	// The method is valid because the front has accepted it.
	req, _ := http.NewRequestWithContext(context.Background(), r.Method, endpointURL, nil)
	req.URL.Opaque = r.URI
	req.Host = r.Host
	req.Header = r.Header.Clone()
	req.Header.Set(httpmsg.DeadlineHeader, strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10))
	if _, present := req.Header["User-Agent"]; !present {
		req.Header["User-Agent"] = []string{""} // prevents net/http from adding its own User-Agent
	}
	if req.Method != http.MethodGet || len(r.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
		if len(r.Body) == 0 {
			req.Body = http.NoBody
		}
	}
	return req
}

// probeRequest returns a request for the load report.
func probeRequest(time.Duration) *http.Request {
	// The error is always nil, because the method and the URL are constants.
	req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, endpointURL+httpmsg.LoadPath, nil)
	req.Header.Set("User-Agent", "") // prevents net/http from adding its own User-Agent
	return req
}
