package controlplane

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// followerScript runs the directives of one script against a follower.
type followerScript struct {
	t        *testing.T
	follower *Follower
	now      time.Duration
}

// TestScripts runs scripts against a follower. Each directive is an event, followed by the expected actions. The
// directives:
//
//	new [cached=1.2] [highest=1.3] [old] [delay=1s]
//	                       starts member a at 0 s; cached and highest give its CachedSnapshot, delay the FetchDelay;
//	                       with old its program does not know [log]
//	offer 1.2 [from=b] [text=x] [fleet=x] [hash=x] [size=N] [log] [bad]
//	                       a snapshot arrives; text=x adds a comment, so that the content differs; log gives it a
//	                       section [log], bad an invalid value, size a length in bytes
//	applied 1.2 [err=x]    the result of an Apply
//	confirmed              the upstream confirms the snapshot
//	lost                   the connection to the upstream ends
//	tick DURATION          time passes
//	peer c 1.3             c announces 1.3 by gossip
//	reported b             a report from b, with lines "members 3", "latest 1.2", "active 1.2 3",
//	                       "laggard c 1.1 cut" and "more 5"
//	disconnected b         the connection of subscriber b ends
//	report                 prints the follower's report
//	stats                  prints the follower's counters
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/follower", func(t *testing.T, path string) {
		s := &followerScript{t: t}
		datadriven.RunTest(t, path, s.run)
	})
}

// argument returns the value of an argument, "yes" for an argument without value, or defaultValue if it is absent.
func argument(d *datadriven.TestData, key, defaultValue string) string {
	for _, a := range d.CmdArgs {
		if a.Key != key {
			continue
		}
		if len(a.Vals) == 0 {
			return "yes"
		}
		return a.Vals[0]
	}
	return defaultValue
}

