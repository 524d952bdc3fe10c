package idempotency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hazelwing/balancer"
)

// Kinds of random events, encoded in the lower four bits of a byte. The upper four bits are the event's argument.
const (
	eventAdmit   = 0 // 0 to 2
	eventAttempt = 3 // 3 to 6; if the operation has no request in flight, an attempt ends as for eventNoAnswer
	// eventUnknownLocation is an eventAttempt whose zone is not reported to the tracker.
	eventUnknownLocation = 6
	eventAnswer          = 7 // an attempt is answered
	eventNoAnswer        = 8 // an attempt ends without an answer, and may have run
	eventNotRun          = 9 // an attempt ends, and is proved not to have run
	eventEndRequest      = 10
	eventAdvance         = 11 // 11 and 12: time passes
	// Wall time is set back by a minute. It is never set forward: no clock could detect this after a restart of the
	// machine, and entries would expire early.
	eventWallBack      = 13
	eventRestart       = 14
	eventRebootMachine = 15
)

// randomOperations lists the operations that random requests execute. Each has one fingerprint.
var randomOperations = []struct{ name, class string }{
	{"b0", "book"},
	{"b1", "book"},
	{"p0", "pay"},
	{"p1", "pay"},
}

// sentAttempt is an attempt that was sent.
type sentAttempt struct {
	at       time.Duration // value of randomRun.trueTime
	zone     string
	neverRan bool // proved not to have run
	unstored bool // remembered without a stored record
}

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	attempt *Attempt
	sent    *sentAttempt // nil if it was not sent
}

// randomRun applies random events and checks the attempts that are sent against the guarantees of the package.
type randomRun struct {
	*machine
	t        *testing.T
	event    int                       // index of the current event
	trueTime time.Duration             // elapsed time, independent of the simulated clocks
	sent     map[string][]*sentAttempt // attempts that were sent, by operation
	requests map[string]int            // number of requests in flight, by operation
	open     []*openAttempt
}

// checkRandomEvents applies the events that data encodes, one in each byte: with a table that has room for all
// operations, and with one that has no room for some of them.
func checkRandomEvents(t *testing.T, data []byte) {
	checkRandomEventsOn(t, newMachine(8), data)
	full := newMachine(2)
	full.maxUnstored = 1
	checkRandomEventsOn(t, full, data)
}

func checkRandomEventsOn(t *testing.T, m *machine, data []byte) {
	t.Helper()
	r := &randomRun{
		machine:  m,
		t:        t,
		sent:     map[string][]*sentAttempt{},
		requests: map[string]int{},
	}
	r.start(t)
	for i, b := range data {
		r.event = i
		r.apply(int(b&15), int(b>>4))
		r.removeExpired()
		s := r.tracker.Stats()
		if maxEntries := r.maxEntries + r.maxUnstored + len(randomOperations); s.Entries > maxEntries {
			t.Fatalf("event %d: %d entries, want at most %d", i, s.Entries, maxEntries)
		}
		if s.Open+s.RestoredOpen > s.Entries {
			t.Fatalf("event %d: %d open and %d restored open entries, want at most %d in total, the number of entries",
				i, s.Open, s.RestoredOpen, s.Entries)
		}
	}
}

