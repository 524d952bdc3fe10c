package watch

import (
	"testing"

	"hazelwing/balancer"
)

// The healths of discovery.
func TestListingHealthNamesAreStable(t *testing.T) {
	for health, want := range map[string]balancer.State{"SERVING": balancer.Active, "DRAINING": balancer.Leaving, "DELETED": balancer.Left} {
		if state, err := (&Host{Health: health}).state(); err != nil || state != want {
			t.Errorf("%s is read as %v, %v; want %v", health, state, err, want)
		}
	}
}
