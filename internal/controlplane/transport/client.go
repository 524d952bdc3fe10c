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

// Client asks one origin, for commands. Its methods may be called from any goroutine; ctx bounds how long they take.
type Client struct {
	addr string
	c    caller
}

// NewClient asks the origin of a fleet at an address.
func NewClient(fleet, addr string) *Client {
	c := newClient(nil)
	c.Transport.(*http.Transport).ResponseHeaderTimeout = 0 // an origin answers a push when a majority has it: ctx bounds that
	return &Client{addr, caller{fleet: fleet, self: "operator", client: c}}
}

// answerMost is how long an answer may be at most.
const answerMost = MaxLineSize + 4*controlplane.MaxReportSize

func (c *Client) ask(ctx context.Context, method, path string, body []byte, v any) error {
	q, err := c.c.request(ctx, method, c.addr, path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.c.client.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerMost))
	if err != nil {
		return err
	}
	if json.Unmarshal(text, v) != nil { // refusals of what cannot be read are words
		return fmt.Errorf("%s answers %s: %s", c.addr, resp.Status, bytes.TrimSpace(text[:min(len(text), 300)]))
	}
	return nil
}

// Push proposes a text to follow a version, under an ID of the caller's own choice: doing so again under the same one is safe.
func (c *Client) Push(ctx context.Context, id string, after uint64, text []byte) (a origin.Result, err error) {
	v := url.Values{"id": {id}, "after": {strconv.FormatUint(after, 10)}}
	return a, c.ask(ctx, http.MethodPost, pushPath+"?"+v.Encode(), text, &a)
}

// Became asks what became of a push.
func (c *Client) PushOutcome(ctx context.Context, id string) (a origin.Result, err error) {
	return a, c.ask(ctx, http.MethodGet, pushPath+"?"+url.Values{"id": {id}}.Encode(), nil, &a)
}

// Show is the latest snapshot; local: as this origin has it, without asking the others.
func (c *Client) Show(ctx context.Context, local bool) (s ShowResponse, err error) {
	path := showPath
	if local {
		path += "?local=1"
	}
	if err = c.ask(ctx, http.MethodGet, path, nil, &s); err == nil && !local && s.Result.Outcome != origin.OutcomeCurrent {
		err = fmt.Errorf("%s has not had it confirmed by a majority: %s %s", c.addr, s.Result.Outcome, s.Result.Error)
	}
	return s, err
}

// Status is what the origin knows.
func (c *Client) Status(ctx context.Context) (s origin.Status, err error) {
	return s, c.ask(ctx, http.MethodGet, statusPath, nil, &s)
}
