package operator

import (
	"path/filepath"
	"slices"
	"time"

	"hazelwing/internal/strictdecode"
)

// ControlPlane is the table [config]: configuration that changes at runtime comes from the origins, by way of the other
// members of the cluster.
type ControlPlane struct {
	// Origins are the addresses of the replicas of the configuration service.
	Origins []string `toml:"origins"`
	// CacheDir has the last snapshot that was applied.
	CacheDir string `toml:"dir"`
	// ReadyTimeout is how long the start waits for a snapshot.
	ReadyTimeout strictdecode.Duration `toml:"wait"`
	// Roots is how many members follow an origin themselves.
	Roots int64 `toml:"ask"`
	// FanOut is how many members follow one.
	FanOut int64 `toml:"fan"`
}

// maxOrigins is the number of origins of which a quorum still answers in reasonable time; docs/design/controlplane.md.
const maxOrigins = 7

// originExample is the address that error messages give as an example.
const originExample = "10.0.0.9:7950"

// validate fills in the defaults and reports values that cannot be used.
func (c *ControlPlane) validate(v validator) {
	if len(c.Origins) == 0 || len(c.Origins) > maxOrigins {
		v.errorf("config.origins", "%d origins, and 1 to %d are wanted", len(c.Origins), maxOrigins)
	}
	for i, text := range c.Origins {
		v.peerAddress("config.origins", text, originExample)
		if slices.Contains(c.Origins[:i], text) {
			v.errorf("config.origins", "%q is there twice", text)
		}
	}
	if !filepath.IsAbs(c.CacheDir) {
		v.errorf("config.dir", "%q is no absolute path: what was in force last is kept there", c.CacheDir)
	}
	v.duration("config.wait", &c.ReadyTimeout, 3*time.Second, 100*time.Millisecond, 30*time.Second)
	v.integer("config.ask", &c.Roots, 40, 1, maxRoots)
	v.integer("config.fan", &c.FanOut, 4, 1, maxFanOut)
}
