package idempotency

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"hazelwing/balancer"
)

var classes = []balancer.Class{
	{Name: "book", Effect: balancer.NonIdempotent},
	{Name: "pay", Effect: balancer.Keyed, IdempotencyScope: balancer.ScopeZone, IdempotencyWindow: 6 * time.Second},
	{Name: "cell", Effect: balancer.Keyed, IdempotencyScope: balancer.ScopeCell, IdempotencyWindow: 6 * time.Second},
	{Name: "any", Effect: balancer.Keyed, IdempotencyWindow: 6 * time.Second},
}

var verdicts = map[Verdict]string{Go: "go", Fail: "fail"}
var decisions = map[Decision]string{Send: "send", Write: "write", Wait: "wait", Never: "never", Full: "full"}
var changes = map[ChangeKind]string{Keep: "keep", Close: "close", Remove: "remove"}
var states = map[State]string{Open: "open", Unknown: "unknown", Ran: "ran"}

// rig plays a script: events on a machine whose clocks the script moves, and a disk that holds what was written.
type rig struct {
	l        *Ledger
	line     Line
	r        Reading
	disk     map[Fingerprint][]byte
	attempts map[string]*Attempt
	names    map[string]Fingerprint
	most     int
}

func (r *rig) start() {
	r.l = New(Config{Classes: classes, Remember: time.Minute, MaxEntries: r.most})
	r.attempts = map[string]*Attempt{}
	var last Time
	records := map[Fingerprint]Record{}
	for fp, b := range r.disk {
		x, err := ParseRecord(b)
		if err != nil {
			panic(err)
		}
		records[fp] = x
		last = max(last, x.Latest())
	}
	saved, err := ParseSaved(r.line.Append(nil))
	if err != nil || saved != r.line.Saved {
		panic(fmt.Sprint(saved, r.line, err))
	}
	r.line = Resume(saved, last, r.r)
	for fp, x := range records {
		r.l.Load(r.now(), fp, x)
	}
}

func (r *rig) now() Now { return r.line.Now(r.r.Up) }

func (r *rig) places(list []Place) (out string) {
	for _, p := range list {
		out += fmt.Sprintf(" %s/%d", p.Zone, p.Cell)
	}
	return out
}

func (r *rig) command(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for line := range strings.Lines(d.Input) {
		w := strings.Fields(line)
		arg := func(i int) string {
			if i < len(w) {
				return w[i]
			}
			return ""
		}
		take := func(i int) time.Duration {
			x, err := time.ParseDuration(arg(i))
			if err != nil {
				d.Fatalf(t, "%s: %v", line, err)
			}
			return x
		}
		fp := r.names[arg(1)]
		switch w[0] {
		case "arrive":
			r.names[w[1]] = FingerprintOf(w[2], "", w[1])
			v, earlier := r.l.Arrive(r.now(), r.names[w[1]], w[2])
			fmt.Fprintf(&out, "%s%s\n", verdicts[v], r.places(earlier))
		case "intend": // fingerprint, attempt, zone, cell
			var cell int
			fmt.Sscan(arg(4), &cell)
			dec, a, rec := r.l.Intend(r.now(), fp, w[3], cell)
			r.attempts[w[2]] = a
			fmt.Fprintf(&out, "%s", decisions[dec])
			if dec == Write {
				fmt.Fprintf(&out, " %s%s", states[rec.State], r.places(rec.Places))
				r.disk[fp] = rec.Append(nil)
			}
			fmt.Fprintln(&out)
		case "written": // attempt
			r.l.Written(r.attempts[w[1]], arg(2) != "no")
			if arg(2) == "no" {
				delete(r.disk, r.attempts[w[1]].e.fp)
			}
			fmt.Fprintf(&out, "covered %v\n", r.l.Covered(r.attempts[w[1]]))
		case "covered":
			fmt.Fprintf(&out, "%v\n", r.l.Covered(r.attempts[w[1]]))
		case "ended": // attempt, ran|maybe|never
			a := r.attempts[w[1]]
			c := r.l.Ended(a, w[2] != "never", w[2] == "ran")
			fmt.Fprintf(&out, "%s", changes[c.Kind])
			switch c.Kind {
			case Close:
				fmt.Fprintf(&out, " %s", states[c.Record.State])
				r.disk[a.e.fp] = c.Record.Append(nil)
			case Remove:
				delete(r.disk, a.e.fp)
			}
			fmt.Fprintln(&out)
		case "done":
			fmt.Fprintf(&out, "may have run: %v\n", r.l.Done(fp))
		case "pass":
			r.r.Up += take(1)
			r.r.Wall = r.r.Wall.Add(take(1))
		case "wall": // moves by itself
			r.r.Wall = r.r.Wall.Add(take(1))
		case "restart":
			if arg(1) == "machine" {
				r.r.Boot, r.r.Up = r.r.Boot+"x", time.Second
			}
			r.start()
		case "stats":
			s := r.l.Stats()
			oldest := "none"
			if s.Oldest > 0 {
				oldest = fmt.Sprint(time.Duration(r.now().At-s.Oldest) * time.Millisecond)
			}
			fmt.Fprintf(&out, "%d entries, %d open, %d left, oldest %s; %d on disk\n", s.Entries, s.Open, s.Left, oldest, len(r.disk))
		default:
			d.Fatalf(t, "no such event: %s", line)
		}
	}
	return out.String()
}

// The scripts in testdata say what is decided, event by event.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var r *rig
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				r = &rig{disk: map[Fingerprint][]byte{}, names: map[string]Fingerprint{}, most: 100,
					r: Reading{Boot: "x", Up: time.Hour, Wall: time.UnixMilli(1_800_000_000_000)}}
				d.MaybeScanArgs(t, "most", &r.most)
				r.start()
				return ""
			}
			return r.command(t, d)
		})
	})
}

// A record reads back as what was written, and nothing that is cut or longer does.
func TestRecordForm(t *testing.T) {
	want := Record{Effect: balancer.Keyed, Class: "pay", State: Unknown, Since: 5, Expires: 7,
		Places: []Place{{Zone: "a", Cell: -3, Sent: 6, Boot: 9}, {Zone: "", Cell: 4, Sent: 8}}}
	b := want.Append(nil)
	if got, err := ParseRecord(b); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
	for n := range b {
		if _, err := ParseRecord(b[:n]); err == nil {
			t.Errorf("cut at %d of %d: it is taken", n, len(b))
		}
	}
	if _, err := ParseRecord(append(b, 0)); err == nil {
		t.Error("more than a record is taken")
	}
	if FingerprintOf("a", "bc", "d") == FingerprintOf("ab", "c", "d") {
		t.Error("two requests with one fingerprint")
	}
}

// Whatever events come in whatever order, with restarts of the program and of the machine and wall time that jumps: no
// unsafe fingerprint is let out twice unless the first was proved not to have run, no keyed one outside its zone and
// window.
func FuzzLedger(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x10\x21\x32\x43\x54\x65\x76\x87"))
	f.Add([]byte("\x05\x15\x25\x35\x45\x55\x65\x75\x85\x95\xa5\xb5\xc5"))
	f.Fuzz(fuzz)
}
