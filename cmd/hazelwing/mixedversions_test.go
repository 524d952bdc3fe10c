package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"hazelwing/internal/cluster/gossip"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/discovery/relay"
	"hazelwing/internal/testcluster"
	"hazelwing/internal/testutil"
)

var olderProgram = flag.String("older", "",
	"absolute path of the older program for TestMixedVersions; empty: the test does not run")

// Sizes and groups of the mixed cluster. Origin 1 runs the older program, the other origins the newer one.
const (
	mixedMembers     = 6
	mixedOrigins     = 3
	olderGroup       = "1-3"
	newerGroup       = "4-6"
	olderOrigin      = 1
	originEpoch      = 2
	maxElections     = 16
	mixedWaitTimeout = 2 * testutil.WaitTimeout
	// longForgetOption keeps dead members in the membership views for longer than any wait of this test, so that a
	// wait for the state "dead" cannot miss it.
	longForgetOption = "forget = \"2m\"\n"
)

// mixedCluster is a cluster in which some members and origins run the older program, and the others the newer one.
type mixedCluster struct {
	*configCluster
	list  *listCluster // the same cluster, with methods that check the endpoint list
	newer []string     // command line of the newer program
}

// TestMixedVersions runs an older version and the current version of the program in one cluster. It checks that both
// versions understand each other's gossip, endpoint list, configuration and election messages, and that an upgraded
// process reads the state that the older version stored.
//
//	go test ./cmd/hazelwing -run TestMixedVersions -older PATH -v
func TestMixedVersions(t *testing.T) {
	if *olderProgram == "" {
		t.Log("not run: -older is not set")
		return
	}
	r := newMixedCluster(t)
	r.checkGossip()
	r.checkEndpointList()
	revision := r.checkConfiguration()
	r.checkUpgrade(revision)
	r.checkFinalState()
}

// newMixedCluster starts a mixed cluster in which the newer members cannot reach discovery.
func newMixedCluster(t *testing.T) *mixedCluster {
	t.Helper()
	config := testcluster.Config{
		Origins:         mixedOrigins,
		ClusterOptions:  strings.Replace(fastClusterOptions, "forget = \"6s\"\n", longForgetOption, 1),
		OperatorOptions: "[recovery]\nask = 2\nfan = 4\n",
		ConfigOptions:   "ask = 3\nfan = 4\nwait = \"1s\"\n",
	}
	cluster := newTestCluster(t, mixedMembers, 7, config)
	r := &mixedCluster{
		configCluster: &configCluster{Cluster: cluster, t: t, members: mixedMembers, origins: mixedOrigins},
		list:          &listCluster{Cluster: cluster, t: t, members: mixedMembers},
		newer:         []string{os.Args[0]},
	}
	r.setProgram(olderGroup, *olderProgram)
	r.setProgram(fmt.Sprintf("o%d", olderOrigin), *olderProgram)
	// The test cluster has created the stores of all origins with the newer program. A bootstrap with a higher epoch
	// replaces each store by one that the program of its origin writes.
	if err := r.BootstrapOrigins(originEpoch, "origins"); err != nil {
		t.Fatal(err)
	}
	r.play("discovery " + newerGroup + " cut")
	r.play("start origins\nstart all\nsettle 500ms 60s")
	return r
}

func (r *mixedCluster) setProgram(group string, program ...string) {
	r.t.Helper()
	if err := r.SetProgram(group, program...); err != nil {
		r.t.Fatal(err)
	}
}

// olderMembers returns the numbers of the members in olderGroup.
func olderMembers() []int { return numberRange(1, 3) }

// newerMembers returns the numbers of the members in newerGroup.
func newerMembers() []int { return numberRange(4, 6) }

// originStatus returns the status of an origin.
func (r *mixedCluster) originStatus(number int) (origin.Status, error) {
	return transport.NewClient("rig", r.OriginAddr(number)).Status(r.t.Context())
}

