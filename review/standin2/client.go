//go:build review

package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	class, id, key string
	post           bool // the class has an effect
	deadline       time.Duration
}

// answer is the final answer to a request; status is 0 if there is none.
type answer struct {
	status int
	body   string
	err    error
}

// client sends requests to one sidecar.
type client struct {
	run  *run
	addr string
	http *http.Client
}

func newClient(r *run, addr string) *client {
	return &client{run: r, addr: addr, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// do sends a request and returns its answer.
func (c *client) do(q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	method, body := http.MethodGet, ""
	if q.post {
		method, body = http.MethodPost, "body of "+q.id
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+c.addr+"/"+q.class, strings.NewReader(body))
	if method == http.MethodGet {
		r.Body = nil
	}
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Class", q.class)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header["Idempotency-Key"] = []string{q.key}
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.run.logf("client: %s %s key %q: no answer: %v", q.class, q.id, q.key, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	c.run.logf("client: %s %s key %q: %d %s", q.class, q.id, q.key, response.StatusCode, strings.TrimSpace(string(text)))
	return answer{status: response.StatusCode, body: string(text), err: err}
}
