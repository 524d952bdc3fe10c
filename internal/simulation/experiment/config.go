package experiment

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"hazelwing/balancer"
	"hazelwing/internal/simulation/simulator"
	"hazelwing/internal/strictdecode"
)

// The defaults of optional keys.
const (
	defaultQueueLimit     = 64
	defaultConnectTimeout = 250 * time.Millisecond
	defaultIdleTimeout    = 15 * time.Second
	defaultTick           = 5 * time.Millisecond
	// retransmitDelay cannot be configured: it is the same in all experiments.
	retransmitDelay = 200 * time.Millisecond
)

// effects maps the values of the key "effect" of a class to effects of the balancer.
var effects = map[string]balancer.Effect{
	"":       balancer.Idempotent,
	"safe":   balancer.Idempotent,
	"keyed":  balancer.Keyed,
	"unsafe": balancer.NonIdempotent,
}

// idempotencyScopes maps the values of the key "group" of a class to idempotency scopes of the balancer.
var idempotencyScopes = map[string]balancer.IdempotencyScope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// distributions has the values of the key "kind" of a class. The empty one stands for the default.
var distributions = []string{"", simulator.Exponential, simulator.Fixed, simulator.LogNormal, simulator.Pareto}

// Config returns the simulator's configuration for the cluster and the faults of the file. The configuration is
// validated.
func (f *File) Config() (c simulator.Config, err error) {
	c.Duration = time.Duration(f.Cluster.Duration)
	c.Nodes = f.Cluster.Nodes.config()
	if c.Classes, err = f.Cluster.classes(); err != nil {
		return c, err
	}
	rate, err := f.Cluster.rate(c.Nodes)
	if err != nil {
		return c, err
	}
	if c.Clients, err = f.Cluster.clients(rate); err != nil {
		return c, err
	}
	c.Network = f.Cluster.Network.config()
	c.EndpointUpdates = f.Cluster.EndpointUpdates.config()
	c.Discovery = f.Cluster.Discovery.config()
	c.Host = f.Cluster.Host.config()
	c.Rules = f.Cluster.Rules.config()
	c.Settings = f.Cluster.Settings.config()
	for _, fault := range f.Faults {
		c.Faults = append(c.Faults, fault.config())
	}
	return c, c.Validate()
}