// checkGossip checks that the membership views of both versions are right before, during and after the loss of a member
// of each version.
func (r *mixedCluster) checkGossip() {
	r.t.Helper()
	for _, n := range r.all() {
		r.checkExecutable(n)
	}
	r.checkNothingRejected()
	for _, killed := range []int{olderMembers()[0], newerMembers()[0]} {
		others := slices.DeleteFunc(r.all(), func(n int) bool { return n == killed })
		r.play(fmt.Sprintf("kill %d\nwait state %d dead 30s %s", killed, killed, joinNumbers(others)))
		r.play(fmt.Sprintf("start %d\nsettle 500ms 30s", killed))
	}
	r.checkNothingRejected()
	r.t.Log("gossip: each version sees all members, and the death and the return of a member of each version")
}

// checkExecutable checks that a member runs the program of its version.
func (r *mixedCluster) checkExecutable(n int) {
	r.t.Helper()
	path := r.newer[0]
	if slices.Contains(olderMembers(), n) {
		path = *olderProgram
	}
	expected, err := os.Stat(path)
	if err != nil {
		r.t.Fatal(err)
	}
	running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", r.PID(n)))
	if err != nil {
		r.t.Fatal(err)
	}
	if !os.SameFile(expected, running) {
		r.t.Fatalf("member %d does not run %s", n, path)
	}
}

// checkNothingRejected checks that no process has dropped a message of another process as unreadable or foreign. The
// other checks cannot notice a dropped message, because messages arrive on redundant paths.
func (r *mixedCluster) checkNothingRejected() {
	r.t.Helper()
	for _, n := range r.all() {
		var view gossip.Status
		if err := r.ReadAdmin(n, "fleet", &view); err != nil {
			r.t.Errorf("membership view of member %d: %v", n, err)
			continue
		}
		unreadable := view.Network.Corrupt + view.Network.VersionMismatches
		unusable := view.Core.ForeignMessages + view.Core.Rejected
		if unreadable != 0 || unusable != 0 {
			r.t.Errorf("member %d has dropped gossip, want none: network %+v, core %+v", n, view.Network, view.Core)
		}
		if s := r.state(n); s.Foreign != 0 || s.Corrupt != 0 || s.Rejected != 0 || s.Conflicts != 0 {
			r.t.Errorf("member %d has dropped a configuration message, want none: %+v", n, s.FollowerStats)
		}
	}
	for k := 1; k <= r.origins; k++ {
		s, err := r.originStatus(k)
		if err != nil || s.ForeignMessages != 0 || s.CorruptMessages != 0 || len(s.RolledBack) != 0 {
			r.t.Errorf("origin %d: error %v, status %+v; want no dropped messages and no rollback", k, err, s)
		}
	}
}

// checkEndpointList changes the endpoint list while only the older version can reach discovery, and then while only the
// newer version can. Each change has to be relayed between the versions.
func (r *mixedCluster) checkEndpointList() {
	r.t.Helper()
	r.checkListCrosses("n1", olderMembers(), newerMembers())
	r.play("discovery all heal\ndiscovery " + olderGroup + " cut")
	r.checkListCrosses("n2", newerMembers(), olderMembers())
	r.play("discovery all heal\nsettle 500ms 30s")
	r.checkNothingRejected()
}

// checkListCrosses drains a server, and checks that the change of the endpoint list is relayed from the group that can
// reach discovery to the group that cannot.
func (r *mixedCluster) checkListCrosses(server string, from, to []int) {
	r.t.Helper()
	before := r.Servers.Discovery.Version()
	r.play("server " + server + " drain")
	r.list.waitCurrent(fmt.Sprintf("endpoint list from %v to %v", from, to), r.all())
	if after := r.Servers.Discovery.Version(); after <= before {
		r.t.Fatalf("discovery has version %d after the drain of %s, want one above %d", after, server, before)
	}
	r.play("wait out " + server + " 10s")
	crossings := 0
	for _, n := range to {
		var s relay.SourceState
		if err := r.ReadAdmin(n, "recovery", &s); err != nil {
			r.t.Fatal(err)
		}
		if s.Source == "discovery" {
			r.t.Errorf("member %d has the endpoint list from discovery, which it should not reach", n)
		}
		if slices.ContainsFunc(from, func(m int) bool { return s.Source == fmt.Sprintf("m%02d", m) }) {
			crossings++
		}
	}
	if crossings == 0 {
		r.t.Errorf("none of the members %v follows one of the members %v, want at least one", to, from)
	}
}

