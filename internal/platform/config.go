// Package platform reads the configuration that the platform provides to a sidecar: a JSON file and environment
// variables.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"hazelwing/internal/discovery/watch"
	"hazelwing/internal/wire"
)

// The environment variables that the platform sets.
const (
	envConfigFile = "RELAY_CONFIG"
	envName       = "RELAY_NAME"
	envListen     = "RELAY_LISTEN"
	envDiscovery  = "RELAY_DISCOVERY"
)

// Config is the platform's configuration of a sidecar.
type Config struct {
	Name             string      `json:"Name"`
	Listen           string      `json:"Listen"`
	Discovery        string      `json:"Discovery"` // address of the discovery service
	Seed             hexSeed     `json:"Seed"`      // seed for random choices
	Limits           Limits      `json:"Limits"`
	InitialEndpoints watch.Event `json:"Known"` // endpoint list to use at startup
	Settings         *wire.Env   `json:"Settings"`
}

// hexSeed is a random seed that is written as hexadecimal digits.
type hexSeed uint64

// UnmarshalJSON decodes a JSON string of hexadecimal digits.
func (s *hexSeed) UnmarshalJSON(text []byte) error {
	var digits string
	if err := json.Unmarshal(text, &digits); err != nil {
		return fmt.Errorf("seed is not a string: %w", err)
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return fmt.Errorf("seed is not a hexadecimal number of at most 64 bits: %w", err)
	}
	*s = hexSeed(n)
	return nil
}

// Errors for a missing configuration file or missing settings.
var (
	errNoConfigFile = errors.New(envConfigFile + " is not set")
	errNoSettings   = errors.New("configuration: settings are missing")
)

// Load reads the file that RELAY_CONFIG names. The other environment variables, if set, take precedence over the file.
// Load returns an error if the file cannot be read or the configuration is invalid.
func Load(getenv func(string) string) (*Config, error) {
	c, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	c.Name = cmp.Or(getenv(envName), c.Name)
	c.Listen = cmp.Or(getenv(envListen), c.Listen)
	c.Discovery = cmp.Or(getenv(envDiscovery), c.Discovery)
	return c, c.validate()
}

// Reload reads the file again after it was replaced. Unlike in Load, the file takes precedence over the environment
// variables, which keep their values from the start of the process. Reload ignores RELAY_NAME.
func Reload(getenv func(string) string) (*Config, error) {
	c, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	c.Listen = cmp.Or(c.Listen, getenv(envListen))
	c.Discovery = cmp.Or(c.Discovery, getenv(envDiscovery))
	return c, c.validate()
}

func readFile(getenv func(string) string) (*Config, error) {
	path := getenv(envConfigFile)
	if path == "" {
		return nil, errNoConfigFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c := new(Config)
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// validate returns an error if the settings are missing or an address is malformed. balancer.New validates the settings
// themselves.
func (c *Config) validate() error {
	if c.Settings == nil {
		return errNoSettings
	}
	for _, address := range []struct{ key, value string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fmt.Errorf("configuration: %s address %q is not of the form host:port: %w",
				address.key, address.value, err)
		}
	}
	return nil
}
