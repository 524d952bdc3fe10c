// Package gqldemo shows GraphQL at work: stand-in nodes that execute a schema and spoil answers, the daemon with its
// GraphQL front, and clients that mix queries and mutations, while a node crashes every second. At the end each answer is
// held against the nodes' own counters.
package gqldemo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"hazelwing/internal/demo"
	"hazelwing/internal/emulator"
	"hazelwing/internal/emulator/gqlnode"
	"hazelwing/internal/load"
	"hazelwing/internal/operator"
)

// Options say what is played.
type Options struct {
	Seed   uint64
	Rate   float64 // requests a second
	Length time.Duration
	// Grace is what a busy machine may add to a client's time; 0: 500 ms.
	Grace time.Duration
}

const (
	patience = 2 * time.Second
	mostOpen = 1024
)

// tally counts what came back.
type tally struct {
	mu                               sync.Mutex
	requests, late, refused, queries int
	says                             map[gqlnode.Execution]int
	claims                           []gqlnode.Claim
	faults                           []string
}

func (t *tally) fault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) < 20 {
		t.faults = append(t.faults, fmt.Sprintf(format, args...))
	}
}

// Run plays it and writes a line a second and a summary to out. It returns demo.ErrRule where a rule broke.
func Run(ctx context.Context, o Options, out io.Writer) error {
	if o.Grace == 0 {
		o.Grace = 500 * time.Millisecond
	}
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: gqlnode.Classes}}
	fleet, err := emulator.NewFleet(emulator.FleetConfig{Nodes: emulator.MixedNodes(7), Effects: traffic.Effects(),
		NewServer: gqlnode.New(gqlnode.FaultShares{ResetAfter: 0.005, Truncate: 0.005, OmitFields: 0.005, Garbage: 0.005}), DrainSlack: o.Grace})
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	url, ended, err := start(ctx, o, traffic, fleet)
	if err != nil {
		return err
	}
	plan, err := load.Poisson(o.Seed, []load.Point{{Rate: o.Rate}}, o.Length, load.ScheduledRequest{})
	if err != nil {
		return err
	}
	var parts sync.WaitGroup
	parts.Go(func() { trouble(ctx, o.Seed, fleet) })
	t := &tally{says: map[gqlnode.Execution]int{}}
	parts.Go(func() { load.Every(ctx, time.Second, func() { fmt.Fprintln(out, t) }) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen}}
	load.Pace(ctx, func(n int) (time.Duration, bool) {
		if n >= len(plan) {
			return 0, false
		}
		return plan[n].At, true
	}, mostOpen, func(n int, _ time.Time) { t.one(client, url, o, n) }, func(n int, _ time.Time) { t.fault("request %d was not sent: too many were open", n) })
	stop()
	parts.Wait()
	client.CloseIdleConnections()
	if err := <-ended; err != nil {
		return fmt.Errorf("the daemon: %w", err)
	}
	fleet.Close() // whatever still ran has ended
	return t.verdict(out, fleet.Rules)
}

// start starts the daemon, and gives the address of its GraphQL.
func start(ctx context.Context, o Options, traffic *emulator.Traffic, fleet *emulator.Fleet) (url string, ended chan error, err error) {
	addr, err := demo.FreeAddr()
	if err != nil {
		return "", nil, err
	}
	dir, err := os.MkdirTemp("", "hazelwing-demo")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	schema := filepath.Join(dir, "booking.graphql")
	if err := os.WriteFile(schema, []byte(gqlnode.SDL), 0o600); err != nil {
		return "", nil, err
	}
	op, err := operator.Parse([]byte(strings.NewReplacer("LISTEN", addr, "SCHEMA", schema).Replace(gqlnode.OperatorConfig)))
	if err != nil {
		return "", nil, err
	}
	_, ended, err = demo.StartDaemon(ctx, traffic, op, fleet.Discovery.Addr(), o.Seed, slog.DiscardHandler)
	return "http://" + addr + "/graphql", ended, err
}

// trouble crashes a node every second, and starts it again.
func trouble(ctx context.Context, seed uint64, fleet *emulator.Fleet) {
	rng := rand.New(rand.NewPCG(seed, 0x64656d6f))
	for {
		node := fmt.Sprint("n", 1+rng.IntN(7))
		for _, verb := range []string{"crash", "restart"} {
			select {
			case <-time.After(500 * time.Millisecond):
			case <-ctx.Done():
				return
			}
			fleet.Fault(emulator.Fault{Verb: verb, Node: node})
		}
	}
}

// one sends a request and reads what its answer says.
func (t *tally) one(client *http.Client, url string, o Options, n int) {
	body, tokens := gqlnode.RandomRequest(rand.New(rand.NewPCG(o.Seed, uint64(n))), n)
	begun := time.Now()
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.fault("%v", err)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		t.fault("request %d has no answer: %v", n, err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.fault("request %d has half an answer: %v", n, err)
		return
	}
	responses := []json.RawMessage{text}
	if body[0] == '[' {
		if err := json.Unmarshal(text, &responses); err != nil || len(responses) != len(tokens) {
			t.fault("request %d has %d answers for %d", n, len(responses), len(tokens))
			return
		}
	}
	t.mu.Lock()
	t.requests++
	if time.Since(begun) > patience+o.Grace {
		t.late++
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		t.refused++
	}
	t.mu.Unlock()
	for i, r := range responses {
		list, err := gqlnode.ReadClaims(r, tokens[i])
		if err != nil {
			t.fault("request %d: %v", n, err)
		}
		t.mu.Lock()
		if len(tokens[i]) == 0 {
			t.queries++
		}
		for _, c := range list {
			t.says[c.Execution]++
		}
		t.claims = append(t.claims, list...)
		t.mu.Unlock()
	}
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%5d requests, %d refused, %d late; %d queries; mutations: %d ran, %d never ran, %d without a promise", t.requests, t.refused, t.late,
		t.queries, t.says[gqlnode.Executed], t.says[gqlnode.NotExecuted], t.says[gqlnode.Unknown])
}

// verdict holds every answer against the nodes' counters.
func (t *tally) verdict(out io.Writer, ledger *emulator.RuleChecker) error {
	fmt.Fprintln(out, t)
	broken := append(t.faults, ledger.Violations()...)
	if t.late > 0 {
		broken = append(broken, fmt.Sprintf("%d answers came after their client's time", t.late))
	}
	for _, c := range t.claims {
		if ran := ledger.KeyExecutions(c.Token); c.Contradicts(ran) {
			broken = append(broken, fmt.Sprintf("%s: the answer says %q, and it ran %d times", c.Token, c.Execution, ran))
		}
	}
	for _, b := range broken {
		fmt.Fprintln(out, "rule broken:", b)
	}
	if len(broken) > 0 {
		return demo.ErrRule
	}
	if len(t.claims) == 0 {
		return errors.New("nothing was played")
	}
	fmt.Fprintf(out, "all rules kept: one answer each, no mutation twice, and none of %d answers on mutations is denied by the nodes' counters\n", len(t.claims))
	return nil
}
