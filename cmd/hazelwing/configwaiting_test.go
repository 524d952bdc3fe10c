package main

import (
	"slices"
	"testing"

	"hazelwing/internal/controlplane"
	"hazelwing/internal/testcluster"
	"hazelwing/internal/testutil"
)

// Guards against a push that ends with status 0 while a sidecar lacks the snapshot: one that reaches an origin and no
// other sidecar, and may subscribe to the origin only later, so that no report counts it. The push ends with status 2
// and names it, and with 0 once the sidecar has the snapshot.
func TestPushNamesWaitingSidecar(t *testing.T) {
	t.Parallel()
	const alone = 3
	r := &configCluster{t: t, members: alone, origins: 1, Cluster: newTestCluster(t, alone, 7, testcluster.Config{
		Origins:         1,
		PlatformMembers: 20_000, // so that the delay before the sidecar subscribes to the origin is long
		ConfigOptions:   "ask = 3\nfan = 4\nwait = \"1s\"\n",
	})}
	r.play("start origins\nstart 1,2\nsettle 500ms 60s 1,2")
	first, at := r.pushUntilAccepted(1, r.writeSnapshot(""))
	r.waitApplied("before the third sidecar starts", first, at, []int{1, 2}, 0)
	r.play("cut 1,2 3\nstart 3")
	isWaiting := func(l controlplane.Laggard) bool {
		return l.Name == "m03" && l.Reason == controlplane.ReasonWaiting
	}
	testutil.Until(t, "the third sidecar has started", func() bool { return r.state(alone).Server.Path != nil })
	second, err := r.push(1, r.writeSnapshot(""), "--wait", "3s")
	if statusOf(err) != statusLaggards || !slices.ContainsFunc(second.Report.Laggards, isWaiting) {
		t.Errorf("push while m03 waits for an upstream: error %v, report %+v; want exit status %d, and m03 %q",
			err, second.Report, statusLaggards, controlplane.ReasonWaiting)
	}
	if state := r.state(alone); state.UpstreamCount > 0 {
		t.Errorf("m03 had %d upstreams before the push ended, want none: this tests nothing", state.UpstreamCount)
	}
	r.play("join 1,2 3")
	third, err := r.push(1, r.writeSnapshot(""), "--wait", testutil.WaitTimeout.String())
	if err != nil || third.Report.Members != alone {
		t.Errorf("push after m03 has reached the others: error %v, report %+v; want it in force at %d sidecars",
			err, third.Report, alone)
	}
	r.checkFinalState()
}
