package operator

import (
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"hazelwing/internal/strictdecode"
)

// Distribution is [config]: what can change while running comes from the origins, by way of the fleet.
type Distribution struct {
	Origins []string              `toml:"origins"`
	Dir     string                `toml:"dir"`
	Wait    strictdecode.Duration `toml:"wait"`
	Ask     int64                 `toml:"ask"`
	Fan     int64                 `toml:"fan"`
}

// mostOrigins are as many as a quorum of them is asked in reasonable time; docs/design/controlplane.md.
const mostOrigins = 7

// check fills in the defaults and tells what cannot be used.
func (d *Distribution) check(fault func(key, format string, args ...any)) {
	if len(d.Origins) == 0 || len(d.Origins) > mostOrigins {
		fault("config.origins", "%d origins, and 1 to %d are wanted", len(d.Origins), mostOrigins)
	}
	for i, text := range d.Origins {
		if at, err := netip.ParseAddrPort(text); err != nil || at.Port() == 0 {
			fault("config.origins", "%q is no address such as \"10.0.0.9:7950\"", text)
		}
		if slices.Contains(d.Origins[:i], text) {
			fault("config.origins", "%q is there twice", text)
		}
	}
	if !filepath.IsAbs(d.Dir) {
		fault("config.dir", "%q is no absolute path: what was in force last is kept there", d.Dir)
	}
	bounded(fault, "config.wait", &d.Wait, 3*time.Second, 100*time.Millisecond, 30*time.Second)
	number(fault, "config.ask", &d.Ask, 40, 1, 100)
	number(fault, "config.fan", &d.Fan, 4, 1, 32)
}
