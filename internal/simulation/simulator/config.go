package simulator

import (
	"math"
	"math/rand/v2"
	"time"

	"hazelwing/balancer"
)

// Config describes a cluster, its traffic and its faults.
type Config struct {
	// Duration is the time during which requests arrive. The run continues until all requests have ended.
	Duration time.Duration
	Classes  []Class
	Nodes    []Node
	Network  Network
	// EndpointUpdates describes how changes of the endpoint list reach the instances.
	EndpointUpdates EndpointUpdates
	Clients         Clients
	// Discovery is the service that instances call for the endpoint list, if the list is not pushed to them.
	Discovery Discovery
	Host      Host
	Rules     Rules
	Faults    []Fault

	// Settings are the balancer settings of each instance that do not follow from the other fields: attempts, hedging,
	// probes, prices.
	Settings balancer.Settings
}

// class returns the class with the given name, or nil.
func (c *Config) class(name string) *Class {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return &c.Classes[i]
		}
	}
	return nil
}

// Class is a class of requests.
type Class struct {
	balancer.Class
	// Share is the share of the requests that are of this class, relative to the shares of the other classes.
	Share float64
	Work  Work
	// ExpectedWorkSpread limits the error of the expected work that requests state. The expected work is the real work
	// times a random factor between 1/ExpectedWorkSpread and ExpectedWorkSpread. If ExpectedWorkSpread is below 1,
	// requests state no expected work.
	ExpectedWorkSpread float64
}

// The distributions of Work.
const (
	Exponential = "exp"
	Fixed       = "fixed"
	LogNormal   = "lognormal"
	Pareto      = "pareto"
)

// Work is a distribution of the time that a request takes on a core of speed 1.
type Work struct {
	Distribution string
	Mean         time.Duration
	// Shape is the parameter sigma of LogNormal, or alpha of Pareto, which has to be above 1.
	Shape float64
}

// sample draws one request's work.
func (w Work) sample(rng *rand.Rand) time.Duration {
	x := 1.0
	switch w.Distribution {
	case Exponential:
		x = rng.ExpFloat64()
	case LogNormal:
		x = math.Exp(w.Shape*rng.NormFloat64() - w.Shape*w.Shape/2)
	case Pareto:
		x = (w.Shape - 1) / w.Shape * math.Pow(1-rng.Float64(), -1/w.Shape)
	}
	return time.Duration(x * float64(w.Mean))
}

// Node is a machine that serves requests.
type Node struct {
	Name, Zone, Kind string
	Cell             int
	Cores            int
	Speed            float64
	// QueueLimit is the number of requests that may wait while all cores are busy. Further requests are rejected.
	QueueLimit int
}

// Network describes the delays and losses of messages, and the connections.
type Network struct {
	// SameZoneLatency and CrossZoneLatency are the one-way latencies without jitter.
	SameZoneLatency, CrossZoneLatency time.Duration
	// Jitter is the mean of the exponentially distributed delay that is added to the latency.
	Jitter time.Duration
	// LossRate is the share of the messages that are lost and retransmitted, and so arrive RetransmitDelay later.
	LossRate        float64
	RetransmitDelay time.Duration
	ConnectTimeout  time.Duration
	// IdleTimeout is the time after which an idle connection is closed. It has no effect if Multiplexed is set.
	IdleTimeout time.Duration
	// Multiplexed makes all attempts of an instance share one connection to each node, as with HTTP/2. Until one has
	// been opened, each attempt opens a further one, and only the one opened last is used from then on. A reset of the
	// connection ends all attempts on it.
	Multiplexed bool
}

// Host is the processor of each instance. Events wait in order while the processor is busy. As with sockets, the
// instance does not see how long a request waits before it is read.
type Host struct {
	// Cores is the number of cores of the processor. If it is 0, processor time is not simulated.
	Cores float64
	// QuotaPeriod is the period of a CPU quota, as with a Linux cgroup: in each period the instance runs on a whole
	// core until it has used the share Cores of the period, and is then throttled until the next period begins. If it
	// is 0, the instance runs on a core of speed Cores instead.
	QuotaPeriod time.Duration
	// RequestCost is the time that a whole core takes to read a request and to answer it.
	RequestCost time.Duration
	// AttemptCost is the time that a whole core takes to write an attempt and to read its answer.
	AttemptCost time.Duration
	// ConnectCost is the time that a whole core takes to open a connection.
	ConnectCost time.Duration
}

