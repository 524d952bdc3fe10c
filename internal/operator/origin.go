package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/strictdecode"
)

// Origin is the file of one of the machines set aside.
type Origin struct {
	Name     string                `toml:"name"`
	Listen   string                `toml:"listen"`
	Dir      string                `toml:"dir"`
	Fleet    string                `toml:"fleet"`
	Epoch    int64                 `toml:"epoch"`
	Peers    []OriginPeer          `toml:"peers"`
	Networks []string              `toml:"networks"`
	Tick     strictdecode.Duration `toml:"tick"`

	// What check makes of the texts.
	Allowed *netipx.IPSet     `toml:"-"`
	Addrs   map[string]string `toml:"-"` // of all origins, by name
	Names   []string          `toml:"-"` // in their order
}

// OriginPeer is an origin, this one included.
type OriginPeer struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// LoadOrigin reads an origin's file. Its error names file, line and column of each fault.
func LoadOrigin(path string) (*Origin, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("origin's file: %w", err)
	}
	o := new(Origin)
	all := strictdecode.Decode(text, o)
	if len(all) == 0 {
		where := strictdecode.FindPositions(text)
		o.check(func(key, format string, args ...any) {
			err := where.Errorf(key, format, args...)
			err.Line, err.Column = max(err.Line, 1), max(err.Column, 1)
			all = append(all, err)
		})
	}
	var lines []string
	for _, f := range all {
		lines = append(lines, fmt.Sprintf("%s:%v", path, f))
	}
	if len(lines) > 0 {
		return nil, errors.New(strings.Join(lines, "\n"))
	}
	return o, nil
}

func (o *Origin) check(fault func(key, format string, args ...any)) {
	if o.Name == "" || len(o.Name) > controlplane.MaxNameLength {
		fault("name", "a name of 1 to %d bytes is wanted", controlplane.MaxNameLength)
	}
	if _, err := netip.ParseAddrPort(o.Listen); err != nil {
		fault("listen", "%q is no address such as \"10.0.0.9:7950\"", o.Listen)
	}
	if !filepath.IsAbs(o.Dir) {
		fault("dir", "%q is no absolute path", o.Dir)
	}
	if o.Fleet == "" || len(o.Fleet) > cluster.MaxClusterNameLength {
		fault("fleet", "the fleet's name is wanted, 1 to %d bytes, as the sidecars have it", cluster.MaxClusterNameLength)
	}
	if o.Epoch < 1 {
		fault("epoch", "%d: 1 or more is wanted, the same for all origins, and a higher one each time they are founded anew", o.Epoch)
	}
	if len(o.Peers) == 0 || len(o.Peers) > mostOrigins {
		fault("peers", "%d origins, and 1 to %d are wanted, this one among them", len(o.Peers), mostOrigins)
	}
	o.Addrs = map[string]string{}
	for _, p := range o.Peers {
		if at, err := netip.ParseAddrPort(p.Addr); err != nil || at.Port() == 0 {
			fault("peers", "%q: %q is no address such as \"10.0.0.9:7950\"", p.Name, p.Addr)
		}
		if p.Name == "" || o.Addrs[p.Name] != "" {
			fault("peers", "the name %q is empty, or there twice", p.Name)
		}
		o.Addrs[p.Name] = p.Addr
		o.Names = append(o.Names, p.Name)
	}
	if len(o.Peers) > 0 && !slices.Contains(o.Names, o.Name) {
		fault("peers", "%q, this origin itself, is not among them", o.Name)
	}
	slices.Sort(o.Names)
	bounded(fault, "tick", &o.Tick, 50*time.Millisecond, 10*time.Millisecond, time.Second)
	o.Allowed = networkSet("networks", o.Networks, fault)
}
