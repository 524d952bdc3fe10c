// Package operator reads the operator's file: what is set beyond the platform's configuration. All of it is off where
// there is no file. An unknown key, a value of another type and one that cannot be used are errors that name the file,
// the line and the column; docs/operators/configuration.md describes each key. The file of an origin, a replica of the
// configuration service, is read likewise.
//
// The keys of the files are words of the operators' pages. The fields have the terms of the code.
package operator

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"hazelwing/internal/strictdecode"
)

// Config is what the operator's file says. What belongs to a nil table is off.
type Config struct {
	Idempotency  *Idempotency  `toml:"ledger"`
	Admin        *Admin        `toml:"admin"`
	GraphQL      *GraphQL      `toml:"graphql"`
	Discovery    *Discovery    `toml:"members"`
	Cluster      *Cluster      `toml:"fleet"`
	Bootstrap    *Bootstrap    `toml:"recovery"`
	ControlPlane *ControlPlane `toml:"config"`

	path      string
	positions strictdecode.Positions
}

// Admin is the table [admin]: the endpoint for operators.
type Admin struct {
	Listen string `toml:"listen"`
}

// Position returns the position of a key in the file, as "FILE:LINE:COLUMN". It is that of the key's table where the
// file does not have the key.
func (c *Config) Position(key string) string {
	position := c.positions.Of(key)
	return fmt.Sprintf("%s:%d:%d", c.path, position.Line, position.Column)
}

// Load reads and validates a file. What cannot be used in it is a *FileError.
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

// Parse validates the text of a file. Its error joins *strictdecode.DecodeError values.
func Parse(text []byte) (*Config, error) {
	c, errs := parse(text)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return c, nil
}

// parse decodes and validates the text of a file. Values are validated only in a text that could be decoded whole.
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

// validate fills in the defaults and reports values that cannot be used.
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
			v.errorf("recovery", "needs [fleet]: the list is had from its members")
		}
	}
	if c.ControlPlane != nil {
		c.ControlPlane.validate(v)
		if c.Cluster == nil {
			v.errorf("config", "needs [fleet]: the configuration is had from its members")
		}
	}
	if c.Admin != nil {
		c.Admin.validate(v)
	}
}

// validate reports an address that cannot be used. The endpoint has no authentication, so only loopback is accepted.
func (c *Admin) validate(v validator) {
	addr, err := netip.ParseAddrPort(c.Listen)
	switch {
	case err != nil:
		v.errorf("admin.listen", "%q is no address such as \"127.0.0.1:9180\"", c.Listen)
	case !addr.Addr().IsLoopback():
		v.errorf("admin.listen", "%s is not on loopback: the endpoint asks nobody who they are", c.Listen)
	}
}
