package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"hazelwing/internal/emulator"
	"hazelwing/internal/load"
)

func loadCommand() *cobra.Command {
	var seed uint64
	var rate float64
	var length time.Duration
	var ramp, traffic, message string
	var asJSON bool
	shot := load.Shot{}
	c := &cobra.Command{
		Use:   "load URL...",
		Short: "Load one or more HTTP or gRPC targets, all with the same requests at the same time",
		Long: `Send requests as the platform's applications do, open loop: each has a time at which it is to be sent, whatever the
answers before it did, and its latency counts from then. A target is http://HOST:PORT, or
grpc://HOST:PORT/SERVICE/METHOD. With several targets all get the same requests at the same times.
Where the machine was too slow to keep its times, the figures say so, and the status is 1.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := planOf(seed, rate, ramp, length, traffic, shot)
			if err != nil {
				return err
			}
			var targets []load.Target
			for _, a := range args {
				t, closed, err := loadTarget(a, message)
				if err != nil {
					return err
				}
				defer closed()
				targets = append(targets, t)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			v := &loadView{out: cmd.ErrOrStderr(), ends: make([]map[load.Kind]int, len(targets))}
			if term.IsTerminal(int(os.Stderr.Fd())) {
				live, enough := context.WithCancel(ctx)
				defer enough()
				go load.Every(live, time.Second, v.print)
			}
			return reportLoad(cmd.OutOrStdout(), load.Run(ctx, plan, targets, v.note), asJSON)
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the times")
	f.Float64Var(&rate, "rate", 100, "requests a second, on average")
	f.StringVar(&ramp, "ramp", "", "in place of --rate: points such as \"0s:100,10s:400,20s:100\"")
	f.DurationVar(&length, "length", 10*time.Second, "how long")
	f.StringVar(&traffic, "traffic", "", "recorded traffic to play in place of all these")
	f.StringVar(&shot.Class, "class", "seat-search", "the requests' class")
	f.StringVar(&shot.Effect, "effect", "safe", "safe, keyed or unsafe")
	f.DurationVar(&shot.Deadline, "deadline", 2*time.Second, "how long an answer is waited for")
	f.DurationVar(&shot.Work, "work", 0, "work told to stand-in nodes, and as the hint")
	f.StringVar(&message, "message", "", "file with the encoded request of gRPC targets; none: a google.protobuf.StringValue")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// grpcTarget makes a target of a gRPC method; nil where the build leaves gRPC out.
var grpcTarget func(address string, body []byte) (load.Target, func() error, error)

// loadTarget makes a target of its address, and says how it is let go.
func loadTarget(address, message string) (load.Target, func() error, error) {
	u, err := url.Parse(address)
	if err == nil && u.Scheme == "grpc" {
		if grpcTarget == nil {
			return nil, nil, fmt.Errorf("%s: this build (tag small) has no gRPC", address)
		}
		var body []byte
		if message != "" {
			if body, err = os.ReadFile(message); err != nil {
				return nil, nil, err
			}
		}
		return grpcTarget(address, body)
	}
	if err != nil || u.Scheme != "http" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
		return nil, nil, fmt.Errorf("%q is no target such as http://127.0.0.1:8081 or grpc://127.0.0.1:8081/booking.v1.Booking/Do", address)
	}
	t := load.NewHTTP(address)
	return t, func() error { t.Close(); return nil }, nil
}

// planOf makes the plan that the flags say.
func planOf(seed uint64, rate float64, ramp string, length time.Duration, traffic string, shot load.Shot) (load.Plan, error) {
	if traffic != "" {
		t, err := emulator.LoadTraffic(traffic)
		if err != nil {
			return nil, err
		}
		var plan load.Plan
		for _, q := range t.Requests {
			for _, c := range t.Classes {
				if c.Name == q.Class {
					plan = append(plan, load.Shot{At: q.At(), Class: c.Name, Effect: c.Effect, Deadline: time.Duration(c.DeadlineMS * float64(time.Millisecond)),
						Work: time.Duration(q.WorkUS * float64(time.Microsecond))})
				}
			}
		}
		return plan, nil
	}
	if shot.Effect != "safe" && shot.Effect != "keyed" && shot.Effect != "unsafe" {
		return nil, fmt.Errorf("--effect %q is not safe, keyed or unsafe", shot.Effect)
	}
	if shot.Deadline <= 0 || shot.Class == "" {
		return nil, fmt.Errorf("--deadline is above 0, and --class is not empty")
	}
	curve := []load.Point{{Rate: rate}}
	if ramp != "" {
		curve = nil
		for text := range strings.SplitSeq(ramp, ",") {
			var p load.Point
			at, r, ok := strings.Cut(text, ":")
			d, err := time.ParseDuration(at)
			if _, e := fmt.Sscan(r, &p.Rate); !ok || err != nil || e != nil {
				return nil, fmt.Errorf("--ramp: %q is no point such as 10s:400", text)
			}
			p.At = d
			curve = append(curve, p)
		}
	}
	return load.Poisson(seed, curve, length, shot)
}

func reportLoad(out io.Writer, list []load.Report, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(list); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "TARGET\tSERVED\tREFUSED\tFAILED\tBROKEN\tLATE\tUNSENT\tP50 MS\tP90\tP99\tP99.9\tMAX\tSENT LATE BY, P99 MS")
		for _, r := range list {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\n", r.Target, r.Kinds["served"], r.Kinds["refused"], r.Kinds["failed"],
				r.Kinds["broken"], r.Kinds["late"], r.Kinds["unsent"], r.P50, r.P90, r.P99, r.P999, r.Max, r.LateP99)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	for _, r := range list {
		if r.Slow {
			return fmt.Errorf("one in a hundred requests was sent %.1f ms late: this machine was too slow, and the figures mean nothing", r.LateP99)
		}
	}
	return nil
}

// loadView shows how it goes, a line a second.
type loadView struct {
	out  io.Writer
	mu   sync.Mutex
	ends []map[load.Kind]int
}

func (v *loadView) note(target int, k load.Kind, _ time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ends[target] == nil {
		v.ends[target] = map[load.Kind]int{}
	}
	v.ends[target][k]++
}

func (v *loadView) print() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, ends := range v.ends {
		fmt.Fprintf(v.out, "%d: %d served, %d refused, %d failed, %d broken, %d late, %d unsent\n", i+1, ends[load.Served], ends[load.Refused],
			ends[load.Failed], ends[load.Broken], ends[load.Late], ends[load.Unsent])
	}
}
