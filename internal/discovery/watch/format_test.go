package watch

import (
	"testing"

	"hazelwing/balancer"
)

// The values of the health field are defined by the discovery service.
func TestHealthValuesAreStable(t *testing.T) {
	for health, want := range map[string]balancer.EndpointState{
		"SERVING":  balancer.Active,
		"DRAINING": balancer.Draining,
		"DELETED":  balancer.Removed,
	} {
		if state, err := (&Endpoint{Health: health}).state(); err != nil || state != want {
			t.Errorf("the health %s was decoded as state %v with the error %v, want %v", health, state, err, want)
		}
	}
}
