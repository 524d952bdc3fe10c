package transport

import (
	"context"
	"time"
)

const (
	// cacheTouchInterval is the time between updates of the cache file's modification time while there is an upstream.
	// A higher value writes less often, but a restarted member may overestimate the age of its snapshot by more.
	cacheTouchInterval = 30 * time.Second
	// cacheErrorInterval is the minimum time between two log lines about failed writes. A higher value logs fewer of
	// them.
	cacheErrorInterval = 10 * time.Second
)

// saveSnapshots writes each new snapshot to the cache file, or only the latest one if they arrive faster than they can
// be written. While there is an upstream, it also updates the file's modification time. It runs until ctx is done.
func (m *Member) saveSnapshots(ctx context.Context) {
	touch := time.NewTicker(cacheTouchInterval)
	defer touch.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-touch.C:
			if m.cfg.CacheDir != "" && m.currentUpstream() != nil {
				touchCachedSnapshot(m.cfg.CacheDir)
			}
		case <-m.toSave.wake:
			cached := m.toSave.take()
			if cached == nil {
				continue
			}
			err := saveCachedSnapshot(m.cfg.CacheDir, cached)
			if err != nil && time.Since(loggedAt) > cacheErrorInterval {
				loggedAt = time.Now()
				m.cfg.Log.Error("cannot write configuration cache; a restart would begin with an older snapshot",
					keyComponent, memberComponent, keyError, err)
			}
		}
	}
}
