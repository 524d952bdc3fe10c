package engine

import (
	"slices"

	"hazelwing/balancer"
)

// addressOwners knows the latest process at each address of the endpoint list. Only Run's goroutine uses it.
type addressOwners struct {
	owners    map[string]addressOwner // by address
	addresses map[string]string       // by endpoint ID
}

// addressOwner is the latest process at an address.
type addressOwner struct {
	endpointID  string
	startedAtMS float64
}

func newAddressOwners() addressOwners {
	return addressOwners{owners: map[string]addressOwner{}, addresses: map[string]string{}}
}

// dropFormer returns the entries of an update in which endpoints whose address has a later process are removed, and the
// IDs of those that were dropped. If complete is true, the entries replace all earlier ones. Two processes that started
// at the same time, or at unknown times, both stay.
//
// Guard: prevents requests for an endpoint that has gone from being sent to the process that has its address now. The
// symptom is work at the wrong place, and keyed requests that run in the zones of both. This holds because a process
// ends before another one listens at its address.
func (o *addressOwners) dropFormer(complete bool, entries []Endpoint) (kept []Endpoint, dropped []string) {
	if complete {
		*o = newAddressOwners()
	}
	kept = entries
	for i, ep := range entries {
		o.release(ep)
		if !isActive(ep) {
			continue
		}
		owner, taken := o.owners[ep.Addr]
		former := owner.endpointID
		switch {
		case taken && ep.StartedAtMS < owner.startedAtMS:
			former = ep.ID
		case taken && ep.StartedAtMS == owner.startedAtMS:
			continue
		default:
			o.owners[ep.Addr] = addressOwner{endpointID: ep.ID, startedAtMS: ep.StartedAtMS}
			o.addresses[ep.ID] = ep.Addr
		}
		if !taken {
			continue
		}
		if len(dropped) == 0 {
			kept = slices.Clone(entries)
		}
		dropped = append(dropped, former)
		if former != ep.ID {
			delete(o.addresses, former)
		}
		kept = markRemoved(kept, i, former)
	}
	return kept, dropped
}

// release ends the ownership of an endpoint that is not active any more, or whose address has changed.
func (o *addressOwners) release(ep Endpoint) {
	address, known := o.addresses[ep.ID]
	if known && (!isActive(ep) || address != ep.Addr || o.owners[address].startedAtMS != ep.StartedAtMS) {
		delete(o.owners, address)
		delete(o.addresses, ep.ID)
	}
}

// markRemoved marks an endpoint as removed in its last entry up to the given index, or in an additional entry if it has
// none.
func markRemoved(entries []Endpoint, last int, id string) []Endpoint {
	for i := last; i >= 0; i-- {
		if entries[i].ID == id {
			entries[i].State = balancer.Removed
			return entries
		}
	}
	return append(entries, Endpoint{ID: id, State: balancer.Removed})
}
