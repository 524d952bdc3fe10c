package transport

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hazelwing/internal/controlplane"
)

// target is whom to follow.
type target struct{ name, addr string } // name is empty where only the answer says it: an origin

// stagger is how long one origin is waited for before the next is tried beside it. Guards against origins that are cut off or stand
// still: each alone would take dialTime or headTime.
const stagger = 250 * time.Millisecond

// caller asks others.
type caller struct {
	fleet, self string
	client      *http.Client
}

func (c *caller) request(ctx context.Context, method, addr, path string, body io.Reader) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err == nil {
		q.Header.Set(fleetHeader, c.fleet)
		q.Header.Set(whoHeader, c.self)
	}
	return q, err
}

// do asks, and takes any answer but the wanted status for an error.
func (c *caller) do(q *http.Request, want int) (*http.Response, error) {
	resp, err := c.client.Do(q)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != want {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		resp.Body.Close()
		return nil, fmt.Errorf("%s answers %s: %s", q.URL.Host, resp.Status, bytes.TrimSpace(text))
	}
	return resp, nil
}

// opened is a watch that was answered.
type opened struct {
	target
	resp *http.Response
	end  context.CancelFunc
}

// open asks all targets in their order, each a stagger after the one before it or at once when that has failed, and takes the first
// that answers. It waits for the others to have ended.
func (c *caller) open(ctx context.Context, targets []target, from controlplane.Revision) (*opened, error) {
	type answer struct {
		*opened
		err error
	}
	answers := make(chan answer, len(targets))
	path := fmt.Sprintf("%s?epoch=%d&version=%d&hash=%s", watchPath, from.Epoch, from.Version, from.Hash)
	started, ended := 0, 0
	ends := make([]context.CancelFunc, 0, len(targets))
	start := func() {
		t := targets[started]
		started++
		one, end := context.WithCancel(ctx)
		ends = append(ends, end)
		go func() {
			var resp *http.Response
			q, err := c.request(one, http.MethodGet, t.addr, path, nil)
			if err == nil {
				resp, err = c.do(q, http.StatusOK)
			}
			answers <- answer{&opened{t, resp, end}, err}
		}()
	}
	var won *opened
	var errs []error
	start()
	next := time.NewTimer(stagger)
	defer next.Stop()
	for ended < started {
		select {
		case <-next.C:
			if won == nil && started < len(targets) {
				start()
				next.Reset(stagger)
			}
		case a := <-answers:
			ended++
			switch {
			case a.err == nil && won == nil:
				won = a.opened
				for i, end := range ends {
					if targets[i] != won.target {
						end()
					}
				}
			case a.err == nil:
				a.end()
				a.resp.Body.Close()
			default:
				a.end()
				errs = append(errs, a.err)
				if won == nil && started < len(targets) && ctx.Err() == nil {
					start()
					next.Reset(stagger)
				}
			}
		}
	}
	if won == nil {
		return nil, errors.Join(errs...)
	}
	return won, nil
}

// read calls tell for each line until the watch ends, and says why it did. It closes the watch.
func (o *opened) read(ctx context.Context, tell func(line) error) error {
	defer o.resp.Body.Close()
	defer o.end()
	quiet := time.AfterFunc(silence, o.end)
	defer quiet.Stop()
	defer context.AfterFunc(ctx, o.end)()
	lines := bufio.NewScanner(o.resp.Body)
	lines.Buffer(make([]byte, 0, 1<<10), MaxLineSize)
	for lines.Scan() {
		if !quiet.Reset(silence) {
			return errQuiet
		}
		var l line // of an empty one nothing is set
		if text := lines.Bytes(); len(text) > 0 {
			if err := json.Unmarshal(text, &l); err != nil {
				return fmt.Errorf("a line that cannot be read: %w", err)
			}
		}
		if err := l.unpack(); err != nil {
			return fmt.Errorf("a frame that cannot be opened: %w", err)
		}
		if err := tell(l); err != nil {
			return err
		}
	}
	switch err := lines.Err(); {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, bufio.ErrTooLong):
		return errLength
	case err != nil && !quiet.Stop():
		return errQuiet
	case err != nil:
		return err
	}
	return io.ErrUnexpectedEOF
}

// fetch asks somebody once for its snapshot.
func (c *caller) fetch(ctx context.Context, addr string) (f controlplane.Frame, err error) {
	ctx, end := context.WithTimeout(ctx, headTime)
	defer end()
	q, err := c.request(ctx, http.MethodGet, addr, snapshotPath, nil)
	if err != nil {
		return f, err
	}
	resp, err := c.do(q, http.StatusOK)
	if err != nil {
		return f, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxLineSize+1))
	if err != nil {
		return f, err
	}
	if len(text) > MaxLineSize {
		return f, errLength
	}
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return f, err
	}
	if err := l.unpack(); err != nil {
		return f, err
	}
	if l.Frame == nil {
		return f, errors.New("no frame")
	}
	return *l.Frame, nil
}

// report tells somebody that is followed.
func (c *caller) report(ctx context.Context, addr string, r controlplane.Report) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	ctx, end := context.WithTimeout(ctx, headTime)
	defer end()
	q, err := c.request(ctx, http.MethodPost, addr, reportPath, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := c.do(q, http.StatusNoContent)
	if err != nil {
		return err
	}
	resp.Body.Close()
	return nil
}
