package watch

import (
	"testing"

	"hazelwing/balancer"
)

// The healths of discovery.
func TestListingHealthNamesAreStable(t *testing.T) {
	for health, want := range map[string]balancer.EndpointState{"SERVING": balancer.Active, "DRAINING": balancer.Draining, "DELETED": balancer.Removed} {
		if state, err := (&Endpoint{Health: health}).state(); err != nil || state != want {
			t.Errorf("%s is read as %v, %v; want %v", health, state, err, want)
		}
	}
}
