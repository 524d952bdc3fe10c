package operator

import (
	"path/filepath"
	"slices"
	"time"

	"hazelwing/internal/strictdecode"
)

// ControlPlane is the table [config]. It enables configuration that changes at runtime, which comes from the origins
// and is relayed by the other members of the cluster.
type ControlPlane struct {
	// Origins are the addresses of the replicas of the configuration service.
	Origins []string `toml:"origins"`
	// CacheDir is the absolute path of the directory that holds the last applied snapshot.
	CacheDir string `toml:"dir"`
	// ReadyTimeout limits how long the sidecar waits for a snapshot when it starts.
	ReadyTimeout strictdecode.Duration `toml:"wait"`
	// Roots is the number of members that follow an origin directly.
	Roots int64 `toml:"ask"`
	// FanOut is the number of members that follow the same member.
	FanOut int64 `toml:"fan"`
}

// maxOrigins limits the number of origins. With more origins, a quorum would not answer in reasonable time. See
// docs/design/controlplane.md.
const maxOrigins = 7

// originExample is the example address in error messages.
const originExample = "10.0.0.9:7950"

// validate fills in the defaults and reports invalid values.
func (c *ControlPlane) validate(v validator) {
	if len(c.Origins) == 0 || len(c.Origins) > maxOrigins {
		v.errorf("config.origins", "must list 1 to %d origins, got %d", maxOrigins, len(c.Origins))
	}
	for i, text := range c.Origins {
		v.peerAddress("config.origins", text, originExample)
		if slices.Contains(c.Origins[:i], text) {
			v.errorf("config.origins", "%q is listed twice", text)
		}
	}
	if !filepath.IsAbs(c.CacheDir) {
		v.errorf("config.dir", "must be an absolute path, got %q: the directory holds the last applied snapshot",
			c.CacheDir)
	}
	v.duration("config.wait", &c.ReadyTimeout, 3*time.Second, 100*time.Millisecond, 30*time.Second)
	v.integer("config.ask", &c.Roots, 40, 1, maxRoots)
	v.integer("config.fan", &c.FanOut, 4, 1, maxFanOut)
}
