package operator

import (
	"path/filepath"
	"time"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/strictdecode"
)

// Idempotency is the table [ledger]: the idempotency records and their write-ahead log.
type Idempotency struct {
	Dir         string                   `toml:"dir"`
	Durability  middleware.Durability    `toml:"durable"`
	SyncEvery   strictdecode.Duration    `toml:"sync_every"`
	OnFailure   middleware.FailurePolicy `toml:"on_failure"`
	Retention   strictdecode.Duration    `toml:"remember"`
	MaxEntries  int64                    `toml:"max_entries"`
	SegmentSize Size                     `toml:"segment_size"`
	MaxBytes    Size                     `toml:"max_size"`
}

// Defaults and bounds of the idempotency records.
const (
	defaultSyncEvery = 100 * time.Millisecond
	minSyncEvery     = time.Millisecond
	maxSyncEvery     = 10 * time.Second

	defaultRetention = 10 * time.Minute
	minRetention     = 10 * time.Second
	maxRetention     = 7 * 24 * time.Hour

	defaultEntries = 100_000
	minEntries     = 100
	maxEntries     = 10_000_000

	defaultSegmentSize Size = 4 << 20
	minSegmentSize     Size = 64 << 10
	maxSegmentSize     Size = 256 << 20

	// The write-ahead log has room for at least minSegments segments.
	minSegments         Size = 8
	defaultMaxBytes     Size = 256 << 20
	largestMaxBytes     Size = 64 << 30
	minSegmentSizeText       = "64KiB"
	maxSegmentSizeText       = "256MiB"
	minMaxBytesText          = "8 segments"
	largestMaxBytesText      = "64GiB"
)

// validate fills in the defaults and reports values that cannot be used.
func (c *Idempotency) validate(v validator) {
	c.validateModes(v)
	c.validateDir(v)
	if c.SyncEvery != 0 && c.Durability != middleware.DurabilityBatch {
		v.errorf("ledger.sync_every", "goes with durable = \"batch\"")
	}
	if c.SegmentSize == 0 {
		c.SegmentSize = defaultSegmentSize
	}
	minMaxBytes := minSegments * c.SegmentSize
	if c.MaxBytes == 0 {
		c.MaxBytes = max(defaultMaxBytes, minMaxBytes)
	}
	v.duration("ledger.sync_every", &c.SyncEvery, defaultSyncEvery, minSyncEvery, maxSyncEvery)
	v.duration("ledger.remember", &c.Retention, defaultRetention, minRetention, maxRetention)
	v.integer("ledger.max_entries", &c.MaxEntries, defaultEntries, minEntries, maxEntries)
	v.size("ledger.segment_size", c.SegmentSize,
		minSegmentSize, maxSegmentSize, minSegmentSizeText, maxSegmentSizeText)
	v.size("ledger.max_size", c.MaxBytes, minMaxBytes, largestMaxBytes, minMaxBytesText, largestMaxBytesText)
}

// validateModes checks when records are durable, and what happens to requests while they cannot be made so.
func (c *Idempotency) validateModes(v validator) {
	switch c.Durability {
	case "":
		c.Durability = middleware.DurabilityAlways
	case middleware.DurabilityAlways, middleware.DurabilityBatch, middleware.DurabilityOff:
	default:
		v.errorf("ledger.durable", "%q is not \"always\", \"batch\" or \"off\"", c.Durability)
	}
	switch c.OnFailure {
	case "":
		c.OnFailure = middleware.RejectOnFailure
	case middleware.RejectOnFailure, middleware.ContinueOnFailure:
	default:
		v.errorf("ledger.on_failure", "%q is not \"refuse\" or \"continue\"", c.OnFailure)
	}
}

// validateDir checks that there is a directory exactly where records are durable.
func (c *Idempotency) validateDir(v validator) {
	switch {
	case c.Durability == middleware.DurabilityOff && c.Dir != "":
		v.errorf("ledger.dir", "is of no use where durable is \"off\"")
	case c.Durability != middleware.DurabilityOff && !filepath.IsAbs(c.Dir):
		v.errorf("ledger.dir", "%q is no absolute path", c.Dir)
	}
}
