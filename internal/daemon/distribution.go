package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/cluster"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/discovery/bootstrap"
	"hazelwing/internal/engine"
	"hazelwing/internal/operator"
	"hazelwing/internal/platform"
)

// configPart is this sidecar's place in the distribution of configuration.
type configPart struct {
	member *transport.Member
	s      *sidecar
	base   balancer.Settings // the platform's, which hold where a snapshot says nothing
	level  *slog.LevelVar
	wait   time.Duration
	log    *slog.Logger

	platform string // discovery's address at the start

	// Of the last snapshot in force; guarded by changing.
	said string // the discovery that it names; empty: none
	told int    // the number of sidecars
}

// fetchAfter is how long the upstream has to bring what another member is known to hold: many times what a change takes down the whole
// tree, and short enough that those behind a member that stands still have it within a second.
const fetchAfter = 300 * time.Millisecond

// openConfig asks nothing before run. s has no engine yet: a snapshot is put in force only after it has.
func openConfig(op *operator.Config, cfg *platform.Config, set balancer.Settings, s *sidecar, level *slog.LevelVar, log *slog.Logger) (*configPart, error) {
	d := op.ControlPlane
	p := &configPart{s: s, base: set, level: level, wait: time.Duration(d.ReadyTimeout), log: log, platform: cfg.Discovery, told: max(set.Balancers, 1)}
	var err error
	p.member, err = transport.NewMember(transport.MemberConfig{Follower: controlplane.FollowerConfig{Cluster: op.Cluster.Name, Self: cfg.Name, FetchDelay: fetchAfter},
		Origins: d.Origins, MaxSubscribers: 2 * int(d.FanOut), CacheDir: d.CacheDir, Apply: p.apply, OnRevision: p.holds, Log: log,
		Selector: bootstrap.Config{Self: cfg.Name, Roots: int(d.Roots), FanOut: int(d.FanOut), ConfiguredSize: set.Balancers, RandomSeed: uint64(cfg.Seed) + 1}})
	return p, err
}

// apply is the one place in which a snapshot that was checked is put in force: all of it, or on an error nothing. Settings of the
// module, the number of sidecars and the move of the list change between two events of the engine. A key that is not there holds as
// at the start. It is called from the member's own goroutine, once at a time, and waits for the engine.
//
// Of two words on discovery's address, the platform's by SIGHUP and a snapshot's, the later one holds. A snapshot that only repeats the
// address of the one before it says nothing new, so that a change of something else does not undo what SIGHUP did.
func (p *configPart) apply(snap *controlplane.Snapshot) error {
	p.s.changing.Lock()
	defer p.s.changing.Unlock()
	r := engine.Reconfiguration{Settings: p.base, Balancers: p.base.Balancers}
	level, addr := slog.LevelInfo, ""
	c := &snap.Settings
	r.Settings = revised(p.base, c)
	if c.Fleet != nil && c.Fleet.Sidecars != nil {
		r.Balancers = int(*c.Fleet.Sidecars)
	}
	if c.Log != nil && c.Log.Level != nil {
		if err := level.UnmarshalText([]byte(*c.Log.Level)); err != nil {
			return fmt.Errorf("log.level: %w", err)
		}
	}
	if c.Discovery != nil && c.Discovery.Addr != nil {
		addr = *c.Discovery.Addr
	}
	counts := p.s.fleet.HasSizeListener() // then the view goes on from the number, and tells the engine what follows
	sidecars := max(r.Balancers, 1)
	if counts {
		r.Balancers = 0
	}
	to := addr
	if to == "" {
		to = p.s.platformAddr
	}
	moves := addr != p.said && to != p.s.followed
	if moves {
		if _, err := balancer.New(r.Settings, 0); err != nil { // the module would turn them down, and the list's sources have moved then
			return err
		}
		r.Source = p.s.discoveryAt(to, p.group(addr))
	}
	if err := p.s.engine.Reconfigure(r); err != nil {
		return err
	}
	p.said = addr
	if counts && sidecars != p.told { // said once: the view has the number give way with time
		p.s.fleet.Gossip.SetConfiguredSize(sidecars)
	}
	p.told = sidecars
	p.level.Set(level)
	p.log.Info("config: in force", "stamp", snap.Revision)
	return nil
}

