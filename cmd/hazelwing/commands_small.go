//go:build small

package main

import (
	"errors"

	"github.com/spf13/cobra"

	"hazelwing/internal/load"
)

// hasGRPC is false, because this build cannot send load to gRPC targets.
const hasGRPC = false

// optionalCommands returns the commands that only the full build has: none.
func optionalCommands() []*cobra.Command { return nil }

// optionalDemos returns the demonstrations that only the full build has: none.
func optionalDemos() []*cobra.Command { return nil }

// newGRPCTarget is never called, because hasGRPC is false.
func newGRPCTarget(string, []byte) (load.Target, func() error, error) {
	return nil, nil, errors.ErrUnsupported
}
