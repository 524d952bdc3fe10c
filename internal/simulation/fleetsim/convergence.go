package fleetsim

import (
	"fmt"

	"hazelwing/internal/cluster"
)

// Group reports whether a member, given by its index, belongs to a set of members; nil: all members do.
type Group func(member int) bool

func (g Group) contains(i int) bool { return g == nil || g(i) }

// Converged reports whether each running member of a group sees exactly the running members of the group as alive, in
// their latest incarnations.
func (s *Simulation) Converged(group Group) bool {
	// Comparing complete views takes time quadratic in the number of members, so fingerprints are compared first.
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

// Disagreement describes the first difference between a member's view and the actual state of the group. It returns an
// empty string if there is none.
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

// viewDifference describes the first difference between a member's view and the running members, or returns an empty
// string if there is none. The map running has the incarnations of the running members by name.
func viewDifference(m *Member, running map[string]cluster.Incarnation) string {
	n := 0
	for _, x := range m.Protocol.Members() {
		incarnation, isRunning := running[x.Name]
		switch {
		case isRunning && (x.State != cluster.Alive || x.Incarnation != incarnation):
			return fmt.Sprintf("sees %s as %v in incarnation %+v, but it runs in incarnation %+v",
				x.Name, x.State, x.Incarnation, incarnation)
		case !isRunning && x.State < cluster.Dead:
			return fmt.Sprintf("sees %s as %v, but it does not run or is not in the group", x.Name, x.State)
		case isRunning:
			n++
		}
	}
	if n != len(running) {
		return fmt.Sprintf("knows %d of the %d running members", n, len(running))
	}
	return ""
}
