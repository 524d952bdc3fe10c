// Package operator reads the operator's file: what is set beyond the platform's configuration. All of it is off where
// there is no file. An unknown key, a value of another kind and one that cannot be used are errors that name the file,
// the line and the column; docs/operators/configuration.md describes each key.
package operator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"hazelwing/internal/idempotency/middleware"
	"hazelwing/internal/strictdecode"
)

// Config is what the file says; nil tables are off.
type Config struct {
	Ledger   *Ledger       `toml:"ledger"`
	Admin    *Admin        `toml:"admin"`
	GraphQL  *GraphQL      `toml:"graphql"`
	Members  *Members      `toml:"members"`
	Fleet    *Fleet        `toml:"fleet"`
	Recovery *Recovery     `toml:"recovery"`
	Config   *Distribution `toml:"config"`

	path  string
	where strictdecode.Positions
}

// At is where a key stands in the file, or its table: "FILE:LINE:COLUMN".
func (c *Config) At(key string) string {
	at := c.where.Of(key)
	return fmt.Sprintf("%s:%d:%d", c.path, at.Line, at.Column)
}

// Ledger is the ledger of effects.
type Ledger struct {
	Dir         string                   `toml:"dir"`
	Durable     middleware.Durability    `toml:"durable"`
	SyncEvery   strictdecode.Duration    `toml:"sync_every"`
	OnFailure   middleware.FailurePolicy `toml:"on_failure"`
	Remember    strictdecode.Duration    `toml:"remember"`
	MaxEntries  int64                    `toml:"max_entries"`
	SegmentSize Size                     `toml:"segment_size"`
	MaxSize     Size                     `toml:"max_size"`
}

// Admin is the endpoint for operators.
type Admin struct {
	Listen string `toml:"listen"`
}

// The defaults, and the bounds of what can be set.
const (
	defaultSync     = 100 * time.Millisecond
	defaultRemember = 10 * time.Minute
	defaultEntries  = 100_000
	defaultSegment  = 4 << 20
	defaultMax      = 256 << 20

	mostSync      = 10 * time.Second
	leastRemember = 10 * time.Second
	mostRemember  = 7 * 24 * time.Hour
	leastEntries  = 100
	mostEntries   = 10_000_000
	leastSegment  = 64 << 10
	mostSegment   = 256 << 20
	leastSegments = 8 // max_size is at least so many segments
	mostSize      = 64 << 30
)

// Size is a number of bytes, written as "4MiB".
type Size int64

var sizeForm = regexp.MustCompile(`^([0-9]{1,12})(B|KiB|MiB|GiB)$`)

// UnmarshalText reads one.
func (s *Size) UnmarshalText(text []byte) error {
	m := sizeForm.FindStringSubmatch(string(text))
	if m == nil {
		return fmt.Errorf("%q is no size such as \"64KiB\", \"4MiB\" or \"1GiB\"", text)
	}
	n, _ := strconv.ParseInt(m[1], 10, 64)
	shift := map[string]int{"B": 0, "KiB": 10, "MiB": 20, "GiB": 30}[m[2]]
	if n > math.MaxInt64>>shift {
		return fmt.Errorf("%q is too large", text)
	}
	*s = Size(n << shift)
	return nil
}

// Load reads a file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		var lines []string
		for _, e := range unwrap(err) {
			lines = append(lines, fmt.Sprintf("%s:%v", path, e))
		}
		return nil, errors.New(strings.Join(lines, "\n"))
	}
	c.path = path
	return c, nil
}

func unwrap(err error) []error {
	if list, ok := err.(interface{ Unwrap() []error }); ok {
		return list.Unwrap()
	}
	return []error{err}
}

// Parse reads a file's text. Its error joins strictdecode.DecodeErrors.
func Parse(text []byte) (*Config, error) {
	c := new(Config)
	var all []error
	for _, f := range strictdecode.Decode(text, c) {
		all = append(all, f)
	}
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	where := strictdecode.FindPositions(text)
	c.where = where
	c.check(func(key, format string, args ...any) {
		all = append(all, where.Errorf(key, format, args...))
	})
	if len(all) > 0 {
		return nil, errors.Join(all...)
	}
	return c, nil
}

