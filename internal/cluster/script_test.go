package cluster

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// at is the address of a member of the scripts, whose names are letters.
func at(name string) Address {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 7946)
}

// scripted is a member that a script plays with.
type scripted struct {
	core *Core
	now  time.Duration
	bad  string
}

// The core's behaviour as scripts: each directive is an event, and under it stand the actions that must come. The words:
//
//	new [seeds=(b,c)] [told=N] [KEY=VALUE]   member a, run 100, that probes each second
//	tick DURATION                            time goes on by it, each Tick at its time
//	recv KIND from=b [run=N] [life=N] [inc=N] [left] [seq=N] [target=x] [at=x] [buckets=all] [join] [fleet=x]
//	     with a line for each entry: "c suspect 1.200.0 by=d age=5s", and for each word: "word s1 gone born=5 by=d age=1s"
//	say SERVER [gone] [born=N]    leave    view    stats
//
// A Send is shown as its kind, target and what it carries; what goes out by the gossip of "tick" is shown, too.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := new(scripted)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.do(t, d)
			if s.bad != "" {
				d.Fatalf(t, "%s", s.bad)
			}
			return out
		})
	})
}

func value(d *datadriven.TestData, key, other string) string {
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

func (s *scripted) number(text string) uint64 {
	n, err := strconv.ParseUint(text, 0, 64)
	if err != nil {
		s.bad = err.Error()
	}
	return n
}

func (s *scripted) time(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.bad = err.Error()
	}
	return d
}

func (s *scripted) do(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		c := Config{ClusterName: "f", Name: "a", AdvertiseAddr: at("a"), ProcessID: 100, RandomSeed: 7, ProbeInterval: time.Second, PushPullInterval: s.time(value(d, "sync", "1h")), DeadMemberTTL: s.time(value(d, "forget", "1h")),
			NoticeTTL: s.time(value(d, "keep", "30s")), MaxMembers: int(s.number(value(d, "most", "100"))), ReconnectInterval: s.time(value(d, "retry", "1h")),
			AllowAddress: func(a Address) bool { return a.Addr().Is4() && a.Addr().As4()[0] == 10 }}
		for _, a := range d.CmdArgs {
			if a.Key == "seeds" {
				for _, name := range a.Vals {
					c.Seeds = append(c.Seeds, at(name))
				}
			}
		}
		s.now = 0
		var err error
		if s.core, err = New(c, 0, int(s.number(value(d, "told", "1")))); err != nil {
			return err.Error()
		}
		return ""
	case "tick":
		end := s.now + s.time(d.CmdArgs[0].Key)
		var out []string
		for n := 0; s.core.NextTick() <= end; n++ {
			if n > 100_000 {
				t.Fatal("it wants a tick again and again")
			}
			s.now = max(s.now, s.core.NextTick())
			out = append(out, s.show(s.core.Tick(s.now))...)
		}
		s.now = end
		return lines(out)
	case "late": // the process stood still: one Tick comes late
		s.now = s.core.NextTick() + s.time(d.CmdArgs[0].Key)
		return lines(s.show(s.core.Tick(s.now)))
	case "recv":
		return lines(s.show(s.core.Receive(s.now, s.message(d))))
	case "say":
		return lines(s.show(s.core.Announce(s.now, EndpointNotice{Endpoint: d.CmdArgs[0].Key, Removed: value(d, "gone", "") != "", StartedMS: float64(s.number(value(d, "born", "0")))})))
	case "leave":
		return lines(s.show(s.core.Leave(s.now)))
	case "view":
		var out []string
		for _, m := range s.core.Members() {
			text := fmt.Sprintf("%s %v %s", m.Name, m.State, versionText(m.Incarnation))
			if m.ReportedBy != "" {
				text += " by=" + m.ReportedBy
			}
			out = append(out, text)
		}
		return lines(out)
	case "stats":
		x := s.core.Stats()
		return fmt.Sprintf("health %d, live %d, count %d, queue %d, words %d, forgotten %d, refuted %d, stalls %d, conflicts %d, foreign %d, refused %d\n", x.HealthScore, x.LiveMembers, x.EstimatedSize,
			x.QueuedBroadcasts, x.Notices, x.ForgottenAddresses, x.Refutations, x.Stalls, x.NameConflicts, x.ForeignMessages, x.Rejected)
	}
	t.Fatalf("no directive %s", d.Cmd)
	return ""
}

