// Package discovery makes one list of members out of what several sources say, without I/O and without clocks: it is told
// what a source says and when, and answers with what changes. docs/design/membership.md has the rules as a table.
//
// In short: leaving wins. A node that a source has said to drain or to be gone is out until that source takes it back, or
// any source tells of a newer start of it; a late copy of an old list never brings it back. A source that has failed keeps
// its last view for a while, and then only loses the right to add. What a source merely no longer lists may be held, so
// that one source alone neither empties the list nor takes out more than a share of it within a while. Leavings are
// handed out at once, additions at most once in Settle.
//
// # Bounds
//
// A view holds at most Config.Most entries, what is beyond is left out and counted; graves are kept for Config.Forget after
// nobody lists their node any more, Most of them for each source. A Merge is not safe for several goroutines.
package discovery

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"hazelwing/balancer"
)

// Entry is a node as a source knows it.
type Endpoint struct {
	ID           string                 `json:"ID"` // empty: the source knows addresses only
	Addr         string                 `json:"Addr"`
	Zone         string                 `json:"Zone"`
	Kind         string                 `json:"Kind"`
	Cell         int                    `json:"Cell"`
	State        balancer.EndpointState `json:"State"`
	StartedAtMS  float64                `json:"BornMS"`   // when its process started, Unix milliseconds; 0: not known, or long ago
	Priority     int                    `json:"Priority"` // failover level, lower first
	TrafficShare float64                `json:"Share"`    // of the traffic of its level; 0: not told
}

// Source is one that speaks.
type SourceConfig struct {
	Name string
	Rank int // whose word on zone, kind and level is taken: the lowest that lists a node
	// Absent says what it means that a whole view lacks a node that the one before had: true, it is gone; false, the
	// source only says nothing of it any more (a DNS answer may be a part).
	AbsenceMeansRemoved bool
	// Hearsay says that it only passes on what others were told: it lists nothing, an Active entry of its takes its word
	// back, and what it takes out is held to Share, also where it says that it left.
	Indirect bool
	// Keep is how long its last view may add nodes after it has failed.
	StaleTTL time.Duration
}

// Config is a Merge's.
type Config struct {
	Sources          []SourceConfig
	MaxEndpoints     int           // entries of a view
	AdditionInterval time.Duration // additions are handed out at most once in it
	TombstoneTTL     time.Duration // a leaving is remembered for it after nobody lists the node any more
	// Share of the list that what one source no longer lists may take out within Window; of what is left, one always stays.
	MaxRemovalShare float64
	RemovalWindow   time.Duration
}

// View is what a source says.
type Update struct {
	Source    string
	Seq       int64 // later ones are higher; one that is not higher than the last is an old copy
	Complete  bool  // else changes to the one before
	Endpoints []Endpoint
}

// Change is one of the list.
type Change struct {
	Endpoint Endpoint // ID is never empty
	Reason   string
}

// Listed is an entry of the list, or one that is kept out of it.
type EndpointStatus struct {
	Endpoint
	Listed  bool          `json:"In"`
	Reason  string        `json:"Why"`
	Sources []string      `json:"Sources"` // that list it, by rank
	Since   time.Duration `json:"Since"`
}

// Merge is the list.
type Merger struct {
	cfg     Config
	sources map[string]*source
	order   []*source // by rank
	out     map[string]*node
	settled time.Duration // when additions were handed out last
	begun   bool
	dropped int
}

type source struct {
	SourceConfig
	seq    int64
	spoke  bool
	failed time.Duration // since; -1: it has not
	view   map[string]Endpoint
	graves map[string]grave
	taken  []time.Duration // when absences of its own took nodes out
}

// grave is a source's word that a node has left.
type grave struct {
	Endpoint
	at       time.Duration
	explicit bool          // said, not merely no longer listed
	listed   time.Duration // when anybody last listed it
}

type node struct {
	Endpoint
	why   string
	since time.Duration
}

