package controlplane

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// scripted is a follower that a script plays with.
type scripted struct {
	t   *testing.T
	f   *Follower
	now time.Duration
}

// The follower's behaviour as scripts: each directive is an event, and under it stand the actions that must come. The words:
//
//	new [kept=1.2] [highest=1.3] [old] [round=1s]    member a at 0 s; old: its program does not know [log]
//	offer 1.2 [from=b] [text=x] [fleet=x] [hash=x] [size=N] [bad]    text=x is a comment that makes another content; bad: [log] level = "loud"; log: a good one
//	applied 1.2 [err=x]    confirmed    lost    tick DURATION
//	peer c 1.3             c's datagram says that it holds 1.3
//	reported b             with a line for each: "members 3", "latest 1.2", "acting 1.2 3", "lack c 1.1 cut", "more 5"
//	gone b    report    stats
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/follower", func(t *testing.T, path string) {
		s := &scripted{t: t}
		datadriven.RunTest(t, path, s.do)
	})
}

func arg(d *datadriven.TestData, key, other string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key {
			if len(a.Vals) == 0 {
				return "yes"
			}
			return a.Vals[0]
		}
	}
	return other
}

func (s *scripted) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return d
}

// stampOf reads "1.2".
func stampOf(t testing.TB, text string) Revision {
	e, v, ok := strings.Cut(text, ".")
	epoch, err1 := strconv.ParseUint(e, 10, 64)
	version, err2 := strconv.ParseUint(v, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		t.Fatalf("%q is no stamp", text)
	}
	return Revision{Epoch: epoch, Version: version}
}

// frame is a good one of a stamp; content makes another text.
func frame(s Revision, content string) Frame {
	text := []byte("# " + s.String() + " " + content + "\n")
	s.Hash = HashText(text)
	return Frame{Cluster: "f", Revision: s, Text: text}
}

// oldParse is that of a program that does not know [log].
func oldParse(text []byte) (*Snapshot, error) {
	if strings.Contains(string(text), "[log]") {
		return nil, errors.New("1:2: no such key: log")
	}
	return ParseSnapshot(text)
}

func (s *scripted) frame(d *datadriven.TestData) Frame {
	f := frame(stampOf(s.t, d.CmdArgs[0].Key), arg(d, "text", ""))
	switch {
	case arg(d, "bad", "") != "":
		f.Text = []byte("[log]\nlevel = \"loud\"\n")
	case arg(d, "log", "") != "":
		f.Text = []byte("[log]\nlevel = \"warn\"\n")
	case arg(d, "size", "") != "":
		n, _ := strconv.Atoi(arg(d, "size", ""))
		f.Text = []byte(strings.Repeat("#", n))
	}
	f.Revision.Hash = arg(d, "hash", HashText(f.Text))
	f.Cluster = arg(d, "fleet", "f")
	return f
}