// EndpointUpdates describes how instances learn of changes to the endpoint list.
type EndpointUpdates struct {
	// MinDelay and MaxDelay limit the delay of an update, which is drawn for each instance separately. With a discovery
	// service it is drawn once, for the way to the service.
	MinDelay, MaxDelay time.Duration
	// DetectionDelay is the additional time until the end or the start of a process is detected. It does not apply to
	// drains, which nodes announce themselves.
	DetectionDelay time.Duration
	// Reorder lets pushed updates overtake each other. Updates to a discovery service can always do so.
	Reorder bool
}

// Discovery is a single service that all instances call for the endpoint list. It handles calls one after the other.
type Discovery struct {
	// Capacity is the number of list entries that the service writes per second. If it is 0, lists are pushed to the
	// instances as EndpointUpdates describes.
	Capacity float64
	// CallCost is the fixed cost of a call, in list entries. The number of all nodes, listed or not, is added to it.
	CallCost float64
	// Timeout is the time after which a call fails. The service still does the work of a call that timed out.
	Timeout time.Duration
	// MaxBacklog is the limit of the waiting work, in multiples of Timeout. A call whose answer would take longer is
	// rejected. If it is 0, the limit is one Timeout.
	MaxBacklog float64
}

// Clients describes the clients of all instances.
type Clients struct {
	Instances int
	// Rate is the number of requests per second, for all instances together.
	Rate float64
	// Weights are the shares of Rate that the instances have, relative to each other. If it is empty, shares are equal.
	Weights []float64
	// Zones are assigned to the instances in turn.
	Zones []string
	// MaxCalls is the maximum number of calls for one request, the first call included; 0 counts as 1.
	MaxCalls int
	// CallDeadlineShare is the share of the class's deadline that one call may take. If it is 0, a call may take all
	// the time that is left until the deadline.
	CallDeadlineShare float64
	// RetryDelay is the shortest time that a client waits between two calls for a request.
	RetryDelay time.Duration
	// AffinityKeys is the number of different affinity keys. If it is 0, requests have none.
	AffinityKeys int
	// ImpatientShare is the share of the requests whose clients call only once, and wait for a random time between half
	// of Patience and Patience.
	ImpatientShare float64
	Patience       time.Duration
	// RateCurve gives a factor of Rate that changes over time. It is interpolated linearly between the points.
	RateCurve []RatePoint
	// SessionLength is the mean number of requests that a client sends one after the other. If it is at most 1, each
	// session has a single request.
	SessionLength float64
	// ThinkTime is the mean time between the end of a request and the beginning of the session's next request.
	ThinkTime time.Duration
	// ClockSkew is the largest difference between the clock of an instance and the clocks of the nodes.
	ClockSkew time.Duration
	// Recorded requests are replayed in place of random ones. Those after Duration arrive only as long as an earlier
	// request has not ended. If there are any, nothing that determines random requests has an effect: Rate, RateCurve,
	// the fields for affinity keys, impatience and sessions, the classes' shares, work and ExpectedWorkSpread, and
	// faults of the kind FaultCost.
	Recorded []RecordedRequest
}

// RatePoint is a point of a rate curve.
type RatePoint struct {
	At     time.Duration
	Factor float64
}

// RecordedRequest is a request of recorded traffic.
type RecordedRequest struct {
	At                 time.Duration
	Class              string
	Work, ExpectedWork time.Duration
	AffinityKey        int
}

// Rules are the limits that policies have to keep. A new process of a node warms up for WarmUp. Meanwhile its capacity
// rises from the share InitialCapacity to the full capacity. If the work that arrives within OverloadDuration is more
// than OverloadMultiple times what its present capacity can do in that time, the process ends; an OverloadMultiple of 0
// means no limit. Requests may be sent to a node for DrainGrace after the instance was notified of its drain or
// removal.
type Rules struct {
	InitialCapacity  float64
	WarmUp           time.Duration
	OverloadMultiple float64
	OverloadDuration time.Duration
	DrainGrace       time.Duration
}
