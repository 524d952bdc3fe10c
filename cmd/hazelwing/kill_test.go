package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
	"hazelwing/internal/testutil"
)

var (
	killCount      = flag.Int("kills", 6, "number of times that TestKilled kills the daemon, for each durability")
	killDurability = flag.String("kill.durable", "",
		"run TestKilled with this durability only; \"off\" shows the results without a disk")
	killSeed = flag.Uint64("kill.seed", 1, "seed of TestKilled")
)

// daemonVariable is the environment variable that makes this test's program run as the daemon.
const daemonVariable = "HAZELWING_TEST_RUN"

// TestMain runs the tests. In a process that a test has started from the same program, it runs the daemon, the plain
// servers (serversMain) or the forwarder (forwardMain) instead.
func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		daemonMain()
		return
	}
	if os.Getenv(serversVariable) != "" {
		serversMain()
		return
	}
	if os.Getenv(forwardVariable) != "" {
		forwardMain()
		return
	}
	os.Exit(m.Run())
}

var trafficClasses = []emulator.TrafficClass{
	{Name: "look", Effect: "safe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "book", Effect: "unsafe", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
	{Name: "pay", Effect: "keyed", ObjectiveMS: 1000, DeadlineMS: 4000, Weight: 1, LateWeight: 0.5},
}

// daemonProcess is a daemon in a separate process, with emulated nodes in this process as its upstreams.
type daemonProcess struct {
	t          *testing.T
	fleet      *emulator.Fleet
	addr       string
	env        []string
	cmd        *exec.Cmd
	log        *os.File
	generation atomic.Int64 // number of starts and kills of the daemon so far; odd while the daemon runs
}

// killClient is a client that sends one request at a time, on its own connections.
type killClient struct {
	client     *http.Client
	transport  *http.Transport
	generation int64 // generation of the daemon to which the client is connected
}

// newDaemonProcess returns a daemon that is not started yet. operator is the text of the operator's file, empty for
// none; DIR in it stands for a directory that does not exist yet.
func newDaemonProcess(t *testing.T, operator string) *daemonProcess {
	t.Helper()
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: trafficClasses}}
	var nodes []emulator.NodeConfig
	for i := range 6 {
		nodes = append(nodes, emulator.NodeConfig{
			Name:  fmt.Sprint("n", i),
			Zone:  string(rune('a' + i%3)),
			Kind:  "m",
			Speed: 1,
		})
	}
	fleet, err := emulator.NewFleet(emulator.FleetConfig{Nodes: nodes, Effects: traffic.Effects()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	r := &daemonProcess{t: t, fleet: fleet, addr: testutil.ReserveAddr(t)}
	text, err := emulator.PlatformConfig(traffic, r.addr, fleet.Discovery.Addr(), "7")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) string { return testutil.WriteFile(t, dir, name, text) }
	r.env = append(os.Environ(), daemonVariable+"=1", "RELAY_CONFIG="+write("platform.json", string(text)))
	if operator != "" {
		operatorText := strings.ReplaceAll(operator, "DIR", filepath.Join(dir, "ledger"))
		r.env = append(r.env, operatorVariable+"="+write("operator.toml", operatorText))
	}
	if r.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.kill()
		r.log.Close()
	})
	return r
}

