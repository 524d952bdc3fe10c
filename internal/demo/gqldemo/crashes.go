package gqldemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"hazelwing/internal/emulator"
)

const (
	// crashStream selects the random stream for the choice of nodes, separate from the random streams of the requests.
	crashStream = 0x64656d6f
	// faultInterval is the time from a crash to the node's restart, and from there to the next crash.
	faultInterval = 500 * time.Millisecond
)

// crashNodes crashes a random node every second and restarts it half a second later, until ctx ends.
func crashNodes(ctx context.Context, seed uint64, fleet *emulator.Fleet) {
	rng := rand.New(rand.NewPCG(seed, crashStream))
	for {
		node := fmt.Sprint("n", 1+rng.IntN(nodeCount))
		for _, verb := range []string{"crash", "restart"} {
			select {
			case <-time.After(faultInterval):
			case <-ctx.Done():
				return
			}
			// The error is ignored: a node that cannot be restarted stays down, which is one more fault.
			//nolint:contextcheck // listening on loopback does not wait, and a restarted node runs until Close
			_ = fleet.InjectFault(emulator.Fault{Verb: verb, Node: node})
		}
	}
}
