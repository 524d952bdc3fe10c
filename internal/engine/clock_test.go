package engine

import (
	"testing"
	"time"
)

// An upstream that came up shortly before the sidecar is cold all the same: its time must not be taken for long ago.
func TestClock(t *testing.T) {
	c := newClock()
	up := float64(time.Now().Add(-3 * time.Second).UnixMilli())
	if age := c.now() - c.fromUnixMS(up); age < 2*time.Second || age > time.Minute {
		t.Errorf("an upstream 3 s old is %v old", age)
	}
	if c.fromUnixMS(up) != c.fromUnixMS(up) || c.fromUnixMS(0) != 0 || c.fromUnixMS(float64(c.base.UnixMilli()-1)) != 0 {
		t.Error("long ago is not 0")
	}
	if at := c.now(); c.at(c.timeAt(at)) != at {
		t.Error("the clock does not map back")
	}
}
