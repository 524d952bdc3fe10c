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

// TestScripts runs the scripts in testdata. Each directive is followed by its expected
// output: the actions of an event, or the requested view or statistics.
//
//	new [seeds=(b,c)] [size=N] [KEY=VALUE]   creates the Core of member a, process 100, with a probe interval of 1 s;
//	                                         KEY is push-pull, dead-ttl, notice-ttl, max or reconnect (see newCore)
//	tick DURATION                            advances the time and calls Tick whenever it is due
//	stall DURATION                           advances the time to DURATION after Tick is due, then calls Tick once
//	recv KIND from=b [process=N] [generation=N] [refutations=N] [left] [seq=N] [target=x] [at=x] [buckets=all]
//	     [join] [cluster=x]                  receives a message; "at" is the member whose address is TargetAddr
//	     The input of recv has a line for each entry, such as "c suspect 1.200.0 by=d age=5s",
//	     and a line for each notice, such as "notice s1 removed started=5 by=d age=1s".
//	announce ENDPOINT [removed] [started=N]  announces a notice about an endpoint
//	leave                                    announces that the member leaves
//	view                                     prints the known members
//	stats                                    prints the statistics
//
// An incarnation is written as GENERATION.PROCESS.REFUTATIONS. A message is written as its
// kind, destination, sender's incarnation ("as"), target and content.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := new(scriptRunner)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			output := s.run(t, d)
			if s.syntaxError != "" {
				d.Fatalf(t, "%s", s.syntaxError)
			}
			return output
		})
	})
}

// scriptRunner runs one script.
type scriptRunner struct {
	core        *Core
	now         time.Duration
	syntaxError string // syntax error of the latest directive; empty if there is none
}

// run runs a directive and returns its output.
func (s *scriptRunner) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	switch d.Cmd {
	case "new":
		return s.newCore(d)
	case "tick":
		return s.tick(t, s.duration(d.CmdArgs[0].Key))
	case "stall":
		s.now = s.core.NextTick() + s.duration(d.CmdArgs[0].Key)
		return formatActions(s.core.Tick(s.now))
	case "recv":
		return formatActions(s.core.Receive(s.now, s.parseMessage(d)))
	case "announce":
		return formatActions(s.core.Announce(s.now, EndpointNotice{
			Endpoint:  d.CmdArgs[0].Key,
			Removed:   argument(d, "removed", "") != "",
			StartedMS: float64(s.number(argument(d, "started", "0"))),
		}))
	case "leave":
		return formatActions(s.core.Leave(s.now))
	case "view":
		return formatMembers(s.core.Members())
	case "stats":
		return formatStats(s.core.Stats())
	}
	t.Fatalf("unknown directive %q, want new, tick, stall, recv, announce, leave, view or stats", d.Cmd)
	return ""
}

// newCore replaces the Core by a new one that starts at time 0.
func (s *scriptRunner) newCore(d *datadriven.TestData) string {
	cfg := Config{
		ClusterName:       "f",
		Name:              "a",
		AdvertiseAddr:     addressOf("a"),
		ProcessID:         100,
		RandomSeed:        7,
		ProbeInterval:     time.Second,
		PushPullInterval:  s.duration(argument(d, "push-pull", "1h")),
		DeadMemberTTL:     s.duration(argument(d, "dead-ttl", "1h")),
		NoticeTTL:         s.duration(argument(d, "notice-ttl", "30s")),
		MaxMembers:        int(s.number(argument(d, "max", "100"))),
		ReconnectInterval: s.duration(argument(d, "reconnect", "1h")),
		AllowAddress:      func(addr Address) bool { return addr.Addr().Is4() && addr.Addr().As4()[0] == 10 },
	}
	for _, arg := range d.CmdArgs {
		if arg.Key == "seeds" {
			for _, name := range arg.Vals {
				cfg.Seeds = append(cfg.Seeds, addressOf(name))
			}
		}
	}
	s.now = 0
	var err error
	if s.core, err = New(cfg, 0, int(s.number(argument(d, "size", "1")))); err != nil {
		return err.Error()
	}
	return ""
}