// checkConfiguration pushes a change to each origin, and one with the command of the older program. Then it pushes
// while each group of members in turn cannot reach the origins, and with a leader of each version (checkLeader). It
// returns the latest revision.
func (r *mixedCluster) checkConfiguration() (revision controlplane.Revision) {
	r.t.Helper()
	for k := 1; k <= r.origins; k++ {
		revision, _ = r.pushUntilAccepted(k, r.writeSnapshot(""))
		r.waitInForce(fmt.Sprintf("pushed to origin %d", k), revision)
	}
	revision = r.pushByOlderCommand(mixedOrigins, revision)
	r.waitInForce("pushed by the older command to a newer origin", revision)
	for _, unreachable := range []string{olderGroup, newerGroup} {
		r.play("cut " + unreachable + " origins")
		revision, _ = r.pushUntilAccepted(mixedOrigins, r.writeSnapshot(""))
		r.waitInForce("members "+unreachable+" reach no origin", revision)
		r.play("heal")
	}
	for _, older := range []bool{true, false} {
		revision = r.checkLeader(older)
	}
	r.checkNothingRejected()
	return revision
}

// pushByOlderCommand pushes a change with the command of the older program.
func (r *mixedCluster) pushByOlderCommand(number int, latest controlplane.Revision) controlplane.Revision {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), testutil.WaitTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, *olderProgram, "config", "push", r.writeSnapshot(""),
		"--fleet", "rig", "--origin", r.OriginAddr(number),
		"--after", fmt.Sprint(latest.Version), "--wait", "0", "--json")
	output, err := command.Output()
	var answer pushResult
	if err = errors.Join(err, json.Unmarshal(output, &answer)); err != nil {
		r.fail(fmt.Errorf("push with the older program's command: %w; output: %s", err, output))
	}
	if answer.Outcome != origin.OutcomeAccepted {
		r.fail(fmt.Errorf("push with the older program's command: outcome %q, want accepted; output: %s",
			answer.Outcome, output))
	}
	return answer.Revision
}

// checkLeader makes an origin of one version the leader, pushes changes to all origins, kills the leader and pushes
// again. It returns the latest revision.
func (r *mixedCluster) checkLeader(older bool) (revision controlplane.Revision) {
	r.t.Helper()
	leader := r.elect(older)
	for k := 1; k <= r.origins; k++ {
		revision, _ = r.pushUntilAccepted(k, r.writeSnapshot(""))
	}
	r.waitInForce(fmt.Sprintf("origin %d is the leader", leader), revision)
	r.play(fmt.Sprintf("kill o%d", leader))
	revision, _ = r.pushUntilAccepted(1+leader%r.origins, r.writeSnapshot(""))
	r.waitInForce(fmt.Sprintf("origin %d, the former leader, is killed", leader), revision)
	r.play(fmt.Sprintf("start o%d", leader))
	r.waitOrigins(revision)
	return revision
}

// elect kills and restarts leaders until an origin of the wanted version is the leader.
func (r *mixedCluster) elect(older bool) (leader int) {
	r.t.Helper()
	for range maxElections {
		if leader = r.leader(); (leader == olderOrigin) == older {
			return leader
		}
		r.play(fmt.Sprintf("kill o%d", leader))
		r.leader()
		r.play(fmt.Sprintf("start o%d", leader))
	}
	r.fail(fmt.Errorf("no leader of the wanted version in %d elections", maxElections))
	return 0
}

// waitInForce waits until all members act on a revision, and until all running origins report this. It reads the admin
// endpoints and not the logs, because log messages may differ between the versions.
func (r *mixedCluster) waitInForce(what string, revision controlplane.Revision) {
	r.t.Helper()
	startedAt := time.Now()
	r.waitUntil(what, func() error {
		for _, n := range r.all() {
			if s := r.state(n); s.Active != revision {
				return fmt.Errorf("member %d acts on %v, want %v", n, s.Active, revision)
			}
		}
		return nil
	})
	inForce := time.Since(startedAt)
	r.waitUntil(what, func() error { return r.reportsDiffer(revision) })
	reported := time.Since(startedAt)
	r.t.Logf("%-50s %v in force after %.2f s, reported after %.2f s",
		what, revision, inForce.Seconds(), reported.Seconds())
}

