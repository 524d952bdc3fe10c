package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"strings"
	"testing"

	"hazelwing/balancer"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/platform"
	"hazelwing/internal/testutil"
)

// parseSnapshot parses a snapshot and sets its revision to a version of epoch 1.
func parseSnapshot(t *testing.T, version uint64, text string) *controlplane.Snapshot {
	t.Helper()
	s, err := controlplane.ParseSnapshot([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.Revision.Epoch, s.Revision.Version = 1, version
	return s
}

// startWithControlPlane starts a sidecar with [config]. Neither the cluster's node nor the configuration's member runs.
func startWithControlPlane(t *testing.T, discovery string) *testSidecar {
	t.Helper()
	op := clusterConfig(t,
		fmt.Sprintf("no_words = true\n[config]\norigins = [%q]\ndir = %q\n", testutil.UnusedAddr, t.TempDir()))
	r, stop := run(t, config(t, discovery, testutil.UnusedAddr), op)
	t.Cleanup(stop)
	return r
}

// The latest change of discovery's address is in effect, whether SIGHUP or a snapshot made it. A snapshot with the same
// address as the previous one does not change the address. A snapshot without an address restores the platform's
// address.
func TestLatestDiscoveryAddressIsUsed(t *testing.T) {
	first, firstCalls, _ := startSilentDiscovery(t)
	second, secondCalls, _ := startSilentDiscovery(t)
	third, thirdCalls, _ := startSilentDiscovery(t)
	r := startWithControlPlane(t, first)
	testutil.Receive(t, firstCalls, "a call to the platform's discovery")
	signals, next := make(chan os.Signal), make(chan string, 1)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	r.reloads = reloads{
		signals: signals,
		load:    func() (*platform.Config, error) { return &platform.Config{Discovery: <-next}, nil },
	}
	go r.runReloads(ctx)
	apply := func(version uint64, text string) {
		t.Helper()
		if err := r.configMember.apply(parseSnapshot(t, version, text)); err != nil {
			t.Fatal(err)
		}
	}
	setAddr := func(addr string) string { return fmt.Sprintf("[discovery]\naddr = %q\n", addr) }
	apply(1, setAddr(second))
	testutil.Receive(t, secondCalls, "a call to the snapshot's discovery")
	next <- third
	signals <- os.Interrupt
	testutil.Receive(t, thirdCalls, "a call to the discovery that SIGHUP has set")
	apply(2, setAddr(second)+"[limits]\nmax_attempts = 1\n")
	if r.currentDiscovery != third {
		t.Errorf("a snapshot with an unchanged address: discovery is at %s, want %s", r.currentDiscovery, third)
	}
	apply(3, setAddr(first))
	testutil.Receive(t, firstCalls, "a call to the later snapshot's discovery")
	apply(4, "# no settings")
	testutil.Receive(t, thirdCalls, "a call to the platform's current discovery")
	if n := len(firstCalls) + len(secondCalls); n > 0 {
		t.Errorf("%d further calls to discoveries that are not in effect, want none", n)
	}
}

// A snapshot that is applied in part would leave the sidecar with settings that nobody has pushed. When apply returns,
// all settings of the snapshot are in effect, and all other settings have the platform's values. A snapshot that the
// balancer module rejects changes nothing.
func TestSnapshotIsAppliedCompletely(t *testing.T) {
	addr, calls, _ := startSilentDiscovery(t)
	other, otherCalls, _ := startSilentDiscovery(t)
	r := startWithControlPlane(t, addr)
	testutil.Receive(t, calls, "a call to the platform's discovery")
	first := parseSnapshot(t, 1, "[log]\nlevel = \"debug\"\n[limits]\nmax_attempts = 1\n[fleet]\nsidecars = 7\n")
	if err := r.configMember.apply(first); err != nil {
		t.Fatal(err)
	}
	if !r.log.Enabled(t.Context(), slog.LevelDebug) || r.configMember.clusterSize != 7 {
		t.Errorf("after the first snapshot: debug log %v, cluster size %d; want true and 7",
			r.log.Enabled(t.Context(), slog.LevelDebug), r.configMember.clusterSize)
	}
	bad := parseSnapshot(t, 2, fmt.Sprintf("[log]\nlevel = \"error\"\n[discovery]\naddr = %q\n", other))
	nan := math.NaN()
	// Validation of snapshots rejects NaN already. Here the balancer module has to reject it.
	bad.Settings.Price = &controlplane.Price{Probe: &nan}
	if err := r.configMember.apply(bad); err == nil || !strings.Contains(err.Error(), "PriceProbe") {
		t.Errorf("snapshot with the price NaN: got error %v, want one that names PriceProbe", err)
	}
	if !r.log.Enabled(t.Context(), slog.LevelDebug) || r.currentDiscovery != addr ||
		r.configMember.snapshotDiscovery != "" || len(otherCalls) > 0 {
		t.Errorf("a part of the rejected snapshot was applied: debug log %v, want true; discovery at %s, want %s; "+
			"discovery in the latest applied snapshot %q, want none; %d calls to the rejected address, want none",
			r.log.Enabled(t.Context(), slog.LevelDebug), r.currentDiscovery, addr,
			r.configMember.snapshotDiscovery, len(otherCalls))
	}
	if err := r.configMember.apply(parseSnapshot(t, 3, "# no settings")); err != nil {
		t.Fatal(err)
	}
	if r.log.Enabled(t.Context(), slog.LevelDebug) || r.configMember.clusterSize != 1 {
		t.Errorf("a snapshot without settings: debug log %v, cluster size %d; want the initial false and 1",
			r.log.Enabled(t.Context(), slog.LevelDebug), r.configMember.clusterSize)
	}
}

// A snapshot sets limits above the platform's limits, and names classes and tenants that this sidecar does not have.
// The effective settings must not allow more than the platform's limits. Unknown classes and tenants must be ignored.
func TestEffectiveSettingsStayWithinThePlatforms(t *testing.T) {
	base := balancer.Settings{
		MaxAttempts: 3,
		PriceProbe:  0.5,
		Classes:     []balancer.Class{{Name: "look", Weight: 1, LateWeight: 0.5, Effect: balancer.NonIdempotent}},
		Tenants:     []balancer.Tenant{{Name: "a", Fraction: 0.5}},
	}
	snapshot := parseSnapshot(t, 1, "[limits]\nmax_attempts = 9\nsecond_copies = true\n[price]\ncross_zone = 0.25\n"+
		"[class.look]\nworth = 4.0\n[class.other]\nworth = 9.0\n"+
		"[tenant.a]\nfraction = 0.25\n[tenant.b]\nfraction = 0.75\n")
	s := effectiveSettings(base, &snapshot.Settings)
	class := balancer.Class{Name: "look", Weight: 4, LateWeight: 0.5, Effect: balancer.NonIdempotent}
	if s.MaxAttempts != 3 || s.Hedging || s.PriceCrossZone != 0.25 || s.PriceProbe != 0.5 ||
		len(s.Classes) != 1 || len(s.Tenants) != 1 || s.Classes[0] != class || s.Tenants[0].Fraction != 0.25 {
		t.Errorf("effective settings: got %+v, want MaxAttempts 3, no hedging, PriceCrossZone 0.25, PriceProbe 0.5, "+
			"the only class %+v and one tenant with the fraction 0.25", s, class)
	}
	if base.Classes[0].Weight != 1 || base.Tenants[0].Fraction != 0.5 {
		t.Errorf("the platform's settings were changed: got %+v, want the weight 1 and the fraction 0.5", base)
	}
	if s := effectiveSettings(base, &parseSnapshot(t, 1, "[limits]\nmax_attempts = 2\n").Settings); s.MaxAttempts != 2 {
		t.Errorf("max_attempts of the snapshot: got %d, want 2", s.MaxAttempts)
	}
}

// Without [config] a sidecar has no configuration member and no section "config" at the admin endpoint. It uses the
// logger that it was given.
func TestWithoutControlPlane(t *testing.T) {
	s, err := build(t.Context(), config(t, testutil.UnusedAddr, testutil.UnusedAddr), clusterConfig(t, ""), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.close() }()
	if s.configMember != nil || s.sections()["config"] != nil || s.log != discardLog {
		t.Errorf("without [config]: got member %v, section %v, another log %v; want none",
			s.configMember != nil, s.sections()["config"] != nil, s.log != discardLog)
	}
}
