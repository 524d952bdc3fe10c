package discovery

import (
	"time"

	"hazelwing/balancer"
)

// Endpoint is an endpoint as a source describes it.
type Endpoint struct {
	// ID is the endpoint's name. It is empty if the source knows only the address. It is never empty in a Change.
	ID   string `json:"ID"`
	Addr string `json:"Addr"`
	Zone string `json:"Zone"`
	Kind string `json:"Kind"`
	Cell int    `json:"Cell"`
	// LocationUnknown means that the source reports neither Zone nor Cell.
	LocationUnknown bool                   `json:"-"`
	State           balancer.EndpointState `json:"State"`
	// StartedAtMS is when the endpoint's process started, in Unix milliseconds; 0 means unknown or long ago.
	StartedAtMS float64 `json:"BornMS"`
	// Priority is the failover level; lower levels are used first.
	Priority int `json:"Priority"`
	// TrafficShare is the endpoint's weight relative to the other endpoints with the same Priority; 0 means unknown.
	TrafficShare float64 `json:"Share"`
}

// addrKeyPrefix is the prefix of the key and the ID of an endpoint that is known only by its address.
const addrKeyPrefix = "addr "

// key returns the key of an endpoint in the list of one source.
func (e *Endpoint) key() string {
	if e.ID != "" {
		return e.ID
	}
	return addrKeyPrefix + e.Addr
}

// Update is a list of endpoints that a source reports.
type Update struct {
	Source string // the name of the source
	// Seq is the sequence number of the update. It increases with each update of a source. An update whose Seq is not
	// higher than the Seq of the previous update is a delayed copy, and is ignored.
	Seq int64
	// Complete means that Endpoints is the source's complete list. If Complete is false, Endpoints contains the changes
	// since the previous update.
	Complete  bool
	Endpoints []Endpoint
}

// Change is a change of the merged list. If Endpoint.State is balancer.Active, the endpoint was added or its attributes
// have changed; otherwise it was removed.
type Change struct {
	Endpoint Endpoint
	Reason   string
}

// EndpointStatus describes an endpoint of the merged list, or one that a source lists but that is excluded from it. Of
// an excluded endpoint only the ID and the reason are set.
type EndpointStatus struct {
	Endpoint
	Listed bool   `json:"In"`  // the endpoint is in the merged list
	Reason string `json:"Why"` // why the endpoint is in the merged list or excluded from it
	// Sources holds the names of the sources that list the endpoint, lowest rank first. It is empty if the endpoint is
	// excluded or its removal is deferred.
	Sources []string      `json:"Sources"`
	Since   time.Duration `json:"Since"` // when the endpoint was added to the merged list; 0 if excluded
}

// Values of Change.Reason and EndpointStatus.Reason. They appear in the response to GET /members and in the log.
const (
	reasonListed      = "listed"
	reasonDescription = "it is described anew"        // attributes of the endpoint have changed
	reasonRestarted   = "a newer start is told"       // a source reports a later start time
	reasonUnlisted    = "no source lists it any more" // no source has a tombstone for the endpoint either

	// Reasons for which the removal of an endpoint is deferred; see Merger.deferRemoval.
	reasonLastEndpoint = "held: it is the last one"
	reasonShareFormat  = "held: %s may not take out so large a share" // a single removal exceeds MaxRemovalShare
	reasonWindowFormat = "held: %s has taken out its share"           // one more removal exceeds MaxRemovalShare
	unlistedCause      = "no longer being listed"                     // in place of a source's name in these formats

	// The following texts are appended to the name of a source.
	reasonSourceFailed    = " has failed, and may not add" // see source.mayAdd
	reasonReportedRemoved = " says that it has left"       // the tombstone is explicit
	reasonNotListed       = " no longer lists it"          // the tombstone is not explicit
)
