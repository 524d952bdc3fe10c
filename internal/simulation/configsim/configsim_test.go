package configsim

import (
	"flag"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/controlplane/origin"
)

var (
	long = flag.Bool("long", false,
		"run the long form: 590 members, several seeds per scenario, a partition of one hour, several snapshot sizes")
	seeds = flag.Uint64("seeds", 8, "number of seeds per scenario in the long form")
)

// maxTime limits Outcome.Max in every scenario.
const maxTime = 4 * time.Second

// members returns the size of the simulated cluster, which depends on the form of the tests (-long).
func members() int {
	if *long {
		return 590
	}
	return 130
}

// A fault occurs shortly before or after a push: origins, relays, racks or zones are lost, members restart, or regions
// are partitioned. A change that reaches a member late, or not at all, leaves it with the old configuration. The change
// has to be active at all reachable members within 4 s, and at 99 % of them within 1 s unless the scenario sets a
// higher limit and gives the reason. The short form runs one seed. The long form (-long) runs several seeds and shows
// the slowest times of each scenario; docs/design/controlplane.md has its figures.
func TestScenarios(t *testing.T) {
	last := uint64(1)
	if *long {
		last = *seeds
	}
	var outcomes []Outcome
	for _, s := range Scenarios() {
		var worst Outcome
		for seed := uint64(1); seed <= last; seed++ {
			o, err := s.Run(Config{Members: members(), Seed: seed})
			if err != nil {
				t.Fatal(err)
			}
			if o.Missing > 0 || o.Max > maxTime || o.P99 > s.Limit() || o.Accepted < 0 {
				t.Errorf("%s, seed %d: accepted after %v, active at 99 %% after %v (limit %v, reason %q) and at all "+
					"members after %v (limit %v), missing at %d members",
					s.Name, seed, o.Accepted, o.P99, s.Limit(), s.Reason, o.Max, maxTime, o.Missing)
			}
			worst = slowest(worst, o)
		}
		outcomes = append(outcomes, worst)
	}
	logTable(t, outcomes)
}

// slowest combines two outcomes: it takes the worse value of each time and count. A negative time is the worst, since
// it means that the event did not happen.
func slowest(x, y Outcome) Outcome {
	later := func(a, b time.Duration) time.Duration {
		if a < 0 || b < 0 {
			return -1
		}
		return max(a, b)
	}
	x.Name = y.Name
	x.Accepted, x.Reported = later(x.Accepted, y.Accepted), later(x.Reported, y.Reported)
	x.P50, x.P99, x.Max = later(x.P50, y.P50), later(x.P99, y.P99), later(x.Max, y.Max)
	x.Missing, x.Fetches = max(x.Missing, y.Missing), max(x.Fetches, y.Fetches)
	return x
}

func logTable(t *testing.T, outcomes []Outcome) {
	t.Helper()
	var b strings.Builder
	if err := WriteTable(&b, outcomes); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + b.String())
}

// The regions are partitioned. If both regions accepted changes, their configurations would diverge permanently. The
// region with the majority of the origins has to accept a change. The other region must not accept a change, and has to
// keep its configuration. Within 4 s of the end of the partition, the accepted change has to be active at all members.
func TestRegionPartition(t *testing.T) {
	partition := time.Minute
	if *long {
		partition = time.Hour
	}
	o, err := RunPartition(Config{Members: members(), Seed: 1}, partition)
	if err != nil {
		t.Fatal(err)
	}
	if o.Max < 0 || o.Max > maxTime {
		t.Errorf("the change is active at all members %v after the partition (limit %v), missing at %d members",
			o.Max, maxTime, o.Missing)
	}
	logTable(t, []Outcome{o})
}

// Changes are pushed at a rate of 17,000 per day while members are replaced at a rate of 630 per day. The long form
// also runs a tenth of both rates. The slowest change has to stay within the limits, and a member has to send at most 7
// kB of frames per second on average. The traffic of a member with 16 subscribers grows with the size of the text;
// docs/CAPACITY.md has the figures.
func TestChangesAndReplacements(t *testing.T) {
	const maxMeanFrameRate = 7000
	duration := 30 * time.Second
	var outcomes []Outcome
	run := func(changes float64, textSize int) {
		o, err := RunChanges(Config{Members: members(), Seed: 1, TextSize: textSize}, changes, duration)
		if err != nil {
			t.Fatal(err)
		}
		if o.P99 > time.Second || o.Max > maxTime || o.Missing > 0 || o.MeanFrameRate > maxMeanFrameRate {
			t.Errorf("%s: active at 99 %% after %v (limit %v) and at all members after %v (limit %v), "+
				"missing at %d members, %.0f B/s of frames per member (limit %d)",
				o.Name, o.P99, time.Second, o.Max, maxTime, o.Missing, o.MeanFrameRate, maxMeanFrameRate)
		}
		outcomes = append(outcomes, o)
	}
	if *long {
		duration = 30 * time.Minute
		run(1700, 2<<10)
		run(1700, 8<<10)
		run(17000, 2<<10)
	}
	run(17000, 8<<10)
	logTable(t, outcomes)
}

