package fleetsim

import (
	"fmt"

	"hazelwing/internal/cluster"
)

// Group is a set of members; nil: all of them.
type Group func(member int) bool

func (g Group) contains(i int) bool { return g == nil || g(i) }

// Converged reports whether each running member of a group sees exactly the running ones of it as alive, in their
// latest incarnations.
func (s *Simulation) Converged(group Group) bool {
	// Comparing complete views costs the square of the members, so their fingerprints are compared first.
	var first *cluster.Core
	for i, m := range s.Members {
		core, ok := m.Protocol.(*cluster.Core)
		if !ok || !group.contains(i) {
			continue
		}
		if first == nil {
			first = core
		}
		live, digest := core.Fingerprint()
		if firstLive, firstDigest := first.Fingerprint(); firstLive != live || firstDigest != digest {
			return false
		}
	}
	return s.Disagreement(group) == ""
}

// Disagreement describes the first difference between a view and the truth; empty: there is none.
func (s *Simulation) Disagreement(group Group) string {
	running := map[string]cluster.Incarnation{}
	for i, m := range s.Members {
		if m.Protocol != nil && group.contains(i) {
			running[m.Name] = m.Protocol.Incarnation()
		}
	}
	for i, m := range s.Members {
		if m.Protocol == nil || !group.contains(i) {
			continue
		}
		if difference := viewDifference(m, running); difference != "" {
			return fmt.Sprintf("%v: %s %s", s.Now, m.Name, difference)
		}
	}
	return ""
}

// viewDifference describes how a member's view differs from the running members.
func viewDifference(m *Member, running map[string]cluster.Incarnation) string {
	n := 0
	for _, x := range m.Protocol.Members() {
		incarnation, isRunning := running[x.Name]
		switch {
		case isRunning && (x.State != cluster.Alive || x.Incarnation != incarnation):
			return fmt.Sprintf("has %s as %v %+v, and it is alive %+v", x.Name, x.State, x.Incarnation, incarnation)
		case !isRunning && x.State < cluster.Dead:
			return fmt.Sprintf("has %s as %v, and it does not run or is cut off", x.Name, x.State)
		case isRunning:
			n++
		}
	}
	if n != len(running) {
		return fmt.Sprintf("knows %d of %d", n, len(running))
	}
	return ""
}
