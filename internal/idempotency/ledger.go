// Package idempotency decides what the record of effects allows: which requests may already have run, where, and since when,
// so that no client's repeat under a new id, and no restart of the program, brings an effect about twice.
//
// It does no I/O and reads no clock. What puts it on a disk and between a front, the engine and a transport is package
// guard. The order of calls for a request that is not safe:
//
//	Arrive    when it comes: it may go on, bound to where earlier attempts may have run, or it is failed
//	Intend    before each attempt: whether it may go out, and what has to be on the disk first
//	Written   once that is there, or could not be written
//	Ended     when the attempt is over, or was given up before it went out
//	Done      once the request has its final answer
//
// # What is promised
//
//   - An unsafe request goes out only while no attempt with its fingerprint may have run, in this life of the program or,
//     as far as the disk has kept it, in an earlier one. Until Remember has passed since then, a repeat is failed.
//   - A keyed request goes out only to the group in which earlier attempts with its fingerprint may have run, and only
//     while the group's memory of the first of them lasts for sure. After that a repeat is failed, until Remember has
//     passed.
//   - Time that cannot be measured (a restart of the machine lies between) is taken as too long where it permits, and as
//     no longer than the clocks say where it forbids.
//
// A Ledger is not safe for concurrent use.
package idempotency

import (
	"cmp"
	"slices"
	"time"

	"hazelwing/balancer"
)

// Config is a Ledger's.
type Config struct {
	Classes []balancer.Class
	// Remember is how long what may have run is remembered, from the first attempt's intent on. It has to be longer than
	// any request can be in hand, and than any class's window.
	Remember time.Duration
	// MaxEntries bounds the fingerprints that are remembered. Intend answers Full beyond.
	MaxEntries int
}

// Verdict is Arrive's answer.
type Verdict int

// The verdicts.
const (
	Go   Verdict = iota // on, bound to what earlier attempts may have done
	Fail                // it may have run: no promise can be made, and nothing may be sent
)

// Decision is Intend's and Written's answer.
type Decision int

// The decisions.
const (
	Send  Decision = iota // the attempt may go out
	Write                 // once the returned record is durable: Written is to be told
	Wait                  // once the write that is under way for this fingerprint is durable: Written tells that attempt, too
	Never                 // it must not go out
	Full                  // more is remembered than may be
)

// Place is where attempts may have run.
type Place struct {
	Zone string
	Cell int
	Sent Time // the first of them was intended
	Boot uint32
}

// State says how far a fingerprint's attempts are.
type State byte

// The states of a record.
const (
	Open    State = 1 // an attempt is out, or was when the program ended
	Unknown State = 2 // all have ended, and one may have run
	Ran     State = 3 // one was answered
)

// Record is a fingerprint's, as the disk keeps it.
type Record struct {
	Effect  balancer.Effect
	Class   string
	State   State
	Since   Time // the first intent
	Expires Time
	Places  []Place
}

// Ledger is the record of effects.
type Ledger struct {
	cfg     Config
	classes map[string]balancer.Class
	entries map[Fingerprint]*entry
	// old holds the entries with an intent, in order of Expires, and gone ones among them.
	old  []*entry
	gone int

	open map[Fingerprint]*entry // with attempts out, or left open by an earlier life
}

type entry struct {
	fp Fingerprint
	Record
	places  []*place
	calls   int  // in hand
	out     int  // attempts that were intended and have not ended
	writing bool // a record is being written
	tried   bool // one was, or may have been
	gone    bool
	left    bool // by an earlier life
}

// place is a Place, with the attempts that may have run there.
type place struct {
	Place
	maybe   int
	durable bool
}

// Attempt is one that Intend let begin. It is the Ledger's.
type Attempt struct {
	e     *entry
	p     *place
	ended bool
}

// New returns an empty one.
func New(c Config) *Ledger {
	l := &Ledger{cfg: c, classes: map[string]balancer.Class{}, entries: map[Fingerprint]*entry{}, open: map[Fingerprint]*entry{}}
	for _, k := range c.Classes {
		l.classes[k.Name] = k
	}
	return l
}