// check fills in the defaults and tells what cannot be used.
func (c *Config) check(fault func(key, format string, args ...any)) {
	if l := c.Ledger; l != nil {
		l.check(fault)
	}
	if g := c.GraphQL; g != nil {
		g.check(fault)
	}
	if m := c.Members; m != nil {
		m.check(fault)
	}
	if f := c.Fleet; f != nil {
		f.check(fault)
	}
	if r := c.Recovery; r != nil {
		r.check(fault)
		if c.Fleet == nil {
			fault("recovery", "needs [fleet]: the list is had from its members")
		}
	}
	if d := c.Config; d != nil {
		d.check(fault)
		if c.Fleet == nil {
			fault("config", "needs [fleet]: the configuration is had from its members")
		}
	}
	if a := c.Admin; a != nil {
		at, err := netip.ParseAddrPort(a.Listen)
		switch {
		case err != nil:
			fault("admin.listen", "%q is no address such as \"127.0.0.1:9180\"", a.Listen)
		case !at.Addr().IsLoopback():
			fault("admin.listen", "%s is not on loopback: the endpoint asks nobody who they are", a.Listen)
		}
	}
}

// bounded sets a duration's default, and tells where it is not within its bounds.
func bounded(fault func(key, format string, args ...any), key string, d *strictdecode.Duration, to, least, most time.Duration) {
	*d = cmp.Or(*d, strictdecode.Duration(to))
	if x := time.Duration(*d); x < least || x > most {
		fault(key, "%v is not from %v to %v", x, least, most)
	}
}

// number does the same for a number.
func number(fault func(key, format string, args ...any), key string, n *int64, to, least, most int64) {
	if *n = cmp.Or(*n, to); *n < least || *n > most {
		fault(key, "%d is not from %d to %d", *n, least, most)
	}
}

func (l *Ledger) check(fault func(key, format string, args ...any)) {
	between := func(key string, v, least, most any, ok bool) {
		if !ok {
			fault(key, "%v is not from %v to %v", v, least, most)
		}
	}
	switch l.Durable {
	case "":
		l.Durable = middleware.DurabilityAlways
	case middleware.DurabilityAlways, middleware.DurabilityBatch, middleware.DurabilityOff:
	default:
		fault("ledger.durable", "%q is not \"always\", \"batch\" or \"off\"", l.Durable)
	}
	switch l.OnFailure {
	case "":
		l.OnFailure = middleware.RejectOnFailure
	case middleware.RejectOnFailure, middleware.ContinueOnFailure:
	default:
		fault("ledger.on_failure", "%q is not \"refuse\" or \"continue\"", l.OnFailure)
	}
	switch {
	case l.Durable == middleware.DurabilityOff && l.Dir != "":
		fault("ledger.dir", "is of no use where durable is \"off\"")
	case l.Durable != middleware.DurabilityOff && !filepath.IsAbs(l.Dir):
		fault("ledger.dir", "%q is no absolute path", l.Dir)
	}
	if l.SyncEvery != 0 && l.Durable != middleware.DurabilityBatch {
		fault("ledger.sync_every", "goes with durable = \"batch\"")
	}
	if l.SegmentSize == 0 {
		l.SegmentSize = defaultSegment
	}
	if l.MaxSize == 0 {
		l.MaxSize = max(defaultMax, leastSegments*l.SegmentSize)
	}
	bounded(fault, "ledger.sync_every", &l.SyncEvery, defaultSync, time.Millisecond, mostSync)
	bounded(fault, "ledger.remember", &l.Remember, defaultRemember, leastRemember, mostRemember)
	number(fault, "ledger.max_entries", &l.MaxEntries, defaultEntries, leastEntries, mostEntries)
	between("ledger.segment_size", l.SegmentSize, "64KiB", "256MiB", l.SegmentSize >= leastSegment && l.SegmentSize <= mostSegment)
	between("ledger.max_size", l.MaxSize, "8 segments", "64GiB", l.MaxSize >= leastSegments*l.SegmentSize && l.MaxSize <= mostSize)
}