func (s *scripted) do(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	switch d.Cmd {
	case "new":
		c := FollowerConfig{Cluster: "f", Self: "a", FetchDelay: s.duration(arg(d, "round", "300ms"))}
		if arg(d, "old", "") != "" {
			c.Parse = oldParse
		}
		if k := arg(d, "kept", ""); k != "" {
			c.Cached = &CachedSnapshot{Frame: frame(stampOf(t, k), "")}
			c.Cached.Highest = frame(stampOf(t, arg(d, "highest", k)), "").Revision
		}
		s.now = 0
		var out []Action
		s.f, out = NewFollower(c, 0)
		return s.show(out)
	case "offer":
		return s.handle(SnapshotReceived{arg(d, "from", "b"), s.frame(d)})
	case "applied":
		ev := ApplyResult{Revision: stampOf(t, d.CmdArgs[0].Key)}
		if s.f.applying != nil && s.f.applying.Revision.Compare(ev.Revision) == 0 {
			ev.Revision = s.f.applying.Revision
		}
		if e := arg(d, "err", ""); e != "" {
			ev.Err = errors.New(e)
		}
		return s.handle(ev)
	case "confirmed":
		return s.handle(UpstreamConfirmed{"b"})
	case "lost":
		return s.handle(UpstreamLost{"b"})
	case "peer":
		return s.handle(PeerRevision{d.CmdArgs[0].Key, "10.0.0.9:7946", stampOf(t, d.CmdArgs[1].Key)})
	case "gone":
		return s.handle(SubscriberDisconnected{d.CmdArgs[0].Key})
	case "reported":
		return s.handle(ReportReceived{d.CmdArgs[0].Key, s.report(d)})
	case "tick":
		end := s.now + s.duration(d.CmdArgs[0].Key)
		var out []string
		for n := 0; s.f.NextTick() <= end; n++ {
			if n > 10_000 {
				t.Fatal("it wants a tick again and again")
			}
			s.now = max(s.now, s.f.NextTick())
			for _, l := range s.lines(s.f.Handle(s.now, Tick{})) {
				out = append(out, fmt.Sprintf("%v: %s", s.now, l))
			}
		}
		s.now = end
		return lines(out)
	case "report":
		return s.reportText(s.f.Report()) + "\n"
	case "stats":
		x := s.f.Stats()
		return fmt.Sprintf("held %v, acts %v, highest %v, kept %v, since %v, refused %d, older %d, conflicts %d, broken %d, foreign %d, fetches %d\n", x.Published, x.Active, x.Highest, x.FromCache, x.ConfirmedAt,
			x.Rejected, x.Stale, x.Conflicts, x.Corrupt, x.Foreign, x.Fetches)
	}
	t.Fatalf("no directive %s", d.Cmd)
	return ""
}

func (s *scripted) handle(ev Event) string { return s.show(s.f.Handle(s.now, ev)) }

func (s *scripted) report(d *datadriven.TestData) (r Report) {
	stamp := func(text string) Revision {
		if text == "none" {
			return Revision{}
		}
		return frame(stampOf(s.t, text), "").Revision
	}
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		if err != nil {
			s.t.Fatal(err)
		}
		return n
	}
	for line := range strings.Lines(d.Input) {
		w := strings.Fields(line)
		switch w[0] {
		case "members":
			r.Members = number(w[1])
		case "latest":
			r.Latest = stamp(w[1])
		case "acting":
			r.Active = append(r.Active, RevisionCount{stamp(w[1]), number(w[2])})
		case "lack":
			r.Laggards = append(r.Laggards, Laggard{Name: w[1], Active: stamp(w[2]), Reason: LaggardReason(w[3]), Error: strings.Join(w[4:], " ")})
		case "more":
			r.UnnamedLaggards = number(w[1])
		default:
			s.t.Fatalf("no word %s", w[0])
		}
	}
	return r
}

func (s *scripted) reportText(r Report) string {
	out := fmt.Sprintf("report %d members, latest %v", r.Members, r.Latest)
	for _, a := range r.Active {
		out += fmt.Sprintf(", %d on %v", a.Count, a.Revision)
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

func (s *scripted) show(list []Action) string { return lines(s.lines(list)) }

func (s *scripted) lines(list []Action) (out []string) {
	for _, a := range list {
		switch a := a.(type) {
		case Apply:
			out = append(out, fmt.Sprint("apply ", a.Snapshot.Revision))
		case Save:
			out = append(out, fmt.Sprintf("keep %v, highest %v", a.Cached.Frame.Revision, a.Cached.Highest))
		case Publish:
			out = append(out, fmt.Sprintf("publish %v, %d bytes", a.Frame.Revision, len(a.Frame.Text)))
		case Fetch:
			out = append(out, fmt.Sprintf("fetch %v from %s at %s", a.Revision, a.Name, a.Address))
		case SendReport:
			out = append(out, s.reportText(a.Report))
		case LogMessage:
			out = append(out, fmt.Sprintf("note %s x%d: %s", a.Kind, a.Count, a.Text))
		}
	}
	return out
}

func lines(out []string) string {
	if len(out) == 0 {
		return "nothing\n"
	}
	out = slices.Clone(out)
	return strings.Join(out, "\n") + "\n"
}
