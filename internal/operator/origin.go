package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go4.org/netipx"

	"hazelwing/internal/cluster"
	"hazelwing/internal/controlplane"
	"hazelwing/internal/strictdecode"
)

// Origin is the content of the file of an origin, a replica of the configuration service.
type Origin struct {
	Name         string                `toml:"name"`
	Listen       string                `toml:"listen"`
	Dir          string                `toml:"dir"`
	Cluster      string                `toml:"fleet"`
	Epoch        int64                 `toml:"epoch"`
	Peers        []OriginPeer          `toml:"peers"`
	Networks     []string              `toml:"networks"`
	TickInterval strictdecode.Duration `toml:"tick"`

	// AllowedNetworks, OriginAddrs and OriginNames are not in the file; validate sets them.
	AllowedNetworks *netipx.IPSet     `toml:"-"`
	OriginAddrs     map[string]string `toml:"-"` // addresses of all origins by name
	OriginNames     []string          `toml:"-"` // names of all origins, sorted
}

// OriginPeer is one of the origins. The file of an origin also lists that origin itself.
type OriginPeer struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// LoadOrigin reads and validates the file of an origin. If its content is invalid, the error is a *FileError.
func LoadOrigin(path string) (*Origin, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("origin's file: %w", err)
	}
	o := new(Origin)
	decodeErrors := strictdecode.Decode(text, o)
	if len(decodeErrors) == 0 {
		positions := strictdecode.FindPositions(text)
		o.validate(validator{report: func(key, text string) {
			err := positions.Errorf(key, "%s", text)
			// An error about a missing key has line 0 and column 0, and is reported at the start of the file.
			err.Line = max(err.Line, 1)
			err.Column = max(err.Column, 1)
			decodeErrors = append(decodeErrors, err)
		}})
	}
	if len(decodeErrors) > 0 {
		return nil, &FileError{Path: path, Errs: stableErrors(decodeErrors)}
	}
	return o, nil
}

// validate parses addresses, fills in the defaults and reports invalid values.
func (o *Origin) validate(v validator) {
	switch {
	case o.Name == "":
		v.errorf("name", "must have 1 to %d bytes, got none", controlplane.MaxNameLength)
	case len(o.Name) > controlplane.MaxNameLength:
		v.errorf("name", "must have 1 to %d bytes, got %d", controlplane.MaxNameLength, len(o.Name))
	}
	v.address("listen", o.Listen, originExample)
	if !filepath.IsAbs(o.Dir) {
		v.errorf("dir", "must be an absolute path, got %q", o.Dir)
	}
	switch {
	case o.Cluster == "":
		v.errorf("fleet", "must be the name of the sidecars' fleet, 1 to %d bytes, got none",
			cluster.MaxClusterNameLength)
	case len(o.Cluster) > cluster.MaxClusterNameLength:
		v.errorf("fleet", "must be the name of the sidecars' fleet, 1 to %d bytes, got %d",
			cluster.MaxClusterNameLength, len(o.Cluster))
	}
	if o.Epoch < 1 {
		v.errorf("epoch", "must be at least 1, got %d: all origins have the same epoch, "+
			"which is raised each time their stores are created again", o.Epoch)
	}
	o.validatePeers(v)
	v.duration("tick", &o.TickInterval, 50*time.Millisecond, 10*time.Millisecond, time.Second)
	o.AllowedNetworks = v.networks("networks", o.Networks)
}

// validatePeers collects the names and addresses of all origins.
func (o *Origin) validatePeers(v validator) {
	if len(o.Peers) == 0 || len(o.Peers) > maxOrigins {
		v.errorf("peers", "must list 1 to %d origins, this one included, got %d", maxOrigins, len(o.Peers))
	}
	o.OriginAddrs = map[string]string{}
	for _, peer := range o.Peers {
		if _, err := parsePeerAddress(peer.Addr, originExample); err != nil {
			v.errorf("peers", "the address of %q %v", peer.Name, err)
		}
		switch {
		case peer.Name == "":
			v.errorf("peers", "the origin at %q has an empty name", peer.Addr)
		case o.OriginAddrs[peer.Name] != "":
			v.errorf("peers", "the name %q is listed twice", peer.Name)
		}
		o.OriginAddrs[peer.Name] = peer.Addr
		o.OriginNames = append(o.OriginNames, peer.Name)
	}
	if len(o.Peers) > 0 && !slices.Contains(o.OriginNames, o.Name) {
		v.errorf("peers", "must list this origin itself, %q", o.Name)
	}
	slices.Sort(o.OriginNames)
}
