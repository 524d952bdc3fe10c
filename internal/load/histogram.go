package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicroseconds is the longest duration that a histogram records. Longer durations are counted as this one.
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	percent           = 100
)

// Histogram counts durations from one microsecond to ten minutes, with three significant digits. Durations outside of
// this range count as its nearest limit. It is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) {
	h.mu.Lock()
	// The only error is a value out of range, which the clamping excludes.
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
	h.mu.Unlock()
}

// Quantile returns the q-quantile, with q from 0 to 1, or 0 if the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.histogram.ValueAtQuantile(percent*q)) * time.Microsecond
}

// Count returns the number of durations counted.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.histogram.TotalCount()
}