// New makes a Merge, or says what cannot be.
func New(c Config) (*Merger, error) {
	m := &Merger{cfg: c, sources: map[string]*source{}, out: map[string]*node{}}
	if len(c.Sources) == 0 || c.MaxEndpoints < 1 || c.AdditionInterval < 0 || c.TombstoneTTL <= 0 || !(c.MaxRemovalShare > 0 && c.MaxRemovalShare <= 1) || c.RemovalWindow <= 0 {
		return nil, fmt.Errorf("membership: sources, most, forget, window and a share above 0 and up to 1 are wanted")
	}
	for _, s := range c.Sources {
		if s.Name == "" || m.sources[s.Name] != nil || s.StaleTTL < 0 {
			return nil, fmt.Errorf("membership: source %q: a name of its own, and keep not below 0", s.Name)
		}
		x := &source{SourceConfig: s, failed: -1, view: map[string]Endpoint{}, graves: map[string]grave{}}
		m.sources[s.Name] = x
		m.order = append(m.order, x)
	}
	slices.SortStableFunc(m.order, func(a, b *source) int { return cmp.Compare(a.Rank, b.Rank) })
	return m, nil
}

// key tells a source's nodes apart.
func (e *Endpoint) key() string {
	if e.ID != "" {
		return e.ID
	}
	return "addr " + e.Addr
}

// Tell takes a view. It answers with what changes now, and when Tick is to be called; 0: not before the next event.
func (m *Merger) Apply(now time.Duration, v Update) ([]Change, time.Duration) {
	s := m.sources[v.Source]
	if s == nil || s.spoke && v.Seq <= s.seq {
		return m.settle(now)
	}
	s.seq, s.spoke, s.failed = v.Seq, true, -1
	entries := v.Endpoints
	if len(entries) > m.cfg.MaxEndpoints {
		m.dropped += len(entries) - m.cfg.MaxEndpoints
		entries = entries[:m.cfg.MaxEndpoints]
	}
	there := map[string]bool{}
	for _, e := range entries {
		k := e.key()
		there[k] = true
		if e.State != balancer.Active {
			s.bury(now, k, e, true)
			continue
		}
		if g, ok := s.graves[k]; ok && (e.StartedAtMS == 0 || e.StartedAtMS >= g.StartedAtMS) {
			delete(s.graves, k) // it takes its own word back
		}
		if s.Indirect {
			continue
		}
		if len(s.view) < m.cfg.MaxEndpoints || s.view[k].Addr != "" {
			s.view[k] = e
		}
	}
	if v.Complete {
		for _, k := range slices.Sorted(maps.Keys(s.view)) {
			switch {
			case there[k]:
			case s.AbsenceMeansRemoved:
				s.bury(now, k, s.view[k], false)
			default:
				delete(s.view, k)
			}
		}
	}
	return m.settle(now)
}

// bury notes that a source says that a node has left.
func (s *source) bury(now time.Duration, k string, e Endpoint, explicit bool) {
	if old, ok := s.view[k]; ok {
		e.Addr = cmp.Or(e.Addr, old.Addr)
		e.StartedAtMS = max(e.StartedAtMS, old.StartedAtMS)
	}
	if e.State == balancer.Active {
		e.State = balancer.Removed
	}
	if g, ok := s.graves[k]; ok && g.explicit && !explicit {
		return
	}
	s.graves[k] = grave{Endpoint: e, at: now, explicit: explicit, listed: now}
	delete(s.view, k)
}

// Lost takes in that a source has failed.
func (m *Merger) SourceFailed(now time.Duration, name string) ([]Change, time.Duration) {
	if s := m.sources[name]; s != nil && s.failed < 0 {
		s.failed = now
	}
	return m.settle(now)
}

// Tick is called at the time that the last event asked for.
func (m *Merger) Tick(now time.Duration) ([]Change, time.Duration) { return m.settle(now) }

// mayAdd says whether a source's view still brings in nodes that are not in the list.
func (s *source) mayAdd(now time.Duration) bool { return s.failed < 0 || now-s.failed < s.StaleTTL }

