package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"time"
)

// Recorded traffic is a file of JSON objects, a line each: first a Head, then a Request for each that a client made,
// in order of time. Its page is docs/operators/traffic.md.

// TrafficHeader is the first line of recorded traffic.
type TrafficHeader struct {
	Format  string         `json:"format"` // "hazelwing-traffic"
	Version int            `json:"version"`
	Classes []TrafficClass `json:"classes"`
}

// TrafficClass is a class of requests as clients know it.
type TrafficClass struct {
	Name        string  `json:"name"`
	Effect      string  `json:"effect"` // safe, keyed, unsafe
	ObjectiveMS float64 `json:"aim_ms"`
	DeadlineMS  float64 `json:"deadline_ms"`
	Weight      float64 `json:"worth"`
	LateWeight  float64 `json:"late_share"` // of the worth, for an answer after the aim
}

// Request is one that a client made.
type Request struct {
	AtMS           float64 `json:"at_ms"` // since the recording began
	Class          string  `json:"class"`
	AffinityKey    string  `json:"key,omitempty"` // what it is about
	WorkUS         float64 `json:"work_us"`       // at speed 1
	ExpectedWorkUS float64 `json:"hint_us,omitempty"`
}

// At is when it was made, since the recording began.
func (r Request) At() time.Duration { return time.Duration(r.AtMS * float64(time.Millisecond)) }

// Traffic is a recording.
type Traffic struct {
	TrafficHeader
	Requests []Request
}

const (
	trafficFormat  = "hazelwing-traffic"
	trafficVersion = 1
	// MaxRequests bounds a recording.
	MaxRequests = 10_000_000
	longestLine = 64 << 10
)

var effectNames = map[string]Effect{"safe": Idempotent, "keyed": Keyed, "unsafe": NonIdempotent}

// Effects are those of the classes.
func (t *Traffic) Effects() map[string]Effect {
	out := map[string]Effect{}
	for _, c := range t.Classes {
		out[c.Name] = effectNames[c.Effect]
	}
	return out
}

// Length is when the last request was made.
func (t *Traffic) Length() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At()
}

// Write writes a recording.
func (t *Traffic) Write(w io.Writer) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	t.Format, t.Version = trafficFormat, trafficVersion
	err := enc.Encode(t.TrafficHeader)
	for i := 0; i < len(t.Requests) && err == nil; i++ {
		err = enc.Encode(t.Requests[i])
	}
	return errors.Join(err, out.Flush())
}

// LoadTraffic reads a recording's file, or says which file and line cannot be used.
func LoadTraffic(path string) (*Traffic, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := ReadTraffic(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// ReadTraffic reads a recording, or says which line of it cannot be used.
func ReadTraffic(r io.Reader) (*Traffic, error) {
	t := &Traffic{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	n := 0
	fault := func(err error) (*Traffic, error) { return nil, fmt.Errorf("traffic, line %d: %w", n, err) }
	known := map[string]bool{}
	for lines.Scan() {
		n++
		if n == 1 {
			if err := json.Unmarshal(lines.Bytes(), &t.TrafficHeader); err != nil {
				return fault(err)
			}
			if err := t.TrafficHeader.check(known); err != nil {
				return fault(err)
			}
			continue
		}
		var q Request
		if err := json.Unmarshal(lines.Bytes(), &q); err != nil {
			return fault(err)
		}
		switch last := len(t.Requests) - 1; {
		case !known[q.Class]:
			return fault(fmt.Errorf("class %q is not in the head", q.Class))
		case !usable(q.AtMS), !usable(q.WorkUS), !usable(q.ExpectedWorkUS):
			return fault(errors.New("at_ms, work_us or hint_us is negative or too large"))
		case last >= 0 && q.AtMS < t.Requests[last].AtMS:
			return fault(fmt.Errorf("at_ms %v is before the line above", q.AtMS))
		case last+1 >= MaxRequests:
			return fault(fmt.Errorf("more than %d requests", MaxRequests))
		}
		t.Requests = append(t.Requests, q)
	}
	if err := lines.Err(); err != nil {
		n++
		return fault(err)
	}
	if n == 0 {
		n = 1
		return fault(errors.New("no head"))
	}
	return t, nil
}

func usable(x float64) bool { return x >= 0 && x < 1e12 }

func (h *TrafficHeader) check(known map[string]bool) error {
	if h.Format != trafficFormat || h.Version != trafficVersion {
		return fmt.Errorf("format %q, version %d: want %q, version %d", h.Format, h.Version, trafficFormat, trafficVersion)
	}
	for _, c := range h.Classes {
		_, effect := effectNames[c.Effect]
		if c.Name == "" || known[c.Name] || !effect || !(c.ObjectiveMS > 0) || !(c.DeadlineMS > 0) || !(c.Weight >= 0) || !(c.LateWeight >= 0) {
			return fmt.Errorf("class %q: a name of its own, an effect, aim_ms, deadline_ms, worth and late_share are wanted", c.Name)
		}
		known[c.Name] = true
	}
	return nil
}

// BookingClasses are like those of a booking site, ten times as fast.
var BookingClasses = []TrafficClass{
	{Name: "seat-search", Effect: "safe", ObjectiveMS: 80, DeadlineMS: 400, Weight: 3, LateWeight: 0.3},
	{Name: "coach-map", Effect: "safe", ObjectiveMS: 60, DeadlineMS: 400, Weight: 3, LateWeight: 0.3},
	{Name: "confirm-booking", Effect: "unsafe", ObjectiveMS: 120, DeadlineMS: 600, Weight: 10, LateWeight: 0.5},
	{Name: "payment-record", Effect: "keyed", ObjectiveMS: 250, DeadlineMS: 600, Weight: 8, LateWeight: 0.3},
}

// Generate draws traffic of BookingClasses: rate requests a second on average, for a while, as Poisson arrivals with
// works of a lognormal kind. The same seed gives the same traffic.
func Generate(seed uint64, rate float64, length time.Duration) *Traffic {
	rng := rand.New(rand.NewPCG(seed, 0x7261696c))
	t := &Traffic{TrafficHeader: TrafficHeader{Classes: BookingClasses}}
	share := []float64{0.40, 0.70, 0.91, 1}
	mean := []float64{10500, 11500, 18000, 19000} // µs
	for at := rng.ExpFloat64() / rate; at < length.Seconds(); at += rng.ExpFloat64() / rate {
		x, i := rng.Float64(), 0
		for x > share[i] {
			i++
		}
		const sigma = 0.5
		work := mean[i] * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
		t.Requests = append(t.Requests, Request{AtMS: math.Round(at*1e6) / 1e3, Class: BookingClasses[i].Name,
			AffinityKey: fmt.Sprintf("u%d", rng.IntN(500)), WorkUS: math.Round(work), ExpectedWorkUS: math.Round(work * math.Exp(0.2*rng.NormFloat64()))})
	}
	return t
}
