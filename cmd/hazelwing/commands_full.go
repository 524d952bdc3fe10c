//go:build !small

package main

import (
	"github.com/spf13/cobra"

	"hazelwing/internal/load"
	"hazelwing/internal/load/grpcload"
)

// hasGRPC is true, because this build can send load to gRPC targets.
const hasGRPC = true

// optionalCommands returns the commands that a build with the tag "small" omits: only the lab. The lab's code and the
// fonts of its plots make up half of the program's size.
func optionalCommands() []*cobra.Command { return []*cobra.Command{newLabCommand()} }

// optionalDemos returns the demonstrations that a build with the tag "small" omits.
func optionalDemos() []*cobra.Command { return []*cobra.Command{newDemoGraphQLCommand()} }

// newGRPCTarget returns a target that calls a gRPC method, and a function that closes it. The body is the encoded
// request.
func newGRPCTarget(address string, body []byte) (load.Target, func() error, error) {
	target, err := grpcload.Dial(address, body)
	if err != nil {
		return nil, nil, err
	}
	return target, target.Close, nil
}
