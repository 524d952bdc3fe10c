package operator

import (
	"path/filepath"
	"time"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/strictdecode"
)

// Idempotency is the table [ledger]. It configures the idempotency records and their write-ahead log.
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

// Defaults and limits of the idempotency records.
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

	// minSegments is the smallest number of segments that the write-ahead log must have room for.
	minSegments         Size = 8
	defaultMaxBytes     Size = 256 << 20
	largestMaxBytes     Size = 64 << 30
	minSegmentSizeText       = "64KiB"
	maxSegmentSizeText       = "256MiB"
	minMaxBytesText          = "8 segments"
	largestMaxBytesText      = "64GiB"
)

// validate fills in the defaults and reports invalid values.
func (c *Idempotency) validate(v validator) {
	c.validateModes(v)
	c.validateDir(v)
	if c.SyncEvery != 0 && c.Durability != middleware.DurabilityBatch {
		v.errorf("ledger.sync_every", "requires durable = \"batch\", got durable = %q", c.Durability)
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

// validateModes checks the durability of records, and the policy for requests whose records cannot be made durable.
func (c *Idempotency) validateModes(v validator) {
	switch c.Durability {
	case "":
		c.Durability = middleware.DurabilityAlways
	case middleware.DurabilityAlways, middleware.DurabilityBatch, middleware.DurabilityOff:
	default:
		v.errorf("ledger.durable", "must be \"always\", \"batch\" or \"off\", got %q", c.Durability)
	}
	switch c.OnFailure {
	case "":
		c.OnFailure = middleware.RejectOnFailure
	case middleware.RejectOnFailure, middleware.ContinueOnFailure:
	default:
		v.errorf("ledger.on_failure", "must be \"refuse\" or \"continue\", got %q", c.OnFailure)
	}
}

// validateDir checks that Dir is an absolute path, or not set if durability is off.
func (c *Idempotency) validateDir(v validator) {
	switch {
	case c.Durability == middleware.DurabilityOff && c.Dir != "":
		v.errorf("ledger.dir", "must not be set when durable = \"off\", got %q", c.Dir)
	case c.Durability != middleware.DurabilityOff && !filepath.IsAbs(c.Dir):
		v.errorf("ledger.dir", "must be an absolute path, got %q", c.Dir)
	}
}
