//go:build !small

package main

import (
	"github.com/spf13/cobra"

	"hazelwing/internal/load"
	"hazelwing/internal/load/grpcload"
)

// hasGRPC says that this build can load gRPC targets.
const hasGRPC = true

// optionalCommands returns the commands that a build with the tag "small" omits: the lab, whose plots and their fonts
// make up half of the program.
func optionalCommands() []*cobra.Command { return []*cobra.Command{newLabCommand()} }

// optionalDemos returns the demonstrations that a build with the tag "small" omits.
func optionalDemos() []*cobra.Command { return []*cobra.Command{newDemoGraphQLCommand()} }

// newGRPCTarget returns a gRPC method as a target, and what closes it. The body is the encoded request.
func newGRPCTarget(address string, body []byte) (load.Target, func() error, error) {
	target, err := grpcload.Dial(address, body)
	if err != nil {
		return nil, nil, err
	}
	return target, target.Close, nil
}
