package controlplane

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"

	"hazelwing/internal/strictdecode"
)

// Kind is a key of a snapshot, or of what cannot be in one.
type SettingRule struct {
	Key           string
	EffectiveFrom string // the instant from which it does; empty: it cannot change while running
	FixedReason   string // why it cannot
}

// Why a kind is turned down.
const (
	inHand  = "a request in hand relies on it: it can change with a restart alone"
	atStart = "it is settled at the process's start"

	nextChoice = "the next choice of a server"
)

// kinds is the table of docs/design/controlplane.md. A key that is none of these is an error as well: an older program must refuse
// what it does not know.
var kinds = []SettingRule{
	{Key: "discovery.addr", EffectiveFrom: "the next subscription, which begins at once; calls in flight go on with the list that is held"},
	{Key: "fleet.sidecars", EffectiveFrom: "the next count of the fleet that is told, within a second"},
	{Key: "log.level", EffectiveFrom: "the next line"},
	{Key: "limits.max_attempts", EffectiveFrom: "the next decision on any request, those in hand too: none of their attempts is taken back; never more than the platform allows"},
	{Key: "limits.second_copies", EffectiveFrom: "the next decision; copies that are out are not taken back; never more than the platform allows"},
	{Key: "price.cross_zone", EffectiveFrom: nextChoice},
	{Key: "price.open", EffectiveFrom: nextChoice},
	{Key: "price.handshake", EffectiveFrom: nextChoice},
	{Key: "price.probe", EffectiveFrom: nextChoice},
	{Key: "class.NAME.worth", EffectiveFrom: "the next admission"},
	{Key: "class.NAME.late_share", EffectiveFrom: "the next admission"},
	{Key: "tenant.NAME.fraction", EffectiveFrom: "the next admission"},
	{Key: "class.NAME.effect", FixedReason: inHand},
	{Key: "class.NAME.group", FixedReason: inHand},
	{Key: "class.NAME.window", FixedReason: inHand},
	{Key: "class.NAME.deadline", FixedReason: inHand},
	{Key: "class.NAME.aim", FixedReason: inHand},
	{Key: "class.NAME.stream", FixedReason: inHand},
	{Key: "limits.connect_timeout", FixedReason: atStart},
	{Key: "cold", FixedReason: "what a started server bears is counted from it: " + inHand},
	{Key: "classes", FixedReason: "effect, group and window of repeats: " + inHand},
	{Key: "ledger", FixedReason: "what may have run is remembered by it: " + inHand},
	{Key: "graphql", FixedReason: "classes and keys of fields: " + inHand},
	{Key: "tenants", FixedReason: inHand},
	{Key: "members", FixedReason: atStart},
	{Key: "admin", FixedReason: atStart},
	{Key: "recovery", FixedReason: atStart},
	{Key: "config", FixedReason: atStart},
	{Key: "listen", FixedReason: atStart},
	{Key: "fleet", FixedReason: atStart},
}

// Kinds is the table of what can be in a snapshot, and of what is turned down by name.
func SettingRules() []SettingRule { return slices.Clone(kinds) }

// The bounds of values.
const (
	mostSidecars = 100_000
	mostAttempts = 16
	mostPrice    = 1e6
	mostWorth    = 1e6
	mostNames    = 256 // of classes, and of tenants
	mostFaults   = 20  // that are told of one text
)

// Parse checks a text whole: size, syntax, keys, values and what may change while running. Its error joins strict.Faults, with line and
// column. The Snapshot's Stamp has the hash alone. Any goroutine may call it; it keeps text.
func ParseSnapshot(text []byte) (*Snapshot, error) {
	switch {
	case len(text) > MaxSnapshotSize:
		return nil, strictdecode.Fault{Line: 1, Column: 1, Text: fmt.Sprintf("%d bytes are more than %d", len(text), MaxSnapshotSize)}
	case len(text) == 0:
		return nil, strictdecode.Fault{Line: 1, Column: 1, Text: "nothing in it: a comment is enough for a snapshot that sets nothing"}
	}
	s := &Snapshot{Text: text, Revision: Revision{Hash: HashText(text)}}
	var all []error
	for _, f := range strictdecode.Decode(text, &s.Settings) {
		if key, ok := strings.CutPrefix(f.Text, "no such key: "); ok {
			f.Text = unknown(key)
		}
		all = append(all, f)
	}
	if len(all) > 0 {
		return nil, join(all)
	}
	where := strictdecode.Places(text)
	s.Settings.check(func(key, format string, args ...any) {
		at := where.At(key)
		all = append(all, strictdecode.Fault{Line: at.Line, Column: at.Column, Text: key + ": " + fmt.Sprintf(format, args...)})
	})
	if len(all) > 0 {
		return nil, join(all)
	}
	return s, nil
}

