package daemon

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/cluster"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/engine"
)

// configMember applies the configuration that is distributed through the cluster to this sidecar.
type configMember struct {
	member           *transport.Member
	sidecar          *sidecar
	platformSettings balancer.Settings // the platform's settings, in effect where a snapshot sets no value
	level            *slog.LevelVar
	readyTimeout     time.Duration
	log              *slog.Logger

	initialDiscovery string // discovery's address in the platform's configuration at the start

	// The sidecar's reconfigureMu guards snapshotDiscovery and clusterSize, which belong to the latest applied
	// snapshot.
	snapshotDiscovery string // discovery's address in the snapshot; empty if the snapshot does not set it
	clusterSize       int    // the cluster's size in the snapshot, or else in the platform's settings
}

const (
	// fetchDelay is how long a member that learns of a newer snapshot waits for its upstream to send it. After that,
	// the member fetches the snapshot from the member that announced it. The delay is many times longer than a snapshot
	// takes to pass through the whole tree of upstreams and their subscribers. With a higher value, members behind a
	// stalled upstream use old settings for longer. With a lower value, members fetch snapshots that are already on
	// their way to them.
	fetchDelay = 300 * time.Millisecond
	// maxSubscribersPerFanOut limits the subscribers that a member accepts, as a multiple of its fan-out. While the
	// membership changes, a member may have the subscribers of the current tree and also those of the previous tree, so
	// the value is 2. A higher value costs connections. With a lower value, members are rejected while the membership
	// changes, and fall back to an origin.
	maxSubscribersPerFanOut = 2
)

// openConfigMember makes the sidecar receive and relay distributed configuration, if the operator's file has [config].
// The sidecar has no engine at this point, but it has one when the member runs and applies snapshots.
func (b *builder) openConfigMember() error {
	controlPlane := b.operatorConfig.ControlPlane
	if controlPlane == nil {
		return nil
	}
	m := &configMember{
		sidecar:          b.sidecar,
		platformSettings: b.settings,
		level:            b.level,
		readyTimeout:     time.Duration(controlPlane.ReadyTimeout),
		log:              b.log.With("component", "controlplane"),
		initialDiscovery: b.platformConfig.Discovery,
		clusterSize:      max(b.settings.Balancers, 1),
	}
	var err error
	m.member, err = transport.NewMember(transport.MemberConfig{
		Follower: controlplane.FollowerConfig{
			Cluster:    b.operatorConfig.Cluster.Name,
			Self:       b.platformConfig.Name,
			FetchDelay: fetchDelay,
		},
		Origins:        controlPlane.Origins,
		MaxSubscribers: maxSubscribersPerFanOut * int(controlPlane.FanOut),
		CacheDir:       controlPlane.CacheDir,
		Apply:          m.apply,
		OnRevision:     m.announceRevision,
		Log:            b.log,
		Selector: bootstrap.Config{
			Self:           b.platformConfig.Name,
			Roots:          int(controlPlane.Roots),
			FanOut:         int(controlPlane.FanOut),
			ConfiguredSize: b.settings.Balancers,
			RandomSeed:     uint64(b.platformConfig.Seed) + 1, // differs from the seed of the endpoint list's source
		},
	})
	if err != nil {
		return err
	}
	b.configMember = m
	return nil
}

// apply applies a validated snapshot: either all of it or, on an error, none of it. No other function applies
// snapshots. The balancer's settings, the number of sidecars and the source of the endpoint list change between two
// events of the engine. If the cluster counts its members, the number of sidecars reaches the engine through the
// cluster instead. Settings that the snapshot leaves out, except discovery's address, return to their values at the
// start. apply is called from a goroutine of the member that does nothing else, one call at a time, and waits for the
// engine.
//
// Discovery's address is set by the platform's configuration, which SIGHUP reloads, and by snapshots. The latest change
// is in effect. A snapshot with the same address as the previous snapshot does not change the address, so that a
// snapshot that changes another setting does not undo a reload.
func (m *configMember) apply(snapshot *controlplane.Snapshot) error {
	s := m.sidecar
	s.reconfigureMu.Lock()
	defer s.reconfigureMu.Unlock()
	settings := &snapshot.Settings
	level, err := logLevel(settings)
	if err != nil {
		return err
	}
	discovery := discoveryAddress(settings)
	clusterSize := m.platformSettings.Balancers
	if settings.Fleet != nil && settings.Fleet.Sidecars != nil {
		clusterSize = int(*settings.Fleet.Sidecars)
	}
	change := engine.Reconfiguration{Settings: effectiveSettings(m.platformSettings, settings)}
	// If the cluster counts its members, the cluster informs the engine of the size, starting from the configured size.
	clusterCounts := s.cluster.HasSizeListener()
	if !clusterCounts {
		change.Balancers = clusterSize
	}
	if change.Source, err = m.newSource(discovery, change.Settings); err != nil {
		return err
	}
	if err := s.engine.Reconfigure(change); err != nil {
		return err
	}
	m.snapshotDiscovery = discovery
	m.setClusterSize(max(clusterSize, 1), clusterCounts)
	m.level.Set(level)
	m.log.Info("configuration applied", "revision", snapshot.Revision)
	return nil
}

