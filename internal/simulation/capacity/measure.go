package capacity

import (
	"runtime/debug"
	"time"

	"hazelwing/internal/testcluster/hollow"
)

// Units of figures.
const (
	unitBytes   = "B"
	unitCount   = "1"
	unitSeconds = "s"
	unitMillis  = "ms"
	// perSecondSuffix is appended to the unit of a rate.
	perSecondSuffix = "/s"
)

// basis says whether the figures of a measurement are rates or totals.
type basis int

const (
	// perSecond gives rates, for measurements of a fixed duration.
	perSecond basis = iota
	// inTotal gives totals, for measurements that last until the cluster has converged.
	inTotal
)

// snapshot holds all counters at the beginning or the end of a measurement.
type snapshot struct {
	at        time.Time
	usage     processUsage
	counts    []hollow.Counts // traffic by member
	roles     []string        // by member; empty: the member does not run
	discovery hollow.Counts
}

func (r *run) snapshot() (s snapshot, err error) {
	if s.usage, err = readUsage(); err != nil {
		return s, err
	}
	for _, m := range r.cluster.Members {
		s.counts = append(s.counts, m.Counts())
		s.roles = append(s.roles, roleOf(m))
	}
	s.discovery, s.at = r.cluster.DiscoveryCounts(), time.Now()
	return s, nil
}

// roleOf returns a member's role in the relay tree of the endpoint list, or an empty string if the member does not run.
func roleOf(m *hollow.Member) string {
	state, ok := m.SourceState()
	switch {
	case !ok:
		return ""
	case state.Source == "discovery":
		return RoleRoot
	case state.Server.Followers > 0:
		return RoleRelay
	default:
		return RoleLeaf
	}
}

// measure runs a function and adds the figures for the time in which it ran.
func (r *run) measure(b basis, do func() error) error {
	begin, err := r.snapshot()
	if err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	return r.addSince(begin, b)
}

// addSince adds the figures for the time since a snapshot, as means over the members of each role. A member's role is
// the one in the snapshot, or the current one if the member did not run when the snapshot was taken.
func (r *run) addSince(begin snapshot, b basis) error {
	// The processor time is read first, since taking the snapshot uses some itself.
	processorTime := processorTimeUsed(usageOfProcess)
	seconds := time.Since(begin.at).Seconds()
	end, err := r.snapshot()
	if err != nil {
		return err
	}
	divisor, suffix := seconds, perSecondSuffix
	if b == inTotal {
		divisor, suffix = 1, ""
	}
	members := r.addCounts(begin, end, divisor, suffix)
	size := float64(r.size)
	share := (processorTime - begin.usage.processorTime).Seconds() / divisor / size
	allocations := float64(end.usage.allocations - begin.usage.allocations)
	r.add(RoleAll, "members of the role sidecar", unitCount, float64(members[RoleLeaf]), 1)
	r.add(RoleAll, "members of the role followed", unitCount, float64(members[RoleRelay]), 1)
	r.add(RoleAll, "members of the role asks", unitCount, float64(members[RoleRoot]), 1)
	r.add(RoleAll, "processor", unitMillis+suffix, share*1000, r.size)
	r.add(RoleAll, "processor ratio", "reference loops"+suffix, share/Reference().Seconds(), r.size)
	r.add(RoleAll, "allocations", unitCount+suffix, allocations/divisor/size, r.size)
	r.add(RoleAll, "measured for", unitSeconds, seconds, 1)
	r.add(RoleAll, "load of the machine", unitCount, loadAverage(), 1)
	return nil
}

// addCounts adds the traffic over the sockets of the members of each role. It returns the number of members by role.
func (r *run) addCounts(begin, end snapshot, divisor float64, suffix string) (members map[string]int) {
	sums := map[string]hollow.Counts{RoleDiscovery: end.discovery.Minus(begin.discovery)}
	members = map[string]int{RoleDiscovery: 1}
	for i := range r.cluster.Members {
		role := begin.roles[i]
		if role == "" {
			role = end.roles[i]
		}
		for _, counted := range []string{role, RoleAll} {
			sums[counted] = sums[counted].Plus(end.counts[i].Minus(begin.counts[i]))
			members[counted]++
		}
	}
	for _, role := range []string{RoleLeaf, RoleRelay, RoleRoot, RoleDiscovery, RoleAll} {
		n := members[role]
		if n == 0 {
			continue
		}
		c := sums[role]
		add := func(figure, unit string, count int64) {
			r.add(role, figure, unit+suffix, float64(count)/divisor/float64(n), n)
		}
		add("bytes sent", unitBytes, c.BytesOut)
		add("bytes received", unitBytes, c.BytesIn)
		add("messages sent", unitCount, c.MessagesOut)
		add("messages received", unitCount, c.MessagesIn)
		add("bytes sent in streams", unitBytes, c.StreamOut)
		add("bytes received in streams", unitBytes, c.StreamIn)
	}
	return members
}

// addUsage adds the memory, descriptors and goroutines that the process uses more than before the cluster was created,
// per member. The runtime first returns unused memory to the system.
func (r *run) addUsage() error {
	debug.FreeOSMemory()
	now, err := readUsage()
	if err != nil {
		return err
	}
	size := float64(r.size)
	r.add(RoleAll, "heap", unitBytes, (float64(now.heap)-float64(r.before.heap))/size, r.size)
	r.add(RoleAll, "resident", unitBytes, (float64(now.resident)-float64(r.before.resident))/size, r.size)
	r.add(RoleAll, "descriptors", unitCount, float64(now.descriptors-r.before.descriptors)/size, r.size)
	r.add(RoleAll, "goroutines", unitCount, float64(now.goroutines-r.before.goroutines)/size, r.size)
	return nil
}
