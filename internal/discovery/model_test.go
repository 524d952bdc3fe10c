package discovery

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/balancer"
)

var (
	modelSources = []string{"watch", "dns"}
	modelIDs     = []string{"a", "b", "c", "d", "e"}
)

// model passes random updates to a Merger, and tracks the list and the removals that result from them.
type model struct {
	merger *Merger
	now    time.Duration

	list      map[string]Endpoint // merged list according to the changes that the Merger has returned, by ID
	removals  map[string]Endpoint // explicit removals that have not been withdrawn, by SOURCE/ID
	seq       map[string]int64    // sequence number of the last update, by source
	updates   map[string][]Update // all updates so far, by source
	startedAt map[string]float64  // latest start that any source has reported, by ID
	explicit  map[string]bool     // IDs that any source has explicitly removed
}

// Two sources list and remove endpoints, stop listing them, fail, and repeat old updates, all at random. This must
// neither restore a removed endpoint nor empty the list. The test checks that:
//   - an endpoint that a source has explicitly removed is not in the list until that source lists it again, or any
//     source lists it with a later start time;
//   - the list does not become empty unless an endpoint was explicitly removed;
//   - once both sources list the same endpoints, so does the merged list after some removal windows.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		merger, err := New(testConfig())
		if err != nil {
			t.Fatal(err)
		}
		m := &model{
			merger:    merger,
			list:      map[string]Endpoint{},
			removals:  map[string]Endpoint{},
			seq:       map[string]int64{},
			updates:   map[string][]Update{},
			startedAt: map[string]float64{},
			explicit:  map[string]bool{},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			numBefore := len(m.list)
			m.step(t)
			m.checkRemovals(t)
			if numBefore > 0 && len(m.list) == 0 && len(m.explicit) == 0 {
				t.Fatalf("the list has become empty at %v although no endpoint was explicitly removed", m.now)
			}
			if n := len(merger.sources["watch"].tombstones); n > testConfig().MaxEndpoints {
				t.Fatalf("%d tombstones of the source watch, want at most %d", n, testConfig().MaxEndpoints)
			}
			if len(merger.listed) != len(m.list) {
				t.Fatalf("the merger lists %d endpoints, want %d according to the changes that it returned",
					len(merger.listed), len(m.list))
			}
		}
		m.checkAgreement(t)
	})
}

// step draws an event and passes it to the merger.
func (m *model) step(t *rapid.T) {
	source := rapid.SampledFrom(modelSources).Draw(t, "source")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.record(m.merger.SourceFailed(m.now, source))
	case 1:
		m.record(m.merger.Tick(m.now))
	case 2: // a delayed copy of an earlier update
		if old := m.updates[source]; len(old) > 0 {
			m.record(m.merger.Apply(m.now, old[rapid.IntRange(0, len(old)-1).Draw(t, "old")]))
		}
	default:
		update := m.drawUpdate(t, source)
		m.updates[source] = append(m.updates[source], update)
		m.record(m.merger.Apply(m.now, update))
	}
}

// drawUpdate draws the next update of a source.
func (m *model) drawUpdate(t *rapid.T, source string) Update {
	m.seq[source]++
	update := Update{Source: source, Seq: m.seq[source], Complete: rapid.Bool().Draw(t, "complete")}
	// Values of balancer.EndpointState: 0 (Active) is drawn most often; 1 is Draining and 2 is Removed.
	states := []int{0, 0, 0, 0, 0, 1, 2}
	for _, id := range modelIDs {
		if rapid.IntRange(0, 3).Draw(t, "listed") == 0 {
			continue
		}
		e := Endpoint{
			ID:          id,
			Addr:        "10." + id,
			StartedAtMS: m.startedAt[id],
			State:       balancer.EndpointState(rapid.SampledFrom(states).Draw(t, "state")),
		}
		if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
			m.startedAt[id]++
			e.StartedAtMS, e.State = m.startedAt[id], balancer.Active
		}
		update.Endpoints = append(update.Endpoints, e)
		m.recordRemoval(source, e)
	}
	return update
}

// recordRemoval updates the explicit removals after a source has reported an endpoint.
func (m *model) recordRemoval(source string, e Endpoint) {
	if e.State != balancer.Active {
		m.explicit[e.ID] = true
		m.removals[source+"/"+e.ID] = e
		return
	}
	delete(m.removals, source+"/"+e.ID)
	for _, other := range modelSources {
		if removed, ok := m.removals[other+"/"+e.ID]; ok && e.StartedAtMS > removed.StartedAtMS {
			delete(m.removals, other+"/"+e.ID)
		}
	}
}

// record applies the changes of the merged list to the model's list.
func (m *model) record(changes []Change, _ time.Duration) {
	for _, c := range changes {
		if c.Endpoint.State == balancer.Active {
			m.list[c.Endpoint.ID] = c.Endpoint
		} else {
			delete(m.list, c.Endpoint.ID)
		}
	}
}

// checkRemovals fails the test if the list contains an endpoint whose explicit removal has not been withdrawn.
func (m *model) checkRemovals(t *rapid.T) {
	for key, removed := range m.removals {
		source, _, _ := strings.Cut(key, "/")
		if e, ok := m.list[removed.ID]; ok && e.StartedAtMS <= removed.StartedAtMS {
			t.Fatalf("endpoint %s is listed at %v although %s has removed it", removed.ID, m.now, source)
		}
	}
}

// checkAgreement makes both sources list the same three endpoints, newly started, and fails the test unless the list
// then has three endpoints.
func (m *model) checkAgreement(t *rapid.T) {
	var agreed []Endpoint
	for _, id := range modelIDs[:3] {
		agreed = append(agreed, Endpoint{ID: id, Addr: "10." + id, StartedAtMS: m.startedAt[id] + 1})
	}
	for _, source := range modelSources {
		m.seq[source]++
		m.record(m.merger.Apply(m.now, Update{Source: source, Seq: m.seq[source], Complete: true, Endpoints: agreed}))
	}
	for range 10 { // in each removal window only a share of the list may be removed
		m.now += testConfig().RemovalWindow
		m.record(m.merger.Tick(m.now))
	}
	if len(m.list) != 3 {
		t.Fatalf("the list is %v, want the three endpoints that both sources list", m.list)
	}
}