// covers says whether a grave holds an entry down: the same node, or its address, and no newer start.
func (g *grave) covers(e *Endpoint) bool {
	if e.StartedAtMS > g.StartedAtMS && e.StartedAtMS > 0 {
		return false
	}
	return e.ID != "" && e.ID == g.ID || e.Addr != "" && e.Addr == g.Addr
}

// wanted is what should be in the list, by id, and why each of the rest is not.
func (m *Merger) wanted(now time.Duration) (in map[string]Endpoint, sources map[string][]string, why map[string]string) {
	in, sources, why = map[string]Endpoint{}, map[string][]string{}, map[string]string{}
	named := map[string]string{} // who has a name, by address
	for _, s := range m.order {
		for _, k := range slices.Sorted(maps.Keys(s.view)) {
			if e := s.view[k]; e.ID != "" && named[e.Addr] == "" {
				named[e.Addr] = e.ID
			}
		}
	}
	for _, s := range m.order {
		for _, k := range slices.Sorted(maps.Keys(s.view)) {
			e := s.view[k]
			if e.ID == "" { // who knows only the address speaks of whoever has it
				e.ID = cmp.Or(named[e.Addr], "addr "+e.Addr)
			}
			if text := m.held(now, &e); text != "" {
				why[e.ID] = text
				continue
			}
			if m.out[e.ID] == nil && !s.mayAdd(now) {
				if _, ok := in[e.ID]; !ok {
					why[e.ID] = s.Name + " has failed, and may not add"
				}
				continue
			}
			sources[e.ID] = append(sources[e.ID], s.Name)
			if old, ok := in[e.ID]; !ok {
				in[e.ID] = e
			} else if e.StartedAtMS > old.StartedAtMS { // a newer start is a newer process, whoever tells of it
				old.StartedAtMS, old.Addr = e.StartedAtMS, e.Addr
				in[e.ID] = old
			}
		}
	}
	for id := range in {
		delete(why, id)
	}
	return in, sources, why
}

// held says which source keeps an entry out, and notes that it is listed still.
func (m *Merger) held(now time.Duration, e *Endpoint) string {
	text := ""
	for _, s := range m.order {
		for k, g := range s.graves {
			if g.covers(e) {
				g.listed = now
				s.graves[k] = g
				verb := "no longer lists it"
				if g.explicit {
					verb = "says that it has left"
				}
				text = s.Name + " " + verb
			}
		}
	}
	return text
}

// settle brings the list to what it should be.
func (m *Merger) settle(now time.Duration) (changes []Change, wake time.Duration) {
	in, _, why := m.wanted(now)
	ask := func(at time.Duration) {
		if at > now && (wake == 0 || at < wake) {
			wake = at
		}
	}
	replaced := map[string]bool{}                        // by a newer process, which does not wait: the old one's place would be empty
	for _, id := range slices.Sorted(maps.Keys(m.out)) { // leavings first, and at once
		n := m.out[id]
		e, still := in[id]
		if still && e.StartedAtMS > n.StartedAtMS {
			still = false // another process: the old one leaves
			why[id] = "a newer start is told"
			replaced[id] = true
		}
		if still {
			n.why = "listed"
			if changed := e; changed != n.Endpoint {
				n.Endpoint = changed
				changes = append(changes, Change{changed, "it is described anew"})
			}
			continue
		}
		text := why[id]
		if hold, at := m.panics(now, id, text); hold != "" {
			n.why = hold
			ask(at)
			continue
		}
		gone := n.Endpoint
		gone.State = m.stateOf(&n.Endpoint)
		changes = append(changes, Change{gone, cmp.Or(text, m.held(now, &n.Endpoint), "no source lists it any more")})
		delete(m.out, id)
	}
	var added []string
	for _, id := range slices.Sorted(maps.Keys(in)) {
		if m.out[id] == nil {
			added = append(added, id)
		}
	}
	early := m.begun && now-m.settled < m.cfg.AdditionInterval
	if early {
		all := len(added)
		if added = slices.DeleteFunc(added, func(id string) bool { return !replaced[id] }); len(added) < all {
			ask(m.settled + m.cfg.AdditionInterval)
		}
	}
	for _, id := range added {
		m.out[id] = &node{Endpoint: in[id], why: "listed", since: now}
		changes = append(changes, Change{in[id], "listed"})
	}
	if len(added) > 0 && !early {
		m.settled, m.begun = now, true
	}
	m.forget(now)
	for _, s := range m.order {
		if s.failed >= 0 && len(s.view) > 0 {
			ask(s.failed + s.StaleTTL)
		}
	}
	return changes, wake
}

