package simulator

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxDuration      = 24 * time.Hour
	maxSessionLength = 1000
)

// Validate returns an error that describes the first invalid value of the configuration, or nil. The errors name values
// by their keys in experiment files.
func (c *Config) Validate() error {
	for _, check := range []func() error{
		c.validateNodes, c.validateTraffic, c.validateDiscovery, c.validateHost, c.validateSessions,
		c.validateRecorded, c.validateClasses, c.validateFaults,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Config) validateNodes() error {
	names := map[string]bool{}
	for i, n := range c.Nodes {
		switch {
		case n.Name == "":
			return fmt.Errorf("node %d has no name", i+1)
		case names[n.Name]:
			return fmt.Errorf("node %q: another node has the same name", n.Name)
		case n.Cores < 1:
			return fmt.Errorf("node %q: cores is %d, want at least 1", n.Name, n.Cores)
		case !(n.Speed > 0):
			return fmt.Errorf("node %q: speed is %v, want more than 0", n.Name, n.Speed)
		case n.QueueLimit < 0:
			return fmt.Errorf("node %q: queue is %d, want at least 0", n.Name, n.QueueLimit)
		}
		names[n.Name] = true
	}
	if len(c.Nodes) == 0 {
		return errors.New("the cluster has no nodes, want at least 1")
	}
	return nil
}

func (c *Config) validateTraffic() error {
	clients := &c.Clients
	switch {
	case c.Duration <= 0 || c.Duration > maxDuration:
		return fmt.Errorf("length %v is out of range, want more than 0 and at most %v", c.Duration, maxDuration)
	case clients.Instances < 1:
		return fmt.Errorf("clients: instances is %d, want at least 1", clients.Instances)
	case !(clients.Rate > 0) && len(clients.Recorded) == 0:
		return fmt.Errorf("clients: rate is %v, want more than 0 unless requests are recorded", clients.Rate)
	case !(clients.ImpatientShare >= 0 && clients.ImpatientShare <= 1):
		return fmt.Errorf("clients: impatient is %v, want 0 to 1", clients.ImpatientShare)
	case clients.ImpatientShare > 0 && clients.Patience <= 0:
		return fmt.Errorf("clients: patience is %v, want more than 0 since impatient is %v",
			clients.Patience, clients.ImpatientShare)
	case len(clients.Weights) > 0 && len(clients.Weights) != clients.Instances:
		return fmt.Errorf("clients: %d weights for %d instances, want one weight for each instance or none",
			len(clients.Weights), clients.Instances)
	}
	return nil
}

func (c *Config) validateDiscovery() error {
	d := &c.Discovery
	switch {
	case !(d.Capacity >= 0):
		return fmt.Errorf("discovery: capacity is %v, want at least 0", d.Capacity)
	case !(d.CallCost >= 0):
		return fmt.Errorf("discovery: call is %v, want at least 0", d.CallCost)
	case !(d.MaxBacklog >= 0):
		return fmt.Errorf("discovery: overbook is %v, want at least 0", d.MaxBacklog)
	case d.Timeout < 0:
		return fmt.Errorf("discovery: timeout is %v, want at least 0", d.Timeout)
	case d.Capacity > 0 && d.Timeout == 0:
		return fmt.Errorf("discovery: timeout is 0, want more than 0 since capacity is %v", d.Capacity)
	}
	return nil
}

func (c *Config) validateHost() error {
	h := &c.Host
	switch {
	case !(h.Cores >= 0):
		return fmt.Errorf("host: cores is %v, want at least 0", h.Cores)
	case h.QuotaPeriod < 0:
		return fmt.Errorf("host: period is %v, want at least 0", h.QuotaPeriod)
	case h.RequestCost < 0:
		return fmt.Errorf("host: request is %v, want at least 0", h.RequestCost)
	case h.AttemptCost < 0:
		return fmt.Errorf("host: attempt is %v, want at least 0", h.AttemptCost)
	case h.ConnectCost < 0:
		return fmt.Errorf("host: connect is %v, want at least 0", h.ConnectCost)
	}
	return nil
}

func (c *Config) validateSessions() error {
	k := &c.Clients
	switch {
	case !(k.SessionLength >= 0 && k.SessionLength <= maxSessionLength):
		return fmt.Errorf("clients: session is %v, want 0 to %d", k.SessionLength, maxSessionLength)
	case k.ThinkTime < 0:
		return fmt.Errorf("clients: think is %v, want at least 0", k.ThinkTime)
	case k.ClockSkew < 0 || k.ClockSkew >= clockOffset:
		return fmt.Errorf("clients: skew is %v, want at least 0 and less than %v", k.ClockSkew, clockOffset)
	}
	return nil
}

func (c *Config) validateRecorded() error {
	for i, r := range c.Clients.Recorded {
		switch {
		case c.class(r.Class) == nil:
			return fmt.Errorf("recorded request %d: there is no class %q", i+1, r.Class)
		case r.At < 0:
			return fmt.Errorf("recorded request %d: its time is %v, want at least 0", i+1, r.At)
		case r.Work < 0:
			return fmt.Errorf("recorded request %d: its work is %v, want at least 0", i+1, r.Work)
		case i > 0 && r.At < c.Clients.Recorded[i-1].At:
			return fmt.Errorf("recorded request %d: its time is %v, want at least the previous request's %v",
				i+1, r.At, c.Clients.Recorded[i-1].At)
		}
	}
	return nil
}

func (c *Config) validateClasses() error {
	totalShare := 0.0
	for _, class := range c.Classes {
		totalShare += class.Share
		switch work := class.Work; {
		case !(class.Share >= 0):
			return fmt.Errorf("class %q: share is %v, want at least 0", class.Name, class.Share)
		case work.Mean <= 0:
			return fmt.Errorf("class %q: work is %v, want more than 0", class.Name, work.Mean)
		case class.Deadline <= 0:
			return fmt.Errorf("class %q: deadline is %v, want more than 0", class.Name, class.Deadline)
		case work.Distribution == Pareto && !(work.Shape > 1):
			return fmt.Errorf("class %q: spread is %v, want more than 1 for kind %q, which has no mean otherwise",
				class.Name, work.Shape, Pareto)
		}
	}
	if !(totalShare > 0) {
		return errors.New("no class has a share above 0, want at least one")
	}
	return nil
}

func (c *Config) validateFaults() error {
	for i, f := range c.Faults {
		if err := c.validateFault(f); err != nil {
			return fmt.Errorf("fault %d: %w", i+1, err)
		}
	}
	return nil
}

func (c *Config) validateFault(f Fault) error {
	needs, ok := faultKinds[f.Kind]
	if !ok {
		return fmt.Errorf("%q is none of the fault kinds, which are %q", f.Kind, slices.Sorted(maps.Keys(faultKinds)))
	}
	if err := c.validateFaultNodes(f, needs.nodes); err != nil {
		return err
	}
	switch {
	case f.Kind == FaultDiscoveryDown && c.Discovery.Capacity == 0:
		return errors.New("down needs a discovery service: discovery: capacity is 0, want more than 0")
	case needs.duration && f.Duration <= 0:
		return fmt.Errorf("%s: its duration, key \"for\", is %v, want more than 0", f.Kind, f.Duration)
	case needs.factor && !(f.Factor > 0):
		return fmt.Errorf("%s: its factor, key \"times\", is %v, want more than 0", f.Kind, f.Factor)
	}
	return nil
}

// validateFaultNodes checks the fields of a fault that select nodes.
func (c *Config) validateFaultNodes(f Fault, needsNodes bool) error {
	hasNode := func(matches func(Node) bool) bool { return slices.ContainsFunc(c.Nodes, matches) }
	switch {
	case needsNodes && f.Node == "" && f.Zone == "" && !(f.Share > 0):
		return fmt.Errorf("%s needs a node, a zone or a share above 0; share is %v", f.Kind, f.Share)
	case f.Node != "" && !hasNode(func(n Node) bool { return n.Name == f.Node }):
		return fmt.Errorf("%s: there is no node %q", f.Kind, f.Node)
	case needsNodes && f.Zone != "" && !hasNode(func(n Node) bool { return n.Zone == f.Zone }):
		return fmt.Errorf("%s: no node is in zone %q", f.Kind, f.Zone)
	}
	return nil
}
