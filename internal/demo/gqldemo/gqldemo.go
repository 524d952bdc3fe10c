// Package gqldemo demonstrates the GraphQL front. It runs emulated nodes that execute a schema and inject faults into
// responses, the daemon with its GraphQL front, and clients that send queries and mutations, while a node crashes every
// second. At the end, it compares the results that the responses state with the nodes' counters of executions.
package gqldemo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
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

// Options describe a demonstration.
type Options struct {
	Seed   uint64
	Rate   float64 // requests per second
	Length time.Duration
	// Grace is how long after the client's deadline a response still counts as in time; 0: 500 ms.
	Grace time.Duration
}

const (
	// defaultGrace is used if Options.Grace is 0.
	defaultGrace = 500 * time.Millisecond
	// nodeCount is the number of emulated nodes.
	nodeCount = 7
	// maxOpen limits the requests in flight.
	maxOpen = 1024
	// faultShare is the share of the responses, apart from those to batches, with each of the four injected faults.
	faultShare = 0.005
)

// Run sends the requests and crashes nodes, and writes a line every second and a summary to out. It returns
// demo.ErrRuleBroken if a rule was broken. It ends early when ctx ends.
func Run(ctx context.Context, options Options, out io.Writer) error {
	options.Grace = cmp.Or(options.Grace, defaultGrace)
	traffic := &emulator.Traffic{TrafficHeader: emulator.TrafficHeader{Classes: gqlnode.Classes}}
	fleet, err := emulator.NewFleet(emulator.FleetConfig{ //nolint:contextcheck // the nodes run until Close
		Nodes:   emulator.MixedNodes(nodeCount),
		Effects: traffic.Effects(),
		NewServer: gqlnode.New(gqlnode.FaultShares{
			ResetAfter:  faultShare,
			Truncate:    faultShare,
			OmitFields:  faultShare,
			InvalidJSON: faultShare,
		}),
		DrainSlack: options.Grace,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	url, daemon, err := startDaemon(ctx, options.Seed, traffic, fleet.Discovery.Addr())
	if err != nil {
		return err
	}
	plan, err := load.Poisson(options.Seed, []load.Point{{Rate: options.Rate}}, options.Length, load.ScheduledRequest{})
	if err != nil {
		return err
	}
	results := newTally()
	var background sync.WaitGroup
	background.Go(func() { crashNodes(ctx, options.Seed, fleet) })
	background.Go(func() { load.Every(ctx, time.Second, func() { printLine(out, results) }) })
	c := &client{
		url:     url,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen}},
		seed:    options.Seed,
		grace:   options.Grace,
		results: results,
	}
	c.sendAll(ctx, plan)
	stop()
	background.Wait()
	c.http.CloseIdleConnections()
	if err := daemon.Wait(); err != nil {
		return err
	}
	fleet.Close() // ends all executions, so that the counters are final
	return results.printVerdict(out, fleet.Rules)
}

// startDaemon starts a daemon with a GraphQL front and returns the URL of the front.
func startDaemon(
	ctx context.Context, seed uint64, traffic *emulator.Traffic, discovery string,
) (url string, daemon *demo.Daemon, err error) {
	addr, err := demo.FreeAddr(ctx)
	if err != nil {
		return "", nil, err
	}
	dir, err := os.MkdirTemp("", "hazelwing-demo")
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // a failure leaves one small temporary file
	schema := filepath.Join(dir, "booking.graphql")
	if err := os.WriteFile(schema, []byte(gqlnode.SDL), 0o600); err != nil {
		return "", nil, err
	}
	operatorFile := strings.NewReplacer("LISTEN", addr, "SCHEMA", schema).Replace(gqlnode.OperatorConfig)
	operatorConfig, err := operator.Parse([]byte(operatorFile))
	if err != nil {
		return "", nil, err
	}
	daemon, err = demo.StartDaemon(ctx, demo.DaemonConfig{
		Traffic:   traffic,
		Operator:  operatorConfig,
		Discovery: discovery,
		Seed:      seed,
		Log:       slog.DiscardHandler,
	})
	return "http://" + addr + "/graphql", daemon, err
}

// printLine writes to the user's terminal or file. It ignores errors, since the exit status does not depend on the
// output.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }
