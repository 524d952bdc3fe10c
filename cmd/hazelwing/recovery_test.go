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

// listCluster is a test cluster whose members relay the endpoint list to each other.
type listCluster struct {
	*testcluster.Cluster
	t       *testing.T
	members int
}

// sources returns a description of each member's source of the endpoint list, the members that call discovery
// themselves, and whether all members of the group have the current version of the list from a live source.
func (r *listCluster) sources(group []int) (text []string, callers []int, current bool) {
	current = true
	for _, n := range group {
		var s relay.SourceState
		if err := r.ReadAdmin(n, "recovery", &s); err != nil {
			return nil, nil, false
		}
		text = append(text, fmt.Sprintf("member %d: source %s, version %d, live %v",
			n, s.Source, s.Server.Version, s.Server.Live))
		if s.Source == "discovery" {
			callers = append(callers, n)
		}
		current = current && s.Server.Live && s.Server.Version == r.Servers.Discovery.Version()
	}
	return text, callers, current
}

// waitCurrent waits until all members of a group have the current version of the endpoint list from a live source. It
// returns the members that call discovery themselves.
func (r *listCluster) waitCurrent(what string, group []int) (callers []int) {
	r.t.Helper()
	startedAt := time.Now()
	var text []string
	for current := false; !current; time.Sleep(20 * time.Millisecond) {
		text, callers, current = r.sources(group)
		if time.Since(startedAt) > 2*testutil.WaitTimeout {
			r.t.Fatalf("%s: the endpoint list is not current everywhere: %s\n%s",
				what, strings.Join(text, "; "), r.Timeline())
		}
	}
	calls, _ := r.Servers.Discovery.Calls()
	r.t.Logf("%-40s %6.2f s, %d calls of discovery so far, %d members get the list from it now",
		what, time.Since(startedAt).Seconds(), calls, len(callers))
	return callers
}

func (r *listCluster) play(script string) {
	r.t.Helper()
	if err := r.Play(r.t.Context(), script); err != nil {
		r.t.Fatalf("the script failed: %v\n%s", err, r.Timeline())
	}
}

// joinNumbers returns the numbers of members as a list for a script, such as "1,2,5".
func joinNumbers(list []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(list), " ", ","), "[]")
}

// Members relay the endpoint list to each other, and only a few members call discovery, even if all start or restart at
// once. If the callers are killed or cannot reach discovery, other members call discovery. Each change of the list
// reaches all members.
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
	// More than wantCallers members call discovery if starting all members takes more than a second. Without the relay,
	// all members would call it.
	if len(callers) < wantCallers || calls >= members {
		t.Errorf("%d members call discovery, and %d calls were made; want at least %d members and fewer than %d calls",
			len(callers), calls, wantCallers, members)
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
	r.waitCurrent("the members that call discovery were killed", left)
	r.play("server n2 drain")
	r.waitCurrent("another server drains", left)
	r.play("start " + joinNumbers(callers) + "\nsettle 500ms 30s")
	callers = r.waitCurrent("the killed members are back", all)

	r.play("discovery " + joinNumbers(callers) + " cut\nserver n3 drain")
	r.waitCurrent("the members that call discovery cannot reach it", all)
	r.play("discovery all heal\nsettle 500ms 30s")

	before, _ := r.Servers.Discovery.Calls()
	r.play("restart all 100ms\nsettle 500ms 30s")
	callers = r.waitCurrent("all were restarted at once", all)
	after, _ := r.Servers.Discovery.Calls()
	if after-before >= members {
		t.Errorf("%d calls of discovery when all members restart at once, want fewer than the %d members",
			after-before, members)
	}
	if list := r.Violations(); len(list) > 0 {
		t.Errorf("rules violated: %q", list)
	}
	a := &r.Outcomes
	t.Logf("requests: %d served, %d rejected, %d failed, %d broken connections; members %v call discovery",
		a.Served.Load(), a.Rejected.Load(), a.Failed.Load(), a.Broken.Load(), callers)
}
