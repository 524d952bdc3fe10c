package testcluster

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

// Classes are those of the rig's clients.
var Classes = []emulator.TrafficClass{
	{Name: "look", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "book", Effect: "unsafe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "pay", Effect: "keyed", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
}

const (
	clientPatience = 3 * time.Second
	clientSlack    = 3 * time.Second // a busy machine's, beyond the client's time
	clientWork     = 3 * time.Millisecond
)

// Answers are how requests ended, over all clients.
type Outcomes struct{ Served, Rejected, Failed, Broken atomic.Int64 }

// client is one beside each sidecar: it asks one request after the other, never again, and holds the sidecar to the first rule.
func (r *Cluster) client(ctx context.Context, p *process) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(1000+p.n)))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	last := int64(0)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(10+rng.IntN(40)) * time.Millisecond):
		}
		life := p.life.Load()
		if life%2 == 0 || !p.up.Load() {
			continue
		}
		if life != last {
			transport.CloseIdleConnections()
			last = life
		}
		r.ask(client, p, life, Classes[rng.IntN(len(Classes))], fmt.Sprintf("%s-%d", p.name, i))
	}
}

func (r *Cluster) ask(client *http.Client, p *process, life int64, class emulator.TrafficClass, id string) {
	m := load.Message{ID: id, Class: class.Name, Effect: class.Effect, Patience: clientPatience, Work: clientWork}
	if class.Effect == "keyed" {
		m.Key = "k" + id
	}
	frozen := p.freezes.Load()
	ctx, end := context.WithTimeout(context.Background(), clientPatience+clientSlack)
	defer end()
	req, err := m.Request(ctx, "http://"+p.listen)
	if err != nil {
		r.fault("%s: %v", id, err)
		return
	}
	resp, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	switch {
	case err != nil:
		r.Outcomes.Broken.Add(1)
		// One that is killed, ended or stopped meanwhile owes nothing.
		if p.life.Load() == life && p.freezes.Load() == frozen && !p.stopped.Load() {
			r.fault("%s had no answer from a sidecar that runs: %v", id, err)
		}
	case resp.StatusCode == http.StatusOK:
		r.Outcomes.Served.Add(1)
		if !strings.HasPrefix(string(text), id) {
			r.fault("%s was served with %q", id, text)
		}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		r.Outcomes.Rejected.Add(1)
		if _, ran := r.Servers.Rules.Executions(id); ran > 0 && class.Effect == "unsafe" {
			r.fault("%s was refused after it ran", id)
		}
	default:
		r.Outcomes.Failed.Add(1)
	}
}

// faults are what was seen wrong.
type faults struct {
	mu   sync.Mutex
	list []string
}

const mostFaults = 50

func (r *Cluster) fault(format string, args ...any) {
	r.faults.mu.Lock()
	defer r.faults.mu.Unlock()
	if len(r.faults.list) < mostFaults {
		r.faults.list = append(r.faults.list, fmt.Sprintf(format, args...))
	}
}
