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

// Origin is the file of an origin, a replica of the configuration service.
type Origin struct {
	Name         string                `toml:"name"`
	Listen       string                `toml:"listen"`
	Dir          string                `toml:"dir"`
	Cluster      string                `toml:"fleet"`
	Epoch        int64                 `toml:"epoch"`
	Peers        []OriginPeer          `toml:"peers"`
	Networks     []string              `toml:"networks"`
	TickInterval strictdecode.Duration `toml:"tick"`

	// What validate parses.
	AllowedNetworks *netipx.IPSet     `toml:"-"`
	OriginAddrs     map[string]string `toml:"-"` // of all origins, by name
	OriginNames     []string          `toml:"-"` // sorted
}

// OriginPeer is one of the origins; an origin's file lists the origin itself too.
type OriginPeer struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// LoadOrigin reads and validates the file of an origin. What cannot be used in it is a *FileError.
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
			// A key that the file does not have has no position: its error is at the file's start.
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

// validate parses addresses, fills in the defaults and reports values that cannot be used.
func (o *Origin) validate(v validator) {
	if o.Name == "" || len(o.Name) > controlplane.MaxNameLength {
		v.errorf("name", "a name of 1 to %d bytes is wanted", controlplane.MaxNameLength)
	}
	v.address("listen", o.Listen, originExample)
	if !filepath.IsAbs(o.Dir) {
		v.errorf("dir", "%q is no absolute path", o.Dir)
	}
	if o.Cluster == "" || len(o.Cluster) > cluster.MaxClusterNameLength {
		v.errorf("fleet", "the fleet's name is wanted, 1 to %d bytes, as the sidecars have it",
			cluster.MaxClusterNameLength)
	}
	if o.Epoch < 1 {
		v.errorf("epoch", "%d: 1 or more is wanted, the same for all origins, "+
			"and a higher one each time they are founded anew", o.Epoch)
	}
	o.validatePeers(v)
	v.duration("tick", &o.TickInterval, 50*time.Millisecond, 10*time.Millisecond, time.Second)
	o.AllowedNetworks = v.networks("networks", o.Networks)
}

// validatePeers collects the names and addresses of all origins.
func (o *Origin) validatePeers(v validator) {
	if len(o.Peers) == 0 || len(o.Peers) > maxOrigins {
		v.errorf("peers", "%d origins, and 1 to %d are wanted, this one among them", len(o.Peers), maxOrigins)
	}
	o.OriginAddrs = map[string]string{}
	for _, peer := range o.Peers {
		if _, ok := parsePeerAddress(peer.Addr); !ok {
			v.errorf("peers", "%q: %q is no address such as %q", peer.Name, peer.Addr, originExample)
		}
		if peer.Name == "" || o.OriginAddrs[peer.Name] != "" {
			v.errorf("peers", "the name %q is empty, or there twice", peer.Name)
		}
		o.OriginAddrs[peer.Name] = peer.Addr
		o.OriginNames = append(o.OriginNames, peer.Name)
	}
	if len(o.Peers) > 0 && !slices.Contains(o.OriginNames, o.Name) {
		v.errorf("peers", "%q, this origin itself, is not among them", o.Name)
	}
	slices.Sort(o.OriginNames)
}
