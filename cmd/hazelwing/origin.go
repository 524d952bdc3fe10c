package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"hazelwing/internal/controlplane/origin"
	"hazelwing/internal/controlplane/transport"
	"hazelwing/internal/operator"
	"hazelwing/internal/store"
)

func newOriginCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "origin",
		Short: "Create or run an origin, a server that holds the configuration of a fleet",
		Args:  cobra.NoArgs,
		RunE:  printHelp,
	}
	bootstrap := newOriginSubcommand(bootstrapOrigin)
	bootstrap.Use = "found"
	bootstrap.Short = "Create the empty store of an origin, with the fleet, epoch and peers of its file"
	bootstrap.Long = `Create the store of an origin. This is done once on each machine that is to run an origin, with
the same fleet, epoch and peers in each file. A store of a lower epoch is replaced. A store of the same or a higher
epoch is left unchanged, and the exit status is 1.`
	run := newOriginSubcommand(func(_ io.Writer, config *operator.Origin) error { return runOrigin(config) })
	run.Use = "run"
	run.Short = "Run an origin whose store exists"
	run.Long = `Run an origin until SIGTERM or SIGINT. It exits with status 1 and one line on standard error if it
cannot start, or if it cannot make data durable that other processes would rely on.`
	c.AddCommand(bootstrap, run)
	return c
}

// newOriginSubcommand returns a command that loads an origin's file and passes it to action.
func newOriginSubcommand(action func(out io.Writer, config *operator.Origin) error) *cobra.Command {
	var file string
	c := &cobra.Command{
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.New("origin: the origin's file is missing: set --file or HAZELWING_ORIGIN_FILE")
			}
			config, err := operator.LoadOrigin(file)
			if err != nil {
				return err
			}
			return action(cmd.OutOrStdout(), config)
		},
	}
	c.Flags().StringVar(&file, "file", os.Getenv("HAZELWING_ORIGIN_FILE"),
		"path of the origin's file (or HAZELWING_ORIGIN_FILE)")
	return c
}

func bootstrapConfig(config *operator.Origin) origin.BootstrapConfig {
	return origin.BootstrapConfig{
		Cluster: config.Cluster,
		Epoch:   uint64(config.Epoch),
		Origins: config.OriginNames,
	}
}

func bootstrapOrigin(out io.Writer, config *operator.Origin) error {
	st, err := openOriginStore(config)
	if err != nil {
		return err
	}
	err = errors.Join(origin.Bootstrap(st, bootstrapConfig(config)), st.Close())
	if err != nil {
		return fmt.Errorf("origin: %s: %w", config.Dir, err)
	}
	printf(out, "%s is founded: fleet %s, epoch %d, %d origins\n",
		config.Name, config.Cluster, config.Epoch, len(config.OriginNames))
	return nil
}

func openOriginStore(config *operator.Origin) (*store.Store, error) {
	fs, err := store.Dir(config.Dir)
	if err != nil {
		return nil, fmt.Errorf("origin: dir: %w", err)
	}
	st, err := store.Open(fs, store.Options{})
	if err != nil {
		return nil, fmt.Errorf("origin: %s: %w", config.Dir, err)
	}
	return st, nil
}

func runOrigin(config *operator.Origin) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	st, err := openOriginStore(config)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, st.Close()) }()
	logger := slog.New(slog.NewTextHandler(os.Stderr, nil))
	node, err := transport.NewOrigin(transport.OriginConfig{
		Store:           st,
		ListenAddr:      config.Listen,
		PeerAddrs:       config.OriginAddrs,
		AllowedNetworks: config.AllowedNetworks,
		Log:             logger,
		Node: origin.Config{
			BootstrapConfig: bootstrapConfig(config),
			Self:            config.Name,
			Seed:            rand.Uint64(),
			TickInterval:    time.Duration(config.TickInterval),
		},
	})
	if err != nil {
		return fmt.Errorf("origin: %w", err)
	}
	logger.Info("listening", "component", "origin",
		"name", config.Name, "addr", node.Addr(), "cluster", config.Cluster, "epoch", config.Epoch)
	return node.Run(ctx)
}