// Load takes a record that an earlier life has left. Records come in any order, before anything else.
func (l *Ledger) Load(now Now, fp Fingerprint, r Record) {
	if r.Expires <= now.At || l.entries[fp] != nil || len(r.Places) == 0 {
		return
	}
	e := &entry{fp: fp, Record: r, left: true, tried: true}
	for _, p := range r.Places {
		e.places = append(e.places, &place{Place: p, maybe: 1, durable: true})
	}
	if r.State == Open {
		l.open[fp] = e
	}
	l.entries[fp] = e
	at, _ := slices.BinarySearchFunc(l.old, e, func(a, b *entry) int { return cmp.Compare(a.Expires, b.Expires) })
	l.old = slices.Insert(l.old, at, e)
}

// Arrive takes a request of a class that is not safe. Of one that is to go on, Done is to be told once; earlier is where
// attempts of others with its fingerprint may have run.
func (l *Ledger) Arrive(now Now, fp Fingerprint, class string) (v Verdict, earlier []Place) {
	l.forget(now)
	c := l.classes[class]
	e := l.entries[fp]
	if e == nil {
		e = &entry{fp: fp, Record: Record{Effect: c.Effect, Class: class}}
		l.entries[fp] = e
	}
	if c.Effect == balancer.NonIdempotent && (e.calls > 0 || len(e.places) > 0) || !l.inTime(now, e, c) {
		return Fail, nil
	}
	e.calls++
	for _, p := range e.places {
		earlier = append(earlier, p.Place)
	}
	return Go, earlier
}

// inTime says whether the memory of repeats still holds all that may have run.
func (l *Ledger) inTime(now Now, e *entry, c balancer.Class) bool {
	return !slices.ContainsFunc(e.places, func(p *place) bool {
		return c.Effect != balancer.Keyed || now.AtMost(p.Sent, p.Boot) >= c.IdempotencyWindow
	})
}

// Intend asks whether an attempt may go out to a member. Unless it says Never or Full, Ended is to be told once; where
// it says Write, also Written, when the record is durable or could not be written.
func (l *Ledger) Intend(now Now, fp Fingerprint, zone string, cell int) (Decision, *Attempt, Record) {
	e := l.entries[fp]
	if e == nil { // its call was let on, and has its answer by now
		return Never, nil, Record{}
	}
	c := l.classes[e.Class]
	if !l.inTime(now, e, c) {
		return Never, nil, Record{}
	}
	var p *place
	for _, x := range e.places {
		if outside(c, x, zone, cell) {
			return Never, nil, Record{}
		}
		p = x
	}
	if e.Since == 0 {
		if len(l.old)-l.gone >= l.cfg.MaxEntries {
			return Full, nil, Record{}
		}
		e.Since = now.At
		e.Expires = now.At + Time(l.cfg.Remember.Milliseconds())
		l.old = append(l.old, e)
	}
	if p == nil {
		p = &place{Place: Place{Zone: zone, Cell: cell, Sent: now.At, Boot: now.Boot}}
		e.places = append(e.places, p)
	}
	p.maybe++
	e.out++
	e.State = Open
	l.open[fp] = e
	a := &Attempt{e: e, p: p}
	switch {
	case p.durable:
		return Send, a, Record{}
	case e.writing:
		return Wait, a, Record{}
	}
	e.writing, e.tried = true, true
	return Write, a, e.record()
}

func outside(c balancer.Class, p *place, zone string, cell int) bool {
	return c.Effect == balancer.NonIdempotent || c.IdempotencyScope == balancer.ScopeZone && p.Zone != zone || c.IdempotencyScope == balancer.ScopeCell && p.Cell != cell
}

// Written says that the record for an attempt is durable, or could not be written. All that Wait for it may go out
// where it is: Covered tells.
func (l *Ledger) Written(a *Attempt, ok bool) {
	a.e.writing = false
	a.p.durable = ok
}

