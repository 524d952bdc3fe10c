//go:build small

package main

import (
	"errors"

	"github.com/spf13/cobra"

	"hazelwing/internal/load"
)

// hasGRPC is false, because this build cannot send load to gRPC targets.
const hasGRPC = false

// optionalCommands returns no commands, because only the full build has optional commands.
func optionalCommands() []*cobra.Command { return nil }

// optionalDemos returns no demonstrations, because only the full build has optional demonstrations.
func optionalDemos() []*cobra.Command { return nil }

// newGRPCTarget is never called, because hasGRPC is false.
func newGRPCTarget(string, []byte) (load.Target, func() error, error) {
	return nil, nil, errors.ErrUnsupported
}
