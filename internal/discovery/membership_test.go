package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"hazelwing/balancer"
)

var stateNames = []string{balancer.Active: "active", balancer.Draining: "leaving", balancer.Removed: "left"}

func testConfig() Config {
	return Config{Sources: []SourceConfig{{Name: "watch", Rank: 1, AbsenceMeansRemoved: true, StaleTTL: 10 * time.Second}, {Name: "dns", Rank: 2, StaleTTL: 5 * time.Second}},
		MaxEndpoints: 100, AdditionInterval: time.Second, TombstoneTTL: time.Hour, MaxRemovalShare: 0.5, RemovalWindow: 10 * time.Second}
}

// The scripts read as what sources say, and under each what changes in the list and when the merge wants to be called.
//
//	new                              two sources: watch (rank 1, absence is leaving), dns (rank 2); settle 1s, share 0.5 in 10s
//	tell at=T from=NAME seq=N [changes]   input: ID ADDR [leaving|left] [born=MS], a line each; "-" for no ID
//	lost at=T from=NAME | tick at=T | list at=T
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m *Merger
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, from string
			var seq int64
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "from", &from)
			d.MaybeScanArgs(t, "seq", &seq)
			now, _ := time.ParseDuration(at)
			switch d.Cmd {
			case "new":
				var err error
				if m, err = New(testConfig()); err != nil {
					t.Fatal(err)
				}
				return ""
			case "tell":
				return told(m.Apply(now, Update{from, seq, !d.HasArg("changes"), entries(t, d.Input)}))
			case "lost":
				return told(m.SourceFailed(now, from))
			case "tick":
				return told(m.Tick(now))
			case "list":
				var b strings.Builder
				for _, l := range m.Status(now) {
					fmt.Fprintf(&b, "%s in=%v %v: %s\n", l.ID, l.Listed, l.Sources, l.Reason)
				}
				return b.String()
			}
			return "no such command"
		})
	})
}

func entries(t *testing.T, text string) (list []Endpoint) {
	for line := range strings.Lines(text) {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		e := Endpoint{ID: strings.TrimPrefix(w[0], "-"), Addr: w[1]}
		for _, x := range w[2:] {
			if n := slices.Index(stateNames, x); n >= 0 {
				e.State = balancer.EndpointState(n)
			} else if _, err := fmt.Sscanf(x, "born=%f", &e.StartedAtMS); err != nil {
				t.Fatal(line)
			}
		}
		list = append(list, e)
	}
	return list
}

