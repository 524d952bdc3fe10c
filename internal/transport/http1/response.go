package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/httpmsg"
)

var (
	errResponseTooLong   = errors.New("the answer is too long")
	errNoResponseLength  = errors.New("the answer's end cannot be told")
	errUnwritableRequest = errors.New("the request cannot be written")
)

// startBody is what the body of an answer is given room for at first.
const initialBodyBuffer = 64 << 10

// readAnswer reads a whole answer with a body of at most most bytes. Guards against spoilt answers whose connection
// stays open: heads without end, and lengths that do not fit. One that has begun may pause, but not for long.
func (c *conn) readResponse(most int64) (*http.Response, []byte, error) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, nil, err
		}
		c.stallTimer = time.AfterFunc(c.stallTimeout, func() { c.SetReadDeadline(time.Unix(1, 0)) })
		resp, body, err := c.readOneResponse(most)
		if !c.stallTimer.Stop() && err == nil {
			resp.Close = true // the deadline may be set, or be set yet
		}
		c.stallTimer = nil
		if err != nil || resp.StatusCode >= 200 {
			return resp, body, err
		}
	}
}

// readOne reads one whole answer; an interim one, which says nothing yet, has no body.
func (c *conn) readOneResponse(most int64) (*http.Response, []byte, error) {
	head, err := c.peekHead()
	if err != nil {
		return nil, nil, err
	}
	measured := bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length"))
	resp, err := http.ReadResponse(c.reader, nil)
	switch {
	case err != nil:
		return nil, nil, err
	case resp.StatusCode == http.StatusSwitchingProtocols,
		resp.ContentLength < 0 && (measured || len(resp.TransferEncoding) == 0):
		// Guards against answers cut short: with neither length nor chunks a broken connection looks like the end,
		// and of both net/http hides the length.
		return nil, nil, errNoResponseLength
	case resp.ContentLength > most: // guards against reading what will be of no use
		return nil, nil, errResponseTooLong
	}
	var body bytes.Buffer
	body.Grow(int(min(max(resp.ContentLength, 0), initialBodyBuffer)) + bytes.MinRead)
	_, err = body.ReadFrom(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(body.Len()) > most {
		err = errResponseTooLong
	}
	return resp, body.Bytes(), err
}

// head returns the bytes of an answer's head, the first ones where it is longer than the buffer, or why it did not
// come whole.
func (c *conn) peekHead() ([]byte, error) {
	for n := 1; ; n = c.reader.Buffered() + 1 {
		_, err := c.reader.Peek(n)
		text, _ := c.reader.Peek(c.reader.Buffered())
		for _, end := range []string{"\r\n\r\n", "\n\n"} {
			if i := bytes.Index(text, []byte(end)); i >= 0 {
				return text[:i], nil
			}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			return text, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func resultFromResponse(resp *http.Response) balancer.Result {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(httpmsg.NotRunHeader) == "1" {
			return balancer.Overloaded
		}
	}
	if httpmsg.IsRequestError(resp.StatusCode) {
		return balancer.NotSent
	}
	return balancer.ServerError
}

// probeRequest asks for the load report.
func probeRequest(time.Duration) *http.Request {
	req, _ := http.NewRequest(http.MethodGet, "http://upstream.internal"+httpmsg.LoadPath, nil)
	req.Header.Set("User-Agent", "")
	return req
}

// load reads what a probe's answer says of the requests that the upstream holds.
func loadReportFromResponse(a *httpmsg.Response) balancer.LoadReport {
	if a == nil || a.Status != http.StatusOK {
		return balancer.LoadReport{}
	}
	text := a.Header.Get(httpmsg.LoadHeader)
	if text == "" {
		text = string(a.Body)
	}
	const most = 10000 // no upstream holds more: what says so is spoilt
	var l balancer.LoadReport
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		if name = strings.TrimSpace(name); name != "inflight" && name != "queue" {
			continue
		}
		if x, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && x >= 0 && x <= most {
			l.Reported, l.InFlight = true, max(l.InFlight, x)
		}
	}
	return l
}