func (s *scripted) message(d *datadriven.TestData) *Message {
	kind := map[string]Kind{"ping": Ping, "ack": Ack, "nack": Nack, "pingreq": PingReq, "gossip": Gossip, "ask": PushPullRequest, "tell": PushPullResponse, "end": PushPullFinal}
	k, ok := kind[d.CmdArgs[0].Key]
	if !ok {
		s.bad = "no kind " + d.CmdArgs[0].Key
	}
	from := value(d, "from", "b")
	m := &Message{Kind: k, ClusterName: value(d, "fleet", "f"), From: Entry{Name: from, Addr: at(from)}, Target: value(d, "target", "")}
	m.From.Incarnation = Incarnation{s.number(value(d, "life", "1")), s.number(value(d, "run", "200")), s.number(value(d, "inc", "0"))}
	if value(d, "left", "") != "" {
		m.From.State = Left
	}
	switch seq := value(d, "seq", "0"); seq {
	case "probe": // that of the probe that is on
		m.Seq = s.core.probe.seq
	case "relay":
		m.Seq = s.core.relays[0].seq
	default:
		m.Seq = s.number(seq)
	}
	if to := value(d, "at", ""); to != "" {
		m.TargetAddr = at(to)
	}
	if k == PushPullRequest {
		m.Digest = make([]uint64, buckets)
	}
	if value(d, "buckets", "") != "" {
		m.BucketMask = ^uint64(0)
	}
	m.Join = value(d, "join", "") != ""
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		var by string
		var age time.Duration
		var born float64
		for _, w := range words {
			key, v, _ := strings.Cut(w, "=")
			switch key {
			case "by":
				by = v
			case "age":
				age = s.time(v)
			case "born":
				born = float64(s.number(v))
			}
		}
		if words[0] == "word" {
			m.Notices = append(m.Notices, EndpointNotice{Endpoint: words[1], Removed: slices.Contains(words, "gone"), StartedMS: born, ReportedBy: by, Age: age})
			continue
		}
		e := Entry{Name: words[0], Addr: at(words[0]), ReportedBy: by, Age: age}
		if err := e.State.UnmarshalText([]byte(words[1])); err != nil {
			s.bad = err.Error()
		}
		part := strings.Split(words[2], ".")
		e.Incarnation = Incarnation{s.number(part[0]), s.number(part[1]), s.number(part[2])}
		m.Entries = append(m.Entries, e)
	}
	return m
}

func versionText(v Incarnation) string {
	return fmt.Sprintf("%d.%d.%d", v.Generation, v.ProcessID, v.Refutations)
}

var kindText = [...]string{"ping", "ack", "nack", "pingreq", "gossip", "ask", "tell", "end"}

func (s *scripted) show(list []Action) (out []string) {
	for _, a := range list {
		switch a.Kind {
		case MemberChanged:
			n := a.Transition
			out = append(out, fmt.Sprintf("note %s %s %v -> %v: %s", n.Name, versionText(n.Incarnation), n.From, n.To, n.Reason))
		case NoticeReceived:
			out = append(out, fmt.Sprintf("told %s gone=%v by=%s", a.Notice.Endpoint, a.Notice.Removed, a.Notice.ReportedBy))
		case NoticeExpired:
			out = append(out, "unsaid "+a.Notice.Endpoint)
		case SizeChanged:
			out = append(out, fmt.Sprint("count ", a.EstimatedSize))
		case Send:
			m := a.Message
			to := string(rune(a.To.Addr().As4()[3]))
			text := fmt.Sprintf("%s to %s as %s", kindText[m.Kind], to, versionText(m.From.Incarnation))
			if m.From.State != Alive {
				text += " " + m.From.State.String()
			}
			if m.Target != "" {
				text += " target " + m.Target
			}
			if a.Stream {
				text += " stream"
			}
			if m.Join {
				text += " join"
			}
			for _, e := range m.Entries {
				text += fmt.Sprintf(" [%s %v %s", e.Name, e.State, versionText(e.Incarnation))
				if e.Age > 0 {
					text += fmt.Sprint(" age=", e.Age.Round(time.Second))
				}
				if e.ReportedBy != "" {
					text += " by=" + e.ReportedBy
				}
				text += "]"
			}
			for _, w := range m.Notices {
				text += fmt.Sprintf(" [word %s gone=%v by=%s]", w.Endpoint, w.Removed, w.ReportedBy)
			}
			out = append(out, text)
		}
	}
	return out
}

func lines(out []string) string {
	if len(out) == 0 {
		return "nothing\n"
	}
	return strings.Join(out, "\n") + "\n"
}
