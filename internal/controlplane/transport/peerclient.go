package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"hazelwing/internal/controlplane"
)

const (
	// dialTimeout limits a dial, and the whole request that probes an origin. A higher value tolerates slower
	// networks, but takes longer to give up on a host that is cut off.
	dialTimeout = 500 * time.Millisecond
	// responseTimeout limits the wait for the headers of a response, and the whole request that fetches a snapshot,
	// sends a report or sends a message to another origin. A higher value tolerates slower peers, but takes longer to
	// give up on one that hangs.
	responseTimeout = 2 * time.Second
	noTimeout       = 0 // for a client whose callers limit the time
	// maxErrorBody limits the number of bytes of an unexpected response that are quoted in the error.
	maxErrorBody = 200
)

// errNoFrame reports that a line has no frame where one is expected.
var errNoFrame = errors.New("line has no frame")

// responseError reports a response with an unexpected status or a body of an unexpected form.
type responseError struct {
	host   string
	status string // such as "503 Service Unavailable"
	body   string // first bytes of the body
}

func (e *responseError) Error() string {
	return fmt.Sprintf("%s responded with %s: %s", e.host, e.status, e.body)
}

// DialFunc opens a connection, as net.Dialer's DialContext does. Tests replace it to connect the processes through an
// emulated network.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// newHTTPClient returns a client that connects with dial, or with net.Dialer if dial is nil, and waits at most
// headerTimeout for the headers of a response. It closes a connection that has been idle for one second.
func newHTTPClient(dial DialFunc, headerTimeout time.Duration) *http.Client {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, addr)
		},
		ResponseHeaderTimeout: headerTimeout,
		IdleConnTimeout:       time.Second,
		MaxIdleConnsPerHost:   1,
		DisableCompression:    true,
	}}
}

// peerClient sends requests to other members and origins of a cluster. Its methods may be called from any
// goroutine.
type peerClient struct {
	cluster string
	self    string
	client  *http.Client
}

// newRequest returns a request with the headers that every receiver requires.
func (c *peerClient) newRequest(
	ctx context.Context, method, addr, path string, body io.Reader,
) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(clusterHeader, c.cluster)
	request.Header.Set(senderHeader, c.self)
	return request, nil
}

// do sends a request and returns the response, which the caller must close. A status other than expectedStatus is an
// error.
func (c *peerClient) do(request *http.Request, expectedStatus int) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != expectedStatus {
		defer closeBody(response)
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody)) // the status is reported in any case
		return nil, &responseError{request.URL.Host, response.Status, string(bytes.TrimSpace(text))}
	}
	return response, nil
}

// closeBody closes the body of a response. An error is ignored: it does not concern the data that was read.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// fetchSnapshot returns the latest frame of a member or an origin.
func (c *peerClient) fetchSnapshot(ctx context.Context, addr string) (controlplane.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, http.MethodGet, addr, snapshotPath, nil)
	if err != nil {
		return controlplane.Frame{}, err
	}
	response, err := c.do(request, http.StatusOK)
	if err != nil {
		return controlplane.Frame{}, err
	}
	defer closeBody(response)
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxLineSize+1))
	if err != nil {
		return controlplane.Frame{}, err
	}
	if len(text) > MaxLineSize {
		return controlplane.Frame{}, errLineTooLong
	}
	return parseFrame(text)
}

// parseFrame decodes a line and returns its frame.
func parseFrame(text []byte) (controlplane.Frame, error) {
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return controlplane.Frame{}, err
	}
	if err := l.unpack(); err != nil {
		return controlplane.Frame{}, err
	}
	if l.Frame == nil {
		return controlplane.Frame{}, errNoFrame
	}
	return *l.Frame, nil
}

// sendReport posts a report to the upstream.
func (c *peerClient) sendReport(ctx context.Context, addr string, report controlplane.Report) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return c.post(ctx, addr, reportPath, text)
}

// post sends a body in a POST request. The expected response is empty, with status 204.
func (c *peerClient) post(ctx context.Context, addr, path string, body []byte) error {
	request, err := c.newRequest(ctx, http.MethodPost, addr, path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.do(request, http.StatusNoContent)
	if err != nil {
		return err
	}
	closeBody(response)
	return nil
}

// probeOrigin asks an origin whether it participates in the consensus. It returns the status of the response:
// http.StatusNoContent if it does, http.StatusResetContent if it does not. parameters are nil or from formatWaiting.
func (c *peerClient) probeOrigin(ctx context.Context, addr string, parameters url.Values) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	path := alivePath
	if len(parameters) > 0 {
		path += "?" + parameters.Encode()
	}
	request, err := c.newRequest(ctx, http.MethodGet, addr, path, nil)
	if err != nil {
		return 0, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	closeBody(response)
	return response.StatusCode, nil
}
