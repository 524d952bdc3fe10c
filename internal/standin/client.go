package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// longAfter a client's time nothing is waited for any more.
const longAfter = 10 * time.Second

// HTTPClient is an application beside a daemon at addr: it sends recorded requests as the platform's protocol says.
// What serves a request with another's answer breaks a rule of ledger's. Close its idle connections when done.
func HTTPClient(addr string, ledger *Ledger) (do Do, closeIdle func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true}
	client := &http.Client{Transport: transport}
	return func(patience context.Context, n int, c TrafficClass, r Request) Kind {
		deadline, _ := patience.Deadline()
		// Longer than the client's patience: who answers late is to be told from who does not answer.
		ctx, cancel := context.WithDeadline(context.WithoutCancel(patience), deadline.Add(longAfter))
		defer cancel()
		id := fmt.Sprintf("%08x", n)
		method, body := http.MethodGet, ""
		if c.Effect != "safe" {
			method, body = http.MethodPost, "seat"
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+c.Name+"/x", bytes.NewReader([]byte(body)))
		if err != nil {
			return Failed
		}
		if body == "" {
			req.Body, req.ContentLength = nil, 0
		}
		h := req.Header
		h.Set(IDName, id)
		h.Set(ClassName, c.Name)
		h.Set("X-Deadline-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
		h.Set("X-Cost-Hint", strconv.FormatFloat(r.HintUS, 'f', -1, 64))
		h.Set(ExtrasName, "work="+strconv.FormatFloat(r.WorkUS, 'f', -1, 64))
		if c.Effect == "keyed" {
			h.Set(KeyName, "k"+id)
		}
		if r.Key != "" {
			req.AddCookie(&http.Cookie{Name: "user", Value: r.Key})
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
				ledger.Break("request %s was served with %q", id, text)
			}
			return Served
		case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
			if _, ran := ledger.Executions(id); ran > 0 && c.Effect == "unsafe" {
				ledger.Break("%s %s was refused after it ran", c.Name, id)
			}
			return Refused
		}
		return Failed
	}, transport.CloseIdleConnections
}
