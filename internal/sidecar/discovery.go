package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"hazelwing/balancer"
)

// The watch on discovery.

const (
	// silence is when a watch counts as dead: an empty line comes every 2 s. Guards against a discovery that is cut
	// off and says nothing, where TCP notices nothing. What it has to tell counts as told 6 s later, whether or not it
	// came: by then the next watch has to have brought it.
	silence = 2500 * time.Millisecond
	// agentWait is the pause before a pushed list's agent is asked again.
	agentWait = 500 * time.Millisecond
	// longestLine bounds a line of the watch.
	longestLine = 4 << 20
)

// listing is the list of upstreams, or what changed in it.
type listing struct {
	Seq   int64
	Whole bool
	Hosts []host
}

// host is an entry. Dial is where it listens, as seen from this sidecar; Host is who it is.
type host struct {
	Host   string
	Dial   string
	Site   string
	Class  string
	Block  int
	Health string
	BornMS float64 `json:"born_ms"`
}

func (h *host) state() (balancer.State, error) {
	switch h.Health {
	case "SERVING":
		return balancer.Active, nil
	case "DRAINING":
		return balancer.Leaving, nil
	case "DELETED":
		return balancer.Left, nil
	}
	return balancer.Leaving, fmt.Errorf("upstream %s: health %q is not known", h.Host, h.Health)
}

// news is what the loop is told of the list.
type news struct {
	watch *watch
	kind  balancer.MembersKind
	seq   int64
	hosts []host
	err   error // of kind Failed
}

// discovery makes the calls. Its connections are used once, so that nothing is sent again behind our back.
type discovery struct {
	addr   string // where the next watch is started; the loop's own
	client *http.Client
	post   func(news)

	silence time.Duration // when a watch counts as dead
}

func newDiscovery(addr string, post func(news)) *discovery {
	return &discovery{addr: addr, post: post, silence: silence, client: &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: silence}).DialContext,
		DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// watch is one call for changes; it ends with a news of kind Failed, unless it is stopped first.
type watch struct {
	ctx  context.Context
	stop context.CancelFunc
	addr string
	seq  int64 // of the latest listing; the watch's own goroutine changes it
}

// start begins a watch on what changed after seq, once pause has passed.
func (d *discovery) start(seq int64, pause time.Duration) *watch {
	w := &watch{addr: d.addr, seq: seq}
	w.ctx, w.stop = context.WithCancel(context.Background())
	go func() {
		select {
		case <-w.ctx.Done():
		case <-time.After(pause):
		}
		err := d.follow(w)
		if w.ctx.Err() == nil {
			d.post(news{watch: w, kind: balancer.Failed, seq: w.seq, err: err})
		}
		w.stop()
	}()
	return w
}

func (d *discovery) follow(w *watch) error {
	ctx, cancel := context.WithCancelCause(w.ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(d.silence, func() { cancel(fmt.Errorf("nothing came for %v", d.silence)) })
	defer quiet.Stop()

	url := "http://" + w.addr + "/discovery/hosts?watch=1&from=" + strconv.FormatInt(w.seq, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return broken(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, longestLine)
	for told := false; lines.Scan(); {
		quiet.Reset(d.silence)
		n := news{watch: w, kind: balancer.Change}
		if line := bytes.TrimSpace(lines.Bytes()); len(line) > 0 {
			var l listing
			if err := json.Unmarshal(line, &l); err != nil {
				w.seq = 0 // what it said is missing from now on: ask for the whole list
				return fmt.Errorf("a line of the watch: %w", err)
			}
			w.seq, n.hosts = l.Seq, l.Hosts
			if l.Whole {
				n.kind = balancer.Full
			}
		} else if told {
			continue // an empty line only says that nothing changed, as news at the beginning
		}
		told, n.seq = true, w.seq
		d.post(n)
	}
	if err := lines.Err(); err != nil {
		return broken(ctx, err)
	}
	return fmt.Errorf("the watch ended")
}

// broken is why a call broke: for what ended ctx, where that was it.
func broken(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
