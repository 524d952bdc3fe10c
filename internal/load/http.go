package load

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Message is a request as the platform's applications send it.
type Message struct {
	ID           string
	Class        string
	Effect       string        // safe, keyed, unsafe
	Key          string        // idempotency key; not sent if empty
	Timeout      time.Duration // how long the client waits for the answer
	Work         time.Duration // work that emulated nodes are to perform
	ExpectedWork time.Duration // the client's estimate of the work
}

// Request returns the HTTP request for the daemon at a URL without a path. The request has no GetBody, so that net/http
// does not resend a request with a body.
func (m Message) Request(ctx context.Context, url string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if m.Effect != "safe" {
		method, body = http.MethodPost, strings.NewReader("seat")
	}
	req, err := http.NewRequestWithContext(ctx, method, url+"/"+m.Class+"/x", body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("X-Request-Id", m.ID)
	req.Header.Set("X-Class", m.Class)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, m.Timeout.Milliseconds()), 10))
	req.Header.Set("X-Cost-Hint", FormatMicroseconds(m.ExpectedWork))
	req.Header.Set("X-Extras", "work="+FormatMicroseconds(m.Work))
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	return req, nil
}

// FormatMicroseconds returns a duration in microseconds, in the format of the request headers.
func FormatMicroseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Microsecond), 'f', -1, 64)
}

// HTTP is a target that receives requests over the platform's HTTP protocol, as the daemon does from applications.
type HTTP struct {
	url    string
	client *http.Client
}

// NewHTTP returns a target for a URL without a path. The caller closes the target.
func NewHTTP(url string) *HTTP {
	return &HTTP{
		url: strings.TrimSuffix(url, "/"),
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Name returns the URL.
func (h *HTTP) Name() string { return h.url }

// Close closes the idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Send sends one request.
func (h *HTTP) Send(ctx context.Context, id string, r ScheduledRequest) Outcome {
	deadline, _ := ctx.Deadline()
	m := Message{
		ID:           id,
		Class:        r.Class,
		Effect:       r.Effect,
		Timeout:      time.Until(deadline),
		Work:         r.Work,
		ExpectedWork: r.Work,
	}
	if r.Effect == "keyed" {
		m.Key = "k" + id
	}
	req, err := m.Request(ctx, h.url)
	if err != nil {
		return Failed
	}
	resp, err := h.client.Do(req)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return TimedOut
	case err != nil:
		return Broken
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		return Served
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}
