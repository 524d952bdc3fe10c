package fleetsim

import (
	"testing"
	"time"

	"hazelwing/internal/strictdecode"
	"hazelwing/internal/testutil"
)

// The traffic of a member of a quiet cluster of 74 members matches docs/CAPACITY.md. It is measured in simulated time,
// so it is the same on any machine.
func TestQuietTraffic(t *testing.T) {
	e := &Experiment{
		Protocols:     []string{"lifeguard"},
		Members:       []int{74},
		LossRates:     []float64{0},
		SlowShares:    []float64{0},
		QuietDuration: strictdecode.Duration(time.Minute),
		Seeds:         1,
	}
	p := e.Run(1)[0]
	t.Logf("%.2f datagrams and %.1f bytes a second", p.MessageRate, p.ByteRate)
	testutil.CheckCapacityBound(t, "the view: datagrams a second that a quiet member of 74 sends", p.MessageRate, 0.05)
	testutil.CheckCapacityBound(t, "the view: bytes a second of these", p.ByteRate, 0.05)
}
