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

// longAfter a client's time nothing is waited for any more.
const longAfter = 10 * time.Second

// HTTPClient is an application beside a daemon at addr: it sends recorded requests as the platform's protocol says.
// What serves a request with another's answer breaks a rule of ledger's. Close its idle connections when done.
func HTTPClient(addr string, ledger *RuleChecker) (do RequestFunc, closeIdle func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true}
	client := &http.Client{Transport: transport}
	return func(patience context.Context, n int, c TrafficClass, r Request) Outcome {
		deadline, _ := patience.Deadline()
		// Longer than the client's patience: who answers late is to be told from who does not answer.
		ctx, cancel := context.WithDeadline(context.WithoutCancel(patience), deadline.Add(longAfter))
		defer cancel()
		id := fmt.Sprintf("%08x", n)
		us := func(x float64) time.Duration { return time.Duration(x * float64(time.Microsecond)) }
		m := load.Message{ID: id, Class: c.Name, Effect: c.Effect, Patience: time.Until(deadline), Work: us(r.WorkUS), Hint: us(r.ExpectedWorkUS)}
		if c.Effect == "keyed" {
			m.Key = "k" + id
		}
		req, err := m.Request(ctx, "http://"+addr)
		if err != nil {
			return Failed
		}
		if r.AffinityKey != "" {
			req.AddCookie(&http.Cookie{Name: "user", Value: r.AffinityKey})
		}
		resp, err := client.Do(req)
		if err != nil {
			return Unanswered
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		switch {
		case err != nil:
			return Failed
		case resp.StatusCode == http.StatusOK:
			if !strings.HasPrefix(string(text), id) {
				ledger.ReportViolation("request %s was served with %q", id, text)
			}
			return Served
		case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
			if _, ran := ledger.Executions(id); ran > 0 && c.Effect == "unsafe" {
				ledger.ReportViolation("%s %s was refused after it ran", c.Name, id)
			}
			return Rejected
		}
		return Failed
	}, transport.CloseIdleConnections
}