// join tells the first of many faults, and how many more there are.
func join(all []error) error {
	if more := len(all) - mostFaults; more > 0 {
		all = append(all[:mostFaults:mostFaults], fmt.Errorf("and %d more", more))
	}
	return errors.Join(all...)
}

// covers says whether a key is of this kind; NAME in a kind is any name.
func (k SettingRule) covers(key string) bool {
	if before, after, named := strings.Cut(k.Key, "NAME"); named {
		return strings.HasPrefix(key, before) && strings.HasSuffix(key, after)
	}
	return key == k.Key || strings.HasPrefix(key, k.Key+".")
}

// unknown says why a key is turned down.
func unknown(key string) string {
	for _, k := range kinds {
		if k.FixedReason != "" && k.covers(key) {
			return key + ": cannot change while running: " + k.FixedReason
		}
	}
	return "no such key: " + key
}

func (s *Settings) check(fault func(key, format string, args ...any)) {
	if d := s.Discovery; d != nil && d.Addr != nil && !isAddress(*d.Addr) {
		fault("discovery.addr", "%q is no address such as \"10.0.0.2:8500\"", *d.Addr)
	}
	if f := s.Fleet; f != nil && f.Sidecars != nil && (*f.Sidecars < 1 || *f.Sidecars > mostSidecars) {
		fault("fleet.sidecars", "%d is not from 1 to %d", *f.Sidecars, mostSidecars)
	}
	if l := s.Log; l != nil && l.Level != nil && !slices.Contains([]string{"debug", "info", "warn", "error"}, *l.Level) {
		fault("log.level", "%q is not \"debug\", \"info\", \"warn\" or \"error\"", *l.Level)
	}
	if l := s.Limits; l != nil && l.MaxAttempts != nil && (*l.MaxAttempts < 1 || *l.MaxAttempts > mostAttempts) {
		fault("limits.max_attempts", "%d is not from 1 to %d", *l.MaxAttempts, mostAttempts)
	}
	number := func(key string, x *float64, above bool, most float64) {
		switch {
		case x == nil || *x > 0 && *x <= most || *x == 0 && !above:
		case above:
			fault(key, "%v is not above 0 and up to %v", *x, most)
		default:
			fault(key, "%v is not from 0 to %v", *x, most)
		}
	}
	if p := s.Price; p != nil {
		number("price.cross_zone", p.CrossZone, false, mostPrice)
		number("price.open", p.Open, false, mostPrice)
		number("price.handshake", p.Handshake, false, mostPrice)
		number("price.probe", p.Probe, false, mostPrice)
	}
	if len(s.Class) > mostNames {
		fault("class", "%d classes, at most %d", len(s.Class), mostNames)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Class)) {
		number("class."+name+".worth", s.Class[name].Worth, true, mostWorth)
		number("class."+name+".late_share", s.Class[name].LateShare, false, 1)
	}
	if len(s.Tenant) > mostNames {
		fault("tenant", "%d tenants, at most %d", len(s.Tenant), mostNames)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Tenant)) {
		number("tenant."+name+".fraction", s.Tenant[name].Fraction, false, 1)
	}
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" || strings.ContainsAny(host, " \t\r\n/") {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// HashOf is a text's hash, as in a Stamp.
func HashText(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Check says what is wrong with a frame that came from elsewhere, before its text is read: nil, or errForeign or errBroken.
func (f *Frame) Validate(fleet string) error {
	switch {
	case f.Cluster != fleet:
		return fmt.Errorf("%w %q", errForeign, shorten(f.Cluster, MaxNameLength))
	case len(f.Text) == 0 || len(f.Text) > MaxSnapshotSize:
		return fmt.Errorf("%w: %d bytes of text", errBroken, len(f.Text))
	case f.Revision.Epoch == 0 || f.Revision.Version == 0:
		return fmt.Errorf("%w: no stamp", errBroken)
	case f.Revision.Hash != HashText(f.Text):
		return fmt.Errorf("%w: its text is not that of its hash", errBroken)
	}
	return nil
}

var (
	errForeign = errors.New("a frame of another fleet")
	errBroken  = errors.New("a broken frame")
)

// shorten cuts a text to a number of bytes and makes it printable ASCII that JSON writes as it is.
func shorten(text string, most int) string {
	if len(text) > most {
		text = text[:most]
	}
	return strings.Map(func(r rune) rune {
		switch {
		case r == '\n':
			return ';'
		case r < ' ' || r > '~' || strings.ContainsRune(`<>&"\`, r): // JSON writes them longer
			return '?'
		}
		return r
	}, text)
}
