package hollow

import (
	"errors"
	"fmt"
	"strconv"
)

// Place is where a member stands; 0 is in none.
type Place struct{ Region, Zone, Rack int }

// discoveryPlace is where discovery stands: in the first zone of the first region, in no rack.
var discoveryPlace = Place{Region: 1, Zone: 1}

// PlaceOf is the place of a member, from 1: racks fill one after another, go round the zones, and regions have neighbouring zones.
func PlaceOf(n, regions, zones, rack int) Place {
	k := (n - 1) / rack
	z := k % zones
	return Place{Region: z*regions/zones + 1, Zone: z + 1, Rack: k + 1}
}

// Area is a set of places: "all", "r1", "z2", "k3" for a region, a zone and a rack.
type Area string

// rest is all that is not in the other area of a link.
const rest = Area("rest")

func (a Area) check() error {
	if a == "all" {
		return nil
	}
	if len(a) > 1 {
		if n, err := strconv.Atoi(string(a[1:])); err == nil && n > 0 && (a[0] == 'r' || a[0] == 'z' || a[0] == 'k') {
			return nil
		}
	}
	return fmt.Errorf("%q is no place such as r1, z2, k3 or all", a)
}

// Has says whether a place is in it.
func (a Area) Has(p Place) bool {
	if a == "all" {
		return true
	}
	n, _ := strconv.Atoi(string(a[1:]))
	switch a[0] {
	case 'r':
		return p.Region == n
	case 'z':
		return p.Zone == n
	}
	return p.Rack == n
}

// rule is what holds between two areas, in both directions.
type rule struct {
	a, b Area
	link Link
}

func newRule(a, b Area, l Link) (rule, error) {
	err := a.check()
	if b != rest {
		err = errors.Join(err, b.check())
	}
	if l.Loss < 0 || l.Loss > 1 || l.Delay < 0 {
		err = errors.Join(err, fmt.Errorf("loss %v, delay %v: 0 to 1, and not below 0 are wanted", l.Loss, l.Delay))
	}
	return rule{a, b, l}, err
}

func (r rule) between(p, q Place) bool {
	if r.b == rest {
		return r.a.Has(p) != r.a.Has(q)
	}
	return r.a.Has(p) && r.b.Has(q) || r.a.Has(q) && r.b.Has(p)
}
