package discovery

import (
	"slices"
	"time"
)

// removalBudget limits the removals for one cause, which are not reported explicitly, to a share of the list within a
// window. In the zero value nothing is used.
type removalBudget struct {
	// alwaysOne allows one removal in each window although it exceeds the share. Without it, a small list never loses
	// an endpoint whose removal nobody will ever report.
	alwaysOne bool
	// removedAt holds the times of the removals within Config.RemovalWindow, oldest first.
	removedAt []time.Duration
}

// mayRemoveOne reports whether one more of numListed endpoints may be removed. If it may not, retryAt is when the next
// removal may become possible; 0 means that waiting does not make it possible.
//
// The removals within Config.RemovalWindow, including the next one, must not exceed Config.MaxRemovalShare of the
// endpoints that were listed before them. This prevents a source that reports only a part of its list from removing
// most endpoints at once, which would overload the remaining ones.
func (b *removalBudget) mayRemoveOne(now time.Duration, numListed int, cfg *Config) (ok bool, retryAt time.Duration) {
	b.removedAt = slices.DeleteFunc(b.removedAt, func(at time.Duration) bool { return now-at >= cfg.RemovalWindow })
	numRemoved := len(b.removedAt)
	isWithinShare := float64(numRemoved+1) <= cfg.MaxRemovalShare*float64(numListed+numRemoved)
	if isWithinShare || b.alwaysOne && numRemoved == 0 {
		return true, 0
	}
	if numRemoved == 0 {
		return false, 0
	}
	return false, b.removedAt[0] + cfg.RemovalWindow
}

// use records a removal.
func (b *removalBudget) use(now time.Duration) { b.removedAt = append(b.removedAt, now) }
