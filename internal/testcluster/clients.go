package testcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

// Classes are the request classes of the clients.
var Classes = []emulator.TrafficClass{
	{Name: "look", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "book", Effect: "unsafe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "pay", Effect: "keyed", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
}

const (
	clientTimeout = 3 * time.Second
	clientSlack   = 3 * time.Second // added to clientTimeout when waiting for a response, since a busy machine is slow
	clientWork    = 3 * time.Millisecond
	// clientStreamBase is added to a member's number to select the random stream of its client.
	clientStreamBase = 1000
	// Between two requests a client pauses for at least minClientPause milliseconds and for less than clientPauseRange
	// milliseconds more, drawn at random.
	minClientPause   = 10
	clientPauseRange = 40
)

// Outcomes counts the requests of all clients by outcome. Broken are requests without a complete response.
type Outcomes struct{ Served, Rejected, Failed, Broken atomic.Int64 }

// runClient runs the client of a member. It sends one request at a time, without retries, and checks that the member
// responds to each.
func (c *Cluster) runClient(ctx context.Context, p *process) {
	rng := rand.New(rand.NewPCG(c.config.Seed, uint64(clientStreamBase+p.number)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	lastTransitions := int64(0)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(minClientPause+rng.IntN(clientPauseRange)) * time.Millisecond):
		}
		transitions := p.transitions.Load()
		if transitions%2 == 0 || !p.responded.Load() {
			continue
		}
		if transitions != lastTransitions {
			transport.CloseIdleConnections()
			lastTransitions = transitions
		}
		class := Classes[rng.IntN(len(Classes))]
		c.sendRequest(ctx, client, p, transitions, class, fmt.Sprintf("%s-%d", p.name, i))
	}
}

// sendRequest sends one request and counts its outcome. Cancelling ctx does not interrupt the request.
func (c *Cluster) sendRequest(
	ctx context.Context, client *http.Client, p *process, transitions int64, class emulator.TrafficClass, id string,
) {
	message := load.Message{
		ID:      id,
		Class:   class.Name,
		Effect:  class.Effect,
		Timeout: clientTimeout,
		Work:    clientWork,
	}
	if class.Effect == "keyed" {
		message.Key = "k" + id
	}
	freezes := p.freezes.Load()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clientTimeout+clientSlack)
	defer cancel()
	req, err := message.Request(ctx, "http://"+p.listen)
	if err != nil {
		c.violations.add("request %s cannot be created: %v", id, err)
		return
	}
	status, body, err := roundTrip(client, req)
	if err != nil {
		c.Outcomes.Broken.Add(1)
		// A process that was killed, terminated or frozen in the meantime need not respond.
		if p.transitions.Load() == transitions && p.freezes.Load() == freezes && !p.stopped.Load() {
			c.violations.add("request %s got no response from a running sidecar: %v", id, err)
		}
		return
	}
	c.countResponse(status, body, class, id)
}

// roundTrip sends a request and reads the complete response.
func roundTrip(client *http.Client, req *http.Request) (status int, body string, err error) {
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// countResponse counts a response, and records a violation if the response breaks a rule.
func (c *Cluster) countResponse(status int, body string, class emulator.TrafficClass, id string) {
	switch status {
	case http.StatusOK:
		c.Outcomes.Served.Add(1)
		if !strings.HasPrefix(body, id) {
			c.violations.add("request %s was served with body %q, want the prefix %q", id, body, id)
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Outcomes.Rejected.Add(1)
		if _, executions := c.Servers.Rules.Executions(id); executions > 0 && class.Effect == "unsafe" {
			c.violations.add("request %s of class %s was rejected although it was executed %d times",
				id, class.Name, executions)
		}
	default:
		c.Outcomes.Failed.Add(1)
	}
}