func (r *daemonProcess) start() {
	r.t.Helper()
	r.cmd = exec.CommandContext(r.t.Context(), os.Args[0])
	r.cmd.Env = r.env
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	testutil.Until(r.t, "the daemon listens", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	r.generation.Add(1)
}

func (r *daemonProcess) kill() {
	if r.cmd != nil {
		r.generation.Add(1)
		_ = r.cmd.Process.Kill() // the process may have ended
		_ = r.cmd.Wait()         // a killed process has an error status
		r.cmd = nil
	}
}

// attemptOutcome is the outcome of one attempt of a client.
type attemptOutcome int

const (
	served attemptOutcome = iota
	rejected
	failed
	broken // the connection with the daemon was lost

	attemptOutcomes // number of outcomes
)

// attempt sends one request with a unique ID. If the daemon runs during the whole attempt, it must respond.
func (r *daemonProcess) attempt(c *killClient, class emulator.TrafficClass, key, id string) attemptOutcome {
	generation := r.generation.Load()
	if generation != c.generation { // the connections to the former daemon are broken
		c.transport.CloseIdleConnections()
		c.generation = generation
	}
	message := load.Message{
		ID:      id,
		Class:   class.Name,
		Effect:  class.Effect,
		Timeout: 3 * time.Second,
		Work:    12 * time.Millisecond,
	}
	if class.Effect != "safe" {
		message.Key = key
	}
	req, err := message.Request(r.t.Context(), "http://"+r.addr)
	if err != nil {
		r.t.Error(err)
		return failed
	}
	outcome := r.exchange(c.client, req, class, key, id)
	if outcome == broken && generation%2 == 1 && r.generation.Load() == generation {
		r.t.Errorf("request %s got no response although the daemon ran during the whole attempt", id)
	}
	return outcome
}

func (r *daemonProcess) exchange(
	client *http.Client, req *http.Request, class emulator.TrafficClass, key, id string,
) attemptOutcome {
	resp, err := client.Do(req)
	if err != nil {
		return broken
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return broken
	case resp.StatusCode == http.StatusOK:
		if !strings.HasPrefix(string(text), id) {
			r.t.Errorf("request %s was served with the body %q, want one that begins with the ID", id, text)
		}
		return served
	case resp.StatusCode == http.StatusServiceUnavailable:
		if runs := r.fleet.Rules.KeyExecutions(key); runs > 0 && class.Effect == "unsafe" {
			r.t.Errorf("request %s with key %s was rejected after it had been executed", id, key)
		}
		return rejected
	case resp.StatusCode == http.StatusBadGateway, resp.StatusCode == http.StatusGatewayTimeout:
		return failed
	}
	r.t.Errorf("request %s: status %q with the body %q, want status 200, 502, 503 or 504", id, resp.Status, text)
	return failed
}

// The daemon is killed at random times and restarted. If a request was not served, its client retries it with a new ID
// and the same key. A killed daemon loses the records of attempts that it had in memory, so that the effects of these
// attempts could be executed twice. No request that is not idempotent may be executed twice, and no keyed request may
// be executed twice within its idempotency scope and window. The long form is
//
//	go test ./cmd/hazelwing -run Killed -kills 200 -timeout 30m
func TestKilled(t *testing.T) {
	for _, durable := range []string{"always", "batch"} {
		if *killDurability != "" {
			durable = *killDurability
		}
		t.Run(durable, func(t *testing.T) {
			t.Parallel()
			testKilled(t, durable)
		})
		if *killDurability != "" {
			break
		}
	}
}

// killCounts counts the attempts of TestKilled's clients by their outcome.
type killCounts struct {
	all       [attemptOutcomes]atomic.Int64
	afterKill [attemptOutcomes]atomic.Int64 // attempts of unsafe and keyed requests after a broken connection
}

// runKillClient sends requests until stop is closed, with up to four attempts each.
func (r *daemonProcess) runKillClient(n int, stop <-chan struct{}, counts *killCounts) {
	const attempts = 4
	rng := rand.New(rand.NewPCG(*killSeed, uint64(n)))
	transport := &http.Transport{DisableKeepAlives: rng.IntN(2) == 0}
	defer transport.CloseIdleConnections()
	client := &killClient{
		client:    &http.Client{Transport: transport, Timeout: testutil.WaitTimeout},
		transport: transport,
	}
	for i := 0; ; i++ {
		class := trafficClasses[rng.IntN(len(trafficClasses))]
		key := fmt.Sprintf("k%d-%d", n, i)
		afterKill := false
		for attempt := range attempts {
			select {
			case <-stop:
				return
			default:
			}
			outcome := r.attempt(client, class, key, fmt.Sprintf("%s-%d", key, attempt))
			counts.all[outcome].Add(1)
			if afterKill && class.Effect != "safe" {
				counts.afterKill[outcome].Add(1)
			}
			if outcome == served {
				break
			}
			time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			if outcome == broken {
				afterKill = true
				r.awaitDaemon(stop)
			}
		}
	}
}

// awaitDaemon waits until the daemon runs or stop is closed. Without it, the retries of most requests come while the
// daemon starts, above all on a busy machine, and none to the restarted daemon.
func (r *daemonProcess) awaitDaemon(stop <-chan struct{}) {
	for r.generation.Load()%2 == 0 {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func testKilled(t *testing.T, durable string) {
	operator := fmt.Sprintf("[ledger]\ndurable = %q\nremember = \"1h\"\n", durable)
	if durable != "off" {
		operator += "dir = \"DIR\"\n"
	}
	r := newDaemonProcess(t, operator)
	r.start()
	const clients = 12
	stop := make(chan struct{})
	var all sync.WaitGroup
	var counts killCounts
	for n := range clients {
		all.Go(func() { r.runKillClient(n, stop, &counts) })
	}
	rng := rand.New(rand.NewPCG(*killSeed, 1000))
	for range *killCount {
		time.Sleep(time.Duration(20+rng.IntN(200)) * time.Millisecond)
		r.kill()
		r.start()
	}
	close(stop)
	all.Wait()
	for _, rule := range r.fleet.Rules.Violations() {
		t.Error("rule violated:", rule)
	}
	total, _ := r.fleet.Rules.Executions("")
	ends, later := &counts.all, &counts.afterKill
	t.Logf("%s: %d kills, %d executions; attempts: %d served, %d rejected, %d failed, %d broken; "+
		"after a kill: %d served, %d rejected, %d failed", durable, *killCount, total,
		ends[served].Load(), ends[rejected].Load(), ends[failed].Load(), ends[broken].Load(),
		later[served].Load(), later[rejected].Load(), later[failed].Load())
	if ends[served].Load() == 0 || later[failed].Load() == 0 {
		t.Errorf("%d attempts were served and %d retries failed after a kill, want both above 0",
			ends[served].Load(), later[failed].Load())
	}
}

var costRunLength = flag.Duration("cost", 0, "duration of each run of TestCost; 0: the test is skipped")

// TestCost measures the latency that idempotency records add to a request: without records, and with each durability:
//
//	go test ./cmd/hazelwing -run Cost -v -cost 10s -timeout 30m
func TestCost(t *testing.T) {
	if *costRunLength == 0 {
		t.Skip("-cost is not set")
	}
	traffic := func(class string, rate float64) *emulator.Traffic {
		out := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: trafficClasses}}
		rng := rand.New(rand.NewPCG(1, 1))
		for at := 0.0; at < costRunLength.Seconds(); at += rng.ExpFloat64() / rate {
			request := emulator.Request{AtMS: at * 1000, Class: class, WorkUS: 2000, ExpectedWorkUS: 2000}
			out.Requests = append(out.Requests, request)
		}
		return out
	}
	fmt.Println("| round | ledger | unsafe p50 ms | p99 | p99.9 | safe p50 ms | p99 | p99.9 | served |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for round := range 3 {
		for _, mode := range []string{"none", "off", "batch", "always"} {
			operator := ""
			switch mode {
			case "none":
			case "off":
				operator = "[ledger]\ndurable = \"off\"\n"
			default:
				operator = fmt.Sprintf("[ledger]\ndurable = %q\ndir = \"DIR\"\n", mode)
			}
			r := newDaemonProcess(t, operator)
			r.start()
			do, idle := emulator.HTTPClient(r.addr, r.fleet.Rules)
			var unsafe, safe *emulator.Report
			var both sync.WaitGroup
			both.Go(func() { unsafe = emulator.Replay(t.Context(), traffic("book", 150), time.Second, do) })
			both.Go(func() {
				safe = emulator.Replay(t.Context(), traffic("look", 150), time.Second,
					func(ctx context.Context, n int, c emulator.TrafficClass, q emulator.Request) emulator.Outcome {
						return do(ctx, n+1<<24, c, q)
					})
			})
			both.Wait()
			idle()
			r.kill()
			ms := func(d time.Duration) float64 { return d.Seconds() * 1000 }
			fmt.Printf("| %d | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %d of %d |\n", round+1, mode,
				ms(unsafe.P50), ms(unsafe.P99), ms(unsafe.P999),
				ms(safe.P50), ms(safe.P99), ms(safe.P999),
				unsafe.Served+safe.Served, unsafe.Sent+safe.Sent)
		}
	}
}
