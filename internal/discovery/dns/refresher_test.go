package dns

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// The scripts under testdata pass answers and failures of lookups to a Refresher. The expected output of a command is
// the decision: the update, the failure, the log entry and the time until the next lookup. The commands are:
//
//	new [stale=D] [min_retry=D] [max_retry=D] [jitter=D]   creates a Refresher
//	answer at=T [ttl=D] [not_found] [dropped=N]            input: one target per line,
//	                                                       ADDR[+ADDR...]:PORT PRIORITY WEIGHT
//	fail at=T                                              the lookup has failed
func TestRefresh(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var refresher *Refresher
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := durationArg(t, d, "at")
			switch d.Cmd {
			case "new":
				var err error
				refresher, err = NewRefresher(RefresherConfig{
					SourceName:    "srv",
					StaleTTL:      durationArg(t, d, "stale"),
					MinRetry:      durationArg(t, d, "min_retry"),
					MaxRetry:      durationArg(t, d, "max_retry"),
					InitialJitter: durationArg(t, d, "jitter"),
				}, 1)
				if err != nil {
					return err.Error() + "\n"
				}
				return formatDecision(refresher.Start(0), now)
			case "answer":
				return formatDecision(refresher.HandleAnswer(now, parseAnswer(t, d)), now)
			case "fail":
				return formatDecision(refresher.HandleFailure(now, errors.New("time-out")), now)
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

// durationArg returns an argument of a command as a duration; 0 if the command does not have the argument.
func durationArg(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	t.Helper()
	var text string
	if d.MaybeScanArgs(t, key, &text); text == "" {
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	return value
}

func parseAnswer(t *testing.T, d *datadriven.TestData) Answer {
	t.Helper()
	answer := Answer{TTL: durationArg(t, d, "ttl"), NotFound: d.HasArg("not_found")}
	d.MaybeScanArgs(t, "dropped", &answer.Dropped)
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		if line != "" {
			answer.Targets = append(answer.Targets, parseTarget(t, line))
		}
	}
	return answer
}

// parseTarget parses a target of the form "ADDR[+ADDR...]:PORT PRIORITY WEIGHT".
func parseTarget(t *testing.T, line string) Target {
	t.Helper()
	var hostPort string
	var target Target
	if _, err := fmt.Sscan(line, &hostPort, &target.Priority, &target.Weight); err != nil {
		t.Fatalf("target %q: %v", line, err)
	}
	host, port, _ := strings.Cut(hostPort, ":")
	if _, err := fmt.Sscan(port, &target.Port); err != nil {
		t.Fatalf("port of the target %q: %v", line, err)
	}
	for _, addr := range strings.Split(host, "+") {
		target.Addrs = append(target.Addrs, netip.MustParseAddr(addr))
	}
	return target
}

func formatDecision(decision Decision, now time.Duration) string {
	var b strings.Builder
	if update := decision.Update; update != nil {
		fmt.Fprintf(&b, "update %d:", update.Seq)
		for _, e := range update.Endpoints {
			fmt.Fprintf(&b, " %s/%d/%g", e.Addr, e.Priority, e.TrafficShare)
		}
		b.WriteString("\n")
	}
	if decision.Failed {
		b.WriteString("failed\n")
	}
	if decision.Log.Message != "" {
		b.WriteString("log: " + decision.Log.Message)
		for _, attr := range decision.Log.Attrs {
			b.WriteString(" " + attr.String())
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "lookup in %v\n", (decision.NextLookup - now).Round(10*time.Millisecond))
	return b.String()
}