// reportsDiffer returns an error if an origin that responds does not report that all members act on a revision. It also
// returns an error if only a minority of the origins respond.
func (r *mixedCluster) reportsDiffer(revision controlplane.Revision) error {
	expected := controlplane.RevisionCount{Revision: revision, Count: r.members}
	responses := 0
	for k := 1; k <= r.origins; k++ {
		s, err := r.originStatus(k)
		if err != nil {
			continue // the origin was killed
		}
		responses++
		if s.Report.Members != r.members || len(s.Report.Active) != 1 || s.Report.Active[0] != expected {
			return fmt.Errorf("origin %d reports %+v, want only %+v as active", k, s.Report, expected)
		}
	}
	if responses <= r.origins/2 {
		return fmt.Errorf("%d of %d origins respond, want a majority", responses, r.origins)
	}
	return nil
}

// waitOrigins waits until every origin has a revision.
func (r *mixedCluster) waitOrigins(revision controlplane.Revision) {
	r.t.Helper()
	r.waitUntil("all origins have the latest change", func() error {
		for k := 1; k <= r.origins; k++ {
			status, err := r.originStatus(k)
			if err != nil {
				return fmt.Errorf("origin %d: %w", k, err)
			}
			if status.Revision != revision {
				return fmt.Errorf("origin %d has revision %v, want %v", k, status.Revision, revision)
			}
		}
		return nil
	})
}

// waitUntil waits until a condition returns no error.
func (r *mixedCluster) waitUntil(what string, condition func() error) {
	r.t.Helper()
	deadline := time.Now().Add(mixedWaitTimeout)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			r.fail(fmt.Errorf("%s: the condition did not hold within %v: %w", what, mixedWaitTimeout, err))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkUpgrade restarts an older member and the older origin with the newer program, while all other processes are
// stopped. Both must continue with the state that the older program stored. Then checkUpgrade starts the whole cluster.
func (r *mixedCluster) checkUpgrade(revision controlplane.Revision) {
	r.t.Helper()
	const upgraded = 1
	for _, n := range r.all() {
		r.waitStored(n, revision)
	}
	r.play("kill origins\nkill all")

	r.setProgram(fmt.Sprint(upgraded), r.newer...)
	r.play(fmt.Sprintf("start %d", upgraded))
	if s := r.state(upgraded); s.Ready || !s.FromCache || s.CachedAge == "" || s.Active != revision {
		r.t.Errorf("upgraded member: state %+v, want the stored revision %v active from its cache", s, revision)
	}

	r.setProgram(fmt.Sprintf("o%d", olderOrigin), r.newer...)
	r.play(fmt.Sprintf("start o%d", olderOrigin))
	s, err := r.originStatus(olderOrigin)
	if err != nil || s.Epoch != originEpoch || s.Revision != revision || s.Role == origin.RoleRolledBack {
		r.t.Errorf("upgraded origin: error %v, status %+v, want epoch %d, the stored revision %v "+
			"and a role other than %q", err, s, originEpoch, revision, origin.RoleRolledBack)
	}

	r.play("start 2-6\nstart o2-3\nsettle 500ms 30s")
	revision, _ = r.pushUntilAccepted(olderOrigin, r.writeSnapshot(""))
	r.waitInForce("a member and the older origin were upgraded", revision)
	r.waitOrigins(revision)
	r.checkNothingRejected()
}

// waitStored waits until the snapshot that a member has cached on disk has the given revision.
func (r *mixedCluster) waitStored(n int, revision controlplane.Revision) {
	r.t.Helper()
	r.waitUntil(fmt.Sprintf("member %d stores %v", n, revision), func() error {
		text, err := os.ReadFile(filepath.Join(r.ConfigDir(n), "last-known.json"))
		if err != nil {
			return err
		}
		var stored controlplane.CachedSnapshot
		if err := json.Unmarshal(text, &stored); err != nil {
			return err
		}
		if stored.Frame.Revision != revision {
			return fmt.Errorf("the stored revision is %v, want %v", stored.Frame.Revision, revision)
		}
		return nil
	})
}
