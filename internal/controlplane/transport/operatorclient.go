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
	// maxResponseSize limits the number of bytes that are read of an origin's response.
	maxResponseSize = MaxLineSize + 4*controlplane.MaxReportSize
	// maxQuotedResponse limits the number of bytes that are quoted in the error about a response that is not JSON.
	maxQuotedResponse = 300
	// operatorName is the name of the sender in the requests of the operator's commands.
	operatorName = "operator"
)

// unconfirmedError reports that no majority of the origins has confirmed the latest revision.
type unconfirmedError struct {
	addr   string
	result origin.Result
}

func (e *unconfirmedError) Error() string {
	return fmt.Sprintf("origin %s: latest revision not confirmed by a majority of the origins (outcome %s): %s",
		e.addr, e.result.Outcome, e.result.Error)
}

// Client sends the requests of the operator's commands to one origin. Its methods may be called from any goroutine.
// The time that they take is limited only by their context, except that a dial takes at most dialTimeout.
type Client struct {
	addr string
	peer peerClient
}

// NewClient returns a client for the origin of the given cluster at addr, in the form HOST:PORT.
func NewClient(cluster, addr string) *Client {
	// An origin responds to a push only once a majority has stored it, so no timeout is set for the headers here.
	client := newHTTPClient(nil, noTimeout)
	return &Client{addr: addr, peer: peerClient{cluster: cluster, self: operatorName, client: client}}
}

// call sends a request and decodes the JSON of the response into result, whatever the status of the response is: the
// result tells whether the origin accepted the request.
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
	if json.Unmarshal(text, result) != nil { // for instance, the origin rejects a malformed request with plain text
		quoted := bytes.TrimSpace(text[:min(len(text), maxQuotedResponse)])
		return &responseError{host: c.addr, status: response.Status, body: string(quoted)}
	}
	return nil
}

// Push proposes a text as the successor of the base version, under an ID that the caller chooses. It is safe to repeat
// a push with the same ID. first is true if no push was made with this ID before, to any origin.
func (c *Client) Push(
	ctx context.Context, id string, baseVersion uint64, text []byte, first bool,
) (origin.Result, error) {
	query := url.Values{"id": {id}, "after": {strconv.FormatUint(baseVersion, 10)}}
	if first {
		query.Set(firstParameter, firstValue)
	}
	var result origin.Result
	err := c.call(ctx, http.MethodPost, pushPath+"?"+query.Encode(), text, &result)
	return result, err
}

// Show returns the latest snapshot, confirmed by a majority of the origins. If local is set, it returns the latest
// snapshot that this origin has, without confirmation.
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
