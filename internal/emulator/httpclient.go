package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"hazelwing/internal/load"
)

// responseTimeout is how long the client waits for a response after the request's deadline, to distinguish a late
// response from a missing one.
const responseTimeout = 10 * time.Second

// HTTPClient returns a function that sends recorded requests to the daemon at addr as the platform's protocol
// specifies. The function reports a violation to rules if a request is served with the response to another request, or
// if a non-idempotent request is rejected after its execution. The caller calls closeIdle when all requests have ended.
func HTTPClient(addr string, rules *RuleChecker) (do RequestFunc, closeIdle func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true}
	c := &httpClient{
		baseURL: "http://" + addr,
		client:  &http.Client{Transport: transport},
		rules:   rules,
	}
	return c.do, transport.CloseIdleConnections
}

// httpClient sends requests to a daemon as an application does.
type httpClient struct {
	baseURL string
	client  *http.Client
	rules   *RuleChecker
}

// do sends one request. It is a RequestFunc.
func (c *httpClient) do(ctx context.Context, number int, class TrafficClass, r Request) Outcome {
	deadline, _ := ctx.Deadline()
	responseCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(responseTimeout))
	defer cancel()
	id := fmt.Sprintf("%08x", number)
	req, err := c.newRequest(responseCtx, id, time.Until(deadline), class, r)
	if err != nil {
		return Failed
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Unanswered
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Failed
	}
	return c.outcome(resp.StatusCode, string(body), id, class)
}

// newRequest returns the HTTP request for a recorded request.
func (c *httpClient) newRequest(
	ctx context.Context, id string, timeout time.Duration, class TrafficClass, r Request,
) (*http.Request, error) {
	message := load.Message{
		ID:           id,
		Class:        class.Name,
		Effect:       class.Effect,
		Timeout:      timeout,
		Work:         microseconds(r.WorkUS),
		ExpectedWork: microseconds(r.ExpectedWorkUS),
	}
	if class.Effect == "keyed" {
		message.Key = "k" + id
	}
	req, err := message.Request(ctx, c.baseURL)
	if err != nil {
		return nil, err
	}
	if r.AffinityKey != "" {
		req.AddCookie(&http.Cookie{Name: "user", Value: r.AffinityKey})
	}
	return req, nil
}

// outcome returns the outcome of a request with the given response. It reports a violation if the response breaks a
// rule.
func (c *httpClient) outcome(status int, body, id string, class TrafficClass) Outcome {
	switch status {
	case http.StatusOK:
		if !strings.HasPrefix(body, id) {
			c.rules.ReportViolation("request %s was served with the response %q of another request", id, body)
		}
		return Served
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if _, executions := c.rules.Executions(id); executions > 0 && class.Effect == "unsafe" {
			c.rules.ReportViolation("%s %s was refused after it ran", class.Name, id)
		}
		return Rejected
	}
	return Failed
}

// microseconds returns a number of microseconds as a duration.
func microseconds(us float64) time.Duration {
	return time.Duration(us * float64(time.Microsecond))
}