// newSource returns the new source of the endpoint list if a snapshot changes the source, and nil otherwise. discovery
// is the address in the snapshot; an empty one stands for the platform's address. The source changes if the snapshot's
// address differs from the previous snapshot's address and from discovery's present address. The caller holds
// reconfigureMu and passes the source to the engine.
func (m *configMember) newSource(discovery string, settings balancer.Settings) (engine.Source, error) {
	addr := cmp.Or(discovery, m.sidecar.platformDiscovery)
	if discovery == m.snapshotDiscovery || addr == m.sidecar.currentDiscovery {
		return nil, nil
	}
	// The engine also rejects invalid settings, but only after the sources of the endpoint list have moved to the new
	// address.
	if _, err := balancer.New(settings, 0); err != nil {
		return nil, err
	}
	return m.sidecar.discoverySource(addr, m.discoveryGroup(discovery)), nil
}

// discoveryGroup returns the name of the group of members that follow the same discovery because of a snapshot. The
// name is the snapshot's address of discovery. If the snapshot sets no address, the name is empty, as it is for all
// members at the start. If the snapshot sets no address and SIGHUP has changed the platform's address, discoveryGroup
// returns nil, because this sidecar does not know which members follow the platform's new address.
func (m *configMember) discoveryGroup(discovery string) *string {
	if discovery == "" && m.sidecar.platformDiscovery != m.initialDiscovery {
		return nil
	}
	return &discovery
}

// setClusterSize passes a configured size to the cluster, if the cluster counts its members. An unchanged size is not
// passed again, because it would undo the cluster's gradual change from the configured size to the counted size. The
// caller holds reconfigureMu.
func (m *configMember) setClusterSize(size int, clusterCounts bool) {
	if clusterCounts && size != m.clusterSize {
		m.sidecar.cluster.Gossip.SetConfiguredSize(size)
	}
	m.clusterSize = size
}

// updateMembers passes the list of the cluster's other members to m.member, which may select one of them as its
// upstream. It is called from the goroutine of the cluster's node.
func (m *configMember) updateMembers(others []cluster.Member, joined bool) {
	list := make([]bootstrap.Member, 0, len(others))
	for _, other := range others {
		list = append(list, bootstrap.Member{Name: other.Name, Addr: other.Addr})
	}
	m.member.UpdateMembers(list, joined)
}

// receivePeerRevision passes the revision that a peer has announced to m.member. It is called from the goroutine of the
// cluster's node.
func (m *configMember) receivePeerRevision(from cluster.Entry, epoch, version uint64) {
	m.member.ReceivePeerRevision(from.Name, from.Addr.String(), epoch, version)
}

// announceRevision gossips the revision that this member passes on to its subscribers. It is called from the goroutine
// of the member's Run.
func (m *configMember) announceRevision(revision controlplane.Revision) {
	m.sidecar.cluster.Gossip.SetConfigRevision(revision.Epoch, revision.Version)
}

// waitReady waits up to readyTimeout for the member to have the latest configuration. It logs the member's state, so
// that the log shows whether the sidecar starts to serve with old settings.
func (m *configMember) waitReady(ctx context.Context) {
	started := time.Now()
	state := m.member.WaitReady(ctx, m.readyTimeout)
	m.log.Info("finished waiting for the latest configuration",
		"elapsed", time.Since(started).Round(time.Millisecond), "state", state)
}

// configState is the section of the admin endpoint for distributed configuration.
type configState struct {
	transport.MemberState
	Discovery string `json:"discovery"` // discovery's present address
	Level     string `json:"level"`     // level of the log
}

// stateUnavailable is the section of the admin endpoint if the member is too busy to return its state.
type stateUnavailable struct {
	Error string `json:"error"`
}

// state returns the section for the admin endpoint. It waits while a snapshot is applied or discovery's address is
// changed, because that holds reconfigureMu.
func (m *configMember) state() any {
	state, ok := m.member.State()
	if !ok {
		return stateUnavailable{Error: "too busy to say"}
	}
	m.sidecar.reconfigureMu.Lock()
	defer m.sidecar.reconfigureMu.Unlock()
	return configState{
		MemberState: state,
		Discovery:   m.sidecar.currentDiscovery,
		Level:       m.level.Level().String(),
	}
}