// stateOf is what a node that leaves is told as: draining where a source says that it drains and none that it is gone.
func (m *Merger) stateOf(e *Endpoint) balancer.EndpointState {
	state := balancer.Removed
	for _, s := range m.order {
		for _, g := range s.graves {
			if g.covers(e) {
				if g.State == balancer.Removed {
					return balancer.Removed
				}
				state = g.State
			}
		}
	}
	return state
}

// panics holds what would leave only since one source no longer lists it, where that source has taken out its share of
// the list within the window, or would empty it. What was said to leave is never held.
func (m *Merger) panics(now time.Duration, id, why string) (hold string, again time.Duration) {
	n := m.out[id]
	var by *source
	for _, s := range m.order {
		for _, g := range s.graves {
			if g.covers(&n.Endpoint) {
				if g.explicit && !s.Indirect {
					return "", 0
				}
				by = s
			}
		}
	}
	if why == "a newer start is told" {
		return "", 0
	}
	if len(m.out) == 1 {
		return "held: it is the last one", 0
	}
	if by == nil { // it only fell silent: that of one source is not held back, that of all is
		return "", 0
	}
	by.taken = slices.DeleteFunc(by.taken, func(at time.Duration) bool { return now-at >= m.cfg.RemovalWindow })
	if float64(len(by.taken)+1) > m.cfg.MaxRemovalShare*float64(len(m.out)+len(by.taken)) {
		if len(by.taken) == 0 {
			return "held: " + by.Name + " may not take out so large a share", 0
		}
		return "held: " + by.Name + " has taken out its share", by.taken[0] + m.cfg.RemovalWindow
	}
	by.taken = append(by.taken, now)
	return "", 0
}

// forget drops graves that nobody lists any more, and the oldest where there are too many.
func (m *Merger) forget(now time.Duration) {
	for _, s := range m.order {
		for k, g := range s.graves {
			if now-g.listed >= m.cfg.TombstoneTTL {
				delete(s.graves, k)
			}
		}
		for len(s.graves) > m.cfg.MaxEndpoints {
			oldest := ""
			for _, k := range slices.Sorted(maps.Keys(s.graves)) {
				if oldest == "" || s.graves[k].listed < s.graves[oldest].listed {
					oldest = k
				}
			}
			delete(s.graves, oldest)
		}
	}
}

// List is every node that a source lists or the list holds, by id: in the list or not, why, and since when.
func (m *Merger) Status(now time.Duration) (list []EndpointStatus) {
	in, sources, why := m.wanted(now)
	for _, id := range slices.Sorted(maps.Keys(m.out)) {
		n := m.out[id]
		list = append(list, EndpointStatus{Endpoint: n.Endpoint, Listed: true, Reason: n.why, Sources: sources[id], Since: n.since})
	}
	for _, id := range slices.Sorted(maps.Keys(why)) {
		if _, ok := in[id]; !ok && m.out[id] == nil {
			list = append(list, EndpointStatus{Endpoint: Endpoint{ID: id}, Reason: why[id], Sources: sources[id]})
		}
	}
	return list
}

// Dropped is how many entries of views were left out, since there were too many.
func (m *Merger) Dropped() int { return m.dropped }
