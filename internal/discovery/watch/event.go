package watch

import (
	"errors"

	"hazelwing/balancer"
	"hazelwing/internal/engine"
)

// Event is the complete endpoint list or a delta, in the form of the discovery service.
type Event struct {
	Version   int64      `json:"seq"`
	Complete  bool       `json:"whole"` // the event is the complete list, not a delta
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is an entry of an Event.
type Endpoint struct {
	ID          string  `json:"host"`
	Addr        string  `json:"dial"` // address at which this sidecar reaches the endpoint
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	StartedAtMS float64 `json:"born_ms"` // start of the endpoint's process, in Unix milliseconds
}

// Values of Endpoint.Health.
const (
	healthServing  = "SERVING"
	healthDraining = "DRAINING"
	healthDeleted  = "DELETED"
)

// ToEndpoints converts the entries to endpoints of the engine. An entry with unknown health is converted to a draining
// endpoint. The error names all such entries, and is nil if there are none; the endpoints are valid in either case.
func (e *Event) ToEndpoints() ([]engine.Endpoint, error) {
	endpoints := make([]engine.Endpoint, len(e.Endpoints))
	var unknown error
	for i, endpoint := range e.Endpoints {
		state, err := endpoint.state()
		unknown = errors.Join(unknown, err)
		endpoints[i] = engine.Endpoint{
			ID:          endpoint.ID,
			Addr:        endpoint.Addr,
			Zone:        endpoint.Zone,
			Kind:        endpoint.Kind,
			Cell:        endpoint.Cell,
			State:       state,
			StartedAtMS: endpoint.StartedAtMS,
		}
	}
	return endpoints, unknown
}

// EndpointsFromEngine converts endpoints of the engine to entries of an Event. It returns nil for an empty list.
func EndpointsFromEngine(list []engine.Endpoint) []Endpoint {
	var endpoints []Endpoint
	for _, endpoint := range list {
		endpoints = append(endpoints, Endpoint{
			ID:          endpoint.ID,
			Addr:        endpoint.Addr,
			Zone:        endpoint.Zone,
			Kind:        endpoint.Kind,
			Cell:        endpoint.Cell,
			Health:      healthFromState(endpoint.State),
			StartedAtMS: endpoint.StartedAtMS,
		})
	}
	return endpoints
}

func healthFromState(state balancer.EndpointState) string {
	switch state {
	case balancer.Active:
		return healthServing
	case balancer.Draining:
		return healthDraining
	case balancer.Removed:
		return healthDeleted
	}
	return ""
}

func (e *Endpoint) state() (balancer.EndpointState, error) {
	switch e.Health {
	case healthServing:
		return balancer.Active, nil
	case healthDraining:
		return balancer.Draining, nil
	case healthDeleted:
		return balancer.Removed, nil
	}
	return balancer.Draining, &unknownHealthError{id: e.ID, health: e.Health}
}