func (s *followerScript) duration(text string) time.Duration {
	s.t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

func (s *followerScript) number(text string) int {
	s.t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// parseRevision parses EPOCH.VERSION.
func parseRevision(t testing.TB, text string) Revision {
	t.Helper()
	epochText, versionText, ok := strings.Cut(text, ".")
	epoch, err1 := strconv.ParseUint(epochText, 10, 64)
	version, err2 := strconv.ParseUint(versionText, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		t.Fatalf("%q is not a revision, want EPOCH.VERSION", text)
	}
	return Revision{Epoch: epoch, Version: version}
}

// validFrame returns a valid frame of a revision. Frames with different content have different texts.
func validFrame(r Revision, content string) Frame {
	text := []byte("# " + r.String() + " " + content + "\n")
	r.Hash = HashText(text)
	return Frame{Cluster: "f", Revision: r, Text: text}
}

// parseWithoutLog is the ParseSnapshot of an older program, which does not know [log].
func parseWithoutLog(text []byte) (*Snapshot, error) {
	if strings.Contains(string(text), "[log]") {
		return nil, errors.New("1:2: no such key: log")
	}
	return ParseSnapshot(text)
}

func (s *followerScript) frame(d *datadriven.TestData) Frame {
	s.t.Helper()
	f := validFrame(parseRevision(s.t, d.CmdArgs[0].Key), argument(d, "text", ""))
	switch {
	case d.HasArg("bad"):
		f.Text = []byte("[log]\nlevel = \"loud\"\n")
	case d.HasArg("log"):
		f.Text = []byte("[log]\nlevel = \"warn\"\n")
	case d.HasArg("size"):
		f.Text = []byte(strings.Repeat("#", s.number(argument(d, "size", ""))))
	}
	f.Revision.Hash = argument(d, "hash", HashText(f.Text))
	f.Cluster = argument(d, "fleet", "f")
	return f
}

func (s *followerScript) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	switch d.Cmd {
	case "new":
		return s.start(d)
	case "tick":
		return s.tick(s.duration(d.CmdArgs[0].Key))
	case "report":
		return formatReportLine(s.follower.Report()) + "\n"
	case "stats":
		return formatStats(s.follower.Stats())
	}
	return joinLines(formatActions(s.follower.Handle(s.now, s.event(d))))
}

func (s *followerScript) start(d *datadriven.TestData) string {
	c := FollowerConfig{Cluster: "f", Self: "a", FetchDelay: s.duration(argument(d, "delay", "300ms"))}
	if d.HasArg("old") {
		c.Parse = parseWithoutLog
	}
	if cached := argument(d, "cached", ""); cached != "" {
		c.Cached = &CachedSnapshot{Frame: validFrame(parseRevision(s.t, cached), "")}
		c.Cached.Highest = validFrame(parseRevision(s.t, argument(d, "highest", cached)), "").Revision
	}
	s.now = 0
	var actions []Action
	s.follower, actions = NewFollower(c, 0)
	return joinLines(formatActions(actions))
}

func (s *followerScript) event(d *datadriven.TestData) Event {
	s.t.Helper()
	switch d.Cmd {
	case "offer":
		return SnapshotReceived{From: argument(d, "from", "b"), Frame: s.frame(d)}
	case "applied":
		return s.applyResult(d)
	case "confirmed":
		return UpstreamConfirmed{"b"}
	case "lost":
		return UpstreamLost{"b"}
	case "peer":
		return PeerRevision{
			Name:     d.CmdArgs[0].Key,
			Address:  "10.0.0.9:7946",
			Revision: parseRevision(s.t, d.CmdArgs[1].Key),
		}
	case "disconnected":
		return SubscriberDisconnected{d.CmdArgs[0].Key}
	case "reported":
		return ReportReceived{From: d.CmdArgs[0].Key, Report: s.report(d)}
	}
	s.t.Fatalf("unknown directive %q, want one that the comment of TestScripts lists", d.Cmd)
	return nil
}

func (s *followerScript) applyResult(d *datadriven.TestData) ApplyResult {
	s.t.Helper()
	result := ApplyResult{Revision: parseRevision(s.t, d.CmdArgs[0].Key)}
	if applying := s.follower.applying; applying != nil && applying.Revision.Compare(result.Revision) == 0 {
		result.Revision = applying.Revision
	}
	if text := argument(d, "err", ""); text != "" {
		result.Err = errors.New(text)
	}
	return result
}

// tick advances the time by d and sends a Tick whenever one is due.
func (s *followerScript) tick(d time.Duration) string {
	const maxTicks = 10_000
	end := s.now + d
	var out []string
	for n := 0; s.follower.NextTick() <= end; n++ {
		if n > maxTicks {
			s.t.Fatalf("NextTick returns %v after %d ticks, want a time after %v", s.follower.NextTick(), n, end)
		}
		s.now = max(s.now, s.follower.NextTick())
		for _, line := range formatActions(s.follower.Handle(s.now, Tick{})) {
			out = append(out, fmt.Sprintf("%v: %s", s.now, line))
		}
	}
	s.now = end
	return joinLines(out)
}

// report parses a report from the lines below a directive.
func (s *followerScript) report(d *datadriven.TestData) (r Report) {
	s.t.Helper()
	revision := func(text string) Revision {
		if text == "none" {
			return Revision{}
		}
		return validFrame(parseRevision(s.t, text), "").Revision
	}
	for line := range strings.Lines(d.Input) {
		w := strings.Fields(line)
		switch w[0] {
		case "members":
			r.Members = s.number(w[1])
		case "latest":
			r.Latest = revision(w[1])
		case "active":
			r.Active = append(r.Active, RevisionCount{Revision: revision(w[1]), Count: s.number(w[2])})
		case "laggard":
			r.Laggards = append(r.Laggards, Laggard{
				Name:   w[1],
				Active: revision(w[2]),
				Reason: LaggardReason(w[3]),
				Error:  strings.Join(w[4:], " "),
			})
		case "more":
			r.UnnamedLaggards = s.number(w[1])
		default:
			s.t.Fatalf("unknown line %q in a report, want members, latest, active, laggard or more", line)
		}
	}
	return r
}

func formatReportLine(r Report) string {
	out := fmt.Sprintf("report %d members, latest %v", r.Members, r.Latest)
	for _, c := range r.Active {
		out += fmt.Sprintf(", %d on %v", c.Count, c.Revision)
	}
	if r.OtherRevisions > 0 {
		out += fmt.Sprintf(", %d on others", r.OtherRevisions)
	}
	for _, l := range r.Laggards {
		out += fmt.Sprintf(" [%s %s, on %v", l.Name, l.Reason, l.Active)
		if l.Descendants > 0 {
			out += fmt.Sprintf(", %d below", l.Descendants)
		}
		if l.Error != "" {
			out += ": " + l.Error
		}
		out += "]"
	}
	if r.UnnamedLaggards > 0 {
		out += fmt.Sprintf(" and %d more", r.UnnamedLaggards)
	}
	return out
}

func formatStats(s FollowerStats) string {
	out := fmt.Sprintf("published %v, active %v, highest %v, ", s.Published, s.Active, s.Highest)
	out += fmt.Sprintf("from cache %v, confirmed at %v, ", s.FromCache, s.ConfirmedAt)
	out += fmt.Sprintf("rejected %d, stale %d, conflicts %d, ", s.Rejected, s.Stale, s.Conflicts)
	return out + fmt.Sprintf("corrupt %d, foreign %d, fetches %d\n", s.Corrupt, s.Foreign, s.Fetches)
}

func formatActions(actions []Action) (out []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Apply:
			out = append(out, fmt.Sprint("apply ", a.Snapshot.Revision))
		case Save:
			out = append(out, fmt.Sprintf("save %v, highest %v", a.Cached.Frame.Revision, a.Cached.Highest))
		case Publish:
			out = append(out, fmt.Sprintf("publish %v, %d bytes", a.Frame.Revision, len(a.Frame.Text)))
		case Fetch:
			out = append(out, fmt.Sprintf("fetch %v from %s at %s", a.Revision, a.Name, a.Address))
		case SendReport:
			out = append(out, formatReportLine(a.Report))
		case LogMessage:
			out = append(out, fmt.Sprintf("log %s x%d: %s", a.Kind, a.Count, a.Text))
		}
	}
	return out
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}
