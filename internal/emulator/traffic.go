package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Recorded traffic is a file with one JSON object per line: first a TrafficHeader, then a Request for each request that
// a client sent, in order of time. docs/operators/traffic.md describes the format.

// TrafficHeader is the first line of recorded traffic.
type TrafficHeader struct {
	Format  string         `json:"format"` // "hazelwing-traffic"
	Version int            `json:"version"`
	Classes []TrafficClass `json:"classes"`
}

// TrafficClass is a class of requests, as clients define it.
type TrafficClass struct {
	Name        string  `json:"name"`
	Effect      string  `json:"effect"` // safe, keyed, unsafe
	ObjectiveMS float64 `json:"aim_ms"` // latency objective
	DeadlineMS  float64 `json:"deadline_ms"`
	Weight      float64 `json:"worth"`
	LateWeight  float64 `json:"late_share"` // share of Weight that counts for a response after the objective
}

// Request is a request that a client sent.
type Request struct {
	AtMS           float64 `json:"at_ms"` // time since the start of the recording
	Class          string  `json:"class"`
	AffinityKey    string  `json:"key,omitempty"` // affinity key, which names the object of the request
	WorkUS         float64 `json:"work_us"`       // work at speed 1
	ExpectedWorkUS float64 `json:"hint_us,omitempty"`
}

// At returns the time from the start of the recording to the request.
func (r Request) At() time.Duration { return time.Duration(r.AtMS * float64(time.Millisecond)) }

// Traffic is recorded or generated traffic.
type Traffic struct {
	TrafficHeader
	Requests []Request
}

const (
	trafficFormat  = "hazelwing-traffic"
	trafficVersion = 1
	// MaxRequests limits the number of requests of a recording.
	MaxRequests = 10_000_000
	// maxLineBytes limits the length of a line.
	maxLineBytes = 64 << 10
	// maxTrafficNumber is the exclusive upper limit of at_ms, work_us and hint_us.
	maxTrafficNumber = 1e12
)

// effectNames are the names of effects in traffic files.
var effectNames = map[string]Effect{"safe": Idempotent, "keyed": Keyed, "unsafe": NonIdempotent}

// Effects returns the effects of the classes, by name.
func (t *Traffic) Effects() map[string]Effect {
	out := map[string]Effect{}
	for _, c := range t.Classes {
		out[c.Name] = effectNames[c.Effect]
	}
	return out
}

// Length returns the time from the start of the recording to the last request.
func (t *Traffic) Length() time.Duration {
	if len(t.Requests) == 0 {
		return 0
	}
	return t.Requests[len(t.Requests)-1].At()
}

// Write writes the recording to w.
func (t *Traffic) Write(w io.Writer) error {
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	t.Format, t.Version = trafficFormat, trafficVersion
	err := encoder.Encode(t.TrafficHeader)
	for i := 0; i < len(t.Requests) && err == nil; i++ {
		err = encoder.Encode(t.Requests[i])
	}
	return errors.Join(err, buffer.Flush())
}