func (n *Nodes) config() (nodes []simulator.Node) {
	for i := range n.Count {
		node := simulator.Node{
			Name:       fmt.Sprint("n", i+1),
			Cores:      max(n.Cores, 1),
			Speed:      1,
			QueueLimit: cmp.Or(n.QueueLimit, defaultQueueLimit),
		}
		if len(n.Zones) > 0 {
			node.Zone = n.Zones[i%len(n.Zones)]
		}
		if len(n.Speeds) > 0 {
			node.Speed = n.Speeds[i%len(n.Speeds)]
			node.Kind = fmt.Sprint("kind", i%len(n.Speeds))
		}
		if n.Cells > 0 {
			node.Cell = i % n.Cells
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// classes returns the classes in the order of their names.
func (cluster *Cluster) classes() (classes []simulator.Class, err error) {
	for _, name := range slices.Sorted(maps.Keys(cluster.Classes)) {
		class, err := cluster.Classes[name].config(name)
		if err != nil {
			return nil, err
		}
		classes = append(classes, class)
	}
	return classes, nil
}

func (c Class) config(name string) (simulator.Class, error) {
	effect, isEffect := effects[c.Effect]
	scope, isScope := idempotencyScopes[c.IdempotencyScope]
	if !isEffect {
		return simulator.Class{}, fmt.Errorf("world.class.%s: effect must be \"safe\", \"keyed\" or \"unsafe\", got %q",
			name, c.Effect)
	}
	if !isScope {
		return simulator.Class{}, fmt.Errorf("world.class.%s: group must be \"all\", \"zone\" or \"cell\", got %q",
			name, c.IdempotencyScope)
	}
	if !slices.Contains(distributions, c.Distribution) {
		return simulator.Class{}, fmt.Errorf("world.class.%s: kind must be one of %s, got %q",
			name, strings.Join(distributions[1:], ", "), c.Distribution)
	}
	return simulator.Class{
		Class: balancer.Class{
			Name:              name,
			LatencyObjective:  time.Duration(c.LatencyObjective),
			Deadline:          time.Duration(c.Deadline),
			Weight:            c.Weight,
			LateWeight:        c.LateWeight,
			Effect:            effect,
			IdempotencyScope:  scope,
			IdempotencyWindow: time.Duration(c.IdempotencyWindow),
		},
		Share: c.Share,
		Work: simulator.Work{
			Distribution: cmp.Or(c.Distribution, simulator.Exponential),
			Mean:         time.Duration(c.Work),
			Shape:        c.Shape,
		},
		ExpectedWorkSpread: c.ExpectedWorkSpread,
	}, nil
}

// rate returns the rate of requests per second: the value of the key "rate" or, if the key "load" is set, the rate that
// puts this load on the nodes. One of the two keys has to be set, unless the requests come from recorded traffic.
func (cluster *Cluster) rate(nodes []simulator.Node) (float64, error) {
	rate := cluster.Rate
	if cluster.Load > 0 {
		capacity, shares, work := 0.0, 0.0, 0.0
		for _, n := range nodes {
			capacity += n.Speed * float64(n.Cores)
		}
		for _, name := range slices.Sorted(maps.Keys(cluster.Classes)) {
			class := cluster.Classes[name]
			shares += class.Share
			work += class.Share * time.Duration(class.Work).Seconds()
		}
		rate = cluster.Load * capacity / (work / shares)
	}
	if cluster.Clients.RecordedTraffic != "" {
		return rate, nil
	}
	switch {
	case cluster.Load > 0 && cluster.Rate > 0:
		return 0, fmt.Errorf("world: load and rate exclude each other, got load = %v and rate = %v",
			cluster.Load, cluster.Rate)
	case !(cluster.Load > 0) && !(cluster.Rate > 0):
		return 0, fmt.Errorf("world: load or rate must be above 0, got load = %v and rate = %v",
			cluster.Load, cluster.Rate)
	case math.IsNaN(rate):
		return 0, fmt.Errorf("world: cannot compute the rate for load = %v: "+
			"the capacity of the nodes and the share and work of the classes must be above 0", cluster.Load)
	}
	return rate, nil
}

func (cluster *Cluster) clients(rate float64) (clients simulator.Clients, err error) {
	c := &cluster.Clients
	clients = simulator.Clients{
		Instances:         cluster.Instances,
		Rate:              rate,
		Zones:             cluster.Nodes.Zones,
		MaxCalls:          max(c.MaxCalls, 1),
		CallDeadlineShare: c.CallDeadlineShare,
		RetryDelay:        time.Duration(c.RetryDelay),
		AffinityKeys:      c.AffinityKeys,
		ImpatientShare:    c.ImpatientShare,
		Patience:          time.Duration(c.Patience),
		SessionLength:     c.SessionLength,
		ThinkTime:         time.Duration(c.ThinkTime),
		ClockSkew:         time.Duration(c.ClockSkew),
	}
	if c.RecordedTraffic != "" {
		if clients.Recorded, err = loadRecorded(c.RecordedTraffic); err != nil {
			return clients, err
		}
	}
	if c.ZipfExponent > 0 {
		for i := range cluster.Instances {
			clients.Weights = append(clients.Weights, math.Pow(float64(i+1), -c.ZipfExponent))
		}
	}
	for _, p := range c.RateCurve {
		clients.RateCurve = append(clients.RateCurve, simulator.RatePoint{At: time.Duration(p.At), Factor: p.Factor})
	}
	return clients, nil
}

func (n *Network) config() simulator.Network {
	return simulator.Network{
		SameZoneLatency:  time.Duration(n.SameZoneLatency),
		CrossZoneLatency: time.Duration(n.CrossZoneLatency),
		Jitter:           time.Duration(n.Jitter),
		LossRate:         n.LossRate,
		RetransmitDelay:  retransmitDelay,
		ConnectTimeout:   orDefault(n.ConnectTimeout, defaultConnectTimeout),
		IdleTimeout:      orDefault(n.IdleTimeout, defaultIdleTimeout),
		Multiplexed:      n.Multiplexed,
	}
}

// orDefault returns d, or defaultValue if d is 0.
func orDefault(d strictdecode.Duration, defaultValue time.Duration) time.Duration {
	return cmp.Or(time.Duration(d), defaultValue)
}

func (u *EndpointUpdates) config() simulator.EndpointUpdates {
	return simulator.EndpointUpdates{
		MinDelay:       time.Duration(u.MinDelay),
		MaxDelay:       time.Duration(max(u.MinDelay, u.MaxDelay)),
		DetectionDelay: time.Duration(u.DetectionDelay),
		Reorder:        u.Reorder,
	}
}

func (d *Discovery) config() simulator.Discovery {
	return simulator.Discovery{
		Capacity:   d.Capacity,
		CallCost:   d.CallCost,
		Timeout:    time.Duration(d.Timeout),
		MaxBacklog: d.MaxBacklog,
	}
}

func (h *Host) config() simulator.Host {
	return simulator.Host{
		Cores:       h.Cores,
		QuotaPeriod: time.Duration(h.QuotaPeriod),
		RequestCost: time.Duration(h.RequestCost),
		AttemptCost: time.Duration(h.AttemptCost),
		ConnectCost: time.Duration(h.ConnectCost),
	}
}

func (r *Rules) config() simulator.Rules {
	return simulator.Rules{
		InitialCapacity:  r.InitialCapacity,
		WarmUp:           time.Duration(r.WarmUp),
		OverloadMultiple: r.OverloadMultiple,
		OverloadDuration: time.Duration(r.OverloadDuration),
		DrainGrace:       time.Duration(r.DrainGrace),
	}
}

func (s *Settings) config() balancer.Settings {
	return balancer.Settings{
		Tick:             orDefault(s.Tick, defaultTick),
		MaxAttempts:      max(s.MaxAttempts, 1),
		Hedging:          s.Hedging,
		Cancellation:     s.Cancellation,
		Probes:           s.Probes,
		ProbesReportLoad: s.Probes,
		RetryAfter:       s.MaxRetryAfter > 0,
		MaxRetryAfter:    time.Duration(s.MaxRetryAfter),
		PriceCrossZone:   s.PriceCrossZone,
	}
}

func (f *Fault) config() simulator.Fault {
	return simulator.Fault{
		At:       time.Duration(f.At),
		Kind:     simulator.FaultKind(f.Kind),
		Node:     f.Node,
		Zone:     f.Zone,
		Share:    f.Share,
		Factor:   f.Factor,
		Duration: time.Duration(f.Duration),
		Interval: time.Duration(f.Interval),
	}
}
