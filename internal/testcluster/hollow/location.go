package hollow

import (
	"errors"
	"fmt"
	"strconv"
)

// Location is the region, zone and rack of a member, each numbered from 1; 0 means none.
type Location struct{ Region, Zone, Rack int }

// discoveryLocation is the location of discovery: the first zone of the first region, in no rack.
var discoveryLocation = Location{Region: 1, Zone: 1}

// LocationOf returns the location of the member with number n, which begins at 1. Members fill one rack after another.
// Consecutive racks are assigned to the zones in turn, and each region has zones with consecutive numbers.
func LocationOf(n, regions, zones, rackSize int) Location {
	rack := (n - 1) / rackSize
	zone := rack % zones
	return Location{Region: zone*regions/zones + 1, Zone: zone + 1, Rack: rack + 1}
}

// Area is a set of locations: "all", or a region such as "r1", a zone such as "z2" or a rack such as "k3".
type Area string

// Areas that are not a region, zone or rack.
const (
	areaAll = Area("all")
	// areaRest is the set of locations outside the other area of a link.
	areaRest = Area("rest")
)

// The first letters of the names of areas.
const (
	regionLetter = 'r'
	zoneLetter   = 'z'
	rackLetter   = 'k'
)

func (a Area) validate() error {
	if a == areaAll {
		return nil
	}
	if _, err := a.number(); err != nil {
		return fmt.Errorf("%q is not an area such as r1, z2, k3 or all", a)
	}
	return nil
}

// number returns the number of the area's region, zone or rack.
func (a Area) number() (int, error) {
	if len(a) < 2 || a[0] != regionLetter && a[0] != zoneLetter && a[0] != rackLetter {
		return 0, fmt.Errorf("area %q does not name a region, zone or rack", string(a))
	}
	n, err := strconv.Atoi(string(a[1:]))
	if err == nil && n < 1 {
		err = fmt.Errorf("area %q has the number %d, want 1 or more", string(a), n)
	}
	return n, err
}

// Contains reports whether a location is in the area.
func (a Area) Contains(l Location) bool {
	if a == areaAll {
		return true
	}
	n, err := a.number()
	if err != nil {
		return false
	}
	switch a[0] {
	case regionLetter:
		return l.Region == n
	case zoneLetter:
		return l.Zone == n
	default:
		return l.Rack == n
	}
}

// rule sets the link between two areas, in both directions.
type rule struct {
	a, b Area
	link Link
}

func newRule(a, b Area, l Link) (rule, error) {
	err := a.validate()
	if b != areaRest {
		err = errors.Join(err, b.validate())
	}
	if l.LossRate < 0 || l.LossRate > 1 {
		err = errors.Join(err, fmt.Errorf("loss rate is %v, want 0 to 1", l.LossRate))
	}
	if l.Delay < 0 {
		err = errors.Join(err, fmt.Errorf("delay is %v, want 0 or more", l.Delay))
	}
	return rule{a, b, l}, err
}

// matches reports whether the rule applies between two locations.
func (r rule) matches(p, q Location) bool {
	if r.b == areaRest {
		return r.a.Contains(p) != r.a.Contains(q)
	}
	return r.a.Contains(p) && r.b.Contains(q) || r.a.Contains(q) && r.b.Contains(p)
}