// tick advances the time and calls Tick whenever it is due.
func (s *scriptRunner) tick(t *testing.T, duration time.Duration) string {
	t.Helper()
	end := s.now + duration
	var actions []Action
	for ticks := 0; s.core.NextTick() <= end; ticks++ {
		if ticks > 100_000 {
			t.Fatalf("NextTick returns %v after %d ticks, want a time after %v", s.core.NextTick(), ticks, end)
		}
		s.now = max(s.now, s.core.NextTick())
		actions = append(actions, s.core.Tick(s.now)...)
	}
	s.now = end
	return formatActions(actions)
}

// addressOf returns the address of a member whose name is one letter.
func addressOf(name string) Address {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 7946)
}

// argument returns the value of a directive's argument, "yes" if the argument has no value,
// and defaultValue if the directive does not have the argument.
func argument(d *datadriven.TestData, key, defaultValue string) string {
	for _, arg := range d.CmdArgs {
		if arg.Key != key {
			continue
		}
		if len(arg.Vals) == 0 {
			return "yes"
		}
		return arg.Vals[0]
	}
	return defaultValue
}

func (s *scriptRunner) number(text string) uint64 {
	n, err := strconv.ParseUint(text, 0, 64)
	if err != nil {
		s.syntaxError = err.Error()
	}
	return n
}

func (s *scriptRunner) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.syntaxError = err.Error()
	}
	return d
}

// kindNames are the names of message kinds in scripts.
var kindNames = [...]string{
	"ping", "ack", "nack", "ping-req", "gossip", "push-pull-request", "push-pull-response", "push-pull-final",
}

// parseMessage parses a recv directive.
func (s *scriptRunner) parseMessage(d *datadriven.TestData) *Message {
	kind := slices.Index(kindNames[:], d.CmdArgs[0].Key)
	if kind < 0 {
		s.syntaxError = fmt.Sprintf("unknown message kind %q, want one of %q", d.CmdArgs[0].Key, kindNames)
		return &Message{}
	}
	from := argument(d, "from", "b")
	msg := &Message{
		Kind:        Kind(kind),
		ClusterName: argument(d, "cluster", "f"),
		From: Entry{
			Name: from,
			Addr: addressOf(from),
			Incarnation: Incarnation{
				Generation:  s.number(argument(d, "generation", "1")),
				ProcessID:   s.number(argument(d, "process", "200")),
				Refutations: s.number(argument(d, "refutations", "0")),
			},
		},
		Seq:    s.parseSeq(argument(d, "seq", "0")),
		Target: argument(d, "target", ""),
		Join:   argument(d, "join", "") != "",
	}
	if argument(d, "left", "") != "" {
		msg.From.State = Left
	}
	if name := argument(d, "at", ""); name != "" {
		msg.TargetAddr = addressOf(name)
	}
	if msg.Kind == PushPullRequest {
		msg.Digest = make([]uint64, numBuckets)
	}
	if argument(d, "buckets", "") != "" {
		msg.BucketMask = allBuckets
	}
	for line := range strings.Lines(d.Input) {
		s.parseInputLine(msg, strings.Fields(line))
	}
	return msg
}

// parseSeq parses a sequence number. "probe" stands for the number of the probe in
// progress, and "relay" for the number of the first relayed probe.
func (s *scriptRunner) parseSeq(text string) uint64 {
	switch text {
	case "probe":
		return s.core.probe.seq
	case "relay":
		return s.core.relayedProbes[0].seq
	}
	return s.number(text)
}

