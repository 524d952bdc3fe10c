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

// listCluster is a test cluster whose members get the endpoint list from each other.
type listCluster struct {
	*testcluster.Cluster
	t       *testing.T
	members int
}

// sources returns from whom each member of a group has its endpoint list, as text, which of them call discovery
// themselves, and whether all have discovery's version from a source that works.
func (r *listCluster) sources(group []int) (text []string, callers []int, current bool) {
	current = true
	for _, n := range group {
		var s relay.SourceState
		if err := r.ReadAdmin(n, "recovery", &s); err != nil {
			return nil, nil, false
		}
		text = append(text, fmt.Sprintf("%d from %s at %d, %v", n, s.Source, s.Server.Version, s.Server.Live))
		if s.Source == "discovery" {
			callers = append(callers, n)
		}
		current = current && s.Server.Live && s.Server.Version == r.Servers.Discovery.Version()
	}
	return text, callers, current
}

// waitCurrent waits until all members of a group have discovery's version from a source that works. It returns those
// that call discovery themselves.
func (r *listCluster) waitCurrent(what string, group []int) (callers []int) {
	r.t.Helper()
	startedAt := time.Now()
	var text []string
	for current := false; !current; time.Sleep(20 * time.Millisecond) {
		text, callers, current = r.sources(group)
		if time.Since(startedAt) > 2*testutil.WaitTimeout {
			r.t.Fatalf("%s: not current: %s\n%s", what, strings.Join(text, "; "), r.Timeline())
		}
	}
	calls, _ := r.Servers.Discovery.Calls()
	r.t.Logf("%-40s %6.2f s, %d calls so far, %d members call",
		what, time.Since(startedAt).Seconds(), calls, len(callers))
	return callers
}

func (r *listCluster) play(script string) {
	r.t.Helper()
	if err := r.Play(r.t.Context(), script); err != nil {
		r.t.Fatalf("%v\n%s", err, r.Timeline())
	}
}

// joinNumbers returns a list of members as scripts have it.
func joinNumbers(list []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(list), " ", ","), "[]")
}

// The endpoint list is relayed by the cluster: a few members call discovery, also when all start at once or restart.
// When these are killed or cannot reach discovery, others do. Each change reaches all members.
func TestEndpointListIsRelayed(t *testing.T) {
	const members, wantCallers = 12, 2
	config := testcluster.Config{
		OperatorOptions: "[recovery]\nask = 2\nfan = 3\nrate = 5.0\n",
		Servers:         6,
	}
	r := &listCluster{t: t, members: members, Cluster: newTestCluster(t, members, 3, config)}
	var all []int
	for n := 1; n <= members; n++ {
		all = append(all, n)
	}
	r.play("start all\nsettle 500ms 30s")
	callers := r.waitCurrent("all started at once", all)
	calls, _ := r.Servers.Discovery.Calls()
	// If starting them takes more than a second, more than wantCallers of them call; without the cluster each would.
	if len(callers) < wantCallers || calls >= members {
		t.Errorf("%d members made %d calls, want %d members", len(callers), calls, wantCallers)
	}
	r.play("server n1 drain")
	r.waitCurrent("a server drains", all)

	r.play("kill " + joinNumbers(callers))
	var left []int
	for _, n := range all {
		if !slices.Contains(callers, n) {
			left = append(left, n)
		}
	}
	r.waitCurrent("those who ask were killed", left)
	r.play("server n2 drain")
	r.waitCurrent("a server drains meanwhile", left)
	r.play("start " + joinNumbers(callers) + "\nsettle 500ms 30s")
	callers = r.waitCurrent("they came back", all)

	r.play("discovery " + joinNumbers(callers) + " cut\nserver n3 drain")
	r.waitCurrent("those who ask cannot reach discovery", all)
	r.play("discovery all heal\nsettle 500ms 30s")

	before, _ := r.Servers.Discovery.Calls()
	r.play("restart all 100ms\nsettle 500ms 30s")
	callers = r.waitCurrent("all were restarted at once", all)
	after, _ := r.Servers.Discovery.Calls()
	if after-before >= members {
		t.Errorf("%d calls when all %d restart at once, want %d", after-before, members, wantCallers)
	}
	if list := r.Violations(); len(list) > 0 {
		t.Error(list)
	}
	a := &r.Outcomes
	t.Logf("served %d, refused %d, failed %d, broken off %d; %v call",
		a.Served.Load(), a.Rejected.Load(), a.Failed.Load(), a.Broken.Load(), callers)
}
