package transport

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
)

const (
	// maxResponseSize is how many bytes of an origin's response are read.
	maxResponseSize = MaxLineSize + 4*controlplane.MaxReportSize
	// maxQuotedResponse is how many bytes of a response that is not JSON become part of the error.
	maxQuotedResponse = 300
	// operatorName is the sender in the requests of the operator's commands.
	operatorName = "operator"
)

// unconfirmedError says that no majority has confirmed the revision of an origin.
type unconfirmedError struct {
	addr   string
	result origin.Result
}

func (e *unconfirmedError) Error() string {
	return fmt.Sprintf("%s has not had it confirmed by a majority: %s %s", e.addr, e.result.Outcome, e.result.Error)
}

// Client calls one origin on behalf of the operator's commands. Its methods may be called from any goroutine; their
// context limits how long they take.
type Client struct {
	addr string
	peer peerClient
}

// NewClient returns a client of the origin at addr, HOST:PORT, of a cluster.
func NewClient(cluster, addr string) *Client {
	// An origin answers a push when a majority has stored it: the caller's context limits that.
	client := newHTTPClient(nil, noTimeout)
	return &Client{addr: addr, peer: peerClient{cluster: cluster, self: operatorName, client: client}}
}

// call sends a request and decodes the JSON of the response into result. Errors of the origin are part of the result.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := c.peer.newRequest(ctx, method, c.addr, path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.peer.client.Do(request)
	if err != nil {
		return err
	}
	defer closeBody(response)
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return err
	}
	if json.Unmarshal(text, result) != nil { // the origin rejects malformed requests in plain text
		quoted := bytes.TrimSpace(text[:min(len(text), maxQuotedResponse)])
		return &responseError{host: c.addr, status: response.Status, body: string(quoted)}
	}
	return nil
}

// Push proposes a text as the successor of version after, under an ID of the caller's choice. Repeating a push under
// the same ID is safe.
func (c *Client) Push(ctx context.Context, id string, after uint64, text []byte) (origin.Result, error) {
	query := url.Values{"id": {id}, "after": {strconv.FormatUint(after, 10)}}
	var result origin.Result
	err := c.call(ctx, http.MethodPost, pushPath+"?"+query.Encode(), text, &result)
	return result, err
}

// Show returns the latest snapshot as a majority of the origins confirms it, or, if local is set, as this origin has
// it.
func (c *Client) Show(ctx context.Context, local bool) (ShowResponse, error) {
	path := showPath
	if local {
		path += "?local=1"
	}
	var shown ShowResponse
	err := c.call(ctx, http.MethodGet, path, nil, &shown)
	if err == nil && !local && shown.Result.Outcome != origin.OutcomeCurrent {
		err = &unconfirmedError{addr: c.addr, result: shown.Result}
	}
	return shown, err
}

// Status returns the state of the origin.
func (c *Client) Status(ctx context.Context) (origin.Status, error) {
	var status origin.Status
	err := c.call(ctx, http.MethodGet, statusPath, nil, &status)
	return status, err
}
