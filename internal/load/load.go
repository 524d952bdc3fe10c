package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind says how a request ended.
type Kind int

// The kinds.
const (
	Served  Kind = iota
	Refused      // 429 or 503: trying again is harmless
	Failed       // any other answer
	Broken       // no connection, or one that broke before the answer was whole
	Late         // no answer in time
	Unsent       // too many were open
	kinds
)

var kindNames = [kinds]string{"served", "refused", "failed", "broken", "late", "unsent"}

func (k Kind) String() string { return kindNames[k] }

// Shot is a request of a schedule.
type Shot struct {
	At       time.Duration
	Class    string
	Effect   string // safe, keyed, unsafe
	Deadline time.Duration
	Work     time.Duration // told to stand-in nodes, and as the hint
}

// Plan is a schedule.
type Plan []Shot

// Point is one of the curve that a rate follows, linearly between points.
type Point struct {
	At   time.Duration
	Rate float64
}

const mostShots = 10_000_000

// Poisson is a plan whose requests come by chance, at a rate that follows a curve, the same for the same seed.
func Poisson(seed uint64, curve []Point, length time.Duration, shot Shot) (Plan, error) {
	most := 0.0
	for i, p := range curve {
		if !(p.Rate >= 0) || i > 0 && p.At <= curve[i-1].At {
			return nil, fmt.Errorf("the rate's points are in order of time, and none is below 0")
		}
		most = max(most, p.Rate)
	}
	if !(most > 0) || length <= 0 || most*length.Seconds() > mostShots {
		return nil, fmt.Errorf("a rate above 0 for a length above 0, and %d requests at most", mostShots)
	}
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var plan Plan
	for at := 0.0; ; {
		at += rng.ExpFloat64() / most
		shot.At = time.Duration(at * float64(time.Second))
		if shot.At >= length {
			return plan, nil
		}
		if rng.Float64()*most < rateAt(curve, shot.At) {
			plan = append(plan, shot)
		}
	}
}

func rateAt(curve []Point, at time.Duration) float64 {
	for i, p := range curve {
		if at < p.At {
			if i == 0 {
				return p.Rate
			}
			q := curve[i-1]
			return q.Rate + (p.Rate-q.Rate)*float64(at-q.At)/float64(p.At-q.At)
		}
	}
	return curve[len(curve)-1].Rate
}

// Target is what is loaded. Send is called from many goroutines; it returns by ctx's end, or soon after.
type Target interface {
	Name() string
	Send(ctx context.Context, id string, s Shot) Kind
}

// Message is a request as the platform's applications send it.
type Message struct {
	ID, Class, Effect, Key string        // Key: absent where it is empty
	Patience               time.Duration // how long the answer is waited for
	Work, Hint             time.Duration // told to stand-in nodes; the guess at it
}

// Request makes it, for the daemon at a URL without a path. Nothing sends it again by itself.
func (m Message) Request(ctx context.Context, url string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if m.Effect != "safe" {
		method, body = http.MethodPost, strings.NewReader("seat")
	}
	req, err := http.NewRequestWithContext(ctx, method, url+"/"+m.Class+"/x", body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	us := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Microsecond), 'f', -1, 64)
	}
	for name, value := range map[string]string{"X-Request-Id": m.ID, "X-Class": m.Class, "X-Deadline-Ms": strconv.FormatInt(max(1, m.Patience.Milliseconds()), 10),
		"X-Cost-Hint": us(m.Hint), "X-Extras": "work=" + us(m.Work)} {
		req.Header.Set(name, value)
	}
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	return req, nil
}

// HTTP is a target that speaks the platform's protocol, as an application does. Close lets its connections go.
type HTTP struct {
	url    string
	client *http.Client
}

// NewHTTP makes one; url has no path.
func NewHTTP(url string) *HTTP {
	return &HTTP{url: strings.TrimSuffix(url, "/"), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// Name is its address.
func (h *HTTP) Name() string { return h.url }

// Close lets its idle connections go.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Send sends one request.
func (h *HTTP) Send(ctx context.Context, id string, s Shot) Kind {
	deadline, _ := ctx.Deadline()
	m := Message{ID: id, Class: s.Class, Effect: s.Effect, Patience: time.Until(deadline), Work: s.Work, Hint: s.Work}
	if s.Effect == "keyed" {
		m.Key = "k" + id
	}
	req, err := m.Request(ctx, h.url)
	if err != nil {
		return Failed
	}
	resp, err := h.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return Late
	case err != nil:
		return Broken
	case resp.StatusCode >= 200 && resp.StatusCode < 300:
		return Served
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return Refused
	}
	return Failed
}

// maxOpen bounds the requests that are open to one target.
const maxOpen = 4096

// Report is what became of a plan at one target.
type Report struct {
	Target string         `json:"target"`
	Kinds  map[string]int `json:"kinds"`
	// Of served requests, from the intended times, in milliseconds.
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	// LateP50 and LateP99 are how much later than intended requests were sent, and Slow says that this was too much: then
	// the machine was too slow, and the figures are the generator's, not the target's.
	LateP50 float64 `json:"late_p50_ms"`
	LateP99 float64 `json:"late_p99_ms"`
	Slow    bool    `json:"slow"`
}

// slowLate is how late one in a hundred requests may be sent.
const slowLate = 5 * time.Millisecond

// Run plays a plan at all targets at the same time. note is called for each request's end, from many goroutines.
func Run(ctx context.Context, plan Plan, targets []Target, note func(target int, k Kind, took time.Duration)) []Report {
	out := make([]Report, len(targets))
	var all sync.WaitGroup
	for i, t := range targets {
		all.Go(func() { out[i] = one(ctx, plan, t, func(k Kind, took time.Duration) { note(i, k, took) }) })
	}
	all.Wait()
	return out
}

func one(ctx context.Context, plan Plan, t Target, note func(Kind, time.Duration)) Report {
	took := NewHistogram()
	var mu sync.Mutex
	count := map[string]int{}
	end := func(k Kind, d time.Duration) {
		if k == Served {
			took.Add(d)
		}
		mu.Lock()
		count[k.String()]++
		mu.Unlock()
		note(k, d)
	}
	run := strconv.FormatInt(time.Now().UnixNano(), 36)
	p := Pace(ctx, func(n int) (time.Duration, bool) {
		if n >= len(plan) {
			return 0, false
		}
		return plan[n].At, true
	}, maxOpen, func(n int, intended time.Time) {
		s := plan[n]
		c, cancel := context.WithDeadline(ctx, intended.Add(s.Deadline))
		defer cancel()
		k := t.Send(c, fmt.Sprintf("%s-%08x", run, n), s)
		end(k, time.Since(intended))
	}, func(int, time.Time) { end(Unsent, 0) })
	ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
	return Report{Target: t.Name(), Kinds: count, P50: ms(took.At(0.5)), P90: ms(took.At(0.9)), P99: ms(took.At(0.99)), P999: ms(took.At(0.999)), Max: ms(took.At(1)),
		LateP50: ms(p.Late.At(0.5)), LateP99: ms(p.Late.At(0.99)), Slow: p.Late.At(0.99) > slowLate}
}
