package gqldemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"hazelwing/internal/emulator/gqlnode"
	"hazelwing/internal/load"
)

// requestTimeout is the deadline that a client sends to the daemon.
const requestTimeout = 2 * time.Second

// client sends random requests and records their results.
type client struct {
	url     string
	http    *http.Client
	seed    uint64
	grace   time.Duration // how long after requestTimeout a response still counts as in time
	results *tally
}

// sendAll sends the requests of a plan at their times and returns once all have ended. It stops sending when ctx ends.
func (c *client) sendAll(ctx context.Context, plan load.Plan) {
	next := func(number int) (time.Duration, bool) {
		if number >= len(plan) {
			return 0, false
		}
		return plan[number].At, true
	}
	send := func(number int, _ time.Time) {
		if err := c.send(ctx, number); err != nil {
			c.results.addViolation("%v", err)
		}
	}
	unsent := func(number int, _ time.Time) {
		c.results.addViolation("request %d was not sent: the limit of %d open requests was reached", number, maxOpen)
	}
	load.Pace(ctx, next, maxOpen, send, unsent)
}

// send sends a request and records the results that its response states. It returns an error if there is no response,
// or if the response to a batch is not an array with one entry for each operation.
func (c *client) send(ctx context.Context, number int) error {
	body, tokens := gqlnode.RandomRequest(rand.New(rand.NewPCG(c.seed, uint64(number))), number)
	start := time.Now()
	// An interrupt stops the sending, but requests in flight wait for their response, which the daemon guarantees.
	status, text, err := c.post(context.WithoutCancel(ctx), number, body)
	if err != nil {
		return err
	}
	responses := []json.RawMessage{text}
	if isBatch := body[0] == '['; isBatch {
		if err := json.Unmarshal(text, &responses); err != nil {
			return fmt.Errorf("response to batch %d is not a JSON array: %w", number, err)
		}
		if len(responses) != len(tokens) {
			return fmt.Errorf("response to batch %d has %d entries; want %d", number, len(responses), len(tokens))
		}
	}
	isLate := time.Since(start) > requestTimeout+c.grace
	c.results.addRequest(isLate, status == http.StatusServiceUnavailable)
	for i, response := range responses {
		claims, err := gqlnode.ReadClaims(response, tokens[i])
		if err != nil {
			c.results.addViolation("request %d: %v", number, err)
		}
		c.results.addOperation(len(tokens[i]) == 0, claims)
	}
	return nil
}

// post sends the body of a request and returns the status and body of its response.
func (c *client) post(ctx context.Context, number int, body []byte) (status int, text []byte, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("request %d has no response: %w", number, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, fmt.Errorf("request %d has an incomplete response: %w", number, err)
	}
	return response.StatusCode, text, nil
}