func (r *randomRun) apply(event, arg int) {
	operation := randomOperations[arg%4]
	fp := NewFingerprint(operation.class, "", operation.name)
	switch {
	case event < eventAttempt:
		if decision, _ := r.tracker.AdmitRequest(r.now(), fp, operation.class); decision == Admit {
			r.requests[operation.name]++
		}
	case event < eventAnswer && r.requests[operation.name] > 0:
		r.beginAttempt(fp, arg, event != eventUnknownLocation)
	case event <= eventNotRun && len(r.open) > 0:
		r.endAttempt(event, arg)
	case event == eventEndRequest && r.requests[operation.name] > 0:
		r.requests[operation.name]--
		r.tracker.EndRequest(fp)
	case event == eventAdvance, event == eventAdvance+1:
		d := time.Duration(arg+1) * 700 * time.Millisecond
		r.trueTime += d
		r.advance(d)
	case event == eventWallBack:
		r.reading.Wall = r.reading.Wall.Add(-time.Minute)
	case event >= eventRestart:
		if event == eventRebootMachine {
			r.reboot()
		}
		r.open, r.requests = nil, map[string]int{}
		for name, list := range r.sent {
			r.sent[name] = slices.DeleteFunc(list, func(a *sentAttempt) bool { return a.unstored })
		}
		r.clockLost = arg%4 == 3
		r.start(r.t)
	}
}

// beginAttempt begins an attempt, whose zone is reported to the tracker or not. The write of its record succeeds or
// fails at once.
func (r *randomRun) beginAttempt(fp Fingerprint, arg int, reported bool) {
	operation := randomOperations[arg%4]
	zone := string(rune('a' + arg/4%2))
	at := balancer.Location{Unknown: true}
	if reported {
		at = balancer.Location{Zone: zone}
	}
	decision, a, record := r.tracker.BeginAttempt(r.now(), fp, at)
	if a == nil {
		return
	}
	o := &openAttempt{attempt: a}
	r.open = append(r.open, o)
	if decision == WriteRecord {
		ok := arg&8 == 0
		if ok {
			r.write(fp, &record)
		}
		r.tracker.RecordWritten(a, ok)
	}
	if decision != SendUnstored && !r.tracker.IsDurable(a) {
		return
	}
	o.sent = &sentAttempt{at: r.trueTime, zone: zone, unstored: decision == SendUnstored}
	r.checkSent(operation.name, operation.class, zone)
	r.sent[operation.name] = append(r.sent[operation.name], o.sent)
}

// checkSent checks an attempt that is being sent against the earlier attempts of the same operation.
func (r *randomRun) checkSent(name, class, zone string) {
	for _, earlier := range r.sent[name] {
		if earlier.neverRan {
			continue
		}
		elapsed := r.trueTime - earlier.at
		if class == "book" {
			r.t.Fatalf("event %d: %s, which is not idempotent, is sent again %v after an attempt that may have run",
				r.event, name, elapsed)
		}
		if earlier.zone != zone || elapsed >= 6*time.Second {
			r.t.Fatalf("event %d: %s is sent to zone %s, %v after an attempt in zone %s; want the same zone within 6s",
				r.event, name, zone, elapsed, earlier.zone)
		}
	}
}

func (r *randomRun) endAttempt(event, arg int) {
	i := arg % len(r.open)
	o := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	neverRan := o.sent == nil || event == eventNotRun
	if o.sent != nil {
		o.sent.neverRan = neverRan
	}
	r.end(o.attempt, !neverRan, event == eventAnswer)
}

// removeExpired removes the sent attempts of the operations whose retention has passed: these may be sent again.
func (r *randomRun) removeExpired() {
	for name, list := range r.sent {
		if len(list) > 0 && r.trueTime-list[0].at > time.Minute {
			r.sent[name] = nil
		}
	}
}

// Runs the check of FuzzTracker with seeded random events.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(20_000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 60)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRandomEvents(t, data) })
	}
}

// Checks the guarantees of the package for any order of events, which include restarts of the program and the machine
// and wall time that is set back: no request that is not idempotent is sent twice unless the first attempt is proved
// not to have run, and no keyed request is sent again outside the zone and window of its first attempt.
func FuzzTracker(f *testing.F) {
	f.Add([]byte("\x00\x01\x02\x03\x10\x21\x32\x43\x54\x65\x76\x87"))
	f.Add([]byte("\x05\x15\x25\x35\x45\x55\x65\x75\x85\x95\xa5\xb5\xc5"))
	f.Fuzz(checkRandomEvents)
}