// Covered says whether a durable record covers an attempt.
func (l *Ledger) Covered(a *Attempt) bool { return a.p.durable }

// Change is what the disk is to be told of a fingerprint, without anybody's waiting.
type Change struct {
	Kind   ChangeKind
	Record Record // of Close
}

// ChangeKind is a Change's.
type ChangeKind int

// The kinds of changes.
const (
	Keep   ChangeKind = iota // nothing
	Close                    // its record is to be replaced
	Remove                   // its record is to go: nothing has run
)

// Ended says that an attempt is over. mayHaveRun is false where it is proved that it never ran, answered is true where
// it was. Not before Written.
func (l *Ledger) Ended(a *Attempt, mayHaveRun, answered bool) Change {
	if a.ended {
		return Change{}
	}
	a.ended = true
	e, p := a.e, a.p
	e.out--
	if !mayHaveRun {
		if p.maybe--; p.maybe == 0 {
			e.places = slices.DeleteFunc(e.places, func(x *place) bool { return x == p })
		}
	}
	if answered && mayHaveRun {
		e.State = Ran
	}
	if e.out > 0 {
		return Change{}
	}
	delete(l.open, e.fp)
	if len(e.places) == 0 {
		l.release(e)
		if e.tried { // also where it was not confirmed: it may be there
			return Change{Kind: Remove}
		}
		return Change{}
	}
	if e.State == Open {
		e.State = Unknown
	}
	return Change{Kind: Close, Record: e.record()}
}

// Done says that a request that Arrive let on has its final answer. mayHaveRun says whether anything with its
// fingerprint may have run.
func (l *Ledger) Done(fp Fingerprint) (mayHaveRun bool) {
	e := l.entries[fp]
	if e == nil {
		return false
	}
	e.calls--
	mayHaveRun = len(e.places) > 0
	l.release(e)
	return mayHaveRun
}

// release lets an entry go that nothing speaks for.
func (l *Ledger) release(e *entry) {
	if len(e.places) > 0 || e.out > 0 {
		return
	}
	if e.Since != 0 { // a later attempt makes it anew
		e.gone = true
		if l.gone++; l.gone > len(l.old)/2 {
			l.old = slices.DeleteFunc(l.old, func(e *entry) bool { return e.gone })
			l.gone = 0
		}
		again := &entry{fp: e.fp, Record: Record{Effect: e.Effect, Class: e.Class}, calls: e.calls}
		l.entries[e.fp] = again
		e = again
	}
	if e.calls == 0 {
		delete(l.entries, e.fp)
	}
}

// forget lets go what has expired.
func (l *Ledger) forget(now Now) {
	n := 0
	for _, e := range l.old {
		if !e.gone && e.Expires > now.At {
			break
		}
		if !e.gone {
			if e.out > 0 || e.calls > 0 { // longer in hand than Remember: not before it ends
				break
			}
			delete(l.entries, e.fp)
			delete(l.open, e.fp)
		} else {
			l.gone--
		}
		n++
	}
	l.old = l.old[n:]
}

func (e *entry) record() Record {
	r := e.Record
	r.Places = make([]Place, len(e.places))
	for i, p := range e.places {
		r.Places[i] = p.Place
	}
	return r
}

// Stats is how a Ledger stands.
type Stats struct {
	Entries int // fingerprints remembered
	Open    int // intents without an outcome, of this life
	Left    int // intents that an earlier life left without one
	// Oldest is when the oldest of both was intended; 0: there is none.
	Oldest Time
}

// Stats returns it. It takes time in proportion to what is open.
func (l *Ledger) Stats() Stats {
	s := Stats{Entries: len(l.entries)}
	for _, e := range l.open {
		if e.left && e.out == 0 {
			s.Left++
		} else {
			s.Open++
		}
		if s.Oldest == 0 || e.Since < s.Oldest {
			s.Oldest = e.Since
		}
	}
	return s
}
