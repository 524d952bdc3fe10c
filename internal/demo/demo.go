// Package demo shows the daemon at work: a stand-in fleet, its discovery, the daemon and clients in one process on
// loopback, while one node slows, one drains and one crashes.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hazelwing/internal/daemon"
	"hazelwing/internal/emulator"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

// Options say what is played.
type Options struct {
	Seed    uint64
	Rate    float64       // requests a second
	Length  time.Duration // of the traffic, where none is given
	Nodes   int
	Traffic *emulator.Traffic // nil: generated from Seed
	Script  []emulator.Fault  // nil: DefaultScript
	Live    bool              // the view is redrawn in place; else a line is printed a second
	// Grace and Slack are what a busy machine may add to a client's time and to a drain's grace; 0: 250 ms and 50 ms.
	Grace, Slack time.Duration
}

// DefaultScript is what happens where no script is given.
const DefaultScript = `
2s   slow     n1   8 3s   # eight times slower
5s   drain    n3          # told to discovery, then gone
7s   crash    n4          # discovery learns of it a second later
9s   restart  n4          # a new process, cold
`

const (
	redraw = 250 * time.Millisecond
	// linger is for what the last request's attempts still do after its answer.
	linger = 300 * time.Millisecond
	// defaultGrace is for machines that do more than show this.
	defaultGrace = 250 * time.Millisecond
)

// ErrRule is returned when a rule broke.
var ErrRule = errors.New("a rule broke")

// Run plays it, writes the view and a summary to out, and returns ErrRule when a rule broke.
func Run(ctx context.Context, o Options, out io.Writer) error {
	traffic, script := o.Traffic, o.Script
	if traffic == nil {
		traffic = emulator.Generate(o.Seed, o.Rate, o.Length)
	}
	if script == nil {
		var err error
		if script, err = emulator.ReadScript(strings.NewReader(DefaultScript)); err != nil {
			return err
		}
	}
	fleet, err := emulator.NewFleet(emulator.FleetConfig{Nodes: emulator.MixedNodes(o.Nodes), Effects: traffic.Effects(), DrainSlack: o.Slack})
	if err != nil {
		return err
	}
	defer fleet.Close()
	for _, f := range script {
		if fleet.Node(f.Node) == nil {
			return fmt.Errorf("fault script: no node %q among %d", f.Node, o.Nodes)
		}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	view := newView(out, o.Live, fleet, traffic)
	addr, ended, err := StartDaemon(ctx, traffic, new(operator.Config), fleet.Discovery.Addr(), o.Seed, slog.NewTextHandler(view, nil))
	if err != nil {
		return err
	}
	do, closeIdle := emulator.HTTPClient(addr, fleet.Rules)
	defer closeIdle()
	played := make(chan error, 1)
	go func() { played <- fleet.Play(ctx, script) }()
	drawn := make(chan struct{})
	drawing, enough := context.WithCancel(ctx)
	go func() {
		defer close(drawn)
		view.run(drawing)
	}()
	report := emulator.Replay(ctx, traffic, cmp.Or(o.Grace, defaultGrace), func(ctx context.Context, n int, c emulator.TrafficClass, r emulator.Request) emulator.Outcome {
		begun := time.Now()
		kind := do(ctx, n, c, r)
		view.note(c, kind, time.Since(begun))
		return kind
	})
	time.Sleep(linger)
	enough()
	<-drawn
	view.close(report)
	stop()
	closeIdle()
	if err := <-played; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if err := <-ended; err != nil {
		return fmt.Errorf("the daemon: %w", err)
	}
	return verdict(out, report, fleet.Rules.Violations())
}

// verdict says what the rules say of it.
func verdict(out io.Writer, r *emulator.Report, broken []string) error {
	if r.Unanswered > 0 {
		broken = append(broken, fmt.Sprintf("%d requests got no final answer in their client's time", r.Unanswered))
	}
	for _, b := range broken {
		fmt.Fprintln(out, "rule broken:", b)
	}
	if len(broken) > 0 {
		return ErrRule
	}
	fmt.Fprintln(out, "all rules kept: one final answer each, no effect twice, drains kept, no cold node pushed over")
	return nil
}

// FreeAddr is an address on loopback where nothing listens, for a daemon that will.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// StartDaemon runs the daemon in this process until ctx ends, from a configuration as the platform writes it. It returns
// once the daemon listens at addr; ended brings how it ended.
func StartDaemon(ctx context.Context, t *emulator.Traffic, op *operator.Config, discovery string, seed uint64, log slog.Handler) (addr string, ended chan error, err error) {
	if addr, err = FreeAddr(); err != nil {
		return "", nil, err
	}
	text, err := emulator.PlatformConfig(t, addr, discovery, fmt.Sprintf("%x", seed))
	if err != nil {
		return "", nil, err
	}
	dir, err := os.MkdirTemp("", "hazelwing-demo")
	if err != nil {
		return "", nil, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", nil, err
	}
	cfg, err := platform.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return ""
	})
	if err != nil {
		return "", nil, err
	}
	ended = make(chan error, 1)
	go func() {
		ended <- daemon.Run(ctx, cfg, op, nil, nil, slog.New(log))
	}()
	return addr, ended, ready(ctx, addr)
}

// ready waits until the daemon listens.
func ready(ctx context.Context, addr string) error {
	const most = 10 * time.Second
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the daemon does not listen: %w", err)
		case <-time.After(5 * time.Millisecond):
		}
	}
}
