// Package watch is the source of members that the platform's discovery is: a call that stays open and brings a JSON
// object a line with what changed.
package watch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/backoff"
	"hazelwing/internal/engine"
)

// The watch on discovery.

// longestLine bounds a line of the watch.
const longestLine = 4 << 20

// Listing is the list of members, or what changed in it, in discovery's form.
type Event struct {
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// Host is an entry. Dial is where it listens, as seen from this instance; Host is who it is.
type Endpoint struct {
	ID          string  `json:"host"`
	Addr        string  `json:"dial"`
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	StartedAtMS float64 `json:"born_ms"`
}

// Members are the entries as the engine knows them. One of a health that is not known is taken to drain.
func (l *Event) ToEndpoints() ([]engine.Endpoint, error) {
	members := make([]engine.Endpoint, len(l.Endpoints))
	var odd error
	for i, h := range l.Endpoints {
		state, err := h.state()
		odd = errors.Join(odd, err)
		members[i] = engine.Endpoint{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: state,
			StartedAtMS: h.StartedAtMS}
	}
	return members, odd
}

func (h *Endpoint) state() (balancer.EndpointState, error) {
	switch h.Health {
	case "SERVING":
		return balancer.Active, nil
	case "DRAINING":
		return balancer.Draining, nil
	case "DELETED":
		return balancer.Removed, nil
	}
	return balancer.Draining, fmt.Errorf("upstream %s: health %q is not known", h.ID, h.Health)
}

// Discovery makes the calls. Its connections are used once, so that nothing is sent again behind our back.
type Client struct {
	addr   string
	asked  bool // it is one service for all sidecars, to which a call has a price
	log    *slog.Logger
	client *http.Client

	silence time.Duration // when a watch counts as dead, and half of it when a call gets another one beside it
	most    int           // calls that one attempt makes so
	header  http.Header   // of calls, beside what is said here
	check   func(http.Header) error
}

// NewPeer is another sidecar that passes discovery's list on (internal/discovery/relay). header goes with each call; check says of
// an answer's headers whether it may be followed.
func NewPeerClient(addr string, header http.Header, check func(http.Header) error, log *slog.Logger) *Client {
	d := NewClient(addr, false, log)
	d.header, d.check = header, check
	d.most = 1 // there are other peers
	return d
}

// Dial opens a connection, as net.Dialer's DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Through lets all connections be opened by dial; nil: by the network itself, as in the daemon. It is called before Watch, by
// stand-ins that cut and slow links. It returns d.
func (d *Client) WithDialer(dial DialFunc) *Client {
	if dial != nil {
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, end := context.WithTimeout(ctx, backoff.SilenceTimeout) // as long as the network's own
			defer end()
			return dial(ctx, network, addr)
		}
	}
	return d
}

// New is the discovery at addr; asked says that it is one service for all sidecars, and not an agent on this machine.
// Nothing is asked before Watch.
func NewClient(addr string, asked bool, log *slog.Logger) *Client {
	return &Client{addr: addr, asked: asked, log: log, silence: backoff.SilenceTimeout, most: backoff.MaxAttempts, client: &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: backoff.SilenceTimeout}).DialContext,
		DisableKeepAlives: true, DisableCompression: true,
	}}}
}

// Watch follows what changes after seq, or the whole list from engine.NoVersion on. It ends with news of kind Failed,
// unless it is stopped first.
func (d *Client) Watch(seq int64, pause time.Duration, tell func(engine.EndpointUpdate)) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer stop()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if n := d.follow(ctx, seq, tell); ctx.Err() == nil {
			tell(n)
		}
	}()
	return stop
}