// group is who follow the same discovery by a snapshot's word: named by its address, or, where a snapshot says nothing any more, those
// of the start. nil: SIGHUP has moved the platform's, and who follows that is not known here.
func (p *configPart) group(addr string) *string {
	if addr == "" && p.s.platformAddr != p.platform {
		return nil
	}
	return &addr
}

// revised is the platform's settings with what a snapshot says: never more than the platform allows, and nothing of classes and
// tenants that this sidecar does not have.
func revised(base balancer.Settings, c *controlplane.Settings) balancer.Settings {
	s := base
	if l := c.Limits; l != nil {
		if l.MaxAttempts != nil {
			s.MaxAttempts = min(max(base.MaxAttempts, 1), int(*l.MaxAttempts))
		}
		if l.SecondCopies != nil {
			s.Hedging = base.Hedging && *l.SecondCopies
		}
	}
	set := func(to, from *float64) {
		if from != nil {
			*to = *from
		}
	}
	if x := c.Price; x != nil {
		set(&s.PriceCrossZone, x.CrossZone)
		set(&s.PriceOpenConnection, x.Open)
		set(&s.PriceHandshake, x.Handshake)
		set(&s.PriceProbe, x.Probe)
	}
	s.Classes = slices.Clone(base.Classes)
	for i := range s.Classes {
		x := c.Class[s.Classes[i].Name]
		set(&s.Classes[i].Weight, x.Worth)
		set(&s.Classes[i].LateWeight, x.LateShare)
	}
	s.Tenants = slices.Clone(base.Tenants)
	for i := range s.Tenants {
		set(&s.Tenants[i].Fraction, c.Tenant[s.Tenants[i].Name].Fraction)
	}
	return s
}

// viewed tells who may be followed, and stamped what another sidecar holds. Both are called from the node's goroutine.
func (p *configPart) viewed(others []cluster.Member, joined bool) {
	list := make([]bootstrap.Member, 0, len(others))
	for _, m := range others {
		list = append(list, bootstrap.Member{Name: m.Name, Addr: m.Addr})
	}
	p.member.UpdateMembers(list, joined)
}

func (p *configPart) stamped(from cluster.Entry, epoch, version uint64) {
	p.member.ReceivePeerRevision(from.Name, from.Addr.String(), epoch, version)
}

// holds tells the others which snapshot this one holds. It is called from the member's goroutine.
func (p *configPart) holds(s controlplane.Revision) {
	p.s.fleet.Gossip.SetConfigRevision(s.Epoch, s.Version)
}

// waitReady lets the start wait, so that a joiner does not serve by old settings without saying so.
func (p *configPart) waitReady(ctx context.Context) {
	begun := time.Now()
	text := p.member.WaitReady(ctx, p.wait)
	p.log.Info("config: ready", "after", time.Since(begun).Round(time.Millisecond), "state", text)
}

// state is for the admin endpoint.
func (p *configPart) state() any {
	s, ok := p.member.State()
	if !ok {
		return map[string]string{"error": "too busy to say"}
	}
	p.s.changing.Lock()
	defer p.s.changing.Unlock()
	return struct {
		transport.MemberState
		Discovery string `json:"discovery"` // that is followed
		Level     string `json:"level"`
	}{s, p.s.followed, p.level.Level().String()}
}

// levelledLog is a log whose level can change.
func levelledLog(log *slog.Logger) (*slog.Logger, *slog.LevelVar) {
	level := new(slog.LevelVar)
	return slog.New(levelled{log.Handler(), level}), level
}

// levelled is a log's handler with a level that can change.
type levelled struct {
	slog.Handler
	level *slog.LevelVar
}

// Enabled goes before the handler's own level.
func (h levelled) Enabled(_ context.Context, l slog.Level) bool { return l >= h.level.Level() }

// WithAttrs and WithGroup keep the level.
func (h levelled) WithAttrs(a []slog.Attr) slog.Handler {
	return levelled{h.Handler.WithAttrs(a), h.level}
}

func (h levelled) WithGroup(name string) slog.Handler {
	return levelled{h.Handler.WithGroup(name), h.level}
}
