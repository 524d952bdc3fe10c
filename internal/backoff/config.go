package backoff

import "time"

const (
	// NotificationDeadline is the time after which a change counts as notified, measured from when the discovery
	// service had the change and was reachable. A higher value keeps calls at the fast interval for longer.
	NotificationDeadline = 6 * time.Second
	// SilenceTimeout is the maximum time without data on a watch or a call. After this time, a watch counts as broken,
	// and a call that has returned nothing is abandoned. The service sends an empty line every 2 s. This prevents
	// waiting for a service that is cut off: TCP does not detect this while nothing is sent. A higher value tolerates a
	// slower service and detects a broken watch later.
	SilenceTimeout = 2500 * time.Millisecond
	// HedgeDelay is the time after which a call that has returned nothing is hedged by another call. This prevents a
	// hanging call from using up the available time: if the call were abandoned before another one was started, no time
	// would be left for a second failure. HedgeDelay is longer than the time for which the service may queue a call,
	// which is 1 s on the platform. A higher value starts fewer calls to a slow service, and delays the answer if a
	// call hangs.
	HedgeDelay = SilenceTimeout / 2
	// MaxAttempts limits the calls of one hedged request; at most two of them are in flight at a time. A higher value
	// tolerates more consecutive calls that hang, and calls a service that hangs more often.
	MaxAttempts = 3
)

// Spacing of calls to the discovery service; see Config.
const (
	// retryDelay is the RetryDelay for a shared service. A higher value spreads the calls of the sidecars over a longer
	// time, and uses up more of NotificationDeadline with each failure.
	retryDelay = 250 * time.Millisecond
	// fastInterval is the FastInterval for a shared service. With this value, a sidecar starts at most three calls in
	// any second. A higher value puts less load on a service that rejects all calls, and allows fewer calls before
	// NotificationDeadline.
	fastInterval = 600 * time.Millisecond
	// minSlowInterval is the minimum SlowInterval, which small clusters use. It equals fastInterval, so their calls do
	// not become less frequent after NotificationDeadline.
	minSlowInterval = fastInterval
	// maxSlowInterval is the maximum SlowInterval. It limits how long a service that has recovered is not called. With
	// a higher value, the service of a large cluster receives less load, and its sidecars detect its recovery later.
	maxSlowInterval = 2 * time.Second
	// maxClusterRate limits the long-term rate, in calls per second, at which all sidecars together call a service that
	// rejects them. A large cluster exceeds this rate, because no sidecar waits longer than maxSlowInterval. A higher
	// value detects the recovery of the service sooner, and puts more load on it.
	maxClusterRate = 150
)

// agentRetryDelay is the RetryDelay for an agent on this machine. A higher value results in fewer calls, and detects
// the agent's recovery later.
const agentRetryDelay = 100 * time.Millisecond

// Spacing of calls for the complete list while a watch is open; see Config. The watch delivers changes even while these
// calls fail. Higher values put less load on a service that rejects these calls, and leave the list incomplete for
// longer.
const (
	listFastInterval = 750 * time.Millisecond
	listSlowInterval = 3 * time.Second
	listMaxInterval  = 24 * time.Second
)

// ListDelay is the mean delay of the first call for the complete list while a watch is open; see
// Scheduler.DelayFirstCall. A higher value spreads these calls over a longer time, and leaves the list incomplete for
// longer.
const ListDelay = 2 * time.Second

// Config specifies the spacing of calls. All durations are randomized, so that the calls of different sidecars do not
// become synchronized.
type Config struct {
	// RetryDelay is the maximum random delay between a failure and the next call; the minimum is RetryDelay/4. The
	// delay is longer if the interval between the starts of the calls requires it.
	RetryDelay time.Duration
	// FastInterval is the mean time between the starts of consecutive calls until NotificationDeadline has passed since
	// the first failure. It is multiplied by a random factor between 0.75 and 1.25.
	FastInterval time.Duration
	// SlowInterval replaces FastInterval once NotificationDeadline has passed. It doubles with each further failure.
	SlowInterval time.Duration
	// MaxInterval is the maximum to which SlowInterval doubles.
	MaxInterval time.Duration
}

// ServiceConfig returns the spacing of calls to a discovery service that is shared by the given number of sidecars.
//
// It decides how often a service that rejects all sidecars is called in the long term: maxClusterRate times per second
// by all sidecars together, but by each sidecar at most once per minSlowInterval and at least once per maxSlowInterval.
// This prevents a large cluster from continuing to overload a service that rejects its calls.
func ServiceConfig(sidecars int) Config {
	interval := time.Duration(sidecars) * time.Second / maxClusterRate
	interval = min(max(interval, minSlowInterval), maxSlowInterval)
	return Config{
		RetryDelay:   retryDelay,
		FastInterval: fastInterval,
		SlowInterval: interval,
		MaxInterval:  interval,
	}
}

// AgentConfig returns the spacing of calls to a discovery agent on this machine. Such calls are cheap. Changes that the
// agent learns of when the discovery service recovers count as notified at once, so the delay must be shorter than the
// shortest grace period of a draining endpoint.
func AgentConfig() Config { return Config{RetryDelay: agentRetryDelay} }

// ListConfig returns the spacing of calls for the complete list, while a watch is open, to a discovery service that is
// shared by all sidecars.
func ListConfig() Config {
	return Config{
		RetryDelay:   retryDelay,
		FastInterval: listFastInterval,
		SlowInterval: listSlowInterval,
		MaxInterval:  listMaxInterval,
	}
}
