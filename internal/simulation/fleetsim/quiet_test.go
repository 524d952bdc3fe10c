package fleetsim

import (
	"testing"
	"time"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// What the view of a quiet member of 74 sends is counted in simulated time, the same on any machine; the page of capacity has it.
func TestQuietTraffic(t *testing.T) {
	e := &Experiment{Contestants: []string{"lifeguard"}, Members: []int{74}, Loss: []float64{0}, Slow: []float64{0}, Quiet: strictdecode.Duration(time.Minute), Seeds: 1}
	p := e.Play(1)[0]
	t.Logf("%.2f datagrams and %.1f bytes a second", p.Messages, p.Bytes)
	testutil.CheckCapacityBound(t, "the view: datagrams a second that a quiet member of 74 sends", p.Messages, 0.05)
	testutil.CheckCapacityBound(t, "the view: bytes a second of these", p.Bytes, 0.05)
}