// parseInputLine appends the entry or notice of one line to a message.
func (s *scriptRunner) parseInputLine(msg *Message, fields []string) {
	var reportedBy string
	var age time.Duration
	var startedMS float64
	for _, field := range fields {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "by":
			reportedBy = value
		case "age":
			age = s.duration(value)
		case "started":
			startedMS = float64(s.number(value))
		}
	}
	if fields[0] == "notice" {
		msg.Notices = append(msg.Notices, EndpointNotice{
			Endpoint:   fields[1],
			Removed:    slices.Contains(fields, "removed"),
			StartedMS:  startedMS,
			ReportedBy: reportedBy,
			Age:        age,
		})
		return
	}
	entry := Entry{Name: fields[0], Addr: addressOf(fields[0]), ReportedBy: reportedBy, Age: age}
	if err := entry.State.UnmarshalText([]byte(fields[1])); err != nil {
		s.syntaxError = err.Error()
	}
	parts := strings.Split(fields[2], ".")
	entry.Incarnation = Incarnation{
		Generation:  s.number(parts[0]),
		ProcessID:   s.number(parts[1]),
		Refutations: s.number(parts[2]),
	}
	msg.Entries = append(msg.Entries, entry)
}

func formatIncarnation(i Incarnation) string {
	return fmt.Sprintf("%d.%d.%d", i.Generation, i.ProcessID, i.Refutations)
}

func formatMembers(members []Member) string {
	var lines []string
	for _, m := range members {
		line := fmt.Sprintf("%s %v %s", m.Name, m.State, formatIncarnation(m.Incarnation))
		if m.ReportedBy != "" {
			line += " by=" + m.ReportedBy
		}
		lines = append(lines, line)
	}
	return joinLines(lines)
}

func formatStats(s Stats) string {
	return fmt.Sprintf("health %d, live %d, size %d, queue %d, notices %d, removed addresses %d, "+
		"refutations %d, stalls %d, conflicts %d, foreign %d, rejected %d\n",
		s.HealthScore, s.LiveMembers, s.EstimatedSize, s.QueuedBroadcasts, s.Notices, s.RemovedAddresses,
		s.Refutations, s.Stalls, s.NameConflicts, s.ForeignMessages, s.Rejected)
}

func formatActions(actions []Action) string {
	var lines []string
	for _, a := range actions {
		lines = append(lines, formatAction(a))
	}
	return joinLines(lines)
}

func formatAction(a Action) string {
	switch a.Kind {
	case SendMessage:
		return formatMessage(a)
	case MemberChanged:
		t := a.Transition
		incarnation := formatIncarnation(t.Incarnation)
		return fmt.Sprintf("transition %s %s %v -> %v: %s", t.Name, incarnation, t.From, t.To, t.Reason)
	case NoticeReceived:
		return fmt.Sprintf("notice %s removed=%v by=%s", a.Notice.Endpoint, a.Notice.Removed, a.Notice.ReportedBy)
	case NoticeExpired:
		return "expired " + a.Notice.Endpoint
	case SizeChanged:
		return fmt.Sprint("size ", a.EstimatedSize)
	}
	return fmt.Sprintf("unknown action %d", a.Kind)
}

// formatMessage formats a SendMessage action.
func formatMessage(a Action) string {
	msg := a.Message
	to := string(rune(a.To.Addr().As4()[3]))
	text := fmt.Sprintf("%s to %s as %s", kindNames[msg.Kind], to, formatIncarnation(msg.From.Incarnation))
	if msg.From.State != Alive {
		text += " " + msg.From.State.String()
	}
	if msg.Target != "" {
		text += " target " + msg.Target
	}
	if a.Stream {
		text += " stream"
	}
	if msg.Join {
		text += " join"
	}
	for _, e := range msg.Entries {
		text += formatEntry(e)
	}
	for _, n := range msg.Notices {
		text += fmt.Sprintf(" [notice %s removed=%v by=%s]", n.Endpoint, n.Removed, n.ReportedBy)
	}
	return text
}

func formatEntry(e Entry) string {
	text := fmt.Sprintf(" [%s %v %s", e.Name, e.State, formatIncarnation(e.Incarnation))
	if e.Age > 0 {
		text += fmt.Sprint(" age=", e.Age.Round(time.Second))
	}
	if e.ReportedBy != "" {
		text += " by=" + e.ReportedBy
	}
	return text + "]"
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return "nothing\n"
	}
	return strings.Join(lines, "\n") + "\n"
}
