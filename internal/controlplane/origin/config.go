package origin

import (
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hazelwing/internal/controlplane"
)

// Limits of an origin. Higher values accept more requests and data, but take more memory, disk space and traffic.
const (
	MaxOrigins         = 7         // maximum number of origins of a cluster
	MaxPendingRequests = 64        // maximum number of requests without result at one origin
	MaxOutcomes        = 256       // number of latest changes whose outcome can be queried by ID
	MaxIDLength        = 64        // maximum length of a change's ID, in bytes
	MaxMessageSize     = 640 << 10 // maximum size of a message between origins, in bytes; longer ones are rejected
	// MaxUncommittedSize is the maximum size of the changes that wait for a majority, in bytes. The leader rejects
	// further changes. It drops those that another origin has forwarded, and that origin proposes them again later.
	MaxUncommittedSize = 4 * controlplane.MaxSnapshotSize
)

// Defaults of Config.
const (
	defaultTickInterval       = 100 * time.Millisecond
	defaultRequestTimeout     = 4 * time.Second
	defaultStartupGracePeriod = 3 * time.Second
)

// BootstrapConfig is the configuration with which all origins are bootstrapped. It does not change afterwards: no
// origin joins or leaves. To change the set of origins, bootstrap a higher epoch.
type BootstrapConfig struct {
	Cluster string   `json:"fleet"`
	Epoch   uint64   `json:"epoch"`   // at least 1; origins of a higher epoch replace the cluster's earlier ones
	Origins []string `json:"origins"` // names of the origins, at most MaxOrigins
}

// Validate checks the configuration. Its errors name the keys of the origin's settings.
func (c *BootstrapConfig) Validate() error {
	sorted := slices.Sorted(slices.Values(c.Origins))
	switch names := slices.Compact(slices.Clone(sorted)); {
	case c.Cluster == "":
		return errors.New("fleet: the name is empty")
	case c.Epoch == 0:
		return errors.New("epoch: 0 is out of range, want 1 or higher")
	case len(names) == 0 || len(names) > MaxOrigins:
		return fmt.Errorf("peers: %d origins, want 1 to %d", len(names), MaxOrigins)
	case len(names) != len(sorted):
		return fmt.Errorf("peers: the name %q is given twice", firstDuplicate(sorted))
	}
	for _, name := range sorted {
		if err := validateName(name); err != nil {
			return err
		}
	}
	return nil
}

// firstDuplicate returns the first name that occurs more than once in a sorted list.
func firstDuplicate(sorted []string) string {
	for i, name := range sorted[1:] {
		if name == sorted[i] {
			return name
		}
	}
	return ""
}

// validateName checks the name of an origin.
func validateName(name string) error {
	switch {
	case name == "":
		return errors.New("peers: the name of an origin is empty")
	case len(name) > controlplane.MaxNameLength:
		return fmt.Errorf("peers: the name %q has %d bytes, want at most %d",
			name, len(name), controlplane.MaxNameLength)
	case strings.ContainsAny(name, "/ \t\n"):
		return fmt.Errorf("peers: the name %q contains white space or slashes", name)
	}
	return nil
}

// key returns a hash that identifies the cluster, epoch and set of origins in messages.
func (c *BootstrapConfig) key() string {
	names := slices.Sorted(slices.Values(c.Origins))
	sum := sha256.Sum256([]byte(fmt.Sprintf("%q %d %q", c.Cluster, c.Epoch, names)))
	return string(sum[:16])
}

// Config configures a Node. A duration of 0 means its default, which the field's comment gives.
type Config struct {
	BootstrapConfig        // if empty, that of the store is used; otherwise it must be equal to that of the store
	Self            string // this origin's name; one of Origins
	Seed            uint64 // seed of the random election timeouts
	// TickInterval is the length of a tick; default 100 ms. A leader sends heartbeats every 2 ticks, and an election
	// starts after 10 to 19 ticks without a heartbeat. A higher value tolerates slower networks and disks, but replaces
	// a failed leader later.
	TickInterval time.Duration
	// RequestTimeout is the maximum time that a request waits for its result; default 4 s. After this time the outcome
	// is OutcomeUnknown, or OutcomeRejected for a change that was never proposed to raft. A higher value tolerates
	// longer elections, but an operator may wait longer for a result.
	RequestTimeout time.Duration
	// StartupGracePeriod is the time after an origin's start during which it rejects changes as long as no member has
	// reported a revision; default 3 s. If all origins were rolled back together, only the members' reports show that.
	// Without the grace period, the origins could give new changes versions that members already have. A higher value
	// leaves members more time to report, but delays the first change in a cluster without members.
	StartupGracePeriod time.Duration
}

// bootstrapMismatchError says that the settings and the store have different bootstrap configurations.
type bootstrapMismatchError struct{ stored, configured BootstrapConfig }

func (e *bootstrapMismatchError) Error() string {
	return fmt.Sprintf("the store was bootstrapped for fleet %q, epoch %d, origins %q; "+
		"the settings have fleet %q, epoch %d, origins %q",
		e.stored.Cluster, e.stored.Epoch, e.stored.Origins,
		e.configured.Cluster, e.configured.Epoch, e.configured.Origins)
}

// complete returns the configuration completed with the store's bootstrap configuration and the defaults.
func (c Config) complete(stored BootstrapConfig) (Config, error) {
	if len(c.Origins) == 0 && c.Cluster == "" && c.Epoch == 0 {
		c.BootstrapConfig = stored
	} else if c.key() != stored.key() {
		return c, &bootstrapMismatchError{stored: stored, configured: c.BootstrapConfig}
	}
	c.TickInterval = cmp.Or(c.TickInterval, defaultTickInterval)
	c.RequestTimeout = cmp.Or(c.RequestTimeout, defaultRequestTimeout)
	c.StartupGracePeriod = cmp.Or(c.StartupGracePeriod, defaultStartupGracePeriod)
	return c, nil
}