// The scenarios run with slower settings: revisions are not pushed to random members, a fetch is delayed by 1 s, and a
// silent connection is closed only after 3 s. At least one change has to exceed its limits; otherwise the scenarios
// would not depend on these settings.
func TestSlowerSettings(t *testing.T) {
	late := 0
	var outcomes []Outcome
	for _, s := range Scenarios() {
		o, err := s.Run(Config{
			Members:           members(),
			Seed:              1,
			PushFanOut:        -1,
			FetchDelay:        time.Second,
			HeartbeatInterval: time.Second,
			ConnectionTimeout: 3 * time.Second,
			DialTimeout:       time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if o.P99 > s.Limit() || o.Max > maxTime || o.Missing > 0 {
			late++
		}
		outcomes = append(outcomes, o)
	}
	if late == 0 {
		t.Error("no scenario exceeded its limits with slower settings: the scenarios do not depend on these settings")
	}
	logTable(t, outcomes)
}

// All origins are lost, and new ones are bootstrapped with a higher epoch. Versions start again at 1, so a member that
// compared versions alone would ignore the changes of the new epoch until their versions exceed that of its old
// snapshot. All members have to follow the new epoch from its first change on, including one that was frozen in
// between. An origin of the old epoch that starts again must not lead any member back to the old epoch.
func TestHigherEpoch(t *testing.T) {
	const absent = 7
	c, err := New(Config{Members: 60, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.Run(10 * time.Second)
	for _, id := range []string{"1", "2", "3"} {
		if change := c.Push(id, 0); !c.waitActive(10*time.Second, change, nil) {
			t.Fatalf("after 10 s, change %s is active at %d of %d members, want all",
				id, len(change.activeAt), len(c.Members))
		}
	}
	c.Freeze(&c.Members[absent].machine, true)
	var oldStates []*origin.State
	for _, o := range c.Origins {
		c.Stop(&o.machine, false)
		oldStates = append(oldStates, o.state)
	}
	c.Run(5 * time.Second)
	for _, m := range c.Members {
		if r := m.follower.Stats().Active; r.Epoch != 1 || r.Version != 3 {
			t.Fatalf("without origins, %s has revision %v active, want epoch 1, version 3", m.name, r)
		}
	}
	if err := c.Bootstrap(2); err != nil {
		t.Fatal(err)
	}
	c.Run(5 * time.Second)
	change := c.Push("again", 0)
	present := func(m *Member) bool { return m.index != absent }
	isActive := c.waitActive(10*time.Second, change, present)
	if r := change.Answer.Revision; !isActive || r.Epoch != 2 || r.Version != 1 {
		t.Fatalf("the first change of the new epoch has revision %v and is active at %d of %d members, "+
			"want epoch 2, version 1 at all members but one", r, len(change.activeAt), len(c.Members))
	}
	c.Freeze(&c.Members[absent].machine, false)
	c.Run(4 * time.Second)
	if r := c.Members[absent].follower.Stats().Active; r != change.Answer.Revision {
		t.Errorf("the member that was frozen has revision %v active, want %v", r, change.Answer.Revision)
	}
	c.Stop(&c.Origins[4].machine, true)
	c.Origins[4].state = oldStates[4]
	if err := c.StartOrigin(4); err != nil {
		t.Fatal(err)
	}
	c.Run(20 * time.Second)
	for _, m := range c.Members {
		if r := m.follower.Stats().Active; r != change.Answer.Revision {
			t.Fatalf("after an origin of the old epoch has started again, %s has revision %v active, want %v",
				m.name, r, change.Answer.Revision)
		}
	}
	if change := c.Push("more", 0); !c.waitActive(10*time.Second, change, nil) {
		t.Errorf("with an origin of the old epoch, a change is active at %d of %d members after 10 s, want all",
			len(change.activeAt), len(c.Members))
	}
}