func told(changes []Change, wake time.Duration) string {
	var b strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&b, "%s %s %s: %s\n", stateNames[c.Endpoint.State], c.Endpoint.ID, c.Endpoint.Addr, c.Reason)
	}
	if wake > 0 {
		fmt.Fprintf(&b, "again at %v\n", wake)
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

// Over random histories of two sources that list, drop, bury, fail and repeat old copies: what any source has said to have
// left is not in the list until that source takes it back or a newer start is told; the list is never empty once it held
// something that was not said to leave; and when both agree, the list is what they say within Settle and the window.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := New(testConfig())
		if err != nil {
			t.Fatal(err)
		}
		ids := []string{"a", "b", "c", "d", "e"}
		names := []string{"watch", "dns"}
		list := map[string]Endpoint{}  // as the module has it
		said := map[string]Endpoint{}  // source/id: what was said to have left, and not taken back
		seq := map[string]int64{}      // of each source
		views := map[string][]Update{} // that it has told
		born := map[string]float64{}   // newest start that any source told
		explicit := map[string]bool{}  // ids that were ever said to leave
		apply := func(changes []Change) {
			for _, c := range changes {
				if c.Endpoint.State == balancer.Active {
					list[c.Endpoint.ID] = c.Endpoint
				} else {
					delete(list, c.Endpoint.ID)
				}
			}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			from := rapid.SampledFrom(names).Draw(t, "source")
			had := len(list)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				c, _ := m.SourceFailed(now, from)
				apply(c)
			case 1:
				c, _ := m.Tick(now)
				apply(c)
			case 2: // a late copy
				if old := views[from]; len(old) > 0 {
					c, _ := m.Apply(now, old[rapid.IntRange(0, len(old)-1).Draw(t, "old")])
					apply(c)
				}
			default:
				seq[from]++
				v := Update{Source: from, Seq: seq[from], Complete: rapid.Bool().Draw(t, "whole")}
				for _, id := range ids {
					if rapid.IntRange(0, 3).Draw(t, "listed") == 0 {
						continue
					}
					e := Endpoint{ID: id, Addr: "10." + id, StartedAtMS: born[id], State: balancer.EndpointState(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2}).Draw(t, "state"))}
					if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
						born[id]++
						e.StartedAtMS, e.State = born[id], balancer.Active
					}
					v.Endpoints = append(v.Endpoints, e)
					if e.State == balancer.Active {
						delete(said, from+"/"+id)
						for _, s := range names {
							if g, ok := said[s+"/"+id]; ok && e.StartedAtMS > g.StartedAtMS {
								delete(said, s+"/"+id)
							}
						}
					} else {
						explicit[id] = true
						said[from+"/"+id] = e
					}
				}
				views[from] = append(views[from], v)
				c, _ := m.Apply(now, v)
				apply(c)
			}
			for key, g := range said {
				if e, in := list[g.ID]; in && e.StartedAtMS <= g.StartedAtMS {
					t.Fatalf("%v: %s has left by the word of %s, and is in the list", now, g.ID, key)
				}
			}
			if had > 0 && len(list) == 0 {
				for _, e := range ids {
					if explicit[e] {
						had = 0 // some were said to leave: then it may be empty
					}
				}
				if had > 0 {
					t.Fatalf("%v: the list is empty, and nobody was said to leave", now)
				}
			}
			if len(m.sources["watch"].graves) > testConfig().MaxEndpoints || len(m.out) != len(list) {
				t.Fatalf("%d listed, the module has %d", len(m.out), len(list))
			}
		}
		var agreed []Endpoint // newer starts of all, told by both
		for _, id := range ids[:3] {
			agreed = append(agreed, Endpoint{ID: id, Addr: "10." + id, StartedAtMS: born[id] + 1})
		}
		for _, s := range names {
			seq[s]++
			c, _ := m.Apply(now, Update{Source: s, Seq: seq[s], Complete: true, Endpoints: agreed})
			apply(c)
		}
		for range 10 { // a window takes out a share
			now += testConfig().RemovalWindow
			c, _ := m.Tick(now)
			apply(c)
		}
		if len(list) != 3 {
			t.Fatalf("both list three, and the list has %v", list)
		}
	})
}

// Neither what cannot be is made, nor is more kept than may be.
func TestBounds(t *testing.T) {
	for i, change := range []func(*Config){func(c *Config) { c.Sources = nil }, func(c *Config) { c.MaxRemovalShare = 0 }, func(c *Config) { c.MaxEndpoints = 0 }, func(c *Config) { c.RemovalWindow = 0 },
		func(c *Config) { c.Sources[1].Name = "watch" }, func(c *Config) { c.Sources[0].StaleTTL = -1 }, func(c *Config) { c.TombstoneTTL = 0 }} {
		c := testConfig()
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%d was taken", i)
		}
	}
	m, _ := New(testConfig())
	var flood []Endpoint
	for i := range 10_000 {
		flood = append(flood, Endpoint{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("x", i)})
	}
	m.Apply(0, Update{"dns", 1, true, flood})
	for i := range flood {
		flood[i].State = balancer.Removed
	}
	for i := 0; i < len(flood); i += 100 {
		m.Apply(time.Second, Update{"watch", int64(i + 1), false, flood[i : i+100]})
	}
	if len(m.out) > 100 || m.Dropped() != 9900 || len(m.sources["watch"].graves) > 100 {
		t.Errorf("%d in the list, %d left out, %d graves", len(m.out), m.Dropped(), len(m.sources["watch"].graves))
	}
}
