package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/testcluster"
	"hazelwing/internal/testutil"
)

// listRig is a rig whose members have the list by way of the fleet.
type listRig struct {
	*testcluster.Cluster
	t       *testing.T
	members int
}

// sources are from whom the members of a group have their list, in words; and whether all have discovery's version, and live.
func (r *listRig) sources(group []int) (text []string, asking []int, current bool) {
	current = true
	for _, n := range group {
		var s relay.SourceState
		if err := r.ReadAdmin(n, "recovery", &s); err != nil {
			return nil, nil, false
		}
		text = append(text, fmt.Sprintf("%d from %s at %d, %v", n, s.Source, s.Server.Version, s.Server.Live))
		if s.Source == "discovery" {
			asking = append(asking, n)
		}
		current = current && s.Server.Live && s.Server.Version == r.Servers.Discovery.Version()
	}
	return text, asking, current
}

// current waits until all of a group have discovery's version from a source that works.
func (r *listRig) current(what string, group []int) (asking []int, took time.Duration) {
	r.t.Helper()
	begun := time.Now()
	var text []string
	for ok := false; !ok; time.Sleep(20 * time.Millisecond) {
		if text, asking, ok = r.sources(group); time.Since(begun) > 2*testutil.WaitTimeout {
			r.t.Fatalf("%s: not current: %s\n%s", what, strings.Join(text, "; "), r.Timeline())
		}
	}
	calls, _ := r.Servers.Discovery.Calls()
	r.t.Logf("%-40s %6.2f s, %d calls so far, %d ask", what, time.Since(begun).Seconds(), calls, len(asking))
	return asking, time.Since(begun)
}

func (r *listRig) play(script string) {
	r.t.Helper()
	if err := r.Play(r.t.Context(), script); err != nil {
		r.t.Fatalf("%v\n%s", err, r.Timeline())
	}
}

func numbers(list []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(list), " ", ","), "[]")
}

// The list comes by way of the fleet: a few ask discovery, also when all start at once or restart; when those who ask are killed, or
// cannot reach discovery, others do; and each change reaches all. Nobody serves from an older list than another had.
func TestListByWayOfTheFleet(t *testing.T) {
	const members, ask = 12, 2
	r := &listRig{t: t, members: members, Cluster: newFleetRig(t, members, 3, testcluster.Config{OperatorOptions: "[recovery]\nask = 2\nfan = 3\nrate = 5.0\n", Servers: 6})}
	var all []int
	for n := 1; n <= members; n++ {
		all = append(all, n)
	}
	r.play("start all\nsettle 500ms 30s")
	asking, _ := r.current("all started at once", all)
	calls, _ := r.Servers.Discovery.Calls()
	// On a machine that starts them over more than a second more than ask of them ask; without the fleet each does.
	if len(asking) < ask || calls >= members {
		t.Errorf("%d ask with %d calls, %d are meant to", len(asking), calls, ask)
	}
	r.play("server n1 drain")
	r.current("a server drains", all)

	r.play("kill " + numbers(asking))
	var left []int
	for _, n := range all {
		if !slices.Contains(asking, n) {
			left = append(left, n)
		}
	}
	r.current("those who ask were killed", left)
	r.play("server n2 drain")
	r.current("a server drains meanwhile", left)
	r.play("start " + numbers(asking) + "\nsettle 500ms 30s")
	asking, _ = r.current("they came back", all)

	r.play("discovery " + numbers(asking) + " cut\nserver n3 drain")
	asking, _ = r.current("those who ask cannot reach discovery", all)
	r.play("discovery all heal\nsettle 500ms 30s")

	before, _ := r.Servers.Discovery.Calls()
	r.play("restart all 100ms\nsettle 500ms 30s")
	asking, _ = r.current("all were restarted at once", all)
	after, _ := r.Servers.Discovery.Calls()
	if after-before >= members {
		t.Errorf("%d calls when all %d restart at once, %d are meant", after-before, members, ask)
	}
	if list := r.Violations(); len(list) > 0 {
		t.Error(list)
	}
	a := &r.Outcomes
	t.Logf("served %d, refused %d, failed %d, broken off %d; %v ask", a.Served.Load(), a.Rejected.Load(), a.Failed.Load(), a.Broken.Load(), asking)
}
