package operator

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/strictdecode"
)

// Fleet is the view of the other sidecars.
type Fleet struct {
	Name      string   `toml:"name"`
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"`
	Seeds     []string `toml:"seeds"`
	SeedsFile string   `toml:"seeds_file"`
	Networks  []string `toml:"networks"`

	Probe     strictdecode.Duration `toml:"probe"`
	Timeout   strictdecode.Duration `toml:"timeout"`
	Gossip    strictdecode.Duration `toml:"gossip"`
	Sync      strictdecode.Duration `toml:"sync"`
	Retry     strictdecode.Duration `toml:"retry"`
	Forget    strictdecode.Duration `toml:"forget"`
	KeepWords strictdecode.Duration `toml:"keep_words"`
	Indirect  int64                 `toml:"indirect"`
	Suspicion float64               `toml:"suspicion"`
	Most      int64                 `toml:"most"`
	NoWords   bool                  `toml:"no_words"`
	NoCount   bool                  `toml:"no_count"`
	Translate []Translate           `toml:"translate"`

	// What check makes of the texts.
	Self    netip.AddrPort   `toml:"-"`
	Peers   []netip.AddrPort `toml:"-"`
	Allowed *netipx.IPSet    `toml:"-"`
}

// Translate is how the addresses of a prefix are reached from here: one by one under another of the same length.
type Translate struct {
	From string `toml:"from"`
	To   string `toml:"to"`

	Prefix, As netip.Prefix `toml:"-"`
}

const (
	mostSeeds      = 64
	mostSeedsFile  = 64 << 10
	mostTranslates = 64
)

// check fills in the defaults and tells what cannot be used.
func (f *Fleet) check(fault func(key, format string, args ...any)) {
	if f.Name == "" || len(f.Name) > cluster.MaxClusterNameLength {
		fault("fleet.name", "a name of 1 to %d bytes is wanted: sidecars of another fleet are not listened to", cluster.MaxClusterNameLength)
	}
	address := func(key, text string, port bool) netip.AddrPort {
		at, err := netip.ParseAddrPort(text)
		if err != nil || port && at.Port() == 0 {
			fault(key, "%q is no address such as \"10.0.0.4:7946\"", text)
		}
		return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
	}
	listen := address("fleet.listen", f.Listen, true)
	if f.Advertise == "" {
		f.Advertise = f.Listen
		if listen.IsValid() && listen.Addr().IsUnspecified() {
			fault("fleet.advertise", "is wanted where listen is every address, %s", f.Listen)
		}
	}
	f.Self = address("fleet.advertise", f.Advertise, true)
	f.Allowed = networkSet("fleet.networks", f.Networks, fault)
	f.peers(fault, address)
	if f.Allowed != nil && f.Self.IsValid() && !f.Allowed.Contains(f.Self.Addr()) {
		fault("fleet.advertise", "%s is in none of the networks: the others would not listen to it", f.Self)
	}
	bounded(fault, "fleet.probe", &f.Probe, time.Second, 50*time.Millisecond, time.Minute)
	probe := time.Duration(f.Probe)
	bounded(fault, "fleet.timeout", &f.Timeout, probe*3/10, 5*time.Millisecond, time.Minute)
	if f.Timeout >= f.Probe {
		fault("fleet.timeout", "%v is not below probe, %v", time.Duration(f.Timeout), probe)
	}
	bounded(fault, "fleet.gossip", &f.Gossip, probe/5, 5*time.Millisecond, time.Minute)
	bounded(fault, "fleet.sync", &f.Sync, 30*probe, 100*time.Millisecond, time.Hour)
	bounded(fault, "fleet.retry", &f.Retry, 5*probe, 50*time.Millisecond, time.Hour)
	bounded(fault, "fleet.forget", &f.Forget, time.Hour, 5*time.Second, 7*24*time.Hour)
	bounded(fault, "fleet.keep_words", &f.KeepWords, 30*time.Second, time.Second, time.Hour)
	number(fault, "fleet.indirect", &f.Indirect, 3, 1, 10)
	number(fault, "fleet.most", &f.Most, 10_000, 2, 100_000)
	if f.Suspicion == 0 {
		f.Suspicion = 4
	}
	if !(f.Suspicion >= 1 && f.Suspicion <= 100) {
		fault("fleet.suspicion", "%v is not from 1 to 100", f.Suspicion)
	}
	if len(f.Translate) > mostTranslates {
		fault("fleet.translate", "%d entries, at most %d", len(f.Translate), mostTranslates)
	}
	for i := range f.Translate {
		t := &f.Translate[i]
		var err, other error
		t.Prefix, err = netip.ParsePrefix(t.From)
		t.As, other = netip.ParsePrefix(t.To)
		if err != nil || other != nil || t.Prefix.Bits() != t.As.Bits() || t.Prefix.Addr().Is4() != t.As.Addr().Is4() {
			fault("fleet.translate", "entry %d, %q to %q: two networks of one length are wanted, such as \"10.1.0.0/16\"", i+1, t.From, t.To)
		}
	}
}

// networkSet reads the networks of peers.
func networkSet(key string, list []string, fault func(key, format string, args ...any)) *netipx.IPSet {
	if len(list) == 0 {
		fault(key, "the networks of the others are wanted, such as [\"10.0.0.0/8\"]: there is no sign-in, and nobody else is listened to")
		return nil
	}
	var b netipx.IPSetBuilder
	for _, text := range list {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			fault(key, "%q is no network such as \"10.0.0.0/8\"", text)
			return nil
		}
		if p.Bits() == 0 {
			fault(key, "%s is everybody", text)
			return nil
		}
		b.AddPrefix(p)
	}
	set, _ := b.IPSet()
	return set
}

// peers are the seeds of the list and of the file, one a line, with # before remarks.
func (f *Fleet) peers(fault func(key, format string, args ...any), address func(key, text string, port bool) netip.AddrPort) {
	for _, text := range f.Seeds {
		f.Peers = append(f.Peers, address("fleet.seeds", text, true))
	}
	if f.SeedsFile != "" {
		if !filepath.IsAbs(f.SeedsFile) {
			fault("fleet.seeds_file", "%q is no absolute path", f.SeedsFile)
			return
		}
		text, err := os.ReadFile(f.SeedsFile)
		if err != nil {
			fault("fleet.seeds_file", "%v", err)
			return
		}
		if len(text) > mostSeedsFile {
			fault("fleet.seeds_file", "%d bytes, at most %d", len(text), mostSeedsFile)
			return
		}
		n := 0
		for line := range strings.Lines(string(text)) {
			n++
			line, _, _ = strings.Cut(line, "#")
			if line = strings.TrimSpace(line); line == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(line); err != nil {
				fault("fleet.seeds_file", "%s:%d: %q is no address", f.SeedsFile, n, line)
				continue
			}
			f.Peers = append(f.Peers, address("fleet.seeds_file", line, true))
		}
	}
	if len(f.Peers) == 0 || len(f.Peers) > mostSeeds {
		fault("fleet.seeds", "%d seeds, and 1 to %d are wanted", len(f.Peers), mostSeeds)
	}
	for _, at := range f.Peers {
		if f.Allowed != nil && at.IsValid() && !f.Allowed.Contains(at.Addr()) {
			fault("fleet.seeds", "%s is in none of the networks", at)
		}
	}
}

// Summary is what of the table is worth a line in the log.
func (f *Fleet) Summary() string {
	return fmt.Sprintf("%s at %s, %d seeds", f.Name, f.Self, len(f.Peers))
}
