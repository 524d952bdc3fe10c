// Package operator reads the operator's file, which enables and configures features beyond the platform's
// configuration. Without a file all of these features are off. An unknown key, a value of the wrong type and an invalid
// value are errors that name the file, the line and the column. docs/operators/configuration.md describes each key. The
// package also reads the file of an origin, a replica of the configuration service, in the same way.
//
// The keys in the files are the names that the operators' documentation uses; the Go fields have the names that the
// code uses.
package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"hazelwing/internal/strictdecode"
)

// Config is the content of the operator's file. The feature that a table configures is off if the table is nil.
type Config struct {
	Idempotency  *Idempotency  `toml:"ledger"`
	Admin        *Admin        `toml:"admin"`
	GraphQL      *GraphQL      `toml:"graphql"`
	Discovery    *Discovery    `toml:"members"`
	Cluster      *Cluster      `toml:"fleet"`
	Bootstrap    *Bootstrap    `toml:"recovery"`
	ControlPlane *ControlPlane `toml:"config"`

	path      string                 // the file's path as passed to Load; empty after Parse
	positions strictdecode.Positions // positions of the keys in the file
}

// Admin is the table [admin]. It configures the HTTP endpoint for operators.
type Admin struct {
	Listen string `toml:"listen"`
}

// Position returns the position of a key in the file, as "FILE:LINE:COLUMN". If the file does not have the key, it is
// the position of the key's top-level table.
func (c *Config) Position(key string) string {
	position := c.positions.Of(key)
	return fmt.Sprintf("%s:%d:%d", c.path, position.Line, position.Column)
}

// Load reads and validates a file. If its content is invalid, the error is a *FileError.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	c, errs := parse(text)
	if len(errs) > 0 {
		return nil, &FileError{Path: path, Errs: errs}
	}
	c.path = path
	return c, nil
}

// Parse decodes and validates the text of a file. Its error joins *strictdecode.DecodeError values.
func Parse(text []byte) (*Config, error) {
	c, errs := parse(text)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return c, nil
}

// parse decodes and validates the text of a file. It validates values only if the whole text could be decoded.
func parse(text []byte) (*Config, []error) {
	c := new(Config)
	decodeErrors := strictdecode.Decode(text, c)
	if len(decodeErrors) > 0 {
		return nil, stableErrors(decodeErrors)
	}
	c.positions = strictdecode.FindPositions(text)
	c.validate(validator{report: func(key, text string) {
		decodeErrors = append(decodeErrors, c.positions.Errorf(key, "%s", text))
	}})
	return c, stableErrors(decodeErrors)
}

// validate fills in the defaults and reports invalid values.
func (c *Config) validate(v validator) {
	if c.Idempotency != nil {
		c.Idempotency.validate(v)
	}
	if c.GraphQL != nil {
		c.GraphQL.validate(v)
	}
	if c.Discovery != nil {
		c.Discovery.validate(v)
	}
	if c.Cluster != nil {
		c.Cluster.validate(v)
	}
	if c.Bootstrap != nil {
		c.Bootstrap.validate(v)
		if c.Cluster == nil {
			v.errorf("recovery", "requires [fleet]: the endpoint list comes from other members")
		}
	}
	if c.ControlPlane != nil {
		c.ControlPlane.validate(v)
		if c.Cluster == nil {
			v.errorf("config", "requires [fleet]: the configuration comes from other members")
		}
	}
	if c.Admin != nil {
		c.Admin.validate(v)
	}
}

// validate reports an invalid address. Only loopback addresses are valid, because the endpoint has no authentication.
func (c *Admin) validate(v validator) {
	addr, err := netip.ParseAddrPort(c.Listen)
	switch {
	case err != nil:
		v.errorf("admin.listen", "must be an IP address and a port such as \"127.0.0.1:9180\", got %q", c.Listen)
	case !addr.Addr().IsLoopback():
		v.errorf("admin.listen", "must be a loopback address, got %s: the endpoint has no authentication", c.Listen)
	}
}
