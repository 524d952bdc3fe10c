package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hazelwing/balancer"
)

// fullListConfig returns the configuration of one source whose list holds at most maxEndpoints endpoints.
func fullListConfig(maxEndpoints int) Config {
	cfg := testConfig()
	cfg.Sources = cfg.Sources[:1]
	cfg.MaxEndpoints = maxEndpoints
	cfg.AdditionInterval = 0
	return cfg
}

// Guards against requests to servers that discovery has removed, and to none of the new ones: the list of a source was
// full, and a complete update replaced all of its endpoints. The removals behind the limit were cut off with the
// endpoints, and the new endpoints found no room.
func TestAllEndpointsOfAFullListAreReplaced(t *testing.T) {
	const size = 6
	list := func(name string, state balancer.EndpointState) (endpoints []Endpoint) {
		for i := range size {
			endpoints = append(endpoints, Endpoint{ID: fmt.Sprint(name, i), Addr: fmt.Sprint(name, i), State: state})
		}
		return endpoints
	}
	added, removed := list("new", balancer.Active), list("old", balancer.Removed)
	for what, update := range map[string]Update{
		"complete list of the new ones":          {Complete: true, Endpoints: added},
		"complete list, then removals":           {Complete: true, Endpoints: slices.Concat(added, removed)},
		"changes: additions, then removals":      {Endpoints: slices.Concat(added, removed)},
		"changes: removals, then additions":      {Endpoints: slices.Concat(removed, added)},
		"changes: removals of others come first": {Endpoints: slices.Concat(list("x", 2), removed, added)},
	} {
		merger, err := New(fullListConfig(size))
		if err != nil {
			t.Fatal(err)
		}
		merger.Apply(0, Update{Source: "watch", Seq: 1, Complete: true, Endpoints: list("old", balancer.Active)})
		update.Source, update.Seq = "watch", 2
		merger.Apply(time.Second, update)
		for i := range 10 { // removals without an explicit report are limited in each window
			merger.Tick(time.Duration(i+1) * testConfig().RemovalWindow)
		}
		for i := range size {
			if merger.listed[fmt.Sprint("old", i)] != nil || merger.listed[fmt.Sprint("new", i)] == nil {
				t.Errorf("%s: %d endpoints are listed, without new%d or with old%d", what, len(merger.listed), i, i)
			}
		}
		if merger.Dropped() != 0 {
			t.Errorf("%s: %d endpoints were dropped, want none", what, merger.Dropped())
		}
	}
}

// The list of a source is that of a plain model, whatever is added to a list that is full or nearly full: an update's
// removals come first, those of a complete list too; then the endpoints that the list has already keep their places,
// and new ones take those that are left, in the order of the update.
func TestListOfASourceWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		merger, err := New(fullListConfig(limit))
		if err != nil {
			t.Fatal(err)
		}
		var model []string // IDs of the listed endpoints
		dropped := 0
		for step := range rapid.IntRange(1, 12).Draw(t, "updates") {
			update := Update{Source: "watch", Seq: int64(step + 1), Complete: rapid.Bool().Draw(t, "complete")}
			var active, gone []string
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}).Draw(t, "order") {
				e := Endpoint{ID: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i)}
				switch rapid.IntRange(0, 3).Draw(t, "entry") {
				case 0:
					continue
				case 1:
					e.State = balancer.Removed
					gone = append(gone, e.ID)
				default:
					active = append(active, e.ID)
				}
				update.Endpoints = append(update.Endpoints, e)
			}
			merger.Apply(time.Duration(step)*time.Second, update)
			model = slices.DeleteFunc(model, func(id string) bool {
				return slices.Contains(gone, id) || update.Complete && !slices.Contains(active, id)
			})
			for _, id := range active {
				switch {
				case slices.Contains(model, id):
				case len(model) < limit:
					model = append(model, id)
				default:
					dropped++
				}
			}
			source := merger.sources["watch"]
			for _, id := range model {
				if !source.lists(id) {
					t.Fatalf("after update %d: the source's list lacks %s, want %v", step, id, model)
				}
			}
			if len(source.endpoints) != len(model) || merger.Dropped() != dropped {
				t.Fatalf("after update %d: %d endpoints are listed and %d dropped, want %d and %d",
					step, len(source.endpoints), merger.Dropped(), len(model), dropped)
			}
			for _, id := range gone {
				if merger.listed[id] != nil {
					t.Fatalf("after update %d: %s is in the merged list although its source has removed it", step, id)
				}
			}
		}
	})
}
