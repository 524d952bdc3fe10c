package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/balancer"
)

// Names of decisions, updates and states in the scripts.
var (
	requestDecisionNames = map[RequestDecision]string{Admit: "proceed", FailRequest: "fail"}
	attemptDecisionNames = map[AttemptDecision]string{
		Send:         "send",
		WriteRecord:  "write",
		AwaitWrite:   "await",
		Forbid:       "forbid",
		SendUnstored: "send unstored",
		TableFull:    "full",
	}
	updateNames = map[UpdateKind]string{NoUpdate: "none", PutRecord: "put", DeleteRecord: "delete"}
	stateNames  = map[State]string{StateOpen: "open", StateUnknown: "unknown", StateExecuted: "executed"}
)

// scriptRun is a machine together with the requests and attempts that a script has named.
type scriptRun struct {
	*machine
	attempts     map[string]*Attempt
	fingerprints map[string]Fingerprint
}

// scriptLine is a line of a script: the name of an event followed by its arguments.
type scriptLine struct {
	t      *testing.T
	data   *datadriven.TestData
	fields []string
}

// arg returns field i of the line, "" if there is none. Field 0 is the name of the event.
func (l *scriptLine) arg(i int) string {
	if i < len(l.fields) {
		return l.fields[i]
	}
	return ""
}

func (l *scriptLine) duration(i int) time.Duration {
	d, err := time.ParseDuration(l.arg(i))
	if err != nil {
		l.data.Fatalf(l.t, "%s: %v", strings.Join(l.fields, " "), err)
	}
	return d
}

// number returns field i of the line as a number, 0 if there is none.
func (l *scriptLine) number(i int) int {
	if l.arg(i) == "" {
		return 0
	}
	n, err := strconv.Atoi(l.arg(i))
	if err != nil {
		l.data.Fatalf(l.t, "%s: %v", strings.Join(l.fields, " "), err)
	}
	return n
}

func (r *scriptRun) start(t *testing.T) {
	t.Helper()
	r.attempts = map[string]*Attempt{}
	r.machine.start(t)
}

// execute executes a script. It returns a line of output for each event that has a result.
func (r *scriptRun) execute(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	events := map[string]func(*scriptLine) string{
		"admit":       r.admitRequest,
		"begin":       r.beginAttempt,
		"written":     r.recordWritten,
		"durable":     func(l *scriptLine) string { return fmt.Sprintln(r.tracker.IsDurable(r.attempts[l.fields[1]])) },
		"end":         r.endAttempt,
		"end-request": r.endRequest,
		"advance":     r.advanceClocks,
		"wall":        r.moveWall,
		"restart":     r.restart,
		"stats":       r.stats,
	}
	var out strings.Builder
	for text := range strings.Lines(d.Input) {
		line := &scriptLine{t: t, data: d, fields: strings.Fields(text)}
		event, ok := events[line.fields[0]]
		if !ok {
			d.Fatalf(t, "unknown event %q", line.fields[0])
		}
		out.WriteString(event(line))
	}
	return out.String()
}

// admitRequest executes "admit REQUEST CLASS".
func (r *scriptRun) admitRequest(l *scriptLine) string {
	name, class := l.fields[1], l.fields[2]
	r.fingerprints[name] = NewFingerprint(class, "", name)
	decision, earlier := r.tracker.AdmitRequest(r.now(), r.fingerprints[name], class)
	return fmt.Sprintf("%s%s\n", requestDecisionNames[decision], formatLocations(earlier))
}

// beginAttempt executes "begin REQUEST ATTEMPT ZONE [CELL]". A zone of "?" stands for an unknown location.
func (r *scriptRun) beginAttempt(l *scriptLine) string {
	fp := r.fingerprints[l.arg(1)]
	at := balancer.Location{Zone: l.fields[3], Cell: l.number(4)}
	if at.Zone == "?" {
		at = balancer.Location{Unknown: true}
	}
	decision, a, record := r.tracker.BeginAttempt(r.now(), fp, at)
	r.attempts[l.fields[2]] = a
	if decision != WriteRecord {
		return fmt.Sprintln(attemptDecisionNames[decision])
	}
	r.write(fp, &record)
	locations := formatLocations(record.Locations)
	return fmt.Sprintf("%s %s%s\n", attemptDecisionNames[decision], stateNames[record.State], locations)
}

// recordWritten executes "written ATTEMPT [failed]".
func (r *scriptRun) recordWritten(l *scriptLine) string {
	a := r.attempts[l.fields[1]]
	failed := l.arg(2) == "failed"
	r.tracker.RecordWritten(a, !failed)
	if failed {
		delete(r.disk, a.entry.fingerprint)
	}
	return fmt.Sprintf("durable %v\n", r.tracker.IsDurable(a))
}

// endAttempt executes "end ATTEMPT answered|unanswered|not-run".
func (r *scriptRun) endAttempt(l *scriptLine) string {
	update := r.end(r.attempts[l.fields[1]], l.fields[2] != "not-run", l.fields[2] == "answered")
	if update.Kind == PutRecord {
		return fmt.Sprintf("%s %s\n", updateNames[update.Kind], stateNames[update.Record.State])
	}
	return fmt.Sprintln(updateNames[update.Kind])
}

// endRequest executes "end-request REQUEST".
func (r *scriptRun) endRequest(l *scriptLine) string {
	return fmt.Sprintf("may have run: %v\n", r.tracker.EndRequest(r.fingerprints[l.arg(1)]))
}

// advanceClocks executes "advance DURATION", which moves the boot clock and wall time.
func (r *scriptRun) advanceClocks(l *scriptLine) string {
	r.advance(l.duration(1))
	return ""
}

// moveWall executes "wall DURATION", which moves wall time only.
func (r *scriptRun) moveWall(l *scriptLine) string {
	r.reading.Wall = r.reading.Wall.Add(l.duration(1))
	return ""
}

// restart executes "restart [machine]".
func (r *scriptRun) restart(l *scriptLine) string {
	if l.arg(1) == "machine" {
		r.reboot()
	}
	r.start(l.t)
	return ""
}

func (r *scriptRun) stats(*scriptLine) string {
	s := r.tracker.Stats()
	oldest := "none"
	if s.OldestOpen > 0 {
		oldest = fmt.Sprint(time.Duration(r.now().Time-s.OldestOpen) * time.Millisecond)
	}
	return fmt.Sprintf("%d entries, %d open, %d restored, oldest %s; %d on disk\n",
		s.Entries, s.Open, s.RestoredOpen, oldest, len(r.disk))
}

func formatLocations(list []Location) string {
	var out strings.Builder
	for _, l := range list {
		if l.Unknown {
			out.WriteString(" ?")
			continue
		}
		fmt.Fprintf(&out, " %s/%d", l.Zone, l.Cell)
	}
	return out.String()
}

// Executes the scripts in testdata, which list events and the results expected of them.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *scriptRun
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "new" {
				return r.execute(t, d)
			}
			r = &scriptRun{machine: newMachine(100), fingerprints: map[string]Fingerprint{}}
			d.MaybeScanArgs(t, "max_entries", &r.maxEntries)
			d.MaybeScanArgs(t, "max_unstored", &r.maxUnstored)
			r.start(t)
			return ""
		})
	})
}