// follow makes a call that stays open and tells what it brings. It returns what ended it, as news of kind Failed.
func (d *Client) follow(ctx context.Context, seq int64, tell func(engine.EndpointUpdate)) engine.EndpointUpdate {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	begun := time.Now()
	c := newCourse(seq, d.asked, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	var near, lost atomic.Bool
	failed := func(err error) engine.EndpointUpdate {
		return engine.EndpointUpdate{Kind: balancer.WatchFailed, Version: c.from(lost.Load()), Err: err, Reachable: near.Load() || reached(err)}
	}
	s, err := race(ctx, d.silence, d.most, func(ctx context.Context) (*stream, error) {
		s, partly, err := d.open(ctx, seq)
		if err != nil && reached(err) {
			near.Store(true)
		}
		if partly {
			lost.Store(true)
		}
		return s, err
	})
	if err != nil {
		return failed(err)
	}
	ctx = s.ctx
	defer s.end()
	defer s.value.body.Close()
	lines, lists := make(chan line), make(chan listed, 1)
	go d.lines(ctx, s.value, lines)
	for {
		var ask <-chan time.Time
		if at, ok := c.due(); ok {
			ask = time.After(time.Until(begun.Add(at)))
		}
		var news []engine.EndpointUpdate
		select {
		case <-ctx.Done():
			lost.Store(s.value.objects.partly.Load())
			return failed(context.Cause(ctx))
		case l := <-lines:
			s.late.Reset(d.silence)
			if l.err != nil {
				lost.Store(errors.Is(l.err, errOdd))
				return failed(broken(ctx, l.err))
			}
			news = c.line(time.Since(begun), l.news)
		case <-ask:
			c.ask(time.Since(begun))
			go func() {
				n, err := d.whole(ctx)
				lists <- listed{n, err}
			}()
		case l := <-lists:
			if l.err != nil {
				d.log.Warn("the whole list did not come", "err", broken(ctx, l.err))
				if !c.failed(time.Since(begun)) {
					lost.Store(true)
					return failed(broken(ctx, fmt.Errorf("the whole list: %w", l.err)))
				}
				continue
			}
			news = c.list(l.EndpointUpdate)
		}
		for _, n := range news {
			tell(n)
		}
	}
}

// stream is a watch that has brought its first line.
type stream struct {
	body    io.Closer
	objects *objects
	first   line
}

// open makes a call for a watch, and returns it with its first line. lost says that it has brought something whose news is
// lost.
func (d *Client) open(ctx context.Context, seq int64) (s *stream, lost bool, err error) {
	resp, err := d.call(ctx, "?watch=1&from="+strconv.FormatInt(max(seq, 0), 10))
	if err != nil {
		return nil, false, err
	}
	s = &stream{body: resp.Body, objects: newObjects(resp.Body)}
	if s.first = d.line(s.objects); s.first.err != nil {
		resp.Body.Close()
		return nil, s.objects.partly.Load() || errors.Is(s.first.err, errOdd), broken(ctx, s.first.err)
	}
	return s, false, nil
}

// line is one of a watch, or why there are no more: errOdd where one came whose news is lost.
type line struct {
	news *engine.EndpointUpdate // nil: an empty one
	err  error
}

// listed is what became of a call for the whole list.
type listed struct {
	engine.EndpointUpdate
	err error
}

// line reads the next one.
func (d *Client) line(o *objects) line {
	text, err := o.next()
	if text == nil || err != nil {
		return line{err: err}
	}
	n, err := d.read(text)
	if err != nil {
		return line{err: fmt.Errorf("%w: %w", errOdd, err)}
	}
	return line{news: &n}
}

// lines tells a watch's lines, from the first on, until they end or ctx does.
func (d *Client) lines(ctx context.Context, s *stream, out chan<- line) {
	for l := s.first; ; l = d.line(s.objects) {
		select {
		case out <- l:
		case <-ctx.Done():
		}
		if l.err != nil || ctx.Err() != nil {
			return
		}
	}
}

// call asks for the list. Its answer, whose body the caller closes, is a good one.
func (d *Client) call(ctx context.Context, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/discovery/hosts"+query, nil)
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, d.header)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, broken(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	if d.check != nil {
		if err := d.check(resp.Header); err != nil {
			resp.Body.Close()
			return nil, err
		}
	}
	return resp, nil
}

// whole asks for the whole list. Guards against an answer that never ends beside a watch that goes on: each call is given up
// in time.
func (d *Client) whole(ctx context.Context) (engine.EndpointUpdate, error) {
	won, err := race(ctx, d.silence, d.most, func(ctx context.Context) (n engine.EndpointUpdate, err error) {
		resp, err := d.call(ctx, "")
		if err != nil {
			return n, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, longestLine))
		if err != nil {
			return n, broken(ctx, err)
		}
		n, err = d.read(text)
		if err == nil && n.Kind != balancer.CompleteList {
			err = errors.New("it does not say that it is whole")
		}
		return n, err
	})
	if err != nil {
		return engine.EndpointUpdate{}, err
	}
	won.end()
	return won.value, nil
}

// read makes news of an object in discovery's form.
func (d *Client) read(text []byte) (engine.EndpointUpdate, error) {
	var l Event
	if err := json.Unmarshal(text, &l); err != nil {
		return engine.EndpointUpdate{}, err
	}
	n := engine.EndpointUpdate{Kind: balancer.Delta, Version: l.Version}
	if l.Complete {
		n.Kind = balancer.CompleteList
	}
	var odd error
	if n.Endpoints, odd = l.ToEndpoints(); odd != nil {
		d.log.Warn("an entry of the list", "err", odd)
	}
	return n, nil
}

// broken is why a call broke: for what ended ctx, where that was it.
func broken(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
